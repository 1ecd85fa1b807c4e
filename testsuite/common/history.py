"""Records the history of a run in the format of `peridotshelf check-history`,
and derives the answer that belongs to a prompt."""

import json
import threading
import time

MASK = (1 << 64) - 1
P1, P2, P3, P4, P5 = (0x9E3779B185EBCA87, 0xC2B2AE3D27D4EB4F,
                      0x165667B19E3779F9, 0x85EBCA77C2B2AE63,
                      0x27D4EB2F165667C5)


def _rotate(value, bits):
    return ((value << bits) | (value >> (64 - bits))) & MASK


def _round(lane, word):
    return _rotate((lane + word * P2) & MASK, 31) * P1 & MASK


def xxh64(data):
    """XXH64 with seed 0, from which simulated engines derive their answers."""
    length, position = len(data), 0

    def read_word(size):
        nonlocal position
        position += size
        return int.from_bytes(data[position - size:position], "little")

    if length >= 32:
        lanes = [(P1 + P2) & MASK, P2, 0, -P1 & MASK]
        while position + 32 <= length:
            lanes = [_round(lane, read_word(8)) for lane in lanes]
        value = sum(_rotate(lane, bits) for lane, bits in
                    zip(lanes, (1, 7, 12, 18))) & MASK
        for lane in lanes:
            value = ((value ^ _round(0, lane)) * P1 + P4) & MASK
    else:
        value = P5
    value = (value + length) & MASK
    while position + 8 <= length:
        value = (_rotate(value ^ _round(0, read_word(8)), 27) * P1 + P4) & MASK
    if position + 4 <= length:
        value = (_rotate(value ^ (read_word(4) * P1 & MASK), 23) * P2 +
                 P3) & MASK
    while position < length:
        value = _rotate(value ^ (read_word(1) * P5 & MASK), 11) * P1 & MASK
    value = (value ^ (value >> 33)) * P2 & MASK
    value = (value ^ (value >> 29)) * P3 & MASK
    return value ^ (value >> 32)


def expected_answer(prompt, chunks):
    """Returns the full answer of a simulated engine to a text prompt."""
    key = xxh64(prompt.encode())
    return "".join(f"{key:016x}-{index} " for index in range(chunks))


class History:
    """Appends events to a file. Thread-safe."""

    def __init__(self, path, recorder):
        self.path = path
        self.recorder = recorder
        self.lock = threading.Lock()
        self.file = open(path, "a", buffering=1)

    def record(self, kind, time_ns=None, recorder=None, **fields):
        """Appends an event at `time_ns` of the monotonic clock, or now."""
        line = {"kind": kind, "by": recorder or self.recorder, **fields}
        with self.lock:
            line["time"] = time.monotonic_ns() if time_ns is None else time_ns
            self.file.write(json.dumps(line) + "\n")

    def close(self):
        with self.lock:
            self.file.close()

"""Records what callers and a case see, as `peridotshelf check-history` reads
it, and derives the text that only one request's answer has."""

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
    """XXH64 with seed 0, by which stand-in engines derive their answers."""
    length, at = len(data), 0

    def word(size):
        nonlocal at
        at += size
        return int.from_bytes(data[at - size:at], "little")

    if length >= 32:
        lanes = [(P1 + P2) & MASK, P2, 0, -P1 & MASK]
        while at + 32 <= length:
            lanes = [_round(lane, word(8)) for lane in lanes]
        value = sum(_rotate(lane, bits) for lane, bits in
                    zip(lanes, (1, 7, 12, 18))) & MASK
        for lane in lanes:
            value = ((value ^ _round(0, lane)) * P1 + P4) & MASK
    else:
        value = P5
    value = (value + length) & MASK
    while at + 8 <= length:
        value = (_rotate(value ^ _round(0, word(8)), 27) * P1 + P4) & MASK
    if at + 4 <= length:
        value = (_rotate(value ^ (word(4) * P1 & MASK), 23) * P2 + P3) & MASK
    while at < length:
        value = _rotate(value ^ (word(1) * P5 & MASK), 11) * P1 & MASK
    value = (value ^ (value >> 33)) * P2 & MASK
    value = (value ^ (value >> 29)) * P3 & MASK
    return value ^ (value >> 32)


def answer_text(prompt, chunks):
    """The whole answer of a stand-in engine to a text prompt."""
    key = xxh64(prompt.encode())
    return "".join(f"{key:016x}-{index} " for index in range(chunks))


class History:
    """Appends events to a file. Thread-safe."""

    def __init__(self, path, by):
        self.path = path
        self.by = by
        self.lock = threading.Lock()
        self.file = open(path, "a", buffering=1)

    def record(self, kind, at=None, by=None, **fields):
        """`at` is in nanoseconds on the machine's monotonic clock."""
        line = {"kind": kind, "by": by or self.by, **fields}
        with self.lock:
            line["time"] = time.monotonic_ns() if at is None else at
            self.file.write(json.dumps(line) + "\n")

    def close(self):
        with self.lock:
            self.file.close()

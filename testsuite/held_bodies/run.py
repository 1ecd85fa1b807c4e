"""Guards against slow clients whose bodies take a gateway over its memory.

python3 testsuite/held_bodies/run.py PROGRAM
"""

import asyncio
import collections
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import gateway_fleet  # noqa: E402
import fleet as fleets  # noqa: E402
import http_messages  # noqa: E402
import platform_messages  # noqa: E402

SEED = 71
CLIENTS = 64
BODY_BYTES = 4000000
PIECE_BYTES = 250000
PIECE_INTERVAL_S = 0.2
SOUND_INTERVAL_S = 0.1
ANSWER_TIMEOUT_S = 20


def write_head(number, body_bytes):
    return platform_messages.request_head(
        "/page/1", fleets.HTTP_HOST, f"{number:016x}", fleets.REQUEST_TIMEOUT_S,
        fleets.API_KEY, body_bytes)


async def send(gateway, number, pieces):
    """Sends a request with the bodies' pieces, one after the other; returns the
    answer's status and whether it says when to retry."""
    reader, writer = await asyncio.open_connection(gateway.ip,
                                                   fleets.PORTS.callers)
    try:
        writer.write(write_head(number, sum(len(piece) for piece in pieces)))
        answer = asyncio.ensure_future(http_messages.read_head(reader))
        for piece in pieces:
            if answer.done():
                break
            writer.write(piece)
            if len(pieces) > 1:
                await asyncio.wait([answer], timeout=PIECE_INTERVAL_S)
        answer = await asyncio.wait_for(answer, ANSWER_TIMEOUT_S)
        return answer.status, int(float(answer.headers.get("retry-after", "0")))
    except (OSError, ConnectionError, asyncio.TimeoutError, AttributeError):
        return 0, 0
    finally:
        writer.close()


def read_peak_mb(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    raise ValueError("no VmHWM")


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, 1) as fleet:
        gateway = fleet.gateways[0]
        body = [b"x" * PIECE_BYTES] * (BODY_BYTES // PIECE_BYTES)
        slow = [asyncio.ensure_future(send(gateway, number, body))
                for number in range(CLIENTS)]
        sound = []
        while not all(client.done() for client in slow):
            sound.append((await send(gateway, CLIENTS + len(sound), [b"y"]))[0])
            await asyncio.sleep(SOUND_INTERVAL_S)
        answers = [client.result() for client in slow]
        peak_mb = read_peak_mb(gateway.process)
        rejected = await gateway_fleet.read_metric(
            gateway, "peridotshelf_rejected_bodies")
        held = await gateway_fleet.read_metric(
            gateway, "peridotshelf_held_body_bytes")
    statuses = collections.Counter(status for status, _ in answers)
    print(f"peak {peak_mb:.0f} MB of {platform_messages.MEMORY_MB}; slow "
          f"{dict(statuses)}, {rejected} rejected for memory; sound "
          f"{dict(collections.Counter(sound))}; {held} bytes held in the end")
    return (peak_mb < platform_messages.MEMORY_MB and held == 0 and
            set(sound) == {200} and
            all(status == 200 or (status == 503 and retry_after > 0)
                for status, retry_after in answers))


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

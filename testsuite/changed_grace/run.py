"""Guards against a stop that uses the grace time of the start although the settings
file has another one since.

python3 testsuite/changed_grace/run.py PROGRAM
"""

import asyncio
import dataclasses
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import gateway_fleet  # noqa: E402
import fleet as fleets  # noqa: E402
import http_messages  # noqa: E402
import platform_messages  # noqa: E402

SEED = 61
NEW_GRACE_S = 3
BODY_BYTES = 1000000
PIECE_BYTES = 2000
PIECE_INTERVAL_S = 0.1


async def send_slowly(gateway):
    """Sends a request whose body is longer than any grace time; returns the status
    of the answer."""
    reader, writer = await asyncio.open_connection(gateway.ip,
                                                   fleets.PORTS.callers)
    writer.write(platform_messages.request_head(
        "/page/1", fleets.HTTP_HOST, f"{1:016x}", fleets.REQUEST_TIMEOUT_S,
        fleets.API_KEY, BODY_BYTES))
    answer = asyncio.ensure_future(http_messages.read_head(reader))
    while not answer.done():
        writer.write(b"x" * PIECE_BYTES)
        await asyncio.wait([answer], timeout=PIECE_INTERVAL_S)
    writer.close()
    return answer.result().status


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, 1) as fleet:
        gateway = fleet.gateways[0]
        slow = asyncio.ensure_future(send_slowly(gateway))
        await asyncio.sleep(0.5)
        bounds = dataclasses.replace(fleets.BOUNDS, stop_grace_s=NEW_GRACE_S)
        settings = os.path.join(fleet.folder, "gateway-0.toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(gateway.settings(bounds))
        gateway.exit_expected = True
        gateway.signal(signal.SIGTERM)
        begin = time.monotonic()
        while gateway.process.poll() is None and \
                time.monotonic() < begin + 2 * fleets.BOUNDS.stop_grace_s:
            await asyncio.sleep(0.02)
        took_s = time.monotonic() - begin
        status = await slow
    print(f"ended after {took_s:.2f} s, {NEW_GRACE_S} s are allowed; the open "
          f"request ended with {status}")
    return took_s < NEW_GRACE_S and status == 503


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

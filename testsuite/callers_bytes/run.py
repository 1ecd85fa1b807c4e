"""Guards against bytes of callers that end a gateway, run what no client sent, or reach
an engine changed, while sound calls on kept connections go on.

python3 testsuite/callers_bytes/run.py PROGRAM [--inputs N] [--seed S] [--drawn FILE]

The drawn inputs come from drawn_messages beside PROGRAM, or --drawn names it.
"""

import argparse
import asyncio
import os
import subprocess
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import gateway_fleet  # noqa: E402
import fleet as fleets  # noqa: E402
import inputs as sent_inputs  # noqa: E402
import platform_messages  # noqa: E402
import recorder  # noqa: E402
import sound_calls  # noqa: E402
from failed_inputs import FAILED_INPUTS  # noqa: E402

FLEET_SEED = 67
SENDERS = 24
ANSWER_TIMEOUT_S = 0.25
# Before the first answer of a service: one under way, and one for the calls that came
# meanwhile.
MAX_QUERIES_PER_ENGINE = 2
SHOWN = int(os.environ.get("SHOWN", "20"))


async def exchange(gateway, data):
    """Sends bytes and returns what comes back until the connection ends or nothing
    more comes."""
    received = b""
    try:
        reader, writer = await asyncio.open_connection(
            gateway.ip, fleets.PORTS.callers)
    except OSError:
        return received
    try:
        writer.write(data)
        while part := await asyncio.wait_for(reader.read(65536),
                                             ANSWER_TIMEOUT_S):
            received += part
    except (OSError, asyncio.TimeoutError):
        pass  # The input may be the beginning of a request that never ends.
    finally:
        writer.transport.abort()
    return received


async def send_all(fleet, inputs):
    """Sends the inputs on many connections. Returns the inputs that were under way as
    the gateway ended; it is started again each time."""
    gateway = fleet.gateways[0]
    waiting = list(inputs)[::-1]
    under_way = {}
    ends = []
    restart = asyncio.Lock()

    async def restart_if_ended():
        async with restart:
            if gateway.process.poll() is None:
                return
            ends.append((gateway.process.poll(), list(under_way.values())))
            gateway.start()
            await gateway_fleet.wait_until_ready(fleet)

    async def send(sender):
        while waiting:
            under_way[sender] = waiting.pop()
            await exchange(gateway, under_way[sender])
            await restart_if_ended()

    await asyncio.gather(*(send(sender) for sender in range(SENDERS)))
    return ends


async def check_drawn(fleet, recording, inputs):
    gateway = fleet.gateways[0]
    calls = sound_calls.SoundCalls(gateway)
    await calls.begin()
    began = time.monotonic()
    ends = await send_all(fleet, inputs)
    took_s = time.monotonic() - began
    await asyncio.sleep(1.0)
    await calls.end()
    drawn = [arrival for arrival in recording.arrivals
             if not arrival.request_id.startswith(b"sound-")]
    wrong = sent_inputs.check_arrivals(drawn, inputs)
    wrong += [(engine, "is asked more often than before its first answer", count)
              for engine, count in recording.queries.items()
              if count > MAX_QUERIES_PER_ENGINE]
    wrong += [(data[:80], "is not to be told from the gateway's own query")
              for data in inputs if platform_messages.REPORT_PATH.encode() in data]
    print(f"{len(inputs)} inputs in {took_s:.1f} s, {len(drawn)} requests of them at "
          f"the engine; the gateway ended {len(ends)} times, allowed 0: "
          f"{[status for status, _ in ends]}")
    print(calls.describe())
    print(f"queries of the gateway itself: {dict(recording.queries)}, allowed "
          f"{MAX_QUERIES_PER_ENGINE} an engine")
    print(f"{len(wrong)} requests at the engine that no client sent, allowed 0; "
          f"{len(recording.unreadable)} that it could not read, allowed 0")
    for line in (calls.lost + wrong + recording.unreadable)[:SHOWN]:
        print("  ", line)
    return not (ends or calls.lost or wrong or recording.unreadable)


async def check_id_is_echoed(gateway):
    """An id with bytes over 127 is served, passed on and echoed as it was sent."""
    wrong = 0
    for path, counts in (("/page/1", ""), ("/chat/1", "100,48"),
                         ("/chat/1", "600000,48")):
        request_id = b"r\xe9f-\xff\"\\," + str(time.monotonic_ns()).encode()
        data = (b"POST " + path.encode() + b" HTTP/1.1\r\nHost: " +
                fleets.HTTP_HOST.encode() + b"\r\nX-Request-Id: " + request_id +
                b"\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer " +
                fleets.API_KEY.encode() + b"\r\nConnection: close\r\n" +
                (f"X-Token-Counts: {counts}\r\n".encode() if counts else b"") +
                b"Content-Length: 2\r\n\r\n{}")
        reader, writer = await asyncio.open_connection(gateway.ip,
                                                       fleets.PORTS.callers)
        writer.write(data)
        answer = await asyncio.wait_for(reader.read(), sound_calls.TIMEOUT_S)
        writer.close()
        is_served = (answer.startswith(b"HTTP/1.1 200 ") and
                     b"X-Request-Id: " + request_id + b"\r\n" in answer)
        print(f"{path} {counts} with an id that is not UTF-8: {answer[:15]!r}, "
              f"echoed: {is_served}, expected True")
        wrong += not is_served
    return wrong == 0


def draw(options, kind, *arguments):
    program = options.drawn or os.path.join(os.path.dirname(options.program),
                                            "drawn_messages")
    lines = subprocess.run(
        [program, kind, str(options.inputs), str(options.seed), *arguments],
        check=True, capture_output=True, text=True).stdout
    return [bytes.fromhex(line) for line in lines.split("\n")[:-1]]


async def main(options):
    inputs = draw(options, "requests", fleets.HTTP_HOST,
                  fleets.API_KEY) + FAILED_INPUTS
    async with gateway_fleet.running_fleet(
            options.program, FLEET_SEED, 1) as fleet:
        recording = recorder.Recorder(fleet, recorder.SERVICES)
        await recording.start()
        await asyncio.sleep(1.0)
        has_echoed = await check_id_is_echoed(fleet.gateways[0])
        if fleet.gateways[0].has_exited_unexpectedly():
            fleet.gateways[0].start()
            await gateway_fleet.wait_until_ready(fleet)
        recording.arrivals.clear()
        is_sound = await check_drawn(fleet, recording, inputs)
        return has_echoed and is_sound


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--inputs", type=int, default=600)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--drawn")
    sys.exit(0 if asyncio.run(main(parser.parse_args())) else 1)

"""Guards against answers of engines whose bytes end a gateway or reach a caller mixed
with others, while sound calls at another engine go on.

python3 testsuite/engines_bytes/run.py PROGRAM [--inputs N] [--seed S] [--drawn FILE]
"""

import argparse
import asyncio
import os
import subprocess
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
sys.path.insert(0, os.path.join(HERE, "..", "callers_bytes"))

import gateway_fleet  # noqa: E402
import fleet as fleets  # noqa: E402
import platform_messages  # noqa: E402
import recorder  # noqa: E402
import sound_calls  # noqa: E402
from failed_answers import FAILED_ANSWERS  # noqa: E402

FLEET_SEED = 71
TIME_LIMIT_S = 0.4
CALLER_TIMEOUT_S = 3.0
# Drawn answers may ask for a pause or say that the engine leaves, so that it is
# replaced after this many.
ANSWERS_PER_ENGINE = 25
REGISTRATION_S = 0.15
SHOWN = 20


class DrawnEngines:
    """Answers each request of a plain service and of a stream's with the drawn answer
    that its id names."""

    def __init__(self, fleet, answers):
        self.fleet, self.answers = fleet, answers
        self.ip = f"{fleet.net}.241"
        self.registered = {}

    async def start(self):
        await asyncio.start_server(self.on_connection, self.ip, 9000)
        for host in self.fleet.engines:
            if host.service in ("desk-b", "models"):
                await self.fleet.put_engine(host.id, b"")

    async def replace(self, generation):
        for service in ("desk-b", "models"):
            if service in self.registered:
                await self.fleet.put_engine(self.registered[service], b"")
            self.registered[service] = f"drawn-{service}-{generation}"
            await self.fleet.put_engine(
                self.registered[service], platform_messages.engine_entry(
                    service, f"{self.ip}:9000", "zone-0", False,
                    recorder.SLOTS))
        await asyncio.sleep(REGISTRATION_S)

    async def on_connection(self, reader, writer):
        try:
            request = await recorder.read_request(reader)
            number = int(request.request_id.removeprefix(b"a"))
            writer.write(self.answers[number].replace(b"<id>",
                                                      request.request_id))
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass  # A probe, or the gateway has ended the call.
        finally:
            writer.close()


def is_whole(answer):
    head, _, body = answer.partition(b"\r\n\r\n")
    if b"Transfer-Encoding: chunked" in head:
        return body.endswith(b"0\r\n\r\n")
    lines = [line for line in head.split(b"\r\n")
             if line.startswith(b"Content-Length: ")]
    return bool(lines) and len(body) == int(lines[-1][16:])


def find_fault(number, answer, drawn):
    """Returns what is wrong with a caller's answer; None if nothing is."""
    head, _, body = answer.partition(b"\r\n\r\n")
    if b"\r" in head.replace(b"\r\n", b"") or b"\n" in head.replace(b"\r\n", b""):
        return f"a line end inside a header: {head!r}"
    if not head.startswith(b"HTTP/1.1 200") or not is_whole(answer):
        return None  # An error, or recognizably incomplete.
    if f"X-Request-Id: a{number}\r\n".encode() not in head + b"\r\n":
        return f"a whole answer without the request's id: {head!r}"
    if b"chunked" not in head and body not in drawn:
        return f"a whole answer that no engine sent: {body[:80]!r}"
    return None


class Calls:
    def __init__(self, gateway, answers):
        self.gateway, self.answers = gateway, answers
        self.faults = []
        self.unanswered = 0
        self.served = 0

    async def call(self, number):
        path = "/post/1" if number % 2 else "/chat/1"
        prompt = None if number % 2 else (100, 480)
        answer = b""
        try:
            reader, writer = await asyncio.open_connection(
                self.gateway.ip, fleets.PORTS.callers)
            writer.write(platform_messages.request_head(
                path, fleets.HTTP_HOST, f"a{number}", TIME_LIMIT_S,
                fleets.API_KEY, 0, prompt).replace(
                    b"\r\nHost:", b"\r\nConnection: close\r\nHost:", 1))
            answer = await asyncio.wait_for(reader.read(), CALLER_TIMEOUT_S)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass  # Counted as a call without an answer.
        self.unanswered += not answer
        self.served += answer.startswith(b"HTTP/1.1 200")
        fault = find_fault(number, answer, self.answers[number])
        if fault:
            self.faults.append((number, fault))


async def check(fleet, answers):
    engines = DrawnEngines(fleet, answers)
    await engines.start()
    gateway = fleet.gateways[0]
    sound = sound_calls.SoundCalls(gateway)
    await sound.begin()
    calls = Calls(gateway, answers)
    ends = []
    began = time.monotonic()
    for first in range(0, len(answers), ANSWERS_PER_ENGINE):
        await engines.replace(first)
        numbers = range(first, min(first + ANSWERS_PER_ENGINE, len(answers)))
        await asyncio.gather(*(calls.call(number) for number in numbers))
        if gateway.process.poll() is not None:
            ends.append((gateway.process.poll(), numbers))
            gateway.start()
            await gateway_fleet.wait_until_ready(fleet)
            await asyncio.sleep(1.0)
    await sound.end()
    print(f"{len(answers)} answers in {time.monotonic() - began:.1f} s, {calls.served} "
          f"passed on with status 200; the gateway ended {len(ends)} times, allowed 0")
    print(sound.describe())
    print(f"{len(calls.faults)} answers that callers must not get, allowed 0; "
          f"{calls.unanswered} calls without an answer in {CALLER_TIMEOUT_S} s or with "
          "a connection that ended, allowed 0")
    for line in (ends + sound.lost + calls.faults)[:SHOWN]:
        print("  ", line)
    return not (ends or sound.lost or calls.faults or calls.unanswered)


def draw(options):
    program = options.drawn or os.path.join(os.path.dirname(options.program),
                                            "drawn_messages")
    lines = subprocess.run(
        [program, "answers", str(options.inputs), str(options.seed)], check=True,
        capture_output=True, text=True).stdout
    return [bytes.fromhex(line) for line in lines.split("\n")[:-1]]


async def main(options):
    async with gateway_fleet.running_fleet(
            options.program, FLEET_SEED, 1) as fleet:
        sound = recorder.Recorder(fleet, ["desk-a"])
        await sound.start()
        await asyncio.sleep(1.0)
        return await check(fleet, draw(options) + FAILED_ANSWERS)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--inputs", type=int, default=300)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--drawn")
    sys.exit(0 if asyncio.run(main(parser.parse_args())) else 1)

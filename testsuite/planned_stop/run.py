"""A gateway stops while callers, which do not watch its readiness, go on to connect.
Guards against requests that are cut without an answer: in the listen queue, in the
socket, read in part, queued or waiting for memory.

python3 testsuite/planned_stop/run.py PROGRAM
"""

import asyncio
import collections
import os
import signal
import sys
import time
import uuid

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import gateway_fleet  # noqa: E402
import fleet as fleets  # noqa: E402
import http_messages  # noqa: E402
import platform_messages  # noqa: E402

SEED = 61
CALLERS = 24
TARGETS = ("/page/1", "/post/1", "/chat/1")
# The last two wait for memory of several engines.
PROMPT_TOKENS = (2_000, 40_000, 320_000, 320_000)
OUTPUT_TOKENS = 400
# Between connecting and sending the request.
SEND_DELAY_S = 0.02
LOAD_S = 1.0
# The half-read requests begin this long after the signal.
HALF_READ_AFTER_S = 3.5
REFUSED = "connection refused"
LOST = "no answer"


async def read_answer(reader):
    """Returns the status of a complete answer; a cut stream counts as lost."""
    head = await http_messages.read_head(reader)
    if head is None:
        raise ConnectionError("no answer")
    await http_messages.read_body(reader, head)
    if head.status == 503 and "retry-after" not in head.headers:
        return "503 without Retry-After"
    return head.status


async def ask(gateway, number, until_end=b"", send_delay_s=SEND_DELAY_S):
    """Sends one request on a new connection. `until_end` is sent instead of a
    complete request. Returns the outcome."""
    try:
        reader, writer = await asyncio.open_connection(gateway.ip,
                                                       fleets.PORTS.callers)
    except OSError:
        return REFUSED
    try:
        await asyncio.sleep(send_delay_s)
        target = TARGETS[number % len(TARGETS)]
        prompt = None
        if target.startswith("/chat/"):
            prompt = (PROMPT_TOKENS[number // 3 % len(PROMPT_TOKENS)],
                      OUTPUT_TOKENS)
        request = until_end or platform_messages.request_head(
            target, fleets.HTTP_HOST, uuid.uuid4().hex[:16],
            fleets.REQUEST_TIMEOUT_S, fleets.API_KEY, 0, prompt)
        writer.write(request)
        return await asyncio.wait_for(read_answer(reader),
                                      fleets.REQUEST_TIMEOUT_S + 1)
    except (OSError, ConnectionError, asyncio.IncompleteReadError,
            asyncio.TimeoutError, ValueError) as error:
        return f"{LOST}: {type(error).__name__} to {target}"
    finally:
        writer.close()


async def run_caller(gateway, number, outcomes):
    while True:
        outcome = await ask(gateway, number)
        outcomes[outcome] += 1
        if outcome == REFUSED:
            return
        number += CALLERS


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, 1) as fleet:
        gateway = fleet.gateways[0]
        outcomes = collections.Counter()
        callers = [asyncio.ensure_future(run_caller(gateway, number, outcomes))
                   for number in range(CALLERS)]
        await asyncio.sleep(LOAD_S)
        gateway.exit_expected = True
        gateway.signal(signal.SIGTERM)
        begin = time.monotonic()
        await asyncio.sleep(HALF_READ_AFTER_S)
        half_read = await asyncio.gather(*(
            ask(gateway, number, until_end=part)
            for number, part in enumerate((
                b"GET /page/1 HTTP/1.1\r\nHost: ",
                b"POST /post/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\npart"))))
        while gateway.process.poll() is None and \
                time.monotonic() < begin + fleets.BOUNDS.stop_grace_s:
            await asyncio.sleep(0.02)
        took_s = time.monotonic() - begin
        has_ended = gateway.process.poll() is not None
        gateway.kill()
        await asyncio.gather(*callers)
    lost = {outcome: count for outcome, count in outcomes.items()
            if outcome != REFUSED and not isinstance(outcome, int)}
    print(f"ended {has_ended} after {took_s:.2f} s; answers {dict(outcomes)}; "
          f"read in part {half_read}; lost {lost}")
    return has_ended and not lost and all(
        outcome in (408, 503) for outcome in half_read)


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

"""A gateway is frozen for a while and continues. Guards against streams that are sent to
another engine because nothing was read from theirs in that time, although the engines
went on and their answers wait in the gateway's sockets.

python3 testsuite/frozen_gateway/run.py PROGRAM
"""

import asyncio
import collections
import json
import os
import signal
import sys
import uuid

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import gateway_fleet  # noqa: E402
import engine  # noqa: E402
import fleet as fleets  # noqa: E402
import http_messages  # noqa: E402
import platform_messages  # noqa: E402

SEED = 67
ROUNDS = 3
STREAMS = 16
PROMPT_TOKENS = 40_000  # read in 0.2 s
OUTPUT_TOKENS = 400
# Within the reading of the prompts.
FREEZE_AFTER_S = 0.1
# Longer than the time without an event after which a stream moves, shorter than the
# callers' patience.
FREEZE_S = 3.0
MIN_SERVED = 0.5


async def stream(gateway):
    """Returns the number of events of a complete stream, or why there is none."""
    reader, writer = await asyncio.open_connection(gateway.ip,
                                                   fleets.PORTS.callers)
    try:
        writer.write(platform_messages.request_head(
            "/chat/1", fleets.HTTP_HOST, uuid.uuid4().hex[:16],
            fleets.REQUEST_TIMEOUT_S, fleets.API_KEY, 0,
            (PROMPT_TOKENS, OUTPUT_TOKENS)))
        head = await http_messages.read_head(reader)
        if head is None or head.status != 200:
            return f"status {head.status if head else 0}"
        body = await http_messages.read_body(reader, head)
        return body.count(b"\n\n")
    except (OSError, ConnectionError, asyncio.IncompleteReadError) as error:
        return type(error).__name__
    finally:
        writer.close()


def count_runs(fleet):
    with open(fleet.history, encoding="utf-8") as file:
        events = [json.loads(line) for line in file]
    return collections.Counter(event["request"] for event in events
                               if event["step"] == "run")


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, 1) as fleet:
        gateway = fleet.gateways[0]
        outcomes = collections.Counter()
        for _ in range(ROUNDS):
            streams = [asyncio.ensure_future(stream(gateway))
                       for _ in range(STREAMS)]
            await asyncio.sleep(FREEZE_AFTER_S)
            gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            gateway.signal(signal.SIGCONT)
            outcomes.update(await asyncio.wait_for(asyncio.gather(*streams),
                                                   fleets.REQUEST_TIMEOUT_S))
        repeated = [request for request, runs in count_runs(fleet).items()
                    if runs > 1]
    print(f"{len(repeated)} of {ROUNDS * STREAMS} streams ran twice; events of "
          f"the streams {dict(outcomes)}")
    # Queued prompts may be out of time after the pause, and streams that began late
    # end at their deadline.
    served = outcomes[engine.count_events(OUTPUT_TOKENS)]
    return not repeated and served >= MIN_SERVED * ROUNDS * STREAMS


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

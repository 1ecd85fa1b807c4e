"""A gateway stops while callers go on to send requests, on kept and on new
connections, that last longer than what is left of the grace time. Guards against
requests that are taken late and then end without the engine's answer.

python3 testsuite/late_requests/run.py PROGRAM
"""

import asyncio
import collections
import json
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

SEED = 62
TARGETS = ("/post/1", "/page/1")
# Longer than what is left of the grace time after new streams are refused.
ANSWER_S = 1.6
DEADLINE_S = 4.0
INTERVAL_S = 0.2
KEPT_CONNECTIONS = 60
BEFORE_S = 1.0  # requests begin this long before the signal
NOT_TAKEN = "not taken"


class Connection:
    """A connection that may be used again."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, gateway):
        return cls(*await asyncio.open_connection(gateway.ip,
                                                  fleets.PORTS.callers))

    async def ask(self, target, request_id, deadline_s=DEADLINE_S):
        """Returns the status of a complete answer; nothing if the connection was
        closed before the request could be written."""
        self.writer.write(platform_messages.request_head(
            target, fleets.HTTP_HOST, request_id, deadline_s, fleets.API_KEY, 0))
        head = await http_messages.read_head(self.reader)
        if head is None:
            return None
        await http_messages.read_body(self.reader, head)
        return head.status


async def keep_connections(gateway):
    """Returns connections that have been used once and are idle."""
    kept = []
    for number in range(KEPT_CONNECTIONS):
        connection = await Connection.open(gateway)
        status = await connection.ask("/page/1", f"{number:016x}")
        if status == 200:
            kept.append(connection)
    return kept


async def ask_late(gateway, kept, number):
    """Sends one request; returns its id, target and outcome."""
    target, request_id = TARGETS[number % 2], uuid.uuid4().hex[:16]
    outcome = NOT_TAKEN
    try:
        connection = None
        if number % 4 < 2 and kept:
            connection = kept.pop()
            if connection.reader.at_eof():
                return request_id, target, outcome
        else:
            connection = await Connection.open(gateway)
        status = await asyncio.wait_for(connection.ask(target, request_id),
                                        DEADLINE_S + 1)
        outcome = NOT_TAKEN if status is None else status
        connection.writer.close()
    except ConnectionRefusedError:
        pass
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
            ValueError) as error:
        outcome = type(error).__name__
    return request_id, target, outcome


def find_ran(fleet):
    """Returns the ids of the requests that engines began to run."""
    with open(fleet.history, encoding="utf-8") as file:
        return {event["request"] for event in map(json.loads, file)
                if event["step"] == "run"}


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, 1) as fleet:
        gateway = fleet.gateways[0]
        kept = await keep_connections(gateway)
        for host in fleet.engines:
            if host.service in ("desk-a", "desk-b"):
                await host.set_fault(f"takes_{ANSWER_S}")
        asked = []
        begin = time.monotonic()
        is_stopping = False
        while gateway.process.poll() is None and \
                time.monotonic() < begin + BEFORE_S + fleets.BOUNDS.stop_grace_s:
            if not is_stopping and time.monotonic() > begin + BEFORE_S:
                is_stopping = gateway.exit_expected = True
                gateway.signal(signal.SIGTERM)
            # One on a new and one on a kept connection, of both kinds.
            for _ in range(2):
                asked.append(asyncio.ensure_future(
                    ask_late(gateway, kept, len(asked))))
            await asyncio.sleep(INTERVAL_S)
        has_ended = gateway.process.poll() is not None
        gateway.kill()
        answers = await asyncio.gather(*asked)
        ran = find_ran(fleet)
    outcomes = collections.Counter(outcome for _, _, outcome in answers)
    lost = [(target, outcome) for request_id, target, outcome in answers
            if (request_id in ran and outcome != 200) or
            outcome not in (200, 503, NOT_TAKEN)]
    print(f"ended {has_ended}; answers {dict(outcomes)}; lost {lost}")
    return has_ended and outcomes[200] > 0 and outcomes[503] > 0 and not lost


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

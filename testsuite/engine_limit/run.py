"""Engines name a limit on the requests that they take from all gateways together.

python3 testsuite/engine_limit/run.py PROGRAM
"""

import asyncio
import json
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import gateway_fleet  # noqa: E402
import fleet as fleets  # noqa: E402

SEED = 31
GATEWAYS = 5
REQUESTS_PER_S = 60
LIMITS = (1.0, 5.0)
LOAD_S = 12.0
MIN_USED_FRACTION = 0.5
# A request that cannot be placed is refused at once.
MAX_REFUSAL_S = 0.5
# The load after a limit has ended.
END_GRACE_S = 3.0
MIN_SERVED_FRACTION = 0.9


class Load:
    """Sends requests at a constant rate to random gateways."""

    def __init__(self, fleet):
        self.fleet, self.random = fleet, random.Random(SEED)
        self.served = self.refused = self.failed = 0
        self.faults = []

    async def run(self, duration_s):
        self.served = self.refused = self.failed = 0
        end = time.time() + duration_s
        tasks = []
        while time.time() < end:
            tasks.append(asyncio.ensure_future(self.send()))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)
        return self.served / (self.served + self.refused + self.failed)

    async def send(self):
        began = time.monotonic()
        try:
            answer = await gateway_fleet.read_page(
                self.random.choice(self.fleet.gateways))
        except (OSError, asyncio.TimeoutError, ConnectionError):
            self.failed += 1
            return
        if answer.status == 200:
            self.served += 1
            return
        self.refused += 1
        took_s = time.monotonic() - began
        if answer.status != 503 or "retry-after" not in answer.headers or \
                took_s > MAX_REFUSAL_S:
            self.faults.append(f"status {answer.status} after {took_s:.2f} s, "
                               f"headers {sorted(answer.headers)}")


def read_arrivals(fleet, engine, begin, end):
    with open(fleet.history, encoding="utf-8") as file:
        events = [json.loads(line) for line in file]
    return sorted(event["at"] for event in events
                  if event["step"] == "arrived" and event["engine"] == engine
                  and begin <= event["at"] < end)


def count_in_busiest_window(arrivals):
    return max((sum(begin <= at < begin + fleets.LIMIT_WINDOW_S
                    for at in arrivals)
                for begin in arrivals), default=0)


def check_limits(fleet, hosts, named_at, end):
    ok = True
    for host, limit in zip(hosts, LIMITS):
        bound_from = named_at + fleets.LIMIT_GRACE_S
        arrivals = read_arrivals(fleet, host.id, bound_from, end)
        busiest = count_in_busiest_window(arrivals)
        used = len(arrivals) / (end - bound_from) / limit
        allowed = fleets.allowed_requests(limit)
        print(f"an engine that named {limit} a second got {busiest} requests in "
              f"{fleets.LIMIT_WINDOW_S:.0f} s, allowed {allowed}; {used:.2f} of "
              "the limit was used")
        ok &= busiest <= allowed and used >= MIN_USED_FRACTION
    return ok


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, GATEWAYS) as fleet:
        service = fleet.route_moves[-1][1]
        hosts = [host for host in fleet.engines if host.service == service]
        load = Load(fleet)
        for host, limit in zip(hosts, LIMITS):
            await host.set_limit(limit)
        named_at = time.time()
        await load.run(LOAD_S)
        ok = check_limits(fleet, hosts, named_at, time.time())
        await hosts[1].set_limit(None)
        await load.run(END_GRACE_S)
        served = await load.run(LOAD_S / 4)
        print(f"with one limit ended {served:.2f} of the requests were served; "
              f"{len(load.faults)} wrong refusals {load.faults[:3]}")
    return ok and served >= MIN_SERVED_FRACTION and not load.faults


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

"""Engines are cold under a burst: one of two, a new one that does not say so, and all
at once.

python3 testsuite/cold_engines/run.py PROGRAM
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
import platform_messages  # noqa: E402

SEED = 37
GATEWAYS = 4
# Half of it is more than a cold engine may get.
REQUESTS_PER_S = 130
COLD_S = 3.0
COLD_PER_S = 32
# The bounds that the settings file does not state: 1.5 times the limit and 5.
ALLOWED_IN_A_SECOND = 53
# From its registration until a gateway has read it and told the others.
KNOWN_AFTER_S = 2.0
LONG_COLD_S = 7.0
HEARTBEAT_S = 1.0
MIN_USED_FRACTION = 0.5
# The other engine has slots for the requests that the cold one does not get.
MIN_SERVED_FRACTION = 0.9
# A request that cannot be placed is refused at once.
MAX_REFUSAL_S = 0.5


class Load:
    """Sends requests at a constant rate to random gateways."""

    def __init__(self, fleet):
        self.fleet, self.random = fleet, random.Random(SEED)
        self.answers = []  # (sent at, status; 0 for none)
        self.faults = []

    async def run(self):
        tasks = set()
        try:
            while True:
                task = asyncio.ensure_future(self.send())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1 / REQUESTS_PER_S)
        finally:
            await asyncio.gather(*tasks)

    async def send(self):
        sent_at, began = time.time(), time.monotonic()
        try:
            answer = await gateway_fleet.read_page(
                self.random.choice(self.fleet.gateways))
        except (OSError, asyncio.TimeoutError, ConnectionError):
            self.answers.append((sent_at, 0))
            return
        self.answers.append((sent_at, answer.status))
        took_s = time.monotonic() - began
        if answer.status != 200 and (
                answer.status != 503 or "retry-after" not in answer.headers or
                took_s > MAX_REFUSAL_S):
            self.faults.append(f"status {answer.status} after {took_s:.2f} s")

    def served_fraction(self, begin, end):
        statuses = [status for at, status in self.answers if begin <= at < end]
        return statuses.count(200) / max(len(statuses), 1)


def read_arrivals(fleet, engine, begin, end):
    with open(fleet.history, encoding="utf-8") as file:
        events = [json.loads(line) for line in file]
    return [event["in_second"] for event in events
            if event["step"] == "arrived" and event["engine"] == engine
            and begin <= event["at"] < end]


def check_engine(fleet, engine, begin, end, needs_use=True):
    """Checks the requests in each second that lies between the times."""
    busiest = max(read_arrivals(fleet, engine, begin + 1, end), default=0)
    arrivals = read_arrivals(fleet, engine, begin, end)
    used = len(arrivals) / (end - begin) / COLD_PER_S
    print(f"{engine}, cold: {busiest} requests in a second, allowed "
          f"{ALLOWED_IN_A_SECOND}; {used:.2f} of the limit was used")
    return busiest <= ALLOWED_IN_A_SECOND and (
        used >= MIN_USED_FRACTION or not needs_use)


async def keep_cold(hosts, duration_s):
    """Registers the engines with each heartbeat as cold until the time is over."""
    end = time.monotonic() + duration_s
    while (left_s := end - time.monotonic()) > 0:
        for host in hosts:
            await host.register(cold_left_s=left_s)
        await asyncio.sleep(min(HEARTBEAT_S, max(left_s, 0)))
    for host in hosts:
        await host.register(cold_left_s=0)


async def play_cold(fleet, load, hosts):
    """Returns whether engines that say that they are cold are spared."""
    began = time.time()
    await keep_cold(hosts, LONG_COLD_S)
    begin, end = began + KNOWN_AFTER_S, began + LONG_COLD_S
    ok = all([check_engine(fleet, host.id, begin, end) for host in hosts])
    served = load.served_fraction(begin, end)
    print(f"{served:.2f} of the requests were served meanwhile")
    return ok, served


async def play_start(fleet, host):
    """Returns whether a new engine that says nothing is spared."""
    await host.register(is_leaving=True)
    await asyncio.sleep(fleets.DRAIN_PROPAGATION_S)
    await fleet.put_engine(host.id, b"")
    host.child.kill()
    host.start_engine()
    await fleet.wait_until_listening(host.link.target)
    await host.register()
    began = time.time()
    await asyncio.sleep(COLD_S)
    arrivals = read_arrivals(fleet, host.id, began, began + COLD_S)
    busiest = max(arrivals, default=0)
    print(f"{host.id}, just started: {busiest} requests in a second, allowed "
          f"{ALLOWED_IN_A_SECOND}; {len(arrivals)} in {COLD_S:.0f} s")
    return busiest <= ALLOWED_IN_A_SECOND


async def main(program):
    fields = platform_messages.cold_service(COLD_S, COLD_PER_S)
    async with gateway_fleet.running_fleet(program, SEED, GATEWAYS,
                                           service_fields=fields) as fleet:
        service = fleet.route_moves[-1][1]
        hosts = [host for host in fleet.engines if host.service == service]
        load = Load(fleet)
        load_task = asyncio.ensure_future(load.run())
        # Gateways that have just started use little of a limit.
        await asyncio.sleep(3)
        calm = load.served_fraction(0, time.time())
        ok, served = await play_cold(fleet, load, hosts[:1])
        ok &= served >= MIN_SERVED_FRACTION and calm >= MIN_SERVED_FRACTION
        ok &= await play_start(fleet, hosts[1])
        is_spared, _ = await play_cold(fleet, load, hosts)
        ok &= is_spared
        load_task.cancel()
        await asyncio.gather(load_task, return_exceptions=True)
        print(f"{calm:.2f} of the requests were served before; "
              f"{len(load.faults)} wrong refusals {load.faults[:3]}")
    return ok and not load.faults


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

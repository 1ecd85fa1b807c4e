"""Slow answers of an engine are cut by a second attempt, within the operator's limit.

python3 testsuite/hedged_requests/run.py PROGRAM
"""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import gateway_fleet  # noqa: E402
import crashes  # noqa: E402

SEED = 71
REQUESTS_PER_S = 50
# Until the gateway knows the distribution of the times.
WARM_UP_S = 4.0
LOAD_S = 8.0
SHARE = 0.1
# Between a usual answer (0.015 s) and a slow one (0.6 s).
LATE_S = 0.4
# Fewer late answers than this without hedging would show nothing.
MIN_LATE = 5


async def load(gateway, duration_s):
    """Returns the times of the answers in seconds."""
    async def send():
        began = time.monotonic()
        answer = await gateway_fleet.read_page(gateway)
        if answer.status != 200:
            raise ValueError(f"status {answer.status}")
        return time.monotonic() - began

    end = time.time() + duration_s
    tasks = []
    while time.time() < end:
        tasks.append(asyncio.ensure_future(send()))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return await asyncio.gather(*tasks)


async def measure(program, share):
    """Returns the number of requests, of late answers after the warm-up and of
    second arrivals."""
    os.environ["PERIDOTSHELF_HEDGE_REQUESTS"] = str(share)
    async with gateway_fleet.running_fleet(program, SEED, 1) as fleet:
        service = fleet.route_moves[-1][1]
        for host in fleet.engines:
            if host.service == service:
                await host.set_fault("some_slow")
        warm = await load(fleet.gateways[0], WARM_UP_S)
        times = await load(fleet.gateways[0], LOAD_S)
        requests = len(warm) + len(times)
        runs = len([event for event in crashes.read_events(fleet, "arrived")
                    if event["target"].startswith("/page/")])
    late = sum(taken > LATE_S for taken in times)
    print(f"share {share}: {late} of {len(times)} answers after {LATE_S} s, "
          f"{runs - requests} second arrivals for {requests} requests, "
          f"slowest {max(times):.3f} s")
    return requests, late, runs - requests


async def main(program):
    _, late_without, extra_without = await measure(program, 0)
    requests, late, extra = await measure(program, SHARE)
    return (extra_without == 0 and late_without >= MIN_LATE and
            late <= late_without / 2 and 0 < extra <= SHARE * requests)


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

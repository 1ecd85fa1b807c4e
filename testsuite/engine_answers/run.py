"""Guards against requests at engines that said in an answer that they leave or want none
for some time, while the store is away and still has them as ready.

python3 testsuite/engine_answers/run.py PROGRAM
"""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import gateway_fleet  # noqa: E402
import crashes  # noqa: E402
import fleet as fleets  # noqa: E402

SEED = 53
GATEWAYS = 3
REQUESTS_PER_S = 40
CALM_S = 1.0
LEAVING_S = 6.0
# Less than the users allow, since all gateways share what one was told.
LEAVE_GRACE_S = 1.0
PAUSE_S = 3.0
# Each gateway may send two requests from half a second after the rejection to the
# end of the pause.
PAUSE_GRACE_S = 0.5
SENDS_IN_PAUSE = 2
MIN_SERVED_FRACTION = 0.95


async def load(fleet, rand, duration_s):
    """Returns the share of requests that were served."""
    async def send():
        try:
            answer = await gateway_fleet.read_page(rand.choice(fleet.gateways))
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, ConnectionError):
            return False

    end = time.time() + duration_s
    tasks = []
    while time.time() < end:
        tasks.append(asyncio.ensure_future(send()))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    results = await asyncio.gather(*tasks)
    return sum(results) / len(results)


def arrivals(fleet, engine, begin, end):
    return sum(event["engine"] == engine and begin <= event["at"] < end
               for event in crashes.read_events(fleet, "arrived"))


async def check_leaving(fleet, rand, host):
    """The engine says so in its answers; its registration does not show it."""
    await fleet.set_store_fault({"mode": "refuse"})
    await fleets.call(host.link.target, "POST", "/leaving")
    told_at = time.time()
    served = await load(fleet, rand, LEAVING_S)
    await fleet.set_store_fault({"mode": "ok"})
    late = arrivals(fleet, host.id, told_at + LEAVE_GRACE_S, time.time())
    print(f"{late} requests reached an engine later than {LEAVE_GRACE_S} s after "
          f"it began to say that it leaves, allowed 0; {served:.2f} served")
    return late == 0 and served >= MIN_SERVED_FRACTION


async def check_pause(fleet, rand, hosts):
    """All engines of the service reject requests for the same time."""
    for host in hosts:
        await fleets.call(host.link.target, "POST", "/pause",
                          str(PAUSE_S).encode())
    began = time.time()
    await load(fleet, rand, PAUSE_S)
    sends = [arrivals(fleet, host.id, began + PAUSE_GRACE_S, began + PAUSE_S)
             for host in hosts]
    for host in hosts:
        await fleets.call(host.link.target, "POST", "/pause")
    # A gateway may have been told with the last request.
    await asyncio.sleep(PAUSE_S)
    served = await load(fleet, rand, CALM_S)
    allowed = GATEWAYS * SENDS_IN_PAUSE
    print(f"{sends} requests reached the engines in the pause that they asked for, "
          f"allowed {allowed} each; {served:.2f} served after it")
    return max(sends) <= allowed and served >= MIN_SERVED_FRACTION


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, GATEWAYS) as fleet:
        rand = random.Random(SEED)
        service = fleet.route_moves[-1][1]
        hosts = [host for host in fleet.engines if host.service == service]
        await load(fleet, rand, CALM_S)
        has_paused = await check_pause(fleet, rand, hosts)
        has_left = await check_leaving(fleet, rand, hosts[1])
        return has_paused and has_left


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

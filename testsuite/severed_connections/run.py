"""All open connections go silent for good, while new ones work: first those to the
engines, then those to the store.

python3 testsuite/severed_connections/run.py PROGRAM
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
import callers as soak_callers  # noqa: E402
import fleet as fleets  # noqa: E402

SEED = 53
GATEWAYS = 3
LOAD_S = 2.0
# The engines have capacity for all of these.
PROMPT_TOKENS = (2_000, 40_000)
# A gateway whose connection to the store went silent has replaced it by then.
REPLACE_S = 4.5
PROBE_S = 4.0
LEAVE_PROBE_S = 4.0


def read_runs(fleet, engine):
    with open(fleet.history, encoding="utf-8") as file:
        events = [json.loads(line) for line in file]
    return [event["at"] for event in events
            if event["step"] == "run" and event["engine"] == engine]


async def check_engine_connections(fleet):
    """Guards against requests that wait for a silent engine until their callers give
    up, although another engine could serve them."""
    load = soak_callers.Callers(fleet, random.Random(SEED), PROMPT_TOKENS)
    stop = asyncio.Event()
    running = asyncio.ensure_future(load.run(stop))
    await asyncio.sleep(LOAD_S)
    severed_at = time.time()
    for host in fleet.engines:
        host.link.stall()
    await asyncio.sleep(LOAD_S)
    stop.set()
    await running
    open_then = [record for record in load.records
                 if record.sent_at < severed_at < record.ended_at]
    # A request that may not be repeated is lost with its connection.
    lost = [(record.path, record.status) for record in load.records
            if not (record.status == 200 and record.is_complete) and
            not (record.path == "/post/" and record in open_then)]
    print(f"{len(lost)} of {len(load.records)} requests were lost {lost[:3]}; "
          f"{len(open_then)} were open when the connections went silent")
    return not lost and len(open_then) > 0


async def check_store_connections(fleet):
    """Guards against gateways that wait for a silent store: they would miss a
    configuration and an engine that leaves."""
    for link in fleet.store_links:
        link.stall()
    await asyncio.sleep(REPLACE_S)
    await fleet.move_route()
    adopted_s = await gateway_fleet.measure_adoptions(fleet, PROBE_S)
    service = fleet.route_moves[-1][1]
    host = next(host for host in fleet.engines if host.service == service)
    for link in fleet.store_links:
        link.stall()
    await asyncio.sleep(REPLACE_S)
    await host.register(is_leaving=True)
    left_at = time.time()
    while time.time() < left_at + LEAVE_PROBE_S:
        for gateway in fleet.gateways:
            await gateway_fleet.send_page_request(fleet, gateway)
        await asyncio.sleep(gateway_fleet.PROBE_INTERVAL_S)
    last_run_s = max(read_runs(fleet, host.id), default=0.0) - left_at
    print("after the connections to the store went silent, a configuration was "
          f"adopted in {adopted_s:.2f} s, allowed "
          f"{fleets.CONFIGURATION_PROPAGATION_S} s; the last request at an engine "
          f"that left ran {last_run_s:.2f} s after it, allowed "
          f"{fleets.DRAIN_PROPAGATION_S} s")
    return (adopted_s <= fleets.CONFIGURATION_PROPAGATION_S and
            last_run_s <= fleets.DRAIN_PROPAGATION_S)


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, GATEWAYS) as fleet:
        return all([await check_engine_connections(fleet),
                    await check_store_connections(fleet)])


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

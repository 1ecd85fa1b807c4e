"""Routes allow some regions, a region without engines, and any.

python3 testsuite/homes/run.py PROGRAM
"""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import gateway_fleet  # noqa: E402
import fleet as fleets  # noqa: E402

SEED = 41
GATEWAYS = 2
PROBES = 12
# Gateways that have read a configuration have shown it by then, on a busy machine
# too.
WAIT_S = 10.0
POLL_S = 0.05


async def allow_regions(fleet, regions):
    """Publishes a configuration with these regions; returns when all gateways
    have it."""
    fleet.allowed_regions = regions
    await fleet.move_route()
    end = time.monotonic() + WAIT_S
    while True:
        versions = [await gateway_fleet.read_metric(
            gateway, "peridotshelf_configuration_version")
            for gateway in fleet.gateways]
        if versions == [len(fleet.route_moves)] * len(versions):
            return time.time()
        if time.monotonic() > end:
            raise RuntimeError(f"timed out waiting for the version: {versions}")
        await asyncio.sleep(POLL_S)


async def send_requests(fleet):
    """Sends requests to all gateways; returns the statuses of the answers."""
    return [(await gateway_fleet.read_page(gateway)).status
            for _ in range(PROBES) for gateway in fleet.gateways]


def read_regions(fleet, since):
    """Returns the region of each run since then."""
    with open(fleet.history, encoding="utf-8") as file:
        events = [json.loads(line) for line in file]
    return [fleets.REGIONS[fleet.host_of[event["engine"]].failure_domain]
            for event in events
            if event["step"] == "run" and event["at"] >= since]


async def check(fleet, regions, expected_regions, expected_status):
    since = await allow_regions(fleet, regions)
    statuses = await send_requests(fleet)
    reached = read_regions(fleet, since)
    print(f"allowed {regions or 'any'}: {len(statuses)} answers with "
          f"{sorted(set(statuses))}, {len(reached)} requests ran in "
          f"{sorted(set(reached))}")
    return (set(statuses) == {expected_status} and
            set(reached) <= expected_regions and
            len(reached) == (len(statuses) if expected_regions else 0))


def check_reasons(fleet):
    """All refusals were for the region without engines."""
    reasons = 0
    for gateway in fleet.gateways:
        with open(gateway.log, encoding="utf-8") as file:
            reasons += sum('"reason":"no_home_engine"' in line for line in file)
    print(f"{reasons} refusals state that no engine is in an allowed region")
    return reasons == PROBES * len(fleet.gateways)


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, GATEWAYS) as fleet:
        results = [
            await check(fleet, ["west"], {"west"}, 200),
            await check(fleet, ["east", "north"], {"east"}, 200),
            await check(fleet, ["north"], set(), 503),
            await check(fleet, [], {"east", "west"}, 200),
            check_reasons(fleet)]
    return all(results)


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

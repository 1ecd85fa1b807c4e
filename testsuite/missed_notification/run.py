"""The store does not end waiting calls when a record arrives.

python3 testsuite/missed_notification/run.py PROGRAM
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import gateway_fleet  # noqa: E402
from fleet import CONFIGURATION_PROPAGATION_S  # noqa: E402

SEED = 23
GATEWAYS = 5
CHANGES = 2
# Longer than any call of a gateway waits.
PROBE_S = 8.0


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, GATEWAYS) as fleet:
        await fleet.set_store_fault({"mode": "no_notification"})
        slowest_s = 0.0
        for _ in range(CHANGES):
            await fleet.move_route()
            slowest_s = max(slowest_s, await gateway_fleet.measure_adoptions(
                fleet, PROBE_S))
    print(f"the last request under an outdated configuration was sent "
          f"{slowest_s:.2f} s after the change, allowed "
          f"{CONFIGURATION_PROPAGATION_S} s")
    return slowest_s <= CONFIGURATION_PROPAGATION_S


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

"""Guards against sound requests that are blamed for engines which end for another
reason, though they come again and again.

python3 testsuite/killed_engines/run.py PROGRAM
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
import platform_messages  # noqa: E402

SEED = 44
GATEWAYS = 5
KILLS = 8
# An engine is back before the next one is killed.
KILL_INTERVAL_S = 1.6
RESTART_S = 1.0
CALM_S = 3.0
SETTLE_S = 4.0
MIN_SERVED_MEANWHILE = 0.75
MIN_SERVED_AFTER = 0.95


def make_request(_is_sound, _number, request):
    """Every request has the same path, caller and body."""
    return platform_messages.request_head(
        "/page/7", fleets.HTTP_HOST, request, fleets.REQUEST_TIMEOUT_S,
        fleets.API_KEY, 0)


async def kill_engines(fleet, rand):
    for _ in range(KILLS):
        await asyncio.sleep(KILL_INTERVAL_S)
        hosts = [host for host in fleet.engines if host.service == "desk-a" and
                 host.child.process.poll() is None]
        if hosts:
            rand.choice(hosts).child.kill()


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, GATEWAYS,
                                           has_direct_engines=True) as fleet:
        restarts = asyncio.ensure_future(
            crashes.restart_crashed_engines(fleet, RESTART_S))
        load = crashes.Load(fleet, SEED, make_request)
        began = time.time()
        await asyncio.gather(
            load.run(KILLS * KILL_INTERVAL_S, [True]),
            kill_engines(fleet, random.Random(SEED)))
        killed = time.time()
        await asyncio.sleep(SETTLE_S)
        await load.run(CALM_S, [True])
        restarts.cancel()
        meanwhile = load.served_fraction(began, killed)
        after = load.served_fraction(killed, time.time())
    print(f"the same request was served {meanwhile:.2f} while {KILLS} engines "
          f"were killed, {after:.2f} after")
    return meanwhile >= MIN_SERVED_MEANWHILE and after >= MIN_SERVED_AFTER


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

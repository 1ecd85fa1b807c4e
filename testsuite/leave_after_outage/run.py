"""Engines leave, without announcing it, right after an outage of the store.

python3 testsuite/leave_after_outage/run.py PROGRAM
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
import callers as load  # noqa: E402
import fleet as fleets  # noqa: E402
import platform_messages  # noqa: E402

SEED = 19
GATEWAYS = 2
# Prompts that any engine can run.
PROMPT_TOKENS = (2_000,)
OUTAGE_S = 4.0
READ_TIMEOUT_S = 10.0
LEAVE_TO_CHECK_S = 5.0


def read_runs(history):
    with open(history, encoding="utf-8") as file:
        events = [json.loads(line) for line in file]
    return [event for event in events if event["step"] == "run"]


def has_read_again(gateway):
    """Returns whether the gateway has read the registrations after the outage."""
    with open(gateway.log, encoding="utf-8") as file:
        return any('"registry_back"' in line and
                   platform_messages.ENGINE_TOPIC in line for line in file)


async def wait_until_read_again(fleet):
    end = time.monotonic() + READ_TIMEOUT_S
    while not all(has_read_again(gateway) for gateway in fleet.gateways):
        if time.monotonic() > end:
            raise RuntimeError("timed out waiting for the gateways to read")
        await asyncio.sleep(0.02)


async def remove_engines_after_outage(fleet):
    """Removes the registrations of all model engines but the least used one;
    returns the removed ones and the time at which the store acknowledged the last
    removal."""
    await fleet.set_store_fault({"mode": "refuse"})
    await asyncio.sleep(OUTAGE_S)
    await fleet.set_store_fault({"mode": "ok"})
    await wait_until_read_again(fleet)
    runs = [run["engine"] for run in read_runs(fleet.history)]
    models = [host.id for host in fleet.engines if host.service == "models"]
    leaving = sorted(models, key=runs.count)[1:]
    for engine in leaving:
        await fleet.put_engine(engine, b"")
    return leaving, time.time()


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, GATEWAYS) as fleet:
        stop_event = asyncio.Event()
        callers = asyncio.ensure_future(
            load.Callers(fleet, random.Random(SEED),
                         PROMPT_TOKENS).run(stop_event))
        leaving, removed_at = await remove_engines_after_outage(fleet)
        await asyncio.sleep(LEAVE_TO_CHECK_S)
        stop_event.set()
        await callers
        run_times = [run["at"] for run in read_runs(fleet.history)
                     if run["engine"] in leaving]
    last_run_s = max(run_times) - removed_at
    print(f"the last of {len(run_times)} requests at the leaving engines ran "
          f"{last_run_s:.2f} s after their removal, allowed "
          f"{fleets.DRAIN_PROPAGATION_S} s")
    return last_run_s <= fleets.DRAIN_PROPAGATION_S


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

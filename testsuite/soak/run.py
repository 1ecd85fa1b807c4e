"""Runs real gateways with a simulated store and simulated engines under random
faults:

    python3 testsuite/soak/run.py PROGRAM [--seeds N | --minutes M]
        [--first SEED] [--seconds S] [--gateways N] [--keep DIR]
        [--stream-objective S]

Each seed is a run with other faults. Prints the violated invariants, keeps the
logs of failed runs, and exits with 1 if a run failed.
"""

import argparse
import asyncio
import collections
import os
import random
import shutil
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "platform", "standin"))
sys.path.insert(0, HERE)

from callers import Callers  # noqa: E402
from checks import InvariantChecker, read_held_reservations  # noqa: E402
from faults import Faults  # noqa: E402
from fleet import BOUNDS, STREAM_OBJECTIVE_S, Fleet  # noqa: E402

START_TIMEOUT_S = 15
RECOVERY_S = 6
CALM_S = 4
MIN_SERVED_FRACTION = 0.9


async def wait_until_ready(fleet):
    end = time.monotonic() + START_TIMEOUT_S
    while not all(gateway.is_ready for gateway in fleet.gateways):
        if time.monotonic() > end:
            raise RuntimeError("timed out waiting for the gateways to be ready")
        await asyncio.sleep(0.1)


async def run_seed(options, folder, seed):
    """Runs a seed; returns violations, counts of answers, and the faults."""
    net = f"127.{1 + os.getpid() % 250}.{1 + seed % 250}"
    fleet = Fleet(os.path.abspath(options.program), folder, net,
                  options.gateways, options.stream_objective)
    watchers = []
    try:
        await fleet.start()
        watchers = [asyncio.ensure_future(gateway.watch_readiness())
                    for gateway in fleet.gateways]
        await wait_until_ready(fleet)
        callers = Callers(fleet, random.Random(seed))
        faults = Faults(fleet, random.Random(seed + 1),
                        random.Random(seed + 2), random.Random(seed + 3),
                        random.Random(seed + 4), random.Random(seed + 5))
        end = time.monotonic() + options.seconds
        stop_event = asyncio.Event()
        callers_task = asyncio.ensure_future(callers.run(stop_event))
        await faults.run(end)
        await asyncio.sleep(RECOVERY_S)
        calm_at = time.time()
        await asyncio.sleep(CALM_S)
        stop_event.set()
        await callers_task
        await asyncio.sleep(BOUNDS.free_memory_s + 1)
        held_reservations = await read_held_reservations(fleet)
        violations = InvariantChecker(fleet, faults,
                                      callers.records).check_all()
    finally:
        for watcher in watchers:
            watcher.cancel()
        await fleet.stop()
    violations += [f"LEAK: {reservation}" for reservation in held_reservations]
    calm_records = [record for record in callers.records
                    if record.sent_at >= calm_at]
    served = sum(record.status == 200 and record.is_complete
                 for record in calm_records)
    if not calm_records or served < MIN_SERVED_FRACTION * len(calm_records):
        violations.append(f"RECOVER: {served} of {len(calm_records)} served "
                          "after the faults")
    return violations, collections.Counter(
        "cut" if record.is_cut_off else record.status
        for record in callers.records), faults


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--minutes", type=float)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--stream-objective", type=float,
                        default=STREAM_OBJECTIVE_S)
    parser.add_argument("--keep", default=tempfile.gettempdir())
    options = parser.parse_args()
    stop_at = time.monotonic() + 60 * (options.minutes or 0)
    seed = options.first - 1
    seeds_run = failed = 0
    while time.monotonic() < stop_at or (options.minutes is None and
                                           seeds_run < options.seeds):
        seed += 1
        seeds_run += 1
        folder = tempfile.mkdtemp(prefix=f"peridotshelf-soak-{seed}-",
                                  dir=options.keep)
        violations, counts, faults = asyncio.run(
            run_seed(options, folder, seed))
        print(f"seed {seed}: {dict(counts)}, {len(faults.injected)} faults, "
              f"{len(violations)} broken", flush=True)
        for line in violations[:20]:
            print(f"  {line}")
        if violations:
            failed += 1
            print(f"  logs: {folder}")
            for kind, began, ended in faults.injected:
                print(f"    {kind} {began:.2f} {ended:.2f}")
        else:
            shutil.rmtree(folder)
    print(f"{seeds_run} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

"""Guards against more retries of all gateways together than their limit allows, while
nearly all answers of a service fail and gateways are killed, stopped, frozen and kept
from the store in series.

    python3 testsuite/retry_limit/run.py PROGRAM [--seeds N] [--first SEED]
        [--seconds S] [--gateways N] [--jobs N] [--keep DIR]
"""

import argparse
import asyncio
import bisect
import collections
import concurrent.futures
import json
import os
import random
import signal
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "platform", "standin"))
sys.path.insert(0, os.path.join(HERE, "..", "soak"))

import fleet as fleets  # noqa: E402
from callers import Callers  # noqa: E402
from run import wait_until_ready  # noqa: E402

SERVICE = "desk-a"
PATH = "/page/"
CALLERS = 30  # send some 100 requests a second
WARM_UP_S = 3.0
FAULT_INTERVAL_S = (0.4, 3.0)
FREEZE_S = 1.5
STORE_SILENCE_S = 2.0
CALM_S = 2.0  # after the faults, while answers still fail


async def kill(_fleet, chosen):
    for gateway in chosen:
        gateway.kill()
        gateway.start()


async def stop(_fleet, chosen):
    async def stop_one(gateway):
        gateway.exit_expected = True
        gateway.signal(signal.SIGTERM)
        deadline = time.monotonic() + fleets.BOUNDS.stop_grace_s
        while gateway.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        gateway.kill()
        gateway.start()
    await asyncio.gather(*(stop_one(gateway) for gateway in chosen))


async def freeze(_fleet, chosen):
    for gateway in chosen:
        gateway.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    for gateway in chosen:
        gateway.signal(signal.SIGCONT)


async def silence_store_and_kill(fleet, chosen):
    """The gateways cannot read which others there are."""
    await fleet.set_store_fault({"mode": "refuse"})
    await kill(fleet, chosen)
    await asyncio.sleep(STORE_SILENCE_S)
    await fleet.set_store_fault({"mode": "ok"})


FAULTS = [kill, kill, stop, freeze, silence_store_and_kill]


async def inject_faults(fleet, rand, end):
    """Injects faults one after the other, each into one or all gateways."""
    counts = collections.Counter()
    while time.monotonic() < end:
        await asyncio.sleep(rand.uniform(*FAULT_INTERVAL_S))
        fault = rand.choice(FAULTS)
        concerns_all = rand.random() < 0.5
        chosen = (fleet.gateways if concerns_all
                  else [rand.choice(fleet.gateways)])
        counts[f"{fault.__name__} {'all' if concerns_all else 'one'}"] += 1
        await fault(fleet, chosen)
    return counts


async def play(fleet, seed, seconds):
    """Returns the callers' records and how many faults of each kind there were."""
    watchers = []
    try:
        await fleet.start()
        watchers = [asyncio.ensure_future(gateway.watch_readiness())
                    for gateway in fleet.gateways]
        await wait_until_ready(fleet)
        callers = Callers(fleet, random.Random(seed), paths=(PATH,),
                          caller_count=CALLERS)
        stop_event = asyncio.Event()
        sending = asyncio.ensure_future(callers.run(stop_event))
        await asyncio.sleep(WARM_UP_S)
        for host in fleet.engines:
            if host.service == SERVICE:
                await host.set_fault("other_id")
        counts = await inject_faults(fleet, random.Random(seed + 1),
                                     time.monotonic() + seconds)
        await asyncio.sleep(CALM_S)
        stop_event.set()
        await sending
        return callers.records, counts
    finally:
        for watcher in watchers:
            watcher.cancel()
        await fleet.stop()


def read_retries(fleet):
    """Returns the times of the arrivals beyond the first of their request."""
    arrived, retries = set(), []
    with open(fleet.history, encoding="utf-8") as file:
        for event in map(json.loads, file):
            if event["step"] == "arrived" and \
                    fleet.service_of[event["engine"]] == SERVICE:
                if event["request"] in arrived:
                    retries.append(event["at"])
                arrived.add(event["request"])
    return sorted(retries)


def largest_use(records, retries):
    """Returns the retries and the allowed retries of the window that uses the most
    of what is allowed."""
    window = fleets.BOUNDS.retry_window_s
    sent = sorted(record.sent_at for record in records)

    def count(times, begin):
        return (bisect.bisect_left(times, begin + window) -
                bisect.bisect_left(times, begin))

    worst = (0, 1)
    for begin in retries:
        requests = max(count(sent, begin), count(sent, begin - window / 2),
                       count(sent, begin - window))
        allowed = (fleets.BOUNDS.retry_ratio * requests +
                   fleets.BOUNDS.retry_slack)
        used = count(retries, begin)
        if used / allowed > worst[0] / worst[1]:
            worst = (used, allowed)
    return worst


def check_seed(options, seed):
    """Plays one seed; returns a description, and whether it passed."""
    with tempfile.TemporaryDirectory() as folder:
        if options.keep:
            folder = os.path.join(options.keep, str(seed))
            os.makedirs(folder)
        net = f"127.{1 + os.getpid() % 250}.{1 + seed % 250}"
        fleet = fleets.Fleet(os.path.abspath(options.program), folder, net,
                             options.gateways, fleets.STREAM_OBJECTIVE_S)
        records, counts = asyncio.run(play(fleet, seed, options.seconds))
        retries = read_retries(fleet)
    used, allowed = largest_use(records, retries)
    passed = 0 < used <= allowed
    return (f"seed {seed}: {len(records)} requests, {len(retries)} retries, "
            f"largest use {used} of {allowed:.0f}; {dict(counts)}"
            f"{'' if passed else ' FAILED'}"), passed


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=14)
    parser.add_argument("--gateways", type=int, default=5)
    parser.add_argument("--jobs", type=int, default=1,
                        help="seeds that run at the same time")
    parser.add_argument("--keep", help="folder for the logs")
    options = parser.parse_args()
    passed = []
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        runs = [pool.submit(check_seed, options, seed)
                for seed in range(options.first, options.first + options.seeds)]
        for run in runs:
            description, has_passed = run.result()
            print(description, flush=True)
            passed.append(has_passed)
    print(f"{passed.count(False)} of {len(passed)} runs failed")
    return 0 if passed and all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())

"""Guards against answers without length or chunks that the end of an engine's process
cut and that look complete to their callers.

    python3 testsuite/restarted_engines/run.py PROGRAM [--seeds N] [--first SEED]
        [--seconds S] [--variant NAME] [--jobs N] [--keep DIR]
"""

import argparse
import asyncio
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
from checks import REFUSAL_STATUSES  # noqa: E402
from restartable import (ROUTES, SERVICES, UNREPEATABLE_PATHS,  # noqa: E402
                         RestartableFleet, Variant)
from run import wait_until_ready  # noqa: E402

KILL_INTERVAL_S = 0.45
DRAIN_S = 0.5
FREEZE_S = 0.8
FREEZE_INTERVAL_S = 1.6
LONG_OUTPUT_TOKENS = 1_920
CALLERS = 20  # send about 50 requests a second
PROMPT_TOKENS = (2_000, 10_000)
MIN_SERVED_FRACTION = 0.9
RULES = ("MIXED", "ORDER", "TWICE", "REFUSED", "LOST", "SERVED")
MAX_EXAMPLES = 3
VARIANTS = [
    Variant("closed port, new id", "closed", checks_served=True),
    Variant("closed port, same id", "closed", True, checks_served=True),
    Variant("closed port, same id, no start time", "closed", True, False),
    Variant("inherited socket, new id", "inherited"),
    Variant("inherited socket, same id", "inherited", True),
    Variant("inherited socket, same id, no start time", "inherited", True, False),
    Variant("forwarder, new id", "forwarder"),
    Variant("forwarder, same id", "forwarder", True),
    Variant("forwarder, same id, no start time", "forwarder", True, False),
    Variant("draining engine ends", trouble="drains",
            output_tokens=LONG_OUTPUT_TOKENS),
    Variant("gateway stands still", trouble="freezes",
            output_tokens=LONG_OUTPUT_TOKENS)]


async def kill_engines(fleet, rand, end):
    restarts = []
    while time.monotonic() < end:
        await asyncio.sleep(KILL_INTERVAL_S)
        if hosts := fleet.idle_hosts(SERVICES):
            restarts.append(asyncio.ensure_future(rand.choice(hosts).restart()))
    await asyncio.gather(*restarts)
    return len(restarts)


async def drain_engines(fleet, rand, end):
    """Each engine in turn reports that it drains, and its process ends."""
    ended = 0
    while time.monotonic() < end:
        hosts = [rand.choice(fleet.idle_hosts([service]))
                 for service in SERVICES]
        await asyncio.gather(*(host.register(is_leaving=True)
                               for host in hosts))
        await asyncio.sleep(DRAIN_S)
        await asyncio.gather(*(host.restart() for host in hosts))
        ended += len(hosts)
    return ended


async def freeze_gateway(fleet, rand, end):
    """Engines are killed and come back while the gateway stands still."""
    ended = 0
    while time.monotonic() < end:
        hosts = [rand.choice(fleet.idle_hosts([service]))
                 for service in SERVICES]
        fleet.gateways[0].signal(signal.SIGSTOP)
        thaw_at = time.monotonic() + FREEZE_S
        await asyncio.sleep(FREEZE_S / 4)
        await asyncio.gather(*(host.restart() for host in hosts))
        await asyncio.sleep(max(0.0, thaw_at - time.monotonic()))
        fleet.gateways[0].signal(signal.SIGCONT)
        ended += len(hosts)
        await asyncio.sleep(FREEZE_INTERVAL_S - FREEZE_S)
    return ended


TROUBLES = {"kills": kill_engines, "drains": drain_engines,
            "freezes": freeze_gateway}


def find_violations(fleet, records):
    """Returns a pair of rule and description for each violation."""
    runs = collections.defaultdict(list)
    with open(fleet.history, encoding="utf-8") as file:
        for event in map(json.loads, file):
            if event["step"] == "run":
                runs[event["request"]].append(event["engine"])
    found = []
    for record in records:
        about = f"{record.path} {record.request} status {record.status}"
        ran = runs[record.request]
        if record.answer_error:
            found.append(("ORDER" if record.is_stream else "MIXED",
                          f"{about}: {record.answer_error}"))
        elif record.status == 200 and record.is_complete and \
                record.engine not in ran:
            found.append(("MIXED", f"{about}: {record.engine} never ran it"))
        if record.path in UNREPEATABLE_PATHS and len(ran) > 1:
            found.append(("TWICE", f"{about}: ran at {ran}"))
        if record.status in REFUSAL_STATUSES and ran:
            found.append(("REFUSED", f"{about}: ran at {ran}"))
    if fleet.gateways[0].has_exited_unexpectedly():
        found.append(("LOST", "the gateway ended"))
    return found


def served_fraction(records, is_stream):
    """Returns which part of the calls or streams got the whole answer."""
    chosen = [record for record in records if record.is_stream == is_stream]
    served = sum(record.status == 200 and record.is_complete and
                 not record.answer_error for record in chosen)
    return served / max(len(chosen), 1)


async def run_fleet(fleet, variant, seed, seconds):
    """Returns the callers' records and how many processes of engines ended."""
    watcher = None
    try:
        await fleet.start()
        watcher = asyncio.ensure_future(fleet.gateways[0].watch_readiness())
        await wait_until_ready(fleet)
        callers = Callers(fleet, random.Random(seed), PROMPT_TOKENS,
                          variant.output_tokens, tuple(ROUTES), CALLERS)
        stop_event = asyncio.Event()
        sending = asyncio.ensure_future(callers.run(stop_event))
        ended = await TROUBLES[variant.trouble](
            fleet, random.Random(seed + 1), time.monotonic() + seconds)
        stop_event.set()
        await sending
        return callers.records, ended
    finally:
        if watcher is not None:
            watcher.cancel()
        await fleet.stop()


def describe(variant, seed, ended, records, violations):
    """Returns a line of counts and some violations of each rule."""
    counts = collections.Counter(rule for rule, _ in violations)
    statuses = collections.Counter(
        "cut" if record.is_cut_off else record.status for record in records)
    rules = ", ".join(f"{rule} {counts[rule]}" for rule in RULES)
    lines = [f"{variant.name}, seed {seed}: {ended} ends, {len(records)} "
             f"requests; {rules}; served {served_fraction(records, False):.3f} of "
             f"calls, {served_fraction(records, True):.3f} of streams; "
             f"{dict(statuses)}"]
    for rule in RULES:
        texts = [text for found, text in violations if found == rule]
        lines += [f"  {rule} {text}" for text in texts[:MAX_EXAMPLES]]
    return "\n".join(lines)


def check_variant(options, index, seed):
    """Runs one variant; returns a description, and whether it passed."""
    variant = VARIANTS[index]
    with tempfile.TemporaryDirectory() as folder:
        if options.keep:
            folder = os.path.join(options.keep, f"{index}-{seed}")
            os.makedirs(folder)
        net = f"127.{1 + os.getpid() % 250}.{1 + index}"
        fleet = RestartableFleet(os.path.abspath(options.program), folder, net,
                                 variant)
        records, ended = asyncio.run(
            run_fleet(fleet, variant, seed, options.seconds))
        violations = find_violations(fleet, records)
    if variant.checks_served:
        for is_stream, kind in ((False, "calls"), (True, "streams")):
            if served_fraction(records, is_stream) < MIN_SERVED_FRACTION:
                violations.append(("SERVED", f"less than {MIN_SERVED_FRACTION} "
                                             f"of {kind}"))
    return describe(variant, seed, ended, records, violations), not violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--variant", default="",
                        help="only those with this in their name")
    parser.add_argument("--jobs", type=int, default=1,
                        help="variants that run at the same time")
    parser.add_argument("--keep", help="folder for the logs")
    options = parser.parse_args()
    passed = []
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        runs = [pool.submit(check_variant, options, index, seed)
                for seed in range(options.first, options.first + options.seeds)
                for index, variant in enumerate(VARIANTS)
                if options.variant in variant.name]
        for run in runs:
            description, has_passed = run.result()
            print(description, flush=True)
            passed.append(has_passed)
    print(f"{passed.count(False)} of {len(passed)} runs failed")
    return 0 if passed and all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())

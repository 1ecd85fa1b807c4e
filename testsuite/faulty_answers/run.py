"""Engines write an earlier refusal once more, or break streams off and answer their
resumption with something else. No caller is told "not run" for a request that ran, none
runs twice that may not, and no stream has foreign bytes or ends as complete too early.

python3 testsuite/faulty_answers/run.py PROGRAM
"""

import asyncio
import collections
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import crashes  # noqa: E402
import gateway_fleet  # noqa: E402
import callers as soak_callers  # noqa: E402

SEED = 61
LOAD_S = 1.2
PROMPT_TOKENS = (2_000,)
NOT_RUN_STATUSES = (408, 421, 429, 503)
CONTINUATIONS = ("error", "rejection", "created", "no_content", "json",
                 "empty_json", "numbered_json", "error_event", "wrong_number",
                 "new_run", "head")
FAULTS = [f"break_between_then_{name}" for name in CONTINUATIONS] + [
    "break_inside_then_nothing"]


async def play(fleet, rand, fault):
    """Returns the records of callers while all engines have `fault`."""
    for host in fleet.engines:
        await host.set_fault(fault)
    load = soak_callers.Callers(fleet, rand, PROMPT_TOKENS)
    stop = asyncio.Event()
    running = asyncio.ensure_future(load.run(stop))
    await asyncio.sleep(LOAD_S)
    stop.set()
    await running
    for host in fleet.engines:
        await host.set_fault("")
    return load.records


async def check_refusals(fleet, rand):
    records = await play(fleet, rand, "repeated_refusal")
    runs = collections.Counter(event["request"]
                               for event in crashes.read_events(fleet, "run"))
    once = [record for record in records if record.path == "/post/"]
    false = [record for record in once
             if record.status in NOT_RUN_STATUSES and runs[record.request] > 0]
    twice = [record for record in once if runs[record.request] > 1]
    print(f"repeated refusals: {len(once)} requests that may run once, "
          f"{len(false)} refused although they ran, {len(twice)} ran twice")
    return bool(once) and not false and not twice


async def check_streams(fleet, rand, fault):
    streams = [record for record in await play(fleet, rand, fault)
               if record.path == "/chat/"]
    wrong = [record.answer_error for record in streams if record.answer_error]
    begun = sum(record.status == 200 for record in streams)
    print(f"{fault}: {len(streams)} streams, {begun} begun, {len(wrong)} wrong "
          f"{wrong[:1]}")
    return begun > 0 and not wrong


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, 2) as fleet:
        rand = random.Random(SEED)
        ok = not any(record.answer_error
                     for record in await play(fleet, rand, ""))
        ok &= await check_refusals(fleet, rand)
        for fault in FAULTS:
            ok &= await check_streams(fleet, rand, fault)
    return ok


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

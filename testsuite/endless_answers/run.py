"""Engines send bytes without end instead of an answer, fast or a byte at a time.
The gateway's memory stays bounded, no caller gets wrong bytes, and requests that do
not need the engine keep their times.

python3 testsuite/endless_answers/run.py PROGRAM
"""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import gateway_fleet  # noqa: E402
import callers as soak_callers  # noqa: E402
import fleet as fleets  # noqa: E402

SEED = 41
WARM_UP_S = 4.0
LOAD_S = 3.0
FAULTS = ("endless_line", "endless_lines", "endless_chunk_size", "endless_event",
          "endless_body")
MAX_GROWTH_KB = 2 * 1024
MAX_MEDIAN_RATIO = 2.0
MIN_SERVED_FRACTION = 0.98
# The engines without a fault have capacity for all of these.
PROMPT_TOKENS = (2_000, 2_000, 40_000)


def read_peak_kb(gateway):
    """Returns the gateway's peak memory since its start."""
    with open(f"/proc/{gateway.process.pid}/status",
              encoding="utf-8") as file:
        return next(int(line.split()[1]) for line in file
                    if line.startswith("VmHWM:"))


async def play(fleet, duration_s):
    """Returns the records of callers that send requests for `duration_s`."""
    load = soak_callers.Callers(fleet, random.Random(SEED), PROMPT_TOKENS)
    stop = asyncio.Event()
    running = asyncio.ensure_future(load.run(stop))
    await asyncio.sleep(duration_s)
    stop.set()
    await running
    return load.records


def median_time(records):
    """Returns the median time of the calls that were served."""
    times = sorted(record.ended_at - record.sent_at for record in records
                   if record.path != "/chat/" and record.status == 200)
    return times[len(times) // 2]


async def check_fault(fleet, fault, usual_s):
    # One engine of each kind, so that another can serve each request.
    hosts = [next(host for host in fleet.engines if host.kind == kind)
             for kind in ("model", "plain")]
    for host in hosts:
        await host.set_fault(fault)
    records = await play(fleet, LOAD_S)
    for host in hosts:
        await host.set_fault("")
    wrong = [record.answer_error for record in records if record.answer_error]
    # The faulty plain engine may have run a request that can be repeated.
    served = sum(record.status == 200 and record.is_complete
                 for record in records) / len(records)
    median_s = median_time(records)
    peaks = [read_peak_kb(gateway) for gateway in fleet.gateways]
    print(f"{fault}: peak memory {peaks} KB, {served:.2f} of {len(records)} served, median "
          f"{median_s * 1000:.0f} ms, usually {usual_s * 1000:.0f} ms, "
          f"{len(wrong)} wrong {wrong[:2]}")
    return not wrong and served >= MIN_SERVED_FRACTION and \
        median_s <= MAX_MEDIAN_RATIO * usual_s


async def main(program):
    ok = True
    async with gateway_fleet.running_fleet(program, SEED, 2) as fleet:
        usual_s = median_time(await play(fleet, WARM_UP_S))
        usual_kb = [read_peak_kb(gateway) for gateway in fleet.gateways]
        for fault in FAULTS:
            for prefix in ("", "slow_"):
                ok &= await check_fault(fleet, prefix + fault, usual_s)
        for gateway, before_kb in zip(fleet.gateways, usual_kb):
            growth_kb = read_peak_kb(gateway) - before_kb
            print(f"gateway {gateway.number}: peak memory {before_kb} KB, "
                  f"{growth_kb} KB more afterwards")
            ok &= growth_kb <= MAX_GROWTH_KB
    return ok


if __name__ == "__main__":
    began = time.monotonic()
    passed = asyncio.run(main(sys.argv[1]))
    print(f"{time.monotonic() - began:.0f} s")
    sys.exit(0 if passed else 1)

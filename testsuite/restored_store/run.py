"""The store is restored from a copy some seconds old.

python3 testsuite/restored_store/run.py PROGRAM
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

SEED = 29
GATEWAYS = 3
PROBE_S = 4.0
SETTLE_S = 0.5
COPY_S = 0.1
# All gateways have read the registrations by then.
POLL_S = 1.6
# Engines write their registrations again within this time of a restore.
ENGINES_RETURN_S = 1.5
LEAVE_PROBE_S = 4.0
# The store removes an engine after three heartbeats of 1 s; running engines write
# again within 2 s.
SILENT_ENGINE_S = 5.0
# Gateways have announced themselves again, and greeted each other, by then.
ENTRIES_RETURN_S = 3.0


def read_runs(fleet, engines):
    with open(fleet.history, encoding="utf-8") as file:
        events = [json.loads(line) for line in file]
    return [event for event in events
            if event["step"] == "run" and event["engine"] in engines]


async def note_copy():
    """Returns the time of a copy of the store, before any later change."""
    copied_at = time.time()
    await asyncio.sleep(COPY_S)
    return copied_at


async def check_configuration(fleet):
    """Two versions are lost; the newest is written again and another one follows
    at once, so that the topic ends again where the gateways' next read begins."""
    copied_at = await note_copy()
    await fleet.move_route()
    await fleet.move_route()
    await asyncio.sleep(SETTLE_S)
    other_service = fleet.route_moves[-2][1]
    await fleet.restore_store(time.time() - copied_at, other_service)
    slowest_s = await gateway_fleet.measure_adoptions(fleet, PROBE_S)
    print("the last request under an outdated configuration was sent "
          f"{slowest_s:.2f} s after the change, allowed "
          f"{fleets.CONFIGURATION_PROPAGATION_S} s")
    return slowest_s <= fleets.CONFIGURATION_PROPAGATION_S


async def send_page_requests(fleet, until):
    """Sends requests to all gateways; returns how many were not served."""
    failed = 0
    while time.time() < until:
        for gateway in fleet.gateways:
            if await gateway_fleet.send_page_request(fleet, gateway) is None:
                failed += 1
        await asyncio.sleep(gateway_fleet.PROBE_INTERVAL_S)
    return failed


async def check_leaving_engine(fleet, service, is_announced):
    """The most used engine of a service leaves, and the copy has it as ready. It
    never writes again."""
    await send_page_requests(fleet, time.time() + POLL_S)
    hosts = [host for host in fleet.engines if host.service == service]
    host = max(hosts, key=lambda candidate: len(
        read_runs(fleet, [candidate.id])))
    copied_at = await note_copy()
    if is_announced:
        await host.register(is_leaving=True)
    else:
        await fleet.put_engine(host.id, b"")
    left_at = time.time()
    await asyncio.sleep(POLL_S)
    await fleet.restore_store(time.time() - copied_at)
    await send_page_requests(fleet, left_at + LEAVE_PROBE_S)
    run_times = [run["at"] - left_at for run in read_runs(fleet, [host.id])]
    last_run_s = max(run_times, default=0.0)
    kind = "announced" if is_announced else "silent"
    print(f"the last request at an engine that left ({kind}) ran "
          f"{last_run_s:.2f} s after it, allowed {fleets.DRAIN_PROPAGATION_S} s")
    await host.register()
    return last_run_s <= fleets.DRAIN_PROPAGATION_S


async def check_new_gateway(fleet, service, is_announced):
    """A gateway that starts from the copy sends nothing to an engine that its peers
    know to have left."""
    host = next(host for host in fleet.engines if host.service == service)
    copied_at = await note_copy()
    if is_announced:
        await host.register(is_leaving=True)
    else:
        await fleet.put_engine(host.id, b"")
    left_at = time.time()
    await asyncio.sleep(POLL_S)
    await fleet.restore_store(time.time() - copied_at)
    new = await fleet.add_gateway()
    watcher = asyncio.ensure_future(new.watch_readiness())
    sent = 0
    while time.time() < left_at + LEAVE_PROBE_S:
        if new.is_ready:
            await gateway_fleet.send_page_request(fleet, new)
            sent += 1
        await asyncio.sleep(gateway_fleet.PROBE_INTERVAL_S)
    late = [run for run in read_runs(fleet, [host.id])
            if run["at"] > left_at + fleets.DRAIN_PROPAGATION_S]
    kind = "announced" if is_announced else "silent"
    print(f"{len(late)} of {sent} requests of a new gateway ran at an engine that "
          f"left ({kind}) later than {fleets.DRAIN_PROPAGATION_S} s after it")
    watcher.cancel()
    new.kill()
    fleet.gateways.remove(new)
    await host.register()
    await asyncio.sleep(SETTLE_S)
    return sent > 0 and not late


async def check_new_engines(fleet, service):
    """Engines that the copy does not have serve on until they write again."""
    hosts = [host for host in fleet.engines if host.service == service]
    await asyncio.sleep(POLL_S)
    for host in hosts:
        await fleet.put_engine(host.id, b"")
    copied_at = await note_copy()
    for host in hosts:
        await host.register()
    await asyncio.sleep(POLL_S)
    await fleet.restore_store(time.time() - copied_at)
    failed = await send_page_requests(fleet, time.time() + ENGINES_RETURN_S)
    for host in hosts:
        await host.register()
    failed += await send_page_requests(fleet, time.time() + SETTLE_S)
    print(f"{failed} requests were refused since the store had lost the engines")
    return failed == 0


async def check_running_engine(fleet):
    """An engine whose registration was removed runs, and has in the copy the
    registration that it would write."""
    host = fleet.engines[0]
    copied_at = await note_copy()
    await fleet.put_engine(host.id, b"")
    await asyncio.sleep(POLL_S)
    await fleet.restore_store(time.time() - copied_at)
    await asyncio.sleep(POLL_S)
    before = [await gateway_fleet.read_metric(gateway, "peridotshelf_engines_known")
              for gateway in fleet.gateways]
    await asyncio.sleep(SILENT_ENGINE_S)
    after = [await gateway_fleet.read_metric(gateway, "peridotshelf_engines_known")
             for gateway in fleet.gateways]
    print(f"engines known before and after the registration outlasted the time "
          f"of a silent engine: {before}, {after}")
    all_engines = len(fleet.engines)
    return (before == [all_engines - 1] * GATEWAYS and
            after == [all_engines] * GATEWAYS)


async def check_peers(fleet):
    """A gateway that starts after a restore finds those that the copy does not
    have."""
    await asyncio.sleep(SETTLE_S)
    first_start = min(gateway.started_at for gateway in fleet.gateways)
    await fleet.restore_store(time.time() - first_start)
    await asyncio.sleep(ENTRIES_RETURN_S)
    new = await fleet.add_gateway()
    await asyncio.sleep(ENTRIES_RETURN_S)
    live = await gateway_fleet.read_metric(new, "peridotshelf_live_entries")
    print(f"a new gateway found {live} of {GATEWAYS + 1} live entries, itself "
          "included")
    new.kill()
    fleet.gateways.remove(new)
    return live == GATEWAYS + 1


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, GATEWAYS) as fleet:
        results = [await check_peers(fleet),
                   await check_configuration(fleet)]
        service = fleet.route_moves[-1][1]
        for is_announced in (True, False):
            results.append(await check_leaving_engine(fleet, service,
                                                      is_announced))
            results.append(await check_new_gateway(fleet, service, is_announced))
        results.append(await check_new_engines(fleet, service))
        results.append(await check_running_engine(fleet))
    return all(results)


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

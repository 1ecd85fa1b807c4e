"""The operator evacuates failure domains: while the store turns one gateway away,
with a gateway that starts meanwhile, with a store that loses the record, and all
domains at once.

python3 testsuite/evacuation/run.py PROGRAM
"""

import asyncio
import json
import os
import sys
import time
import uuid

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import gateway_fleet  # noqa: E402
import fleet as fleets  # noqa: E402
import http_messages  # noqa: E402
import platform_messages  # noqa: E402

SEED = 37
GATEWAYS = 3
DOMAIN, OTHER_DOMAIN = "zone-0", "zone-1"
METRIC = "peridotshelf_evacuated_domains"
# Gateways that have read a record have shown it by then, on a busy machine too.
WAIT_S = 10.0
POLL_S = 0.05
PROBES = 12
REFUSAL_S = 2.0


def read_runs(fleet, failure_domain):
    with open(fleet.history, encoding="utf-8") as file:
        events = [json.loads(line) for line in file]
    return [event for event in events if event["step"] == "run" and
            fleet.host_of[event["engine"]].failure_domain == failure_domain]


async def wait_for(condition, what):
    """Waits until the coroutine `condition` returns true; returns the time."""
    end = time.monotonic() + WAIT_S
    while not await condition():
        if time.monotonic() > end:
            raise RuntimeError(f"timed out waiting for {what}")
        await asyncio.sleep(POLL_S)
    return time.time()


async def wait_for_domains(gateways, count):
    """Waits until all `gateways` show `count` evacuated domains."""
    async def is_shown():
        shown = [await gateway_fleet.read_metric(gateway, METRIC)
                 for gateway in gateways]
        return shown == [count] * len(gateways)
    return await wait_for(is_shown, f"{count} evacuated domains")


async def send_requests(fleet, gateways):
    """Sends requests to each of `gateways`; returns how many were served."""
    served = 0
    for _ in range(PROBES):
        for gateway in gateways:
            if await gateway_fleet.send_page_request(fleet, gateway):
                served += 1
    return served


async def send_prompt(gateway):
    """Sends a request for a stream; returns the answer's head."""
    reader, writer = await asyncio.open_connection(
        gateway.ip, fleets.PORTS.callers)
    try:
        writer.write(platform_messages.request_head(
            "/chat/1", fleets.HTTP_HOST, uuid.uuid4().hex[:16],
            fleets.REQUEST_TIMEOUT_S, fleets.API_KEY, 0, (2_000, 100)))
        return await http_messages.read_head(reader)
    finally:
        writer.close()


async def turn_away(fleet, gateway, folder):
    """Makes the store answer all calls of one gateway with 503; returns the
    process that does so."""
    address = (f"{fleet.net}.3", 8000)
    refusing = fleets.Child(
        [sys.executable, os.path.join(fleets.STANDIN_FOLDER, "store.py"),
         address[0], str(address[1])], os.path.join(folder, "refusing.log"))
    await fleet.wait_until_listening(address)
    await fleets.call(address, "POST", "/fault",
                      json.dumps({"mode": "refuse"}).encode())
    gateway.store_link.target = address
    gateway.store_link.reset()

    async def has_lost_store():
        with open(gateway.log, encoding="utf-8") as file:
            return any('"registry_lost"' in line and
                       platform_messages.CONFIGURATION_TOPIC in line
                       for line in file)
    await wait_for(has_lost_store, "the gateway to be turned away")
    return refusing


async def check_evacuation(fleet):
    """All gateways obey, also the one that cannot read the store."""
    served_before = await send_requests(fleet, fleet.gateways)
    runs_before = len(read_runs(fleet, DOMAIN))
    acknowledged_at = await fleet.evacuate(DOMAIN)
    in_force_at = await wait_for_domains(fleet.gateways, 1)
    served = await send_requests(fleet, fleet.gateways)
    late = [run for run in read_runs(fleet, DOMAIN) if run["at"] > in_force_at]
    took_s = in_force_at - acknowledged_at
    print(f"in force at all gateways after {took_s:.2f} s, allowed "
          f"{fleets.BOUNDS.evacuation_s} s; {runs_before} of {served_before} "
          f"requests ran in {DOMAIN} before, {len(late)} of {served} after")
    return (0 < runs_before and not late and
            served == served_before == PROBES * len(fleet.gateways) and
            took_s <= fleets.BOUNDS.evacuation_s)


async def check_new_gateway(fleet):
    """A gateway that starts during the evacuation obeys from its first request."""
    began_at = time.time()
    new = await fleet.add_gateway()
    watcher = asyncio.ensure_future(new.watch_readiness())

    async def is_ready():
        return new.is_ready
    try:
        await wait_for(is_ready, "the new gateway")
        served = await send_requests(fleet, [new])
    finally:
        watcher.cancel()
    late = [run for run in read_runs(fleet, DOMAIN) if run["at"] > began_at]
    print(f"{len(late)} of {served} requests of a new gateway ran in {DOMAIN}")
    return served == PROBES and not late


async def check_end(fleet):
    """The domain gets requests again, also from the gateway that is turned
    away."""
    await fleet.end_evacuation(DOMAIN)
    ended_at = await wait_for_domains(fleet.gateways, 0)
    served = await send_requests(fleet, fleet.gateways[:1])
    runs = [run for run in read_runs(fleet, DOMAIN) if run["at"] > ended_at]
    print(f"{len(runs)} of {served} requests of the gateway that is turned away "
          f"ran in {DOMAIN} after the evacuation")
    return served == PROBES and len(runs) > 0


async def check_restore(fleet):
    """A restored store lacks the record: the evacuation is held, and ends if the
    operator does not write it again."""
    copied_at = time.time()
    await asyncio.sleep(0.1)
    await fleet.evacuate(DOMAIN)
    await wait_for_domains(fleet.gateways, 1)
    await fleet.restore_store(time.time() - copied_at)
    restored_at = time.time()
    served = await send_requests(fleet, fleet.gateways)
    late = [run for run in read_runs(fleet, DOMAIN) if run["at"] > restored_at]
    ended_at = await wait_for_domains(fleet.gateways, 0)
    held_s = ended_at - restored_at
    print(f"{len(late)} of {served} requests ran in {DOMAIN} after the restore; "
          f"held for {held_s:.1f} s, expected {fleets.BOUNDS.evacuation_s} s")
    return served > 0 and not late and held_s > fleets.BOUNDS.evacuation_s / 2


async def check_all_domains(fleet):
    """Without an engine requests are refused at once."""
    for domain in (DOMAIN, OTHER_DOMAIN):
        await fleet.evacuate(domain)
    in_force_at = await wait_for_domains(fleet.gateways, 2)
    refused = 0
    for gateway in fleet.gateways:
        for send in (gateway_fleet.read_page, send_prompt):
            sent_at = time.monotonic()
            answer = await send(gateway)
            if (answer.status == 503 and "retry-after" in answer.headers and
                    time.monotonic() - sent_at < REFUSAL_S):
                refused += 1
    runs = [run for domain in (DOMAIN, OTHER_DOMAIN)
            for run in read_runs(fleet, domain) if run["at"] > in_force_at]
    with open(fleet.gateways[0].log, encoding="utf-8") as file:
        reasons = sum('"reason":"evacuated"' in line for line in file)
    await fleet.end_evacuation(OTHER_DOMAIN)
    await wait_for_domains(fleet.gateways, 1)
    served = await send_requests(fleet, fleet.gateways)
    expected = 2 * len(fleet.gateways)
    print(f"{refused} of {expected} requests were refused at once while all "
          f"domains were evacuated, {reasons} by the first gateway; {len(runs)} "
          f"ran; {served} served after the end of one")
    return (refused == expected and reasons == 2 and not runs and
            served == PROBES * len(fleet.gateways))


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, GATEWAYS) as fleet:
        refusing = await turn_away(fleet, fleet.gateways[0], fleet.folder)
        try:
            results = [await check_evacuation(fleet),
                       await check_new_gateway(fleet),
                       await check_end(fleet),
                       await check_restore(fleet),
                       await check_all_domains(fleet)]
        finally:
            refusing.kill()
    return all(results)


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

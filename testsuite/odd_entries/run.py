"""Guards against entries of another writer among those of the engines that are used as
engines, end a gateway or stop it from following the others.

python3 testsuite/odd_entries/run.py PROGRAM
"""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import gateway_fleet  # noqa: E402
import crashes  # noqa: E402
import fleet as fleets  # noqa: E402
import odd_entries  # noqa: E402

SEED = 59
GATEWAYS = 2
REJECTED_EVENT = 606
ENTRY_INTERVAL_S = 0.05
FOLLOW_S = 3.0
READY_S = 10.0
PHASE_S = 1.5


class Trap:
    """Listens at the address that the odd entries name."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.connections = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.accept, self.ip, self.port)

    async def accept(self, _reader, writer):
        self.connections += 1
        writer.close()


class Calls:
    """Counts how many requests were served."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.sent = self.served = 0

    async def send(self):
        for gateway in self.fleet.gateways:
            self.sent += 1
            try:
                answer = await gateway_fleet.read_page(gateway)
                self.served += answer.status == 200
            except (OSError, asyncio.TimeoutError, ConnectionError):
                pass  # Counted as not served.

    async def send_for(self, duration_s):
        end = time.time() + duration_s
        while time.time() < end:
            await self.send()
            await asyncio.sleep(ENTRY_INTERVAL_S)


def rejected_ids(gateway):
    """Returns the ids of the entries that the gateway logged as rejected."""
    ids = set()
    with open(gateway.log, encoding="utf-8", errors="replace") as log:
        for line in log:
            if f'"event":{REJECTED_EVENT},' in line:
                ids.add(json.loads(line)["id"])
    return ids


async def leave_odd_entries(fleet, calls, trap):
    """Returns the ids under which odd entries were left."""
    service = fleet.route_moves[-1][1]
    address = f"{trap.ip}:{trap.port}"
    odd = odd_entries.odd_entries(service, address, "zone-0")
    left = {f"odd-{number:03}": entry for number, entry in enumerate(odd)}
    sound = odd_entries.sound_entry(service, address, "zone-0")
    for key, entry in [*left.items(),
                       *((key, sound) for key in odd_entries.ODD_IDS),
                       *((key, odd_entries.large_entry())
                         for key in odd_entries.PAGE_KEYS)]:
        await fleet.put_engine(key, entry)
        await calls.send()
        await asyncio.sleep(ENTRY_INTERVAL_S)
    return list(left)


async def check_followed(fleet, ids):
    """Each gateway has rejected all the entries."""
    await asyncio.sleep(FOLLOW_S)
    wanted = set(ids)
    missing = [sorted(wanted - rejected_ids(gateway))
               for gateway in fleet.gateways]
    count = len(odd_entries.ODD_IDS) + len(odd_entries.PAGE_KEYS)
    odd_ids = [len(rejected_ids(gateway) - wanted) for gateway in fleet.gateways]
    print(f"{[len(ids) for ids in missing]} of {len(wanted)} odd entries were not "
          f"rejected, allowed 0: {missing[0][:5]}; {odd_ids} odd ids were, wanted "
          f"{count} each")
    return not any(missing) and all(number == count for number in odd_ids)


async def check_turned_odd(fleet, calls, host):
    """A sound entry turns odd and sound again."""
    sound = odd_entries.fields(host.service, host.address(), host.failure_domain)
    await fleet.put_engine(host.id, odd_entries.write({**sound, "slots": '"x"'}))
    turned_at = time.time()
    await calls.send_for(PHASE_S)
    sound_at = time.time()
    await host.register()
    await calls.send_for(PHASE_S)
    arrivals = [event["at"] for event in crashes.read_events(fleet, "arrived")
                if event["engine"] == host.id]
    late = sum(turned_at + 1 <= at < sound_at for at in arrivals)
    back = sum(at >= sound_at for at in arrivals)
    print(f"{late} requests reached an engine later than 1 s after its entry turned "
          f"odd, allowed 0; {back} after it was sound again, wanted 1 or more")
    return late == 0 and back > 0


async def check_started_gateway(fleet):
    """A gateway that starts reads all the odd entries at once."""
    gateway = await fleet.add_gateway()
    watcher = asyncio.ensure_future(gateway.watch_readiness())
    end = time.monotonic() + READY_S
    while not gateway.is_ready and time.monotonic() < end:
        await asyncio.sleep(0.1)
    watcher.cancel()
    print(f"a gateway that starts is ready: {gateway.is_ready}, wanted True")
    return gateway.is_ready


async def check_replacement(fleet, calls, host):
    """An engine that is replaced after all odd entries is found."""
    old = host.id
    host.child.kill()
    host.start_engine()
    await fleet.wait_until_listening(host.link.target)
    await fleet.put_engine(old, b"")
    await host.register()
    await asyncio.sleep(1.0)
    await calls.send_for(PHASE_S)
    runs = sum(event["engine"] == host.id
               for event in crashes.read_events(fleet, "run"))
    print(f"{runs} requests ran at an engine that registered after the odd entries, "
          f"wanted 1 or more")
    return runs > 0


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, GATEWAYS) as fleet:
        trap = Trap(f"{fleet.net}.240", 9000)
        await trap.start()
        service = fleet.route_moves[-1][1]
        hosts = [host for host in fleet.engines if host.service == service]
        calls = Calls(fleet)
        ids = await leave_odd_entries(fleet, calls, trap)
        checks = [await check_followed(fleet, ids),
                  await check_turned_odd(fleet, calls, hosts[0])]
        sent_before, served_before = calls.sent, calls.served
        checks.append(await check_started_gateway(fleet))
        checks.append(await check_replacement(fleet, calls, hosts[1]))
        ended = sum(gateway.has_exited_unexpectedly()
                    for gateway in fleet.gateways)
        print(f"{served_before} of {sent_before} requests were served beside odd "
              f"entries, {trap.connections} connections reached their address, "
              f"allowed 0; {ended} gateways ended, allowed 0")
        return (all(checks) and served_before == sent_before and ended == 0
                and trap.connections == 0)


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

"""Engines that end under some requests and come back, and callers that send such
requests beside sound ones."""

import asyncio
import collections.abc
import dataclasses
import json
import random
import time
import uuid

import gateway_fleet
import fleet as fleets
import http_messages
import platform_messages

RESTART_S = 2.5
WATCH_INTERVAL_S = 0.02
# The system may learn until this long after the crash that makes a request known.
LEARNING_S = 3.0
# Sends to engines that are allowed after that.
ALLOWED_SENDS = 3
# Sound requests are served at least this much as often as before.
MIN_SOUND_FRACTION = 0.5
MAX_REFUSAL_S = 0.5
SOUND_INTERVAL_S = 0.08
CRASHING_INTERVAL_S = 0.3
PROMPT_TOKENS = 2_000
OUTPUT_TOKENS = 200


@dataclasses.dataclass
class Call:
    """A request and what its caller got."""
    request: str
    is_sound: bool
    sent_at: float
    status: int = 0  # HTTP status; 0 without a complete answer
    took_s: float = 0
    has_retry_after: bool = False


async def restart_crashed_engines(fleet, restart_s=RESTART_S):
    """Restarts each engine some time after it ended, under a new id."""
    async def restart(host):
        await asyncio.sleep(restart_s)
        ended = host.id
        host.start_engine()
        await fleet.wait_until_listening(host.link.target)
        await fleet.put_engine(ended, b"")
        await host.register()

    restarts = {}
    while True:
        for host in fleet.engines:
            is_restarting = (host in restarts and not restarts[host].done())
            if host.child.process.poll() is not None and not is_restarting:
                host.child.exit_expected = True
                restarts[host] = asyncio.ensure_future(restart(host))
        await asyncio.sleep(WATCH_INTERVAL_S)


async def restart_gateway(gateway, delay_s):
    """A restarted gateway has seen no crash."""
    await asyncio.sleep(delay_s)
    gateway.kill()
    gateway.start()


class Load:
    """Sends requests to random gateways. `make_request(is_sound, number)` returns
    the head of one, given its id."""

    def __init__(self, fleet, seed, make_request):
        self.fleet, self.make_request = fleet, make_request
        self.random = random.Random(seed)
        self.calls = []

    async def run(self, duration_s, kinds):
        """Sends requests of `kinds`, True for sound ones, for a time."""
        await asyncio.gather(*(self.send_series(duration_s, is_sound)
                               for is_sound in kinds))

    async def send_series(self, duration_s, is_sound):
        interval_s = SOUND_INTERVAL_S if is_sound else CRASHING_INTERVAL_S
        end = time.monotonic() + duration_s
        tasks = []
        while time.monotonic() < end:
            tasks.append(asyncio.ensure_future(self.send(is_sound)))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)

    async def send(self, is_sound):
        call = Call(uuid.UUID(int=self.random.getrandbits(128)).hex[:16],
                    is_sound, time.time())
        head = self.make_request(is_sound, len(self.calls), call.request)
        gateway = self.random.choice(self.fleet.gateways)
        self.calls.append(call)
        try:
            await asyncio.wait_for(self.read(call, gateway, head),
                                   fleets.REQUEST_TIMEOUT_S + 1)
        except (OSError, asyncio.TimeoutError, ConnectionError, ValueError,
                asyncio.IncompleteReadError):
            call.status = 0
        call.took_s = time.time() - call.sent_at

    @staticmethod
    async def read(call, gateway, head):
        reader, writer = await asyncio.open_connection(gateway.ip,
                                                       fleets.PORTS.callers)
        try:
            writer.write(head)
            answer = await http_messages.read_head(reader)
            if answer is None:
                raise ConnectionError("no answer")
            await http_messages.read_body(reader, answer)
            call.status = answer.status
            call.has_retry_after = "retry-after" in answer.headers
        finally:
            writer.close()

    def served_fraction(self, begin, end):
        """Of the sound requests that were sent in the span."""
        calls = [call for call in self.calls
                 if call.is_sound and begin <= call.sent_at < end]
        return sum(call.status == 200 for call in calls) / max(len(calls), 1)


@dataclasses.dataclass(frozen=True)
class Case:
    """Requests that crash engines come beside sound ones at five gateways, of which
    one is restarted meanwhile."""
    seed: int
    make_request: collections.abc.Callable
    known_after_crashes: int
    trouble_s: float
    gateway_restart_s: float
    calm_s: float = 4.0
    gateways: int = 5

    async def run(self, program):
        """Returns whether the promises were kept."""
        async with gateway_fleet.running_fleet(program, self.seed,
                                               self.gateways,
                                               has_direct_engines=True) as fleet:
            restarts = asyncio.ensure_future(restart_crashed_engines(fleet))
            load = Load(fleet, self.seed, self.make_request)
            calm = (time.time(), time.time() + self.calm_s)
            await load.run(self.calm_s, [True])
            await asyncio.gather(
                load.run(self.trouble_s, [True, False]),
                restart_gateway(fleet.gateways[0], self.gateway_restart_s))
            restarts.cancel()
            return check(fleet, load, calm, self.known_after_crashes,
                         time.time())


def read_events(fleet, step):
    with open(fleet.history, encoding="utf-8") as file:
        events = [json.loads(line) for line in file]
    return [event for event in events if event["step"] == step]


def check(fleet, load, calm, known_after, trouble_end):
    """Checks sends after the crash number `known_after`, the refusals, and the
    sound requests. `calm` is the span before the first crash."""
    crashing = {call.request: call for call in load.calls if not call.is_sound}
    crashes = sorted(event["at"] for event in read_events(fleet, "crashed"))
    if len(crashes) < known_after:
        print(f"only {len(crashes)} engines ended")
        return False
    bound_from = crashes[known_after - 1] + LEARNING_S
    arrivals = read_events(fleet, "arrived")
    arrived = {event["request"] for event in arrivals}
    late = sum(event["request"] in crashing and event["at"] >= bound_from
               for event in arrivals)
    rejected = [call for call in crashing.values()
                if call.request not in arrived]
    wrong = [call for call in rejected
             if call.status != 503 or not call.has_retry_after or
             call.took_s > MAX_REFUSAL_S]
    ran = {event["request"] for event in read_events(fleet, "run")}
    untrue = [call for call in load.calls
              if call.status == 503 and call.request in ran]
    before = load.served_fraction(*calm)
    after = load.served_fraction(bound_from + LEARNING_S, trouble_end)
    print(f"{len(crashes)} engines ended; {late} sends later than {LEARNING_S} s "
          f"after crash {known_after}, allowed {ALLOWED_SENDS}; "
          f"{len(rejected)} rejected without a send, {len(wrong)} of them "
          f"wrongly {wrong[:2]}, {len(untrue)} untrue refusals {untrue[:2]}; "
          f"sound requests served {before:.2f} before and {after:.2f} after")
    return (late <= ALLOWED_SENDS and not wrong and not untrue and
            after >= MIN_SOUND_FRACTION * before)

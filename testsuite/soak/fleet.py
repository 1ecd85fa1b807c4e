"""The processes of a run: gateways, a simulated store and simulated engines."""

import asyncio
import base64
import dataclasses
import json
import os
import signal
import subprocess
import sys
import time

import engine
import http_messages
import platform_messages
from proxy import Link

STANDIN_FOLDER = os.path.join(os.path.dirname(os.path.abspath(__file__)),
                              "..", "..", "platform", "standin")
DRAIN_PROPAGATION_S = 2.0
CONFIGURATION_PROPAGATION_S = 2.0
STALE_ENTRY_S = 1.5
REGISTRATION_SILENCE_S = 3.0
# A limit that an engine names binds from this time after it was first named.
LIMIT_GRACE_S = 3.0
LIMIT_WINDOW_S = 4.0
REGIONS = {"zone-0": "east", "zone-1": "west"}
HTTP_HOST = "soak.example"
API_KEY = "soak-key"
TEAM = "soak-team"
SERVICES = {"models": ("model", 4), "desk-a": ("plain", 2),
            "desk-b": ("plain", 2)}
ROUTES = {"/chat/": ("stream", "models"), "/page/": ("idempotent", "desk-a"),
          "/post/": ("non_idempotent", "desk-b")}
MAX_ATTEMPTS = 2
REQUEST_TIMEOUT_S = 4.0
STREAM_OBJECTIVE_S = 3.0
STREAM_GAP_OBJECTIVE_S = 0.25
PLAIN_OBJECTIVE_S = 0.2


@dataclasses.dataclass(frozen=True)
class Ports:
    callers: int = 8227
    readiness: int = 8220
    operations: int = 8229
    peers: int = 7340


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Bounds that the gateways are configured with and checked against."""
    stop_grace_s: int = 6
    free_memory_s: float = 4.0
    evacuation_s: float = 5.0
    retry_ratio: float = 0.2
    retry_slack: int = 60
    retry_window_s: int = 10


def allowed_requests(limit):
    """Returns how many requests an engine with this limit may get in a window."""
    return int(1.5 * limit * LIMIT_WINDOW_S + 5)


PORTS = Ports()
BOUNDS = Bounds()


async def call(address, method, path, body=b"", timeout_s=2.0):
    """Makes a call on a new connection; returns the answer."""
    ip, port = address
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(ip, port), timeout_s)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {ip}\r\n"
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        answer = await asyncio.wait_for(http_messages.read_head(reader),
                                        timeout_s)
        if answer is None:
            raise ConnectionError("no answer")
        answer.body = await asyncio.wait_for(
            http_messages.read_body(reader, answer), timeout_s)
        return answer
    finally:
        writer.close()


class Child:
    """A process started by this run; signalled by its process id."""

    def __init__(self, arguments, log, env=None, descriptors=()):
        """The process inherits `descriptors`."""
        self.arguments, self.log, self.env = arguments, log, env
        self.descriptors = descriptors
        self.process = None
        self.exit_expected = False
        self.start()

    def start(self):
        self.exit_expected = False
        self.started_at = time.time()
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(self.arguments, stdout=out,
                                            stderr=out, env=self.env,
                                            pass_fds=self.descriptors)

    def signal(self, number):
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self):
        self.exit_expected = True
        self.signal(signal.SIGKILL)
        self.process.wait()

    def has_exited_unexpectedly(self):
        return self.process.poll() is not None and not self.exit_expected


class Gateway(Child):
    def __init__(self, program, folder, net, number, store_link):
        self.ip = f"{net}.{10 + number}"
        self.number = number
        self.store_link = store_link
        self.disturbances = []  # [begin, end] of each fault
        self.is_ready = False
        self.is_restarting = False
        self.stops = []  # [begin, end] of each planned stop
        settings = os.path.join(folder, f"gateway-{number}.toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(self.settings())
        super().__init__([program, "gateway", "--config", settings],
                         os.path.join(folder, f"gateway-{number}.log"))

    def settings(self, bounds=BOUNDS):
        return platform_messages.settings(
            f"host-{self.number}", self.ip, f"zone-{self.number % 2}",
            self.store_link.address, PORTS, bounds, REGIONS)

    async def watch_readiness(self):
        """Probes twice a second like a load balancer; two failures mark it
        unready."""
        failed_probes = 0
        while True:
            try:
                answer = await call((self.ip, PORTS.readiness), "GET",
                                    platform_messages.READINESS_PATH,
                                    timeout_s=0.4)
                failed_probes = 0 if answer.status == 200 else failed_probes + 1
            except (OSError, asyncio.TimeoutError, ConnectionError):
                failed_probes += 1
            if failed_probes == 0:
                self.is_ready = True
            elif failed_probes >= 2:
                self.is_ready = False
            await asyncio.sleep(0.5)


class EngineHost:
    """A host of one backend server, whose process may be replaced."""

    @property
    def failure_domain(self):
        return f"zone-{self.number % 2}"

    def __init__(self, fleet, number, service, link, is_direct):
        self.fleet, self.number, self.service, self.link = (
            fleet, number, service, link)
        self.kind = SERVICES[service][0]
        self.starts = 0
        self.disturbances = []  # [begin, end] of each fault
        self.child = None
        self.id = ""
        self.is_leaving = False
        # Whether callers connect to the process itself, not through the link,
        # and so see that its port is closed once it has ended.
        self.is_direct = is_direct

    def start_engine(self):
        self.starts += 1
        self.is_leaving = False
        self.id = f"engine-{self.number}-{self.starts}"
        self.fleet.service_of[self.id] = self.service
        self.fleet.host_of[self.id] = self
        arguments = [sys.executable, os.path.join(STANDIN_FOLDER, "engine.py"),
                     self.link.target[0], str(self.link.target[1]), self.id,
                     self.kind, self.fleet.history]
        self.child = Child(arguments,
                           os.path.join(self.fleet.folder, "engines.log"))

    def address(self):
        if not self.is_direct:
            return self.link.address
        ip, port = self.link.target
        return f"{ip}:{port}"

    async def register(self, is_leaving=False, cold_left_s=None):
        slots = (engine.MODEL_SLOTS if self.kind == "model"
                 else engine.PLAIN_SLOTS)
        await self.fleet.put_engine(self.id, platform_messages.engine_entry(
            self.service, self.address(), self.failure_domain,
            is_leaving, slots, cold_left_s))

    async def set_fault(self, mode):
        try:
            await call(self.link.target, "POST", "/fault", mode.encode())
        except (OSError, asyncio.TimeoutError, ConnectionError):
            pass  # The engine is down; its replacement has no fault.

    async def set_limit(self, requests_per_s):
        """Makes the engine name a limit; None ends it."""
        try:
            await call(self.link.target, "POST", "/limit",
                       b"" if requests_per_s is None else
                       str(requests_per_s).encode())
        except (OSError, asyncio.TimeoutError, ConnectionError):
            pass  # The engine is down; its replacement has no limit.


class Fleet:
    def __init__(self, program, folder, net, gateways, stream_objective_s,
                 has_direct_engines=False):
        self.folder, self.net = folder, net
        self.stream_objective_s = stream_objective_s
        self.history = os.path.join(folder, "engines.jsonl")
        self.service_of = {}
        self.host_of = {}
        # [acknowledgement time, service of /page/] of each version
        self.route_moves = []
        self.publish_lock = asyncio.Lock()
        self.limits = []  # [engine, requests per second, begin, end]
        self.allowed_regions = []  # of all routes; empty for any
        self.evacuations = []  # [failure domain, begin, end]
        self.leave_times = []  # [engine, acknowledgement time]
        self.store = None
        self.program = program
        self.gateway_count = gateways
        self.has_direct_engines = has_direct_engines
        self.service_fields = {}  # more fields of each service
        self.gateways, self.engines, self.store_links = [], [], []

    async def start(self):
        store_address = (f"{self.net}.2", 8000)
        self.store_address = store_address
        self.store = Child(
            [sys.executable, os.path.join(STANDIN_FOLDER, "store.py"),
             store_address[0], str(store_address[1])],
            os.path.join(self.folder, "store.log"))
        await self.wait_until_listening(store_address)
        await self.publish("desk-a")
        number = 0
        for service, (_, count) in SERVICES.items():
            for _ in range(count):
                link = Link(f"{self.net}.{200 + number}", 9000,
                            (f"{self.net}.{150 + number}", 9000))
                await link.start()
                host = EngineHost(self, number, service, link,
                                  self.has_direct_engines)
                host.start_engine()
                self.engines.append(host)
                number += 1
        for host in self.engines:
            await self.wait_until_listening(host.link.target)
            await host.register()
        for _ in range(self.gateway_count):
            await self.add_gateway()

    async def add_gateway(self):
        index = len(self.store_links)  # also unlike those of removed gateways
        link = Link(f"{self.net}.{100 + index}", 8000, self.store_address)
        await link.start()
        self.store_links.append(link)
        self.gateways.append(
            Gateway(self.program, self.folder, self.net, index, link))
        return self.gateways[-1]

    @staticmethod
    async def wait_until_listening(address, timeout_s=10):
        deadline = time.monotonic() + timeout_s
        while True:
            try:
                _, writer = await asyncio.open_connection(*address)
                writer.close()
                return
            except OSError:
                if time.monotonic() > deadline:
                    raise
                await asyncio.sleep(0.05)

    async def append(self, topic, key, value):
        """Appends a record, retrying until the store acknowledges it."""
        record = platform_messages.keyed_record(key, value)
        while True:
            try:
                answer = await call(self.store_address,
                                    *platform_messages.append_call(topic),
                                    record)
                if answer.status == 200:
                    return time.time()
            except (OSError, asyncio.TimeoutError, ConnectionError):
                pass  # The store is unavailable; the append is retried.
            await asyncio.sleep(0.2)

    async def put_engine(self, engine_id, entry):
        """Sets an engine's registration; an empty entry removes it."""
        await self.append(platform_messages.ENGINE_TOPIC, engine_id, entry)

    async def evacuate(self, failure_domain):
        """Returns the time of the store's acknowledgement."""
        return await self.append(
            platform_messages.CONFIGURATION_TOPIC,
            platform_messages.EVACUATION_PREFIX + failure_domain,
            platform_messages.EVACUATION)

    async def end_evacuation(self, failure_domain):
        return await self.append(
            platform_messages.CONFIGURATION_TOPIC,
            platform_messages.EVACUATION_PREFIX + failure_domain, b"")

    async def set_store_fault(self, fault):
        await call(self.store_address, "POST", "/fault",
                   json.dumps(fault).encode())

    async def restore_store(self, back_s, next_service=None):
        """Replaces the store's contents by a copy that is `back_s` old. The
        newest version is written again at once, and a version that moves the
        route to `next_service`, if given."""
        async with self.publish_lock:
            configurations = [self.make_configuration(
                len(self.route_moves), self.route_moves[-1][1])]
            if next_service is not None:
                configurations.append(self.make_configuration(
                    len(self.route_moves) + 1, next_service))
            records = [
                [platform_messages.CONFIGURATION_TOPIC,
                 base64.b64encode(platform_messages.keyed_content(
                     platform_messages.CONFIGURATION_KEY, value)).decode()]
                for value in configurations]
            await call(self.store_address, "POST", "/restore", json.dumps(
                {"back_s": back_s, "records": records}).encode())
            if next_service is not None:
                self.route_moves.append([time.time(), next_service])

    def make_configuration(self, version, page_service):
        routes = [
            platform_messages.route(
                path, HTTP_HOST, kind,
                page_service if path == "/page/" else service, MAX_ATTEMPTS,
                REQUEST_TIMEOUT_S,
                self.stream_objective_s if kind == "stream"
                else PLAIN_OBJECTIVE_S,
                STREAM_GAP_OBJECTIVE_S if kind == "stream" else 0,
                self.allowed_regions)
            for path, (kind, service) in ROUTES.items()]
        speed = platform_messages.model_speed(
            engine.MODEL_SLOTS, engine.MEMORY_TOKENS, engine.PREFILL_TOKENS_PER_S)
        speeds = {name: speed if kind == "model" else None
                  for name, (kind, _) in SERVICES.items()}
        return platform_messages.configuration(version, routes, speeds, TEAM,
                                               API_KEY, self.service_fields)

    async def publish(self, page_service):
        """Publishes a version; the lock keeps the records in version order."""
        async with self.publish_lock:
            acknowledged_at = await self.append(
                platform_messages.CONFIGURATION_TOPIC,
                platform_messages.CONFIGURATION_KEY,
                self.make_configuration(len(self.route_moves) + 1,
                                        page_service))
            self.route_moves.append([acknowledged_at, page_service])

    async def move_route(self):
        _, service = self.route_moves[-1]
        await self.publish("desk-b" if service == "desk-a" else "desk-a")

    async def stop(self):
        children = [self.store] + self.gateways
        children += [host.child for host in self.engines]
        for child in children:
            if child is not None and child.process.poll() is None:
                child.signal(signal.SIGCONT)
                child.kill()
        links = [host.link for host in self.engines] + self.store_links
        for link in links:
            await link.stop()

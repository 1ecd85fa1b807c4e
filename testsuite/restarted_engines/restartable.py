"""One gateway before engines whose answers have neither length nor chunks, and which
are killed and started again."""

import asyncio
import dataclasses
import os
import socket
import sys
import time

import engine
import fleet as fleets
import platform_messages
from forwarder import Forwarder

PORT = 9000
ENGINES_PER_SERVICE = 3
SERVICES = {"models": "model", "desk": "plain"}
# The kind and service of each path, and whether its streams may be resumed.
ROUTES = {"/chat/": ("stream", "models", True),
          "/talk/": ("stream", "models", False),
          "/page/": ("idempotent", "desk", False),
          "/post/": ("non_idempotent", "desk", False)}
UNREPEATABLE_PATHS = ("/talk/", "/post/")
RESTART_TIMEOUT_S = 10
POLL_INTERVAL_S = 0.01


@dataclasses.dataclass(frozen=True)
class Variant:
    """How engines end and come back."""
    name: str
    # What callers meet while an engine is gone: "closed" port, "inherited"
    # listening socket or "forwarder".
    port: str = "closed"
    keeps_id: bool = False
    has_start_time: bool = True  # in the engines' entries
    trouble: str = "kills"
    output_tokens: int = 400
    checks_served: bool = False


class Host:
    """Runs one engine process after the other at an address."""

    def __init__(self, fleet, number, service):
        self.fleet, self.number, self.service = fleet, number, service
        self.variant = fleet.variant
        self.target = (f"{fleet.net}.{150 + number}", PORT)
        self.child = self.listener = self.forwarder = None
        self.starts = 0
        self.is_restarting = False

    async def start(self):
        if self.variant.port == "inherited":
            self.listener = socket.create_server(self.target)
        if self.variant.port == "forwarder":
            self.forwarder = Forwarder(
                (f"{self.fleet.net}.{200 + self.number}", PORT), self.target)
            await self.forwarder.start()
        await self.start_engine()

    async def start_engine(self):
        """Starts the process; registers it once it answers."""
        self.starts += 1
        incarnation = 1 if self.variant.keeps_id else self.starts
        self.id = f"engine-{self.number}-{incarnation}"
        self.started_unix_ms = int(time.time() * 1000)
        arguments = [
            sys.executable, os.path.join(fleets.STANDIN_FOLDER, "engine.py"),
            self.target[0], str(PORT), self.id, SERVICES[self.service],
            self.fleet.history, "--fault", "unframed",
            "--started-unix-ms", str(self.started_unix_ms)]
        descriptors = ()
        if self.listener is not None:
            descriptors = (self.listener.fileno(),)
            arguments += ["--listener", str(descriptors[0])]
        self.child = fleets.Child(
            arguments, os.path.join(self.fleet.folder, "engines.log"),
            descriptors=descriptors)
        await self.wait_until_answering()
        await self.register()

    async def wait_until_answering(self):
        deadline = time.monotonic() + RESTART_TIMEOUT_S
        while True:
            try:
                await fleets.call(self.target, "GET", "/healthz")
                return
            except (OSError, asyncio.TimeoutError, ConnectionError):
                if time.monotonic() > deadline:
                    raise
                await asyncio.sleep(POLL_INTERVAL_S)

    async def register(self, is_leaving=False):
        ip, port = (self.forwarder.address if self.forwarder else self.target)
        slots = (engine.MODEL_SLOTS if SERVICES[self.service] == "model"
                 else engine.PLAIN_SLOTS)
        await self.fleet.put_engine(self.id, platform_messages.engine_entry(
            self.service, f"{ip}:{port}", f"zone-{self.number % 2}", is_leaving,
            slots, started_unix_ms=(self.started_unix_ms
                                    if self.variant.has_start_time else None)))

    async def restart(self):
        """Kills the process and starts it again at once."""
        self.is_restarting = True
        ended = self.id
        self.child.kill()
        await self.start_engine()
        if self.id != ended:
            await self.fleet.put_engine(ended, b"")
        self.is_restarting = False

    def stop(self):
        if self.child is not None:
            self.child.kill()
        if self.forwarder is not None:
            self.forwarder.stop()
        if self.listener is not None:
            self.listener.close()


class RestartableFleet(fleets.Fleet):
    def __init__(self, program, folder, net, variant):
        super().__init__(program, folder, net, 1, fleets.STREAM_OBJECTIVE_S)
        self.variant = variant

    async def start(self):
        self.store_address = (f"{self.net}.2", 8000)
        self.store = fleets.Child(
            [sys.executable, os.path.join(fleets.STANDIN_FOLDER, "store.py"),
             self.store_address[0], str(self.store_address[1])],
            os.path.join(self.folder, "store.log"))
        await self.wait_until_listening(self.store_address)
        await self.append(platform_messages.CONFIGURATION_TOPIC,
                          platform_messages.CONFIGURATION_KEY,
                          self.configuration())
        for service in SERVICES:
            for _ in range(ENGINES_PER_SERVICE):
                self.engines.append(Host(self, len(self.engines), service))
        await asyncio.gather(*(host.start() for host in self.engines))
        await self.add_gateway()

    @staticmethod
    def configuration():
        routes = [platform_messages.route(
            path, fleets.HTTP_HOST, kind, service, fleets.MAX_ATTEMPTS,
            fleets.REQUEST_TIMEOUT_S,
            fleets.STREAM_OBJECTIVE_S if kind == "stream"
            else fleets.PLAIN_OBJECTIVE_S,
            fleets.STREAM_GAP_OBJECTIVE_S if kind == "stream" else 0,
            may_resume=may_resume)
            for path, (kind, service, may_resume) in ROUTES.items()]
        speed = platform_messages.model_speed(
            engine.MODEL_SLOTS, engine.MEMORY_TOKENS,
            engine.PREFILL_TOKENS_PER_S)
        return platform_messages.configuration(
            1, routes, {name: speed if kind == "model" else None
                        for name, kind in SERVICES.items()},
            fleets.TEAM, fleets.API_KEY)

    def idle_hosts(self, services):
        """Returns the hosts of `services` that may be restarted now."""
        return [host for host in self.engines if host.service in services and
                not host.is_restarting]

    async def stop(self):
        for child in [self.store] + self.gateways:
            if child is not None and child.process.poll() is None:
                child.kill()
        for host in self.engines:
            host.stop()
        for link in self.store_links:
            await link.stop()

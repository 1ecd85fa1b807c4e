"""A fleet of gateways for one test case, and a probe of the configuration that
each gateway applies."""

import asyncio
import contextlib
import os
import sys
import tempfile
import time
import uuid

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "platform", "standin"))
sys.path.insert(0, os.path.join(HERE, "..", "soak"))

import fleet as fleets  # noqa: E402
import http_messages  # noqa: E402
import platform_messages  # noqa: E402
from run import wait_until_ready  # noqa: E402

PROBE_INTERVAL_S = 0.05
PROBE_TIMEOUT_S = 2.0


@contextlib.asynccontextmanager
async def running_fleet(program, seed, gateways, has_direct_engines=False,
                        service_fields=None):
    """Starts a fleet, waits until its gateways are ready, and stops it."""
    with tempfile.TemporaryDirectory() as folder:
        net = f"127.{1 + os.getpid() % 250}.{seed}"
        fleet = fleets.Fleet(os.path.abspath(program), folder, net, gateways,
                             fleets.STREAM_OBJECTIVE_S, has_direct_engines)
        fleet.service_fields = service_fields or {}
        watchers = []
        try:
            await fleet.start()
            watchers = [asyncio.ensure_future(gateway.watch_readiness())
                        for gateway in fleet.gateways]
            await wait_until_ready(fleet)
            yield fleet
        finally:
            for watcher in watchers:
                watcher.cancel()
            await fleet.stop()


async def read_page(gateway):
    """Sends a request on the route that changes; returns the answer's head."""
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(gateway.ip, fleets.PORTS.callers),
        PROBE_TIMEOUT_S)
    try:
        writer.write(platform_messages.request_head(
            "/page/1", fleets.HTTP_HOST, uuid.uuid4().hex[:16],
            fleets.REQUEST_TIMEOUT_S, fleets.API_KEY, 0))
        answer = await asyncio.wait_for(http_messages.read_head(reader),
                                        PROBE_TIMEOUT_S)
        if answer is None:
            raise ConnectionError("no answer")
        return answer
    finally:
        writer.close()


async def send_page_request(fleet, gateway):
    """Sends a request on the route that changes; returns the service that ran
    it, or None if it was not served."""
    answer = await read_page(gateway)
    engine = platform_messages.find_signing_engine(answer.headers)
    return fleet.service_of.get(engine)


async def measure_adoption(fleet, gateway, service, acknowledged_at, probe_s):
    """Sends requests until `probe_s` after the acknowledgement; returns how long
    after it the last one was sent that another service than `service` ran."""
    last_old_s = 0.0
    while (sent_s := time.time() - acknowledged_at) < probe_s:
        try:
            ran_at = await send_page_request(fleet, gateway)
            if ran_at is not None and ran_at != service:
                last_old_s = sent_s
        except (OSError, asyncio.TimeoutError, ConnectionError):
            pass  # A request without an answer shows no configuration.
        await asyncio.sleep(PROBE_INTERVAL_S)
    return last_old_s


async def measure_adoptions(fleet, probe_s):
    """Probes all gateways for the newest acknowledged version; returns the
    longest time for which one of them applied an older one."""
    acknowledged_at, service = fleet.route_moves[-1]
    return max(await asyncio.gather(*(
        measure_adoption(fleet, gateway, service, acknowledged_at, probe_s)
        for gateway in fleet.gateways)))


async def read_metric(gateway, name):
    answer = await fleets.call((gateway.ip, fleets.PORTS.operations), "GET",
                               "/metrics")
    for line in answer.body.decode().splitlines():
        if line.startswith(f"{name} "):
            return int(float(line.split()[1]))
    raise ValueError(f"no metric {name}")

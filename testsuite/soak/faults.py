"""Injects random, overlapping faults from outside the processes."""

import asyncio
import signal
import time

import fleet as fleets

# Of the garbled answers of an engine; they have no end then.
ENDLESS_PROBABILITY = 0.3
ENDLESS_MODES = ("endless_line", "endless_lines", "endless_chunk_size",
                 "endless_event", "endless_body", "slow_endless_line",
                 "slow_endless_event")


class Faults:
    """Injects faults into a fleet and records the span of each."""

    def __init__(self, fleet, random, restore_random, limit_random,
                 endless_random, evacuation_random):
        self.fleet, self.random = fleet, random
        # Separate, so that older seeds keep their other faults.
        self.restore_random, self.limit_random = restore_random, limit_random
        self.endless_random = endless_random
        self.evacuation_random = evacuation_random
        self.injected = []  # [kind, begin, end], in Unix seconds
        self.kinds = [
            self.gateway_kill, self.gateway_freeze, self.gateway_stop,
            self.all_gateways_kill, self.settings_reload, self.engine_kill,
            self.engine_freeze, self.engine_leave, self.engine_leave,
            self.engine_garble, self.engine_garble, self.address_reuse,
            self.store_fault, self.link_delay, self.link_reset,
            self.link_silence, self.link_cut, self.store_link_silence,
            self.route_move,
        ]

    async def run(self, until):
        """Runs two concurrent series of faults of varying duration; restores of the
        store, an engine's limit and an evacuation come at times that do not depend
        on them."""
        async def series():
            while time.monotonic() < until:
                await asyncio.sleep(self.random.uniform(0.1, 1.2))
                await self.inject(self.random.choice(self.kinds))
        await asyncio.gather(series(), series(), self.run_restores(until),
                             self.run_limit(), self.run_evacuation())

    async def run_limit(self):
        await asyncio.sleep(self.limit_random.uniform(0.2, 2.0))
        await self.inject(self.engine_limit)

    async def engine_limit(self):
        """An engine names a limit for long enough to check it."""
        host = self.limit_random.choice(self.fleet.engines)
        limit = self.limit_random.choice((0.5, 1.0, 1.7, 5.0))
        engine_id = host.id
        await host.set_limit(limit)
        span = [engine_id, limit, time.time(), float("inf")]
        self.fleet.limits.append(span)
        await asyncio.sleep(fleets.LIMIT_GRACE_S + 1.5 * fleets.LIMIT_WINDOW_S)
        span[3] = time.time()
        await host.set_limit(None)

    async def run_evacuation(self):
        await asyncio.sleep(self.evacuation_random.uniform(0.2, 3.0))
        await self.inject(self.evacuation)

    async def evacuation(self):
        """A failure domain is evacuated for long enough to check it."""
        domain = f"zone-{self.evacuation_random.randrange(2)}"
        await self.fleet.evacuate(domain)
        span = [domain, time.time(), float("inf")]
        self.fleet.evacuations.append(span)
        await asyncio.sleep(fleets.BOUNDS.evacuation_s + 4.0)
        span[2] = time.time()
        await self.fleet.end_evacuation(domain)

    async def run_restores(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.restore_random.uniform(2.0, 8.0))
            await self.inject(self.store_restore)

    async def inject(self, fault):
        entry = [fault.__name__, time.time(), float("inf")]
        self.injected.append(entry)
        await fault()
        entry[2] = time.time()

    def has_overlap(self, begin, end, kinds=None):
        """Returns whether a fault (of `kinds`) overlaps the span."""
        return any(b <= end and e >= begin for kind, b, e in self.injected
                   if kinds is None or kind in kinds)

    def pick_gateway(self):
        return self.random.choice(self.fleet.gateways)

    def pick_engine(self):
        return self.random.choice(self.fleet.engines)

    @staticmethod
    async def record_disturbance(disturbances, action):
        """Runs `action` and adds its span to `disturbances`."""
        span = [time.time(), float("inf")]
        disturbances.append(span)
        await action
        span[1] = time.time()

    async def kill_and_start(self, gateway):
        if gateway.is_restarting:
            return
        gateway.is_restarting = True
        gateway.kill()
        gateway.is_ready = False
        await asyncio.sleep(self.random.uniform(0.2, 1.0))
        gateway.start()
        gateway.is_restarting = False

    async def gateway_kill(self):
        gateway = self.pick_gateway()
        await self.record_disturbance(gateway.disturbances,
                                      self.kill_and_start(gateway))

    async def all_gateways_kill(self):
        await asyncio.gather(*(
            self.record_disturbance(gateway.disturbances,
                                    self.kill_and_start(gateway))
            for gateway in self.fleet.gateways))

    async def freeze(self, child):
        child.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 2.5))
        child.signal(signal.SIGCONT)

    async def gateway_freeze(self):
        gateway = self.pick_gateway()
        await self.record_disturbance(gateway.disturbances,
                                      self.freeze(gateway))

    async def gateway_stop(self):
        """Stops a gateway gracefully and starts it again."""
        gateway = self.pick_gateway()
        await self.record_disturbance(gateway.stops,
                                      self.stop_and_start(gateway))

    @staticmethod
    async def stop_and_start(gateway):
        process = gateway.process
        gateway.exit_expected = True
        gateway.signal(signal.SIGTERM)
        end = time.monotonic() + fleets.BOUNDS.stop_grace_s
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        if gateway.process is not process or gateway.is_restarting:
            return  # Another fault killed the process and restarts it.
        gateway.is_ready = False
        if process.poll() is None:
            gateway.kill()
        gateway.start()

    async def settings_reload(self):
        self.pick_gateway().signal(signal.SIGHUP)

    async def engine_kill(self):
        host = self.pick_engine()
        if host.is_leaving:
            return
        await self.record_disturbance(host.disturbances, self.restart(host))

    async def restart(self, host):
        old_id = host.id
        host.child.kill()
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        # The new engine has the same address while the old one is still
        # registered.
        await self.start_new_engine(host, old_id)

    async def start_new_engine(self, host, old_id):
        host.start_engine()
        await host.register()
        await asyncio.sleep(fleets.STALE_ENTRY_S)
        await self.fleet.put_engine(old_id, b"")

    async def address_reuse(self):
        """Replaces an engine by another service's at the same address."""
        host = self.random.choice([other for other in self.fleet.engines
                                   if other.kind == "plain"])
        others = [other for other in self.fleet.engines
                  if other is not host and other.service == host.service and
                  not other.is_leaving]
        if host.is_leaving or not others:
            return
        old_id = host.id
        host.child.kill()
        host.service = "desk-b" if host.service == "desk-a" else "desk-a"
        await self.record_disturbance(host.disturbances,
                                      self.start_new_engine(host, old_id))

    async def engine_freeze(self):
        host = self.pick_engine()
        await self.record_disturbance(host.disturbances,
                                      self.freeze(host.child))

    async def engine_garble(self):
        host = self.pick_engine()
        await self.record_disturbance(host.disturbances, self.garble(host))

    async def garble(self, host):
        mode = self.random.choice(["skip", "torn", "other_id", "unsigned"])
        # Drawn separately, so that older seeds keep their other faults.
        if self.endless_random.random() < ENDLESS_PROBABILITY:
            mode = self.endless_random.choice(ENDLESS_MODES)
        await host.set_fault(mode)
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        await host.set_fault("")

    async def engine_leave(self):
        host = self.pick_engine()
        active_engines = [other for other in self.fleet.engines
                          if other.service == host.service and
                          not other.is_leaving]
        if host.is_leaving or len(active_engines) < 2:
            return
        await self.record_disturbance(host.disturbances, self.leave(host))

    async def leave(self, host):
        host.is_leaving = True
        leaving_id, child = host.id, host.child
        await host.register(is_leaving=True)
        self.fleet.leave_times.append([leaving_id, time.time()])
        await asyncio.sleep(fleets.DRAIN_PROPAGATION_S +
                            fleets.REQUEST_TIMEOUT_S)
        await self.fleet.put_engine(leaving_id, b"")
        if host.child is child:
            child.kill()
            host.start_engine()
            await host.register()
        host.is_leaving = False

    async def store_fault(self):
        mode = self.random.choice(["refuse", "hang", "lose", "slow"])
        await self.fleet.set_store_fault({"mode": mode, "delay_s": 0.8})
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        await self.fleet.set_store_fault({"mode": "ok"})

    async def store_restore(self):
        """Restores the store from a copy some seconds old."""
        try:
            await self.fleet.restore_store(self.restore_random.uniform(0.2, 3.0))
        except (OSError, asyncio.TimeoutError, ConnectionError):
            return  # The store does not answer during another fault.
        await self.write_evacuations()
        for host in self.fleet.engines:
            await host.register(host.is_leaving)
        # The store removes registrations without heartbeats.
        await asyncio.sleep(fleets.REGISTRATION_SILENCE_S)
        current = {host.id for host in self.fleet.engines}
        for engine_id in set(self.fleet.service_of) - current:
            await self.fleet.put_engine(engine_id, b"")

    async def write_evacuations(self):
        """Writes what the operator has written since the copy again."""
        for domain, _, end in self.fleet.evacuations:
            if end == float("inf"):
                await self.fleet.evacuate(domain)
            else:
                await self.fleet.end_evacuation(domain)

    async def link_delay(self):
        host = self.pick_engine()

        async def action():
            host.link.delay_s = self.random.uniform(0.05, 0.5)
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            host.link.delay_s = 0
        await self.record_disturbance(host.disturbances, action())

    async def link_reset(self):
        host = self.pick_engine()

        async def action():
            host.link.reset()
        await self.record_disturbance(host.disturbances, action())

    async def link_silence(self):
        host = self.pick_engine()

        async def action():
            host.link.stall()
            # Gateways may need a request timeout to detect the stall.
            await asyncio.sleep(fleets.REQUEST_TIMEOUT_S)
        await self.record_disturbance(host.disturbances, action())

    async def link_cut(self):
        host = self.pick_engine()

        async def action():
            host.link.blocked_directions = {
                self.random.choice(["there", "back"])}
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            host.link.blocked_directions = set()
        await self.record_disturbance(host.disturbances, action())

    async def store_link_silence(self):
        self.random.choice(self.fleet.store_links).stall()

    async def route_move(self):
        await self.fleet.move_route()

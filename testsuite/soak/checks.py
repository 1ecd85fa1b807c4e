"""Invariants of a run, checked on the records of callers and engines."""

import asyncio
import collections
import functools
import json

import fleet as fleets

REFUSAL_STATUSES = (408, 421, 429, 503)
SLACK_S = 1.0
# A gateway that was disturbed in this time before may exceed a bound.
STABLE_WINDOW_S = 4.0
STORE_FAULT_KINDS = {"store_fault", "store_link_silence"}


def overlaps_any(spans, begin, end):
    return any(b <= end and e >= begin for b, e in spans)


class InvariantChecker:
    def __init__(self, fleet, faults, records):
        self.fleet, self.faults, self.records = fleet, faults, records
        self.violations = []
        with open(fleet.history, encoding="utf-8") as file:
            self.engine_events = [json.loads(line) for line in file]
        self.runs = collections.defaultdict(list)
        for event in self.engine_events:
            if event["step"] == "run":
                self.runs[event["request"]].append(event)

    def fail(self, rule, text):
        self.violations.append(f"{rule}: {text}")

    def check_all(self):
        for check in (self.check_answers, self.check_run_counts,
                      self.check_refusals, self.check_executed_requests,
                      self.check_request_timeouts, self.check_leaving_engines,
                      self.check_configuration, self.check_retry_budget,
                      self.check_planned_stops, self.check_routes,
                      self.check_limits, self.check_evacuations,
                      self.check_processes):
            check()
        return self.violations

    def check_answers(self):
        for record in self.records:
            if record.answer_error:
                self.fail("MIXED", f"{record.request}: {record.answer_error}")
            if record.status == 200 and record.is_complete and not any(
                    run["engine"] == record.engine
                    for run in self.runs[record.request]):
                self.fail("MIXED", f"{record.request}: {record.engine} never "
                                   "ran it")

    def check_run_counts(self):
        for record in self.records:
            limit = 1 if record.path == "/post/" else fleets.MAX_ATTEMPTS
            if len(self.runs[record.request]) > limit:
                self.fail("TWICE" if limit == 1 else "BUDGET",
                          f"{record.request} ran "
                          f"{len(self.runs[record.request])} times")

    def check_refusals(self):
        for record in self.records:
            if record.status in REFUSAL_STATUSES and self.runs[record.request]:
                self.fail("REFUSED",
                          f"{record.request} got {record.status} and ran")

    def check_executed_requests(self):
        sent = {record.request: record for record in self.records}
        for request, runs in self.runs.items():
            record = sent.get(request)
            for run in runs:
                if record is None:
                    self.fail("UNASKED", f"{request} was never sent")
                elif (run["body"], run["target"], run["method"]) != (
                        record.body_hash, record.target, "POST"):
                    self.fail("UNASKED", f"{request} was changed")
                elif run["tenant"] != fleets.TEAM or run["key"]:
                    self.fail("UNASKED", f"{request} ran as {run['tenant']}")

    def is_gateway_disturbed(self, record):
        """Returns whether the gateway was killed or frozen during the request."""
        gateway = self.fleet.gateways[record.gateway_number]
        return overlaps_any(gateway.disturbances, record.sent_at - SLACK_S,
                            record.ended_at)

    def is_engine_disturbed(self, record):
        """Returns whether a fault hit an engine that ran the request."""
        return any(overlaps_any(self.fleet.host_of[run["engine"]].disturbances,
                                record.sent_at, record.ended_at)
                   for run in self.runs[record.request])

    def check_request_timeouts(self):
        for record in self.records:
            is_late = record.ended_at - record.sent_at > \
                fleets.REQUEST_TIMEOUT_S + 0.9
            if is_late and not record.is_complete and \
                    not self.is_gateway_disturbed(record):
                self.fail("CONFIG", f"{record.request} had no full answer in "
                                    f"{record.ended_at - record.sent_at:.2f} s")

    def check_leaving_engines(self):
        for engine, at in self.fleet.leave_times:
            end = at + fleets.DRAIN_PROPAGATION_S + SLACK_S
            # Requests already sent may arrive late under these faults.
            if self.faults.has_overlap(at - SLACK_S, end, STORE_FAULT_KINDS | {
                    "gateway_freeze", "link_delay", "link_cut",
                    "engine_freeze"}):
                continue
            for event in self.engine_events:
                if event["step"] == "run" and event["engine"] == engine and (
                        event["at"] > end):
                    self.fail("DRAIN", f"{event['request']} reached {engine} "
                                       f"{event['at'] - at:.2f} s after "
                                       "leaving")

    def check_configuration(self):
        """Checks that no request runs under an outdated configuration."""
        route_moves = self.fleet.route_moves
        for record in self.records:
            if record.path != "/page/":
                continue
            settled_by = record.sent_at - \
                fleets.CONFIGURATION_PROPAGATION_S - SLACK_S
            settled_moves = [i for i, (at, _) in enumerate(route_moves)
                             if at <= settled_by]
            if not settled_moves or self.faults.has_overlap(
                    route_moves[settled_moves[-1]][0] - SLACK_S,
                    record.ended_at, STORE_FAULT_KINDS):
                continue
            allowed = {service
                       for _, service in route_moves[settled_moves[-1]:]}
            self.check_services(allowed, record, "CONFIG")

    def check_retry_budget(self):
        """Checks the retries at each service in each window."""
        window = fleets.BOUNDS.retry_window_s
        arrivals_of = collections.defaultdict(list)
        arrived_requests = set()
        for event in self.engine_events:
            if event["step"] != "arrived":
                continue
            service = self.fleet.service_of[event["engine"]]
            is_retry = event["request"] in arrived_requests
            arrived_requests.add(event["request"])
            arrivals_of[service].append((event["at"], is_retry))
        for service, arrivals in arrivals_of.items():
            for begin, _ in arrivals:
                retry_flags = [is_retry for at, is_retry in arrivals
                               if begin <= at < begin + window]
                # First arrivals are a lower bound of the requests.
                limit = (fleets.BOUNDS.retry_ratio * retry_flags.count(False) +
                         fleets.BOUNDS.retry_slack)
                if retry_flags.count(True) > limit:
                    self.fail("BUDGET", f"{retry_flags.count(True)} retries at "
                                        f"{service} in {window:.0f} s")
                    break

    def ended_at_deadline(self, record):
        """Returns whether the gateway's log says that it ended the request when
        the caller's time was over, and the caller's clock agrees. A stop ends
        requests before that, or without a log line."""
        if record.ended_at - record.sent_at < fleets.REQUEST_TIMEOUT_S:
            return False
        return self.lifetimes_ms(record.gateway_number).get(
            record.request, 0) >= fleets.REQUEST_TIMEOUT_S * 1000

    @functools.lru_cache(maxsize=None)
    def lifetimes_ms(self, gateway_number):
        """Returns how long each request lived that the gateway finished."""
        lifetimes = {}
        with open(self.fleet.gateways[gateway_number].log,
                  encoding="utf-8") as file:
            for line in file:
                if '"request_finished"' in line:
                    event = json.loads(line)
                    lifetimes[event["request"]] = event["ms"]
        return lifetimes

    def check_planned_stops(self):
        """Checks that a planned stop alone cuts off no request."""
        for record in self.records:
            stops = self.fleet.gateways[record.gateway_number].stops
            if (record.is_cut_off and self.runs[record.request] and
                    overlaps_any(stops, record.sent_at, record.ended_at) and
                    not self.is_gateway_disturbed(record) and
                    not self.is_engine_disturbed(record) and
                    not self.ended_at_deadline(record)):
                self.fail("LOST", f"{record.request} was cut off by a stop")

    def check_limits(self):
        """Checks the requests of gateways that were neither restarted nor frozen
        while an engine named a limit."""
        gateway_of = {record.request: self.fleet.gateways[record.gateway_number]
                      for record in self.records}
        for engine, limit, begin, end in self.fleet.limits:
            bound_from = begin + fleets.LIMIT_GRACE_S
            arrivals = [
                event["at"] for event in self.engine_events
                if event["step"] == "arrived" and event["engine"] == engine and
                bound_from <= event["at"] < end and
                not overlaps_any(gateway_of[event["request"]].disturbances +
                                 gateway_of[event["request"]].stops, begin, end)]
            for first in arrivals:
                count = sum(first <= at < first + fleets.LIMIT_WINDOW_S
                            for at in arrivals)
                if count > fleets.allowed_requests(limit):
                    self.fail("LIMIT", f"{engine} named {limit} a second and got "
                                       f"{count} requests")
                    break

    def check_evacuations(self):
        """Checks that no request reaches an engine of an evacuated domain after
        the bound, from gateways that were not disturbed."""
        gateway_of = {record.request: self.fleet.gateways[record.gateway_number]
                      for record in self.records}
        for domain, begin, end in self.fleet.evacuations:
            bound_from = begin + fleets.BOUNDS.evacuation_s
            # Later faults of the store find the record read.
            if self.faults.has_overlap(begin - STABLE_WINDOW_S,
                                       begin + 2 * SLACK_S, STORE_FAULT_KINDS):
                continue
            for event in self.engine_events:
                at = event["at"]
                host = self.fleet.host_of[event["engine"]]
                if (event["step"] != "arrived" or
                        host.failure_domain != domain or
                        not bound_from < at < end):
                    continue
                gateway = gateway_of[event["request"]]
                settled = at - STABLE_WINDOW_S
                # Requests already sent may arrive late under an engine's faults.
                if overlaps_any(gateway.disturbances + gateway.stops +
                                host.disturbances, settled, at):
                    continue
                self.fail("EVACUATE", f"{event['request']} reached "
                                      f"{event['engine']} {at - begin:.2f} s "
                                      f"after the evacuation of {domain}")

    def check_routes(self):
        """Checks each request's service against all configurations."""
        for record in self.records:
            allowed = ({"desk-a", "desk-b"} if record.path == "/page/"
                       else {fleets.ROUTES[record.path][1]})
            self.check_services(allowed, record, "ROUTE")

    def check_services(self, services, record, rule):
        for run in self.runs[record.request]:
            service = self.fleet.service_of[run["engine"]]
            if service not in services:
                self.fail(rule, f"{record.request} to {record.path} ran at "
                                f"{service}, allowed {services}")

    def check_processes(self):
        for gateway in self.fleet.gateways:
            if gateway.has_exited_unexpectedly():
                self.fail("Fault", f"gateway {gateway.number} ended with "
                                   f"{gateway.process.returncode}")
            with open(gateway.log, encoding="utf-8") as file:
                for line in file.read().splitlines():
                    if not line.startswith("{"):
                        self.fail("Log", f"gateway {gateway.number}: {line}")


async def read_held_reservations(fleet):
    """Returns the reservations that engines still hold."""
    reservations = []
    for host in fleet.engines:
        answer = await fleets.call(host.link.target, "GET", "/held")
        reservations += [f"{host.id} {reservation}"
                         for reservation in json.loads(answer.body)]
        await asyncio.sleep(0)
    return reservations

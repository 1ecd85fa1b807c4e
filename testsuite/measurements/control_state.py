"""Measures how long a change takes, from the begin of its append, to be in
force at the last of many real processes, beside a plain poll each second.

usage: control_state.py PROGRAM [--sides N] [--entries N] [--seconds S]
"""

import argparse
import json
import os
import re
import statistics
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import fleet as f  # noqa: E402

DOCUMENT = {
    "services": [{"name": "approvals", "kind": "plain", "teams": []}],
    "presets": [{"name": "ordinary"}, {"name": "peak"}],
    "initial_preset": "ordinary"}
CHANGE_ACCEPTED, PEER_STATE_ADOPTED = 400, 406
LINE_TIME = re.compile(r"(\d+)-(\d+)-(\d+)T(\d+):(\d+):(\d+)\.(\d+)Z")


def seconds_of(text):
    """Unix time of a log line's UTC text."""
    parts = [int(part) for part in LINE_TIME.fullmatch(text).groups()]
    whole = time.strptime("%04d-%02d-%02dT%02d:%02d:%02d" % tuple(parts[:6]),
                          "%Y-%m-%dT%H:%M:%S")
    return time.mktime(whole) - time.timezone + parts[6] / 1000


def quantile(values, q):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


def describe(name, spans, processes):
    """One row of the table; spans are seconds to the last process."""
    print(f"| {name} | {processes} | {len(spans)} | "
          f"{statistics.median(spans):.3f} | {quantile(spans, 0.99):.3f} | "
          f"{max(spans):.3f} |", flush=True)


class Pollers:
    """Stands for processes that read the log once a second."""

    def __init__(self, log_port, count):
        self.log_port = log_port
        self.seen = [{} for _ in range(count)]
        self.stopping = False
        self.threads = [threading.Thread(target=self.poll, args=(i,))
                        for i in range(count)]
        for thread in self.threads:
            thread.start()

    def poll(self, index):
        time.sleep(index / len(self.seen))
        start, offset = 1, 1
        while not self.stopping:
            body = f.call(self.log_port, "GET",
                          f"/v1/log?from={offset}&wait_ms=0")[2]
            for record in json.loads(body)["records"]:
                offset = record["offset"] + 1
                self.seen[index][record["offset"]] = time.time()
            time.sleep(start)

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join()


class Measurement:
    def __init__(self, fleet, given):
        self.fleet = fleet
        self.given = given
        self.names = []
        self.changes = 0
        self.version = 0

    def start(self, cut_off=0.0):
        count = self.given.sides + self.given.entries
        ports = f.find_free_ports(3 + 3 * count)
        log, hosts, self.dead = ports[:3]
        self.fleet.start_platform(log, hosts)
        self.log = log
        free = iter(ports[3:])
        cut = 0.0
        for i in range(count):
            cut += cut_off
            url = self.dead if cut >= 1 else log
            cut -= 1 if cut >= 1 else 0
            kind = "side" if i < self.given.sides else "entry"
            self.start_one(kind, i, url, next(free), next(free))
        self.accepted = {}
        self.version = self.fleet.publish(DOCUMENT)
        self.wait_all(self.version)

    def start_one(self, kind, i, log, port, http_port):
        name = f"{kind}-{i}"
        ports = ["--port", port] if kind == "side" else []
        self.fleet.start(
            name, kind, "--host", name, "--failure-domain", f"d{i % 3}",
            "--http-port", http_port, *ports, "--threads", 1, "--log-url",
            f"http://{f.ADDRESS}:{log}", "--hosts-url",
            f"http://{f.ADDRESS}:{self.fleet.hosts_port}")
        self.names.append(name)
        self.fleet.register_host(name, kind, port if kind == "side"
                                 else 0, f"d{i % 3}")

    def times(self, name):
        """When each version was first in force at a process."""
        first = {}
        with open(os.path.join(self.fleet.logs, name + ".log")) as log:
            for text in log:
                if not text.endswith("}\n"):
                    continue
                line = json.loads(text)
                if line["event"] in (CHANGE_ACCEPTED, PEER_STATE_ADOPTED):
                    first.setdefault(line["version"], seconds_of(line["time"]))
        return first

    def wait_all(self, version):
        # The first state is not logged as a change, so a preset follows.
        time.sleep(3)
        self.change()
        f.wait_until("all processes have the first change", lambda: all(
            max(self.times(name), default=0) >= self.version
            for name in self.names))

    def change(self):
        self.changes += 1
        body = json.dumps({
            "v": 1, "kind": "preset", "operator": "measurement",
            "change_id": f"preset-{self.changes}",
            "base_version": self.version,
            "body": {"name": ("ordinary", "peak")[self.changes % 2]}})
        # The append's begin: the log may tell its readers before us.
        begun = time.time()
        answer = f.call(self.log, "POST", "/v1/log", body)
        self.version = json.loads(answer[2])["offset"]
        self.accepted[self.version] = begun
        return self.version

    def spans(self, versions, seen):
        """Seconds from the append's begin to the last process. Log lines
        have whole milliseconds, so up to one is missing."""
        spans = []
        for version in versions:
            # A process may pass over a version to a newer one.
            last = max(min(at for v, at in times.items() if v >= version)
                       for times in seen)
            spans.append(last - self.accepted[version])
        return spans

    def run(self, name, per_minute, seconds):
        pollers = Pollers(self.log, len(self.names))
        interval = 60.0 / per_minute
        versions = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            versions.append(self.change())
            time.sleep(interval)
        time.sleep(4)
        pollers.stop()
        seen = [self.times(process) for process in self.names]
        describe(name, self.spans(versions, seen), len(seen))
        describe(name + ", plain poll each second",
                 self.spans(versions, pollers.seen), len(pollers.seen))

    def log_control(self, **faults):
        f.call(self.log, "POST", "/control", json.dumps(faults))

    def run_after_outage(self):
        """The log comes back with a change that no process has seen."""
        spans = []
        for _ in range(5):
            self.log_control(outage="refuse")
            time.sleep(5)
            self.log_control(outage="none")
            version = self.change()
            time.sleep(5)
            seen = [self.times(process) for process in self.names]
            spans += self.spans([version], seen)
        describe("change at the end of an outage", spans, len(self.names))

    def run_newcomer_in_outage(self):
        spans = []
        self.log_control(outage="hang")
        for i in range(5):
            port, = f.find_free_ports(1)
            begun = time.time()
            self.fleet.start_entry(f"late{i}", "d0", port)
            f.wait_until("the newcomer is ready", lambda: f.call(
                port, "GET", "/readyz")[0] == 200)
            spans.append(time.time() - begun)
        self.log_control(outage="none")
        describe("newcomer ready during an outage", spans, 1)

    def idle_cost(self, seconds):
        """Processor time and memory of an idle process."""
        tick = os.sysconf("SC_CLK_TCK")

        def cpu(name):
            pid = self.fleet.processes[name].pid
            with open(f"/proc/{pid}/stat") as stat:
                fields = stat.read().rsplit(")", 1)[1].split()
            return (int(fields[11]) + int(fields[12])) / tick

        def memory(name):
            pid = self.fleet.processes[name].pid
            with open(f"/proc/{pid}/status") as status:
                return next(int(line.split()[1]) for line in status
                            if line.startswith("VmRSS")) / 1024
        for kind in ("side", "entry"):
            names = [n for n in self.names if n.startswith(kind)]
            before = [cpu(name) for name in names]
            time.sleep(seconds)
            used = [cpu(name) - b for name, b in zip(names, before)]
            print(f"| idle {kind} | {len(self.names)} | "
                  f"{100 * statistics.mean(used) / seconds:.2f} % of a core | "
                  f"{statistics.mean(memory(n) for n in names):.1f} MB |",
                  flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--sides", type=int, default=15)
    parser.add_argument("--entries", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--cut-off", type=float, default=0.0)
    given = parser.parse_args()
    print("| case | processes | changes | p50 s | p99 s | max s |\n"
          "|---|---|---|---|---|---|")
    with f.Fleet(given.program) as fleet:
        measurement = Measurement(fleet, given)
        measurement.start(given.cut_off)
        cut = f", {given.cut_off:.0%} cut off" if given.cut_off else ""
        measurement.run("10 changes a minute" + cut, 10, given.seconds)
        measurement.run("60 changes a minute" + cut, 60, given.seconds)
        if given.cut_off == 0:
            measurement.run_after_outage()
            measurement.run_newcomer_in_outage()
            measurement.idle_cost(10)


if __name__ == "__main__":
    main()

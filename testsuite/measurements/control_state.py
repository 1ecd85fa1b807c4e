"""Measures the time from the start of the append of a change until the last of
many real processes has applied it, compared with polling once per second.

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


def to_unix_seconds(text):
    """Converts the UTC time of a log line to Unix seconds."""
    parts = [int(part) for part in LINE_TIME.fullmatch(text).groups()]
    whole_seconds = time.strptime(
        "%04d-%02d-%02dT%02d:%02d:%02d" % tuple(parts[:6]),
        "%Y-%m-%dT%H:%M:%S")
    return time.mktime(whole_seconds) - time.timezone + parts[6] / 1000


def quantile(values, q):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


def print_row(name, durations, processes):
    """Prints a row of the table; `durations` are in seconds to the last
    process."""
    print(f"| {name} | {processes} | {len(durations)} | "
          f"{statistics.median(durations):.3f} | "
          f"{quantile(durations, 0.99):.3f} | "
          f"{max(durations):.3f} |", flush=True)


class PollingReaders:
    """Simulates processes that poll the log once per second."""

    def __init__(self, log_port, count):
        self.log_port = log_port
        self.seen_times = [{} for _ in range(count)]
        self.stopping = False
        self.threads = [threading.Thread(target=self.poll, args=(i,))
                        for i in range(count)]
        for thread in self.threads:
            thread.start()

    def poll(self, index):
        time.sleep(index / len(self.seen_times))
        interval_s, offset = 1, 1
        while not self.stopping:
            body = f.call(self.log_port, "GET",
                          f"/v1/log?from={offset}&wait_ms=0")[2]
            for record in json.loads(body)["records"]:
                offset = record["offset"] + 1
                self.seen_times[index][record["offset"]] = time.time()
            time.sleep(interval_s)

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join()


class Measurement:
    def __init__(self, fleet, options):
        self.fleet = fleet
        self.options = options
        self.names = []
        self.changes = 0
        self.version = 0

    def start(self, isolated_fraction=0.0):
        count = self.options.sides + self.options.entries
        ports = f.find_free_ports(3 + 3 * count)
        log, hosts, self.unused_port = ports[:3]
        self.fleet.start_platform(log, hosts)
        self.log_port = log
        free = iter(ports[3:])
        isolated_sum = 0.0
        for i in range(count):
            isolated_sum += isolated_fraction
            url = self.unused_port if isolated_sum >= 1 else log
            isolated_sum -= 1 if isolated_sum >= 1 else 0
            kind = "side" if i < self.options.sides else "entry"
            self.start_process(kind, i, url, next(free), next(free))
        self.append_times = {}
        self.version = self.fleet.publish(DOCUMENT)
        self.wait_until_all_follow(self.version)

    def start_process(self, kind, i, log, port, http_port):
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

    def read_version_times(self, name):
        """Returns when a process first applied each version."""
        first = {}
        with open(os.path.join(self.fleet.logs, name + ".log")) as log:
            for text in log:
                if not text.endswith("}\n"):
                    continue
                line = json.loads(text)
                if line["event"] in (CHANGE_ACCEPTED, PEER_STATE_ADOPTED):
                    first.setdefault(line["version"],
                                     to_unix_seconds(line["time"]))
        return first

    def wait_until_all_follow(self, version):
        # The initial state is not logged as a change, so a preset change is
        # appended.
        time.sleep(3)
        self.append_change()
        f.wait_until("all processes have the first change", lambda: all(
            max(self.read_version_times(name), default=0) >= self.version
            for name in self.names))

    def append_change(self):
        self.changes += 1
        body = json.dumps({
            "v": 1, "kind": "preset", "operator": "measurement",
            "change_id": f"preset-{self.changes}",
            "base_version": self.version,
            "body": {"name": ("ordinary", "peak")[self.changes % 2]}})
        # Before the append, as readers may get the change before it returns.
        started_at = time.time()
        answer = f.call(self.log_port, "POST", "/v1/log", body)
        self.version = json.loads(answer[2])["offset"]
        self.append_times[self.version] = started_at
        return self.version

    def compute_propagation_times(self, versions, seen_times):
        """Returns the seconds from the start of each append to the last
        process. Log times are truncated to milliseconds, so a value may be up
        to 1 ms too low."""
        durations = []
        for version in versions:
            # A process may skip a version and apply a newer one.
            last = max(min(at for v, at in version_times.items()
                           if v >= version)
                       for version_times in seen_times)
            durations.append(last - self.append_times[version])
        return durations

    def run(self, name, per_minute, seconds):
        polling_readers = PollingReaders(self.log_port, len(self.names))
        interval = 60.0 / per_minute
        versions = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            versions.append(self.append_change())
            time.sleep(interval)
        time.sleep(4)
        polling_readers.stop()
        seen_times = [self.read_version_times(process)
                      for process in self.names]
        print_row(name, self.compute_propagation_times(versions, seen_times),
                  len(seen_times))
        print_row(name + ", plain poll each second",
                  self.compute_propagation_times(versions,
                                                 polling_readers.seen_times),
                  len(polling_readers.seen_times))

    def control_log(self, **faults):
        f.call(self.log_port, "POST", "/control", json.dumps(faults))

    def run_after_outage(self):
        """Measures a change that is appended at the end of a log outage."""
        durations = []
        for _ in range(5):
            self.control_log(outage="refuse")
            time.sleep(5)
            self.control_log(outage="none")
            version = self.append_change()
            time.sleep(5)
            seen_times = [self.read_version_times(process)
                          for process in self.names]
            durations += self.compute_propagation_times([version], seen_times)
        print_row("change at the end of an outage", durations, len(self.names))

    def run_new_entry_in_outage(self):
        durations = []
        self.control_log(outage="hang")
        for i in range(5):
            port, = f.find_free_ports(1)
            started_at = time.time()
            self.fleet.start_entry(f"late{i}", "d0", port)
            f.wait_until("the new entry is ready", lambda: f.call(
                port, "GET", "/readyz")[0] == 200)
            durations.append(time.time() - started_at)
        self.control_log(outage="none")
        print_row("new entry ready during an outage", durations, 1)

    def measure_idle_cost(self, seconds):
        """Measures the CPU time and memory of an idle process."""
        tick = os.sysconf("SC_CLK_TCK")

        def read_cpu_seconds(name):
            pid = self.fleet.processes[name].pid
            with open(f"/proc/{pid}/stat") as stat:
                fields = stat.read().rsplit(")", 1)[1].split()
            return (int(fields[11]) + int(fields[12])) / tick

        def read_rss_mb(name):
            pid = self.fleet.processes[name].pid
            with open(f"/proc/{pid}/status") as status:
                return next(int(line.split()[1]) for line in status
                            if line.startswith("VmRSS")) / 1024
        for kind in ("side", "entry"):
            names = [n for n in self.names if n.startswith(kind)]
            before = [read_cpu_seconds(name) for name in names]
            time.sleep(seconds)
            used = [read_cpu_seconds(name) - b
                    for name, b in zip(names, before)]
            print(f"| idle {kind} | {len(self.names)} | "
                  f"{100 * statistics.mean(used) / seconds:.2f} % of a core | "
                  f"{statistics.mean(read_rss_mb(n) for n in names):.1f}"
                  " MB |",
                  flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--sides", type=int, default=15)
    parser.add_argument("--entries", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--cut-off", type=float, default=0.0)
    options = parser.parse_args()
    print("| case | processes | changes | p50 s | p99 s | max s |\n"
          "|---|---|---|---|---|---|")
    with f.Fleet(options.program) as fleet:
        measurement = Measurement(fleet, options)
        measurement.start(options.cut_off)
        suffix = f", {options.cut_off:.0%} cut off" if options.cut_off else ""
        measurement.run("10 changes a minute" + suffix, 10, options.seconds)
        measurement.run("60 changes a minute" + suffix, 60, options.seconds)
        if options.cut_off == 0:
            measurement.run_after_outage()
            measurement.run_new_entry_in_outage()
            measurement.measure_idle_cost(10)


if __name__ == "__main__":
    main()

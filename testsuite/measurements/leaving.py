"""Measures how long after a host begins to leave its last new work starts, and
what callers see meanwhile, under load and in real processes.

usage: leaving.py PROGRAM [--trials N]
"""

import argparse
import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import fleet as f  # noqa: E402
from control_state import seconds_of  # noqa: E402

MODEL = "calc"
SIDES, ENTRIES, CALLERS = 3, 2, 8
ATTEMPT_STARTED = 302
WATCH_S = 5.0


class Load:
    """Callers that ask again and again."""

    def __init__(self, ports):
        self.outcomes = []
        self.stopping = False
        self.threads = [threading.Thread(target=self.call, args=(port,))
                        for port in ports]
        for thread in self.threads:
            thread.start()

    def call(self, port):
        body = json.dumps({"model": MODEL, "prompt": "beam", "max_tokens": 3})
        while not self.stopping:
            try:
                status = f.call(port, "POST", "/v1/completions", body,
                                {"Peridotshelf-Team": "design"})[0]
            except OSError:
                status = 0
            self.outcomes.append(status)

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join()


class Measurement:
    def __init__(self, fleet):
        self.fleet = fleet
        self.changes = 0

    def start(self):
        ports = f.find_free_ports(2 + 3 * SIDES + ENTRIES)
        self.log, hosts = ports[:2]
        self.fleet.start_platform(self.log, hosts)
        free = iter(ports[2:])
        engines = []
        self.sides = []
        for i in range(SIDES):
            engine = next(free)
            self.fleet.start(f"engine-{i}", "standin", "engine", "--port",
                             engine, "--model", MODEL, "--chunk-interval-ms",
                             5)
            engines.append({
                "id": f"engine-{i}", "host": f"b{i}", "model": MODEL,
                "url": f"http://{f.ADDRESS}:{engine}",
                "memory_tokens": 100000, "slots": 8})
            self.sides.append((next(free), next(free)))
            self.start_side(i)
        self.entries = [next(free) for _ in range(ENTRIES)]
        for i, port in enumerate(self.entries):
            self.fleet.start_entry(f"e{i}", "d0", port)
        self.fleet.publish({
            "engines": engines,
            "services": [{"name": "calculation", "model": MODEL,
                          "engines": [e["id"] for e in engines],
                          "teams": [{"id": "design"}]}],
            "presets": [{"name": "ordinary"}], "initial_preset": "ordinary"})
        for port in self.entries:
            self.fleet.wait_until_ready(port)
        time.sleep(2)

    def start_side(self, i):
        port, http_port = self.sides[i]
        self.fleet.start_side(f"b{i}", f"d{i}", port, http_port,
                              "--log-level", "debug")

    def mark(self, kind, host):
        self.changes += 1
        f.call(self.log, "POST", "/v1/log", json.dumps({
            "v": 1, "kind": kind, "operator": "measurement",
            "change_id": f"mark-{self.changes}", "body": {"host": host}}))

    def begin(self, way, i):
        if way == "drain":
            self.mark("drain", f"b{i}")
        elif way == "list":
            self.fleet.register_host(f"b{i}", "side", self.sides[i][0], f"d{i}",
                                     "leaving")
        else:
            self.fleet.processes[f"side-b{i}"].send_signal(signal.SIGTERM)

    def undo(self, way, i):
        if way == "drain":
            self.mark("undrain", f"b{i}")
        elif way == "list":
            self.fleet.register_host(f"b{i}", "side", self.sides[i][0], f"d{i}")
        else:
            self.fleet.processes[f"side-b{i}"].wait()
            self.start_side(i)
        time.sleep(2)

    def last_start(self, i, after):
        """Seconds from `after` to the side's last new work; 0 if none."""
        last = after
        name = os.path.join(self.fleet.logs, f"side-b{i}.log")
        with open(name) as log:
            for text in log:
                if not text.endswith("}\n"):
                    continue
                line = json.loads(text)
                if line["event"] == ATTEMPT_STARTED:
                    last = max(last, seconds_of(line["time"]))
        return last - after

    def run(self, way, trials):
        spans = []
        load = Load([self.entries[i % ENTRIES] for i in range(CALLERS)])
        for trial in range(trials):
            i = trial % SIDES
            time.sleep(1)
            begun = time.time()
            self.begin(way, i)
            time.sleep(WATCH_S)
            spans.append(self.last_start(i, begun))
            self.undo(way, i)
        load.stop()
        failed = sum(status != 200 for status in load.outcomes)
        print(f"| {way} | {trials} | {max(spans):.3f} | {len(load.outcomes)} "
              f"| {failed} |", flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--trials", type=int, default=6)
    given = parser.parse_args()
    print("| way | trials | last new work, max s | requests | not answered |\n"
          "|---|---|---|---|---|")
    with f.Fleet(given.program) as fleet:
        measurement = Measurement(fleet)
        measurement.start()
        for way in ("drain", "list", "signal"):
            measurement.run(way, given.trials)


if __name__ == "__main__":
    main()

"""Measures how long a host still starts new requests after it begins to leave,
and which status callers get meanwhile, under load with real processes.

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
from control_state import to_unix_seconds  # noqa: E402

MODEL = "calc"
SIDE_COUNT, ENTRY_COUNT, CALLER_COUNT = 3, 2, 8
ATTEMPT_STARTED = 302
OBSERVATION_S = 5.0


class CallerLoad:
    """Callers that send requests in a loop."""

    def __init__(self, ports):
        self.outcomes = []
        self.stopping = False
        self.threads = [threading.Thread(target=self.send_requests,
                                         args=(port,))
                        for port in ports]
        for thread in self.threads:
            thread.start()

    def send_requests(self, port):
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
        ports = f.find_free_ports(2 + 3 * SIDE_COUNT + ENTRY_COUNT)
        self.log_port, hosts = ports[:2]
        self.fleet.start_platform(self.log_port, hosts)
        free = iter(ports[2:])
        engines = []
        self.sides = []
        for i in range(SIDE_COUNT):
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
        self.entries = [next(free) for _ in range(ENTRY_COUNT)]
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

    def append_host_change(self, kind, host):
        self.changes += 1
        f.call(self.log_port, "POST", "/v1/log", json.dumps({
            "v": 1, "kind": kind, "operator": "measurement",
            "change_id": f"mark-{self.changes}", "body": {"host": host}}))

    def start_leaving(self, leave_method, i):
        if leave_method == "drain":
            self.append_host_change("drain", f"b{i}")
        elif leave_method == "list":
            self.fleet.register_host(f"b{i}", "side", self.sides[i][0], f"d{i}",
                                     "leaving")
        else:
            self.fleet.processes[f"side-b{i}"].send_signal(signal.SIGTERM)

    def undo_leaving(self, leave_method, i):
        if leave_method == "drain":
            self.append_host_change("undrain", f"b{i}")
        elif leave_method == "list":
            self.fleet.register_host(f"b{i}", "side", self.sides[i][0], f"d{i}")
        else:
            self.fleet.processes[f"side-b{i}"].wait()
            self.start_side(i)
        time.sleep(2)

    def measure_last_start(self, i, after):
        """Returns the seconds from `after` to the last attempt that the side
        started; 0 if there is none."""
        last = after
        name = os.path.join(self.fleet.logs, f"side-b{i}.log")
        with open(name) as log:
            for text in log:
                if not text.endswith("}\n"):
                    continue
                line = json.loads(text)
                if line["event"] == ATTEMPT_STARTED:
                    last = max(last, to_unix_seconds(line["time"]))
        return last - after

    def run(self, leave_method, trials):
        durations = []
        load = CallerLoad([self.entries[i % ENTRY_COUNT]
                           for i in range(CALLER_COUNT)])
        for trial in range(trials):
            i = trial % SIDE_COUNT
            time.sleep(1)
            leave_started_at = time.time()
            self.start_leaving(leave_method, i)
            time.sleep(OBSERVATION_S)
            durations.append(self.measure_last_start(i, leave_started_at))
            self.undo_leaving(leave_method, i)
        load.stop()
        failed = sum(status != 200 for status in load.outcomes)
        print(f"| {leave_method} | {trials} | {max(durations):.3f} | "
              f"{len(load.outcomes)} "
              f"| {failed} |", flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--trials", type=int, default=6)
    options = parser.parse_args()
    print("| method | trials | last new request, max s | requests "
          "| not answered |\n"
          "|---|---|---|---|---|")
    with f.Fleet(options.program) as fleet:
        measurement = Measurement(fleet)
        measurement.start()
        for leave_method in ("drain", "list", "signal"):
            measurement.run(leave_method, options.trials)


if __name__ == "__main__":
    main()

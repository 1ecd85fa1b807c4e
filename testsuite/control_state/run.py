"""Control state in real processes: peers replace the log, sleepers catch up,
newcomers start during an outage or after truncation, and a leaving host takes
no new work while its streams finish."""

import http.client
import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import fleet as f  # noqa: E402

MODEL = "calc"
# The users' targets: a change is in force, and a leaving host idle, this soon.
TARGET_S = 3.0
STREAM_TOKENS = 30
CHUNK_MS = 50
SNAPSHOT_MS = 8000


def configuration(engine_port):
    return {
        "engines": [{"id": "engine-0", "host": "b0", "model": MODEL,
                     "url": f"http://{f.ADDRESS}:{engine_port}",
                     "memory_tokens": 100000, "slots": 8}],
        "services": [{"name": "calculation", "model": MODEL,
                      "engines": ["engine-0"], "teams": [{"id": "design"}]}],
        "presets": [{"name": "ordinary"}, {"name": "peak"}],
        "initial_preset": "ordinary"}


def ready(port):
    status, _, body = f.call(port, "GET", "/readyz")
    return status == 200, json.loads(body)


def version(port):
    return ready(port)[1].get("version", 0)


def complete(port, tokens=2):
    status, _, body = f.call(
        port, "POST", "/v1/completions",
        json.dumps({"model": MODEL, "prompt": "one beam",
                    "max_tokens": tokens}),
        {"Peridotshelf-Team": "design", "Peridotshelf-Timeout-Ms": "1500"})
    return status, json.loads(body)


class Stream(threading.Thread):
    """A streamed request, read in a thread of its own."""

    def __init__(self, port):
        super().__init__()
        self.port = port
        self.answer = None
        self.begun = threading.Event()

    def run(self):
        connection = http.client.HTTPConnection(f.ADDRESS, self.port,
                                                timeout=30)
        connection.request("POST", "/v1/completions", json.dumps(
            {"model": MODEL, "prompt": "long", "max_tokens": STREAM_TOKENS,
             "stream": True}), {"Peridotshelf-Team": "design"})
        response = connection.getresponse()
        first = response.read(1)
        self.begun.set()
        self.answer = (first + response.read()).decode()

    def assert_whole(self):
        self.join()
        pieces = f.extract_answer_text(self.answer).split()
        assert len(pieces) == STREAM_TOKENS, self.answer


class Case:
    def __init__(self, fleet, program):
        self.fleet = fleet
        self.program = program
        self.changes = 0

    def start(self):
        (self.log, hosts, engine, self.side, side_http, self.entry,
         self.cut_off, self.newcomer, self.dead) = f.find_free_ports(9)
        self.fleet.start_platform(self.log, hosts)
        self.fleet.start("engine", "standin", "engine", "--port", engine,
                         "--model", MODEL, "--chunk-interval-ms", CHUNK_MS)
        self.side_process = self.fleet.start_side(
            "b0", "north", self.side, side_http, "--snapshot-interval-ms",
            SNAPSHOT_MS)
        self.side_http = side_http
        self.entry_process = self.fleet.start_entry("e0", "north", self.entry)
        self.version = self.fleet.publish(configuration(engine))
        self.fleet.wait_until_ready(self.entry)
        self.wait_served()

    def wait_served(self):
        f.wait_until("requests are served",
                     lambda: complete(self.entry)[0] == 200)

    def start_cut_off_entry(self, name, port):
        """An entry that cannot reach the log."""
        return self.fleet.start(
            "entry-" + name, "entry", "--host", name,
            "--failure-domain",
            "north", "--http-port", port, "--log-url",
            f"http://{f.ADDRESS}:{self.dead}", "--hosts-url",
            f"http://{f.ADDRESS}:{self.fleet.hosts_port}")

    def start_lone_entry(self, name, port):
        """An entry that finds no peers."""
        return self.fleet.start(
            "entry-" + name, "entry", "--host", name, "--failure-domain",
            "north", "--http-port", port, "--log-url",
            f"http://{f.ADDRESS}:{self.log}", "--hosts-url",
            f"http://{f.ADDRESS}:{self.dead}")

    def log_control(self, **faults):
        status, _, body = f.call(self.log, "POST", "/control",
                                 json.dumps(faults))
        assert status == 200, body

    def change_preset(self):
        """Appends a preset change and returns its version."""
        self.changes += 1
        record = {"v": 1, "kind": "preset", "operator": "test",
                  "change_id": f"preset-{self.changes}",
                  "base_version": self.version,
                  "body": {"name": ("peak", "ordinary")[self.changes % 2]}}
        return self.append(record)

    def append(self, record):
        status, _, body = f.call(self.log, "POST", "/v1/log",
                                 json.dumps(record))
        assert status == 200, body
        self.version = json.loads(body)["offset"]
        return self.version

    def mark(self, kind, change_id):
        return self.append({"v": 1, "kind": kind, "operator": "test",
                            "change_id": change_id, "body": {"host": "b0"}})

    def assert_refused(self, why):
        """Within the target nothing new runs, and that is proved."""
        def refused():
            status, body = complete(self.entry)
            return status >= 400 and body["error"]["not_run"] is True
        f.wait_until("new work is refused: " + why, refused, TARGET_S)
        status, body = complete(self.entry)
        assert status >= 400 and body["error"]["not_run"] is True, body

    def peers_replace_the_log(self):
        self.start_cut_off_entry("e1", self.cut_off)
        self.fleet.wait_until_ready(self.cut_off)
        wanted = self.change_preset()
        f.wait_until("the change reaches the entry without log",
                     lambda: version(self.cut_off) >= wanted, TARGET_S)

    def sleeper_catches_up(self):
        self.entry_process.send_signal(signal.SIGSTOP)
        for _ in range(10):
            wanted = self.change_preset()
        self.entry_process.send_signal(signal.SIGCONT)
        f.wait_until("the sleeper has the newest version",
                     lambda: version(self.entry) >= wanted, TARGET_S)

    def newcomer_starts_during_outage(self):
        self.log_control(outage="hang")
        process = self.fleet.start_entry("e2", "north", self.newcomer)
        f.wait_until("the newcomer is ready during the outage",
                     lambda: version(self.newcomer) >= self.version, TARGET_S)
        self.log_control(outage="none")
        wanted = self.change_preset()
        f.wait_until("the log is followed again",
                     lambda: version(self.newcomer) >= wanted, TARGET_S)
        process.kill()
        process.wait()
        # Through the side, so both have read the change.
        f.wait_until("the entry without log has the change",
                     lambda: version(self.cut_off) >= wanted, TARGET_S)

    def truncated_log_needs_a_peer(self):
        self.log_control(truncate=self.version + 1)
        self.fleet.start_entry("e3", "north", self.newcomer)
        f.wait_until("the newcomer has the peers' state",
                     lambda: version(self.newcomer) >= self.version, TARGET_S)
        alone, = f.find_free_ports(1)
        self.fleet.start(
            "entry-e4", "entry", "--host", "e4", "--failure-domain", "north",
            "--http-port", alone, "--log-url",
            f"http://{f.ADDRESS}:{self.log}", "--hosts-url",
            f"http://{f.ADDRESS}:{self.dead}")
        f.wait_until("the lone newcomer says why it is not ready",
                     lambda: "expired" in ready(alone)[1]["reason"], TARGET_S)

    def snapshot_serves_a_lone_newcomer(self):
        def count_snapshots():
            page = json.loads(f.call(
                self.log, "GET",
                f"/v1/log?from={self.version + 1}&wait_ms=0")[2])
            return sum(json.loads(record["payload"])["kind"] == "snapshot"
                       for record in page["records"])
        f.wait_until("a snapshot is on the log", lambda: count_snapshots() > 0)
        self.log_control(truncate=self.version + 1)
        alone, = f.find_free_ports(1)
        self.start_lone_entry("e5", alone)
        f.wait_until("the lone newcomer starts from the snapshot",
                     lambda: version(alone) == self.version, TARGET_S)

    def leaving_refuses_and_streams_finish(self):
        stream = Stream(self.entry)
        stream.start()
        stream.begun.wait()
        self.mark("drain", "d1")
        self.assert_refused("drain")
        stream.assert_whole()
        self.mark("undrain", "d2")
        self.wait_served()
        self.fleet.register_host("b0", "side", self.side, "north", "leaving")
        self.assert_refused("list")
        self.fleet.register_host("b0", "side", self.side, "north")
        self.wait_served()

    def signalled_entry_serves_on_for_its_delay(self):
        (port,) = f.find_free_ports(1)
        process = self.fleet.start(
            "entry-e6", "entry", "--host", "e6", "--failure-domain", "north",
            "--http-port", port, "--drain-delay-ms",
            2000, *self.fleet.platform_flags())
        f.wait_until("the entry serves", lambda: complete(port)[0] == 200)
        stream = Stream(port)
        stream.start()
        stream.begun.wait()
        process.send_signal(signal.SIGTERM)
        f.wait_until("readiness fails", lambda: not ready(port)[0], 1.0)
        process.send_signal(signal.SIGTERM)
        status, body = complete(port)
        assert status == 200, body
        stream.assert_whole()
        assert process.wait(f.CONDITION_TIMEOUT_S) == 0

    def signalled_side_finishes_its_streams(self):
        stream = Stream(self.entry)
        stream.start()
        stream.begun.wait()
        self.side_process.send_signal(signal.SIGTERM)
        self.assert_refused("signal")
        self.side_process.send_signal(signal.SIGTERM)
        stream.assert_whole()
        assert self.side_process.wait(f.CONDITION_TIMEOUT_S) == 0


def main(program):
    with f.Fleet(program) as fleet:
        case = Case(fleet, program)
        case.start()
        for step in (case.peers_replace_the_log, case.sleeper_catches_up,
                     case.newcomer_starts_during_outage,
                     case.truncated_log_needs_a_peer,
                     case.snapshot_serves_a_lone_newcomer,
                     case.leaving_refuses_and_streams_finish,
                     case.signalled_entry_serves_on_for_its_delay,
                     case.signalled_side_finishes_its_streams):
            begun = time.monotonic()
            step()
            print(f"{step.__name__}: {time.monotonic() - begun:.2f} s")
    print("control state: passed")


if __name__ == "__main__":
    main(sys.argv[1])

"""Control state in real processes: changes arrive through peers without the
log, stopped processes catch up, new processes start during an outage or after
a truncation, and a leaving host refuses new requests while its streams
finish."""

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
# The target within which a change takes effect, and within which a leaving host
# refuses new requests.
PROPAGATION_TARGET_S = 3.0
STREAM_TOKENS = 30
CHUNK_MS = 50
SNAPSHOT_MS = 8000


def make_configuration(engine_port):
    return {
        "engines": [{"id": "engine-0", "host": "b0", "model": MODEL,
                     "url": f"http://{f.ADDRESS}:{engine_port}",
                     "memory_tokens": 100000, "slots": 8}],
        "services": [{"name": "calculation", "model": MODEL,
                      "engines": ["engine-0"], "teams": [{"id": "design"}]}],
        "presets": [{"name": "ordinary"}, {"name": "peak"}],
        "initial_preset": "ordinary"}


def read_readiness(port):
    status, _, body = f.call(port, "GET", "/readyz")
    return status == 200, json.loads(body)


def read_version(port):
    return read_readiness(port)[1].get("version", 0)


def send_completion(port, tokens=2):
    status, _, body = f.call(
        port, "POST", "/v1/completions",
        json.dumps({"model": MODEL, "prompt": "one beam",
                    "max_tokens": tokens}),
        {"Peridotshelf-Team": "design", "Peridotshelf-Timeout-Ms": "1500"})
    return status, json.loads(body)


class Stream(threading.Thread):
    """A streamed request that is read in a separate thread."""

    def __init__(self, port):
        super().__init__()
        self.port = port
        self.answer = None
        self.first_byte_read = threading.Event()

    def run(self):
        connection = http.client.HTTPConnection(f.ADDRESS, self.port,
                                                timeout=30)
        connection.request("POST", "/v1/completions", json.dumps(
            {"model": MODEL, "prompt": "long", "max_tokens": STREAM_TOKENS,
             "stream": True}), {"Peridotshelf-Team": "design"})
        response = connection.getresponse()
        first_byte = response.read(1)
        self.first_byte_read.set()
        self.answer = (first_byte + response.read()).decode()

    def assert_complete(self):
        self.join()
        pieces = f.extract_answer_text(self.answer).split()
        assert len(pieces) == STREAM_TOKENS, self.answer


class Case:
    def __init__(self, fleet, program):
        self.fleet = fleet
        self.program = program
        self.changes = 0

    def start(self):
        (self.log_port, hosts, engine, self.side_port, side_http,
         self.entry_port, self.isolated_port, self.new_entry_port,
         self.unused_port) = f.find_free_ports(9)
        self.fleet.start_platform(self.log_port, hosts)
        self.fleet.start("engine", "standin", "engine", "--port", engine,
                         "--model", MODEL, "--chunk-interval-ms", CHUNK_MS)
        self.side_process = self.fleet.start_side(
            "b0", "north", self.side_port, side_http, "--snapshot-interval-ms",
            SNAPSHOT_MS)
        self.side_http_port = side_http
        self.entry_process = self.fleet.start_entry("e0", "north",
                                                    self.entry_port)
        self.version = self.fleet.publish(make_configuration(engine))
        self.fleet.wait_until_ready(self.entry_port)
        self.wait_until_served()

    def wait_until_served(self):
        f.wait_until("requests are served",
                     lambda: send_completion(self.entry_port)[0] == 200)

    def start_entry_without_log(self, name, port):
        """Starts an entry that cannot reach the log."""
        return self.fleet.start(
            "entry-" + name, "entry", "--host", name,
            "--failure-domain",
            "north", "--http-port", port, "--log-url",
            f"http://{f.ADDRESS}:{self.unused_port}", "--hosts-url",
            f"http://{f.ADDRESS}:{self.fleet.hosts_port}")

    def start_entry_without_peers(self, name, port):
        """Starts an entry that finds no peers."""
        return self.fleet.start(
            "entry-" + name, "entry", "--host", name, "--failure-domain",
            "north", "--http-port", port, "--log-url",
            f"http://{f.ADDRESS}:{self.log_port}", "--hosts-url",
            f"http://{f.ADDRESS}:{self.unused_port}")

    def control_log(self, **faults):
        status, _, body = f.call(self.log_port, "POST", "/control",
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
        status, _, body = f.call(self.log_port, "POST", "/v1/log",
                                 json.dumps(record))
        assert status == 200, body
        self.version = json.loads(body)["offset"]
        return self.version

    def append_host_change(self, kind, change_id):
        return self.append({"v": 1, "kind": kind, "operator": "test",
                            "change_id": change_id, "body": {"host": "b0"}})

    def assert_refused(self, reason):
        """Checks that new requests are refused as not run within the target."""
        def is_refused():
            status, body = send_completion(self.entry_port)
            return status >= 400 and body["error"]["not_run"] is True
        f.wait_until("new requests are refused: " + reason, is_refused,
                     PROPAGATION_TARGET_S)
        status, body = send_completion(self.entry_port)
        assert status >= 400 and body["error"]["not_run"] is True, body

    def change_arrives_through_peers(self):
        self.start_entry_without_log("e1", self.isolated_port)
        self.fleet.wait_until_ready(self.isolated_port)
        new_version = self.change_preset()
        f.wait_until("the change reaches the entry without the log",
                     lambda: read_version(self.isolated_port) >= new_version,
                     PROPAGATION_TARGET_S)

    def stopped_entry_catches_up(self):
        self.entry_process.send_signal(signal.SIGSTOP)
        for _ in range(10):
            new_version = self.change_preset()
        self.entry_process.send_signal(signal.SIGCONT)
        f.wait_until("the stopped entry has the newest version",
                     lambda: read_version(self.entry_port) >= new_version,
                     PROPAGATION_TARGET_S)

    def new_entry_starts_during_outage(self):
        self.control_log(outage="hang")
        process = self.fleet.start_entry("e2", "north", self.new_entry_port)
        f.wait_until("the new entry is ready during the outage",
                     lambda: read_version(self.new_entry_port) >= self.version,
                     PROPAGATION_TARGET_S)
        self.control_log(outage="none")
        new_version = self.change_preset()
        f.wait_until("the new entry reads the log again",
                     lambda: read_version(self.new_entry_port) >= new_version,
                     PROPAGATION_TARGET_S)
        process.kill()
        process.wait()
        # This entry gets the change through the side, so both have applied it.
        f.wait_until("the entry without the log has the change",
                     lambda: read_version(self.isolated_port) >= new_version,
                     PROPAGATION_TARGET_S)

    def new_entry_needs_peer_after_truncation(self):
        self.control_log(truncate=self.version + 1)
        self.fleet.start_entry("e3", "north", self.new_entry_port)
        f.wait_until("the new entry has the peers' state",
                     lambda: read_version(self.new_entry_port) >= self.version,
                     PROPAGATION_TARGET_S)
        lone_port, = f.find_free_ports(1)
        self.fleet.start(
            "entry-e4", "entry", "--host", "e4", "--failure-domain", "north",
            "--http-port", lone_port, "--log-url",
            f"http://{f.ADDRESS}:{self.log_port}", "--hosts-url",
            f"http://{f.ADDRESS}:{self.unused_port}")
        f.wait_until("the entry without peers reports why it is not ready",
                     lambda: "expired" in read_readiness(
                         lone_port)[1]["reason"],
                     PROPAGATION_TARGET_S)

    def new_entry_starts_from_snapshot(self):
        def count_snapshots():
            page = json.loads(f.call(
                self.log_port, "GET",
                f"/v1/log?from={self.version + 1}&wait_ms=0")[2])
            return sum(json.loads(record["payload"])["kind"] == "snapshot"
                       for record in page["records"])
        f.wait_until("a snapshot is on the log", lambda: count_snapshots() > 0)
        self.control_log(truncate=self.version + 1)
        lone_port, = f.find_free_ports(1)
        self.start_entry_without_peers("e5", lone_port)
        f.wait_until("the entry without peers starts from the snapshot",
                     lambda: read_version(lone_port) == self.version,
                     PROPAGATION_TARGET_S)

    def leaving_host_refuses_and_streams_finish(self):
        stream = Stream(self.entry_port)
        stream.start()
        stream.first_byte_read.wait()
        self.append_host_change("drain", "d1")
        self.assert_refused("drain")
        stream.assert_complete()
        self.append_host_change("undrain", "d2")
        self.wait_until_served()
        self.fleet.register_host("b0", "side", self.side_port, "north",
                                 "leaving")
        self.assert_refused("list")
        self.fleet.register_host("b0", "side", self.side_port, "north")
        self.wait_until_served()

    def terminated_entry_serves_until_drain_delay(self):
        (port,) = f.find_free_ports(1)
        process = self.fleet.start(
            "entry-e6", "entry", "--host", "e6", "--failure-domain", "north",
            "--http-port", port, "--drain-delay-ms",
            2000, *self.fleet.platform_flags())
        f.wait_until("the entry serves",
                     lambda: send_completion(port)[0] == 200)
        stream = Stream(port)
        stream.start()
        stream.first_byte_read.wait()
        process.send_signal(signal.SIGTERM)
        f.wait_until("readiness fails",
                     lambda: not read_readiness(port)[0], 1.0)
        process.send_signal(signal.SIGTERM)
        status, body = send_completion(port)
        assert status == 200, body
        stream.assert_complete()
        assert process.wait(f.CONDITION_TIMEOUT_S) == 0

    def terminated_side_finishes_streams(self):
        stream = Stream(self.entry_port)
        stream.start()
        stream.first_byte_read.wait()
        self.side_process.send_signal(signal.SIGTERM)
        self.assert_refused("signal")
        self.side_process.send_signal(signal.SIGTERM)
        stream.assert_complete()
        assert self.side_process.wait(f.CONDITION_TIMEOUT_S) == 0


def main(program):
    with f.Fleet(program) as fleet:
        case = Case(fleet, program)
        case.start()
        for step in (case.change_arrives_through_peers,
                     case.stopped_entry_catches_up,
                     case.new_entry_starts_during_outage,
                     case.new_entry_needs_peer_after_truncation,
                     case.new_entry_starts_from_snapshot,
                     case.leaving_host_refuses_and_streams_finish,
                     case.terminated_entry_serves_until_drain_delay,
                     case.terminated_side_finishes_streams):
            started_at = time.monotonic()
            step()
            print(f"{step.__name__}: {time.monotonic() - started_at:.2f} s")
    print("control state: passed")


if __name__ == "__main__":
    main(sys.argv[1])

"""An engine with one slot: the side queues a second request, and the allocation
of a killed or frozen entry is released within five seconds."""

import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import fleet as f  # noqa: E402

MODEL = "calc"
RELEASE_TARGET_S = 5.0
CHUNK_INTERVAL_MS = 100


def make_configuration(engine_port):
    return {
        "engines": [{
            "id": "engine-0", "host": "b0", "model": MODEL,
            "url": f"http://{f.ADDRESS}:{engine_port}",
            "memory_tokens": 400000, "slots": 1}],
        "services": [
            {"name": "calculation", "kind": "completions", "model": MODEL,
             "engines": ["engine-0"], "teams": [{"id": "design"}]}],
        "presets": [{"name": "ordinary"}],
        "initial_preset": "ordinary"}


def send_completion(port, max_tokens):
    return f.call(port, "POST", "/v1/completions", json.dumps(
        {"model": MODEL, "prompt": "a beam", "max_tokens": max_tokens}),
        {"Peridotshelf-Team": "design"})


class Caller(threading.Thread):
    """Sends a request in a background thread."""

    def __init__(self, port, max_tokens):
        super().__init__(daemon=True)
        self.port = port
        self.max_tokens = max_tokens
        self.status = None
        self.start()

    def run(self):
        try:
            self.status = send_completion(self.port, self.max_tokens)[0]
        except OSError:
            self.status = 0


def read_running_attempts(engine_port):
    """Returns the attempts that still have memory at the engine."""
    body = f.call(engine_port, "GET", "/v1/engine/runs")[2]
    return [run for run in json.loads(body)["streams"] if not run["finished"]]


def measure_release(engine_port):
    started_at = time.monotonic()
    f.wait_until("the engine has released the memory",
                 lambda: not read_running_attempts(engine_port))
    return time.monotonic() - started_at


def check_release(fleet, entry, port, engine_port, signal_number):
    caller = Caller(port, 1000)
    f.wait_until("the stream runs",
                 lambda: len(read_running_attempts(engine_port)) == 1)
    fleet.processes[entry].send_signal(signal_number)
    release_s = measure_release(engine_port)
    print(f"{entry}: {signal_number.name}, released after {release_s:.2f} s")
    assert release_s < RELEASE_TARGET_S, release_s
    return caller


def main(program):
    log, hosts, engine, side, health, entry_0, entry_1, entry_2 = \
        f.find_free_ports(8)
    with f.Fleet(program) as fleet:
        fleet.start_platform(log, hosts)
        fleet.start("engine-0", "standin", "engine", "--port", engine,
                    "--model", MODEL, "--slots", 1, "--chunk-interval-ms",
                    CHUNK_INTERVAL_MS)
        fleet.start_side("b0", "north", side, health)
        ports = {"e0": entry_0, "e1": entry_1, "e2": entry_2}
        for name, port in ports.items():
            fleet.start_entry(name, "north", port)
        fleet.publish(make_configuration(engine))
        for port in ports.values():
            fleet.wait_until_ready(port)
            f.wait_until("a first request is answered",
                         lambda port=port: send_completion(port, 1)[0] == 200)

        first = Caller(entry_0, 10)
        f.wait_until("the first request runs",
                     lambda: len(read_running_attempts(engine)) == 1)
        second = Caller(entry_1, 10)
        first.join()
        second.join()
        assert (first.status, second.status) == (200, 200)

        check_release(fleet, "entry-e0", entry_0, engine, signal.SIGKILL)
        frozen = check_release(fleet, "entry-e1", entry_1, engine,
                               signal.SIGSTOP)
        fleet.processes["entry-e1"].send_signal(signal.SIGCONT)
        frozen.join()
        assert frozen.status != 200, frozen.status
        assert not read_running_attempts(engine)
        assert send_completion(entry_2, 5)[0] == 200
    print("lease end: passed")


if __name__ == "__main__":
    main(sys.argv[1])

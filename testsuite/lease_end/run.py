"""One engine with one slot: a second request waits its turn at the side, and
what a killed or frozen entry held is free again within five seconds."""

import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import fleet as f  # noqa: E402

MODEL = "calc"
FREED_WITHIN_S = 5.0
CHUNK_INTERVAL_MS = 100


def configuration(engine_port):
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


def complete(port, max_tokens):
    return f.call(port, "POST", "/v1/completions", json.dumps(
        {"model": MODEL, "prompt": "a beam", "max_tokens": max_tokens}),
        {"Peridotshelf-Team": "design"})


class Caller(threading.Thread):
    """One request in the background."""

    def __init__(self, port, max_tokens):
        super().__init__(daemon=True)
        self.port = port
        self.max_tokens = max_tokens
        self.status = None
        self.start()

    def run(self):
        try:
            self.status = complete(self.port, self.max_tokens)[0]
        except OSError:
            self.status = 0


def held(engine_port):
    """Attempts that the engine still holds memory for."""
    body = f.call(engine_port, "GET", "/v1/engine/runs")[2]
    return [run for run in json.loads(body)["streams"] if not run["finished"]]


def seconds_until_free(engine_port):
    began = time.monotonic()
    f.wait_until("the engine is free", lambda: not held(engine_port))
    return time.monotonic() - began


def check_end_of(fleet, entry, port, engine_port, kind):
    caller = Caller(port, 1000)
    f.wait_until("the stream runs", lambda: len(held(engine_port)) == 1)
    fleet.processes[entry].send_signal(kind)
    freed = seconds_until_free(engine_port)
    print(f"{entry}: {kind.name}, free after {freed:.2f} s")
    assert freed < FREED_WITHIN_S, freed
    return caller


def main(program):
    log, hosts, engine, side, health, entry_0, entry_1, entry_2 = f.find_free_ports(8)
    with f.Fleet(program) as fleet:
        fleet.start_platform(log, hosts)
        fleet.start("engine-0", "standin", "engine", "--port", engine,
                    "--model", MODEL, "--slots", 1, "--chunk-interval-ms",
                    CHUNK_INTERVAL_MS)
        fleet.start_side("b0", "north", side, health)
        ports = {"e0": entry_0, "e1": entry_1, "e2": entry_2}
        for name, port in ports.items():
            fleet.start_entry(name, "north", port)
        fleet.publish(configuration(engine))
        for port in ports.values():
            fleet.wait_until_ready(port)
            f.wait_until("a first answer comes",
                         lambda port=port: complete(port, 1)[0] == 200)

        first = Caller(entry_0, 10)
        f.wait_until("the first runs", lambda: len(held(engine)) == 1)
        second = Caller(entry_1, 10)
        first.join()
        second.join()
        assert (first.status, second.status) == (200, 200)

        check_end_of(fleet, "entry-e0", entry_0, engine, signal.SIGKILL)
        frozen = check_end_of(fleet, "entry-e1", entry_1, engine,
                              signal.SIGSTOP)
        fleet.processes["entry-e1"].send_signal(signal.SIGCONT)
        frozen.join()
        assert frozen.status != 200, frozen.status
        assert not held(engine)
        assert complete(entry_2, 5)[0] == 200
    print("lease end: passed")


if __name__ == "__main__":
    main(sys.argv[1])

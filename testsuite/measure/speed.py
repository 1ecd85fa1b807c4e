"""Measures an entry and a side on loopback against direct calls to the
simulated engine: added latency, requests per second, memory per open stream,
and prompts of a million tokens. Not a test: run it as `speed.py PROGRAM`."""

import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import fleet as f  # noqa: E402

MODEL = "calc"
STREAM_COUNT = 1000
THREADS = 4


def make_configuration(engines):
    return {
        "engines": [{"id": model, "host": "b0", "model": model,
                     "url": f"http://{f.ADDRESS}:{port}",
                     "memory_tokens": 10**9, "slots": 4096}
                    for model, port in engines.items()],
        "services": [{"name": model, "model": model, "engines": [model],
                      "teams": [{"id": "default"}]} for model in engines],
        "presets": [{"name": "ordinary", "max_long_prefills": 64}],
        "initial_preset": "ordinary"}


def read_status_kb(process, field):
    with open(f"/proc/{process.pid}/status") as status:
        return next(int(line.split()[1]) for line in status
                    if line.startswith(field + ":"))


def read_cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Measurement:
    def __init__(self, fleet):
        self.fleet = fleet
        log, hosts, engine, slow, side, side_http, self.entry = \
            f.find_free_ports(7)
        self.engine = engine
        fleet.start_platform(log, hosts)
        flags = ["--memory-tokens", 10**9, "--slots", 4096]
        fleet.start("engine", "standin", "engine", "--port", engine, "--model",
                    MODEL, *flags)
        fleet.start("slow", "standin", "engine", "--port", slow, "--model",
                    "slow", "--chunk-interval-ms", 1000, *flags)
        self.side_process = fleet.start_side(
            "b0", "north", side, side_http, "--threads", THREADS,
            "--log-level", "warning")
        self.entry_process = fleet.start_entry(
            "e0", "north", self.entry, "--threads", THREADS, "--log-level",
            "warning")
        fleet.publish(make_configuration({MODEL: engine, "slow": slow}))
        fleet.wait_until_ready(self.entry)
        f.wait_until("a prompt is answered", lambda: f.call(
            self.entry, "POST", "/v1/completions", json.dumps(
                {"model": MODEL, "prompt": "x"}))[0] == 200)

    def make_load_command(self, *args):
        return [self.fleet.program, "load", "--url",
                f"http://{f.ADDRESS}:{self.entry}", "--model", MODEL,
                *map(str, args)]

    def run_load(self, *args):
        before = [read_cpu_seconds(p) for p in (self.entry_process,
                                                self.side_process)]
        completed = subprocess.run(self.make_load_command(*args), text=True,
                                   capture_output=True)
        after = [read_cpu_seconds(p) for p in (self.entry_process,
                                               self.side_process)]
        cpu_s = [round(b - a, 2) for a, b in zip(before, after)]
        print("$ load", *args, f"(exit {completed.returncode}; CPU seconds: "
              f"entry {cpu_s[0]}, side {cpu_s[1]})")
        print(completed.stdout + completed.stderr, flush=True)

    def measure_stream_memory(self):
        processes = (self.entry_process, self.side_process)
        before = [read_status_kb(p, "VmRSS") for p in processes]
        command = [self.fleet.program, "load", "--url",
                   f"http://{f.ADDRESS}:{self.entry}", "--model", "slow",
                   "--connections", str(STREAM_COUNT), "--requests",
                   str(STREAM_COUNT),
                   "--mix", "100:1", "--max-tokens", "15"]
        with subprocess.Popen(
                command,
                stdout=subprocess.PIPE, text=True) as load:
            time.sleep(8)
            during = [read_status_kb(p, "VmRSS") for p in processes]
            print(load.communicate()[0].split("entry, prompts")[0])
        for name, a, b in zip(("entry", "side"), before, during):
            print(f"{name}: {a} KB before, {b} KB with {STREAM_COUNT} streams, "
                  f"{(b - a) / STREAM_COUNT:.1f} KB a stream", flush=True)

    def measure_million_tokens(self):
        for process in (self.entry_process, self.side_process):
            print(f"peak before: {read_status_kb(process, 'VmHWM')} KB")
        self.run_load("--mix", "1000000:1", "--requests", 5, "--connections", 1,
                      "--direct-url", f"http://{f.ADDRESS}:{self.engine}")
        for process in (self.entry_process, self.side_process):
            print(f"peak after: {read_status_kb(process, 'VmHWM')} KB",
                  flush=True)


def main(program):
    print("load average", *os.getloadavg())
    with f.Fleet(program) as fleet:
        measurement = Measurement(fleet)
        measurement.run_load("--requests", 2000)
        measurement.run_load("--mode", "open", "--rate", 1000, "--requests", 0,
                             "--duration-ms", 10000, "--direct-url",
                             f"http://{f.ADDRESS}:{measurement.engine}")
        for tokens in (1, 16):
            measurement.run_load("--connections", 128, "--requests", 0,
                                 "--duration-ms", 6000, "--clients", 4,
                                 "--max-tokens", tokens)
        measurement.measure_stream_memory()
        measurement.measure_million_tokens()
    print("load average", *os.getloadavg())


if __name__ == "__main__":
    main(sys.argv[1])

"""Measures what entries and sides cost: idle by members, and by requests and
tokens. docs/CAPACITY.md multiplies these slopes by the users' sizes.

usage: capacity.py PROGRAM idle --members 20,60,200 [--seconds S]
       capacity.py PROGRAM requests [--seconds S]
"""

import argparse
import json
import os
import re
import statistics
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import fleet as f  # noqa: E402

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KILOBYTE = 1024
MODEL = "calc"


def cpu_seconds(process):
    """User and system time that a process has taken so far."""
    with open(f"/proc/{process.pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(process):
    with open(f"/proc/{process.pid}/status") as status:
        return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1)) \
            * KILOBYTE


def control_bytes(port):
    """Bytes for control since the start, sent and received, as /metrics has
    them."""
    body = f.call(port, "GET", "/metrics")[2]
    found = re.findall(
        r'^peridotshelf_control_bytes_total\{[^}]*\} ([0-9.e+]+)$', body, re.M)
    return sum(float(value) for value in found)


def configuration(engine_ports):
    """The given engines and, as in a large fleet, teams and presets."""
    return {
        "engines": [{
            "id": f"engine-{i}", "host": f"b{i}", "model": MODEL,
            "url": f"http://{f.ADDRESS}:{port}", "memory_tokens": 4000000,
            "slots": 4000} for i, port in enumerate(engine_ports)],
        "backends": [],
        "services": [{"name": "calculation", "kind": "completions",
                      "model": MODEL,
                      "engines": [f"engine-{i}"
                                  for i in range(len(engine_ports))],
                      "teams": [{"id": f"team-{i}"} for i in range(240)]}],
        "presets": [{"name": "ordinary"}, {"name": "peak"}],
        "initial_preset": "ordinary"}


class Members:
    """Entries and sides of one run with the ports of their metrics."""

    def __init__(self, fleet, entries, sides):
        self.ports = {}
        self.fleet = fleet
        ports = iter(f.find_free_ports(2 + entries * 2 + sides * 2))
        fleet.start_platform(next(ports), next(ports))
        listed = []
        for i in range(sides):
            port, health = next(ports), next(ports)
            name = f"b{i}"
            fleet.start("side-" + name, "side", "--host", name,
                        "--failure-domain", f"d{i % 7}", "--port", port,
                        "--http-port", health, "--log-level", "error",
                        *fleet.platform_flags())
            self.ports["side-" + name] = health
            listed.append(("side", name, port, f"d{i % 7}"))
        for i in range(entries):
            port = next(ports)
            name = f"e{i}"
            fleet.start("entry-" + name, "entry", "--host", name,
                        "--failure-domain", f"d{i % 7}", "--http-port", port,
                        "--log-level", "error",
                        *fleet.platform_flags())
            self.ports["entry-" + name] = port
            listed.append(("entry", name, 0, f"d{i % 7}"))
        f.call(fleet.hosts_port, "POST", "/v1/hosts", json.dumps({"hosts": [
            {"host": name, "role": role, "state": "live", "address": f.ADDRESS,
             "port": port, "failure_domain": domain}
            for role, name, port, domain in listed]}))

    def of(self, role):
        return {name: process for name, process in self.fleet.processes.items()
                if name.startswith(role)}


def row(role, members, cpu, rss, rate):
    def show(values, unit):
        return (f"{statistics.mean(values) / unit:.2f} | "
                f"{max(values) / unit:.2f}")
    print(f"| {role} | {members} | {show(cpu, 0.01)} | "
          f"{show(rss, KILOBYTE * KILOBYTE)} | {show(rate, KILOBYTE)} |",
          flush=True)


def measure_idle(program, members, seconds):
    entries = max(2, members // 13)
    sides = members - entries
    with f.Fleet(program) as fleet:
        group = Members(fleet, entries, sides)
        fleet.publish(configuration([1] * sides))
        for name, port in group.ports.items():
            if name.startswith("entry"):
                fleet.wait_until_ready(port)
        time.sleep(10)
        before = {name: (cpu_seconds(fleet.processes[name]),
                         control_bytes(port))
                  for name, port in group.ports.items()}
        begin = time.monotonic()
        time.sleep(seconds)
        for role in ("entry", "side"):
            names = list(group.of(role))
            span = time.monotonic() - begin
            cpu = [(cpu_seconds(fleet.processes[n]) - before[n][0]) / span
                   for n in names]
            rss = [resident_bytes(fleet.processes[n]) for n in names]
            rate = [(control_bytes(group.ports[n]) - before[n][1]) / span
                    for n in names]
            row(role, members, cpu, rss, rate)


def run_load(program, port, rate, tokens, mix, seconds):
    done = subprocess.run(
        [program, "load", "--url", f"http://{f.ADDRESS}:{port}", "--mode",
         "open", "--rate", str(rate), "--requests", "0", "--duration-ms",
         str(int(seconds * 1000)), "--mix", mix, "--max-tokens", str(tokens),
         "--model", MODEL, "--team", "team-0", "--skip-check", "--json"],
        capture_output=True, text=True, check=False)
    return json.loads(done.stdout)


def measure_requests(program, seconds):
    """CPU of one entry and one side at some rates, answers and prompts."""
    with f.Fleet(program) as fleet:
        group = Members(fleet, 1, 1)
        engine, = f.find_free_ports(1)
        fleet.start("engine", "standin", "engine", "--port", engine, "--model",
                    MODEL, "--memory-tokens", 4000000, "--slots", 4000,
                    "--chunk-interval-ms", 10)
        fleet.publish(configuration([engine]))
        port = group.ports["entry-e0"]
        fleet.wait_until_ready(port)
        time.sleep(2)
        for rate, tokens, mix in ((0.001, 1, "1000:1"), (100, 1, "1000:1"),
                                  (200, 1, "1000:1"), (400, 1, "1000:1"),
                                  (100, 100, "1000:1"), (100, 200, "1000:1"),
                                  (10, 1, "100000:1"), (10, 1, "300000:1")):
            before = {n: cpu_seconds(p) for n, p in fleet.processes.items()}
            begin = time.monotonic()
            report = run_load(program, port, rate, tokens, mix, seconds)
            span = time.monotonic() - begin
            cost = {n: (cpu_seconds(p) - before[n]) / span
                    for n, p in fleet.processes.items()}
            print(f"| {rate} | {tokens} | {mix} | {cost['entry-e0']:.4f} | "
                  f"{cost['side-b0']:.4f} | {span:.1f} | {json.dumps(report)}",
                  flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("what", choices=["idle", "requests"])
    parser.add_argument("--members", default="20,60,200")
    parser.add_argument("--seconds", type=float, default=30)
    args = parser.parse_args()
    if args.what == "requests":
        measure_requests(args.program, args.seconds)
        return
    print("| role | members | CPU mean, % of a core | max | RSS mean, MB | max "
          "| control KB/s mean | max |\n|---|---|---|---|---|---|---|---|")
    for members in args.members.split(","):
        measure_idle(args.program, int(members), args.seconds)


if __name__ == "__main__":
    main()

"""Measures the CPU, memory and control traffic of entries and sides: idle, by
the number of members, and by requests and tokens. docs/CAPACITY.md multiplies
these slopes by the sizes of the users' deployments.

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


def read_cpu_seconds(process):
    """Returns the user and system time that a process has used."""
    with open(f"/proc/{process.pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_resident_bytes(process):
    with open(f"/proc/{process.pid}/status") as status:
        return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1)) \
            * KILOBYTE


def read_control_bytes(port):
    """Returns the control bytes sent and received since the start, from
    /metrics."""
    body = f.call(port, "GET", "/metrics")[2]
    found = re.findall(
        r'^peridotshelf_control_bytes_total\{[^}]*\} ([0-9.e+]+)$', body, re.M)
    return sum(float(value) for value in found)


def make_configuration(engine_ports):
    """Makes a configuration of these engines with the teams and presets of a
    large fleet."""
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


class MemberGroup:
    """The entries and sides of a run, and the ports of their metrics."""

    def __init__(self, fleet, entries, sides):
        self.ports = {}
        self.fleet = fleet
        ports = iter(f.find_free_ports(2 + entries * 2 + sides * 2))
        fleet.start_platform(next(ports), next(ports))
        host_list = []
        for i in range(sides):
            port, health = next(ports), next(ports)
            name = f"b{i}"
            fleet.start("side-" + name, "side", "--host", name,
                        "--failure-domain", f"d{i % 7}", "--port", port,
                        "--http-port", health, "--log-level", "error",
                        *fleet.platform_flags())
            self.ports["side-" + name] = health
            host_list.append(("side", name, port, f"d{i % 7}"))
        for i in range(entries):
            port = next(ports)
            name = f"e{i}"
            fleet.start("entry-" + name, "entry", "--host", name,
                        "--failure-domain", f"d{i % 7}", "--http-port", port,
                        "--log-level", "error",
                        *fleet.platform_flags())
            self.ports["entry-" + name] = port
            host_list.append(("entry", name, 0, f"d{i % 7}"))
        f.call(fleet.hosts_port, "POST", "/v1/hosts", json.dumps({"hosts": [
            {"host": name, "role": role, "state": "live", "address": f.ADDRESS,
             "port": port, "failure_domain": domain}
            for role, name, port, domain in host_list]}))

    def find_processes(self, role):
        return {name: process for name, process in self.fleet.processes.items()
                if name.startswith(role)}


def print_row(role, members, cpu, rss, rate):
    def format_mean_and_max(values, unit):
        return (f"{statistics.mean(values) / unit:.2f} | "
                f"{max(values) / unit:.2f}")
    print(f"| {role} | {members} | {format_mean_and_max(cpu, 0.01)} | "
          f"{format_mean_and_max(rss, KILOBYTE * KILOBYTE)} | "
          f"{format_mean_and_max(rate, KILOBYTE)} |",
          flush=True)


def measure_idle(program, members, seconds):
    entries = max(2, members // 13)
    sides = members - entries
    with f.Fleet(program) as fleet:
        group = MemberGroup(fleet, entries, sides)
        fleet.publish(make_configuration([1] * sides))
        for name, port in group.ports.items():
            if name.startswith("entry"):
                fleet.wait_until_ready(port)
        time.sleep(10)
        before = {name: (read_cpu_seconds(fleet.processes[name]),
                         read_control_bytes(port))
                  for name, port in group.ports.items()}
        started_at = time.monotonic()
        time.sleep(seconds)
        for role in ("entry", "side"):
            names = list(group.find_processes(role))
            duration_s = time.monotonic() - started_at
            cpu = [(read_cpu_seconds(fleet.processes[n]) -
                    before[n][0]) / duration_s
                   for n in names]
            rss = [read_resident_bytes(fleet.processes[n]) for n in names]
            rate = [(read_control_bytes(group.ports[n]) -
                     before[n][1]) / duration_s
                    for n in names]
            print_row(role, members, cpu, rss, rate)


def run_load(program, port, rate, tokens, mix, seconds):
    completed = subprocess.run(
        [program, "load", "--url", f"http://{f.ADDRESS}:{port}", "--mode",
         "open", "--rate", str(rate), "--requests", "0", "--duration-ms",
         str(int(seconds * 1000)), "--mix", mix, "--max-tokens", str(tokens),
         "--model", MODEL, "--team", "team-0", "--skip-check", "--json"],
        capture_output=True, text=True, check=False)
    return json.loads(completed.stdout)


def measure_requests(program, seconds):
    """Measures the CPU time of an entry and a side at several request rates,
    answer lengths and prompt lengths."""
    with f.Fleet(program) as fleet:
        group = MemberGroup(fleet, 1, 1)
        engine, = f.find_free_ports(1)
        fleet.start("engine", "standin", "engine", "--port", engine, "--model",
                    MODEL, "--memory-tokens", 4000000, "--slots", 4000,
                    "--chunk-interval-ms", 10)
        fleet.publish(make_configuration([engine]))
        port = group.ports["entry-e0"]
        fleet.wait_until_ready(port)
        time.sleep(2)
        for rate, tokens, mix in ((0.001, 1, "1000:1"), (100, 1, "1000:1"),
                                  (200, 1, "1000:1"), (400, 1, "1000:1"),
                                  (100, 100, "1000:1"), (100, 200, "1000:1"),
                                  (10, 1, "100000:1"), (10, 1, "300000:1")):
            before = {n: read_cpu_seconds(p)
                      for n, p in fleet.processes.items()}
            started_at = time.monotonic()
            report = run_load(program, port, rate, tokens, mix, seconds)
            duration_s = time.monotonic() - started_at
            cost = {n: (read_cpu_seconds(p) - before[n]) / duration_s
                    for n, p in fleet.processes.items()}
            print(f"| {rate} | {tokens} | {mix} | {cost['entry-e0']:.4f} | "
                  f"{cost['side-b0']:.4f} | {duration_s:.1f} | "
                  f"{json.dumps(report)}",
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

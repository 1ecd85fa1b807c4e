"""A fleet of separate processes whose history is recorded and checked."""

import json
import os
import signal
import subprocess
import time

import callers as c
import fleet as f
import history as h

# Added to the bounds of `check-history` because the machine may be busy.
CHECK_SLACK_MS = 2000


class RecordedFleet(f.Fleet):
    """Runs entries, sides, engines and the platform as processes, injects
    faults into them and records both."""

    def __init__(self, program, seed=1, sides=2, entries=2, relay=False,
                 slots=16):
        super().__init__(program)
        self.wall_to_monotonic = time.monotonic_ns() - time.time_ns()
        self.history = h.History(os.path.join(self.logs, "case.jsonl"), "case")
        self.slots = slots
        ports = iter(f.find_free_ports(4 + 5 * sides + 2 * entries))
        self.platform_ports = [next(ports), next(ports)]
        self.service_port = next(ports)
        self.engines = {f"engine-{i}": next(ports) for i in range(sides)}
        self.sides = {f"side-b{i}": (next(ports), next(ports))
                      for i in range(sides)}
        self.relays = {f"relay-b{i}": (next(ports), next(ports))
                       for i in range(sides)} if relay else {}
        self.entries = {f"entry-e{i}": next(ports) for i in range(entries)}
        self.commands = {}
        self.accepted_changes = {}
        self.callers = c.Callers(self.history, self.entries, seed)

    def start(self, name, *args):
        self.commands[name] = args
        return super().start(name, *args)

    def start_all(self):
        """Starts all processes and waits until each entry answers."""
        self.start_platform(*self.platform_ports)
        self.start("service", "standin", "service", "--port",
                   self.service_port, "--name", "service", "--history",
                   self.history_path("service"))
        for name in self.engines:
            self.start_engine(name)
        for i, (name, (port, http_port)) in enumerate(self.sides.items()):
            self.start(name, *self.make_side_args(i, port, http_port))
            self.register_side(i)
        for i, (name, port) in enumerate(self.entries.items()):
            self.start_entry(f"e{i}", f"d{i % 2}", port)
        offset = self.publish(self.make_configuration(), change_id="first")
        self.record_accepted_change(offset, "first")
        self.warm_up()

    def warm_up(self):
        for port in self.entries.values():
            self.wait_until_ready(port)
        for name, port in self.entries.items():
            for _ in range(2 * len(self.sides)):
                f.wait_until(f"{name} answers", lambda port=port: f.call(
                    port, "POST", "/v1/completions", json.dumps(
                        {"model": c.MODEL, "prompt": "warm-up",
                         "max_tokens": 1}),
                    {"Peridotshelf-Team": "design"})[0] == 200)

    def start_entry(self, host, domain, port, *args):
        """Starts an entry whose drain delay lets load balancers react."""
        return self.start(
            "entry-" + host, "entry", "--host", host, "--failure-domain",
            domain, "--http-port", port,
            "--drain-delay-ms", 1500, *self.platform_flags(), *args)

    def replace_entry(self, name):
        """Stops and restarts an entry while callers use the others."""
        port = self.entries[name]
        self.callers.remove_entry(name)
        self.stop_gracefully(name)
        self.restart(name)
        self.wait_until_ready(port)
        self.callers.add_entry(name, port)

    def wait_for_answers(self, count):
        """Waits for `count` more answers."""
        target_count = self.callers.count("answer") + count
        f.wait_until(f"{count} more answers arrive",
                     lambda: self.callers.count("answer") >= target_count,
                     timeout=2 * f.CONDITION_TIMEOUT_S)

    def history_path(self, name):
        return os.path.join(self.logs, name + ".jsonl")

    def start_engine(self, name):
        return self.start(
            name, "standin", "engine", "--port", self.engines[name], "--model",
            c.MODEL, "--name", name, "--history", self.history_path(name),
            "--chunk-interval-ms", 40, "--prefill-tokens-per-second", 400000,
            "--slots", self.slots)

    def make_side_args(self, i, port, http_port):
        return ("side", "--host", f"b{i}", "--failure-domain", f"d{i % 2}",
                "--port", port, "--http-port", http_port,
                *self.platform_flags())

    def register_side(self, i, state="live"):
        port = self.sides[f"side-b{i}"][0]
        relay = f"relay-b{i}"
        if relay in self.relays:
            listen_port, control_port = self.relays[relay]
            if relay not in self.processes:
                self.start(relay, "standin", "relay", "--port", listen_port,
                           "--target-port", port, "--control-port",
                           control_port)
            port = listen_port
        self.register_host(f"b{i}", "side", port, f"d{i % 2}", state)

    def make_configuration(self):
        return {
            "engines": [
                {"id": name, "host": f"b{i}", "model": c.MODEL,
                 "url": f"http://{f.ADDRESS}:{port}",
                 "memory_tokens": 400000, "slots": self.slots}
                for i, (name, port) in enumerate(self.engines.items())],
            "backends": [{"id": "approvals-0", "host": "b0",
                          "url": f"http://{f.ADDRESS}:{self.service_port}"}],
            "services": [
                {"name": "calculation", "kind": "completions",
                 "model": c.MODEL, "engines": list(self.engines),
                 "teams": [{"id": "design"}]},
                {"name": "approvals", "kind": "plain",
                 "backends": ["approvals-0"], "teams": [{"id": "design"}]}],
            "presets": [{"name": "ordinary"}, {"name": "peak"},
                        {"name": "maintenance"}],
            "initial_preset": "ordinary"}

    def record_accepted_change(self, version, change_id):
        """Records a change whose acceptance was confirmed to the operator.
        The change id stands for the preset in the history."""
        self.accepted_changes[version] = change_id
        self.history.record("change_accepted", version=version,
                            preset=change_id)

    def run_operator_command(self, *args):
        """Runs an operator command; returns its exit code and last output line
        as JSON."""
        completed = subprocess.run(
            [self.program, *map(str, args), "--json", "--log-url",
             f"http://{f.ADDRESS}:{self.log_port}"],
            capture_output=True, text=True, timeout=f.CONDITION_TIMEOUT_S)
        lines = completed.stdout.splitlines()
        return completed.returncode, json.loads(lines[-1]) if lines else {}

    def change_preset(self, preset):
        """Activates a preset and waits until all entries have applied it."""
        change_id = f"{preset}-{len(self.accepted_changes)}"
        code, line = self.run_operator_command("preset", preset,
                                               "--change-id", change_id)
        assert code == 0, (code, line)
        self.record_accepted_change(line["version"], change_id)
        self.wait_for_version(line["version"])

    def wait_for_version(self, version):
        """Waits until each entry has applied `version` or a later one."""
        for port in self.entries.values():
            f.wait_until(f"version {version} is applied", lambda port=port: (
                json.loads(f.call(port, "GET", "/readyz")[2])["version"]
                >= version))

    def control_log(self, **faults):
        status, _, body = f.call(self.log_port, "POST", "/control",
                                 json.dumps(faults))
        assert status == 200, body
        if "outage" in faults:
            self.history.record("log_availability",
                                available=faults["outage"] == "none")

    def control_relay(self, i, **command):
        status, _, body = f.call(self.relays[f"relay-b{i}"][1], "POST",
                                 "/control", json.dumps(command))
        assert status == 200, body

    # Fault injection.

    def find_affected_backends(self, name):
        """Returns the backends that a fault of a process affects."""
        if name.startswith("side-b"):
            return ["engine-" + name[len("side-b"):]]
        return [name] if name.startswith("engine-") else []

    def kill(self, name):
        self.history.record("process_killed", process=name,
                            backends=self.find_affected_backends(name))
        self.processes[name].kill()
        self.processes[name].wait()

    def freeze(self, name):
        self.history.record("process_frozen", process=name,
                            backends=self.find_affected_backends(name))
        self.processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name):
        self.processes[name].send_signal(signal.SIGCONT)
        self.history.record("process_thawed", process=name)

    def restart(self, name):
        """Starts a process again with the same arguments."""
        self.start(name, *self.commands[name])
        self.history.record("process_started", process=name)

    def stop_gracefully(self, name):
        """Sends SIGTERM to a process and waits for a clean exit."""
        self.history.record("planned_stop", process=name,
                            backends=self.find_affected_backends(name))
        self.processes[name].send_signal(signal.SIGTERM)
        f.wait_until(name + " has stopped",
                     lambda: self.processes[name].poll() is not None,
                     timeout=2 * f.CONDITION_TIMEOUT_S)
        assert self.processes[name].returncode == 0, name
        self.history.record("process_ended", process=name)

    # End of the run.

    def are_engines_idle(self):
        for name, port in self.engines.items():
            if self.processes[name].poll() is not None:
                continue
            report = json.loads(f.call(port, "GET", "/v1/engine/report")[2])
            if report["used_tokens"] or report["used_slots"]:
                return False
        return True

    def finish_and_check(self):
        """Stops the callers and checks the history of the run."""
        self.callers.stop()
        f.wait_until("engines hold no requests", self.are_engines_idle)
        self.record_versions()
        self.history.record("log_availability", available=True)
        files = [self.history.path] + [
            self.history_path(name) for name in [*self.engines, "service"]]
        completed = subprocess.run(
            [self.program, "check-history", "--slack-ms", str(CHECK_SLACK_MS),
             *files], capture_output=True, text=True)
        print(completed.stdout + completed.stderr, end="")
        print("outcomes", self.callers.outcomes)
        assert completed.returncode == 0, "check-history found violations"

    def record_versions(self):
        """Records the versions that each process has logged as applied."""
        for name in [*self.entries, *self.sides]:
            with open(os.path.join(self.logs, name + ".log")) as log:
                for line in log:
                    self.record_version(name, line)

    def record_version(self, name, line):
        try:
            event = json.loads(line)
        except ValueError:
            return
        if event.get("name") not in ("change_accepted", "snapshot_adopted",
                                     "peer_state_adopted"):
            return
        version = event["version"]
        change_id = event.get("change_id") or \
            self.accepted_changes.get(version, "")
        self.history.record(
            "control_in_force", recorder=name, version=version,
            preset=change_id,
            time_ns=self.wall_to_monotonic + to_nanoseconds(event["time"]))


def to_nanoseconds(text):
    """Converts the time of a log line to nanoseconds of the wall clock."""
    import datetime
    timestamp = datetime.datetime.fromisoformat(text.replace("Z", "+00:00"))
    return int(timestamp.timestamp() * 1000) * 1_000_000

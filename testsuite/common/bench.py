"""A fleet of separate processes whose run is recorded and judged."""

import json
import os
import signal
import subprocess
import time

import callers as c
import fleet as f
import history as h

# Added to the checker's bounds, for a machine that is busy with other work.
SLACK_MS = 2000


class Bench(f.Fleet):
    """Entries, sides, engines and the platform, each a process, with faults
    that are recorded."""

    def __init__(self, program, seed=1, sides=2, entries=2, relay=False,
                 slots=16):
        super().__init__(program)
        self.wall_to_monotonic = time.monotonic_ns() - time.time_ns()
        self.history = h.History(os.path.join(self.logs, "case.jsonl"), "case")
        self.slots = slots
        ports = iter(f.free_ports(4 + 5 * sides + 2 * entries))
        self.platform_ports = [next(ports), next(ports)]
        self.service_port = next(ports)
        self.engines = {f"engine-{i}": next(ports) for i in range(sides)}
        self.sides = {f"side-b{i}": (next(ports), next(ports))
                      for i in range(sides)}
        self.relays = {f"relay-b{i}": (next(ports), next(ports))
                       for i in range(sides)} if relay else {}
        self.entries = {f"entry-e{i}": next(ports) for i in range(entries)}
        self.commands = {}
        self.accepted = {}
        self.callers = c.Callers(self.history, self.entries, seed)

    def start(self, name, *args):
        self.commands[name] = args
        return super().start(name, *args)

    def start_all(self):
        """Starts everything and waits until each entry answers."""
        self.start_platform(*self.platform_ports)
        self.start("service", "standin", "service", "--port",
                   self.service_port, "--name", "service", "--history",
                   self.history_path("service"))
        for name in self.engines:
            self.start_engine(name)
        for i, (name, (port, http)) in enumerate(self.sides.items()):
            self.start(name, *self.side_args(i, port, http))
            self.list_side(i)
        for i, (name, port) in enumerate(self.entries.items()):
            self.start_entry(f"e{i}", f"d{i % 2}", port)
        offset = self.publish(self.configuration(), change_id="first")
        self.accept(offset, "first")
        self.warm_up()

    def warm_up(self):
        for port in self.entries.values():
            self.wait_ready(port)
        for name, port in self.entries.items():
            for _ in range(2 * len(self.sides)):
                f.wait_for(f"{name} answers", lambda port=port: f.call(
                    port, "POST", "/v1/completions", json.dumps(
                        {"model": c.MODEL, "prompt": "warm-up",
                         "max_tokens": 1}),
                    {"Peridotshelf-Team": "design"})[0] == 200)

    def start_entry(self, host, domain, port, *args):
        """Starts an entry that serves on while the balancer takes note."""
        return self.start(
            "entry-" + host, "entry", "--host", host, "--failure-domain",
            domain, "--http-port", port,
            "--drain-delay-ms", 1500, *self.platform_flags(), *args)

    def replace_entry(self, name):
        """Stops an entry while callers go on, and starts it again."""
        port = self.entries[name]
        self.callers.remove(name)
        self.stop_gracefully(name)
        self.restart(name)
        self.wait_ready(port)
        self.callers.add(name, port)

    def wait_answers(self, count):
        """Waits for so many further answers."""
        target = self.callers.count("answer") + count
        f.wait_for(f"{count} more answers come",
                   lambda: self.callers.count("answer") >= target,
                   timeout=2 * f.CONDITION_TIMEOUT_S)

    def history_path(self, name):
        return os.path.join(self.logs, name + ".jsonl")

    def start_engine(self, name):
        return self.start(
            name, "standin", "engine", "--port", self.engines[name], "--model",
            c.MODEL, "--name", name, "--history", self.history_path(name),
            "--chunk-interval-ms", 40, "--prefill-tokens-per-second", 400000,
            "--slots", self.slots)

    def side_args(self, i, port, http):
        return ("side", "--host", f"b{i}", "--failure-domain", f"d{i % 2}",
                "--port", port, "--http-port", http, *self.platform_flags())

    def list_side(self, i, state="live"):
        port = self.sides[f"side-b{i}"][0]
        relay = f"relay-b{i}"
        if relay in self.relays:
            listen, control = self.relays[relay]
            if relay not in self.processes:
                self.start(relay, "standin", "relay", "--port", listen,
                           "--target-port", port, "--control-port", control)
            port = listen
        self.list_host(f"b{i}", "side", port, f"d{i % 2}", state)

    def configuration(self):
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

    def accept(self, version, change_id):
        """Notes a change whose acceptance the operator was told of. The change
        stands for the preset that it brings."""
        self.accepted[version] = change_id
        self.history.record("change_accepted", version=version,
                            preset=change_id)

    def operate(self, *args):
        """Runs an operator's command; returns its exit code and last line."""
        done = subprocess.run(
            [self.program, *map(str, args), "--json", "--log-url",
             f"http://{f.ADDRESS}:{self.log_port}"],
            capture_output=True, text=True, timeout=f.CONDITION_TIMEOUT_S)
        lines = done.stdout.splitlines()
        return done.returncode, json.loads(lines[-1]) if lines else {}

    def change_preset(self, preset):
        """Puts a preset in force and waits until all processes follow."""
        change_id = f"{preset}-{len(self.accepted)}"
        code, line = self.operate("preset", preset, "--change-id", change_id)
        assert code == 0, (code, line)
        self.accept(line["version"], change_id)
        self.wait_versions(line["version"])

    def wait_versions(self, version):
        """Waits until each entry is at `version`."""
        for port in self.entries.values():
            f.wait_for(f"version {version} is in force", lambda port=port: (
                json.loads(f.call(port, "GET", "/readyz")[2])["version"]
                >= version))

    def log_control(self, **faults):
        status, _, body = f.call(self.log_port, "POST", "/control",
                                 json.dumps(faults))
        assert status == 200, body
        if "outage" in faults:
            self.history.record("log_availability",
                                available=faults["outage"] == "none")

    def relay_control(self, i, **order):
        status, _, body = f.call(self.relays[f"relay-b{i}"][1], "POST",
                                 "/control", json.dumps(order))
        assert status == 200, body

    # Faults.

    def backends_of(self, name):
        """What dies or is cut off with a process."""
        if name.startswith("side-b"):
            return ["engine-" + name[len("side-b"):]]
        return [name] if name.startswith("engine-") else []

    def kill(self, name):
        self.history.record("process_killed", process=name,
                            backends=self.backends_of(name))
        self.processes[name].kill()
        self.processes[name].wait()

    def freeze(self, name):
        self.history.record("process_frozen", process=name,
                            backends=self.backends_of(name))
        self.processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name):
        self.processes[name].send_signal(signal.SIGCONT)
        self.history.record("process_thawed", process=name)

    def restart(self, name):
        """Starts a process anew with the same arguments."""
        self.start(name, *self.commands[name])
        self.history.record("process_started", process=name)

    def stop_gracefully(self, name):
        """Asks a process to stop and waits until it has."""
        self.history.record("planned_stop", process=name,
                            backends=self.backends_of(name))
        self.processes[name].send_signal(signal.SIGTERM)
        f.wait_for(name + " has stopped",
                   lambda: self.processes[name].poll() is not None,
                   timeout=2 * f.CONDITION_TIMEOUT_S)
        assert self.processes[name].returncode == 0, name
        self.history.record("process_ended", process=name)

    # The end.

    def engines_empty(self):
        for name, port in self.engines.items():
            if self.processes[name].poll() is not None:
                continue
            report = json.loads(f.call(port, "GET", "/v1/engine/report")[2])
            if report["used_tokens"] or report["used_slots"]:
                return False
        return True

    def finish(self):
        """Ends the callers and judges the run."""
        self.callers.stop()
        f.wait_for("engines hold nothing", self.engines_empty)
        self.record_versions()
        self.history.record("log_availability", available=True)
        files = [self.history.path] + [
            self.history_path(name) for name in [*self.engines, "service"]]
        done = subprocess.run(
            [self.program, "check-history", "--slack-ms", str(SLACK_MS),
             *files], capture_output=True, text=True)
        print(done.stdout + done.stderr, end="")
        print("outcomes", self.callers.outcomes)
        assert done.returncode == 0, "the history breaks a rule"

    def record_versions(self):
        """Adds what each process logged of the versions in force."""
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
        change = event.get("change_id") or self.accepted.get(version, "")
        self.history.record(
            "control_in_force", by=name, version=version, preset=change,
            at=self.wall_to_monotonic + nanoseconds_of(event["time"]))


def nanoseconds_of(text):
    """Wall-clock nanoseconds of a log line's time."""
    import datetime
    at = datetime.datetime.fromisoformat(text.replace("Z", "+00:00"))
    return int(at.timestamp() * 1000) * 1_000_000

"""Starts a small fleet of separate processes on loopback for one case."""

import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import time

ADDRESS = "127.0.0.1"
# Longer than any target that a case checks; only a hang comes near it.
CONDITION_TIMEOUT_S = 30.0


def free_ports(count):
    """Ports that nothing listens on, outside the ephemeral range."""
    found = []
    candidate = 20000 + (os.getpid() * 37) % 9000
    while len(found) < count:
        candidate += 1
        with socket.socket() as probe:
            try:
                probe.bind((ADDRESS, candidate))
            except OSError:
                continue
        found.append(candidate)
    return found


def call(port, method, path, body=None, headers=None, timeout=CONDITION_TIMEOUT_S):
    """Makes one HTTP call; returns status, headers and body text."""
    connection = http.client.HTTPConnection(ADDRESS, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read().decode()
    finally:
        connection.close()


def wait_for(what, condition, timeout=CONDITION_TIMEOUT_S):
    """Waits until condition() is true."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException, ValueError):
            pass
        time.sleep(0.02)
    raise AssertionError("timed out waiting until " + what)


class Fleet:
    """The processes of one case; ends just those that it started."""

    def __init__(self, program):
        self.program = program
        self.processes = {}
        self.logs = tempfile.mkdtemp(prefix="peridotshelf-")

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if kind is not None:
            self.print_logs()

    def print_logs(self):
        for name in self.processes:
            with open(os.path.join(self.logs, name + ".log")) as log:
                print("--- " + name + "\n" + log.read()[-3000:])

    def start(self, name, *args):
        """Starts one process of the program under a name."""
        with open(os.path.join(self.logs, name + ".log"), "a") as log:
            self.processes[name] = subprocess.Popen(
                [self.program, *map(str, args)], stdout=log, stderr=log,
                # Any free port: several entries share this machine.
                env={**os.environ, "PERIDOTSHELF_GOSSIP_PORT": "0"})
        return self.processes[name]

    def start_platform(self, log_port, hosts_port):
        """Starts the log and the host list."""
        self.log_port = log_port
        self.hosts_port = hosts_port
        self.start("log", "standin", "log", "--port", log_port)
        self.start("hosts", "standin", "hosts", "--port", hosts_port)
        wait_for("the log answers", lambda: call(
            log_port, "GET", "/v1/log?from=1&wait_ms=0")[0] == 200)
        wait_for("the host list answers",
                 lambda: call(hosts_port, "GET", "/v1/hosts")[0] == 200)

    def platform_flags(self):
        return ["--log-url", f"http://{ADDRESS}:{self.log_port}",
                "--hosts-url", f"http://{ADDRESS}:{self.hosts_port}"]

    def start_side(self, host, domain, port, http_port, *args):
        """Starts a side and puts its host on the platform's list."""
        process = self.start(
            "side-" + host, "side", "--host", host, "--failure-domain", domain,
            "--port", port, "--http-port", http_port, *self.platform_flags(),
            *args)
        self.list_host(host, "side", port, domain)
        return process

    def start_entry(self, host, domain, port, *args):
        """Starts an entry."""
        return self.start(
            "entry-" + host, "entry", "--host", host, "--failure-domain",
            domain, "--http-port", port, "--drain-delay-ms", 100,
            *self.platform_flags(), *args)

    def list_host(self, host, role, port, domain, state="live"):
        status, _, body = call(
            self.hosts_port, "POST", "/v1/hosts", json.dumps({
                "host": host, "role": role, "state": state,
                "address": ADDRESS, "port": port, "failure_domain": domain}))
        assert status == 200, body

    def publish(self, configuration, base_version=0, change_id="first"):
        """Appends a configuration; returns its offset."""
        record = {"v": 1, "kind": "config", "change_id": change_id,
                  "base_version": base_version, "operator": "test",
                  "body": configuration}
        status, _, body = call(self.log_port, "POST", "/v1/log",
                               json.dumps(record))
        assert status == 200, body
        return json.loads(body)["offset"]

    def wait_ready(self, port):
        wait_for(f"port {port} is ready",
                 lambda: call(port, "GET", "/readyz")[0] == 200)


def read_events(body):
    """The data lines of a stream of server-sent events."""
    return [line[len("data: "):] for line in body.split("\n")
            if line.startswith("data: ")]


def text_of_events(body):
    """The answer's text, after checking that the stream ended whole."""
    events = read_events(body)
    assert events and events[-1] == "[DONE]", body
    return "".join(json.loads(event)["choices"][0]["text"]
                   for event in events[:-1])

"""Runs the processes of a test case on loopback."""

import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import time

ADDRESS = "127.0.0.1"
# Longer than any bound that a case checks, so that only a hang reaches it.
CONDITION_TIMEOUT_S = 30.0


def find_free_ports(count):
    """Returns unused ports outside the ephemeral range."""
    ports = []
    candidate = 20000 + (os.getpid() * 37) % 9000
    while len(ports) < count:
        candidate += 1
        with socket.socket() as probe:
            try:
                probe.bind((ADDRESS, candidate))
            except OSError:
                continue
        ports.append(candidate)
    return ports


def call(port, method, path, body=None, headers=None,
         timeout=CONDITION_TIMEOUT_S):
    """Sends an HTTP request; returns status, headers and body text."""
    connection = http.client.HTTPConnection(ADDRESS, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read().decode()
    finally:
        connection.close()


def wait_until(description, condition, timeout=CONDITION_TIMEOUT_S):
    """Waits until condition() is true; the error names `description`."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException, ValueError):
            pass
        time.sleep(0.02)
    raise AssertionError("timed out waiting until " + description)


class Fleet:
    """Starts the processes of a test case and ends only these."""

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
        """Starts a process of the program under a name."""
        with open(os.path.join(self.logs, name + ".log"), "a") as log:
            self.processes[name] = subprocess.Popen(
                [self.program, *map(str, args)], stdout=log, stderr=log,
                # Any free port, because several entries share a machine.
                env={**os.environ, "PERIDOTSHELF_GOSSIP_PORT": "0"})
        return self.processes[name]

    def start_platform(self, log_port, hosts_port):
        """Starts the simulated log and host list."""
        self.log_port = log_port
        self.hosts_port = hosts_port
        self.start("log", "standin", "log", "--port", log_port)
        self.start("hosts", "standin", "hosts", "--port", hosts_port)
        wait_until("the log answers", lambda: call(
            log_port, "GET", "/v1/log?from=1&wait_ms=0")[0] == 200)
        wait_until("the host list answers",
                   lambda: call(hosts_port, "GET", "/v1/hosts")[0] == 200)

    def platform_flags(self):
        return ["--log-url", f"http://{ADDRESS}:{self.log_port}",
                "--hosts-url", f"http://{ADDRESS}:{self.hosts_port}"]

    def start_side(self, host, domain, port, http_port, *args):
        """Starts a side and adds its host to the platform's host list."""
        process = self.start(
            "side-" + host, "side", "--host", host, "--failure-domain", domain,
            "--port", port, "--http-port", http_port, *self.platform_flags(),
            *args)
        self.register_host(host, "side", port, domain)
        return process

    def start_entry(self, host, domain, port, *args):
        return self.start(
            "entry-" + host, "entry", "--host", host, "--failure-domain",
            domain, "--http-port", port, "--drain-delay-ms", 100,
            *self.platform_flags(), *args)

    def register_host(self, host, role, port, domain, state="live"):
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

    def wait_until_ready(self, port):
        wait_until(f"port {port} is ready",
                   lambda: call(port, "GET", "/readyz")[0] == 200)


def extract_event_data(body):
    """Returns the data fields of a stream of server-sent events."""
    return [line[len("data: "):] for line in body.split("\n")
            if line.startswith("data: ")]


def extract_answer_text(body):
    """Returns the text of a streamed answer; fails if it is incomplete."""
    events = extract_event_data(body)
    assert events and events[-1] == "[DONE]", body
    return "".join(json.loads(event)["choices"][0]["text"]
                   for event in events[:-1])

"""Invalid input from callers and on the internal port is answered with a typed
error or a closed connection, and the processes keep running."""

import json
import os
import socket
import struct
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import fleet as f  # noqa: E402

MODEL = "calc"
MAX_BODY_BYTES = 64 * 1024
READ_TIMEOUT_MS = 500
SOCKET_TIMEOUT_S = 10


def make_configuration(engine_port):
    return {
        "engines": [{"id": "engine-0", "host": "b0", "model": MODEL,
                     "url": f"http://{f.ADDRESS}:{engine_port}",
                     "memory_tokens": 100000, "slots": 8}],
        "services": [{"name": "calculation", "model": MODEL,
                      "engines": ["engine-0"], "teams": [{"id": "design"}]}],
        "presets": [{"name": "ordinary"}], "initial_preset": "ordinary"}


def make_completion(**fields):
    return json.dumps(
        {"model": MODEL, "prompt": "x", "max_tokens": 2, **fields})


def exchange(port, data, close_write=False):
    """Sends bytes and returns the answer until the peer closes."""
    with socket.create_connection((f.ADDRESS, port), SOCKET_TIMEOUT_S) as peer:
        try:
            peer.sendall(data)
            if close_write:
                peer.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # The peer has already closed the connection.
        received = b""
        try:
            while chunk := peer.recv(65536):
                received += chunk
        except ConnectionResetError:
            pass
        return received


class Case:
    def __init__(self, fleet):
        self.fleet = fleet
        log, hosts, engine, self.side_port, self.side_http_port, \
            self.entry_port = (f.find_free_ports(6))
        fleet.start_platform(log, hosts)
        fleet.start("engine", "standin", "engine", "--port", engine, "--model",
                    MODEL)
        fleet.start_side("b0", "north", self.side_port, self.side_http_port)
        fleet.start_entry("e0", "north", self.entry_port, "--max-body-bytes",
                          MAX_BODY_BYTES, "--read-timeout-ms", READ_TIMEOUT_MS)
        f.wait_until("the entry listens",
                     lambda: f.call(self.entry_port, "GET",
                                    "/healthz")[0] == 200)
        status, _, body = f.call(self.entry_port, "GET", "/readyz")
        reason = json.loads(body)
        assert status == 503 and reason["reason"], body
        fleet.publish(make_configuration(engine))
        fleet.wait_until_ready(self.entry_port)
        fleet.wait_until_ready(self.side_http_port)
        f.wait_until("a prompt is answered",
                     lambda: self.post(make_completion())[0] == 200)

    def post(self, body, headers=None, path="/v1/completions"):
        status, answer_headers, text = f.call(
            self.entry_port, "POST", path, body,
            {"Peridotshelf-Team": "design", **(headers or {})})
        assert answer_headers["Peridotshelf-Request-Id"], text
        return status, text

    def assert_error(self, status, code, body, **options):
        actual_status, text = self.post(body, **options)
        error = json.loads(text)["error"]
        assert (actual_status, error["code"]) == (status, code), text
        assert error["not_run"] is True, text
        return error

    def assert_alive(self):
        assert self.post(make_completion())[0] == 200
        for process in self.fleet.processes.values():
            assert process.poll() is None

    def has_logged(self, text):
        """Returns whether the entry has logged this text in an event 205."""
        with open(os.path.join(self.fleet.logs, "entry-e0.log")) as log:
            return any(text in line and '"event":205' in line for line in log)

    def check_fields(self):
        for body, field in (
                ("{", "body"), ("", "body"), ("[]", "body"),
                (b'{"model":"calc","prompt":"\xff\xfe"}', "body"),
                (make_completion(max_tokens=-1), "max_tokens"),
                (make_completion(max_tokens=10**30), "max_tokens"),
                (make_completion(prompt=[-1]), "prompt"),
                (make_completion(prompt=[10**30]), "prompt"),
                (make_completion(prompt=None), "prompt"),
                (make_completion(stream="yes"), "stream"),
                (make_completion(model=7), "model")):
            error = self.assert_error(400, "bad_field", body)
            assert error["message"].startswith(field + ":"), error
        error = self.assert_error(400, "bad_field", make_completion(), headers={
            "Peridotshelf-Timeout-Ms": "-5"})
        assert error["message"].startswith("Peridotshelf-Timeout-Ms:"), error

    def check_unknown_names(self):
        self.assert_error(404, "unknown_model", make_completion(model="none"))
        self.assert_error(400, "bad_field", make_completion(),
                          headers={"Peridotshelf-Unrepeatable": "k\xe9"})
        self.assert_error(404, "unknown_service", "", path="/services/none/x")
        for team in ("none", "d\xe9", "\xff\xfe"):
            self.assert_error(400, "unknown_team", make_completion(),
                              headers={"Peridotshelf-Team": team})

    def check_oversized_input(self):
        big = make_completion(prompt="x" * 2 * MAX_BODY_BYTES)
        head = ("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                f"Content-Length: {len(big)}\r\n\r\n")
        answer = exchange(self.entry_port, (head + big).encode())
        assert answer.startswith(b"HTTP/1.1 413 "), answer
        assert b'"code":"too_large"' in answer, answer
        assert b"Peridotshelf-Request-Id: " in answer, answer
        head = ("GET /healthz HTTP/1.1\r\nHost: x\r\nX-Big: "
                + "x" * 300000 + "\r\n\r\n")
        answer = exchange(self.entry_port, head.encode())
        assert answer == b"", answer
        assert self.has_logged("HPE_HEADER_OVERFLOW")
        answer = exchange(self.entry_port, b"\x00\x01garbage\r\n\r\n")
        assert answer == b"", answer
        assert self.has_logged("HPE_INVALID_METHOD")
        huge = (f"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                f"Content-Length: {100 * MAX_BODY_BYTES}\r\n\r\n")
        exchange(self.entry_port, (huge + "x" * 10 * MAX_BODY_BYTES).encode())

    def check_slow_sender(self):
        answer = exchange(self.entry_port, b"POST /v1/completions HTTP/1.1\r\n"
                          b"Host: x\r\nContent-Length: 100\r\n\r\n{")
        assert answer == b"", answer

    def check_internal_port(self):
        wrong_version = bytes.fromhex("1c15c6010000")
        for body in (b"garbage" * 10, wrong_version, b"\x00", b"\xff" * 64):
            assert len(exchange(self.side_port,
                                struct.pack(">I", len(body)) + body)) < 4096
        exchange(self.side_port, b"\xff\xff\xff\xff" + b"x" * 1000)
        exchange(self.side_port, b"\x00\x00", close_write=True)

    def check_commands(self):
        """Checks that `status` and `explain` report the processes' state."""
        urls = ",".join(f"http://{f.ADDRESS}:{port}"
                        for port in (self.entry_port, self.side_http_port))
        completed = self.run_command("status", "--url", urls)
        assert completed.returncode == 0, completed
        rows = completed.stdout.splitlines()
        assert rows[1].split()[:2] == ["e0", "entry"], rows
        assert rows[2].split()[:2] == ["b0", "side"], rows
        assert rows[3].strip().startswith("engine-0:"), rows
        _, headers, _ = f.call(self.entry_port, "POST", "/v1/completions",
                               make_completion())
        request = headers["Peridotshelf-Request-Id"]
        url = f"http://{f.ADDRESS}:{self.entry_port}"
        completed = self.run_command("explain", request, "--url", url)
        assert completed.returncode == 0 and \
            "granted" in completed.stdout, completed
        assert self.run_command("explain", "unknown",
                                "--url", url).returncode == 1

    def run_command(self, *args):
        return subprocess.run([self.fleet.program, *args], text=True,
                              capture_output=True, timeout=SOCKET_TIMEOUT_S)

    def check_http_pages(self):
        for port in (self.entry_port, self.side_http_port):
            assert f.call(port, "GET", "/healthz")[0] == 200
            _, headers, text = f.call(port, "GET", "/metrics")
            assert headers["Content-Type"].startswith("text/plain"), headers
            assert "peridotshelf_control_version 1\n" in text, text
            status = json.loads(f.call(port, "GET", "/status")[2])
            assert status["preset"] == "ordinary", status
        _, _, text = f.call(self.entry_port, "GET", "/metrics")
        assert 'peridotshelf_refusals_total{code="bad_field"} 13\n' in text, \
            text
        # An answer may arrive before its request is released.
        deadline = time.monotonic() + f.CONDITION_TIMEOUT_S
        while "peridotshelf_open_requests 0\n" not in text:
            assert time.monotonic() < deadline, text
            _, _, text = f.call(self.entry_port, "GET", "/metrics")
        assert 'seconds_count{size_class="short"}' in text, text


def main(program):
    with f.Fleet(program) as fleet:
        case = Case(fleet)
        for step in (case.check_fields, case.check_unknown_names,
                     case.check_http_pages, case.check_commands,
                     case.check_oversized_input,
                     case.check_slow_sender, case.check_internal_port):
            step()
            case.assert_alive()
    print("bad input: passed")


if __name__ == "__main__":
    main(sys.argv[1])

"""Callers that record their requests and the outcomes."""

import http.client
import itertools
import json
import random
import socket
import threading
import time

import fleet as f
import history as h

MODEL = "calc"
# An outcome may arrive this long after the caller timeout.
OUTCOME_SLACK_S = 3.0
SHORT_CHUNKS = 12
LONG_CHUNKS = 20
LONG_PROMPT_BYTES = 440_000


class Callers:
    """Sends requests to a set of entries from several threads."""

    def __init__(self, history, entries, seed=1):
        """`entries` maps process names to ports."""
        self.history = history
        self.entries = dict(entries)
        self.random = random.Random(seed)
        self.call_numbers = itertools.count()
        self.lock = threading.Lock()
        self.threads = []
        self.stopping = threading.Event()
        self.outcomes = {}
        self.errors = []

    def start(self, threads, **options):
        """Sends requests in a loop on `threads` threads until `stop`."""
        for _ in range(threads):
            thread = threading.Thread(target=self._loop, kwargs=options,
                                      daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self):
        """Stops the loops and waits for requests in progress."""
        self.stopping.set()
        for thread in self.threads:
            thread.join(f.CONDITION_TIMEOUT_S * 2)
            assert not thread.is_alive(), "a caller thread did not end"
        assert not self.errors, self.errors

    def count(self, outcome):
        with self.lock:
            return self.outcomes.get(outcome, 0)

    def remove_entry(self, entry):
        """Takes an entry out of rotation, as a load balancer does."""
        with self.lock:
            self.entries.pop(entry, None)

    def add_entry(self, entry, port):
        with self.lock:
            self.entries[entry] = port

    def _loop(self, **options):
        while not self.stopping.is_set():
            try:
                self.send_completion(**options)
            except Exception as error:  # pylint: disable=broad-except
                self.errors.append(repr(error))
                return

    def _connect_to_entry(self):
        """Returns an entry that accepts connections and a new connection."""
        deadline = time.monotonic() + f.CONDITION_TIMEOUT_S
        while time.monotonic() < deadline:
            with self.lock:
                entry, port = self.random.choice(sorted(self.entries.items()))
            try:
                return entry, socket.create_connection((f.ADDRESS, port), 2)
            except OSError:
                time.sleep(0.02)
        raise AssertionError("no entry accepts connections")

    def send_completion(self, timeout_s=20.0, long_percent=0,
                        unrepeatable_percent=0, disconnect_percent=0,
                        chunks=None):
        """Sends a streamed completion request; returns its outcome."""
        with self.lock:
            number = next(self.call_numbers)
            is_long = self.random.randrange(100) < long_percent
            is_unrepeatable = self.random.randrange(100) < unrepeatable_percent
            should_disconnect = self.random.randrange(100) < disconnect_percent
        call = f"{self.history.recorder}-{number}"
        prompt = call + " asks"
        if is_long:
            prompt += " at length" * (LONG_PROMPT_BYTES // 10)
        chunks = chunks or (LONG_CHUNKS if is_long else SHORT_CHUNKS)
        body = json.dumps({"model": MODEL, "prompt": prompt,
                           "max_tokens": chunks, "stream": True})
        expected_text = h.expected_answer(prompt, chunks)
        entry, sock = self._connect_to_entry()
        self.history.record(
            "invocation", call=call, entry=entry,
            size="long" if is_long else "short", budget=int(timeout_s * 1e9),
            unrepeatable=is_unrepeatable, idempotency_key="",
            expected_text=expected_text)
        headers = {"Peridotshelf-Team": "design",
                   "Peridotshelf-Timeout-Ms": str(int(timeout_s * 1000)),
                   "Content-Type": "application/json"}
        if is_unrepeatable:
            headers["Peridotshelf-Unrepeatable"] = "true"
        stream = Stream(
            self.history, call, sock, timeout_s + OUTCOME_SLACK_S,
            disconnect_after_chunks=2 if should_disconnect else None)
        outcome = stream.run("/v1/completions", body, headers)
        with self.lock:
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        return outcome


class Stream:
    """A streamed answer, read and recorded event by event."""

    def __init__(self, history, call, sock, timeout_s,
                 disconnect_after_chunks=None):
        self.history = history
        self.call = call
        self.deadline = time.monotonic() + timeout_s
        self.disconnect_after_chunks = disconnect_after_chunks
        self.connection = http.client.HTTPConnection(f.ADDRESS)
        self.connection.sock = sock
        self.sock = sock
        self.offset = 0

    def run(self, path, body, headers):
        try:
            return self._run(path, body, headers)
        except socket.timeout:
            # `check-history` decides whether the missing outcome is a fault.
            return "none"
        except (OSError, http.client.HTTPException):
            return self._record_outcome("caller_connection_lost")
        finally:
            self.connection.close()

    def _record_outcome(self, kind, **fields):
        self.history.record(kind, call=self.call, **fields)
        return kind

    def _set_socket_timeout(self):
        self.sock.settimeout(max(0.01, self.deadline - time.monotonic()))

    def _run(self, path, body, headers):
        self._set_socket_timeout()
        self.connection.request("POST", path, body, headers)
        response = self.connection.getresponse()
        request = response.headers.get("Peridotshelf-Request-Id")
        if request:
            self.history.record("admission", call=self.call, request=request)
        if response.status != 200:
            return self._record_refusal(json.loads(response.read()))
        return self._read_events(response)

    def _record_refusal(self, body):
        error = body["error"]
        return self._record_outcome("refusal", code=error["code"],
                                    not_run=error["not_run"])

    def _read_events(self, response):
        is_error_event = False
        while True:
            self._set_socket_timeout()
            line = response.readline().decode().strip()
            if not line and response.isclosed():
                return self._record_outcome("caller_connection_lost")
            if line == "event: error":
                is_error_event = True
            if not line.startswith("data: "):
                continue
            data = line[len("data: "):]
            if is_error_event:
                return self._record_refusal(json.loads(data))
            if data == "[DONE]":
                return self._record_outcome("answer")
            text = json.loads(data)["choices"][0]["text"]
            if not text:
                continue
            self.history.record("chunk_received", call=self.call,
                                offset=self.offset, text=text)
            self.offset += 1
            if self.disconnect_after_chunks == self.offset:
                return self._record_outcome("hang_up")

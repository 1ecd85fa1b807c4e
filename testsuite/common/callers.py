"""Callers that record what they ask for and what they are told."""

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
# An outcome may come this much later than the caller's time.
PATIENCE_S = 3.0
SHORT_CHUNKS = 12
LONG_CHUNKS = 20
LONG_PROMPT_BYTES = 440_000


class Callers:
    """Sends calls through a set of entries from several threads."""

    def __init__(self, history, entries, seed=1):
        """`entries` maps a process's name to its port."""
        self.history = history
        self.entries = dict(entries)
        self.random = random.Random(seed)
        self.numbers = itertools.count()
        self.lock = threading.Lock()
        self.threads = []
        self.stopping = threading.Event()
        self.outcomes = {}
        self.failures = []

    def start(self, threads, **options):
        """Calls in a loop on `threads` threads until `stop`."""
        for _ in range(threads):
            thread = threading.Thread(target=self._loop, kwargs=options,
                                      daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self):
        """Waits for the calls under way."""
        self.stopping.set()
        for thread in self.threads:
            thread.join(f.CONDITION_TIMEOUT_S * 2)
            assert not thread.is_alive(), "a caller hangs"
        assert not self.failures, self.failures

    def count(self, outcome):
        with self.lock:
            return self.outcomes.get(outcome, 0)

    def remove(self, entry):
        """The balancer no longer sends callers there."""
        with self.lock:
            self.entries.pop(entry, None)

    def add(self, entry, port):
        with self.lock:
            self.entries[entry] = port

    def _loop(self, **options):
        while not self.stopping.is_set():
            try:
                self.complete(**options)
            except Exception as error:  # pylint: disable=broad-except
                self.failures.append(repr(error))
                return

    def _choose(self):
        """An entry that accepts connections, and an open connection to it."""
        deadline = time.monotonic() + f.CONDITION_TIMEOUT_S
        while time.monotonic() < deadline:
            with self.lock:
                entry, port = self.random.choice(sorted(self.entries.items()))
            try:
                return entry, socket.create_connection((f.ADDRESS, port), 2)
            except OSError:
                time.sleep(0.02)
        raise AssertionError("no entry accepts connections")

    def complete(self, budget_s=20.0, long_percent=0, unrepeatable_percent=0,
                 hang_up_percent=0, chunks=None):
        """One completion, streamed; returns its outcome."""
        with self.lock:
            number = next(self.numbers)
            is_long = self.random.randrange(100) < long_percent
            unrepeatable = self.random.randrange(100) < unrepeatable_percent
            hang_up = self.random.randrange(100) < hang_up_percent
        call = f"{self.history.by}-{number}"
        prompt = call + " asks"
        if is_long:
            prompt += " at length" * (LONG_PROMPT_BYTES // 10)
        chunks = chunks or (LONG_CHUNKS if is_long else SHORT_CHUNKS)
        body = json.dumps({"model": MODEL, "prompt": prompt,
                           "max_tokens": chunks, "stream": True})
        expected = h.answer_text(prompt, chunks)
        entry, sock = self._choose()
        self.history.record(
            "invocation", call=call, entry=entry,
            size="long" if is_long else "short", budget=int(budget_s * 1e9),
            unrepeatable=unrepeatable, idempotency_key="",
            expected_text=expected)
        headers = {"Peridotshelf-Team": "design",
                   "Peridotshelf-Timeout-Ms": str(int(budget_s * 1000)),
                   "Content-Type": "application/json"}
        if unrepeatable:
            headers["Peridotshelf-Unrepeatable"] = "true"
        stream = Stream(self.history, call, sock, budget_s + PATIENCE_S,
                        hang_up_after=2 if hang_up else None)
        outcome = stream.run("/v1/completions", body, headers)
        with self.lock:
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        return outcome


class Stream:
    """One streamed answer as its caller reads it."""

    def __init__(self, history, call, sock, patience_s, hang_up_after=None):
        self.history = history
        self.call = call
        self.deadline = time.monotonic() + patience_s
        self.hang_up_after = hang_up_after
        self.connection = http.client.HTTPConnection(f.ADDRESS)
        self.connection.sock = sock
        self.sock = sock
        self.offset = 0

    def run(self, path, body, headers):
        try:
            return self._run(path, body, headers)
        except socket.timeout:
            # No outcome in time: the checker says whether that is a fault.
            return "none"
        except (OSError, http.client.HTTPException):
            return self._end("caller_connection_lost")
        finally:
            self.connection.close()

    def _end(self, kind, **fields):
        self.history.record(kind, call=self.call, **fields)
        return kind

    def _patience(self):
        self.sock.settimeout(max(0.01, self.deadline - time.monotonic()))

    def _run(self, path, body, headers):
        self._patience()
        self.connection.request("POST", path, body, headers)
        response = self.connection.getresponse()
        request = response.headers.get("Peridotshelf-Request-Id")
        if request:
            self.history.record("admission", call=self.call, request=request)
        if response.status != 200:
            return self._refused(json.loads(response.read()))
        return self._read_events(response)

    def _refused(self, body):
        error = body["error"]
        return self._end("refusal", code=error["code"],
                         not_run=error["not_run"])

    def _read_events(self, response):
        failed = False
        while True:
            self._patience()
            line = response.readline().decode().strip()
            if not line and response.isclosed():
                return self._end("caller_connection_lost")
            if line == "event: error":
                failed = True
            if not line.startswith("data: "):
                continue
            data = line[len("data: "):]
            if failed:
                return self._refused(json.loads(data))
            if data == "[DONE]":
                return self._end("answer")
            text = json.loads(data)["choices"][0]["text"]
            if not text:
                continue
            self.history.record("chunk_received", call=self.call,
                                offset=self.offset, text=text)
            self.offset += 1
            if self.hang_up_after == self.offset:
                return self._end("hang_up")

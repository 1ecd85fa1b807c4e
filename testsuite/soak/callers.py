"""Callers that send requests continuously and record the answers."""

import asyncio
import dataclasses
import hashlib
import time
import uuid

import engine
import fleet as fleets
import http_messages
import platform_messages

CALLER_COUNT = 16
MEAN_PAUSE_S = 0.25
REUSE_PROBABILITY = 0.7
ANSWER_SLACK_S = 1.0
PROMPT_TOKENS = (2_000, 2_000, 2_000, 40_000, 150_000, 320_000)
OUTPUT_TOKENS = 400
PATHS = ("/chat/", "/chat/", "/page/", "/post/")
STREAM_PATHS = ("/chat/", "/talk/")


@dataclasses.dataclass
class RequestRecord:
    """A request and its answer as the caller received it."""
    request: str
    path: str
    gateway_number: int
    sent_at: float
    body_hash: str
    target: str
    ended_at: float = 0
    status: int = 0  # HTTP status; 0 without an answer
    is_complete: bool = False
    engine: str = ""
    answer_error: str = ""  # why the answer is wrong; empty if it is right
    is_cut_off: bool = False  # the connection ended before the full answer

    @property
    def is_stream(self):
        return self.path in STREAM_PATHS


class Connection:
    def __init__(self, gateway, reader, writer):
        self.gateway, self.reader, self.writer = gateway, reader, writer


class Callers:
    def __init__(self, fleet, random, prompt_tokens=PROMPT_TOKENS,
                 output_tokens=OUTPUT_TOKENS, paths=PATHS,
                 caller_count=CALLER_COUNT):
        """`prompt_tokens` are the lengths of the prompts, `paths` those of the
        requests, each as likely."""
        self.fleet, self.random = fleet, random
        self.prompt_tokens, self.output_tokens = prompt_tokens, output_tokens
        self.paths, self.caller_count = paths, caller_count
        self.records = []

    async def run(self, stop_event):
        """Sends requests until `stop_event` is set."""
        await asyncio.gather(*(self.run_caller(stop_event)
                               for _ in range(self.caller_count)))

    async def run_caller(self, stop_event):
        connection = None
        while not stop_event.is_set():
            if connection is None or self.random.random() > REUSE_PROBABILITY:
                if connection is not None:
                    connection.writer.close()
                connection = await self.connect()
            if connection is None:
                await asyncio.sleep(MEAN_PAUSE_S)
                continue
            if not await self.send(connection):
                connection.writer.close()
                connection = None
            await asyncio.sleep(MEAN_PAUSE_S * 2 * self.random.random())
        if connection is not None:
            connection.writer.close()

    async def connect(self):
        ready_gateways = [gateway for gateway in self.fleet.gateways
                          if gateway.is_ready]
        if not ready_gateways:
            return None
        gateway = self.random.choice(ready_gateways)
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(gateway.ip, fleets.PORTS.callers), 1.0)
        except (OSError, asyncio.TimeoutError):
            return None
        return Connection(gateway, reader, writer)

    async def send(self, connection):
        """Sends a request; returns whether the connection can be reused."""
        path = self.random.choice(self.paths)
        body = self.random.randbytes(200)
        request_id = uuid.UUID(int=self.random.getrandbits(128)).hex[:16]
        target = f"{path}{self.random.randrange(100)}?x=1"
        record = RequestRecord(
            request_id, path, connection.gateway.number, time.time(),
            hashlib.sha256(body).hexdigest(), target)
        prompt = None
        if record.is_stream:
            prompt = (self.random.choice(self.prompt_tokens),
                      self.output_tokens)
        head = platform_messages.request_head(
            target, fleets.HTTP_HOST, request_id, fleets.REQUEST_TIMEOUT_S,
            fleets.API_KEY, len(body), prompt)
        self.records.append(record)
        can_reuse = False
        try:
            connection.writer.write(head + body)
            can_reuse = await asyncio.wait_for(
                self.read_answer(connection.reader, record, body),
                fleets.REQUEST_TIMEOUT_S + ANSWER_SLACK_S)
        except asyncio.TimeoutError:
            pass  # `status` and `is_complete` show that the answer is missing.
        except (OSError, ConnectionError, asyncio.IncompleteReadError,
                ValueError):
            record.is_cut_off = True
        record.ended_at = time.time()
        return can_reuse

    async def read_answer(self, reader, record, body):
        head = await http_messages.read_head(reader)
        if head is None:
            raise ConnectionError("closed before the answer")
        record.status = head.status
        record.engine = platform_messages.find_signing_engine(head.headers)
        if record.is_stream and \
                head.headers.get("transfer-encoding") == "chunked":
            await self.read_event_stream(reader, record)
        else:
            answer = await http_messages.read_body(reader, head)
            if head.status == 200 and answer != engine.make_plain_body(
                    record.request, body):
                record.answer_error = "wrong body"
        if head.status == 200 and not record.engine:
            record.answer_error = "unsigned success"
        record.is_complete = True
        return head.headers.get("connection", "").lower() != "close"

    async def read_event_stream(self, reader, record):
        buffer, events_read = b"", 0
        while chunk := await http_messages.read_chunk(reader):
            buffer += chunk
            while b"\n\n" in buffer:
                event, buffer = buffer.split(b"\n\n", 1)
                events_read += 1
                if event + b"\n\n" != engine.make_event_bytes(record.request,
                                                        events_read):
                    record.answer_error = f"event {events_read} is {event!r}"
        if buffer or events_read != engine.count_events(self.output_tokens):
            record.answer_error = record.answer_error or \
                f"complete after {events_read} events"

"""Sound calls beside drawn input."""

import asyncio
import time

import fleet as fleets
import http_messages
import platform_messages
import recorder

CALLERS = 4
PAUSE_S = 0.02
TIMEOUT_S = 4.0
CALM_S = 2.0


class SoundCalls:
    """Calls on kept connections, each of which must be served."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.durations_s = []
        self.lost = []
        self.is_over = False
        self.callers = []
        self.calm = ""

    async def run(self, caller):
        number = 0
        writer = None
        while not self.is_over:
            request_id = f"sound-{caller}-{number}"
            number += 1
            began = time.monotonic()
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(
                        self.gateway.ip, fleets.PORTS.callers)
                body = await asyncio.wait_for(
                    self.call(reader, writer, request_id), TIMEOUT_S)
                if body != recorder.answer_body(request_id.encode(), b""):
                    self.lost.append((request_id, body[:80]))
            except (OSError, asyncio.TimeoutError, ConnectionError,
                    asyncio.IncompleteReadError, ValueError) as error:
                self.lost.append((request_id, repr(error)))
                writer = None
                await asyncio.sleep(0.1)
            self.durations_s.append(time.monotonic() - began)
            await asyncio.sleep(PAUSE_S)

    async def call(self, reader, writer, request_id):
        writer.write(platform_messages.request_head(
            "/page/1", fleets.HTTP_HOST, request_id, fleets.REQUEST_TIMEOUT_S,
            fleets.API_KEY, 0))
        answer = await http_messages.read_head(reader)
        if answer is None:
            raise ConnectionError("no answer")
        body = await http_messages.read_body(reader, answer)
        if answer.status != 200:
            raise ConnectionError(f"status {answer.status}")
        return body

    async def begin(self):
        """Returns once enough calls show how long they take without other input."""
        self.callers = [asyncio.ensure_future(self.run(number))
                        for number in range(CALLERS)]
        await asyncio.sleep(CALM_S)
        self.calm = self.describe_times()
        self.durations_s.clear()

    async def end(self):
        self.is_over = True
        await asyncio.gather(*self.callers)

    def describe_times(self):
        return (f"p50 {self.quantile_ms(0.5):.1f} and "
                f"p99 {self.quantile_ms(0.99):.1f} ms")

    def describe(self):
        return (f"{len(self.lost)} of {len(self.durations_s)} sound calls not served, "
                f"allowed 0; {self.describe_times()}; without drawn input "
                f"{self.calm}")

    def quantile_ms(self, share):
        ordered = sorted(self.durations_s)
        return 1000 * ordered[int(share * (len(ordered) - 1))]

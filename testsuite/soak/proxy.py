"""A loopback TCP link that delays, resets, stalls or blocks traffic."""

import asyncio

READ_BYTES = 65536


class Link:
    """Relays connections from (ip, port) to the address `target`."""

    def __init__(self, ip, port, target):
        self.ip = ip
        self.port = port
        self.target = target
        self.delay_s = 0.0
        # "there" is towards the target, "back" is from it.
        self.blocked_directions = set()
        self.open_writers = set()
        self.stalled_writers = set()
        self.server = None

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.relay, self.ip,
                                                 self.port)

    async def stop(self):
        self.server.close()
        self.reset()

    def reset(self):
        """Aborts all open connections."""
        for writer in list(self.open_writers):
            writer.transport.abort()

    def stall(self):
        """Stops all traffic on open connections; new connections work."""
        self.stalled_writers |= self.open_writers

    async def relay(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target)
        except OSError:
            writer.transport.abort()
            return
        self.open_writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self.pump(reader, target_writer, "there"),
                self.pump(target_reader, writer, "back"))
        except (OSError, asyncio.CancelledError):
            pass  # An end has closed or the run is over: abort both ends.
        finally:
            for relay_writer in (writer, target_writer):
                self.open_writers.discard(relay_writer)
                self.stalled_writers.discard(relay_writer)
                relay_writer.transport.abort()

    async def pump(self, reader, writer, direction):
        while data := await reader.read(READ_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while writer in self.stalled_writers or \
                    direction in self.blocked_directions:
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

"""A TCP forwarder that accepts connections while its target is gone."""

import asyncio

READ_BYTES = 65536


class Forwarder:
    """Forwards connections from `address` to `target`. Every end of a connection,
    a reset or a refused one too, reaches the other side as a FIN."""

    def __init__(self, address, target):
        self.address, self.target = address, target
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.forward, *self.address)

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def forward(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.connect(reader, writer)
        except OSError:
            pass  # The caller is gone.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def connect(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target)
        except OSError:
            writer.write_eof()
            # Unread bytes would turn the end into a reset.
            while await reader.read(READ_BYTES):
                pass
            return
        try:
            await asyncio.gather(self.pump(reader, target_writer),
                                 self.pump(target_reader, writer))
        finally:
            target_writer.close()

    @staticmethod
    async def pump(reader, writer):
        try:
            while data := await reader.read(READ_BYTES):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass  # A reset reaches the other side as the end of the data.
        if writer.can_write_eof() and not writer.is_closing():
            writer.write_eof()

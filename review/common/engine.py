"""An engine that answers each request with a stream of events, or, for paths that begin
with /call/, with a short body after a time of work.

python3 engine.py PORT ID HISTORY [--events N] [--interval MS] [--framing chunked|none]
                                  [--work MS]

What it runs is appended to HISTORY as JSON lines. The framing `none` sends neither a
length nor chunks and ends an answer with its connection. SIGTERM makes it exit at once,
as an engine does at the end of its draining; the kernel then closes its connections.
"""

import argparse
import asyncio
import json
import os
import signal
import time

IP = "127.0.0.1"


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Engine:
    def __init__(self, options):
        self.options = options
        self.history = open(options.history, "a", encoding="utf-8", buffering=1)

    def log(self, step, **fields):
        self.history.write(json.dumps(
            {"at": time.time(), "engine": self.options.id, "step": step,
             **fields}) + "\n")

    async def on_connection(self, reader, writer):
        try:
            line, headers, body = await read_request(reader)
            await self.answer(line, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass  # The caller has left.
        finally:
            writer.close()

    @staticmethod
    def write_whole(writer, head, body):
        lines = ["HTTP/1.1 200 OK", *head, f"Content-Length: {len(body)}",
                 "Connection: close"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)

    async def answer(self, line, headers, body, writer):
        request = headers.get("x-request-id", "")
        head = [f"X-Request-Id: {request}"]
        if headers.get("x-expect-instance", self.options.id) != self.options.id:
            writer.write(("HTTP/1.1 421 -\r\n" + "\r\n".join(head) +
                          "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                         .encode("latin-1"))
            return
        if " /peridotshelf/order " in line:
            # Memory for every reservation; orders are not what a case checks.
            self.write_whole(writer, [], b'{"free":1000000}')
            return
        self.log("run", request=request, line=line,
                 resume_after=headers.get("last-event-id"),
                 body_bytes=len(body))
        head.append(f"X-Server-Stamp: {self.options.id}.{request}")
        if " /call/" in line:
            await asyncio.sleep(self.options.work / 1000)
            self.write_whole(writer, head, f"{request} done\n".encode())
            await writer.drain()
            self.log("end", request=request)
            return
        head += ["Content-Type: text/event-stream", "Connection: close"]
        is_chunked = self.options.framing == "chunked"
        if is_chunked:
            head.append("Transfer-Encoding: chunked")
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(head) +
                      "\r\n\r\n").encode("latin-1"))
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, self.options.events + 1):
            event = f"id: {number}\ndata: {request} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if is_chunked
                         else event)
            await writer.drain()
            self.log("event", request=request, number=number)
            await asyncio.sleep(self.options.interval / 1000)
        if is_chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.log("end", request=request)


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("port", type=int)
    parser.add_argument("id")
    parser.add_argument("history")
    parser.add_argument("--events", type=int, default=40)
    parser.add_argument("--interval", type=float, default=150)
    parser.add_argument("--work", type=float, default=30)
    parser.add_argument("--framing", default="chunked")
    engine = Engine(parser.parse_args())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM,
                                                  lambda: os._exit(0))
    server = await asyncio.start_server(engine.on_connection, IP,
                                        engine.options.port)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())

"""Guards against requests that reach an engine with another method, target or body than
their client sent, and against invalid ones that reach an engine at all.

python3 testsuite/exact_requests/run.py PROGRAM
"""

import asyncio
import hashlib
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import gateway_fleet  # noqa: E402
import fleet as fleets  # noqa: E402

SEED = 67
METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "PROPFIND")
BODIES = (None, b"", b'{"page": 4}', b"x" * 200000)
TARGET = "/page/%00;a=b,c/../d?e=~!$&'()*+:@"
PIECE_BYTES = 70000
ANSWER_TIMEOUT_S = 10
INVALID_LINES = (b"X-Tenant : forged", b"X-Tenant\t: forged", b"X(: 1", b" folded",
                 b"A: b\nX-Tenant: forged", b"A: b\rc", b"A: b\0c", b"Host: other",
                 b"Content-Length: 0\r\nContent-Length: 0",
                 b"Content-Length: 5\r\nTransfer-Encoding: chunked",
                 b"Transfer-Encoding: gzip, chunked")


def write_head(method, request, lines):
    return b"\r\n".join([
        f"{method} {TARGET} HTTP/1.1".encode(),
        f"Host: {fleets.HTTP_HOST}".encode(),
        f"X-Request-Id: {request}".encode(),
        f"Authorization: Bearer {fleets.API_KEY}".encode(),
        b"Connection: close", *lines, b"", b""])


def write_body(body, is_chunked):
    if body is None:
        return [], b""
    if not is_chunked:
        return [b"Content-Length: %d" % len(body)], body
    pieces = [body[at:at + PIECE_BYTES]
              for at in range(0, len(body), PIECE_BYTES)]
    return [b"Transfer-Encoding: chunked"], b"".join(
        b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"


async def ask(gateway, data):
    """Returns the whole answer; the gateway closes the connection after it."""
    reader, writer = await asyncio.open_connection(gateway.ip,
                                                   fleets.PORTS.callers)
    try:
        writer.write(data)
        return await asyncio.wait_for(reader.read(-1), ANSWER_TIMEOUT_S)
    finally:
        writer.close()


async def main(program):
    sent, wrong = {}, []
    async with gateway_fleet.running_fleet(program, SEED, 1) as fleet:
        gateway = fleet.gateways[0]
        for method in METHODS:
            for body in BODIES:
                for is_chunked in (False, True):
                    request = f"{len(sent):016x}"
                    sent[request] = (method, TARGET,
                                     hashlib.sha256(body or b"").hexdigest())
                    lines, data = write_body(body, is_chunked)
                    answer = await ask(
                        gateway, write_head(method, request, lines) + data)
                    head, _, rest = answer.partition(b"\r\n\r\n")
                    if not head.startswith(b"HTTP/1.1 200 ") or \
                            bool(rest) == (method == "HEAD"):
                        wrong.append(("answer", method, body and len(body), head))
        for number, line in enumerate(INVALID_LINES):
            answer = await ask(gateway, write_head(
                "GET", f"invalid-{number}", [line]) + b"0\r\n\r\n")
            if not answer.startswith(b"HTTP/1.1 400 "):
                wrong.append(("not rejected", line, answer[:40]))
        with open(fleet.history, encoding="utf-8") as file:
            steps = [json.loads(line) for line in file]
    ran = {}
    for step in steps:
        if step["step"] == "run":
            ran[step["request"]] = (step["method"], step["target"], step["body"])
    # The requests that wait for readiness are not among those of this case.
    wrong += [("ran", request, ran.get(request), expected)
              for request, expected in sent.items()
              if ran.get(request) != expected]
    wrong += [("invalid ran", request) for request in ran
              if request.startswith("invalid")]
    print(f"{len(wrong)} of {len(sent)} valid and {len(INVALID_LINES)} invalid "
          f"requests were treated wrongly {wrong[:3]}")
    return not wrong


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

"""Inputs of the front that once failed, with a line on the cause of each."""

import fleet as fleets


def request(line, headers, body=b""):
    return (line + b" HTTP/1.1\r\nHost: " + fleets.HTTP_HOST.encode() +
            b"\r\nAuthorization: Bearer " + fleets.API_KEY.encode() +
            b"\r\n" + b"".join(header + b"\r\n" for header in headers) +
            b"Content-Length: %d\r\n\r\n" % len(body) + body)


FAILED_INPUTS = [
    # The id was part of the JSON of an order, which must be UTF-8: the gateway ended.
    request(b"POST /chat/1", [b"X-Request-Id: r\xe9f", b"X-Deadline-Ms: 3000",
                              b"X-Token-Counts: 600000,48"], b"{}"),
    # A request line without a version was served as HTTP/0.9 with headers.
    request(b"GET /page/1", [b"X-Request-Id: no-version"]).replace(
        b" HTTP/1.1", b"", 1),
    # A carriage return and the byte after it were taken for the end of the head, so
    # that the body lost its first bytes.
    request(b"PUT /post/1", [b"X-Request-Id: bare-return"], b"0123456789").replace(
        b"\r\n\r\n", b"\r\n\rA", 1),
    # A carriage return in a value, and what was before it, were left out.
    request(b"GET /page/1", [b"X-Request-Id: return-in-value",
                             b"X-More: a\r\xff 0"]),
    # A space at the end of the target was left out.
    request(b"OPTIONS /page/ ", [b"X-Request-Id: two-spaces"]),
    # White space after the id was taken for a part of it, and no answer had that id.
    request(b"GET /page/1", [b"X-Request-Id: space-after \t"]),
]

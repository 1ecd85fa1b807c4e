"""What an engine may get of the bytes that clients sent."""

import re

GATEWAY_HEADERS = {b"x-deadline-ms", b"x-expect-instance", b"x-tenant",
                   b"x-helpers", b"content-length", b"transfer-encoding"}


def read_chunks(data):
    """Returns the body that is encoded at the front of `data`; None if none is."""
    body = b""
    while match := re.match(rb"([0-9A-Fa-f]+)(?:[ \t;][^\n]*)?\r?\n", data):
        size = int(match[1], 16)
        body += data[match.end():match.end() + size]
        if size == 0:
            return body
        if len(data) < match.end() + size:
            return None
        data = data[match.end() + size:].removeprefix(b"\r").removeprefix(b"\n")
    return None


def possible_bodies(data):
    """Returns each body that the bytes may hold: what follows a head is one in
    chunks, or has any length."""
    for match in re.finditer(rb"\r?\n\r?\n", data):
        yield data[match.end():], read_chunks(data[match.end():])


def find_difference(arrival, data):
    """Returns in which way the engine's request is not the one in `data`; None if
    it is there as it came."""
    method, _, rest = arrival.line.partition(b" ")
    target = rest.rpartition(b" ")[0]
    if method + b" " + target + b" HTTP/" not in data:
        return f"no client sent {arrival.line!r}"
    for name, value in arrival.headers:
        if name.lower() in GATEWAY_HEADERS:
            continue
        line = re.escape(name) + rb":[ \t]*" + re.escape(value) + rb"[ \t]*\r?\n"
        if not re.search(line, data):
            return f"header {name!r}: {value!r} was not sent"
    if not any(rest.startswith(arrival.body) or chunks == arrival.body
               for rest, chunks in possible_bodies(data)):
        return f"body {arrival.body[:80]!r} was not sent"
    return None


def find_sources(arrival, inputs):
    """Returns the numbers of the inputs that have this request, and the first
    difference from one that may be meant."""
    request_id = arrival.request_id
    match = re.match(rb"d(\d+)-", request_id)
    if match and int(match[1]) < len(inputs):
        difference = find_difference(arrival, inputs[int(match[1])])
        if difference is None:
            return (int(match[1]),), None
    # The number itself may have been changed.
    differences = {number: find_difference(arrival, data)
                   for number, data in enumerate(inputs) if request_id in data}
    return (tuple(number for number, found in differences.items() if not found),
            next(iter(differences.items()), "no input has its id"))


def count_sends(data):
    """Returns how often the requests in `data` may reach engines: each once, and
    once more after a failure."""
    return 2 * max(data.count(b" HTTP/1."), 1)


def check_arrivals(arrivals, inputs):
    """Returns what is wrong with the engine's requests, each of which must be one of
    `inputs`, and none more often than it was sent."""
    wrong = []
    runs = {}
    for arrival in arrivals:
        sent, difference = find_sources(arrival, inputs)
        if sent:
            runs[sent] = runs.get(sent, 0) + 1
        else:
            wrong.append((arrival.request_id, difference, arrival.line))
    wrong += [(sent, "ran more often than it was sent", count)
              for sent, count in runs.items()
              if count > sum(count_sends(inputs[number]) for number in sent)]
    return wrong

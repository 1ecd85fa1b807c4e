"""Requests through two entries to two engines and a plain service, each a
separate process: each caller gets the complete answer to its request."""

import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import fleet as f  # noqa: E402

MODEL = "calc"


def make_configuration(engine_ports, service_port):
    return {
        "engines": [{
            "id": f"engine-{i}", "host": f"b{i}", "model": MODEL,
            "url": f"http://{f.ADDRESS}:{port}", "memory_tokens": 400000,
            "slots": 16} for i, port in enumerate(engine_ports)],
        "backends": [{"id": "approvals-0", "host": "b0",
                      "url": f"http://{f.ADDRESS}:{service_port}"}],
        "services": [
            {"name": "calculation", "kind": "completions", "model": MODEL,
             "engines": ["engine-0", "engine-1"],
             "teams": [{"id": "design"}]},
            {"name": "approvals", "kind": "plain",
             "backends": ["approvals-0"], "teams": [{"id": "design"}]}],
        "presets": [{"name": "ordinary"}],
        "initial_preset": "ordinary"}


def send_completion(port, prompt, stream):
    return f.call(port, "POST", "/v1/completions", json.dumps(
        {"model": MODEL, "prompt": prompt, "max_tokens": 5, "stream": stream}),
        {"Peridotshelf-Team": "design"})


def extract_prompt_hash(answer_text):
    """Returns the prompt hash that all pieces of an answer begin with."""
    pieces = answer_text.split()
    hashes = {piece.split("-")[0] for piece in pieces}
    numbers = [int(piece.split("-")[1]) for piece in pieces]
    assert len(hashes) == 1, answer_text
    assert numbers == list(range(5)), answer_text
    return hashes.pop()


def main(program):
    ports = f.find_free_ports(11)
    log, hosts, service, engine_0, engine_1 = ports[:5]
    side_0, side_1, entry_0, entry_1, health_0, health_1 = ports[5:]
    with f.Fleet(program) as fleet:
        fleet.start_platform(log, hosts)
        for name, port in (("engine-0", engine_0), ("engine-1", engine_1)):
            fleet.start(name, "standin", "engine", "--port", port, "--model",
                        MODEL)
        fleet.start("service", "standin", "service", "--port", service)
        fleet.start_side("b0", "north", side_0, health_0)
        fleet.start_side("b1", "south", side_1, health_1)
        fleet.start_entry("e0", "north", entry_0)
        fleet.start_entry("e1", "south", entry_1)
        fleet.publish(make_configuration([engine_0, engine_1], service))
        for port in (entry_0, entry_1):
            fleet.wait_until_ready(port)
            f.wait_until("a first request is answered",
                         lambda port=port: send_completion(
                             port, "x", False)[0] == 200)
        f.wait_until("the service answers", lambda: f.call(
            entry_0, "GET", "/services/approvals/")[0] == 200)

        status, headers, body = send_completion(entry_0, "one beam", True)
        assert status == 200, body
        assert headers["Peridotshelf-Request-Id"]
        first_hash = extract_prompt_hash(f.extract_answer_text(body))

        status, _, body = send_completion(entry_1, list(range(200000)), False)
        assert status == 200, body
        answer = json.loads(body)
        second_hash = extract_prompt_hash(answer["choices"][0]["text"])
        assert answer["usage"]["prompt_tokens"] == 200000
        assert first_hash != second_hash

        # The same prompt yields the same answer through either entry.
        _, _, body = send_completion(entry_1, "one beam", True)
        assert extract_prompt_hash(f.extract_answer_text(body)) == first_hash

        status, _, body = f.call(entry_0, "POST",
                                 "/services/approvals/sign?r=7",
                                 '{"member":"B12"}')
        assert status == 200, body
        call = json.loads(body)
        assert (call["path"], call["query"]) == ("/sign", "r=7"), body
        assert call["body"] == '{"member":"B12"}', body

        status, _, body = send_completion(entry_0, [], False)
        error = json.loads(body)["error"]
        assert status == 400 and error["code"] == "bad_field", body
        assert error["message"] == "prompt: must not be empty", body
        assert error["not_run"] is True
    print("whole path: passed")


if __name__ == "__main__":
    main(sys.argv[1])

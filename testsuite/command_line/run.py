"""The program's commands: exit codes, start errors, example files, the demo."""

import json
import os
import socket
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import fleet as f  # noqa: E402

DEMO_PORTS = 8
COMMAND_TIMEOUT_S = 60


def run(program, *args, **environment):
    """Runs a command; returns its exit code and output."""
    completed = subprocess.run(
        [program, *map(str, args)], capture_output=True, text=True,
        timeout=COMMAND_TIMEOUT_S, env={**os.environ, **environment})
    return completed.returncode, completed.stdout + completed.stderr


def find_consecutive_ports(count):
    """Returns the first of `count` consecutive unused ports."""
    while True:
        ports = f.find_free_ports(4 * count)
        for first_port in ports:
            if all(first_port + i in ports for i in range(count)):
                return first_port


def check_invalid_flags(program):
    code, text = run(program, "entry", "--threads", "0", "--bogus",
                     PERIDOTSHELF_HTTP_PORT="70000")
    assert code == 2, text
    for expected_text in ("--threads", '"0"', "--bogus",
                          "PERIDOTSHELF_HTTP_PORT", '"70000"', "--host",
                          "--log-url"):
        assert expected_text in text, expected_text + " is not in: " + text
    for args in ((), ("nonsense",), ("standin", "nonsense"), ("load",),
                 ("check",), ("demo", "--port", "1")):
        assert run(program, *args)[0] == 2, args
    for command in ("entry", "side", "check", "load", "demo"):
        code, text = run(program, command, "--help")
        assert code == 0 and "Example:" in text, text
    code, text = run(program, "version")
    assert code == 0 and text.startswith("peridotshelf "), text


def check_invalid_configuration(program):
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write('{"engines": [{"id": 7}], "presets": "none"}')
        file.flush()
        code, text = run(program, "check", file.name)
    assert code == 5, text
    assert "/engines/0/id" in text and "/presets" in text, text
    assert run(program, "check", "/nonexistent.json")[0] == 5


def check_examples(program):
    """Checks that the examples under etc/ are valid and have the sizes of the
    deployments."""
    folder = os.path.join(os.path.dirname(__file__), "..", "..", "etc")
    for name, engines in (("hallstrom", 16), ("cierre", 25)):
        path = os.path.join(folder, name + ".json")
        code, text = run(program, "check", path)
        assert code == 0 and text == "valid\n", text
        with open(path) as file:
            document = json.load(file)
        assert len(document["engines"]) == engines, name
        assert len(document["backends"]) == 3, name
        hosts = {engine["host"] for engine in document["engines"]}
        assert len({host.split("-")[0] for host in hosts}) == 3, hosts
        assert len(document["services"][0]["teams"]) == 10, name
        assert "maintenance" in [p["name"] for p in document["presets"]]


def check_demo(program):
    first_port = find_consecutive_ports(DEMO_PORTS)
    code, text = run(program, "demo", "--once", "--port", first_port)
    assert code == 0, text
    assert f"curl -N http://127.0.0.1:{first_port}/v1/completions" in text, text
    assert text.count("answer whole") == 2, text
    with socket.socket() as listener:
        listener.bind((f.ADDRESS, first_port))
        listener.listen()
        code, text = run(program, "demo", "--once", "--port", first_port)
    assert code == 3 and str(first_port) in text, text


def main(program):
    check_invalid_flags(program)
    check_invalid_configuration(program)
    check_examples(program)
    check_demo(program)
    print("command line: passed")


if __name__ == "__main__":
    main(sys.argv[1])

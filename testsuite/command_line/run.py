"""The program's own commands: exit codes, faults of a start, the demo."""

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


def run(program, *args, **variables):
    """Runs one command; returns its exit code and all that it wrote."""
    done = subprocess.run(
        [program, *map(str, args)], capture_output=True, text=True,
        timeout=COMMAND_TIMEOUT_S, env={**os.environ, **variables})
    return done.returncode, done.stdout + done.stderr


def free_run_of_ports(count):
    """The first of `count` ports in a row that nothing listens on."""
    while True:
        ports = f.find_free_ports(4 * count)
        for first in ports:
            if all(first + i in ports for i in range(count)):
                return first


def check_faults(program):
    code, text = run(program, "entry", "--threads", "0", "--bogus",
                     PERIDOTSHELF_HTTP_PORT="70000")
    assert code == 2, text
    for part in ("--threads", '"0"', "--bogus", "PERIDOTSHELF_HTTP_PORT",
                 '"70000"', "--host", "--log-url"):
        assert part in text, part + " is not in: " + text
    for args in ((), ("nonsense",), ("standin", "nonsense"), ("load",),
                 ("check",), ("demo", "--port", "1")):
        assert run(program, *args)[0] == 2, args
    for command in ("entry", "side", "check", "load", "demo"):
        code, text = run(program, command, "--help")
        assert code == 0 and "Example:" in text, text
    code, text = run(program, "version")
    assert code == 0 and text.startswith("peridotshelf "), text


def check_file_faults(program):
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write('{"engines": [{"id": 7}], "presets": "none"}')
        file.flush()
        code, text = run(program, "check", file.name)
    assert code == 5, text
    assert "/engines/0/id" in text and "/presets" in text, text
    assert run(program, "check", "/nonexistent.json")[0] == 5


def check_examples(program):
    """The examples under etc/ are valid and as large as the deployments."""
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
    first = free_run_of_ports(DEMO_PORTS)
    code, text = run(program, "demo", "--once", "--port", first)
    assert code == 0, text
    assert f"curl -N http://127.0.0.1:{first}/v1/completions" in text, text
    assert text.count("answer whole") == 2, text
    with socket.socket() as taken:
        taken.bind((f.ADDRESS, first))
        taken.listen()
        code, text = run(program, "demo", "--once", "--port", first)
    assert code == 3 and str(first) in text, text


def main(program):
    check_faults(program)
    check_file_faults(program)
    check_examples(program)
    check_demo(program)
    print("command line: passed")


if __name__ == "__main__":
    main(sys.argv[1])

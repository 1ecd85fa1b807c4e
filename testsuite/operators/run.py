"""The operators' commands against a log with faults: each typed answer, races
and lost acknowledgements included."""

import concurrent.futures
import json
import os
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import fleet as f  # noqa: E402

ACCEPTED, UNKNOWN, UNAVAILABLE, INVALID, LOST = 0, 1, 4, 5, 6

DOCUMENT = {
    "services": [{"name": "approvals", "kind": "plain", "teams": []}],
    "presets": [{"name": "ordinary"}, {"name": "peak"}],
    "initial_preset": "ordinary"}


class Operator:
    """Runs the program's commands against one log."""

    def __init__(self, program, log_port):
        self.program = program
        self.log_port = log_port

    def run(self, *args):
        """Returns the exit code and the JSON lines written."""
        done = subprocess.run(
            [self.program, *map(str, args), "--json", "--log-url",
             f"http://{f.ADDRESS}:{self.log_port}"],
            capture_output=True, text=True, timeout=f.CONDITION_TIMEOUT_S)
        return done.returncode, [json.loads(line)
                                 for line in done.stdout.splitlines()]

    def expect(self, code, *args):
        got, lines = self.run(*args)
        assert got == code, (args, got, lines)
        return lines[0]

    def faults(self, **faults):
        status, _, body = f.call(self.log_port, "POST", "/control",
                                 json.dumps(faults))
        assert status == 200, body


def write_document(document):
    file = tempfile.NamedTemporaryFile("w", suffix=".json", delete=False)
    with file:
        json.dump(document, file)
    return file.name


def main(program):
    log, hosts = f.find_free_ports(2)
    with f.Fleet(program) as fleet:
        fleet.start_platform(log, hosts)
        operator = Operator(program, log)

        good = write_document(DOCUMENT)
        first = operator.expect(ACCEPTED, "publish", good)
        assert first["version"] == 1, first

        bad = write_document({**DOCUMENT, "presets": [{"name": ""}]})
        refused = operator.expect(INVALID, "publish", bad)
        paths = [fault["path"] for fault in refused["faults"]]
        assert paths == ["/presets/0/name", "/initial_preset"], paths

        peak = operator.expect(ACCEPTED, "preset", "peak", "--if-version", 1)
        lost = operator.expect(LOST, "preset", "ordinary", "--if-version", 1)
        assert lost["version"] == peak["version"] == 2, lost
        unknown = operator.expect(INVALID, "preset", "none")
        assert unknown["faults"][0]["path"] == "/body/name", unknown

        # Four race with the same base; the log is slow and loses answers.
        operator.faults(lose_ack_next=2, delay_ms=50)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            codes = [code for code, _ in pool.map(
                lambda name: operator.run("preset", name, "--if-version", 2),
                ["ordinary", "peak"] * 2)]
        operator.faults(lose_ack_next=0, delay_ms=0)
        assert sorted(codes) == [ACCEPTED, LOST, LOST, LOST], codes

        # The acknowledgement is lost after the append took effect.
        operator.faults(lose_ack_next=1)
        drained = operator.expect(ACCEPTED, "drain", "b1", "--change-id", "d1")
        again = operator.expect(ACCEPTED, "drain", "b1", "--change-id", "d1")
        assert drained["version"] == again["version"], again

        operator.faults(outage="refuse")
        operator.expect(UNAVAILABLE, "undrain", "b1", "--time-limit-ms", 500)
        operator.faults(outage="none")
        operator.expect(ACCEPTED, "undrain", "b1")

        code, lines = operator.run("audit")
        assert code == 0
        accepted = [line["kind"] for line in lines
                    if line["outcome"] == "accepted"]
        assert accepted == ["config", "preset", "preset", "drain",
                            "undrain"], lines
        code, lines = operator.run("audit", "--change-id", "d1")
        assert lines[0]["offset"] == drained["version"], lines

        code, _ = operator.run("recover", good)
        assert code == LOST, "a whole history must not be replaced"
        operator.faults(truncate=2)
        operator.expect(UNAVAILABLE, "preset", "ordinary")
        code, _ = operator.run("recover", bad)
        assert code == INVALID, code
        code, _ = operator.run("recover", good)
        assert code == 0, code
        operator.expect(ACCEPTED, "preset", "peak")
    print("operators: passed")


if __name__ == "__main__":
    main(sys.argv[1])

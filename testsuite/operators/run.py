"""The operators' commands against a log with faults: their exit codes and
output, also with concurrent changes and lost acknowledgements."""

import concurrent.futures
import json
import os
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import fleet as f  # noqa: E402

ACCEPTED, UNKNOWN, UNAVAILABLE, INVALID, STALE_VERSION = 0, 1, 4, 5, 6

DOCUMENT = {
    "services": [{"name": "approvals", "kind": "plain", "teams": []}],
    "presets": [{"name": "ordinary"}, {"name": "peak"}],
    "initial_preset": "ordinary"}


class Operator:
    """Runs the program's operator commands against a log."""

    def __init__(self, program, log_port):
        self.program = program
        self.log_port = log_port

    def run(self, *args):
        """Returns the exit code and the output as JSON lines."""
        completed = subprocess.run(
            [self.program, *map(str, args), "--json", "--log-url",
             f"http://{f.ADDRESS}:{self.log_port}"],
            capture_output=True, text=True, timeout=f.CONDITION_TIMEOUT_S)
        return completed.returncode, [json.loads(line)
                                      for line in completed.stdout.splitlines()]

    def expect_code(self, code, *args):
        actual_code, lines = self.run(*args)
        assert actual_code == code, (args, actual_code, lines)
        return lines[0]

    def set_log_faults(self, **faults):
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

        valid_document = write_document(DOCUMENT)
        first = operator.expect_code(ACCEPTED, "publish", valid_document)
        assert first["version"] == 1, first

        invalid_document = write_document(
            {**DOCUMENT, "presets": [{"name": ""}]})
        refused = operator.expect_code(INVALID, "publish", invalid_document)
        paths = [error["path"] for error in refused["faults"]]
        assert paths == ["/presets/0/name", "/initial_preset"], paths

        peak = operator.expect_code(ACCEPTED, "preset", "peak",
                                    "--if-version", 1)
        stale = operator.expect_code(STALE_VERSION, "preset", "ordinary",
                                     "--if-version", 1)
        assert stale["version"] == peak["version"] == 2, stale
        unknown_preset = operator.expect_code(INVALID, "preset", "none")
        assert unknown_preset["faults"][0]["path"] == "/body/name", \
            unknown_preset

        # Four concurrent changes to the same base version; the log is slow and
        # loses two acknowledgements.
        operator.set_log_faults(lose_ack_next=2, delay_ms=50)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            codes = [code for code, _ in pool.map(
                lambda name: operator.run("preset", name, "--if-version", 2),
                ["ordinary", "peak"] * 2)]
        operator.set_log_faults(lose_ack_next=0, delay_ms=0)
        assert sorted(codes) == [ACCEPTED, STALE_VERSION, STALE_VERSION,
                                 STALE_VERSION], codes

        # The acknowledgement is lost after the append took effect.
        operator.set_log_faults(lose_ack_next=1)
        drained = operator.expect_code(ACCEPTED, "drain", "b1",
                                       "--change-id", "d1")
        repeated = operator.expect_code(ACCEPTED, "drain", "b1",
                                        "--change-id", "d1")
        assert drained["version"] == repeated["version"], repeated

        operator.set_log_faults(outage="refuse")
        operator.expect_code(UNAVAILABLE, "undrain", "b1", "--time-limit-ms",
                             500)
        operator.set_log_faults(outage="none")
        operator.expect_code(ACCEPTED, "undrain", "b1")

        code, lines = operator.run("audit")
        assert code == 0
        accepted = [line["kind"] for line in lines
                    if line["outcome"] == "accepted"]
        assert accepted == ["config", "preset", "preset", "drain",
                            "undrain"], lines
        code, lines = operator.run("audit", "--change-id", "d1")
        assert lines[0]["offset"] == drained["version"], lines

        code, _ = operator.run("recover", valid_document)
        assert code == STALE_VERSION, "recover must not replace a complete log"
        operator.set_log_faults(truncate=2)
        operator.expect_code(UNAVAILABLE, "preset", "ordinary")
        code, _ = operator.run("recover", invalid_document)
        assert code == INVALID, code
        code, _ = operator.run("recover", valid_document)
        assert code == 0, code
        operator.expect_code(ACCEPTED, "preset", "peak")
    print("operators: passed")


if __name__ == "__main__":
    main(sys.argv[1])

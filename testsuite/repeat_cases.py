"""Runs the cases that record a history repeatedly with new seeds:

    python3 testsuite/repeat_cases.py PROGRAM MINUTES [FIRST_SEED]

Continues after a failed run, counts it and prints the path of its output."""

import collections
import os
import subprocess
import sys
import tempfile
import time

CASES = ("kill_processes", "freeze_processes", "silent_connection",
         "log_outage", "operator_race", "rolling_replacement", "burst")


def main(program, minutes, first_seed="1000"):
    folder = os.path.dirname(os.path.abspath(__file__))
    output_folder = tempfile.mkdtemp(prefix="peridotshelf-cases-")
    deadline = time.monotonic() + 60 * float(minutes)
    started_at = time.monotonic()
    passed, failed = collections.Counter(), collections.Counter()
    seed = int(first_seed)
    while time.monotonic() < deadline:
        for case in CASES:
            completed = subprocess.run(
                [sys.executable, os.path.join(folder, case, "run.py"),
                 program, str(seed)], capture_output=True, text=True)
            if completed.returncode == 0:
                passed[case] += 1
                continue
            failed[case] += 1
            path = os.path.join(output_folder, f"{case}-{seed}.txt")
            with open(path, "w") as file:
                file.write(completed.stdout + completed.stderr)
            print(f"{case} seed {seed} failed: {path}", flush=True)
        seed += 1
    print(f"{(time.monotonic() - started_at) / 60:.1f} minutes; passed "
          f"{dict(passed)}; failed {dict(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))

"""The soak's check of planned stops on records made by hand. Guards against a check
that takes an end at the caller's deadline for one caused by the stop, and against one
that overlooks the latter.

python3 testsuite/soak_checks/run.py PROGRAM
"""

import json
import os
import sys
import tempfile
import types

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "platform", "standin"))
sys.path.insert(0, os.path.join(HERE, "..", "soak"))

import callers  # noqa: E402
import checks  # noqa: E402

# Name, lifetime at the caller and in the gateway's log (None: no line), cut by
# the stop.
CASES = (
    ("at the deadline", 4.01, 4002, False),
    ("before the deadline", 3.2, 3199, True),
    ("without a log line", 4.01, None, True),
    ("late at the caller only", 4.01, 3300, True),
    ("late in the log only", 3.2, 4002, True),
)


def count_lost(folder, lifetime_s, logged_ms):
    history = os.path.join(folder, "engines.jsonl")
    log = os.path.join(folder, "gateway.log")
    with open(history, "w", encoding="utf-8") as file:
        file.write(json.dumps({"at": 1, "engine": "e", "step": "run",
                               "request": "r"}) + "\n")
    with open(log, "w", encoding="utf-8") as file:
        if logged_ms is not None:
            file.write(json.dumps({"name": "request_finished", "request": "r",
                                   "ms": logged_ms}) + "\n")
    gateway = types.SimpleNamespace(stops=[[0, 100]], disturbances=[], log=log)
    host = types.SimpleNamespace(disturbances=[])
    fleet = types.SimpleNamespace(history=history, gateways=[gateway],
                                  host_of={"e": host})
    record = callers.RequestRecord("r", "/chat/", 0, 10, "", "",
                                   ended_at=10 + lifetime_s, is_cut_off=True)
    checker = checks.InvariantChecker(fleet, None, [record])
    checker.check_planned_stops()
    return len(checker.violations)


def main():
    wrong = []
    for name, lifetime_s, logged_ms, is_cut_by_stop in CASES:
        with tempfile.TemporaryDirectory() as folder:
            if count_lost(folder, lifetime_s, logged_ms) != is_cut_by_stop:
                wrong.append(name)
    print(f"{len(wrong)} of {len(CASES)} ends were judged wrongly {wrong}")
    return not wrong


if __name__ == "__main__":
    sys.exit(0 if main() else 1)

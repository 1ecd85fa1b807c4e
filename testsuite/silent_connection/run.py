"""All open connections to a side go silent for good, while new ones work."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from bench import Bench  # noqa: E402
import fleet as f  # noqa: E402

# The stated target for replacing a silent connection, and slack.
REPLACED_WITHIN_S = 2.0 + 2.0


def open_connections(bench, i):
    port = bench.relays[f"relay-b{i}"][1]
    return json.loads(f.call(port, "GET", "/control")[2])["open"]


def main(program, seed=13):
    with Bench(program, seed=int(seed), sides=2, relay=True) as bench:
        bench.start_all()
        bench.callers.start(8, long_percent=10, unrepeatable_percent=30)
        bench.wait_answers(20)
        for i in range(2):
            before = open_connections(bench, i)
            assert before >= len(bench.entries), before
            bench.relay_control(i, action="silence")
            began = time.monotonic()
            f.wait_for("the connections are replaced", lambda i=i: (
                open_connections(bench, i) >= len(bench.entries)))
            took = time.monotonic() - began
            print(f"replaced after {took:.2f} s")
            assert took <= REPLACED_WITHIN_S, took
            bench.wait_answers(20)
        bench.finish()
        assert bench.callers.count("refusal") == 0, bench.callers.outcomes
    print("silent connection: passed")


if __name__ == "__main__":
    main(*sys.argv[1:])

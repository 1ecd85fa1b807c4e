"""All open connections to a side stop carrying data for good, while new
connections work."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from recorded_fleet import RecordedFleet  # noqa: E402
import fleet as f  # noqa: E402

# The target for replacing a silent connection, and 2 s of slack.
REPLACED_WITHIN_S = 2.0 + 2.0


def count_open_connections(fleet, i):
    port = fleet.relays[f"relay-b{i}"][1]
    return json.loads(f.call(port, "GET", "/control")[2])["open"]


def main(program, seed=13):
    with RecordedFleet(program, seed=int(seed), sides=2, relay=True) as fleet:
        fleet.start_all()
        fleet.callers.start(8, long_percent=10, unrepeatable_percent=30)
        fleet.wait_for_answers(20)
        for i in range(2):
            before = count_open_connections(fleet, i)
            assert before >= len(fleet.entries), before
            fleet.control_relay(i, action="silence")
            started_at = time.monotonic()
            f.wait_until("the connections are replaced", lambda i=i: (
                count_open_connections(fleet, i) >= len(fleet.entries)))
            duration_s = time.monotonic() - started_at
            print(f"replaced after {duration_s:.2f} s")
            assert duration_s <= REPLACED_WITHIN_S, duration_s
            fleet.wait_for_answers(20)
        fleet.finish_and_check()
        assert fleet.callers.count("refusal") == 0, fleet.callers.outcomes
    print("silent connection: passed")


if __name__ == "__main__":
    main(*sys.argv[1:])

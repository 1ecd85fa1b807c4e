"""An overload burst: each request is answered or refused in time, and long
requests do not starve short ones."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from recorded_fleet import RecordedFleet  # noqa: E402


def main(program, seed=17):
    with RecordedFleet(program, seed=int(seed), slots=4) as fleet:
        fleet.start_all()
        fleet.callers.start(40, long_percent=30, timeout_s=4.0)
        fleet.wait_for_answers(100)
        fleet.finish_and_check()
        refused = fleet.callers.count("refusal")
        print(f"{refused} refused, {fleet.callers.count('answer')} answered")
        assert refused > 0, "the burst caused no overload"
    print("burst: passed")


if __name__ == "__main__":
    main(*sys.argv[1:])

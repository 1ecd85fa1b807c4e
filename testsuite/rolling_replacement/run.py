"""Each entry and side is stopped gracefully and restarted under load, and a
host is drained: no request is cut off, and the drained host gets no new
requests."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from recorded_fleet import RecordedFleet  # noqa: E402

# The bound for requests to stop reaching a drained host, and time in which a
# violation would show.
WAIT_AFTER_DRAIN_S = 5.0


def main(program, seed=16):
    with RecordedFleet(program, seed=int(seed), sides=2) as fleet:
        fleet.start_all()
        fleet.callers.start(8, long_percent=10, unrepeatable_percent=30)
        fleet.wait_for_answers(10)
        for name in fleet.sides:
            fleet.stop_gracefully(name)
            fleet.restart(name)
            fleet.wait_for_answers(10)
        for name in fleet.entries:
            fleet.replace_entry(name)
            fleet.wait_for_answers(10)
        code, line = fleet.run_operator_command("drain", "b1", "--change-id",
                                                "drain-b1")
        assert code == 0, line
        fleet.history.record("leave_mark", backend="engine-1")
        fleet.record_accepted_change(line["version"], "drain-b1")
        fleet.wait_for_answers(10)
        time.sleep(WAIT_AFTER_DRAIN_S)
        fleet.wait_for_answers(10)
        fleet.finish_and_check()
    print("rolling replacement: passed")


if __name__ == "__main__":
    main(*sys.argv[1:])

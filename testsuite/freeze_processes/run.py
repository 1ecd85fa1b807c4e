"""An entry, a side and an engine are stopped by SIGSTOP under load, for longer
than the processes keep an unresponsive connection, and continued."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from recorded_fleet import RecordedFleet  # noqa: E402

FREEZE_S = 3.0


def main(program, seed=12):
    with RecordedFleet(program, seed=int(seed), sides=3) as fleet:
        fleet.start_all()
        fleet.callers.start(8, long_percent=10, unrepeatable_percent=30)
        fleet.wait_for_answers(20)
        for process_name in ("entry-e0", "side-b0", "engine-1"):
            fleet.freeze(process_name)
            time.sleep(FREEZE_S)
            fleet.thaw(process_name)
            fleet.wait_for_answers(20)
        fleet.finish_and_check()
    print("freeze processes: passed")


if __name__ == "__main__":
    main(*sys.argv[1:])

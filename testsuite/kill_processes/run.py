"""An entry, a side and an engine are killed by SIGKILL under load."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from recorded_fleet import RecordedFleet  # noqa: E402


def main(program, seed=11):
    with RecordedFleet(program, seed=int(seed), sides=3) as fleet:
        fleet.start_all()
        fleet.callers.start(8, long_percent=10, unrepeatable_percent=30,
                            disconnect_percent=5)
        fleet.wait_for_answers(20)
        for process_name in ("entry-e0", "side-b0", "engine-1"):
            fleet.kill(process_name)
            fleet.wait_for_answers(20)
            fleet.restart(process_name)
            if process_name in fleet.entries:
                fleet.wait_until_ready(fleet.entries[process_name])
            fleet.wait_for_answers(20)
        fleet.finish_and_check()
    print("kill processes: passed")


if __name__ == "__main__":
    main(*sys.argv[1:])

"""The log refuses, hangs, is slow and loses an acknowledgement: requests are
still answered, and changes take effect once the log is available again."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from recorded_fleet import RecordedFleet  # noqa: E402


def main(program, seed=14):
    with RecordedFleet(program, seed=int(seed)) as fleet:
        fleet.start_all()
        fleet.callers.start(6, unrepeatable_percent=30)
        fleet.wait_for_answers(10)
        for outage in ("refuse", "hang"):
            fleet.control_log(outage=outage)
            fleet.wait_for_answers(15)
            if outage == "refuse":
                # An entry that starts during the outage adopts a peer's state.
                fleet.replace_entry("entry-e0")
            fleet.control_log(outage="none")
            fleet.change_preset("peak" if outage == "refuse" else "ordinary")
        fleet.control_log(delay_ms=300)
        fleet.change_preset("maintenance")
        fleet.control_log(delay_ms=0, lose_ack_next=1)
        fleet.change_preset("ordinary")
        fleet.wait_for_answers(10)
        fleet.finish_and_check()
        assert fleet.callers.count("refusal") == 0, fleet.callers.outcomes
    print("log outage: passed")


if __name__ == "__main__":
    main(*sys.argv[1:])

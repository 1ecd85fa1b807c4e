"""The log refuses, hangs, is slow and loses an acknowledgement: requests go on,
and changes are in force once it is back."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from bench import Bench  # noqa: E402


def main(program, seed=14):
    with Bench(program, seed=int(seed)) as bench:
        bench.start_all()
        bench.callers.start(6, unrepeatable_percent=30)
        bench.wait_answers(10)
        for outage in ("refuse", "hang"):
            bench.log_control(outage=outage)
            bench.wait_answers(15)
            if outage == "refuse":
                # A process that starts meanwhile has its state from a peer.
                bench.replace_entry("entry-e0")
            bench.log_control(outage="none")
            bench.change_preset("peak" if outage == "refuse" else "ordinary")
        bench.log_control(delay_ms=300)
        bench.change_preset("maintenance")
        bench.log_control(delay_ms=0, lose_ack_next=1)
        bench.change_preset("ordinary")
        bench.wait_answers(10)
        bench.finish()
        assert bench.callers.count("refusal") == 0, bench.callers.outcomes
    print("log outage: passed")


if __name__ == "__main__":
    main(*sys.argv[1:])

"""SIGSTOP and SIGCONT of an entry, a side and an engine under load, for
longer than a silent connection is kept."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from bench import Bench  # noqa: E402

FREEZE_S = 3.0


def main(program, seed=12):
    with Bench(program, seed=int(seed), sides=3) as bench:
        bench.start_all()
        bench.callers.start(8, long_percent=10, unrepeatable_percent=30)
        bench.wait_answers(20)
        for victim in ("entry-e0", "side-b0", "engine-1"):
            bench.freeze(victim)
            time.sleep(FREEZE_S)
            bench.thaw(victim)
            bench.wait_answers(20)
        bench.finish()
    print("freeze processes: passed")


if __name__ == "__main__":
    main(*sys.argv[1:])

"""SIGKILL of an entry, a side and an engine under load."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from bench import Bench  # noqa: E402


def main(program, seed=11):
    with Bench(program, seed=int(seed), sides=3) as bench:
        bench.start_all()
        bench.callers.start(8, long_percent=10, unrepeatable_percent=30,
                            hang_up_percent=5)
        bench.wait_answers(20)
        for victim in ("entry-e0", "side-b0", "engine-1"):
            bench.kill(victim)
            bench.wait_answers(20)
            bench.restart(victim)
            if victim in bench.entries:
                bench.wait_ready(bench.entries[victim])
            bench.wait_answers(20)
        bench.finish()
    print("kill processes: passed")


if __name__ == "__main__":
    main(*sys.argv[1:])

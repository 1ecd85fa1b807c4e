"""Every process is stopped in an orderly way and replaced under load, and a
host is drained: no request is cut and no new work goes to the drained one."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from bench import Bench  # noqa: E402

# The bound on a leaving server, and some time in which a fault would show.
AFTER_LEAVE_S = 5.0


def main(program, seed=16):
    with Bench(program, seed=int(seed), sides=2) as bench:
        bench.start_all()
        bench.callers.start(8, long_percent=10, unrepeatable_percent=30)
        bench.wait_answers(10)
        for name in bench.sides:
            bench.stop_gracefully(name)
            bench.restart(name)
            bench.wait_answers(10)
        for name in bench.entries:
            bench.replace_entry(name)
            bench.wait_answers(10)
        code, line = bench.operate("drain", "b1", "--change-id", "drain-b1")
        assert code == 0, line
        bench.history.record("leave_mark", backend="engine-1")
        bench.accept(line["version"], "drain-b1")
        bench.wait_answers(10)
        time.sleep(AFTER_LEAVE_S)
        bench.wait_answers(10)
        bench.finish()
    print("rolling replacement: passed")


if __name__ == "__main__":
    main(*sys.argv[1:])

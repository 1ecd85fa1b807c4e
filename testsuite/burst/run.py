"""Far more requests than fit: each is answered or refused in time, and short
ones are not starved."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from bench import Bench  # noqa: E402


def main(program, seed=17):
    with Bench(program, seed=int(seed), slots=4) as bench:
        bench.start_all()
        bench.callers.start(40, long_percent=30, budget_s=4.0)
        bench.wait_answers(100)
        bench.finish()
        refused = bench.callers.count("refusal")
        print(f"{refused} refused, {bench.callers.count('answer')} answered")
        assert refused > 0, "the burst was no burst"
    print("burst: passed")


if __name__ == "__main__":
    main(*sys.argv[1:])

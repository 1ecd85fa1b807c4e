"""Operators race one another with changes to one version: one wins, and all
processes follow one order."""

import concurrent.futures
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from recorded_fleet import RecordedFleet  # noqa: E402

ROUNDS = 6
LOST = 6


def main(program, seed=15):
    with RecordedFleet(program, seed=int(seed), sides=2) as fleet:
        fleet.start_all()
        fleet.callers.start(4)
        version = max(fleet.accepted_changes)
        for number in range(ROUNDS):
            with concurrent.futures.ThreadPoolExecutor(2) as pool:
                racers = [pool.submit(
                    fleet.run_operator_command, "preset", preset, "--if-version", version,
                    "--change-id", f"{preset}-{number}")
                    for preset in ("peak", "ordinary")]
                results = [racer.result() for racer in racers]
            codes = sorted(code for code, _ in results)
            assert codes == [0, LOST], results
            for preset, (code, line) in zip(("peak", "ordinary"), results):
                if code == 0:
                    version = line["version"]
                    fleet.record_accepted_change(version, f"{preset}-{number}")
        fleet.wait_for_version(version)
        fleet.finish_and_check()
    print("operator race: passed")


if __name__ == "__main__":
    main(*sys.argv[1:])

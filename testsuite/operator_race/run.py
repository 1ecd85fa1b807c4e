"""Two operators concurrently change the preset with the same base version: one
change is accepted, and all processes apply the changes in the same order."""

import concurrent.futures
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from recorded_fleet import RecordedFleet  # noqa: E402

ROUND_COUNT = 6
STALE_VERSION_EXIT_CODE = 6


def main(program, seed=15):
    with RecordedFleet(program, seed=int(seed), sides=2) as fleet:
        fleet.start_all()
        fleet.callers.start(4)
        version = max(fleet.accepted_changes)
        for round_number in range(ROUND_COUNT):
            with concurrent.futures.ThreadPoolExecutor(2) as pool:
                futures = [pool.submit(
                    fleet.run_operator_command, "preset", preset,
                    "--if-version", version, "--change-id",
                    f"{preset}-{round_number}")
                    for preset in ("peak", "ordinary")]
                results = [future.result() for future in futures]
            codes = sorted(code for code, _ in results)
            assert codes == [0, STALE_VERSION_EXIT_CODE], results
            for preset, (code, line) in zip(("peak", "ordinary"), results):
                if code == 0:
                    version = line["version"]
                    fleet.record_accepted_change(
                        version, f"{preset}-{round_number}")
        fleet.wait_for_version(version)
        fleet.finish_and_check()
    print("operator race: passed")


if __name__ == "__main__":
    main(*sys.argv[1:])

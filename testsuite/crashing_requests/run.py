"""Guards against a request that comes again and crashes engine after engine.

python3 testsuite/crashing_requests/run.py PROGRAM
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import crashes  # noqa: E402
import engine  # noqa: E402
import fleet as fleets  # noqa: E402
import platform_messages  # noqa: E402

SEED = 43
BODY = b"the same body"


def make_request(is_sound, number, request):
    """All requests share their caller and body; the crashing ones their path."""
    path = f"/page/{number}" if is_sound else engine.CRASHING_PATH
    return platform_messages.request_head(
        path, fleets.HTTP_HOST, request, fleets.REQUEST_TIMEOUT_S,
        fleets.API_KEY, len(BODY)) + BODY


CASE = crashes.Case(SEED, make_request, known_after_crashes=3,
                    trouble_s=20.0, gateway_restart_s=12.0)


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(CASE.run(sys.argv[1])) else 1)

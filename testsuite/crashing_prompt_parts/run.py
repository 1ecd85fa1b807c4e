"""Guards against one prompt part that crashes engine after engine.

python3 testsuite/crashing_prompt_parts/run.py PROGRAM
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

SEED = 41
SYSTEM_PART = "aa01"
DOCUMENTS = 6
CRASHING_PART = engine.CRASHING_PART_PREFIX + "07"


def make_request(is_sound, number, request):
    """All prompts share their first part and their caller."""
    shared = f"dd{number % DOCUMENTS:02}" if is_sound else CRASHING_PART
    return platform_messages.request_head(
        "/chat/1", fleets.HTTP_HOST, request, fleets.REQUEST_TIMEOUT_S,
        fleets.API_KEY, 0, (crashes.PROMPT_TOKENS, crashes.OUTPUT_TOKENS),
        (SYSTEM_PART, shared, f"ee{number:06}"))


CASE = crashes.Case(SEED, make_request, known_after_crashes=5,
                    trouble_s=16.0, gateway_restart_s=10.0)


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(CASE.run(sys.argv[1])) else 1)

"""Guards against an answer without length that a crash cut and that is delivered as if
it were whole.

python3 testsuite/unframed_answers/run.py PROGRAM
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import gateway_fleet  # noqa: E402
import engine  # noqa: E402
import fleet as fleets  # noqa: E402
import http_messages  # noqa: E402
import platform_messages  # noqa: E402

SEED = 47
SOUND_REQUESTS = 20
CUT_REQUESTS = 2


async def ask(gateway, path, request):
    """Returns the status and body of the answer; status 0 if it was cut."""
    reader, writer = await asyncio.open_connection(gateway.ip,
                                                   fleets.PORTS.callers)
    try:
        writer.write(platform_messages.request_head(
            path, fleets.HTTP_HOST, request, fleets.REQUEST_TIMEOUT_S,
            fleets.API_KEY, 0))
        answer = await http_messages.read_head(reader)
        return answer.status, await http_messages.read_body(reader, answer)
    except (OSError, ConnectionError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        writer.close()


async def main(program):
    async with gateway_fleet.running_fleet(program, SEED, 1,
                                           has_direct_engines=True) as fleet:
        for host in fleet.engines:
            await host.set_fault("unframed")
        gateway = fleet.gateways[0]
        wrong = []
        for number in range(SOUND_REQUESTS):
            request = f"{number:016x}"
            answer = await ask(gateway, f"/page/{number}", request)
            if answer != (200, engine.make_plain_body(request, b"")):
                wrong.append(("sound", answer))
        for number in range(CUT_REQUESTS):
            answer = await ask(gateway, engine.CRASHING_PATH,
                               f"{number + SOUND_REQUESTS:016x}")
            if answer[0] == 200:
                wrong.append(("cut", answer))
    print(f"{len(wrong)} of {SOUND_REQUESTS} sound and {CUT_REQUESTS} cut answers "
          f"were delivered wrongly {wrong[:2]}")
    return not wrong


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main(sys.argv[1])) else 1)

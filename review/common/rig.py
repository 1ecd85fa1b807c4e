"""Starts one small deployment on loopback for a case: the project's simulated store, the
case's engines and the gateway, each a process of its own; and asks it as a client.

The settings are those of a machine of cierre-lima, except for addresses and ports.
"""

import asyncio
import base64
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
IP = "127.0.0.1"
HOST = "client.example"
KEY = "n2ctnfzs989anu6wsjnb"
TEAM = "hule930"
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


def free_ports(count):
    """Returns ports that neither TCP nor UDP uses."""
    sockets, ports = [], []
    try:
        while len(ports) < count:
            tcp, udp = socket.socket(), socket.socket(type=socket.SOCK_DGRAM)
            sockets += [tcp, udp]
            tcp.bind((IP, 0))
            try:
                udp.bind(tcp.getsockname())
            except OSError:
                continue
            ports.append(tcp.getsockname()[1])
    finally:
        for one in sockets:
            one.close()
    return ports


def settings(ports, store_port, node="front-hall-a-1"):
    front, ready, control, peers = ports
    return f"""
node = "{node}"
role = "gateway"
class = "front"
serves = ["front","control"]
ip = "{IP}"
zone = "hall-a"
region = "lima"
portRange = [{peers},{peers}]
seeds = ["{IP}:{control}"]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = {int(HEARTBEAT_S * 1000)}
[zones]
hall-a = "lima"
[listen]
front = "{IP}:{front}"
ready = "{IP}:{ready}"
control = "{IP}:{control}"
[limits]
cpuShare = 0.19
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = {int(STABLE_WINDOW_S * 1000)}
ackMs = 4000
catchUpS = 4
drainMs = {int(DRAIN_S * 1000)}
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevoke = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 104
recoverS = 12
passMs = 120
retryAfterS = 0
stall_ms = 1500
holdMaxMs = 20000
freeMs = 4000
idleMaxMs = 9000
[platform]
addr = "{IP}:{store_port}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
"""


def configuration(version, routes, services):
    """`services` maps each name to the fields of its engines, or to None."""
    return {
        "version": version, "routes": routes,
        "services": [{"name": name, "healthPath": "/healthz", "maxConns": 434,
                      "protocol": "h1", "tls": False,
                      **({"engine": engine} if engine else {})}
                     for name, engine in services.items()],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": TEAM, "apiKeys": [KEY], "priority": 1}]}


# The engine of peridot-pool, as `fleetbench wire` shows it.
POOL_ENGINE = {"slots": 16, "kvCapacity": 232000, "stride": 43, "step_ms": 1.02,
               "per_seq_ms": 0.00226, "context_per_k": 0.00431,
               "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048,
               "report_lag_ms": 200.0, "usual": {"prompt": 12316, "answer": 1303},
               "hopMs": 0.075}


def stream_route(prefix, service, resumable=True):
    return {"name": prefix, "host": HOST, "pathPrefix": prefix, "kind": "stream",
            "timeoutMs": 15000, "sloMs": 2500, "priority": 1, "service": service,
            "attempts": 2, "public": False, "affinity": True,
            "resumeStreams": resumable, "gapTargetMs": 1000}


def call_route(prefix, service, kind, timeout_ms=2500):
    return {"name": prefix, "host": HOST, "pathPrefix": prefix, "kind": kind,
            "timeoutMs": timeout_ms, "sloMs": 150, "priority": 2,
            "service": service, "attempts": 2, "public": False}


class Rig:
    """Used as `with Rig(folder) as rig`; ends all that it started."""

    def __init__(self, folder):
        self.folder = folder
        self.children = []
        self.record = open(os.path.join(folder, "record.txt"), "w",
                           encoding="utf-8", buffering=1)
        self.began = time.time()

    def __enter__(self):
        self.temporary = tempfile.mkdtemp(prefix="review-")
        return self

    def __exit__(self, kind, value, trace):
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
            child.wait()
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.close()

    def note(self, text):
        self.record.write(f"{time.time() - self.began:8.3f} s  {text}\n")

    def start(self, arguments, log, env=None):
        with open(os.path.join(self.temporary, log), "ab") as out:
            child = subprocess.Popen(arguments, cwd=ROOT, stdout=out, stderr=out,
                                     env=env)
        self.children.append(child)
        return child

    def start_store(self):
        (self.store_port,) = free_ports(1)
        child = self.start([sys.executable, os.path.join(
            ROOT, "platform", "standin", "store.py"), IP, str(self.store_port)],
            "store.log")
        wait_for_port(self.store_port, child)

    def put(self, topic, key, value):
        """Writes a record; the return is the store's acknowledgement."""
        content = bytes([len(key)]) + key.encode() + value
        record = len(content).to_bytes(4, "big") + content
        request = urllib.request.Request(
            f"http://{IP}:{self.store_port}/peridotshelf/log-append?topic={topic}"
            "&part=0", data=record, method="POST")
        with urllib.request.urlopen(request, timeout=5) as answer:
            answer.read()

    def put_configuration(self, content):
        self.put("keyed.op", "config", json.dumps(content).encode())
        self.note(f"operator: version {content['version']} acknowledged")

    def register(self, engine, service, port, state="ready", slots=16):
        self.put("keyed.servers", engine, json.dumps(
            {"service": service, "addr": f"{IP}:{port}", "zone": "hall-a",
             "version": "v1", "slots": slots, "state": state, "coldLeftMs": 0,
             "seq": int(time.time() * 1000) % 1_000_000_000}).encode())
        self.note(f"engine {engine}: its entry says {state}")

    def start_gateway(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        words = shlex.split(role["run"])
        words[0] = os.path.join(ROOT, words[0])
        if not os.access(words[0], os.X_OK):
            raise CannotRun("the deploy file is not built")
        self.ports = free_ports(4)
        self.front_port, self.ready_port = self.ports[:2]
        path = os.path.join(self.temporary, "settings.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings(self.ports, self.store_port))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
               if name in os.environ}
        self.gateway = self.start(words, "gateway.log",
                                  {**env, "PERIDOTSHELF_CONFIG": path})
        return self.gateway

    def wait_until_ready(self, timeout_s=15):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            try:
                with urllib.request.urlopen(
                        f"http://{IP}:{self.ready_port}/peridotshelf/readyz",
                        timeout=1):
                    return
            except OSError:
                time.sleep(0.1)
        raise CannotRun("the gateway is not ready")

    def gateway_log(self):
        with open(os.path.join(self.temporary, "gateway.log"),
                  encoding="utf-8", errors="replace") as file:
            return file.read()


def wait_for_port(port, child, timeout_s=10):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end and child.poll() is None:
        try:
            socket.create_connection((IP, port), 1).close()
            return
        except OSError:
            time.sleep(0.05)
    raise CannotRun(f"nothing listens on port {port}")


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False  # ended as HTTP says a whole answer ends
        self.error = ""


async def read_answer(reader, answer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif "content-length" in answer.headers:
        length = int(answer.headers["content-length"])
        while len(answer.body) < length:
            piece = await reader.read(length - len(answer.body))
            if not piece:
                raise ConnectionError("cut in its body")
            answer.body += piece
    else:
        answer.body += await reader.read()
    answer.is_whole = True


async def ask(port, method, target, request_id, headers=(), body=b"",
              deadline_ms=15000, has_length=True):
    """Sends one request on a new connection, as a client does."""
    answer = Answer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(IP, port), 1)
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}",
                 f"X-Request-Id: {request_id}", f"X-Deadline-Ms: {deadline_ms}",
                 f"Authorization: Bearer {KEY}", *headers]
        if has_length:
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await asyncio.wait_for(read_answer(reader, answer),
                               deadline_ms / 1000 + 1)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


def run(folder, case):
    """Runs `case(rig)`, which returns whether the rule held; exits."""
    try:
        with Rig(folder) as rig:
            rig.note("with the disruption" if TROUBLE else
                     "without the disruption (TROUBLE=0)")
            held = asyncio.run(case(rig))
            rig.note("the rule held" if held else "THE RULE WAS BROKEN")
            print("held" if held else "broken")
    except Exception as error:  # whatever it is, it says nothing about the rule
        print(f"cannot run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(CANNOT_RUN)
    sys.exit(HELD if held else BROKEN)

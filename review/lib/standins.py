"""Stand-ins for the platform's store, workers and clients, and the start of real gateways.

Everything runs on loopback in one asyncio loop; the gateways are the project's own program, started
as separate processes with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import signal
import sys
import tempfile
import time
from collections import defaultdict
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "release" / "elderworks"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

RECORD_BYTES = 262144
CALL_BYTES = 2097152
PARTS = 8
STARTED = time.monotonic()


def elapsed():
    return time.monotonic() - STARTED


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{elapsed():8.3f}  {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


# --- HTTP -------------------------------------------------------------------------------------


async def read_head(reader):
    """Returns the first line and the headers in lower case, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body; ends only after its last chunk."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, body=b"", headers=()):
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return head.encode("latin-1") + b"\r\n" + body


def parse_query(target):
    path, _, query = target.partition("?")
    pairs = [part.split("=", 1) for part in query.split("&") if "=" in part]
    return path, dict(pairs)


# --- the platform's store -----------------------------------------------------------------------


class Store:
    """The log of the pages: ordered partitions, conditional appends, newest record of each key."""

    def __init__(self, record):
        self.record = record
        self.partitions = defaultdict(list)
        self.newest = defaultdict(dict)
        self.locks = defaultdict(asyncio.Lock)
        self.changed = asyncio.Event()
        self.too_large = 0
        self.is_busy = False
        self.refused = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        return self

    def append(self, topic, part, records):
        log = self.partitions[topic, part]
        offset = len(log)
        log.extend(records)
        if topic.startswith("keyed."):
            for number, raw in enumerate(records):
                key = raw[1 : 1 + raw[0]].decode()
                value = raw[1 + raw[0] :]
                if value:
                    self.newest[topic][key] = (offset + number, value)
                else:
                    self.newest[topic].pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset, len(log)

    def put(self, topic, key, value):
        name = key.encode()
        self.append(topic, 0, [bytes([len(name)]) + name + value])

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await read_body(reader, headers)
                target = first.split(" ")[1]
                path, query = parse_query(target)
                answer = await self.respond(path, query, body)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def respond(self, path, query, body):
        if self.is_busy:
            self.refused += 1
            return response("503 Service Unavailable", b"{}")
        topic, part = query.get("topic", ""), int(query.get("part", "0"))
        if path == "/v1/log-append":
            return await self.respond_append(topic, part, query, body)
        if path == "/v1/log-read":
            return await self.respond_read(topic, part, query)
        if path == "/v1/log-newest":
            return self.respond_newest(topic, query)
        return response("404 Not Found")

    async def respond_append(self, topic, part, query, body):
        if topic == "keyed.servers":
            return response("403 Forbidden")
        records, rest = [], body
        while rest:
            size = int.from_bytes(rest[:4], "big")
            records.append(rest[4 : 4 + size])
            rest = rest[4 + size :]
        if len(body) > CALL_BYTES or any(len(one) > RECORD_BYTES for one in records):
            self.too_large += 1
            self.record(f"store: append of {len(body)} bytes to {topic}/{part} is over call_bytes")
            return response("413 Payload Too Large", b"{}")
        async with self.locks[topic, part]:
            await asyncio.sleep(0.004)
            end = len(self.partitions[topic, part])
            if "at" in query and int(query["at"]) != end:
                return response("412 Precondition Failed", json.dumps({"end": end}).encode())
            offset, end = self.append(topic, part, records)
        answer = json.dumps({"offset": offset, "end": end}).encode()
        return response("200 OK", answer, [("Content-Type", "application/json")])

    async def respond_read(self, topic, part, query):
        start = int(query.get("from", "0"))
        most = int(query.get("max_kb", "1024")) * 1024
        until = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        log = self.partitions[topic, part]
        while len(log) <= start and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        await asyncio.sleep(0.002)
        body = bytearray(len(log).to_bytes(8, "big") + (0).to_bytes(8, "big"))
        for raw in log[start:]:
            if len(body) + len(raw) + 4 > most:
                break
            body += len(raw).to_bytes(4, "big") + raw
        return response("200 OK", bytes(body))

    def respond_newest(self, topic, query):
        after = query.get("after", "")
        keys = sorted(key for key in self.newest[topic] if key > after)
        items = []
        for key in keys[:500]:
            offset, value = self.newest[topic][key]
            val = base64.b64encode(value).decode()
            items.append({"tls-key": key, "val": val, "offset": offset})
        end = len(self.partitions[topic, 0])
        answer = {"items": items, "more": len(keys) > 500, "end": end}
        return response("200 OK", json.dumps(answer).encode())


# --- workers ------------------------------------------------------------------------------------


class Worker:
    """A model worker: answers each request with a stream of events, and keeps what it ran."""

    def __init__(self, record, store, name, service, zone="hall-a", slots=12, events=8, pause=0.02):
        self.record, self.store = record, store
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.events, self.pause = events, pause
        self.running = 0
        self.runs = []

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 25)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        self.write_entry("ready")
        return self

    def write_entry(self, phase):
        entry = {
            "svc": self.service, "address": self.address, "az": self.zone, "ver": "v1",
            "slots": self.slots, "phase": phase, "cold-left-ms": 0, "call-seq": 0,
        }
        self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await read_body(reader, headers)
                if not await self.answer(first, headers, body, reader, writer):
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, first, headers, body, reader, writer):
        method, target = first.split(" ")[:2]
        if method == "GET" and target == "/healthz":
            writer.write(response("200 OK", b"", [("X-Elderworks-Instance", self.name)]))
            return True
        request = headers.get("x-elderworks-request-id", "")
        if headers.get("x-elderworks-expect-instance", self.name) != self.name:
            writer.write(response("421 Misdirected Request", b"", [("X-Elderworks-Instance", self.name)]))
            return True
        own = [("X-Elderworks-Request-Id", request), ("X-Elderworks-Weight-Versions", "1")]
        if self.running >= self.slots:
            writer.write(response("503 Service Unavailable", b"", own + [("X-Elderworks-Not-Executed", "1")]))
            return True
        self.running += 1
        try:
            return await self.run(request, headers, body, writer, own)
        finally:
            self.running -= 1

    def note_run(self, request, headers, body):
        self.runs.append((elapsed(), request, headers, body))
        self.record(f"worker {self.name} runs {request} with a body of {len(body)} bytes")

    async def run(self, request, headers, body, writer, own):
        self.note_run(request, headers, body)
        stamp = f"s.{self.name}.{request}"
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        head += "".join(f"{n}: {v}\r\n" for n, v in own + [("X-Elderworks-Server-Stamp", stamp)])
        writer.write(head.encode() + b"\r\n")
        start = int(headers.get("last-event-id", "0") or "0")
        for number in range(start + 1, self.events + 1):
            await asyncio.sleep(self.pause)
            event = event_of(request, number)
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def event_of(request, number):
    return f"id: {number}\ndata: {request}-{number}\n\n".encode()


def output_of(request, events):
    """Returns what the next turn's conversation holds for a turn: each event's data and a line feed."""
    return "".join(f"{request}-{number}\n" for number in range(1, events + 1)).encode()


# --- clients ------------------------------------------------------------------------------------


class Answer:
    def __init__(self, status, headers=None, body=b"", whole=False, error=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.whole, self.error = whole, error

    def __str__(self):
        if self.status == 0:
            return f"no answer ({self.error})"
        text = f"{self.status}, {len(self.body)} bytes, {'whole' if self.whole else 'cut: ' + self.error}"
        if self.status != 200:
            text += f" {self.body[:80]!r}"
        return text


async def send(address, method, path, headers, body=b"", limit=4.0):
    """Sends one request on a new connection and returns what came back."""
    answer = Answer(0)
    writer = None
    try:
        async with asyncio.timeout(limit):
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 25)
            text = f"{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nContent-Length: {len(body)}\r\n"
            text += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            writer.write(text.encode() + b"\r\n" + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                answer.error = "connection closed"
                return answer
            answer.status = int(head[0].split(" ")[1])
            answer.headers = head[1]
            if "chunked" in head[1].get("transfer-encoding", ""):
                async for chunk in read_chunks(reader):
                    answer.body += chunk
            else:
                answer.body = await reader.readexactly(int(head[1].get("content-length", "0")))
            answer.whole = True
    except TimeoutError:
        answer.error = "deadline passed"
    except (ConnectionError, OSError, asyncio.IncompleteReadError) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


def turn_headers(program, request, previous=None, budget=2304, finish_ms=20000, deadline_ms=4000):
    headers = {
        "X-Elderworks-Request-Id": request, "X-Elderworks-Program": program,
        "X-Elderworks-Session": "s1", "X-Elderworks-Finish-Ms": finish_ms,
        "X-Elderworks-Token-Budget": budget, "X-Elderworks-Token-Count": "1840,90",
        "X-Elderworks-Deadline-Ms": deadline_ms, "X-Elderworks-Model": "m",
        "X-Elderworks-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410",
    }
    if previous:
        headers["X-Elderworks-Previous-Turn"] = previous
    return headers


# --- gateways -----------------------------------------------------------------------------------


class Gateway:
    """A gateway process of the deploy file on a loopback address of its own."""

    def __init__(self, record, folder, store, number, zone):
        self.record, self.folder, self.store = record, folder, store
        self.name, self.zone = f"edge-{zone}-{number}", zone
        seed = os.getpid()
        self.ip = f"127.{10 + seed % 200}.{seed // 200 % 250 + 1}.{number + 1}"
        self.front = f"{self.ip}:8149"
        self.ready = f"{self.ip}:8141"
        self.process = None

    def settings(self, bootstrap):
        at = lambda port: f"{self.ip}:{port}"
        return {
            "node-name": self.name, "role": "node", "machine-class": "edge",
            "serves": ["edge", "registry"], "ip": self.ip, "az": self.zone, "region": "ulaanbaatar",
            "zones": {zone: "ulaanbaatar" for zone in ("hall-a", "hall-b", "hall-c", "hall-d")},
            "listen": {"front": at(8149), "ready": at(8141), "ctrl": at(8144), "dir": at(8143)},
            "port-range": [7380, 7395], "seeds": [], "bootstrap": bootstrap, "counts-as-loss": False,
            "limits": {"cpu-quota": 0.5, "cores": 1, "ram-mb": 230, "max-fds": 8200,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "registry", "heartbeat-ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"],
            "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 3000, "ack-ms": 4000,
                       "catch-up-s": 4.3, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
                       "config-apply-ms": 2000, "rollback-slack-ms": 250, "outer-ms": 5000,
                       "recover-s": 12, "pass-ms": 120, "retry-after-s": 0, "finish-s": 10,
                       "settle-ms": 1000, "ttl_max_s": 5},
            "platform": {"address": self.store.address, "form": "log", "writes-per-s": 800,
                         "reads-per-s": 2000, "parts": PARTS, "append_ms": 4.0, "part_mb_per_s": 20.0,
                         "read_mb_per_s": 80.0, "record_bytes": RECORD_BYTES, "call_bytes": CALL_BYTES,
                         "retain-s": 300, "part_mb": 200, "ttl-min-ms": 1000},
        }

    async def start(self, bootstrap=False):
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings(bootstrap)))
        log = open(self.folder / f"{self.name}.log", "ab")
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), "gateway", cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            env={**keep, "ELDERWORKS_CONFIG": str(path), "GATEWAY_METRICS_PORT": "9464"},
        )
        log.close()
        self.record(f"gateway {self.name} starts")

    async def wait_ready(self, limit=15.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            answer = await send(self.ready, "GET", "/v1/readyz", {}, limit=1.0)
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"gateway {self.name} does not become ready")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()
        self.record(f"gateway {self.name} killed")


def route(name, prefix, kind, service, **more):
    return {
        "name": name, "hostname": "ficu95.example", "path-prefix": prefix, "type": kind,
        "timeout-ms": 4000, "target-ms": 200, "prio": 1, "svc": service, "attempts": 1,
        "retained": False, "retain-s": 60.0, "sticky": kind == "streaming", "resumable": False,
        "gap-aim-ms": 200, **more,
    }


def configuration(version=7):
    """A configuration like the one that `fleetbench wire` shows for a small deployment."""
    runtime = {"slots": 12, "kv-cap": 127559, "kv-tok-bytes": 131072, "link-mbps": 1100000.0,
               "migrations": False, "kv-backups": False, "chunk-tokens": 9, "most": 12,
               "pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}
    return {
        "ver": version,
        "routes": [
            route("draft", "/lohu930/", "streaming", "menu-brain", retained=True),
            route("review", "/pufi791/", "streaming", "menu-brain", resumable=True),
        ],
        "svcs": [{"name": "menu-brain", "health-path": "/healthz", "max-conns": 160,
                  "protocol": "h1", "tls": False, "runtime": runtime}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    }


def run_case(case, folder):
    """Runs a case; it returns whether the rule held. Exits with 0 (held), 1 (broken) or 2 (not run)."""
    record = Record(Path(folder) / "record.txt")
    if not PROGRAM.exists():
        record("target/release/elderworks is missing: build it with the command of deploy/system.toml")
        sys.exit(2)
    code = 2
    try:
        with tempfile.TemporaryDirectory(prefix="elderworks-review-") as scratch:
            code = asyncio.run(run_limited(case, record, Path(scratch)))
            if os.environ.get("KEEP_LOGS"):
                os.system(f"cp -r {scratch}/. {os.environ['KEEP_LOGS']}")
    except Exception as error:
        record(f"the case could not run: {error!r}")
    record({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "not run"}[code])
    record.close()
    print({0: "held", 1: "broken", 2: "not run"}[code])
    sys.exit(code)


async def run_limited(case, record, scratch):
    gateways = []
    try:
        async with asyncio.timeout(115):
            return 0 if await case(record, scratch, gateways) else 1
    finally:
        for gateway in gateways:
            if gateway.process and gateway.process.returncode is None:
                gateway.process.kill()
                await gateway.process.wait()

"""Loopback stand-ins for the scripts of this review: the platform's store, model servers and clients.

It uses the standard library only. ``python3 lab.py store CONFIG`` and ``python3 lab.py server CONFIG`` run one stand-in
each as a process of its own; the scripts import the rest.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
ENTRY_LIFE_S = 3 * HEARTBEAT_S
PROMPT_TOKENS_PER_MS = 55.5556
HANDLE_TTL_S = 0.5


class CannotRunError(Exception):
    """The script can't start what it needs."""


# --- HTTP ------------------------------------------------------------------------------------------------------------


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, the headers by lower-case name and the body of a message with a length."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if length := int(headers.get("content-length", 0)):
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return first, headers, body


def encode_answer(status: int, body: bytes, headers: dict[str, str] | None = None) -> bytes:
    """Return a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def call(
    address: str, method: str, path: str, value: object = None, headers: dict[str, str] | None = None
) -> tuple[int, dict[str, str], bytes] | None:
    """Send one call on a new connection; return status, headers and body, or None without an answer."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return None
    try:
        body = b"" if value is None else json.dumps(value).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {text}" for name, text in (headers or {}).items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        answer = await read_message(reader)
    except OSError:
        return None
    finally:
        writer.close()
    return None if answer is None else (int(answer[0].split()[1]), answer[1], answer[2])


class Server:
    """HTTP server that answers the requests of each connection one after the other."""

    async def listen(self, address: str) -> None:
        """Accept connections at an address."""
        host, _, port = address.rpartition(":")
        server = await asyncio.start_server(self._serve_connection, host, int(port), backlog=512)
        async with server:
            await server.serve_forever()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ")
                if not await self._answer(reader, writer, method, target, headers, body):
                    break
        writer.close()

    async def _answer(self, reader, writer, method, target, headers, body) -> bool:
        """Answer one request, and drop the work if the caller closes the connection meanwhile."""
        work = asyncio.ensure_future(self.serve(writer, method, target, headers, body))
        closed = asyncio.ensure_future(self._wait_closed(reader))
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
        closed.cancel()
        await asyncio.gather(work, closed, return_exceptions=True)
        if work.cancelled():
            return False
        if (problem := work.exception()) is not None and not isinstance(problem, OSError):
            raise problem
        return problem is None

    @staticmethod
    async def _wait_closed(reader: asyncio.StreamReader) -> None:
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)

    async def serve(self, writer, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        """Write the answer to one request."""
        raise NotImplementedError


# --- the platform's store ---------------------------------------------------------------------------------------------


class Store(Server):
    """The store. ``POST /stand-in/put`` and ``/stand-in/remove`` write as the operator and the servers do."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[tuple[int, str, str | None]] = []
        self.leases: dict[int, list[float]] = {}
        self.beats: dict[str, float] = {}
        self.changed = asyncio.Condition()

    async def expire(self) -> None:
        """Remove what has lapsed."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            over = {lease for lease, (_, until) in self.leases.items() if now >= until}
            for lease in over:
                del self.leases[lease]
            silent = {key for key, until in self.beats.items() if now >= until}
            for key in [key for key, item in self.items.items() if item["lease"] in over or key in silent]:
                await self.remove(key)

    async def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        self.items[key] = {"tls_key": key, "value": value, "revision": self.revision, "made": made, "lease": lease}
        self.history.append((self.revision, key, value))
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, key: str) -> None:
        """Remove a key, if it is there."""
        self.beats.pop(key, None)
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append((self.revision, key, None))
            async with self.changed:
                self.changed.notify_all()

    async def serve(self, writer, method, target, headers, body) -> None:
        """Answer one call."""
        path, _, text = target.partition("?")
        query = dict(parse_qsl(text))
        value = json.loads(body) if body else {}
        name = path.removeprefix("/api/").removeprefix("/stand-in/")
        status, answer = await self.handle(name, query, value)
        writer.write(encode_answer(status, json.dumps(answer).encode(), {"Store-Era": "1"}))
        await writer.drain()

    async def handle(self, name: str, query: dict, value: dict) -> tuple[int, dict]:
        """Return the status and body of the answer to a call."""
        kind, _, rest = name.partition("/")
        if kind == "put":
            await self.take_entry(value["key"], value["value"], beats=value.get("beats", False))
            return 200, {"revision": self.revision}
        if kind == "remove":
            await self.remove(value["key"])
            return 200, {"revision": self.revision}
        if kind == "kv-key":
            found = self.items.get(query["tls_key"])
            return (404, {"at": self.revision}) if found is None else (200, {**found, "at": self.revision})
        if kind == "kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["path_prefix"]) and k > query.get("after", ""))
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "more": len(keys) > 500, "at": self.revision}
        if kind == "kv-watch":
            return await self.watch(query["path_prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
        if kind == "kv-txn":
            return await self.change(value)
        if kind == "kv-lease":
            lease, ttl = len(self.history) + 1000 + random.randrange(1 << 20), value["ttl_ms"] / 1000
            self.leases[lease] = [ttl, time.monotonic() + ttl]
            return 200, {"lease": lease, "ttl_ms": value["ttl_ms"]}
        if int(rest) not in self.leases:
            return 404, {}
        if kind == "kv-keep":
            self.leases[int(rest)][1] = time.monotonic() + self.leases[int(rest)][0]
        else:
            self.leases[int(rest)][1] = 0.0
        return 200, {}

    async def take_entry(self, key: str, value: dict, *, beats: bool) -> None:
        """Write what an operator or a server writes; an entry in which only ``sequence`` differs doesn't change."""
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        if beats:
            self.beats[key] = time.monotonic() + ENTRY_LIFE_S
            before = json.loads(base64.b64decode(self.items[key]["value"])) if key in self.items else None
            if before is not None and {**before, "sequence": 0} == {**value, "sequence": 0}:
                return
        await self.put(key, raw)

    async def watch(self, prefix: str, after: int, wait: float) -> tuple[int, dict]:
        """Return the changes after a revision as soon as there are any."""
        end = time.monotonic() + wait
        while True:
            events = []
            for revision, key, value in self.history:
                if revision > after and key.startswith(prefix):
                    said = {"gone": True} if value is None else {"value": value}
                    events.append({"tls_key": key, "revision": revision, **said})
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), min(left, 0.2))

    async def change(self, value: dict) -> tuple[int, dict]:
        """Make the changes of a transaction, or none."""
        rows = value.get("if_revision", [])
        if any(self.items.get(row["tls_key"], {"revision": 0})["revision"] != row["revision"] for row in rows):
            return 412, {"items": [self.items[row["tls_key"]] for row in rows if row["tls_key"] in self.items]}
        puts, removed = value.get("put", []), value.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in [*removed, *(row["tls_key"] for row in puts)]):
            return 403, {}
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in puts):
            return 404, {}
        for row in puts:
            await self.put(row["tls_key"], row["value"], row.get("lease", 0))
        for key in removed:
            await self.remove(key)
        return 200, {"revision": self.revision}


# --- servers ----------------------------------------------------------------------------------------------------------


def make_piece(number: int, pieces: int) -> bytes:
    """Return a piece of an answer without a length; the last one says that it is."""
    return f"{number}/{pieces} ".encode().ljust(200, b".") + b"\n"


class ModelServer(Server):
    """A replica: of a plain service without a phase, or a model server that prefills or decodes.

    It notes in its log, one JSON text a line, what arrived, what it ran and which events it made.
    """

    def __init__(self, config: dict) -> None:
        self.config = config
        self.id = config["id"]
        self.phase = config.get("phase", "")
        self.log = open(config["log"], "a", buffering=1)  # noqa: SIM115 - as long as the process lives
        self.born = int(1000 * time.time())
        self.used: dict[str, int] = {}
        self.holds: dict[str, tuple[int, float]] = {}
        self.handles: dict[str, float] = {}
        self.running = 0
        self.reads_until = 0.0
        self.lost_share = 0.0
        """Share of the requests whose answer is lost after they have run."""
        self.cold_until = 0.0
        self.arrivals: deque[float] = deque()
        self.changed = asyncio.Event()

    def note(self, what: str, **fields: object) -> None:
        """Add a line to the log."""
        self.log.write(json.dumps({"at": round(time.monotonic(), 4), "server": self.id, "what": what, **fields}) + "\n")

    def make_entry(self, sequence: int) -> dict:
        """Return the server's entry in the store."""
        entry = {
            "service": self.config["service"],
            "address": self.config["address"],
            "zone": self.config["zone"],
            "version": self.config["version"],
            "capacity": self.config["capacity"],
            "state": self.config.get("state", "ready"),
            "cold_remaining_ms": self.cold_left_ms,
            "sequence": sequence,
            "born": self.born,
        }
        if self.phase:
            entry |= {"phase": self.phase, "models": [{"name": "m", "version": 1, "adapters": []}]}
        return entry

    async def beat(self) -> None:
        """Keep the server's entry in the store."""
        for sequence in range(1, 1_000_000):
            value = {"key": f"servers/{self.id}", "value": self.make_entry(sequence), "beats": True}
            await call(self.config["store"], "POST", "/stand-in/put", value)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), HEARTBEAT_S)
            self.changed.clear()

    @property
    def cold_left_ms(self) -> int:
        """Return the milliseconds for which it stays cold."""
        return max(0, int(1000 * (self.cold_until - time.monotonic())))

    def count_arrival(self) -> None:
        """Fall over if far more requests come than the server bears while it is cold."""
        now = time.monotonic()
        self.arrivals.append(now)
        while now - self.arrivals[0] > 1.0:
            self.arrivals.popleft()
        if self.cold_left_ms and len(self.arrivals) > self.config["falls_at_per_s"]:
            self.note("falls over", running=self.running, in_a_second=len(self.arrivals))
            os._exit(1)

    @property
    def free_tokens(self) -> int:
        """Return the tokens that are neither in use nor set aside."""
        now = time.monotonic()
        self.holds = {hold: one for hold, one in self.holds.items() if now < one[1]}
        return self.config["kv_tokens"] - sum(self.used.values()) - sum(tokens for tokens, _ in self.holds.values())

    def make_headers(self, request: str) -> dict[str, str]:
        """Return the headers of an answer to a request that was run."""
        load = f"{self.running},0,{self.config['capacity']}"
        return {"Request-Id": request, "Response-Signature": f"{self.id}.{request}", "Server-Load": load}

    async def serve(self, writer, method, target, headers, body) -> None:
        """Answer a request or call, or what the script asks for."""
        if headers.get("expect-instance", self.id) != self.id:
            answer = encode_answer(421, b"{}", {"Request-Id": headers.get("request-id", ""), "Not-Executed": "1"})
        elif target.startswith("/api/"):
            answer = self.serve_call(method, target, body)
        elif target == "/health":
            answer = encode_answer(200, b"", {"Instance-Id": self.id, "Cold-Ms": str(self.cold_left_ms)})
        elif target == "/stand-in/cold":
            self.cold_until = time.monotonic() + json.loads(body)["ms"] / 1000
            self.arrivals.clear()
            self.note("turns cold", ms=self.cold_left_ms)
            self.changed.set()
            answer = encode_answer(200, b"{}")
        elif target == "/stand-in/lose":
            self.lost_share = json.loads(body)["share"]
            self.note("loses", share=self.lost_share)
            answer = encode_answer(200, b"{}")
        elif target.startswith("/stand-in/take/"):
            found = self.handles.pop(target.rpartition("/")[2], 0.0) > time.monotonic()
            answer = encode_answer(200 if found else 404, b"{}")
        else:
            cold = self.cold_left_ms
            stage = headers.get("stage", "")
            self.note("arrived", request=headers.get("request-id", ""), path=target, stage=stage, cold_ms=cold)
            self.count_arrival()
            answer = await self.run(writer, target, headers, body)
        if answer is not None:
            writer.write(answer)
            await writer.drain()

    def serve_call(self, method: str, target: str, body: bytes) -> bytes:
        """Return the answer to a call."""
        name, _, rest = target.removeprefix("/api/").partition("/")
        if name == "hold-take":
            asked = json.loads(body)
            if asked["tokens"] > self.free_tokens or self.running >= self.config["capacity"]:
                self.note("hold refused", tokens=asked["tokens"], free=self.free_tokens)
                return encode_answer(503, b"{}", {"Not-Executed": "1"})
            hold = f"{random.getrandbits(48):012x}"
            self.holds[hold] = asked["tokens"], time.monotonic() + asked["ttl_ms"] / 1000
            self.note("hold", hold=hold)
            return encode_answer(200, json.dumps({"hold": hold}).encode())
        if name == "hold-drop":
            self.holds.pop(rest, None)
        elif name == "kv-handle":
            self.handles.pop(rest, None)
        elif name == "order":
            self.note("order", **json.loads(body))
            return encode_answer(409, b"{}")
        return encode_answer(200, b"{}")

    async def run(self, writer, target: str, headers: dict[str, str], body: bytes) -> bytes | None:
        """Run a request; return its answer unless that was written."""
        request = headers.get("request-id", "")
        refused = encode_answer(503, b"{}", {"Request-Id": request, "Not-Executed": "1"})
        if not self.phase:
            return await self.run_plain(writer, request, target, body)
        if (headers.get("stage") == "prefill") != (self.phase == "prefill"):
            return encode_answer(421, b"{}", {"Request-Id": request, "Not-Executed": "1"})
        prompt, output = (int(word) for word in headers["token-count"].split(","))
        if self.phase == "prefill":
            return await self.prefill(request, prompt)
        self.holds.pop(headers.get("cache-hold", ""), None)
        if prompt + output > self.free_tokens or self.running >= self.config["capacity"]:
            return refused
        self.used[request] = prompt + output
        self.running += 1
        try:
            source = headers.get("cache-source")
            if source is None:
                await asyncio.sleep(2 * prompt / PROMPT_TOKENS_PER_MS / 1000)
            else:
                address, _, handle = source.partition("/")
                taken = await call(address, "POST", f"/stand-in/take/{handle}")
                if taken is None or taken[0] != 200:
                    return refused
            await self.stream(writer, request, int(headers.get("last-event-id", 0)), output)
        finally:
            del self.used[request]
            self.running -= 1
        return None

    async def run_plain(self, writer, request: str, target: str, body: bytes) -> bytes | None:
        """Run a request of a plain service."""
        self.running += 1
        self.note("runs", request=request, path=target)
        try:
            await asyncio.sleep(self.config["work_s"])
            self.note("ran", request=request)
        finally:
            self.running -= 1
        if random.random() < self.lost_share:
            self.note("answer lost", request=request)
            await asyncio.sleep(60.0)
        if self.config.get("pieces"):
            await self.write_unframed(writer, request)
            return None
        return encode_answer(200, f"{self.id} {request} {len(body)}".encode(), self.make_headers(request))

    async def write_unframed(self, writer, request: str) -> None:
        """Write an answer that has neither a length nor chunks and ends with its connection."""
        lines = [f"{name}: {value}" for name, value in self.make_headers(request).items()]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", "Connection: close", *lines, "", ""]).encode())
        pieces = self.config["pieces"]
        for number in range(1, pieces + 1):
            writer.write(make_piece(number, pieces))
            await writer.drain()
            await asyncio.sleep(self.config["piece_s"])
        self.note("answered whole", request=request)
        writer.close()

    async def prefill(self, request: str, prompt: int) -> bytes:
        """Read a prompt."""
        now = time.monotonic()
        self.reads_until = max(now, self.reads_until) + prompt / PROMPT_TOKENS_PER_MS / 1000
        await asyncio.sleep(self.reads_until - now)
        handle = f"{random.getrandbits(48):012x}"
        self.handles[handle] = time.monotonic() + HANDLE_TTL_S
        answer = {"kv_handle": handle, "tokens": prompt, "version": 1}
        return encode_answer(200, json.dumps(answer).encode(), {"Request-Id": request})

    async def stream(self, writer, request: str, after: int, output: int) -> None:
        """Write a stream of events."""
        stride, interval = self.config["stride"], self.config["event_interval_s"]
        last = -(-output // stride)
        self.note("runs", request=request, version=self.config["version"], after=after)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in self.make_headers(request).items()]
        writer.write("\r\n".join([*lines, "Weight-Versions: 1", "", ""]).encode())
        made = after
        try:
            for number in range(after + 1, last + 1):
                await asyncio.sleep(interval)
                event = f"id: {number}\ndata: {self.config['version']} {self.id} {request}-{number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                made = number
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.note("made", request=request, version=self.config["version"], first=after + 1, last=made)


async def run_store(config: dict) -> None:
    """Run the store."""
    store = Store()
    await asyncio.gather(store.listen(config["address"]), store.expire())


async def run_server(config: dict) -> None:
    """Run one server."""
    server = ModelServer(config)
    await asyncio.gather(server.listen(config["address"]), server.beat())


# --- a small deployment -----------------------------------------------------------------------------------------------

SETTINGS = """
node_name = "{name}"
role = "relay"
machine_class = "frontend"
serves = ["frontend", "control"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
port_range = [7380, 7395]
seeds = {seeds}
bootstrap = {bootstrap}
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"]
[zones]
{zone_lines}
[listen]
frontend = "{ip}:8149"
ready = "{ip}:8141"
control = "{ip}:8144"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 150
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catchup_s = 4
drain_timeout_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 56
recovery_s = 12
transit_ms = 120
retry_after_s = 5.6
require_fence = false
lease_ms = 3000
thaw_slack_ms = 300
cold_overage = 1.5
cold_slack = 5
evacuate_ms = 5000
[provider]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""

PORTS = (8141, 8144, 8149, 7380, 9464, 8200)


class Lab:
    """A small deployment on loopback addresses that no other run uses, in processes of its own."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.temp = Path(tempfile.mkdtemp(prefix="beamhatch-review-"))
        self.processes: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, str] = {}
        self.settings: dict[str, dict] = {}
        self.notes: list[tuple[float, str]] = []
        self.started_at = time.monotonic()
        self.net, self._mark = take_net()
        self.store = f"{self.net}.1:8142"

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.notes.append((time.monotonic(), text))

    def spawn(self, name: str, command: list[str], **environment: str) -> None:
        """Start a process."""
        log = (self.temp / f"{name}.out").open("ab")
        path = os.environ | environment
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, env=path, stdout=log, stderr=log)
        log.close()

    def start_store(self) -> None:
        """Start the store."""
        self._start_stand_in("store", {"address": self.store}, "store")

    def start_server(self, name: str, number: int, **config: object) -> None:
        """Start a server at the address with a number; ``config`` says what it is."""
        address = f"{self.net}.{100 + number}:8200"
        self.addresses[name] = address
        log = str(self.temp / f"{name}.log")
        defaults = {"id": name, "address": address, "store": self.store, "log": log, "zone": "kl-a", "version": "v1"}
        self._start_stand_in(name, {**defaults, **config}, "server")

    def _start_stand_in(self, name: str, config: dict, kind: str) -> None:
        path = self.temp / f"{name}.json"
        path.write_text(json.dumps(config))
        self.spawn(name, [sys.executable, str(Path(__file__).resolve()), kind, str(path)])

    def start_vms(self, zones: list[str]) -> None:
        """Start a relay in each of some zones, with the command of the deploy file."""
        ips = [f"{self.net}.{11 + number}" for number in range(len(zones))]
        seeds = json.dumps([f"{ip}:8144" for ip in ips[:3]])
        lines = "\n".join(f'{zone} = "region-1"' for zone in dict.fromkeys(zones))
        for number, (zone, ip) in enumerate(zip(zones, ips, strict=True)):
            name = f"frontend-{number + 1}"
            self.addresses[name] = f"{ip}:8149"
            self.settings[name] = {
                "name": name,
                "ip": ip,
                "zone": zone,
                "seeds": seeds,
                "store": self.store,
                "zone_lines": lines,
            }
            self.start_vm(name, first=True)

    def start_vm(self, name: str, *, first: bool = False) -> None:
        """Start one relay, also again."""
        path = self.temp / f"{name}.toml"
        path.write_text(SETTINGS.format(**self.settings[name], bootstrap=str(first).lower()))
        command = read_run_command()
        dependencies = str(ROOT / "target" / "deps")
        self.spawn(name, command, PYTHONPATH=dependencies, BEAMHATCH_NODE_FILE=str(path))

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this lab."""
        self.note(f"{number.name} to {name}")
        self.processes[name].send_signal(number)

    async def put(self, key: str, value: object) -> None:
        """Write as the operator does."""
        if await call(self.store, "POST", "/stand-in/put", {"key": key, "value": value}) is None:
            raise CannotRunError("the store doesn't answer")

    async def wait_listening(self, address: str, seconds: float = 20.0) -> None:
        """Wait until something listens at an address."""
        host, _, port = address.rpartition(":")
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
        raise CannotRunError(f"nothing listens at {address}")

    async def wait_ready(self, seconds: float = 30.0) -> None:
        """Wait until all relays say that they are ready."""
        end = time.monotonic() + seconds
        for one in self.settings.values():
            while True:
                answer = await call(f"{one['ip']}:8141", "GET", "/api/ready")
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRunError(f"{one['name']} isn't ready")
                await asyncio.sleep(0.1)

    def read_server_logs(self) -> list[dict]:
        """Return what all servers noted, by time."""
        found = []
        for path in self.temp.glob("*.log"):
            found += [json.loads(line) for line in path.read_text().splitlines() if line.endswith("}")]
        return sorted(found, key=lambda one: one["at"])

    def write_record(self, verdict: str) -> None:
        """Write what was sent, answered and run, and the verdict."""
        lines = [(at, text) for at, text in self.notes]
        lines += [
            (
                one["at"],
                f"{one['server']} {one['what']} " + " ".join(f"{k}={v}" for k, v in one.items() if k not in HIDDEN),
            )
            for one in self.read_server_logs()
        ]
        text = [f"{at - self.started_at:9.3f} {line}" for at, line in sorted(lines)]
        (self.folder / "record.txt").write_text("\n".join([*text, verdict, ""]))

    def close(self) -> None:
        """End all processes of this lab."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self._mark.close()

    def clean(self) -> None:
        """Remove the temporary folder, unless it is to be looked at."""
        if os.environ.get("KEEP") != "1":
            for path in self.temp.iterdir():
                path.unlink()
            self.temp.rmdir()


LONGEST_RUN_S = 105.0
"""Seconds after which a case counts as one that couldn't run."""

HIDDEN = ("at", "server", "what")


def read_run_command() -> list[str]:
    """Return the command of the deploy file's only role."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    line = next(line for line in text.splitlines() if line.startswith("run = "))
    return line.split('"')[1].split(" ")


def take_net() -> tuple[str, socket.socket]:
    """Return the first three numbers of free loopback addresses, and the socket that marks them as taken."""
    for _ in range(200):
        net = f"127.{random.randrange(200, 250)}.{random.randrange(1, 250)}"
        mark = socket.socket()
        try:
            mark.bind((f"{net}.1", 7997))
            mark.listen()
            for port in PORTS:
                with socket.socket() as probe:
                    probe.bind((f"{net}.11", port))
        except OSError:
            mark.close()
            continue
        return net, mark
    raise CannotRunError("all loopback networks are taken")


CALLER_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}
"""The part of a configuration that bounds what clients send."""


def make_configuration(version: int, routes: list[dict], service: dict) -> dict:
    """Return a configuration with one service."""
    return {"version": version, "routes": routes, "services": [service], "limits": CALLER_LIMITS}


@dataclass(frozen=True)
class Verdict:
    """What a case has shown."""

    text: str
    is_broken: bool
    """Whether the rule was broken."""
    is_valid: bool
    """Whether the deployment served its clients, so that the case says something."""


def run_case(folder: Path, play: Callable[[Lab], Awaitable[Verdict]]) -> int:
    """Play a case and return the exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    try:
        lab = Lab(folder)
    except CannotRunError as problem:
        (folder / "record.txt").write_text(f"can't run: {problem}\n")
        sys.stdout.write(f"can't run: {problem}\n")
        return 2
    try:
        verdict = asyncio.run(asyncio.wait_for(play(lab), LONGEST_RUN_S))
    except Exception as problem:  # an error of the script must not look like a broken rule
        verdict = Verdict(f"can't run: {problem!r}", is_broken=False, is_valid=False)
    finally:
        lab.close()
    lab.write_record(verdict.text)
    lab.clean()
    sys.stdout.write(f"{verdict.text}\n")
    if not verdict.is_valid:
        return 2
    return 1 if verdict.is_broken else 0


# --- clients ----------------------------------------------------------------------------------------------------------


def make_request(path: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return a request of a client."""
    lines = [f"POST {path} HTTP/1.1", "Host: desk.example", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def send_request(
    address: str, path: str, headers: dict[str, str], body: bytes, seconds: float
) -> tuple[int, dict[str, str], bytes]:
    """Send a request on a new connection; return status, headers and body, or status 0 without an answer in time."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
    except (OSError, TimeoutError):
        return 0, {}, b""
    try:
        writer.write(make_request(path, headers, body))
        message = await asyncio.wait_for(read_message(reader), seconds)
    except (OSError, TimeoutError):
        message = None
    finally:
        writer.close()
    return (0, {}, b"") if message is None else (int(message[0].split()[1]), message[1], message[2])


async def read_stream(reader: asyncio.StreamReader, on_event) -> tuple[int, bool, dict[str, str]]:
    """Read an answer; return its status, whether it came whole, and its headers; tell of each event."""
    message = await read_message(reader)
    if message is None:
        return 0, False, {}
    first, headers, _ = message
    status = int(first.split()[1])
    if "chunked" not in headers.get("transfer-encoding", ""):
        return status, True, headers
    text = b""
    try:
        while size := int(await reader.readline() or b"x", 16):
            text += (await reader.readexactly(size + 2))[:-2]
            *events, text = text.split(b"\n\n")
            for event in events:
                on_event(event.decode())
        await reader.readline()
    except (ValueError, OSError, asyncio.IncompleteReadError):
        return status, False, headers
    return status, True, headers


async def main() -> None:
    """Run one stand-in as a process."""
    kind, path = sys.argv[1:]
    config = json.loads(Path(path).read_text())
    await (run_store(config) if kind == "store" else run_server(config))


if __name__ == "__main__":
    asyncio.run(main())

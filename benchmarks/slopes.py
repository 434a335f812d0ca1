"""Measure the slopes that docs/CAPACITY.md is worked out from.

``python -m benchmarks.slopes --json`` prints one JSON object: processor time of a decision by candidates, bytes of
memory for each item held, bytes on the wire for each message, and what idle membership costs as VMs are added.
"""

from __future__ import annotations

import argparse
import gc
import json
import random
import statistics
import time
import tracemalloc
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, reactor

from beamhatch.clock import Clock
from beamhatch.decide.fleet import Fleet
from beamhatch.decide.idempotency import RecordStore, StoredResponse
from beamhatch.decide.ledger import LoadSnapshot, UpstreamConfig, VmLoad
from beamhatch.decide.policy.api import ResourceNeed
from beamhatch.decide.policy.make import make_policy
from beamhatch.decide.pool import Pool
from beamhatch.edge.http import HttpClient
from beamhatch.edge.peer.message import (
    ConfigAnswer,
    Message,
    Probe,
    RecordAnswer,
    RecordEnd,
    RecordPut,
    RunsBegun,
    RunsEnded,
    Shares,
    WireAnswer,
    encode_message,
    shorten_name,
)
from beamhatch.ids import Boot, HallName, RecordKey, RequestId, UpstreamName, VmName, WorkspaceName
from beamhatch.observe.log import start_logs
from beamhatch.observe.metrics import Metrics
from beamhatch.settings.check import digest_document, encode_document
from beamhatch.settings.schema import Timing, Workspace
from beamhatch.standin.engine import Shape, start_engine
from beamhatch.task.mesh import Mesh

if TYPE_CHECKING:
    from collections.abc import Callable

CANDIDATES = (3, 30, 300, 627)
MEMBERS = (3, 6, 8, 16, 32)
DECISIONS = 1500
ROUNDS = 5
IDLE_SECONDS = 5.0


def make_pool(candidates: int) -> Pool:
    """Return a pool with so many engines of each role, half full of other VMs' work."""
    rng = random.Random(candidates)
    fleet = Fleet(HallName("h"), max_report_age=1e9)
    facts = [
        UpstreamConfig(UpstreamName(f"{role}-{n}"), "", HallName("h"), role, {}, 24_000, 20_000, 100_000)
        for role in ("prefill", "decode")
        for n in range(candidates)
    ]
    fleet.set_upstreams(facts)
    for item in facts:
        fleet.apply_report(item.name, LoadSnapshot(0.0, rng.randrange(12_000), 24_000, rng.randrange(2)))
    policy = make_policy("predicted")
    return Pool(fleet, lambda need: policy)


def measure_decision(candidates: int) -> dict[str, float]:
    """Return the microseconds of choosing a start, and of all decisions of a request: start, landing and end."""
    times, starts = [], []
    for _ in range(ROUNDS):
        pool = make_pool(candidates)
        start = time.process_time()
        started = 0.0
        for number in range(DECISIONS):
            now = number * 0.001
            request = RequestId(f"r{number}")
            need = ResourceNeed(request, WorkspaceName("w"), 800, 120, now)
            before = time.perf_counter()
            pool.request_start(need, now)
            started += time.perf_counter() - before
            pool.request_handoff(request, frozenset(), now)
            pool.record_transfer_end(request)
            pool.release(request, now)
        starts.append(started / DECISIONS * 1e6)
        times.append((time.process_time() - start) / DECISIONS * 1e6)
    return {
        "candidates": candidates,
        "us_start": round(min(starts), 1),
        "us": round(min(times), 1),
        "spread_us": round(statistics.pstdev(times), 1),
    }


def measure_memory(make: Callable[[int], Any], count: int = 2000) -> float:
    """Return the bytes that one item takes."""
    gc.collect()
    tracemalloc.start()
    held = make(count)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return round(size / count, 1)


def make_records(count: int) -> RecordStore:
    """Return a store with short kept answers."""
    store = RecordStore(10**9, 10**12, 600)
    for number in range(count):
        key, request = RecordKey(f"order-desk/{number:032d}"), RequestId(f"kl-a-1.1796205094331.{number}")
        store.put(key, "0" * 64, VmName("kl-a-1"), Boot(1796205094331), request, 0.0)
        store.complete(
            key,
            request,
            StoredResponse("answered", "answered", "", 200, (("Content-Type", "application/json"),), b"x" * 200),
        )
    return store


def make_waiting(count: int) -> Pool:
    """Return a pool with waiting requests."""
    pool = make_pool(1)
    for number in range(count):
        need = ResourceNeed(
            RequestId(f"kl-a-1.1796205094331.{number}"), WorkspaceName(f"w{number % 330}"), 23_000, 900, 0.0
        )
        pool.queue.add(need, late=False)
    return pool


def make_workspaces(count: int) -> list[Any]:
    """Return workspaces as they are held: the document, its body and its hash."""
    made = []
    for number in range(count):
        document = Workspace(name=f"workspace-{number}", weight=number % 900 + 1, labels={"team": f"team-{number}"})
        body = encode_document(document)
        made.append((f"workspace/{document.name}", document, body, digest_document(body)))
    return made


def measure_messages() -> dict[str, int]:
    """Return the bytes of typical messages."""
    upstream = "lm-desk-prefill-123"
    key, request = "order-desk/3f0c6f0e-7a51-4f0e-8d6c-0f8f4f1f2a3b", "kl-a-01.1796205094331.123456"
    body = encode_document(Workspace(name="workspace-1", weight=3, labels={"team": "a"}))
    kept = WireAnswer("answered", "answered", "", 200, [("Content-Type", "application/json")], b"x" * 300)
    change = json.dumps(
        [{"change": "0" * 16, "sequence": 9, "operator": "o", "time": 1.0, "reason": "r", "documents": ["workspace/w"]}]
    )
    messages: dict[str, Message] = {
        "probe": Probe(123456, 4300, []),
        "runs_begun": RunsBegun(False, [(123456, "p1", shorten_name(upstream))]),
        "runs_ended_each": RunsEnded([123456]),
        "share_each": Shares(False, [(shorten_name(upstream), 123456, 12345, 12)]),
        "record_put": RecordPut("0" * 16, key, "0" * 64, "kl-a-01", 1796205094331, request),
        "record_answer": RecordAnswer("granted"),
        "record_end": RecordEnd(key, request, kept),
        "config_change": ConfigAnswer(False, 9, 10, {"workspace/workspace-1": "0" * 64}, [], change.encode(), [body]),
    }
    return {name: len(encode_message(message)) for name, message in messages.items()}


async def measure_members(count: int) -> dict[str, float]:
    """Return what idle membership costs one VM of so many, in one process over loopback."""
    clock = Clock(reactor)
    meshes, ports = [], []
    seeds: list[str] = []
    for number in range(count):
        mesh = Mesh(clock, VmName(f"kl-a-{number}"), Boot(number + 1), HallName("kl-a"), seeds, Timing(), Metrics())
        port = reactor.listenTCP(0, mesh.make_factory(), interface="127.0.0.1", backlog=200)
        ports.append(port)
        meshes.append(mesh)
        seeds.append(f"127.0.0.1:{port.getHost().port}")
    for mesh, seed in zip(meshes, seeds, strict=True):
        mesh.start(seed, "127.0.0.1")
    await sleep(5.0 + count / 2)
    formed = [len(mesh.members.list_alive()) for mesh in meshes]
    before, cpu = [read_bytes(mesh) for mesh in meshes], time.process_time()
    await sleep(IDLE_SECONDS)
    used = time.process_time() - cpu
    sent = [after - start for after, start in zip([read_bytes(mesh) for mesh in meshes], before, strict=True)]
    for port in ports:
        await port.stopListening()
    for mesh in meshes:
        mesh.stop()
    await sleep(0.5)
    return {
        "members": count,
        "formed": min(formed),
        "bytes_per_s": round(statistics.mean(sent) / IDLE_SECONDS, 1),
        "cpu_share": round(used / IDLE_SECONDS / count, 5),
    }


async def measure_message(count: int = 4000) -> float:
    """Return the microseconds of one small message, sender and receiver together, each message by itself."""
    clock = Clock(reactor)
    meshes, ports = [], []
    for number in range(2):
        mesh = Mesh(clock, VmName(f"vm-{number}"), Boot(1), HallName("h"), [], Timing(), Metrics())
        ports.append(reactor.listenTCP(0, mesh.make_factory(), interface="127.0.0.1"))
        meshes.append(mesh)
    addresses = [f"127.0.0.1:{port.getHost().port}" for port in ports]
    meshes[0]._seeds = addresses
    for mesh, address in zip(meshes, addresses, strict=True):
        mesh.start(address, "127.0.0.1")
    await sleep(2.0)
    message = RunsBegun(False, [(1, "p1", 2)])
    start = time.process_time()
    for _ in range(count):
        meshes[0].cast(VmName("vm-1"), message)
        await sleep(0.0005)
    used = time.process_time() - start
    for port, mesh in zip(ports, meshes, strict=True):
        await port.stopListening()
        mesh.stop()
    return round(used / count * 1e6, 1)


async def measure_report(count: int = 400) -> float:
    """Return the microseconds that reading one load report costs the reader and a stand-in together."""
    _, port = start_engine(reactor, Shape())
    client = HttpClient(reactor, 1.0)
    start = time.process_time()
    for _ in range(count):
        await client.ask_json("GET", f"http://127.0.0.1:{port}/load", limit=1.0)
    return round((time.process_time() - start) / count * 1e6, 1)


def read_bytes(mesh: Mesh) -> float:
    """Return the bytes that a mesh has sent."""
    return float(mesh.metrics.peer_bytes.labels("out")._value.get())


def sleep(seconds: float) -> defer.Deferred[None]:
    """Wait."""
    done: defer.Deferred[None] = defer.Deferred()
    reactor.callLater(seconds, done.callback, None)
    return done


async def measure_all() -> dict[str, Any]:
    """Return all slopes."""
    return {
        "decision": [measure_decision(candidates) for candidates in CANDIDATES],
        "memory_bytes": {
            "record": measure_memory(make_records),
            "waiting_request": measure_memory(make_waiting),
            "workspace": measure_memory(make_workspaces),
            "upstream": round(measure_memory(make_pool) / 2, 1),
            "share": measure_memory(lambda count: [(f"vm-{n}", VmLoad(n * 1000, n, n % 7)) for n in range(count)]),
        },
        "message_bytes": measure_messages(),
        "message_us": await measure_message(),
        "load_report_us": await measure_report(),
        "membership": [await measure_members(count) for count in MEMBERS],
    }


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="print one line, as kept in benchmarks/slopes.json")
    options = parser.parse_args()
    start_logs("console", "error")

    def show(result: dict[str, Any]) -> None:
        print(json.dumps(result, indent=None if options.json else 2))

    def run() -> None:
        work = defer.ensureDeferred(measure_all())
        work.addCallback(show)
        work.addErrback(lambda failure: failure.printTraceback())
        work.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(run)
    reactor.run()


if __name__ == "__main__":
    main()

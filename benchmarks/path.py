"""Measure the path: processor time of the router alone per request and per streamed chunk, and its memory.

Run ``python -m benchmarks.path``. It prints one JSON object, with a bare pass-through of twisted.web on the same
stand-ins as the lower bound.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

TICKS = os.sysconf("SC_CLK_TCK")
STREAMS = 60
FRAMES = 400
PACE = 0.015
REQUESTS = 400
OPEN_STREAMS = 1000


class Running:
    """A process under measurement."""

    def __init__(self, *command: str) -> None:
        self.process = subprocess.Popen([sys.executable, *command], stdout=subprocess.PIPE, text=True)
        assert self.process.stdout is not None
        line = next(line for line in self.process.stdout if line.startswith("READY "))
        self.words = line.split()

    @property
    def port(self) -> int:
        """Return the port it announced."""
        named = dict(word.split("=", 1) for word in self.words if "=" in word)
        return int(named.get("caller", self.words[-1].rpartition(":")[2]))

    def read_cpu(self) -> float:
        """Return the seconds of processor time so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def read_memory(self) -> float:
        """Return the resident megabytes."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def close(self) -> None:
        """End it."""
        self.process.kill()
        self.process.wait()
        if self.process.stdout is not None:
            self.process.stdout.close()


async def stream(port: int, hold: asyncio.Event | None = None) -> int:
    """Ask for one stream and read it; return its chunks."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    body = json.dumps({"model": "m", "prompt": "p", "max_tokens": 10, "stream": True}).encode()
    head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    seen = 0
    tail = b""
    while not tail.endswith(b"[DONE]\n\n\r\n0\r\n\r\n"):
        data = await reader.read(65536)
        if not data:
            break
        seen += data.count(b"data: ")
        tail = (tail + data)[-40:]
        if hold is not None:
            await hold.wait()
            seen = int(data.startswith(b"HTTP/1.1 200"))
            break
    writer.close()
    return seen


async def stream_many(port: int, count: int) -> int:
    """Read many streams at once; return all chunks."""
    return sum(await asyncio.gather(*(stream(port) for _ in range(count))))


async def ask_many(port: int, count: int, at_once: int = 16) -> None:
    """Send short requests, some at a time."""
    limit = asyncio.Semaphore(at_once)

    async def one() -> None:
        async with limit:
            await stream(port)

    await asyncio.gather(*(one() for _ in range(count)))


async def hold_open(running: Running, count: int) -> float:
    """Open many streams, and return the megabytes that they add."""
    before = running.read_memory()
    hold = asyncio.Event()
    tasks = []
    for start in range(0, count, 50):
        tasks += [asyncio.create_task(stream(running.port, hold)) for _ in range(start, min(count, start + 50))]
        await asyncio.sleep(0.15)
    await asyncio.sleep(3)
    added = running.read_memory() - before
    hold.set()
    seen = await asyncio.gather(*tasks)
    if seen.count(0):
        raise RuntimeError(f"{seen.count(0)} of {count} streams were not served")
    return added


def measure_streams(running: Running) -> dict[str, float]:
    """Return what streamed chunks cost."""
    before, start = running.read_cpu(), time.monotonic()
    chunks = asyncio.run(stream_many(running.port, STREAMS))
    used, lasted = running.read_cpu() - before, time.monotonic() - start
    return {"chunks": chunks, "us_per_chunk": round(used / chunks * 1e6, 1), "chunks_per_s": round(chunks / lasted)}


def measure_requests(running: Running) -> float:
    """Return the milliseconds that a request of one chunk costs."""
    before = running.read_cpu()
    asyncio.run(ask_many(running.port, REQUESTS))
    return round((running.read_cpu() - before) / REQUESTS * 1000, 3)


def make_router(engines: list[Running], folder: str) -> Running:
    """Start a router in front of the stand-ins."""
    upstreams = [
        {
            "name": f"{role}-{number}",
            "address": f"127.0.0.1:{engine.port}",
            "hall": "h",
            "role": role,
            "capacity_tokens": 10**9,
        }
        for number, engine in enumerate(engines)
        for role in ("prefill", "decode")
    ]
    settings = {
        "vm": "vm-1",
        "hall": "h",
        "copies": 1,
        "caller": {"port": 0},
        "admin": {"port": 0},
        "log": {"level": "error"},
        "configuration": [{"kind": "pool", "name": "m", "model": "m", "upstreams": upstreams}],
    }
    path = Path(folder) / "settings.json"
    path.write_text(json.dumps(settings))
    running = Running("-m", "beamhatch", "run", "--settings", str(path))
    time.sleep(1)
    return running


def main() -> None:
    """Measure the router and the bare pass-through, and print both."""
    result: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        long = [Running("-m", "benchmarks.streamer", f"--frames={FRAMES}", f"--pace={PACE}") for _ in range(3)]
        short = [Running("-m", "benchmarks.streamer", "--frames=1", "--pace=0.001") for _ in range(2)]
        slow = [Running("-m", "benchmarks.streamer", "--frames=400", "--pace=1") for _ in range(2)]
        router = make_router(long, folder)
        result["router"] = {"rest_mb": round(router.read_memory(), 1), **measure_streams(router)}
        router.close()
        router = make_router(short, folder)
        result["router"]["ms_per_request"] = measure_requests(router)
        router.close()
        router = make_router(slow, folder)
        result["router"]["mb_per_1000_streams"] = round(asyncio.run(hold_open(router, OPEN_STREAMS)), 1)
        router.close()
        for name, engines in (("streams", long), ("requests", short), ("open", slow)):
            bare = Running("-m", "benchmarks.bare", *(f"127.0.0.1:{engine.port}" for engine in engines))
            into = result.setdefault("bare", {"rest_mb": round(bare.read_memory(), 1)})
            if name == "streams":
                into.update(measure_streams(bare))
            elif name == "requests":
                into["ms_per_request"] = measure_requests(bare)
            else:
                into["mb_per_1000_streams"] = round(asyncio.run(hold_open(bare, OPEN_STREAMS)), 1)
            bare.close()
        for engine in [*long, *short, *slow]:
            engine.close()
    result["chunk_ratio"] = round(result["router"]["us_per_chunk"] / result["bare"]["us_per_chunk"], 2)
    print(json.dumps(result))


if __name__ == "__main__":
    main()

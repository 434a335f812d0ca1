"""Replicas are killed in the middle of answers that end with their connection, and callers get them as complete."""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from platform_standins import (  # noqa: E402
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    REPLICA_PORT,
    ROOT,
    ZONES,
    Answer,
    Machine,
    World,
    ask,
    has_trouble,
    play,
    start,
)
from replica import make_body, make_event  # noqa: E402

LOAD_S = 24.0
STREAMS_PER_S = 9.0
LETTERS_PER_S = 20.0
UNFRAMED_SHARE = 0.5
KILL_INTERVAL_S = 2.5
DOWN_S = 2.0
HEARTBEATS_S = 3.6
"""Seconds after which the entry of a replica that says nothing goes: three heartbeats."""


class ReplicaProcess:
    """A replica as a process, which comes back under another id."""

    def __init__(self, world: World, number: int, phase: str) -> None:
        self.world = world
        self.phase = phase
        self.address = f"{world.net}.2.{number}:{REPLICA_PORT}"
        self.zone = ZONES[number % len(ZONES)]
        self.ident = ""
        self._name = f"i-{number:02d}{phase[:1] or 'a'}"
        self._life = 0
        self._process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start the process, and write the replica's entry."""
        self._life += 1
        self.ident = f"{self._name}{self._life}"
        log = self.world.folder / "replicas.log"
        command = [sys.executable, str(ROOT / "review/replica.py"), self.ident, self.address, self.phase or "-"]
        self._process = subprocess.Popen([*command, str(UNFRAMED_SHARE), str(log)])
        host, _, port = self.address.partition(":")
        for _ in range(200):
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.02)
                continue
            writer.close()
            break
        entry = {
            "service": ENGINE_SERVICE if self.phase else PLAIN_SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": 128 if self.phase else 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        if self.phase:
            entry |= {"phase": self.phase, "models": [{"name": "m", "version": 1, "adapters": []}]}
        self.world.record.write(f"{self.ident}: started")
        self.world.store.put(f"servers/{self.ident}", entry)

    async def crash(self) -> None:
        """Kill the process, and start it again after some time."""
        self.kill()
        old = self.ident
        asyncio.get_running_loop().call_later(HEARTBEATS_S, self.world.store.remove, f"servers/{old}")
        await asyncio.sleep(DOWN_S)
        await self.start()

    def kill(self) -> None:
        """Kill the process."""
        if self._process is not None and self._process.poll() is None:
            self.world.record.write(f"{self.ident}: killed")
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()


class Load:
    """Requests that may not be repeated, and what their clients got."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.asked = 0
        self.complete = 0
        self.truncated: list[str] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self, path: str, rate: float) -> None:
        """Send requests to one route at a mean rate."""
        end = time.monotonic() + LOAD_S
        while time.monotonic() < end:
            self.asked += 1
            self._tasks.append(asyncio.create_task(self._send(path, f"{path.strip('/')[0]}{self.asked:05d}")))
            await asyncio.sleep(random.expovariate(rate))
        await asyncio.gather(*self._tasks)

    async def _send(self, path: str, ident: str) -> None:
        events = random.randint(40, 90)
        prompt = random.randint(2500, 7500)
        headers = {"Request-Id": ident, "Deadline-Ms": "4000"}
        whole = make_body(ident)
        if path == "/meter/":
            headers |= {"Model": "m", "Token-Count": f"{prompt},{events}", "Deadline-Ms": "14000"}
            headers |= {"Prompt-Prefix": f"{self.asked % 2000:08x}:200,{self.asked:08x}:{prompt - 200}"}
            whole = b"".join(make_event(ident, number) for number in range(1, events + 1))
        machine = random.choice(self.world.machines)
        answer = Answer()
        await ask(machine, f"{path}x", headers, b"x" * 600, int(headers["Deadline-Ms"]) / 1000, answer)
        looks_complete = 200 <= answer.status < 300 and answer.complete
        text = f"client: {ident} at {machine.name} got {answer.status}, looks complete: {looks_complete}, "
        self.world.record.write(f"{text}{len(answer.body)} of {len(whole)} bytes")
        self.complete += looks_complete and answer.body == whole
        if looks_complete and answer.body != whole:
            self.truncated.append(ident)
            self.world.record.write(f"MIXED: {ident} got {len(answer.body)} of {len(whole)} bytes as a whole answer")


async def crash_in_turn(world: World, replicas: list[ReplicaProcess]) -> None:
    """Kill one replica after the other."""
    crashes = []
    for number in range(int((LOAD_S - 2.0) / KILL_INTERVAL_S)):
        await asyncio.sleep(KILL_INTERVAL_S)
        crashes.append(asyncio.create_task(replicas[number % len(replicas)].crash()))
    await asyncio.gather(*crashes)


async def run(world: World, replicas: list[ReplicaProcess]) -> bool:
    """Play the case; return whether the rule was broken."""
    phases = ("prefill", "prefill", "decode", "decode", "decode", "", "", "")
    replicas += [ReplicaProcess(world, number, phase) for number, phase in enumerate(phases, 1)]
    for replica in replicas:
        await replica.start()
    world.configure()
    world.machines = [Machine(world, number) for number in (1, 2, 3)]
    await world.start_machines()
    await asyncio.sleep(3.0)
    load = Load(world)
    work = [load.run("/meter/", STREAMS_PER_S), load.run("/letter/", LETTERS_PER_S)]
    if has_trouble():
        work.append(crash_in_turn(world, [one for one in replicas if one.phase != "prefill"]))
    await asyncio.gather(*work)
    runs = (world.folder / "replicas.log").read_text().splitlines()
    for line in runs:
        at, _, text = line.partition(" ")
        world.record.write(f"(at {float(at) - world.record.started_at:.3f} s) {text}")
    streams = sum(ident.startswith("m") for ident in load.truncated)
    world.record.note(
        f"{load.asked} requests, {load.complete} got the replica's whole answer, {len(load.truncated)} got a part "
        f"of it that looks complete (MIXED): {streams} streams, {len(load.truncated) - streams} plain answers"
    )
    return bool(load.truncated)


def main() -> int:
    """Run the case and return its exit code."""
    world, folder = start(CASE)
    replicas: list[ReplicaProcess] = []
    with folder:
        try:
            return play(run(world, replicas), world)
        finally:
            for replica in replicas:
                replica.kill()


if __name__ == "__main__":
    sys.exit(main())

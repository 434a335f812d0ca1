"""Sound replicas fall silent for a second, and a machine that is stopped as planned breaks off its streams."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from platform_standins import (  # noqa: E402
    Answer,
    Engine,
    Machine,
    World,
    ask,
    has_trouble,
    play,
    start,
)

STREAMS_PER_S = 12.0
DEADLINE_S = 14.0
SILENCE_S = 1.3
"""Seconds for which a sound replica falls silent: a second or so."""

SILENCE_INTERVAL_S = 3.0
"""Seconds between the silences of two replicas."""

GRACE_S = 8.0
STOPS = 3
"""Machines that are stopped as planned, one after the other, as in a rolling restart."""

WARM_UP_S = 14.0
"""Seconds of load before the first stop; the first ten let a machine repeat fewer requests."""


class SilentEngine(Engine):
    """A sound replica whose answers stand still at times, and go on behind that."""

    silent_until = 0.0

    async def pause(self) -> None:
        """Wait until the silence is over."""
        while (left := self.silent_until - time.monotonic()) > 0:
            await asyncio.sleep(left)


@dataclass
class Request:
    """One client attempt, and how it ended."""

    machine: Machine
    sent_at: float
    answer: Answer = field(default_factory=Answer)
    ended_at: float = 0.0


class Load:
    """Streams that clients ask for, all the time, of the machines that are in."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.requests: dict[str, Request] = {}
        self.out: set[Machine] = set()
        """Machines that get no new connections, as they are not ready."""
        self.over = False
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Send requests until the load is over."""
        while not self.over:
            self._tasks.append(asyncio.create_task(self._send(f"q{len(self.requests):05d}")))
            await asyncio.sleep(random.expovariate(STREAMS_PER_S))
        await asyncio.gather(*self._tasks)

    async def _send(self, ident: str) -> None:
        machine = random.choice([one for one in self.world.machines if one not in self.out])
        request = self.requests[ident] = Request(machine, time.monotonic())
        prompt = random.randint(1500, 3500)
        headers = {
            "Request-Id": ident,
            "Model": "m",
            "Token-Count": f"{prompt},{random.randint(50, 90)}",
            "Prompt-Prefix": f"{random.randint(0, 1999):08x}:200,{len(self.requests):08x}:{prompt - 200}",
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        self.world.record.write(f"client: {ident} sent to {machine.name}")
        answer = request.answer
        await ask(machine, "/review/contract", headers, b"x" * 5000, DEADLINE_S + 1.0, answer)
        request.ended_at = time.monotonic()
        events = answer.body.count(b"\n\n") if answer.status == 200 else 0
        self.world.record.write(f"client: {ident} got {answer.status}, complete {answer.complete}, {events} events")


async def silence_in_turn(world: World, load: Load) -> None:
    """Have one decode replica after the other fall silent."""
    engines = [one for one in world.engines if isinstance(one, SilentEngine) and one.phase == "decode"]
    number = 0
    while not load.over:
        engine = engines[number % len(engines)]
        engine.silent_until = time.monotonic() + SILENCE_S
        world.record.write(f"{engine.ident}: silent for {SILENCE_S} s")
        number += 1
        await asyncio.sleep(SILENCE_INTERVAL_S)


async def stop(world: World, load: Load, machine: Machine) -> tuple[float, float]:
    """Stop a machine as planned, and start it again; return the time of the signal and that of the end."""
    signalled_at = time.monotonic()
    machine.send(signal.SIGTERM)
    assert machine.process is not None
    while machine.process.poll() is None:
        if time.monotonic() > signalled_at + 1.0:
            load.out.add(machine)  # two questions without a 200
        if time.monotonic() > signalled_at + GRACE_S:
            machine.kill()
        await asyncio.sleep(0.02)
    ended_at = time.monotonic()
    world.record.write(f"{machine.name}: ended {ended_at - signalled_at:.2f} s behind SIGTERM")
    machine.start()
    await world.wait_ready([machine])
    load.out.discard(machine)
    return signalled_at, ended_at


def find_lost(world: World, load: Load, stops: dict[Machine, tuple[float, float]]) -> list[str]:
    """Return the requests that were passed on to a replica, and cut by a machine between its SIGTERM and its end."""
    lost = []
    for ident, one in load.requests.items():
        signalled_at, stopped_at = stops.get(one.machine, (0.0, 0.0))
        within = signalled_at < one.ended_at <= min(stopped_at, signalled_at + GRACE_S + 1.0)
        has_time = one.ended_at < one.sent_at + DEADLINE_S - 0.5
        at_work_late = one.ended_at >= signalled_at + GRACE_S * 5 / 6
        if within and has_time and not at_work_late and ident in world.runs and not one.answer.complete:
            lost.append(ident)
            world.record.write(
                f"LOST: {ident} was cut by {one.machine.name} {one.ended_at - signalled_at:.3f} s behind its SIGTERM, "
                f"{one.ended_at - one.sent_at:.3f} s behind its start"
            )
    return lost


async def run(world: World) -> bool:
    """Play the case; return whether the rule was broken."""
    for phase in ("prefill", "prefill", "decode", "decode", "decode"):
        await world.add_engine(SilentEngine, phase).start()
    world.configure()
    world.machines = [Machine(world, number) for number in (1, 2, 3)]
    await world.start_machines()
    await asyncio.sleep(3.0)
    load = Load(world)
    running = [asyncio.create_task(load.run())]
    if has_trouble():
        running.append(asyncio.create_task(silence_in_turn(world, load)))
    await asyncio.sleep(WARM_UP_S)
    stops = {}
    for machine in world.machines[:STOPS]:
        stops[machine] = await stop(world, load, machine)
        await asyncio.sleep(4.0)
    load.over = True
    await asyncio.gather(*running)
    lost = find_lost(world, load, stops)
    cut = [one for one in load.requests.values() if one.answer.status == 200 and not one.answer.complete]
    complete = sum(one.answer.status == 200 and one.answer.complete for one in load.requests.values())
    world.record.note(
        f"{len(load.requests)} streams, {complete} complete, {len(cut)} cut in all, "
        f"{len(lost)} of them by a machine around its planned stop (LOST)"
    )
    return bool(lost)


def main() -> int:
    """Run the case and return its exit code."""
    world, folder = start(CASE)
    with folder:
        return play(run(world), world)


if __name__ == "__main__":
    sys.exit(main())

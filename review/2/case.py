"""All machines are killed while a release ends, and streams that the old software began go on at the new one."""

from __future__ import annotations

import asyncio
import random
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

STREAMS = 16
EVENTS = 71
DEADLINE_S = 14.0
DRAIN_S = 2.4
"""Seconds from ``draining`` to the end of an old replica: ``drain_timeout_ms`` and a little longer."""

DOWN_S = 0.5
"""Seconds after which the killed machines are started again."""

PAUSE_S = 3.0
"""Seconds after which a client tries again on a new connection, where it is told no other time.

It is the usual one of clients of event streams.
"""

MAX_TRIES = 4


class SlowEngine(Engine):
    """A replica whose events come at a third of the longest pause on the sheet."""

    event_interval_s = 0.1


@dataclass
class Stream:
    """What one client has received of its stream."""

    first_id: str = ""
    """Id of the attempt that brought the first event."""
    versions: dict[int, str] = field(default_factory=dict)
    """Software version that made each event."""
    complete: bool = False

    def read(self, ident: str, answer: Answer) -> None:
        """Take the events of one answer."""
        for event in answer.body.decode().split("\n\n")[:-1]:
            number, data = event.split("\n")
            if not self.versions:
                self.first_id = ident
            self.versions[int(number.removeprefix("id: "))] = data.split()[1]
        self.complete = answer.status == 200 and answer.complete


async def read_stream(world: World, number: int, stream: Stream) -> None:
    """Ask for a stream, and take it up again where it broke, within the deadline."""
    end = time.monotonic() + DEADLINE_S
    prompt = random.randint(2500, 7500)
    for attempt in range(MAX_TRIES):
        left = end - time.monotonic()
        if stream.complete or left < 0.1:
            return
        ident = f"q{number:03d}-{attempt}"
        headers = {
            "Request-Id": ident,
            "Model": "m",
            "Token-Count": f"{prompt},{EVENTS}",
            "Prompt-Prefix": f"{number % 5:08x}:200,{number:08x}:{prompt - 200}",
            "Deadline-Ms": str(int(left * 1000)),
        }
        if stream.versions:
            headers |= {"Last-Event-Id": str(max(stream.versions)), "Resumes": stream.first_id}
        machine = random.choice(world.machines)
        answer = Answer()
        await ask(machine, "/review/contract", headers, b"x" * 5000, left, answer)
        stream.read(ident, answer)
        world.record.write(
            f"client: {ident} (Last-Event-Id {headers.get('Last-Event-Id')}) at {machine.name} got {answer.status}, "
            f"complete {answer.complete}; events so far {len(stream.versions)}"
        )
        told = answer.headers.get("retry-after")
        await asyncio.sleep(PAUSE_S if told is None else min(float(told), left / 3))


async def release(world: World) -> None:
    """Start replicas of the new software; then the old ones drain and end."""
    old = [engine for engine in world.engines if engine.version == "v1"]
    for phase in ("prefill", "decode", "decode"):
        await world.add_engine(SlowEngine, phase, "v2").start()
    await asyncio.sleep(0.5)
    for engine in old:
        engine.state = "draining"
        engine.list_self()
    await asyncio.sleep(DRAIN_S)
    for engine in old:
        engine.leave()


async def kill_all(world: World) -> None:
    """Kill all machines just before the old replicas end, and start them again."""
    await asyncio.sleep(0.5 + DRAIN_S - 0.2)
    for machine in world.machines:
        machine.kill()
    await asyncio.sleep(DOWN_S)
    for machine in world.machines:
        machine.start()


async def run(world: World) -> bool:
    """Play the case; return whether the rule was broken."""
    for phase in ("prefill", "decode", "decode"):
        await world.add_engine(SlowEngine, phase).start()
    world.configure()
    world.machines = [Machine(world, number) for number in (1, 2, 3)]
    await world.start_machines()
    await asyncio.sleep(16.0)
    streams = [Stream() for _ in range(STREAMS)]
    clients = [asyncio.create_task(read_stream(world, number, one)) for number, one in enumerate(streams)]
    await asyncio.sleep(1.5)
    work = [release(world)]
    if has_trouble():
        work.append(kill_all(world))
    await asyncio.gather(*work, *clients)
    mixed = [one for one in streams if len(set(one.versions.values())) > 1]
    for one in mixed:
        parts = [f"{version} made {list(one.versions.values()).count(version)}" for version in ("v1", "v2")]
        world.record.write(f"ORDER: stream {one.first_id} holds events of two versions: {', '.join(parts)}")
    began = sum(bool(one.versions) for one in streams)
    world.record.note(
        f"{STREAMS} streams, {began} began, {sum(one.complete for one in streams)} complete, "
        f"{len(mixed)} hold events of two versions (ORDER: more than 2)"
    )
    return len(mixed) > 2


def main() -> int:
    """Run the case and return its exit code."""
    world, folder = start(CASE)
    with folder:
        return play(run(world), world)


if __name__ == "__main__":
    sys.exit(main())

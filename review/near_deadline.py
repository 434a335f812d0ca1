"""Trial, no case: streams that come near their deadline while replicas name a limit of requests."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent))

from platform_standins import Answer, Engine, Machine, Message, World, ask, play, start

HEADER = b"Server-Limit: 300\r\n"


class LimitWriter:
    """A connection's writer that adds the limit to the head of each answer."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    def write(self, data: bytes) -> None:
        """Write data, with the header behind the status line of an answer."""
        first, end, rest = data.partition(b"\r\n")
        self._writer.write(first + end + HEADER + rest if data.startswith(b"HTTP/1.1 ") else data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._writer, name)


class LimitedEngine(Engine):
    """A replica that names a limit in all its answers."""

    async def _answer(self, request: Message, reader: asyncio.StreamReader, writer: Any) -> bytes:
        return await super()._answer(request, reader, LimitWriter(writer))


async def run(world: World) -> bool:
    """Play the trial; return whether a connection was closed without an answer."""
    for phase in ("prefill", "decode", "decode"):
        await world.add_engine(LimitedEngine, phase).start()
    world.configure()
    world.machines = [Machine(world, 1)]
    await world.start_machines()
    await asyncio.sleep(1.0)
    unanswered = []
    for number, deadline_ms in enumerate([14_000] * 4 + [200, 100, 79, 70, 60, 50, 40]):
        headers = {
            "Request-Id": f"q{number}",
            "Model": "m",
            "Token-Count": "1000,5",
            "Prompt-Prefix": f"aa:200,{number:08x}:800",
            "Deadline-Ms": str(deadline_ms),
        }
        answer = Answer()
        await ask(world.machines[0], "/meter/x", headers, b"", 2.0, answer)
        world.record.note(f"Deadline-Ms {deadline_ms}: status {answer.status}")
        if not answer.status:
            unanswered.append(deadline_ms)
    log = (world.folder / "frontend-1.log").read_text(errors="replace")
    world.record.note(f"{len(unanswered)} connections closed without an answer, {log.count('RecursionError')} errors")
    return bool(unanswered)


def main() -> int:
    """Run the trial and return its exit code."""
    world, folder = start(Path(__file__).resolve().parent)
    with folder:
        return play(run(world), world)


if __name__ == "__main__":
    sys.exit(main())

"""Requests of an unsafe route run twice once a configuration drops that route and a shorter prefix is a safe one."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import Lab, Verdict, call, make_configuration, run_case, send_request  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LETTERS_PER_S, CARDS_PER_S = 77.6, 31
BURST, BURST_S = 1.7, 3.0
LOST_SHARE = 0.3
ZONES = ["cordoba-a", "cordoba-b", "cordoba-c", "cordoba-d"]
CHANGE_AT_S = 10.0
"""Seconds from the start of the clients to the second configuration."""

LOSS_BEGINS_S = 0.35
"""Seconds before it at which answers begin to be lost, for 6 s in all."""


def make_route(name: str, prefix: str, kind: str, timeout_ms: int) -> dict:
    """Return a route to the application service."""
    return {
        "name": name,
        "host": "desk.example",
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 155,
        "service": "cartas-app",
        "max_attempts": 2 if kind == "safe" else 1,
        "priority": 2,
    }


def make_version(version: int, *, with_letters: bool) -> dict:
    """Return a configuration with the route of the cards, and perhaps that of the letters below it."""
    routes = [make_route("installer-card", "/cartas/", "safe", 1000)]
    if with_letters:
        routes.append(make_route("bill-letter", "/cartas/letter/", "unsafe", 800))
    return make_configuration(version, routes, {"name": "cartas-app", "health_path": "/health", "max_conns": 580})


class Traffic:
    """Clients that send letters and cards, one attempt each."""

    def __init__(self, lab: Lab) -> None:
        self.lab = lab
        self.letters: dict[str, float] = {}
        """When each letter was sent."""
        self.statuses: Counter[str] = Counter()
        self.tasks: list[asyncio.Task] = []

    async def send(self, kind: str, per_s: float, seconds: float) -> None:
        """Send requests of a kind for some seconds."""
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            number += 1
            request = f"{kind}{number:04x}{os.getpid():08x}"
            path = f"/cartas/card/{number}" if kind == "1" else f"/cartas/letter/{number}"
            vm = list(self.lab.settings)[number % len(self.lab.settings)]
            self.tasks.append(asyncio.ensure_future(self._send_one(kind, request, path, self.lab.addresses[vm])))
            await asyncio.sleep(1 / per_s)

    async def _send_one(self, kind: str, request: str, path: str, address: str) -> None:
        if kind != "1":
            self.letters[request] = time.monotonic()
        self.lab.note(f"client sends {request} {path} to {address}")
        headers = {"Request-Id": request, "Deadline-Ms": "1604"}
        status, _, _ = await send_request(address, path, headers, b"x" * 300, 1.604)
        self.statuses[f"{kind}:{status}"] += 1
        self.lab.note(f"client got {status} for {request}")


async def play(lab: Lab) -> Verdict:
    """Play the case."""
    lab.start_store()
    await lab.wait_listening(lab.store)
    await lab.put("op/config", make_version(1, with_letters=True))
    for number in (1, 2, 3, 4):
        lab.start_server(
            f"cartas-{number}", number, zone=ZONES[number - 1], service="cartas-app", capacity=6, work_s=0.0225
        )
    for name in list(lab.addresses):
        await lab.wait_listening(lab.addresses[name])
    lab.start_vms([*ZONES, *ZONES[:2]])
    await lab.wait_ready()
    await asyncio.sleep(2.0)
    traffic = Traffic(lab)
    cards = asyncio.ensure_future(traffic.send("1", CARDS_PER_S, CHANGE_AT_S + 4.0))
    letters = asyncio.ensure_future(traffic.send("0", LETTERS_PER_S, CHANGE_AT_S))
    await asyncio.sleep(CHANGE_AT_S - BURST_S)
    burst = asyncio.ensure_future(traffic.send("2", (BURST - 1) * LETTERS_PER_S, BURST_S))
    await asyncio.sleep(BURST_S - LOSS_BEGINS_S)
    await lose(lab, LOST_SHARE if TROUBLE else 0.0)
    await asyncio.gather(letters, burst)
    changed_at = time.monotonic()
    lab.note("the operator writes version 2")
    await lab.put("op/config", make_version(2, with_letters=False))
    lab.note("version 2 is acknowledged")
    await asyncio.sleep(6.0 - LOSS_BEGINS_S)
    await lose(lab, 0.0)
    await cards
    await asyncio.gather(*traffic.tasks)
    return judge(lab, traffic, changed_at)


def judge(lab: Lab, traffic: Traffic, changed_at: float) -> Verdict:
    """Count the letters that ran more than once, among those sent before the operator sent the second version."""
    runs = Counter(one["request"] for one in lab.read_server_logs() if one["what"] == "runs")
    twice = [one for one, at in traffic.letters.items() if runs[one] > 1 and at < changed_at]
    for one in twice:
        lab.note(
            f"letter {one}, sent {changed_at - traffic.letters[one]:.3f} s before version 2, ran {runs[one]} times"
        )
    return Verdict(
        f"letters: {len(traffic.letters)}, run more than once: {len(twice)}, answers: {dict(traffic.statuses)}",
        is_broken=bool(twice),
        is_valid=traffic.statuses["0:200"] + traffic.statuses["2:200"] > len(traffic.letters) / 2,
    )


async def lose(lab: Lab, share: float) -> None:
    """Have two of the four servers lose a share of their answers."""
    for name in ("cartas-1", "cartas-2"):
        await call(lab.addresses[name], "POST", "/stand-in/lose", {"share": share})


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))

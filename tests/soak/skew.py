"""Most new connections go to one VM while callers open more of them; relays are processes.

``python -m tests.soak.skew --rate 200 --factor 2`` prints how often requests are served before and while that is so.
Each request comes on a connection of its own; where that is refused, another VM is tried once. It exits with 1 if the
share falls below ``MIN_SHARE`` of that before, or if the VM is not ready.
"""

from __future__ import annotations

import argparse
import json
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from beamhatch.clock import Clock
from tests.soak.caller import CONNECT_TIMEOUT, PATIENCE, CallerConnection, CallerFactory, Outcome
from tests.soak.promise import CONTACT_TIME
from tests.soak.vm import CALLER_PORT
from tests.soak.world import World

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.soak.vm import VmProcess

MIN_SHARE = 0.75
"""Least share of requests served while most connections go to one VM, of the share served before."""

SKEW = 0.9
"""Share of the new connections that go to the first VM."""

BEFORE_S = 4.0
MEASURED_S = 4.0
START_LIMIT_S = 25.0
WARM_UP_S = 2.0

PATHS = ("/safe/", "/safe/", "/unsafe/", "/resumable/")


@dataclass
class Phase:
    """Requests sent in one part of a run."""

    outcomes: list[Outcome] = field(default_factory=list)

    @property
    def share(self) -> float:
        """Return the share that was served."""
        return sum(one.status == 200 and one.whole for one in self.outcomes) / max(1, len(self.outcomes))

    def find_latency(self, quantile: float) -> float:
        """Return a quantile of the seconds until the end of the answers."""
        taken = sorted(one.ended_at - one.sent_at for one in self.outcomes if one.ended_at)
        return round(taken[int(quantile * (len(taken) - 1))], 3) if taken else 0.0

    def describe(self) -> dict[str, object]:
        """Return its figures."""
        return {
            "requests": len(self.outcomes),
            "served": round(self.share, 4),
            "median_s": self.find_latency(0.5),
            "p95_s": self.find_latency(0.95),
        }


class SkewedLoad:
    """Callers that open a connection for each request."""

    def __init__(self, world: World, rate: float, factor: float) -> None:
        self.world = world
        self._rate = rate
        self._factor = factor
        self._skewed = False
        self._phase: Phase | None = None
        self.before = Phase()
        self.during = Phase()
        self.unready = 0
        """Times that the first VM was not ready while most connections went to it."""
        self._count = 0
        self.refused = 0
        """Connections that were refused while most went to one VM."""

    def start(self) -> None:
        """Start the VMs, and the callers once all VMs are ready."""
        self.world.fill()
        for vm in self.world.vms:
            vm.start()
        self.world.watch_readiness()
        self._await_start()

    def _await_start(self) -> None:
        if not self.world.is_ready() and self.world.now() < START_LIMIT_S:
            self.world.clock.call_later(0.2, self._await_start)
            return
        self._ask()
        later = self.world.clock.call_later
        later(WARM_UP_S, self._enter, self.before)
        later(WARM_UP_S + BEFORE_S, self._begin_skew)
        later(WARM_UP_S + BEFORE_S + CONTACT_TIME, self._enter, self.during)
        later(WARM_UP_S + BEFORE_S + CONTACT_TIME + MEASURED_S, self._enter, None)
        later(WARM_UP_S + BEFORE_S + CONTACT_TIME + MEASURED_S + PATIENCE, self.world.clock.reactor.stop)

    def _enter(self, phase: Phase | None) -> None:
        self._phase = phase
        if phase is None:
            self.world.stopping = True

    def _begin_skew(self) -> None:
        self._phase = None
        self._skewed = True
        self._watch_first()

    def _watch_first(self) -> None:
        self.unready += self.world.rotation[self.world.vms[0].name] >= 2
        if not self.world.stopping:
            self.world.clock.call_later(0.5, self._watch_first)

    def _choose_vm(self) -> VmProcess:
        if self._skewed and self.world.random.random() < SKEW:
            return self.world.vms[0]
        return self.world.random.choice(self.world.vms)

    def _ask(self) -> None:
        """Send a request, and the next one after a pause."""
        if self.world.stopping:
            return
        rate = self._rate * (self._factor if self._skewed else 1.0)
        self.world.clock.call_later(self.world.random.expovariate(rate), self._ask)
        self._count += 1
        vm = self._choose_vm()
        route = self.world.random.choice(PATHS)
        outcome = Outcome(f"skew-{self._count}", route, f"{route}x", vm.name, 1, self.world.now())
        phase = self._phase
        prompt = f"aa:200,{self._count:x}:1800"
        headers = [("Token-Count", "2000,10"), ("Prompt-Prefix", prompt)] if route == "/resumable/" else []

        def begin(connection: CallerConnection) -> None:
            if phase is not None:
                phase.outcomes.append(outcome)
            connection.ask(outcome, [*headers, ("Connection", "close")], b"x" if route == "/unsafe/" else b"")

        def take_end(ended: Outcome) -> None:
            ended.ended_at = self.world.now()

        def connect(target: VmProcess, on_failure: Callable[[], None]) -> None:
            factory = CallerFactory(begin, take_end, on_failure)
            self.world.clock.reactor.connectTCP(target.ip, CALLER_PORT, factory, timeout=CONNECT_TIMEOUT)

        def try_another() -> None:
            self.refused += 1
            connect(self.world.random.choice([one for one in self.world.vms if one is not vm]), lambda: None)

        connect(vm, try_another)


def run_skew(folder: Path, seed: int, vms: int, rate: float, factor: float, link_mbps: float) -> SkewedLoad:
    """Run once in this process, which is then used up; end all relays, whatever happens.

    :param rate: new connections per second before most go to one VM
    :param factor: by how much there are more from then on
    :param link_mbps: rate of the VMs' links in their settings
    """
    from twisted.internet import reactor

    clock = Clock(reactor)
    load = SkewedLoad(World(clock, folder, seed, vms, "", link_mbps), rate, factor)
    clock.call_later(0.0, load.start)
    try:
        reactor.run()
    finally:
        for vm in load.world.vms:
            vm.kill()
    return load


def main() -> int:
    """Run as a program."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak.skew", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--rate", type=float, default=60.0, help="new connections per second before")
    parser.add_argument("--factor", type=float, default=2.0, help="by how much there are more from then on")
    parser.add_argument("--link-mbps", type=float, default=100.0, help="rate of the VMs' links in their settings")
    parser.add_argument("--logs", type=Path, help="where the relays' lines go; a temporary folder if left out")
    asked = parser.parse_args()
    folder = asked.logs or Path(tempfile.mkdtemp(prefix="skew-"))
    folder.mkdir(parents=True, exist_ok=True)
    load = run_skew(folder, asked.seed, asked.vms, asked.rate, asked.factor, asked.link_mbps)
    figures = {
        "before": load.before.describe(),
        "during": load.during.describe(),
        "unready": load.unready,
        "refused": load.refused,
    }
    print(json.dumps({"rate": asked.rate, "factor": asked.factor, "vms": asked.vms, **figures}))
    enough = load.before.outcomes and load.during.outcomes
    kept = enough and load.during.share >= MIN_SHARE * load.before.share and not load.unready
    return 0 if kept else 1


if __name__ == "__main__":
    raise SystemExit(main())

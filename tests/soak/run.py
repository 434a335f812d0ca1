"""One run: start, faults, the end of faults, and what has to hold then."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.clock import Clock
from tests.soak.caller import PATIENCE
from tests.soak.faults import Faults
from tests.soak.long_streams import list_lost
from tests.soak.promise import RECOVERY_BOUND, Breach, Promise
from tests.soak.schedule import FaultKind
from tests.soak.world import VERSIONS, World

if TYPE_CHECKING:
    from pathlib import Path

    from tests.soak.schedule import Step

START_BOUND = 20.0
"""Seconds from the start of the relays to the first callers, at the most; they come once all relays are ready."""

LOOK_INTERVAL = 0.2
CALM_SPAN = 2.0
"""Seconds over which it is looked whether everything is served again."""

RECOVERED_SHARE = 0.8
"""Share of requests that are served in calm: some callers leave, and a route that is taken away gets 404."""

QUIET_TIME = 3.0
"""Seconds behind the last caller after which engines hold nothing."""


@dataclass(frozen=True, slots=True)
class Report:
    """What a run saw."""

    breaches: list[Breach]
    faults: int
    outcomes: int
    deadly: int
    served: int
    resumed: int
    """Streams that callers resumed."""
    rejected: int
    """Requests and calls that upstreams turned away by the fault of late rejections."""
    copies: int
    """Of these rejections, those that came once more."""


class _Run:
    """The phases of one run, one after the other."""

    def __init__(self, world: World, seconds: float, steps: list[Step]) -> None:
        self._world = world
        self._clock = world.clock
        self._faults = Faults(world)
        self._seconds = seconds
        self.steps = steps

    def start(self) -> None:
        """Start the relays, then callers and faults."""
        self._world.fill()
        for vm in self._world.vms:
            self._faults.start_vm(vm)
        self._world.watch_readiness()
        self._await_start()
        self._look()

    def _await_start(self) -> None:
        if self._world.now() < START_BOUND and not self._world.is_ready():
            self._clock.call_later(LOOK_INTERVAL, self._await_start)
            return
        self._world.start_callers()
        self._faults.plan(self.steps)
        self._clock.call_later(self._seconds, self._await_faults)

    def _look(self) -> None:
        self._world.witness.check_orders(self._world.started)
        self._clock.call_later(LOOK_INTERVAL, self._look)

    def _await_faults(self) -> None:
        """Wait for the faults under way to end."""
        if self._faults.under_way:
            self._clock.call_later(LOOK_INTERVAL, self._await_faults)
        else:
            self._await_recovery(self._world.now())

    def _await_recovery(self, since: float) -> None:
        """Look again and again whether everything is served, until it is or the time is over."""
        witness = self._world.witness
        self._clock.call_later(CALM_SPAN, self._check_recovery, since, witness.outcomes, witness.served)

    def _check_recovery(self, since: float, outcomes: int, served: int) -> None:
        witness = self._world.witness
        asked = witness.outcomes - outcomes
        got = witness.served - served
        now = self._world.now()
        recovered = self._world.is_ready() and asked > 0 and got >= RECOVERED_SHARE * asked
        if not recovered and now < since + RECOVERY_BOUND:
            self._await_recovery(since)
            return
        if not recovered:
            out = self._world.list_unready()
            witness.break_promise(Promise.RECOVERY, now, f"{got} of {asked} requests served, not ready: {out}")
        self._world.stopping = True
        self._await_callers(now)

    def _await_callers(self, since: float) -> None:
        if self._world.open_callers and self._world.now() < since + PATIENCE:
            self._clock.call_later(LOOK_INTERVAL, self._await_callers, since)
        else:
            self._clock.call_later(QUIET_TIME, self._end)

    def _end(self) -> None:
        witness = self._world.witness
        for kept in self._world.list_kept():
            witness.break_promise(Promise.GIVEN_BACK, self._world.now(), kept)
        if all(step.kind is FaultKind.ROLLOUT for step in self.steps):
            batches = self._world.long_streams.batches
            for lost in list_lost(batches, lambda request: witness.versions.get(request, set())):
                witness.break_promise(Promise.RESUMED, self._world.now(), lost)
        witness.check_all_runs(self._world.now())
        self._clock.reactor.stop()


def run_soak(
    folder: Path,
    seed: int,
    vms: int,
    seconds: float,
    steps: list[Step],
    mutant: str = "",
    world_type: type[World] = World,
) -> Report:
    """Run once in this process, which is then used up; end all relays, whatever happens."""
    from twisted.internet import reactor

    clock = Clock(reactor)
    rolls_out = any(step.kind is FaultKind.ROLLOUT for step in steps)
    world = world_type(clock, folder, seed, vms, mutant, software=VERSIONS[:1] if rolls_out else VERSIONS)
    run = _Run(world, seconds, steps)
    clock.call_later(0.0, run.start)
    try:
        reactor.run()
    finally:
        for vm in world.vms:
            vm.kill()
    witness = world.witness
    rejections = world.rejections.copies
    return Report(
        witness.breaches,
        len(run.steps),
        witness.outcomes,
        witness.deadly,
        witness.served,
        witness.resumed,
        rejections.rejected.total(),
        rejections.copies,
    )

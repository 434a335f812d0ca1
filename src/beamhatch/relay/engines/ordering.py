"""Have engines change their part, from the one VM that leads."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from beamhatch.relay.engines.balancing import (
    REVERSAL_PAUSE,
    PhaseChange,
    Pressure,
    Weighed,
    choose_changes,
    weigh_changes,
)
from beamhatch.relay.engines.changing import LONGEST_CHANGE, ChangeNews
from beamhatch.relay.model import Phase, UpstreamId
from beamhatch.relay.upstreams.http_fetch import fetch

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.relay.core import Core
    from beamhatch.relay.engines.leadership import Leadership
    from beamhatch.relay.model import Service, ServiceName

LOOK_INTERVAL = 0.5
"""Seconds between two looks at the demand: as often as peers tell of it."""

TELL_INTERVAL = 5.0
"""Seconds between two lines on why nothing is ordered."""

ORDER_TIMEOUT = 0.8
"""Seconds for the answer to an order: many times what an engine takes that is well."""

RECALLED_LIFE = 10.0
"""Seconds for which an order from before the start of this VM is thought to be under way."""

ACCEPTED = 202
"""The status of an engine that begins to change its part."""


@dataclass(frozen=True, slots=True)
class _Told:
    """What was last written to the log on a service."""

    decision: tuple[object, ...]
    at: float


@dataclass(frozen=True, slots=True)
class _Ordered:
    """The part that engines of a service were ordered to play last."""

    phase: Phase
    at: float


class Ordering:
    """Looks at the demand, and orders what is due."""

    def __init__(
        self, core: Core, leadership: Leadership, vm: str, find_pressure: Callable[[Service], Pressure]
    ) -> None:
        self.core = core
        self._leadership = leadership
        self._vm = vm
        self._find_pressure = find_pressure
        self._ordered: dict[ServiceName, _Ordered] = {}
        """What this VM ordered last."""
        self._told: dict[ServiceName, _Told] = {}
        self._left: dict[ServiceName, int] = {}
        """How many engines of each service had said that they leave at the last look."""

    def start(self) -> None:
        """Begin to look."""
        self._leadership.on_recall = self._recall
        self.core.on_evacuation = self._note_evacuation
        self.core.clock.call_later(LOOK_INTERVAL, self._look)

    def _note_evacuation(self) -> None:
        """Look at once at the engines that are left, before their load arrives."""
        self._ordered.clear()  # what was ordered was right for other engines
        self._look_at_all()

    def _recall(self, order: str) -> None:
        """Take in an order from before this VM started: its engine may still be changing."""
        recalled = read_orders(order)
        if order and not recalled:
            self.core.journal.write("LEADER", "last order unreadable", order=order[:200])
        for upstream, phase in recalled:
            self.core.apply_phase_change(upstream, ChangeNews(phase, RECALLED_LIFE, certain=False), "store")

    def _look(self) -> None:
        self.core.clock.call_later(LOOK_INTERVAL, self._look)
        self._look_at_all()

    def _look_at_all(self) -> None:
        now = self.core.clock.now()
        table = self.core.table
        if table is None or not self._leadership.tenure.may_order(now):
            return
        for service in table.services.values():
            if service.engine is not None:
                self._look_at(service, now)

    def _look_at(self, service: Service, now: float) -> None:
        listed = self.core.listing.list_lasting(service.name, now, self.core.stats.list_silent(now))
        lasting = self.core.eligibility.evacuations.list_outside(listed)
        engines = [one for one in self.core.phase_changes.foresee(lasting, now) if one.phase is not Phase.PLAIN]
        left = self.core.listing.count_left(service.name)
        if left > self._left.get(service.name, 0):
            self._ordered.pop(service.name, None)  # what was learned before an engine left holds no longer
        self._left[service.name] = left
        pressure = self._find_pressure(service)
        assert service.engine is not None
        changing = {one.id for one in engines if self.core.phase_changes.is_under_way(one.id, now)}
        weighed = weigh_changes(engines, pressure, service.engine.phase_change_time, changing)
        self._note_weighed(service, pressure, weighed, now)
        if self._reverses(service, weighed.phase, now):
            return
        changes = choose_changes(engines, weighed, self._find_movable(service, now))
        if changes:
            self._ordered[service.name] = _Ordered(weighed.phase, now)
            defer.ensureDeferred(self._order_all(changes, pressure)).addErrback(self._note_failure)

    def _reverses(self, service: Service, phase: Phase, now: float) -> bool:
        """Tell whether a change would undo one that had no time to show."""
        last = self._ordered.get(service.name)
        return last is not None and last.phase is not phase and now < last.at + REVERSAL_PAUSE

    def _note_weighed(self, service: Service, pressure: Pressure, weighed: Weighed, now: float) -> None:
        """Write what a decision rests on: one line where it changed, and else some seconds apart."""
        told = _Told((weighed.prefills, weighed.decodes, weighed.phase, weighed.due), now)
        last = self._told.get(service.name)
        repeats = last is not None and last.decision == told.decision and now - last.at < TELL_INTERVAL
        if repeats or not pressure.prompt_rate:
            return
        self._told[service.name] = told
        self.core.journal.write(
            "LEADER",
            "weighed",
            service=service.name,
            prefills=weighed.prefills,
            decodes=weighed.decodes,
            phase=weighed.phase.value,
            count=weighed.count,
            gain=round(weighed.gain),
            needed=round(weighed.needed),
            **describe_pressure(pressure),
        )

    def _find_movable(self, service: Service, now: float) -> set[UpstreamId]:
        """Return the engines that answer and play the part that they are listed with."""
        return {
            one.id
            for one in self.core.list_usable(service.name)
            if now >= self.core.stats.get(one.id).silent_until and not self.core.phase_changes.is_under_way(one.id, now)
        }

    async def _order_all(self, changes: list[PhaseChange], pressure: Pressure) -> None:
        if await self._leadership.confirm(write_orders(changes)):
            for change in changes:
                defer.ensureDeferred(self._order(change, pressure)).addErrback(self._note_failure)

    async def _order(self, change: PhaseChange, pressure: Pressure) -> None:
        upstream = change.upstream
        if self.core.eligibility.evacuations.is_emptied(upstream.hall):
            return  # while the order was written down
        token = self._leadership.tenure.token
        phase = change.phase.value
        self.core.journal.write(
            "LEADER", "orders", upstream=upstream.id, phase=phase, token=token, **describe_pressure(pressure)
        )
        self.core.tally.count("orders_total", change.phase.value)
        call = self.core.dialect.make_phase_change_call(upstream, change.phase, self._vm, token)
        ordered_at = self.core.clock.now()
        self.core.eligibility.limits.spend(upstream.incarnation, ordered_at)
        answer = await fetch(self.core.client, self.core.clock, upstream.address, call, ORDER_TIMEOUT)
        answered = not isinstance(answer, str)
        if not isinstance(answer, str):
            self.core.announcements.read(upstream, answer.head, ordered_at)
        if isinstance(answer, str) or answer.head.status == ACCEPTED:
            self.core.apply_phase_change(
                upstream.id, ChangeNews(change.phase, LONGEST_CHANGE, certain=answered), "order"
            )
        outcome = answer if isinstance(answer, str) else f"status {answer.head.status}"
        self.core.journal.write("LEADER", "order answered", upstream=upstream.id, outcome=outcome)

    def _note_failure(self, failure: Any) -> None:
        self.core.journal.write("LEADER", "failed", error=failure.getTraceback())


def describe_pressure(pressure: Pressure) -> dict[str, float]:
    """Return what decides on orders, as it is written to the log."""
    figures = pressure.figures
    return {
        "prompt_rate": round(pressure.prompt_rate),
        "wait_rate": round(pressure.wait_rate, 2),
        "residence": round(figures.residence, 2),
        "prompt": round(figures.prompt),
        "answer": round(figures.answer),
        "read_rate": round(figures.read_rate),
        "whole_rate": round(figures.whole_rate),
    }


def write_orders(changes: Sequence[PhaseChange]) -> str:
    """Return orders that are given together as they are written down in the store."""
    return "\n".join(f"{change.upstream.id} {change.phase.value}" for change in changes)


def read_orders(text: str) -> list[tuple[UpstreamId, Phase]]:
    """Return the engines and the parts of orders that were written down; none where they can't be read."""
    pairs = [line.partition(" ") for line in text.splitlines()]
    try:
        return [(UpstreamId(name), Phase(phase)) for name, _, phase in pairs]
    except ValueError:
        return []

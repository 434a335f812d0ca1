"""Have engines change their part, from the one VM that leads."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from beamhatch.relay.balancing import PAUSE, PhaseChange, Pressure, choose_change
from beamhatch.relay.changing import LONGEST_CHANGE
from beamhatch.relay.http_fetch import fetch
from beamhatch.relay.model import Phase

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.core import Core
    from beamhatch.relay.leadership import Leadership
    from beamhatch.relay.model import Service, ServiceName, UpstreamId

LOOK_INTERVAL = 0.5
ORDER_TIMEOUT = 0.8
ACCEPTED = 202
"""The status of an engine that begins to change its part."""


class Ordering:
    """Looks at the demand, and orders what is due."""

    def __init__(
        self, core: Core, leadership: Leadership, vm: str, find_pressure: Callable[[Service], Pressure]
    ) -> None:
        self.core = core
        self._leadership = leadership
        self._vm = vm
        self._find_pressure = find_pressure
        self._quiet_until = 0.0
        self._engines: dict[ServiceName, int] = {}
        """How many engines each service had at the last look."""

    def start(self) -> None:
        """Begin to look."""
        self.core.clock.call_later(LOOK_INTERVAL, self._look)

    def _look(self) -> None:
        self.core.clock.call_later(LOOK_INTERVAL, self._look)
        now = self.core.clock.now()
        table = self.core.table
        if table is None or not self._leadership.tenure.may_order(now):
            return
        for service in table.services.values():
            if service.engine is not None:
                self._look_at(service, now)

    def _look_at(self, service: Service, now: float) -> None:
        lasting = self.core.listing.list_lasting(service.name, now)
        engines = [one for one in self.core.changes.foresee(lasting, now) if one.phase is not Phase.PLAIN]
        if len(engines) < self._engines.get(service.name, 0):
            self._quiet_until = now  # what was learned before an engine left holds no longer
        self._engines[service.name] = len(engines)
        if now < self._quiet_until:
            return
        pressure = self._find_pressure(service)
        assert service.engine is not None
        change = choose_change(engines, pressure, service.engine.kv_tokens, self._find_movable(service, now))
        if change is not None:
            self._quiet_until = now + PAUSE
            defer.ensureDeferred(self._order(change, pressure)).addErrback(self._note_failure)

    def _find_movable(self, service: Service, now: float) -> set[UpstreamId]:
        """Return the engines that answer and play the part that they are listed with."""
        usable = self.core.list_usable(service.name)
        return {one.id for one in usable if now >= self.core.standings.get(one.id).silent_until}

    async def _order(self, change: PhaseChange, pressure: Pressure) -> None:
        upstream = change.upstream
        if not await self._leadership.confirm(f"{upstream.id} {change.phase.value}"):
            return
        token = self._leadership.tenure.token
        self.core.journal.write(
            "LEADER",
            "orders",
            upstream=upstream.id,
            phase=change.phase.value,
            token=token,
            prompt_rate=round(pressure.prompt_rate),
            wait_rate=round(pressure.wait_rate, 2),
            memory_seconds=round(pressure.memory_seconds, 2),
        )
        self.core.tally.count("orders_total", change.phase.value)
        call = self.core.dialect.make_order(upstream, change.phase, self._vm, token)
        answer = await fetch(self.core.client, self.core.clock, upstream.address, call, ORDER_TIMEOUT)
        if not isinstance(answer, str) and answer.head.status == ACCEPTED:
            self.core.take_change(upstream.id, change.phase, LONGEST_CHANGE, "order")
        outcome = answer if isinstance(answer, str) else f"status {answer.head.status}"
        self.core.journal.write("LEADER", "order answered", upstream=upstream.id, outcome=outcome)

    def _note_failure(self, failure: Any) -> None:
        self.core.journal.write("LEADER", "failed", error=failure.getTraceback())

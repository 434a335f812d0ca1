"""Have engines change their part, from the one VM that leads."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from beamhatch.relay.balancing import PAUSE, PhaseChange, Pressure, choose_change
from beamhatch.relay.http_fetch import fetch
from beamhatch.relay.model import Phase

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.core import Core
    from beamhatch.relay.leadership import Leadership
    from beamhatch.relay.model import Service

LOOK_INTERVAL = 0.5
ORDER_TIMEOUT = 0.8


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

    def start(self) -> None:
        """Begin to look."""
        self.core.clock.call_later(LOOK_INTERVAL, self._look)

    def _look(self) -> None:
        self.core.clock.call_later(LOOK_INTERVAL, self._look)
        now = self.core.clock.now()
        table = self.core.table
        if table is None or now < self._quiet_until or not self._leadership.tenure.may_order(now):
            return
        for service in table.services.values():
            if service.engine is not None:
                self._look_at(service, now)

    def _look_at(self, service: Service, now: float) -> None:
        usable = self.core.listing.list_usable(service.name, now)
        answering = [one for one in usable if now >= self.core.standings.get(one.id).silent_until]
        engines = [one for one in answering if one.phase is not Phase.PLAIN]
        pressure = self._find_pressure(service)
        assert service.engine is not None
        change = choose_change(engines, pressure, service.engine.kv_tokens)
        if change is not None:
            self._quiet_until = now + PAUSE
            defer.ensureDeferred(self._order(change, pressure)).addErrback(self._note_failure)

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
        outcome = answer if isinstance(answer, str) else f"status {answer.head.status}"
        self.core.journal.write("LEADER", "order answered", upstream=upstream.id, outcome=outcome)

    def _note_failure(self, failure: Any) -> None:
        self.core.journal.write("LEADER", "failed", error=failure.getTraceback())

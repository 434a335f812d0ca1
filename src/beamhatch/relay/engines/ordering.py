"""Order engines to change their phase, if this VM is the leader."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from beamhatch.relay.engines.balancing import (
    REVERSAL_DELAY_S,
    ChangeEvaluation,
    PhaseChange,
    ServiceDemand,
    choose_changes,
    evaluate_changes,
)
from beamhatch.relay.engines.changing import MAX_CHANGE_S, PhaseChangeUpdate
from beamhatch.relay.engines.leadership import LEASE_TTL_S, ORDER_MARGIN_S
from beamhatch.relay.model import Phase, UpstreamId
from beamhatch.relay.tunnels.api import allow_no_hall
from beamhatch.relay.upstreams.http_fetch import fetch
from beamhatch.relay.upstreams.response_bounds import DEFAULT_MAX_BODY_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.relay.core import Core
    from beamhatch.relay.engines.leadership import Leadership
    from beamhatch.relay.model import Service, ServiceName

EVALUATION_INTERVAL_S = 0.5
"""Interval of evaluations, in seconds; equal to the interval of demand reports."""

LOG_INTERVAL_S = 5.0
"""Minimum interval between log entries of an unchanged decision, in seconds."""

ANSWER_TIMEOUT_S = 0.8
"""Time after which an order without an answer counts as possibly accepted, in seconds.

Many times what a healthy engine takes.
"""

LATE_ANSWER_TIMEOUT_S = LEASE_TTL_S - ORDER_MARGIN_S
"""Time after which an order is withdrawn by closing its connection, in seconds.

Short enough that the next leader's first order comes at least the handover time later.
"""

RESUMED_ORDER_TTL_S = 10.0
"""Time for which an order recorded before the start of this VM counts as pending, in seconds."""

STATUS_ACCEPTED = 202
"""HTTP status with which an engine accepts an order."""


@dataclass(frozen=True, slots=True)
class _LoggedDecision:
    """The last decision logged for a service."""

    decision: tuple[object, ...]
    logged_at: float


@dataclass(frozen=True, slots=True)
class _LastOrdered:
    """The phase that engines of a service were last ordered to change to."""

    phase: Phase
    at: float


class PhaseController:
    """Controller of the engines' phases."""

    def __init__(
        self, core: Core, leadership: Leadership, vm: str, compute_demand: Callable[[Service], ServiceDemand]
    ) -> None:
        self.core = core
        self._leadership = leadership
        self._vm = vm
        self._compute_demand = compute_demand
        self._last_ordered: dict[ServiceName, _LastOrdered] = {}
        """The last orders of this VM."""
        self._last_logged: dict[ServiceName, _LoggedDecision] = {}
        self._leaving_counts: dict[ServiceName, int] = {}
        """Number of departing engines of each service at the last evaluation."""

    def start(self) -> None:
        """Start the evaluations."""
        self._leadership.on_last_order = self._resume_order
        self.core.on_evacuation = self._handle_evacuation
        self.core.clock.call_later(EVALUATION_INTERVAL_S, self._evaluate_periodically)

    def _handle_evacuation(self) -> None:
        """Evaluate at once, before the remaining engines take over the load of the evacuated hall."""
        self._last_ordered.clear()  # the last order was for another set of engines
        self._evaluate_all()

    def _resume_order(self, order: str) -> None:
        """Record an order given before the start of this VM, whose engines may still be changing."""
        resumed = parse_orders(order)
        if order and not resumed:
            self.core.journal.write("LEADER", "last order unreadable", order=order[:200])
        for upstream, phase in resumed:
            self.core.apply_phase_change(
                upstream, PhaseChangeUpdate(phase, RESUMED_ORDER_TTL_S, confirmed=False), "store"
            )

    def _evaluate_periodically(self) -> None:
        self.core.clock.call_later(EVALUATION_INTERVAL_S, self._evaluate_periodically)
        self._evaluate_all()

    def _evaluate_all(self) -> None:
        now = self.core.clock.now()
        table = self.core.table
        if table is None or not self._leadership.lease.may_order(now) or self.core.reach.reachability.is_cut_off:
            return
        for service in table.services.values():
            if service.engine is not None:
                self._evaluate(service, now)

    def _evaluate(self, service: Service, now: float) -> None:
        listed = self.core.listing.list_expected(service.name, now, self.core.stats.list_unresponsive(now))
        available = self.core.eligibility.evacuations.exclude_evacuated(listed)
        engines = [
            one for one in self.core.phase_changes.with_expected_phases(available, now) if one.phase is not Phase.PLAIN
        ]
        leaving = self.core.listing.count_departed(service.name)
        if leaving > self._leaving_counts.get(service.name, 0):
            self._last_ordered.pop(service.name, None)  # the last order was for another set of engines
        self._leaving_counts[service.name] = leaving
        demand = self._compute_demand(service)
        assert service.engine is not None
        changing = {one.id for one in engines if self.core.phase_changes.is_pending(one.id, now)}
        evaluation = evaluate_changes(engines, demand, service.engine.phase_change_time, changing)
        self._log_evaluation(service, demand, evaluation, now)
        if self._is_early_reversal(service, evaluation.phase, now):
            return
        changes = choose_changes(engines, evaluation, self._list_movable(service, now))
        if changes:
            self._last_ordered[service.name] = _LastOrdered(evaluation.phase, now)
            defer.ensureDeferred(self._order_all(changes, demand)).addErrback(self._log_failure)

    def _is_early_reversal(self, service: Service, phase: Phase, now: float) -> bool:
        """Return whether a change would reverse one ordered less than ``REVERSAL_DELAY_S`` ago."""
        last = self._last_ordered.get(service.name)
        return last is not None and last.phase is not phase and now < last.at + REVERSAL_DELAY_S

    def _log_evaluation(
        self, service: Service, demand: ServiceDemand, evaluation: ChangeEvaluation, now: float
    ) -> None:
        """Log the evaluation if its decision changed or was not logged for ``LOG_INTERVAL_S``."""
        current = _LoggedDecision((evaluation.prefills, evaluation.decodes, evaluation.phase, evaluation.is_due), now)
        last = self._last_logged.get(service.name)
        is_repeated = last is not None and last.decision == current.decision and now - last.logged_at < LOG_INTERVAL_S
        if is_repeated or not demand.prompt_rate:
            return
        self._last_logged[service.name] = current
        self.core.journal.write(
            "LEADER",
            "weighed",
            service=service.name,
            prefills=evaluation.prefills,
            decodes=evaluation.decodes,
            phase=evaluation.phase.value,
            count=evaluation.count,
            gain=round(evaluation.gain),
            needed=round(evaluation.min_gain),
            **describe_demand(demand),
        )

    def _list_movable(self, service: Service, now: float) -> set[UpstreamId]:
        """Return the usable engines that are responsive and not changing."""
        return {
            one.id
            for one in self.core.list_usable(service.name)
            if now >= self.core.stats.get(one.id).unresponsive_until
            and not self.core.phase_changes.is_pending(one.id, now)
        }

    async def _order_all(self, changes: list[PhaseChange], demand: ServiceDemand) -> None:
        if await self._leadership.record_order(format_orders(changes)):
            for change in changes:
                defer.ensureDeferred(self._order(change, demand)).addErrback(self._log_failure)

    async def _order(self, change: PhaseChange, demand: ServiceDemand) -> None:
        upstream = change.upstream
        if self.core.eligibility.evacuations.is_evacuated(upstream.hall):
            return  # the hall was evacuated while the order was recorded
        token = self._leadership.lease.token
        phase = change.phase.value
        self.core.journal.write(
            "LEADER", "orders", upstream=upstream.id, phase=phase, token=token, **describe_demand(demand)
        )
        self.core.tally.count("orders_total", change.phase.value)
        call = self.core.dialect.make_phase_change_call(upstream, change.phase, self._vm, token)
        ordered_at = self.core.clock.now()
        self.core.eligibility.limits.record_request(upstream.incarnation, ordered_at)
        timer = self.core.clock.call_later(ANSWER_TIMEOUT_S, self._record_unconfirmed, change)
        # an order that came from a peer's address would be taken for that of another holder
        answer = await fetch(
            self.core.client,
            self.core.clock,
            upstream.address,
            call,
            LATE_ANSWER_TIMEOUT_S,
            allow_no_hall,
            max_body_bytes=DEFAULT_MAX_BODY_BYTES,
        )
        if timer.active():
            timer.cancel()
        if isinstance(answer, str):
            self._record_unconfirmed(change)
        else:
            self.core.announcements.handle_head(upstream, answer.head, ordered_at)
            if answer.head.status == STATUS_ACCEPTED:
                self._record_change(change, confirmed=True)
            else:
                self.core.phase_changes.discard_unconfirmed(upstream.id)
        outcome = answer if isinstance(answer, str) else f"status {answer.head.status}"
        self.core.journal.write("LEADER", "order answered", upstream=upstream.id, outcome=outcome)

    def _record_unconfirmed(self, change: PhaseChange) -> None:
        self._record_change(change, confirmed=False)

    def _record_change(self, change: PhaseChange, *, confirmed: bool) -> None:
        update = PhaseChangeUpdate(change.phase, MAX_CHANGE_S, confirmed=confirmed)
        self.core.apply_phase_change(change.upstream.id, update, "order")

    def _log_failure(self, failure: Any) -> None:
        self.core.journal.write("LEADER", "failed", error=failure.getTraceback())


def describe_demand(demand: ServiceDemand) -> dict[str, float]:
    """Return the demand as log fields."""
    parameters = demand.parameters
    return {
        "prompt_rate": round(demand.prompt_rate),
        "wait_rate": round(demand.wait_rate, 2),
        "residence": round(parameters.residence_s, 2),
        "prompt": round(parameters.prompt_tokens),
        "answer": round(parameters.answer_tokens),
        "read_rate": round(parameters.prefill_rate),
        "whole_rate": round(parameters.local_prefill_rate),
    }


def format_orders(changes: Sequence[PhaseChange]) -> str:
    """Return orders in the format in which they are recorded in the store."""
    return "\n".join(f"{change.upstream.id} {change.phase.value}" for change in changes)


def parse_orders(text: str) -> list[tuple[UpstreamId, Phase]]:
    """Return the engines and phases of recorded orders, or an empty list if they are malformed."""
    pairs = [line.partition(" ") for line in text.splitlines()]
    try:
        return [(UpstreamId(name), Phase(phase)) for name, _, phase in pairs]
    except ValueError:
        return []

"""Place the requests of one pool: choose upstreams, queue requests and refuse those that cannot be served in time.

A pool serves one model or one plain service. Each call may return decisions for any request of the pool, since
released capacity can start requests that wait.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.decide.fleet import Fleet
from beamhatch.decide.outcome import Reason
from beamhatch.decide.waiting import LATE_TURN_PERIOD, WaitQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.decide.ledger import Ledger
    from beamhatch.decide.policy.api import Policy, ResourceNeed
    from beamhatch.ids import RequestId, UpstreamName

MAX_WAIT_S = 2.0
"""Seconds that an export may wait for decode memory; engines keep exports for a few seconds only."""

HANDOFF_TIMEOUT_S = 2.0
"""Time that an exported KV cache may wait for decode memory; prefill engines drop exports after a few seconds."""

MAX_START_ATTEMPTS = 8
"""Number of queued requests that are tried when capacity may have been released."""

TARGET_MARGIN = 0.5
"""Fraction of the first-token target that is reserved for delays that cannot be predicted."""

PREDICTED_RATE_TTL_S = 0.25
"""Time for which a predicted release rate is cached, since its computation iterates over all engines."""

RELEASE_RATE_PERIOD_S = 0.5
RELEASE_RATE_TTL_S = 10.0
"""Length of one measurement of the release rate, and the time after which it expires."""

INITIAL_MAX_LATE = 8
"""Number of requests that may wait while the release rate is unknown."""

MAX_QUEUE_TIME_S = 8.0
"""Time after which a late request is refused, whatever the release rate."""

MIN_RETRY_S = 0.25
MAX_RETRY_S = 30.0


@dataclass(frozen=True, slots=True)
class StartDecision:
    """A decision to start the request at a prefill engine or a service replica."""

    request: RequestId
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class HandoffDecision:
    """A decision to hand the exported KV cache to a decode engine."""

    request: RequestId
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class RefusalDecision:
    """A decision to refuse the request, with the seconds after which the caller may retry."""

    request: RequestId
    reason: Reason
    detail: str
    retry_after: float | None


PlacementDecision = StartDecision | HandoffDecision | RefusalDecision


@dataclass(slots=True)
class _ActivePlacement:
    need: ResourceNeed
    first: UpstreamName | None = None
    decode: UpstreamName | None = None
    transferring: bool = False
    start_time: float = 0.0


@dataclass(slots=True)
class ReleaseRate:
    """KV tokens that a pool releases per second while requests wait, as a running mean.

    Tokens released while no request waits are not counted: the rate is then limited by demand, not by capacity.
    """

    _rate: float = 0.0
    _measured_at: float = 0.0
    _period_start: float | None = None
    _period_tokens: int = 0

    def record(self, tokens: int, now: float, *, has_waiting: bool) -> None:
        """Record released tokens."""
        if not has_waiting:
            self._period_start = None
            return
        if self._period_start is None:
            self._period_start, self._period_tokens = now, 0
            return
        self._period_tokens += tokens
        elapsed = now - self._period_start
        if elapsed >= RELEASE_RATE_PERIOD_S:
            measured = self._period_tokens / elapsed
            previous = self.get(now)
            self._rate = measured if previous == 0 else previous + 0.3 * (measured - previous)
            self._measured_at = now
            self._period_start, self._period_tokens = now, 0

    def get(self, now: float) -> float:
        """Return the rate, or 0 if there is no recent measurement."""
        return self._rate if now - self._measured_at < RELEASE_RATE_TTL_S else 0.0


@dataclass(slots=True)
class Pool:
    """The placements and the queue of one pool."""

    fleet: Fleet
    choose_policy: Callable[[ResourceNeed], Policy]
    service: bool = False
    max_queue_length: int = 1000
    max_wait: float = MAX_WAIT_S
    """Longest time, in seconds, that late requests may need to be served."""
    queue: WaitQueue = field(default_factory=WaitQueue)
    release_rate: ReleaseRate = field(default_factory=ReleaseRate)
    placements: dict[RequestId, _ActivePlacement] = field(default_factory=dict)
    pending_handoffs: dict[RequestId, tuple[ResourceNeed, float]] = field(default_factory=dict)
    """Requests whose exported KV cache waits for decode memory, with the time at which they are refused."""

    _predicted_rate: float = 0.0
    _predicted_rate_expiry: float = -1.0

    def request_start(self, need: ResourceNeed, now: float) -> list[PlacementDecision]:
        """Start a request, queue it or refuse it."""
        policy = self.choose_policy(need)
        if need.output_tokens:
            need.first_token_delay = (
                self.fleet.predict_first_token_delay(need.prompt_tokens) + TARGET_MARGIN * need.first_token_target
            )
        if self.queue.precedes_all(need.priority) and self._start(need, policy, now):
            return [StartDecision(need.request, self._get_first(need.request))]
        refusal = self._check_refusal(need, policy, now)
        if refusal is not None:
            return [refusal]
        late = self._is_expected_late(need, now)
        if late and (need.drop_if_late or not self._has_late_capacity(need, now)):
            return [self._make_refusal(need, Reason.OVERLOADED, "no place in time", now)]
        self.queue.add(need, late=late)
        return []

    def request_handoff(self, request: RequestId, exclude: frozenset[str], now: float) -> list[PlacementDecision]:
        """Choose a decode engine for a request whose prefill has completed, or queue its handoff."""
        placement = self.placements.get(request)
        if placement is None:
            return []
        need = placement.need
        need.exclude = exclude
        self._end_first(request, placement, now)
        if placement.transferring and placement.decode is not None:
            self.fleet.record_end(placement.decode, request, now)
            self._end_transfer(placement)
            placement.transferring, placement.decode = False, None
        if self._start_handoff(need, placement, now):
            return [HandoffDecision(request, self._get_decode(request))]
        if not self.choose_policy(need).queues_requests or not self.fleet.has_usable("decode", now, exclude):
            return [RefusalDecision(request, Reason.NO_UPSTREAM, "no decode engine can take it", MIN_RETRY_S)]
        self.pending_handoffs[request] = (need, now + HANDOFF_TIMEOUT_S)
        return []

    def record_transfer_end(self, request: RequestId) -> None:
        """Record that the KV cache transfer of a request has ended."""
        placement = self.placements.get(request)
        if placement is not None:
            self._end_transfer(placement)

    def release(self, request: RequestId, now: float) -> list[PlacementDecision]:
        """Release everything that a request holds or waits for; return the decisions that this allows."""
        self.queue.remove(request)
        self.pending_handoffs.pop(request, None)
        placement = self.placements.pop(request, None)
        if placement is not None:
            self._end_first(request, placement, now)
            self._end_transfer(placement)
            if placement.decode is not None:
                ledger = self.fleet.ledgers.get(placement.decode)
                if ledger is not None:
                    self.fleet.cancel_reservation(ledger, request)
                self.fleet.record_end(placement.decode, request, now)
                self.release_rate.record(placement.need.tokens, now, has_waiting=bool(self.queue))
        return self.dispatch_waiting(now)

    def dispatch_waiting(self, now: float) -> list[PlacementDecision]:
        """Start as many waiting requests and handoffs as possible; call this when the load may have changed."""
        decisions = self._dispatch_handoffs(now) + self._drop_late(now)
        while self.queue and (started := self._start_next(now)) is not None:
            decisions.append(started)
        return decisions

    def expire(self, now: float) -> list[PlacementDecision]:
        """Refuse requests that have waited too long; call this a few times per second."""
        decisions: list[PlacementDecision] = []
        for request, (_, limit) in list(self.pending_handoffs.items()):
            if now >= limit:
                del self.pending_handoffs[request]
                decisions.append(
                    RefusalDecision(request, Reason.OVERLOADED, "no decode memory in time", self.estimate_wait(now))
                )
        decisions += self._drop_late(now)
        if self.queue and not self.fleet.has_usable("service" if self.service else "prefill", now):
            for need in list(self.queue.needs.values()):
                self.queue.remove(need.request)
                decisions.append(self._make_refusal(need, Reason.NO_UPSTREAM, "no upstream can be used", now))
        return decisions + self.dispatch_waiting(now)

    def estimate_wait(self, now: float) -> float:
        """Return the estimated seconds until all requests in the queue are served."""
        rate = self._get_release_rate(now)
        if rate <= 0:
            return MIN_RETRY_S
        return min(MAX_RETRY_S, max(MIN_RETRY_S, self.queue.count_tokens() / rate))

    # --- starting --------------------------------------------------------------------------------------------------

    def _check_refusal(self, need: ResourceNeed, policy: Policy, now: float) -> RefusalDecision | None:
        role = "service" if self.service else "prefill"
        if not self.fleet.has_usable(role, now, need.exclude) or not policy.queues_requests:
            return self._make_refusal(need, Reason.NO_UPSTREAM, "no upstream can be used", now)
        if len(self.queue) >= self.max_queue_length:
            return self._make_refusal(need, Reason.OVERLOADED, "the queue is full", now)
        return None

    def _get_release_rate(self, now: float) -> float:
        """Return the measured rate, else the predicted one; 0 if both are unknown."""
        measured = self.release_rate.get(now)
        if measured or self.service:
            return measured
        if now >= self._predicted_rate_expiry:
            self._predicted_rate_expiry = now + PREDICTED_RATE_TTL_S
            self._predicted_rate = self.fleet.predict_release_rate()
        return self._predicted_rate

    def _is_expected_late(self, need: ResourceNeed, now: float) -> bool:
        """Return whether a request would miss its latest start after the requests that precede it."""
        rate = self._get_release_rate(now)
        if rate <= 0:
            return now > need.latest_start
        wait = self.queue.count_tokens_before(need.priority) / rate
        return now + wait > need.latest_start

    def _has_late_capacity(self, need: ResourceNeed, now: float) -> bool:
        """Return whether the turns of late requests suffice to serve one more within ``max_wait``."""
        rate = self._get_release_rate(now)
        if rate <= 0:
            return len(self.queue) < INITIAL_MAX_LATE
        capacity = rate * self.max_wait / LATE_TURN_PERIOD
        return self.queue.count_late_tokens() + need.tokens <= capacity

    def _drop_late(self, now: float) -> list[PlacementDecision]:
        """Refuse late requests that have expired or that cannot be served within ``max_wait``."""
        if not self.queue:
            return []
        self.queue.move_late(now)
        rate = self._get_release_rate(now)
        capacity = rate * self.max_wait / LATE_TURN_PERIOD
        decisions: list[PlacementDecision] = []
        while (candidate := self.queue.get_least_urgent_late()) is not None:
            expired = candidate.drop_if_late or now - candidate.arrival_time > MAX_QUEUE_TIME_S
            over_capacity = rate > 0 and self.queue.count_late_tokens() > capacity
            if not expired and not over_capacity:
                break
            self.queue.remove(candidate.request)
            decisions.append(self._make_refusal(candidate, Reason.OVERLOADED, "no place in time", now))
        return decisions

    def _make_refusal(self, need: ResourceNeed, reason: Reason, detail: str, now: float) -> RefusalDecision:
        return RefusalDecision(need.request, reason, detail, round(self.estimate_wait(now), 2))

    def _start_next(self, now: float) -> StartDecision | None:
        for need in itertools.islice(self.queue.iterate_next(), MAX_START_ATTEMPTS):
            if self._start(need, self.choose_policy(need), now):
                self.queue.pop_for_start(need.request)
                return StartDecision(need.request, self._get_first(need.request))
        return None

    def _start(self, need: ResourceNeed, policy: Policy, now: float) -> bool:
        choice = policy.choose_first(need, self.fleet, now)
        if choice is None:
            return False
        placement = _ActivePlacement(need, first=choice.first.config.name, start_time=now)
        self.placements[need.request] = placement
        self.fleet.record_dispatch(choice.first, need.request, need.prompt_tokens, now)
        if need.output_tokens:
            self.fleet.workload.record_prompt(need.prompt_tokens)
        if choice.decode is not None:
            placement.decode = choice.decode.config.name
            self.fleet.reserve(choice.decode, need.request, need.tokens)
        return True

    # --- handoff ---------------------------------------------------------------------------------------------------

    def _dispatch_handoffs(self, now: float) -> list[PlacementDecision]:
        decisions: list[PlacementDecision] = []
        for request, (need, _) in list(self.pending_handoffs.items()):
            placement = self.placements.get(request)
            if placement is not None and self._start_handoff(need, placement, now):
                del self.pending_handoffs[request]
                decisions.append(HandoffDecision(request, self._get_decode(request)))
        return decisions

    def _start_handoff(self, need: ResourceNeed, placement: _ActivePlacement, now: float) -> bool:
        ledger = self._get_reserved_engine(need, placement, now) or self.choose_policy(need).choose_decode(
            need, self.fleet, now
        )
        if ledger is None:
            return False
        self._cancel_reservation(need.request, placement)
        placement.decode, placement.transferring = ledger.config.name, True
        self.fleet.record_dispatch(ledger, need.request, need.tokens, now)
        self.fleet.transfers[placement.decode] = self.fleet.transfers.get(placement.decode, 0) + 1
        return True

    def _get_reserved_engine(self, need: ResourceNeed, placement: _ActivePlacement, now: float) -> Ledger | None:
        """Return the decode engine on which memory is reserved, if that memory is free."""
        ledger = self.fleet.ledgers.get(placement.decode) if placement.decode is not None else None
        if ledger is None or placement.transferring:
            return None
        if not ledger.is_usable(now, self.fleet.max_report_age) or ledger.config.name in need.exclude:
            self._cancel_reservation(need.request, placement)
            return None
        return ledger if ledger.free_tokens >= need.tokens else None

    def _cancel_reservation(self, request: RequestId, placement: _ActivePlacement) -> None:
        if placement.decode is None or placement.transferring:
            return
        ledger = self.fleet.ledgers.get(placement.decode)
        if ledger is not None:
            self.fleet.cancel_reservation(ledger, request)
        placement.decode = None

    def _end_first(self, request: RequestId, placement: _ActivePlacement, now: float) -> None:
        if placement.first is not None:
            self.fleet.record_end(placement.first, request, now)
            if self.service:
                self.release_rate.record(placement.need.tokens, now, has_waiting=bool(self.queue))
            placement.first = None

    def _end_transfer(self, placement: _ActivePlacement) -> None:
        if not placement.transferring or placement.decode is None:
            return
        left = self.fleet.transfers.get(placement.decode, 0) - 1
        if left > 0:
            self.fleet.transfers[placement.decode] = left
        else:
            self.fleet.transfers.pop(placement.decode, None)
        placement.transferring = False

    def _get_first(self, request: RequestId) -> UpstreamName:
        first = self.placements[request].first
        assert first is not None
        return first

    def _get_decode(self, request: RequestId) -> UpstreamName:
        decode = self.placements[request].decode
        assert decode is not None
        return decode

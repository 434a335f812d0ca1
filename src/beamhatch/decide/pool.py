"""The pool aggregate: which request goes where, who waits, and who is refused at once.

One pool serves one model or one plain service. It is asked for places, told what started and ended, and answers with
decisions for any of its requests.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.decide.fleet import Fleet
from beamhatch.decide.outcome import Reason
from beamhatch.decide.waiting import LATE_TURN, Waiting

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.decide.ledger import Ledger
    from beamhatch.decide.policy.api import Need, Policy
    from beamhatch.ids import RequestId, UpstreamName

MAX_WAIT = 2.0

LANDING_LIMIT = 2.0
"""Seconds that an export may wait for decode memory; it lives only a few seconds."""

TRIED_AT_ONCE = 8
"""How many of the next requests are tried when a place may have come free."""

SLACK = 0.5
"""Share of the first-token target that is left for what can't be predicted, such as a place that comes free late."""

RATE_LIFE = 0.25
"""Seconds for which a predicted rate holds; it looks at all engines."""

DRAIN_SPAN = 0.5
DRAIN_LIFE = 10.0
"""Seconds of one measurement of the rate, and for how long it holds."""

LATE_AT_FIRST = 8
"""Requests that may wait before the pool's rate is known."""

LONGEST_WAIT = 8.0
"""Seconds after which a waiting request is given up whatever the rate."""

SHORTEST_RETRY = 0.25
LONGEST_RETRY = 30.0


@dataclass(frozen=True, slots=True)
class Started:
    """Send the request to this upstream first."""

    request: RequestId
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class Landing:
    """Send the export to this decode engine."""

    request: RequestId
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class Turned:
    """Give the request up now, and say when to come back."""

    request: RequestId
    reason: Reason
    detail: str
    retry_after: float | None


Decision = Started | Landing | Turned


@dataclass(slots=True)
class _Placed:
    need: Need
    first: UpstreamName | None = None
    decode: UpstreamName | None = None
    landed: bool = False
    started: float = 0.0


@dataclass(slots=True)
class Drain:
    """How many KV tokens a pool gives back in a second while requests wait, as a running mean.

    What is given back while nobody waits says nothing of what the pool can do, and is not counted.
    """

    _rate: float = 0.0
    _measured: float = 0.0
    _since: float | None = None
    _sum: int = 0

    def note(self, tokens: int, now: float, *, waited_for: bool) -> None:
        """Take in tokens that were given back."""
        if not waited_for:
            self._since = None
            return
        if self._since is None:
            self._since, self._sum = now, 0
            return
        self._sum += tokens
        span = now - self._since
        if span >= DRAIN_SPAN:
            measured = self._sum / span
            known = self.get_rate(now)
            self._rate = measured if known == 0 else known + 0.3 * (measured - known)
            self._measured = now
            self._since, self._sum = now, 0

    def get_rate(self, now: float) -> float:
        """Return the rate, or 0 where none was measured lately."""
        return self._rate if now - self._measured < DRAIN_LIFE else 0.0


@dataclass(slots=True)
class Pool:
    """Places the requests of one pool."""

    fleet: Fleet
    choose_policy: Callable[[Need], Policy]
    service: bool = False
    most_waiting: int = 1000
    max_wait: float = MAX_WAIT
    """Seconds that a late request may still have to wait."""
    waiting: Waiting = field(default_factory=Waiting)
    drain: Drain = field(default_factory=Drain)
    placed: dict[RequestId, _Placed] = field(default_factory=dict)
    landings: dict[RequestId, tuple[Need, float]] = field(default_factory=dict)
    """Exports that wait for decode memory, with the time when that is given up."""

    _rate: float = 0.0
    _rate_until: float = -1.0

    def ask_start(self, need: Need, now: float) -> list[Decision]:
        """Ask for the first upstream of a request."""
        policy = self.choose_policy(need)
        if need.output_tokens:
            need.lead = self.fleet.predict_lead(need.prompt_tokens) + SLACK * need.first_token_target
        if self.waiting.goes_first(need.priority) and self._start(need, policy, now):
            return [Started(need.request, self._first(need.request))]
        refusal = self._refuse(need, policy, now)
        if refusal is not None:
            return [refusal]
        late = self._would_be_late(need, now)
        if late and (need.drop_if_late or not self._has_late_room(need, now)):
            return [self._turn(need, Reason.OVERLOADED, "no place in time", now)]
        self.waiting.add(need, late=late)
        return []

    def ask_landing(self, request: RequestId, exclude: frozenset[str], now: float) -> list[Decision]:
        """Ask for a decode engine for a request whose prefill has ended."""
        placed = self.placed.get(request)
        if placed is None:
            return []
        need = placed.need
        need.exclude = exclude
        self._end_first(request, placed, now)
        if placed.landed and placed.decode is not None:
            self.fleet.end(placed.decode, request, now)
            self._end_transfer(placed)
            placed.landed, placed.decode = False, None
        if self._land(need, placed, now):
            return [Landing(request, self._decode(request))]
        if not self.choose_policy(need).queues or not self.fleet.has_any("decode", now, exclude):
            return [Turned(request, Reason.NO_UPSTREAM, "no decode engine can take it", SHORTEST_RETRY)]
        self.landings[request] = (need, now + LANDING_LIMIT)
        return []

    def note_landed(self, request: RequestId) -> None:
        """Note that a transfer ended: the decode engine has begun."""
        placed = self.placed.get(request)
        if placed is not None:
            self._end_transfer(placed)

    def free(self, request: RequestId, now: float) -> list[Decision]:
        """Give back all that a request has or waits for; return what others can now have."""
        self.waiting.remove(request)
        self.landings.pop(request, None)
        placed = self.placed.pop(request, None)
        if placed is not None:
            self._end_first(request, placed, now)
            self._end_transfer(placed)
            if placed.decode is not None:
                ledger = self.fleet.ledgers.get(placed.decode)
                if ledger is not None:
                    self.fleet.withdraw(ledger, request)
                self.fleet.end(placed.decode, request, now)
                self.drain.note(placed.need.tokens, now, waited_for=bool(self.waiting))
        return self.serve(now)

    def serve(self, now: float) -> list[Decision]:
        """Give places to those that wait, as far as there are any; called when anything may have changed."""
        decisions = self._serve_landings(now) + self._trim_late(now)
        while self.waiting and (started := self._start_next(now)) is not None:
            decisions.append(started)
        return decisions

    def expire(self, now: float) -> list[Decision]:
        """Give up what has waited for too long; called a few times a second."""
        decisions: list[Decision] = []
        for request, (_, limit) in list(self.landings.items()):
            if now >= limit:
                del self.landings[request]
                decisions.append(Turned(request, Reason.OVERLOADED, "no decode memory in time", self.predict_wait(now)))
        decisions += self._trim_late(now)
        if self.waiting and not self.fleet.has_any("service" if self.service else "prefill", now):
            for need in list(self.waiting.needs.values()):
                self.waiting.remove(need.request)
                decisions.append(self._turn(need, Reason.NO_UPSTREAM, "no upstream can be used", now))
        return decisions + self.serve(now)

    def predict_wait(self, now: float) -> float:
        """Return the seconds until what waits now would have been served."""
        rate = self._get_rate(now)
        if rate <= 0:
            return SHORTEST_RETRY
        return min(LONGEST_RETRY, max(SHORTEST_RETRY, self.waiting.count_tokens() / rate))

    # --- starting --------------------------------------------------------------------------------------------------

    def _refuse(self, need: Need, policy: Policy, now: float) -> Turned | None:
        role = "service" if self.service else "prefill"
        if not self.fleet.has_any(role, now, need.exclude) or not policy.queues:
            return self._turn(need, Reason.NO_UPSTREAM, "no upstream can be used", now)
        if len(self.waiting) >= self.most_waiting:
            return self._turn(need, Reason.OVERLOADED, "the queue is full", now)
        return None

    def _get_rate(self, now: float) -> float:
        """Return the measured rate, or the predicted one as long as there is none; 0 where there is neither."""
        measured = self.drain.get_rate(now)
        if measured or self.service:
            return measured
        if now >= self._rate_until:
            self._rate_until = now + RATE_LIFE
            self._rate = self.fleet.predict_rate()
        return self._rate

    def _would_be_late(self, need: Need, now: float) -> bool:
        """Tell whether those that go before a request leave it too little time, at the rate seen so far."""
        rate = self._get_rate(now)
        if rate <= 0:
            return now > need.latest_start
        wait = self.waiting.count_tokens_before(need.priority) / rate
        return now + wait > need.latest_start

    def _has_late_room(self, need: Need, now: float) -> bool:
        """Tell whether a late request would still be served in a bearable time, out of the late ones' turns."""
        rate = self._get_rate(now)
        if rate <= 0:
            return len(self.waiting) < LATE_AT_FIRST
        room = rate * self.max_wait / LATE_TURN
        return self.waiting.count_late_tokens() + need.tokens <= room

    def _trim_late(self, now: float) -> list[Decision]:
        """Give up those that turned late, as far as there are more than can be served in a bearable time."""
        if not self.waiting:
            return []
        self.waiting.move_late(now)
        rate = self._get_rate(now)
        room = rate * self.max_wait / LATE_TURN
        decisions: list[Decision] = []
        while (least := self.waiting.pick_least()) is not None:
            dropped = least.drop_if_late or now - least.arrived > LONGEST_WAIT
            over = rate > 0 and self.waiting.count_late_tokens() > room
            if not dropped and not over:
                break
            self.waiting.remove(least.request)
            decisions.append(self._turn(least, Reason.OVERLOADED, "no place in time", now))
        return decisions

    def _turn(self, need: Need, reason: Reason, detail: str, now: float) -> Turned:
        return Turned(need.request, reason, detail, round(self.predict_wait(now), 2))

    def _start_next(self, now: float) -> Started | None:
        for need in itertools.islice(self.waiting.list_next(), TRIED_AT_ONCE):
            if self._start(need, self.choose_policy(need), now):
                self.waiting.serve(need.request)
                return Started(need.request, self._first(need.request))
        return None

    def _start(self, need: Need, policy: Policy, now: float) -> bool:
        choice = policy.start(need, self.fleet, now)
        if choice is None:
            return False
        placed = _Placed(need, first=choice.first.facts.name, started=now)
        self.placed[need.request] = placed
        self.fleet.send(choice.first, need.request, need.prompt_tokens, now)
        if need.output_tokens:
            self.fleet.rates.note_prompt(need.prompt_tokens)
        if choice.decode is not None:
            placed.decode = choice.decode.facts.name
            self.fleet.promise(choice.decode, need.request, need.tokens)
        return True

    # --- landing ---------------------------------------------------------------------------------------------------

    def _serve_landings(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        for request, (need, _) in list(self.landings.items()):
            placed = self.placed.get(request)
            if placed is not None and self._land(need, placed, now):
                del self.landings[request]
                decisions.append(Landing(request, self._decode(request)))
        return decisions

    def _land(self, need: Need, placed: _Placed, now: float) -> bool:
        ledger = self._take_promised(need, placed, now) or self.choose_policy(need).land(need, self.fleet, now)
        if ledger is None:
            return False
        self._withdraw_promise(need.request, placed)
        placed.decode, placed.landed = ledger.facts.name, True
        self.fleet.send(ledger, need.request, need.tokens, now)
        self.fleet.landings[placed.decode] = self.fleet.landings.get(placed.decode, 0) + 1
        return True

    def _take_promised(self, need: Need, placed: _Placed, now: float) -> Ledger | None:
        """Return the engine that was counted on, if its memory is free by now."""
        ledger = self.fleet.ledgers.get(placed.decode) if placed.decode is not None else None
        if ledger is None or placed.landed:
            return None
        if not ledger.is_usable(now, self.fleet.age_limit) or ledger.facts.name in need.exclude:
            self._withdraw_promise(need.request, placed)
            return None
        return ledger if ledger.free >= need.tokens else None

    def _withdraw_promise(self, request: RequestId, placed: _Placed) -> None:
        if placed.decode is None or placed.landed:
            return
        ledger = self.fleet.ledgers.get(placed.decode)
        if ledger is not None:
            self.fleet.withdraw(ledger, request)
        placed.decode = None

    def _end_first(self, request: RequestId, placed: _Placed, now: float) -> None:
        if placed.first is not None:
            self.fleet.end(placed.first, request, now)
            if self.service:
                self.drain.note(placed.need.tokens, now, waited_for=bool(self.waiting))
            placed.first = None

    def _end_transfer(self, placed: _Placed) -> None:
        if not placed.landed or placed.decode is None:
            return
        left = self.fleet.landings.get(placed.decode, 0) - 1
        if left > 0:
            self.fleet.landings[placed.decode] = left
        else:
            self.fleet.landings.pop(placed.decode, None)
        placed.landed = False

    def _first(self, request: RequestId) -> UpstreamName:
        first = self.placed[request].first
        assert first is not None
        return first

    def _decode(self, request: RequestId) -> UpstreamName:
        decode = self.placed[request].decode
        assert decode is not None
        return decode

"""Checks each promise from what callers and upstreams see."""

from __future__ import annotations

import re
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.requests.refusal import QUARANTINE_REASON
from tests.soak.harms import Harms
from tests.soak.limits import NamedLimits
from tests.soak.own_words import Heard, OwnWords
from tests.soak.promise import (
    COLD_BOUND,
    CONFIGURATION_BOUND,
    CONTACT_TIME,
    EMPTY_BOUND,
    LEAST_ENDS,
    LEAST_ENDS_OF_PART,
    LEAVE_BOUND,
    MOST_LATE_SENDS,
    ROUTE_TIMEOUT,
    STEP_BACK_SLACK,
    THAW_SLACK,
    TIME_LEFT,
    TOUCH_TIME,
    TURN_TIME,
    Breach,
    Promise,
)
from tests.soak.routes import RepeatHistory

if TYPE_CHECKING:
    from collections.abc import Mapping

    from beamhatch.platform.standin.upstream import Ledger, Order
    from tests.soak.caller import Outcome

STREAM_EVENTS = 10
NEVER = float("inf")
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
SOFTWARE = re.compile(rb"^data: ([^/\n]+)/", re.MULTILINE)
"""The software version that wrote an event, which engines name in its data."""

VERSIONED = re.compile(r"/v(\d+)/")


@dataclass(slots=True)
class Calm:
    """Since when nothing disturbs a thing; faults may overlap."""

    _active: int = 0
    _ended: float = 0.0

    @property
    def since(self) -> float:
        """Return since when, in seconds of the run; never where something does."""
        return NEVER if self._active else self._ended

    def begin(self) -> None:
        """Note that a fault begins."""
        self._active += 1

    def end(self, now: float) -> None:
        """Note that a fault ends."""
        self._active -= 1
        self._ended = now


@dataclass(frozen=True, slots=True)
class RouteTerms:
    """What the witness knows of a route."""

    streams: bool = False
    events: int = STREAM_EVENTS
    """Events of each stream."""
    repeatable: bool = True
    most_runs: int = 2
    regions: frozenset[str] | None = None
    changes: bool = False
    """Whether configurations change how often its requests may run."""


@dataclass(slots=True)
class UpstreamFacts:
    """What the witness knows of an upstream."""

    hall: str
    region: str
    cold_until: float = 0.0
    leaves_at: float = NEVER
    """When the store had that it leaves."""
    arrivals: deque[float] = field(default_factory=deque)
    """Of the last second, while it is cold."""


@dataclass(slots=True)
class VmFacts:
    """What the witness knows of a VM."""

    calm: Calm = field(default_factory=Calm)
    life: int = 0
    thawed_at: float = -NEVER
    seen: dict[int, float] = field(default_factory=dict)
    """When the effect of each version was first seen in this life."""


@dataclass(slots=True)
class Asked:
    """A request under way, or ended."""

    route: str
    vm: str
    life: int
    sent_at: float


@dataclass(slots=True)
class Witness:
    """Sees all arrivals, outcomes and orders."""

    ledger: Ledger
    routes: Mapping[str, RouteTerms]
    """By the beginning of the path."""
    breaches: list[Breach] = field(default_factory=list)
    upstreams: dict[str, UpstreamFacts] = field(default_factory=dict)
    vms: dict[str, VmFacts] = field(default_factory=dict)
    store: Calm = field(default_factory=Calm)
    unplanned: Calm = field(default_factory=Calm)
    """Whether any fault is there that operators did not plan."""
    emptied: dict[str, float] = field(default_factory=dict)
    """When the store had that a hall is emptied."""
    acknowledged: dict[int, float] = field(default_factory=dict)
    """When the store had each version."""
    asked: dict[str, Asked] = field(default_factory=dict)
    refused: dict[str, float] = field(default_factory=dict)
    """Requests that were said not to have run, and when."""
    ends: dict[str, list[float]] = field(default_factory=dict)
    """When upstreams were ended by the requests for a target."""
    late_sends: Counter[str] = field(default_factory=Counter)
    """Sends for each such target later than all VMs could know."""
    versions: dict[str, set[str]] = field(default_factory=dict)
    """Software versions whose events the caller of each stream received, by the request that began it."""
    resumed: int = 0
    """Streams that callers resumed."""
    outcomes: int = 0
    deadly: int = 0
    """Of these, requests that end upstreams; none of them is served."""
    deadly_parts: dict[str, str] = field(default_factory=dict)
    """Targets of requests with a part in their prompts that crashes engines, and the part."""
    served: int = 0
    reached: dict[str, set[str]] = field(default_factory=dict)
    """Upstreams that each request reached, but for those that only read its prompt."""
    harms: Harms = field(default_factory=Harms)
    words: OwnWords = field(default_factory=OwnWords)
    limits: NamedLimits = field(default_factory=NamedLimits)
    repeats: RepeatHistory = field(default_factory=RepeatHistory)
    arrived_at: dict[str, float] = field(default_factory=dict)
    """When each request first arrived at an upstream."""
    _orders: int = 0
    _last_order: Order | None = None

    def break_promise(self, promise: Promise, now: float, detail: str) -> None:
        """Note a breach."""
        self.breaches.append(Breach(promise, now, detail))

    def is_in_touch(self, vm: str, now: float) -> bool:
        """Tell whether a VM is held to bounds of time."""
        return max(self.vms[vm].calm.since, self.store.since) + TOUCH_TIME < now

    # --- arrivals ----------------------------------------------------------------------------------------------------

    def take_arrival(self, request: str, path: str, instance: str, now: float, *, is_prefill: bool = False) -> None:
        """Check a request that reached the upstream that was meant.

        :param is_prefill: whether its prompt is to be read, which is no run
        """
        upstream = self.upstreams[instance]
        asked = self.asked.get(request)
        if asked is None:
            self.break_promise(Promise.OWN_ANSWER, now, f"{instance} got {request}, which nobody sent")
            return
        self.arrived_at.setdefault(request, now)
        self._check_deadly(asked, request, path, now)
        self._check_cold(upstream, instance, now)
        self._check_region(upstream, asked, request, now)
        if request in self.refused and not is_prefill:
            self.break_promise(Promise.NOT_RUN, now, f"{request} reached {instance} behind its refusal")
        self._check_words(asked, request, instance, now)
        if self.is_in_touch(asked.vm, now):
            self._check_place(upstream, request, instance, now)
        self._check_version(asked, request, path, now)

    def take_crash(self, target: str, now: float) -> None:
        """Take in that a request for a target has ended an upstream."""
        self.ends.setdefault(target, []).append(now)

    def take_rest(self, request: str, instance: str, seconds: float, now: float) -> None:
        """Take in that an upstream turns a request away, and asks the VM that sent it for rest."""
        asked = self.asked.get(request)
        if asked is not None:
            self.words.take_rest(Heard(instance, asked.vm, asked.life), seconds, now)

    def _check_words(self, asked: Asked, request: str, instance: str, now: float) -> None:
        heard = Heard(instance, asked.vm, asked.life)
        broken = self.words.check_arrival(heard, asked.sent_at, self.vms[asked.vm].calm.since, now)
        if broken is not None:
            self.break_promise(broken, now, f"{request} reached {instance} from {asked.vm} in spite of its word")
        beyond = self.limits.check_arrival(heard, self.vms[asked.vm].calm.since, now)
        if beyond is not None:
            self.break_promise(Promise.LIMITED, now, beyond)

    def _is_deadly(self, target: str) -> bool:
        return target in self.ledger.crash_inducing or target in self.deadly_parts

    def _check_deadly(self, asked: Asked, request: str, target: str, now: float) -> None:
        cause = self.deadly_parts.get(target, target)
        least = LEAST_ENDS if cause == target else LEAST_ENDS_OF_PART
        ends = self.ends.get(cause, [])
        if len(ends) < least or now < ends[least - 1] + CONTACT_TIME:
            return
        if self.is_in_touch(asked.vm, now):
            self.late_sends[cause] += 1
            if self.late_sends[cause] > MOST_LATE_SENDS:
                self.break_promise(Promise.DEADLY, now, f"{request} for {target}, which ended {len(ends)} upstreams")

    def _check_cold(self, upstream: UpstreamFacts, instance: str, now: float) -> None:
        if now >= upstream.cold_until:
            upstream.arrivals.clear()
            return
        upstream.arrivals.append(now)
        while upstream.arrivals[0] <= now - 1.0:
            upstream.arrivals.popleft()
        if len(upstream.arrivals) > COLD_BOUND:
            self.break_promise(Promise.COLD, now, f"{instance} got {len(upstream.arrivals)} requests in a second")

    def _check_region(self, upstream: UpstreamFacts, asked: Asked, request: str, now: float) -> None:
        regions = self.find_terms(asked.route).regions
        if regions is not None and upstream.region not in regions:
            self.break_promise(Promise.REGION, now, f"{request} of {asked.route} reached {upstream.hall}")

    def _check_place(self, upstream: UpstreamFacts, request: str, instance: str, now: float) -> None:
        if now > self.emptied.get(upstream.hall, NEVER) + EMPTY_BOUND:
            late = now - self.emptied[upstream.hall]
            self.break_promise(Promise.EMPTIED, now, f"{request} reached {instance}, {late:.2f} s behind")
        if now > upstream.leaves_at + LEAVE_BOUND:
            late = now - upstream.leaves_at
            self.break_promise(Promise.LEAVING, now, f"{request} reached {instance}, {late:.2f} s behind")

    def _check_version(self, asked: Asked, request: str, path: str, now: float) -> None:
        found = VERSIONED.match(path)
        if found is None:
            return
        version = int(found[1])
        vm = self.vms[asked.vm]
        if vm.life == asked.life:
            vm.seen.setdefault(version, now)
        removed_at = self.acknowledged.get(version + 1, NEVER)
        if asked.sent_at > removed_at + CONFIGURATION_BOUND and self.is_in_touch(asked.vm, asked.sent_at):
            self.break_promise(Promise.IN_FORCE, now, f"{request} ran by version {version}, {asked.vm}")
        newer = [at for other, at in vm.seen.items() if other > version]
        if vm.life == asked.life and newer and asked.sent_at > min(newer) + STEP_BACK_SLACK:
            self.break_promise(Promise.NO_STEP_BACK, now, f"{request} ran by version {version}, {asked.vm}")

    # --- outcomes ----------------------------------------------------------------------------------------------------

    def find_terms(self, route: str) -> RouteTerms:
        """Return the terms of a route."""
        return self.routes.get(route, RouteTerms())

    def take_outcome(self, outcome: Outcome) -> None:
        """Check what a caller got."""
        self.outcomes += 1
        self.deadly += self._is_deadly(outcome.target)
        terms = self.find_terms(outcome.route)
        self._check_runs(outcome.request, terms, outcome.ended_at)
        signature = outcome.headers.get("response-signature")
        if signature is not None and outcome.headers.get("server-leaving") == "1":
            instance = signature.partition(".")[0]
            self.words.take_leaving(Heard(instance, outcome.vm, outcome.life), outcome.ended_at)
        if signature is not None and "server-limit" in outcome.headers:
            heard = Heard(signature.partition(".")[0], outcome.vm, outcome.life)
            rate = float(outcome.headers["server-limit"])
            self.limits.take_told(heard, rate, self.vms[outcome.vm].calm.since, outcome.ended_at)
        if outcome.status in NOT_RUN_STATUSES and signature is None:
            self.refused[outcome.request] = outcome.ended_at
            if self.ledger.runs[outcome.request]:
                self.break_promise(
                    Promise.NOT_RUN, outcome.ended_at, f"{outcome.request} ran, and got {outcome.status}"
                )
        if outcome.status == 503 and QUARANTINE_REASON.encode() in outcome.body and not self._is_deadly(outcome.target):
            self.break_promise(Promise.INNOCENT, outcome.ended_at, f"{outcome.request} for {outcome.target} was held")
        self._check_unbroken(outcome, signature)
        if outcome.status == 200:
            self._check_success(outcome, terms, signature)
        if outcome.status == 404:
            self._check_missing(outcome)

    def _check_runs(self, request: str, terms: RouteTerms, now: float) -> None:
        runs = self.ledger.runs[request]
        if runs > (terms.most_runs if self._may_repeat(request, terms) else 1):
            self.break_promise(Promise.ONCE, now, f"{request} ran {runs} times")

    def _may_repeat(self, request: str, terms: RouteTerms) -> bool:
        asked, arrived_at = self.asked.get(request), self.arrived_at.get(request)
        if not terms.changes or asked is None or arrived_at is None:
            return terms.repeatable
        in_touch = self.is_in_touch(asked.vm, asked.sent_at)
        return not self.repeats.must_run_once(asked.route, asked.sent_at, arrived_at, in_touch=in_touch)

    def _check_unbroken(self, outcome: Outcome, signature: str | None) -> None:
        """Check that silent upstreams were no reason to break a request off, at a VM that nothing disturbed."""
        failed = not outcome.whole or (outcome.status in (502, 504) and signature is None)
        reached = self.reached.get(outcome.request)
        in_time = outcome.ended_at < outcome.sent_at + ROUTE_TIMEOUT - TIME_LEFT
        if not failed or outcome.left or not reached or not in_time:
            return
        vm = self.vms[outcome.vm]
        if vm.life != outcome.life or vm.calm.since > outcome.sent_at:
            return
        if any(self.harms.overlap(one, outcome.sent_at, outcome.ended_at) for one in reached):
            return
        detail = f"{outcome.request} at {outcome.vm} got {outcome.status}"
        if outcome.status == 200:
            detail += f" and {len(outcome.events)} events"
        detail += f" from {sorted(reached)} behind {outcome.ended_at - outcome.sent_at:.2f} s"
        self.break_promise(Promise.UNBROKEN, outcome.ended_at, detail)

    def _check_success(self, outcome: Outcome, terms: RouteTerms, signature: str | None) -> None:
        now = outcome.ended_at
        own = outcome.headers.get("request-id") == outcome.request
        if not own or signature is None or not signature.endswith(f".{outcome.request}"):
            self.break_promise(Promise.OWN_ANSWER, now, f"{outcome.request} got the answer {signature}")
            return
        if terms.streams:
            self._check_stream(outcome)
        elif outcome.whole and not outcome.body.endswith(outcome.request.encode()):
            self.break_promise(Promise.OWN_ANSWER, now, f"{outcome.request} got the body {outcome.body[:80]!r}")
        self.served += outcome.whole

    def _check_stream(self, outcome: Outcome) -> None:
        ids = outcome.events
        texts = [int(number) for number in re.findall(rb"-(\d+)\n\n", outcome.body)]
        wanted = list(range(outcome.last_event + 1, outcome.last_event + len(ids) + 1))
        if ids != wanted or texts[: len(ids)] != wanted[: len(texts)]:
            self.break_promise(Promise.ORDER, outcome.ended_at, f"{outcome.request} got the events {ids}")
        if outcome.whole and outcome.last_event + len(ids) != self.find_terms(outcome.route).events:
            self.break_promise(Promise.ORDER, outcome.ended_at, f"{outcome.request} ended with {len(ids)} events")
        self._check_software(outcome)

    def _check_software(self, outcome: Outcome) -> None:
        versions = self.versions.setdefault(outcome.began_as or outcome.request, set())
        versions.update(found.decode() for found in SOFTWARE.findall(outcome.body))
        if len(versions) > 1:
            detail = f"{outcome.request} ({outcome.began_as}) holds events of {sorted(versions)}"
            self.break_promise(Promise.VERSION, outcome.ended_at, detail)

    def _check_missing(self, outcome: Outcome) -> None:
        found = VERSIONED.match(outcome.target)
        version = int(found[1]) if found else 0
        acknowledged = self.acknowledged.get(version, 0.0)
        if outcome.ended_at > self.acknowledged.get(version + 1, NEVER):
            return
        late = outcome.sent_at > acknowledged + CONFIGURATION_BOUND
        if late and self.is_in_touch(outcome.vm, outcome.sent_at):
            self.break_promise(Promise.IN_FORCE, outcome.ended_at, f"{outcome.request} got 404 for version {version}")
        vm = self.vms[outcome.vm]
        if vm.life == outcome.life and outcome.sent_at > vm.seen.get(version, NEVER) + STEP_BACK_SLACK:
            self.break_promise(Promise.NO_STEP_BACK, outcome.ended_at, f"{outcome.request} got 404 at {outcome.vm}")

    # --- orders, ends ------------------------------------------------------------------------------------------------

    def check_orders(self, started: float) -> None:
        """Check the orders that engines got since the last look.

        :param started: when the run began, in the ledger's seconds
        """
        for order in self.ledger.orders[self._orders :]:
            last, self._last_order = self._last_order, order
            at = order.at - started
            thawed = self.vms[order.holder].thawed_at
            if last is None or thawed <= at < thawed + THAW_SLACK:
                continue
            turn = last.holder != order.holder and order.at - last.at < TURN_TIME
            if turn or order.token < last.token:
                self.break_promise(Promise.ONE_LEADER, at, f"{order.holder} with {order.token} behind {last}")
        self._orders = len(self.ledger.orders)

    def check_all_runs(self, now: float) -> None:
        """Check once more, at the end, what ran."""
        for request, asked in self.asked.items():
            self._check_runs(request, self.find_terms(asked.route), now)
            if request in self.refused and self.ledger.runs[request]:
                self.break_promise(Promise.NOT_RUN, now, f"{request} was refused, and ran later")

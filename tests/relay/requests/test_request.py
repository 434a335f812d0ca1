"""The request aggregate and the listing under every interleaving of what may become of sends and news."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from beamhatch.relay.choosing.chooser import LeastCost
from beamhatch.relay.choosing.standing import Standings
from beamhatch.relay.model import (
    Address,
    EngineSpec,
    Handle,
    Phase,
    RequestFacts,
    Reservation,
    Route,
    RouteKind,
    Service,
    ServiceName,
    Stage,
    Upstream,
    UpstreamId,
    WeightedService,
)
from beamhatch.relay.requests.budget import Budget, BudgetTerms
from beamhatch.relay.requests.request import Fail, Refuse, RelayRequest, Reserve, Send, Step, Wait
from beamhatch.relay.upstreams.listing import Entry, Listing

SERVICE = ServiceName("s")


def make_upstream(name: str, phase: Phase, *, draining: bool = False) -> Upstream:
    return Upstream(UpstreamId(name), SERVICE, Address(name, 1), "h", draining, phase, 4)


class RequestMachine(RuleBasedStateMachine):
    """Carries out what the request plans, with any outcome, and keeps a naive record of what upstreams did."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.may_have_run = 0
        self.step: Step | None = None
        self.under_way: Send | None = None

    @initialize(
        kind=st.sampled_from(RouteKind),
        resumable=st.booleans(),
        attempts=st.integers(1, 3),
        engine=st.booleans(),
        holds=st.booleans(),
    )
    def begin(self, kind: RouteKind, resumable: bool, attempts: int, engine: bool, holds: bool) -> None:
        route = Route("r", "h", "/", kind, (WeightedService(SERVICE, 1),), 14.0, 0.9, attempts, resumable)
        traits = EngineSpec(128, 60_000, 0.5, 2.0 if holds else 0.0) if engine else None
        self.request = RelayRequest(RequestFacts("q", None, None, 5000, 100), route, Service(SERVICE, traits))
        self.budget = Budget(BudgetTerms())
        self.chooser = LeastCost(Standings(), "h")
        phases = [Phase.PREFILL, Phase.PREFILL, Phase.DECODE, Phase.DECODE, Phase.DECODE]
        if not self.request.split:
            phases = [Phase.PLAIN] * 4
        self.upstreams = [make_upstream(f"u{number}", phase) for number, phase in enumerate(phases)]

    @precondition(lambda self: self.under_way is None and not isinstance(self.step, (Refuse, Fail)))
    @rule(passed=st.floats(0, 0.6))
    def plan(self, passed: float) -> None:
        self.now += passed
        self.step = self.request.plan(self.upstreams, self.chooser, self.budget, 3, self.now)
        if isinstance(self.step, Send):
            self.under_way = self.step
        elif isinstance(self.step, Refuse):
            assert self.may_have_run == 0, "told that it has not run although it may have"

    @precondition(lambda self: isinstance(self.step, Reserve))
    @rule(granted=st.booleans(), reached=st.booleans())
    def reserve(self, granted: bool, reached: bool) -> None:
        assert isinstance(self.step, Reserve)
        upstream = self.step.upstream
        self.step = None
        if not reached:
            self.request.note_no_reservation(upstream.id)
        elif granted:
            self.request.note_reserved(Reservation("v", upstream, self.now + 2.0))
        else:
            self.request.note_full(upstream.id)

    @precondition(lambda self: self.under_way is not None)
    @rule()
    def fail_to_reach(self) -> None:
        assert self.under_way is not None
        self.request.note_unreached(self.under_way)
        self.under_way = None

    @precondition(lambda self: self.under_way is not None)
    @rule()
    def turn_away(self) -> None:
        send = self._send()
        self.request.note_not_run(send)

    @precondition(lambda self: self.under_way is not None)
    @rule(events=st.integers(0, 3))
    def break_off(self, events: int) -> None:
        send = self._send()
        if send.stage is not Stage.PREFILL:
            self.may_have_run += 1
            if events and self.request.route.kind is RouteKind.STREAMING:
                self.request.note_event((self.request.last_event or 0) + events)
        self.request.note_broken(send)

    @precondition(lambda self: self.under_way is not None and self.under_way.stage is Stage.PREFILL)
    @rule()
    def prefill(self) -> None:
        send = self._send()
        self.request.note_prefilled(Handle("k", send.upstream, self.now))

    def _send(self) -> Send:
        send = self.under_way
        assert send is not None
        self.under_way = None
        if send.stage is not Stage.PREFILL:
            assert self.may_have_run == 0 or self.request.route.idempotent, "a second run"
            assert self.may_have_run < self.request.route.max_attempts, "more runs than the route allows"
        self.request.note_sent(send, self.budget, self.now)
        return send

    @precondition(lambda self: isinstance(self.step, (Refuse, Fail)))
    @rule()
    def rest(self) -> None:
        """Do nothing: the request has ended."""

    @invariant()
    def waits_only_for_memory(self) -> None:
        if isinstance(self.step, Wait):
            assert self.request.split


class ListingMachine(RuleBasedStateMachine):
    """Tells two listings the same news in different orders, and whole lists in between."""

    names = st.sampled_from(["a", "b", "c"])

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.truth: dict[str, Entry] = {}
        self.revision = 0
        self.news: list[Entry] = []
        self.direct = Listing()
        self.told = Listing()
        self.drained: set[str] = set()
        self.went_at: dict[str, float] = {}
        """When upstreams whose entries are gone went."""
        self.best: dict[UpstreamId, Entry] = {}
        """The newest news that were heard of each upstream."""

    @rule(name=names, draining=st.booleans(), gone=st.booleans())
    def change(self, name: str, draining: bool, gone: bool) -> None:
        self.revision += 1
        upstream = None if gone else make_upstream(name, Phase.PLAIN, draining=draining)
        if not gone and draining:
            self.drained.add(name)
        entry = Entry(UpstreamId(name), self.revision, upstream)
        if not gone:
            self.went_at.pop(name, None)
        elif name in self.truth and self.truth[name].upstream is not None:
            self.went_at[name] = self.now
        self.truth[name] = entry
        self.news.append(entry)
        self.direct.take(entry, self.now)

    @precondition(lambda self: self.news)
    @rule(data=st.data())
    def hear(self, data: st.DataObject) -> None:
        """Hear any news again, late or out of order."""
        entry = data.draw(st.sampled_from(self.news))
        self.told.take(entry, self.now)
        best = self.best.get(entry.id)
        if best is None or best.revision < entry.revision:
            self.best[entry.id] = entry

    @rule()
    def hear_whole(self) -> None:
        listed = [entry for entry in self.truth.values() if entry.upstream is not None]
        self.told.take_whole(listed, self.revision, self.now)
        self.best = {entry.id: entry for entry in self.truth.values()}
        assert {entry.id for entry in listed} == {
            name for name in self.told.list_ids() if self.told.find(name) is not None
        }

    @rule()
    def catch_up(self) -> None:
        for entry in self.direct.list_since(0, 0.0):
            self.told.take(entry, self.now)
        self.best = {entry.id: entry for entry in self.truth.values()}
        for name in self.truth:
            assert self.told.find(UpstreamId(name)) == self.direct.find(UpstreamId(name))

    @rule(passed=st.floats(0, 4))
    def wait(self, passed: float) -> None:
        self.now += passed

    @invariant()
    def believes_the_newest_that_it_heard(self) -> None:
        for name, entry in self.best.items():
            assert self.told.find(name) == entry.upstream

    @invariant()
    def gives_no_work_to_those_that_leave(self) -> None:
        usable = {one.id for one in self.direct.list_usable(SERVICE, self.now)}
        assert not usable & self.drained
        staying = {name for name, entry in self.truth.items() if entry.upstream is not None} - self.drained
        lapsed = {name for name, at in self.went_at.items() if self.now - at < self.direct.gone_grace} - self.drained
        assert usable == (staying | lapsed if len(lapsed) >= len(staying) else staying)


TestRequest = RequestMachine.TestCase
TestListing = ListingMachine.TestCase


def test_the_budget_allows_a_share_of_requests_and_of_the_slack() -> None:
    budget = Budget(BudgetTerms(ratio=0.2, slack=60, window=10))
    for number in range(100):
        budget.note_request(number * 0.01)
    allowed = 0
    while budget.allows(1.0, vms=10):
        budget.note_extra(1.0)
        allowed += 1
    assert allowed == int(0.8 * (0.2 * 100 + 6))
    assert budget.allows(12.0, vms=10)


def test_a_split_route_keeps_its_shares_and_its_callers() -> None:
    shares = (WeightedService(ServiceName("a"), 90), WeightedService(ServiceName("b"), 10))
    route = Route("r", "h", "/", RouteKind.SAFE, shares, 1, 1)
    chosen = [route.choose_service(f"q{number}") for number in range(2000)]
    assert 120 < chosen.count(ServiceName("b")) < 280
    assert chosen == [route.choose_service(f"q{number}") for number in range(2000)]


def test_vms_that_all_restart_do_not_spend_the_slack_twice() -> None:
    """What was sent before the restart and what is sent behind it fall into one window."""
    terms = BudgetTerms(ratio=0.2, slack=56, window=10)
    sent = 0
    for started in (-1e9, 1.0):
        for _ in range(8):
            budget = Budget(terms, started)
            while budget.allows(1.5, vms=8 if started < 0 else 1):
                budget.note_extra(1.5)
                sent += 1
    assert sent <= 56

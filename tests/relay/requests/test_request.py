"""The request state machine under any outcomes, the listing under any order of updates, and the retry budget."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from beamhatch.relay.choosing.chooser import LeastCostChooser
from beamhatch.relay.choosing.standing import UpstreamStatsRegistry
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
    SoftwareVersion,
    Stage,
    Upstream,
    UpstreamId,
    WeightedService,
)
from beamhatch.relay.requests.request import Fail, Refuse, RelayRequest, Reserve, Send, Step, Wait
from beamhatch.relay.retries.budget import RetryBudget, RetryBudgetLimits
from beamhatch.relay.streams.lookup import Begun, OnlyVersion, UnknownVersion
from beamhatch.relay.upstreams.listing import Entry, Listing

SERVICE = ServiceName("s")


def make_upstream(name: str, phase: Phase, *, draining: bool = False) -> Upstream:
    return Upstream(UpstreamId(name), SERVICE, Address(name, 1), "h", draining, phase, 4)


class RequestMachine(RuleBasedStateMachine):
    """A model that executes the planned steps with any outcome, and records what upstreams may have run."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.possible_runs = 0
        self.step: Step | None = None
        self.under_way: Send | None = None

    @initialize(
        kind=st.sampled_from(RouteKind),
        resumable=st.booleans(),
        attempts=st.integers(1, 3),
        engine=st.booleans(),
        reserves_memory=st.booleans(),
    )
    def begin(self, kind: RouteKind, resumable: bool, attempts: int, engine: bool, reserves_memory: bool) -> None:
        route = Route("r", "h", "/", kind, (WeightedService(SERVICE, 1),), 14.0, 0.9, attempts, resumable)
        engine_config = EngineSpec(128, 60_000, 0.5, 2.0 if reserves_memory else 0.0) if engine else None
        self.request = RelayRequest(RequestFacts("q", None, None, 5000, 100), route, Service(SERVICE, engine_config))
        self.budget = RetryBudget(RetryBudgetLimits())
        self.chooser = LeastCostChooser(UpstreamStatsRegistry(), "h")
        phases = [Phase.PREFILL, Phase.PREFILL, Phase.DECODE, Phase.DECODE, Phase.DECODE]
        if not self.request.split:
            phases = [Phase.PLAIN] * 4
        self.upstreams = [make_upstream(f"u{number}", phase) for number, phase in enumerate(phases)]

    @precondition(lambda self: self.under_way is None and not isinstance(self.step, (Refuse, Fail)))
    @rule(elapsed=st.floats(0, 0.6))
    def plan(self, elapsed: float) -> None:
        self.now += elapsed
        self.step = self.request.plan(self.upstreams, self.chooser, self.budget, 3, self.now)
        if isinstance(self.step, Send | Reserve):
            assert self.step.upstream.id not in self.request.obstacles.silent, "sent to a silent upstream again"
        if isinstance(self.step, Send):
            self.under_way = self.step
        elif isinstance(self.step, Refuse):
            assert self.possible_runs == 0, "refused although an upstream may have run it"

    @precondition(lambda self: isinstance(self.step, Reserve))
    @rule(granted=st.booleans(), reached=st.booleans())
    def reserve(self, granted: bool, reached: bool) -> None:
        assert isinstance(self.step, Reserve)
        upstream = self.step.upstream
        self.step = None
        if not reached:
            self.request.obstacles.record_reserve_failed(upstream.id)
        elif granted:
            self.request.record_reserved(Reservation("v", upstream, self.now + 2.0))
        else:
            self.request.obstacles.record_full(upstream.id)

    @precondition(lambda self: isinstance(self.step, Reserve))
    @rule()
    def reserve_unanswered(self) -> None:
        assert isinstance(self.step, Reserve)
        self.request.obstacles.record_reserve_unanswered(self.step.upstream.id)
        self.step = None

    @precondition(lambda self: self.under_way is not None and self.under_way.stage is not Stage.PREFILL)
    @rule(events=st.integers(0, 3))
    def fall_silent(self, events: int) -> None:
        send = self._send()
        self.possible_runs += 1
        if events and self.request.route.kind is RouteKind.STREAMING:
            self.request.record_event((self.request.last_event or 0) + events, send.upstream.version)
        if self.request.may_leave:
            self.request.begin_search(send.upstream.id)
        else:
            self.step = Fail("it is waited for")

    @precondition(lambda self: self.under_way is None and self.request.obstacles.silent)
    @rule(responds=st.booleans())
    def end_search(self, responds: bool) -> None:
        """End the search because the silent upstream responds, or has failed."""
        silent = sorted(self.request.obstacles.silent)[0]
        self.request.obstacles.silent.discard(silent)
        self.request.end_search(self.budget)
        if responds:
            self.step = Fail("it goes on")

    @precondition(lambda self: self.under_way is not None)
    @rule()
    def fail_to_reach(self) -> None:
        assert self.under_way is not None
        self.request.record_unreachable(self.under_way)
        self.under_way = None

    @precondition(lambda self: self.under_way is not None)
    @rule()
    def refuse_send(self) -> None:
        send = self._send()
        self.request.record_not_run(send)

    @precondition(lambda self: self.under_way is not None)
    @rule(events=st.integers(0, 3))
    def fail_send(self, events: int) -> None:
        send = self._send()
        if send.stage is not Stage.PREFILL:
            self.possible_runs += 1
            if events and self.request.route.kind is RouteKind.STREAMING:
                self.request.record_event((self.request.last_event or 0) + events, send.upstream.version)
        self.request.record_failed(send)

    @precondition(lambda self: self.under_way is not None and self.under_way.stage is Stage.PREFILL)
    @rule()
    def prefill(self) -> None:
        send = self._send()
        self.request.record_prefilled(Handle("k", send.upstream, self.now))

    def _send(self) -> Send:
        send = self.under_way
        assert send is not None
        self.under_way = None
        if send.stage is not Stage.PREFILL:
            assert self.possible_runs == 0 or self.request.route.idempotent, (
                "a request that is not idempotent may run twice"
            )
            assert self.possible_runs < self.request.route.max_attempts, "more runs than the route allows"
        self.request.record_sent(send, self.budget, self.now)
        return send

    @precondition(lambda self: isinstance(self.step, (Refuse, Fail)))
    @rule()
    def stay_ended(self) -> None:
        """Do nothing: the request has ended."""

    @invariant()
    def waits_only_for_memory(self) -> None:
        if isinstance(self.step, Wait):
            assert self.request.split


class ListingMachine(RuleBasedStateMachine):
    """A model that applies the same updates to two listings, in different orders and with snapshots in between."""

    names = st.sampled_from(["a", "b", "c"])

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.expected_entries: dict[str, Entry] = {}
        self.revision = 0
        self.updates: list[Entry] = []
        self.in_order = Listing()
        self.out_of_order = Listing()
        self.drained: set[str] = set()
        self.deleted_at: dict[str, float] = {}
        """Time at which each deleted upstream was deleted."""
        self.newest_received: dict[UpstreamId, Entry] = {}
        """The newest entry of each upstream that ``out_of_order`` has received."""

    @rule(name=names, draining=st.booleans(), deleted=st.booleans())
    def change(self, name: str, draining: bool, deleted: bool) -> None:
        self.revision += 1
        upstream = None if deleted else make_upstream(name, Phase.PLAIN, draining=draining)
        if not deleted and draining:
            self.drained.add(name)
        entry = Entry(UpstreamId(name), self.revision, upstream)
        if not deleted:
            self.deleted_at.pop(name, None)
        elif name in self.expected_entries and self.expected_entries[name].upstream is not None:
            self.deleted_at[name] = self.now
        self.expected_entries[name] = entry
        self.updates.append(entry)
        self.in_order.apply(entry, self.now)

    @precondition(lambda self: self.updates)
    @rule(data=st.data())
    def receive_update(self, data: st.DataObject) -> None:
        """Deliver any earlier update, possibly again, late or out of order."""
        entry = data.draw(st.sampled_from(self.updates))
        self.out_of_order.apply(entry, self.now)
        newest = self.newest_received.get(entry.id)
        if newest is None or newest.revision < entry.revision:
            self.newest_received[entry.id] = entry

    @rule()
    def receive_snapshot(self) -> None:
        listed = [entry for entry in self.expected_entries.values() if entry.upstream is not None]
        self.out_of_order.apply_snapshot(listed, self.revision, self.now)
        self.newest_received = {entry.id: entry for entry in self.expected_entries.values()}
        assert {entry.id for entry in listed} == {
            name for name in self.out_of_order.list_ids() if self.out_of_order.get(name) is not None
        }

    @rule()
    def catch_up(self) -> None:
        for entry in self.in_order.list_since(0, 0.0):
            self.out_of_order.apply(entry, self.now)
        self.newest_received = {entry.id: entry for entry in self.expected_entries.values()}
        for name in self.expected_entries:
            assert self.out_of_order.get(UpstreamId(name)) == self.in_order.get(UpstreamId(name))

    @rule(elapsed=st.floats(0, 4))
    def wait(self, elapsed: float) -> None:
        self.now += elapsed

    @invariant()
    def keeps_newest_received_entry(self) -> None:
        for name, entry in self.newest_received.items():
            assert self.out_of_order.get(name) == entry.upstream

    @invariant()
    def lists_only_usable_upstreams(self) -> None:
        usable = {one.id for one in self.in_order.list_usable(SERVICE, self.now)}
        assert not usable & self.drained
        available = {name for name, entry in self.expected_entries.items() if entry.upstream is not None} - self.drained
        recently_deleted = {
            name for name, at in self.deleted_at.items() if self.now - at < self.in_order.gone_grace_s
        } - self.drained
        assert usable == (available | recently_deleted if len(recently_deleted) >= len(available) else available)


TestRequest = RequestMachine.TestCase
TestListing = ListingMachine.TestCase


def test_the_retry_budget_allows_a_share_of_requests_and_of_the_slack() -> None:
    budget = RetryBudget(RetryBudgetLimits(ratio=0.2, slack=60, window_s=10))
    for number in range(100):
        budget.record_request(number * 0.01)
    allowed = 0
    while budget.allows(1.0, vm_count=10):
        budget.record_retry(1.0)
        allowed += 1
    assert allowed == int(0.8 * (0.2 * 100 + 6))
    assert budget.allows(12.0, vm_count=10)


def test_route_splits_requests_by_share_and_always_chooses_the_same_service_for_a_caller() -> None:
    shares = (WeightedService(ServiceName("a"), 90), WeightedService(ServiceName("b"), 10))
    route = Route("r", "h", "/", RouteKind.SAFE, shares, 1, 1)
    chosen = [route.choose_service(f"q{number}") for number in range(2000)]
    assert 120 < chosen.count(ServiceName("b")) < 280
    assert chosen == [route.choose_service(f"q{number}") for number in range(2000)]


def test_retries_that_were_counted_and_not_made_are_taken_back() -> None:
    budget = RetryBudget(RetryBudgetLimits(ratio=0.0, slack=15.0))
    budget.record_retry(1.0)
    budget.record_retry(2.0, 2)
    assert not budget.allows(2.0, 6)
    budget.withdraw_retry(2.0, 2)
    assert budget.allows(2.0, 6)
    budget.withdraw_retry(2.0, 2)
    assert not budget.allows(2.0, 6, 2)


def test_streams_that_leave_the_same_upstream_share_the_budget() -> None:
    budget = RetryBudget(RetryBudgetLimits(ratio=0.0, slack=30.0))
    chooser = LeastCostChooser(UpstreamStatsRegistry(), "h")
    upstreams = [make_upstream(f"u{number}", Phase.DECODE) for number in range(3)]
    steps = []
    for _ in range(6):
        request = make_request()
        request.record_sent(Send(Stage.WHOLE, upstreams[0]), budget, 1.0)
        request.begin_search(upstreams[0].id)
        steps.append(request.plan(upstreams, chooser, budget, 6, 1.0))
    assert [isinstance(step, Send) for step in steps] == [True] * 4 + [False] * 2


def test_vms_that_restart_together_do_not_use_the_slack_twice() -> None:
    """Retries before and after a restart that fall into one window must not exceed the slack."""
    terms = RetryBudgetLimits(ratio=0.2, slack=56, window_s=10)
    sent = 0
    for started in (-1e9, 1.0):
        for _ in range(8):
            budget = RetryBudget(terms, started)
            while budget.allows(1.5, vm_count=8 if started < 0 else 1):
                budget.record_retry(1.5)
                sent += 1
    assert sent <= 56


def make_request() -> RelayRequest:
    route = Route("r", "h", "/", RouteKind.STREAMING, (WeightedService(SERVICE, 1.0),), 5.0, 0.9, 2, resumable=True)
    return RelayRequest(RequestFacts("q2", 9.0, last_event=3, resumed_request="q1"), route, Service(SERVICE))


def test_a_stream_goes_on_at_a_version_that_appeared_while_it_waited() -> None:
    request = make_request()
    assert request.apply_origin(OnlyVersion(SoftwareVersion("v1"))) is None
    assert request.version == "v1"


def test_a_stream_of_another_service_goes_on_at_a_version_of_the_same_name() -> None:
    request = make_request()
    refusal = request.apply_origin(Begun(ServiceName("other"), SoftwareVersion("v1")))
    assert refusal is not None
    assert refusal.is_final


def test_a_stream_of_unknown_origin_is_refused_for_good_only_if_all_were_asked() -> None:
    silent = make_request().apply_origin(UnknownVersion(silent=1))
    joining = make_request().apply_origin(UnknownVersion(wait_s=1.5))
    final = make_request().apply_origin(UnknownVersion())
    assert silent is not None
    assert joining is not None
    assert final is not None
    assert (silent.is_final, joining.is_final, final.is_final) == (False, False, True)
    assert joining.retry_after_s == 1.5

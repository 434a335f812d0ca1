"""Reservations and queueing of a pool, compared with independently counted engine memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from benchmarks.decisions import DEPLOYMENTS, run
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from beamhatch.decide.call import Priority
from beamhatch.decide.fleet import Fleet
from beamhatch.decide.ledger import LoadSnapshot, UpstreamConfig, UpstreamState, VmLoad
from beamhatch.decide.policy.api import ResourceNeed
from beamhatch.decide.policy.make import ALGORITHMS, make_policy
from beamhatch.decide.pool import HandoffDecision, Pool, RefusalDecision, StartDecision
from beamhatch.ids import HallName, RequestId, UpstreamName, WorkspaceName

if TYPE_CHECKING:
    from collections.abc import Sequence

MEMORY = 1000


def make_pool(algorithm: str = "predicted") -> Pool:
    fleet = Fleet(HallName("h"), max_report_age=1e9)
    configs = [
        UpstreamConfig(UpstreamName(f"{role}{n}"), "", HallName("h"), role, {}, MEMORY, 1000.0, 10_000.0)
        for role in ("prefill", "decode")
        for n in range(2)
    ]
    fleet.set_upstreams(configs)
    for item in configs:
        fleet.apply_report(item.name, LoadSnapshot(0.0, 0, MEMORY, 0))
    policy = make_policy(algorithm)
    return Pool(fleet, lambda need: policy)


class PoolMachine(RuleBasedStateMachine):
    """Starts, hands off, completes and cancels requests, and counts engine memory independently."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.pool = make_pool()
        self.count = 0
        self.states: dict[str, str] = {}
        self.tokens: dict[str, int] = {}
        self.landed: dict[str, str] = {}

    def take(self, decisions: Sequence[object]) -> None:
        for decision in decisions:
            if isinstance(decision, StartDecision):
                assert self.states[decision.request] == "waiting"
                self.states[decision.request] = "prefilling"
            elif isinstance(decision, HandoffDecision):
                assert self.states[decision.request] == "landing"
                self.states[decision.request] = "decoding"
                self.landed[decision.request] = decision.upstream
            elif isinstance(decision, RefusalDecision):
                assert self.states[decision.request] in ("waiting", "landing")
                self.states.pop(decision.request)
                self.take(self.pool.release(decision.request, self.now))

    @rule(prompt=st.integers(1, 300), output=st.integers(1, 200), priority=st.sampled_from(Priority))
    def ask(self, prompt: int, output: int, priority: Priority) -> None:
        self.count += 1
        request = RequestId(f"r{self.count}")
        self.states[request], self.tokens[request] = "waiting", prompt + output
        need = ResourceNeed(request, WorkspaceName(f"w{self.count % 3}"), prompt, output, self.now, priority)
        self.take(list(self.pool.request_start(need, self.now)))

    @rule(data=st.data())
    def end_prefill(self, data: st.DataObject) -> None:
        running = [request for request, state in self.states.items() if state == "prefilling"]
        if running:
            request = data.draw(st.sampled_from(running))
            self.states[request] = "landing"
            self.take(list(self.pool.request_handoff(RequestId(request), frozenset(), self.now)))

    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        """A request ends, or its caller goes, in whatever state."""
        if self.states:
            request = data.draw(st.sampled_from(sorted(self.states)))
            del self.states[request]
            self.landed.pop(request, None)
            self.take(list(self.pool.release(RequestId(request), self.now)))

    @rule(seconds=st.floats(0.01, 3))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.take(list(self.pool.expire(self.now)))

    @invariant()
    def no_engine_is_given_more_than_fits(self) -> None:
        for name in ("decode0", "decode1"):
            held = sum(self.tokens[request] for request, upstream in self.landed.items() if upstream == name)
            assert held <= MEMORY
            assert self.pool.fleet.ledgers[UpstreamName(name)].own_tokens == held

    @invariant()
    def nothing_is_kept_of_those_that_went(self) -> None:
        known = {*self.pool.placements, *self.pool.queue.needs}
        assert known == set(self.states)
        promised = {request for ledger in self.pool.fleet.ledgers.values() for request in ledger.reservations}
        assert promised <= set(self.states)

    def teardown(self) -> None:
        for request in list(self.states):
            self.states.pop(request, None)
            self.landed.pop(request, None)
            self.take(list(self.pool.release(RequestId(request), self.now)))
        for ledger in self.pool.fleet.ledgers.values():
            assert (ledger.held_tokens, ledger.reserved_tokens, ledger.jobs) == (0, 0, 0)


TestPool = PoolMachine.TestCase


def test_report_adds_only_unattributed_load() -> None:
    pool = make_pool()
    ledger = pool.fleet.ledgers[UpstreamName("decode0")]
    ledger.record_dispatch(RequestId("mine"), 100, 1.0)
    ledger.apply_vm_load("vm-2", VmLoad(200, 50, 1), 1.5)
    ledger.apply_report(LoadSnapshot(2.0, 350, MEMORY, 3))
    assert (ledger.held_tokens, ledger.reserved_tokens, ledger.jobs) == (350, 50, 3)
    ledger.record_end(RequestId("mine"), 2.1)
    ledger.apply_vm_load("vm-2", None, 2.2)
    assert (ledger.held_tokens, ledger.jobs) == (50, 1)
    ledger.apply_report(LoadSnapshot(1.2, 900, MEMORY, 9))
    assert ledger.held_tokens == 50


@given(st.sets(st.sampled_from([f"{role}{n}" for role in ("prefill", "decode") for n in range(2)]), max_size=2))
def test_no_policy_ever_chooses_an_upstream_that_leaves_or_is_excluded(gone: set[str]) -> None:
    for algorithm in ALGORITHMS:
        pool = make_pool(algorithm)
        excluded = sorted(gone)[:1]
        for name in sorted(gone)[1:]:
            pool.fleet.set_state(UpstreamName(name), UpstreamState.LEAVING)
        need = ResourceNeed(RequestId("r"), WorkspaceName("w"), 10, 10, 0.0, exclude=frozenset(excluded))
        choice = make_policy(algorithm).choose_first(need, pool.fleet, 0.0)
        chosen = {ledger.config.name for ledger in (choice.first, choice.decode) if ledger} if choice else set()
        assert not chosen & gone


def test_refusal_is_immediate_and_has_retry_after() -> None:
    pool = make_pool()
    refusals: list[RefusalDecision] = []
    for number in range(60):
        need = ResourceNeed(RequestId(f"r{number}"), WorkspaceName("w"), 500, 400, 0.0)
        refusals += [one for one in pool.request_start(need, 0.0) if isinstance(one, RefusalDecision)]
    assert refusals
    assert all(one.retry_after is not None and one.retry_after > 0 for one in refusals)


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=lambda deployment: str(deployment.name))
@pytest.mark.parametrize("seed", [1, 2])
def test_predicted_policy_is_no_worse_than_naive_at_low_load(deployment: object, seed: int) -> None:
    naive, chosen = (run(deployment, variant, 0.3, 3, "calm", seed) for variant in ("naive", "predicted"))  # type: ignore[arg-type]
    assert chosen["goodput"] >= naive["goodput"]
    assert chosen["wasted_prefill"] <= naive["wasted_prefill"]


@pytest.mark.parametrize("algorithm", sorted(ALGORITHMS))
@pytest.mark.parametrize("fault", ["decode_death", "stalled_transfer", "callers_leaving", "cut_hall"])
def test_no_request_is_lost_or_answered_twice_under_any_policy(algorithm: str, fault: str) -> None:
    line = run(DEPLOYMENTS[0], algorithm, 1.2, 3, fault, 3)
    assert (line["lost"], line["doubled"]) == (0, 0)

"""Tests of the limits on requests to cold upstreams."""

from __future__ import annotations

import math
import time
import tracemalloc

import pytest

from beamhatch.relay.choosing.cold_gate import (
    LOG_RETENTION_S,
    STARTUP_DELAY_S,
    ColdLimit,
    ColdPermit,
    CountingGate,
    KnownVms,
)
from beamhatch.relay.choosing.cold_transitions import ColdTransitions
from beamhatch.relay.choosing.sponsors import MAX_DISJOINT_VIEWS, SPONSOR_TERM_GAP_S, SPONSOR_TERM_S, SponsorGate
from beamhatch.relay.choosing.turns import RoundRobinGate
from beamhatch.relay.model import Address, ColdTerms, Phase, ServiceName, Upstream, UpstreamId

TERMS = ColdTerms(3.0, 8.0)
BOUND = ColdLimit(1.5, 5.0)
START = 100.0
GATE_CLASSES = [SponsorGate, RoundRobinGate]


def make_upstream(name: str = "u", cold_left: float = 3.0) -> Upstream:
    return Upstream(UpstreamId(name), ServiceName("s"), Address(name, 1), "a", False, Phase.PLAIN, 6, cold_left)


def make_names(count: int) -> list[str]:
    return [f"10.0.{number}:1" for number in range(count)]


def make_gate(
    kind: type[SponsorGate] | type[RoundRobinGate],
    own: str = "own",
    others: list[str] | None = None,
    *,
    expects: bool = False,
    cold_until: float = 1e6,
    bound: ColdLimit = BOUND,
) -> CountingGate:
    vms = KnownVms(own, lambda now: others or [], lambda: expects)
    return kind(vms, bound, START, lambda upstream: cold_until)


def count_allowed_requests(names: list[str], upstream: Upstream, now: float = 200.0, cold_until: float = 201.0) -> int:
    gates = [make_gate(SponsorGate, name, names, cold_until=cold_until) for name in names]
    return sum(gate.count_allowed(upstream, TERMS, now) for gate in gates if gate.may_send(upstream, TERMS, now))


@pytest.mark.parametrize("kind", GATE_CLASSES)
def test_a_vm_sends_nothing_just_after_its_start(kind: type[SponsorGate] | type[RoundRobinGate]) -> None:
    gate = make_gate(kind)
    assert not gate.may_send(make_upstream(), TERMS, START + STARTUP_DELAY_S - 0.1)
    assert gate.get_wait(make_upstream(), TERMS, START + 0.5) == pytest.approx(STARTUP_DELAY_S - 0.5)
    assert any(gate.may_send(make_upstream(), TERMS, START + STARTUP_DELAY_S + part / 10) for part in range(40))


@pytest.mark.parametrize("kind", GATE_CLASSES)
def test_a_vm_that_knows_none_of_the_expected_others_sends_nothing(
    kind: type[SponsorGate] | type[RoundRobinGate],
) -> None:
    gate = make_gate(kind, expects=True)
    assert not any(gate.may_send(make_upstream(), TERMS, 200 + part / 10) for part in range(100))


@pytest.mark.parametrize("vms", [1, 2, 5, 8, 74, 195])
def test_all_vms_of_a_view_stay_within_its_part_of_the_limit(vms: int) -> None:
    names = make_names(vms)
    for number in range(20):
        assert 0 < count_allowed_requests(names, make_upstream(f"u{number}")) <= 17 // MAX_DISJOINT_VIEWS


def test_two_disjoint_views_stay_within_the_limit() -> None:
    names = make_names(74)
    for number in range(20):
        upstream = make_upstream(f"u{number}")
        assert count_allowed_requests(names[:30], upstream) + count_allowed_requests(names[30:], upstream) <= 17


def test_a_vm_counts_its_requests_in_any_second() -> None:
    gate = make_gate(SponsorGate)
    upstream = make_upstream()
    for number in range(8):
        assert gate.may_send(upstream, TERMS, 200 + number / 10)
        gate.record_sent(upstream.id, 200 + number / 10)
    assert not gate.may_send(upstream, TERMS, 200.9)
    assert gate.get_wait(upstream, TERMS, 200.9) == pytest.approx(0.12)
    assert gate.may_send(upstream, TERMS, 201.03)


def test_a_permit_reserves_room_until_its_request_is_sent_or_dropped() -> None:
    gate = make_gate(SponsorGate, bound=ColdLimit(0.25, 0.0))
    upstream = make_upstream()
    assert gate.may_send(upstream, TERMS, 200.0)
    gate.reserve(upstream.id, 200.0)
    permit = ColdPermit(gate, upstream.id)
    assert not gate.may_send(upstream, TERMS, 205.0)
    assert gate.get_wait(upstream, TERMS, 205.0) > 0
    permit.use(206.0)
    permit.use(206.5)
    permit.drop(206.5)
    assert not gate.may_send(upstream, TERMS, 206.9)
    assert gate.may_send(upstream, TERMS, 207.1)
    gate.reserve(upstream.id, 207.1)
    ColdPermit(gate, upstream.id).drop(207.2)
    assert gate.may_send(upstream, TERMS, 207.2)


def test_reservations_do_not_expire() -> None:
    gate = make_gate(SponsorGate, bound=ColdLimit(0.25, 0.0))
    gate.reserve(make_upstream().id, 200.0)
    assert not gate.may_send(make_upstream(), TERMS, 200 + 2 * LOG_RETENTION_S)


def test_an_upstream_with_less_than_one_request_per_view_gets_none() -> None:
    gate = make_gate(SponsorGate, bound=ColdLimit(0.1, 0.0))
    assert not gate.may_send(make_upstream(), TERMS, 200.0)
    assert gate.get_wait(make_upstream(), TERMS, 200.0) == math.inf


def test_sponsors_change_with_each_term() -> None:
    names = make_names(74)
    upstream = make_upstream(cold_left=600.0)
    until = 800.0

    def list_sponsors(left: float) -> set[str]:
        now = until - left
        gates = {name: make_gate(SponsorGate, name, names, cold_until=until) for name in names}
        return {name for name, gate in gates.items() if gate.may_send(upstream, TERMS, now)}

    first, second = (
        list_sponsors(2 * SPONSOR_TERM_S - SPONSOR_TERM_GAP_S - 0.5),
        list_sponsors(SPONSOR_TERM_S - SPONSOR_TERM_GAP_S - 0.5),
    )
    assert first != second
    assert len(first) == len(second) == 8
    assert not list_sponsors(SPONSOR_TERM_S - SPONSOR_TERM_GAP_S / 2), "sponsors of two terms send in the same second"
    served: set[str] = set()
    for term in range(60):
        served |= list_sponsors(term * SPONSOR_TERM_S + 1.0)
    assert len(served) == len(names)


def test_few_vms_have_their_turn_at_the_same_time() -> None:
    names = make_names(74)
    gates = [make_gate(RoundRobinGate, name, names, cold_until=1000.0) for name in names]
    for part in range(200):
        now = 200 + part / 20
        assert sum(gate.may_send(make_upstream(), TERMS, now) for gate in gates) <= 4
    waits = [gate.get_wait(make_upstream(), TERMS, 200.0) for gate in gates]
    assert all(
        gate.may_send(make_upstream(), TERMS, 200.0 + wait + 0.01) for gate, wait in zip(gates, waits, strict=True)
    )


def test_a_thousand_cold_upstreams_use_little_memory() -> None:
    names = make_names(300)
    gate = make_gate(SponsorGate, names[0], names, cold_until=201.0)
    upstreams = [make_upstream(f"u{number}") for number in range(1000)]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    sponsored = [one for one in upstreams if gate.may_send(one, TERMS, 200.0)]
    for one in sponsored:
        gate.record_sent(one.id, 200.0)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert 5 <= len(sponsored) <= 80
    assert used < 1_000_000
    gate.may_send(upstreams[0], TERMS, 200.0 + 2 * LOG_RETENTION_S)
    assert not gate._logs


def test_each_transition_to_cold_and_warm_is_reported_once() -> None:
    transitions = ColdTransitions()
    names = [UpstreamId("a"), UpstreamId("b")]
    assert transitions.record_cold(names) == names
    assert not transitions.record_cold(names)
    until = {"a": 5.0, "b": 7.0}
    assert transitions.pop_warm(until.__getitem__, 6.0) == ["a"]
    assert not transitions.pop_warm(until.__getitem__, 6.5)
    assert transitions.record_cold(names) == ["a"]


def benchmark_cold_checks() -> None:
    """Print the time to check a thousand cold upstreams on one of 300 VMs; not called by tests."""
    names = make_names(300)
    gate = make_gate(SponsorGate, names[0], names, cold_until=201.0)
    upstreams = [make_upstream(f"u{number}") for number in range(1000)]
    for _ in range(2):
        begun = time.perf_counter()
        for one in upstreams:
            gate.may_send(one, TERMS, 200.0)
        print(round(1000 * (time.perf_counter() - begun), 2), "ms")  # noqa: T201

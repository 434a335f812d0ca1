"""Tests of rate limits on one VM and in simulated fleets, without a network."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from beamhatch.relay.limits.account import MAX_DEBT_S, MAX_ORIGINS, MIN_RATE_PER_S, RELEASED_PERMIT_TTL_S
from beamhatch.relay.limits.limits import MAX_BUCKETS, UNLIMITED_RATE_PER_S, WITHDRAWN_LIMIT_RETENTION_S, Limits
from beamhatch.relay.limits.words import LimitState, Origin, RequestCount, make_incarnation_key
from beamhatch.relay.model import Incarnation, UpstreamId
from tests.support.limit_fleet import WINDOW_S, LimitFleet

INCARNATION = Incarnation(UpstreamId("u"), 1)
OTHER_INCARNATION = Incarnation(UpstreamId("u"), 2)
KEY = make_incarnation_key(INCARNATION)
NOW = 100.0
SETTLE = 2.0
"""Seconds until all VMs of a fleet enforce an announced limit."""

BURST = 5.0
"""Requests beyond the limit that are tolerated in a window without failures."""


def make_limits(rate: float = 2.0) -> Limits:
    limits = Limits()
    assert limits.apply_response(INCARNATION, rate, NOW, NOW)
    return limits


def compute_tolerated(rate: float) -> float:
    """Return the largest tolerated number of requests in a window."""
    return 1.5 * rate * WINDOW_S + 5


# --- one VM -----------------------------------------------------------------------------------------------------------


def test_an_upstream_without_a_limit_is_not_limited() -> None:
    limits = make_limits()
    assert limits.may_send(Incarnation(UpstreamId("v"), 1), NOW)
    assert limits.acquire_permit(Incarnation(UpstreamId("v"), 1), NOW) is None


def test_capacity_accrues_only_after_the_limit_is_announced() -> None:
    limits = make_limits(2.0)
    assert not limits.may_send(INCARNATION, NOW)
    assert not limits.may_send(INCARNATION, NOW + 0.49)
    assert limits.may_send(INCARNATION, NOW + 0.51)
    assert limits.compute_wait(INCARNATION, NOW + 0.51) == 0.0


def test_a_new_incarnation_has_no_limit_until_it_announces_one() -> None:
    limits = make_limits()
    assert limits.may_send(OTHER_INCARNATION, NOW)
    assert limits.get_rate(OTHER_INCARNATION) is None


@pytest.mark.parametrize("rate", [0.0, 0.01])
def test_an_upstream_with_a_limit_of_zero_is_probed(rate: float) -> None:
    limits = make_limits(rate)
    sent = 0
    for step in range(1000):
        if limits.may_send(INCARNATION, NOW + step / 10):
            limits.record_request(INCARNATION, NOW + step / 10)
            sent += 1
    assert sent == pytest.approx(100 * MIN_RATE_PER_S, abs=1)


def test_a_huge_limit_is_no_limit() -> None:
    limits = Limits()
    assert not limits.apply_response(INCARNATION, UNLIMITED_RATE_PER_S, NOW, NOW)
    assert limits.may_send(INCARNATION, NOW)


def test_raising_a_limit_to_a_huge_one_withdraws_it() -> None:
    limits = make_limits(0.5)
    assert limits.apply_response(INCARNATION, 1e9, NOW + 1, NOW + 1)
    assert limits.may_send(INCARNATION, NOW + 1)


def test_a_limit_that_is_announced_again_starts_without_capacity() -> None:
    limits = make_limits()
    assert limits.apply_response(INCARNATION, None, NOW + 10, NOW + 10)
    assert limits.may_send(INCARNATION, NOW + 10)
    assert limits.apply_response(INCARNATION, 2.0, NOW + 12, NOW + 12)
    assert not limits.may_send(INCARNATION, NOW + 12)


def test_a_response_to_an_older_request_neither_withdraws_nor_raises_a_limit() -> None:
    limits = make_limits(2.0)
    assert not limits.apply_response(INCARNATION, None, NOW - 0.1, NOW + 0.1)
    assert not limits.apply_response(INCARNATION, 9.0, NOW - 0.1, NOW + 0.1)
    assert limits.apply_response(INCARNATION, 1.0, NOW - 0.1, NOW + 0.1)
    assert limits.get_rate(INCARNATION) == 1.0


def test_a_released_permit_is_reused() -> None:
    limits = make_limits(2.0)
    permit = limits.acquire_permit(INCARNATION, NOW + 0.6)
    assert permit is not None
    assert not limits.may_send(INCARNATION, NOW + 0.6)
    permit.drop(NOW + 0.7)
    permit.drop(NOW + 0.7)
    assert limits.may_send(INCARNATION, NOW + 0.7)
    limits.record_request(INCARNATION, NOW + 0.7)
    assert not limits.may_send(INCARNATION, NOW + 0.7)


def test_a_released_permit_expires() -> None:
    limits = make_limits(0.5)
    permit = limits.acquire_permit(INCARNATION, NOW + 2.0)
    assert permit is not None
    permit.drop(NOW + 2.0)
    assert not limits.may_send(INCARNATION, NOW + 2.0 + RELEASED_PERMIT_TTL_S)


def test_a_used_permit_is_not_released() -> None:
    limits = make_limits(2.0)
    permit = limits.acquire_permit(INCARNATION, NOW + 0.6)
    assert permit is not None
    permit.use(NOW + 0.6)
    permit.drop(NOW + 0.6)
    assert not limits.may_send(INCARNATION, NOW + 0.6)


def test_retries_take_precedence() -> None:
    limits = make_limits(2.0)
    limits.record_refusal([INCARNATION], NOW + 3)
    assert not limits.may_send(INCARNATION, NOW + 0.55)
    assert limits.may_send(INCARNATION, NOW + 0.55, is_retry=True)
    assert limits.may_send(INCARNATION, NOW + 0.65)


def test_buckets_are_bounded_and_expire() -> None:
    limits = Limits()
    for number in range(MAX_BUCKETS + 5):
        limits.apply_response(Incarnation(UpstreamId(f"u{number}"), 1), 1.0, NOW, NOW)
    assert limits.count_limited() == MAX_BUCKETS
    limits.remove_unlisted({UpstreamId("u100"), UpstreamId("u101")})
    assert limits.count_limited() == 2
    limits.apply_response(Incarnation(UpstreamId("u100"), 1), None, NOW + 1, NOW + 1)
    limits.remove_expired(NOW + 2 + WITHDRAWN_LIMIT_RETENTION_S)
    assert [state.incarnation.id for state in limits.list_states(NOW)] == ["u101"]


# --- gossip -----------------------------------------------------------------------------------------------------------


def test_duplicate_counts_are_deducted_once() -> None:
    limits = make_limits(2.0)
    limits.count_vms = lambda: 2
    # The count with total 2 arrives after the one with total 3.
    counts = [RequestCount(KEY, Origin(7), total, 1) for total in (1, 1, 1, 3, 2)]
    applied = [limits.apply_count(one, NOW + 1) for one in counts]
    assert [None if one is None else one.new for one in applied] == [1, None, None, 2, None]


def test_only_new_requests_of_an_unknown_origin_are_deducted() -> None:
    limits = make_limits(2.0)
    limits.apply_count(RequestCount(KEY, Origin(7), 5000, 1), NOW + 1)
    assert limits.compute_wait(INCARNATION, NOW + 1) <= 0.5


def test_own_total_continues_after_other_origins_are_dropped() -> None:
    limits = make_limits(2.0)
    limits.record_request(INCARNATION, NOW + 1)
    for number in range(MAX_ORIGINS + 10):
        limits.apply_count(RequestCount(KEY, Origin(number), 1, 1), NOW + 1)
    limits.drain_pending()
    limits.record_request(INCARNATION, NOW + 1)
    _, counts = limits.drain_pending()
    assert [(one.total, one.new) for one in counts] == [(2, 1)]


def test_the_debt_is_bounded_for_any_received_count() -> None:
    limits = make_limits(2.0)
    limits.apply_count(RequestCount(KEY, Origin(7), 10**9, 10**9), NOW + 1)
    assert limits.compute_wait(INCARNATION, NOW + 1) <= MAX_DEBT_S + 1.0


def test_the_newer_state_wins_and_of_equal_versions_the_stricter() -> None:
    limits = make_limits(2.0)
    assert not limits.apply_state(LimitState(INCARNATION, 1, 5.0), NOW)
    assert limits.apply_state(LimitState(INCARNATION, 1, 1.5), NOW)
    assert limits.apply_state(LimitState(INCARNATION, 2, None), NOW)
    assert not limits.apply_state(LimitState(INCARNATION, 1, 1.0), NOW)
    assert limits.apply_state(LimitState(INCARNATION, 2, 3.0), NOW)


@given(st.lists(st.tuples(st.integers(1, 4), st.none() | st.sampled_from([0.5, 1.0, 2.0])), max_size=8), st.randoms())
def test_states_converge_in_any_order(told: list[tuple[int, float | None]], order: object) -> None:
    words = [LimitState(INCARNATION, version, rate) for version, rate in told]
    shuffled = list(words)
    order.shuffle(shuffled)  # type: ignore[attr-defined]
    found = []
    for one in (words, shuffled):
        limits = Limits()
        for word in one:
            limits.apply_state(word, NOW)
        found.append(limits.get_rate(INCARNATION))
    assert found[0] == found[1]


# --- fleets -----------------------------------------------------------------------------------------------------------

SIZES = [1, 8, 74, 195, 300]


def compute_demand(vms: int) -> float:
    """Return a demand of three requests per second and VM, and at least 30."""
    return max(30.0, 3.0 * vms)


@pytest.mark.parametrize("rate", [0.2, 2.6, 20.0])
@pytest.mark.parametrize("vms", SIZES)
def test_a_fleet_keeps_and_uses_the_limit(vms: int, rate: float) -> None:
    fleet = LimitFleet(vms, rate)
    fleet.run(SETTLE, compute_demand(vms))
    since = fleet.now
    fleet.run(20.0, compute_demand(vms))
    assert fleet.count_busiest_window(since) <= min(compute_tolerated(rate), 1.1 * rate * WINDOW_S + BURST)
    assert fleet.compute_rate(since) >= (0.8 if vms <= 8 else 0.6) * rate


@pytest.mark.parametrize("vms", SIZES)
def test_callers_of_few_vms_can_use_the_limit(vms: int) -> None:
    fleet = LimitFleet(vms, 2.6)
    some = fleet.vms[: max(1, vms // 6)]
    fleet.run(SETTLE, 30.0, some)
    since = fleet.now
    fleet.run(20.0, 30.0, some)
    assert fleet.count_busiest_window(since) <= 2.6 * WINDOW_S + BURST
    assert fleet.compute_rate(since) >= (0.8 if vms <= 8 else 0.6) * 2.6


@pytest.mark.parametrize("vms", SIZES)
def test_a_surge_after_idle_time_stays_within_bounds(vms: int) -> None:
    fleet = LimitFleet(vms, 2.6)
    fleet.run(SETTLE, 3.0)
    fleet.run(5.0, 0.1)
    since = fleet.now
    fleet.run(10.0, compute_demand(vms))
    assert fleet.count_busiest_window(since) <= compute_tolerated(2.6)


@pytest.mark.parametrize("vms", [8, 74, 300])
def test_restarts_stay_within_bounds_and_others_continue(vms: int) -> None:
    fleet = LimitFleet(vms, 2.6)
    fleet.run(SETTLE, compute_demand(vms))
    since = fleet.now
    for _ in range(6):
        fleet.restart(fleet.random.sample(fleet.vms, max(1, vms // 8)))
        fleet.run(2.0, compute_demand(vms))
    assert fleet.count_busiest_window(since) <= compute_tolerated(2.6)
    assert fleet.compute_rate(since) >= 0.6 * 2.6


@pytest.mark.parametrize("vms", [8, 74, 300])
def test_new_vms_learn_the_limit_before_they_send(vms: int) -> None:
    fleet = LimitFleet(vms, 2.6)
    fleet.run(SETTLE, compute_demand(vms))
    since = fleet.now
    new = [fleet.add(f"new{number}") for number in range(vms // 4)]
    fleet.run(0.1, 0.0)
    fleet.run(8.0, compute_demand(vms), new)
    assert fleet.count_busiest_window(since) <= compute_tolerated(2.6)


@pytest.mark.parametrize("vms", [8, 74, 300])
def test_both_sides_of_a_partition_stay_within_bounds_and_serve(vms: int) -> None:
    fleet = LimitFleet(vms, 2.6)
    fleet.run(SETTLE, compute_demand(vms))
    since = fleet.now
    fleet.cut(fleet.vms[: vms // 3])
    fleet.run(35.0, compute_demand(vms))
    known_at = since + 4.0
    sides = [[at for vm in fleet.vms if vm.side == side for at in vm.sent if at > known_at] for side in (0, 1)]
    fleet.heal()
    fleet.run(6.0, compute_demand(vms))
    assert fleet.count_busiest_window(known_at) <= compute_tolerated(2.6)
    assert fleet.count_busiest_window(since) <= 2 * (2.6 * WINDOW_S + BURST)  # each side uses the whole limit for 2 s
    assert all(len(side) >= 0.25 * 2.6 * 30 for side in sides)


@pytest.mark.parametrize("vms", [8, 74, 300])
def test_a_lowered_limit_is_enforced_and_a_withdrawn_one_removed(vms: int) -> None:
    fleet = LimitFleet(vms, 20.0)
    fleet.run(SETTLE, compute_demand(vms))
    fleet.rate = 2.0
    fleet.run(1.0, compute_demand(vms))
    since = fleet.now
    fleet.run(8.0, compute_demand(vms))
    assert fleet.count_busiest_window(since) <= 2.0 * WINDOW_S + BURST
    fleet.rate = None
    fleet.run(3.0, compute_demand(vms))
    assert all(vm.limits.get_rate(INCARNATION) is None for vm in fleet.vms)


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10**6), st.sampled_from([2, 6, 24]), st.sampled_from([0.3, 1.0, 4.5, 12.0]))
def test_random_events_stay_within_bounds(seed: int, vms: int, rate: float) -> None:
    fleet = LimitFleet(vms, rate, seed=seed)
    fleet.run(SETTLE, 60.0)
    since = fleet.now
    for _ in range(6):
        match fleet.random.randrange(4):
            case 0:
                fleet.restart([fleet.random.choice(fleet.vms)])
            case 1:
                fleet.add(f"more{fleet.now}")
            case 2:
                fleet.run(1.0, 0.5)
            case _:
                fleet.run(1.0, 200.0, fleet.vms[:1])
        fleet.run(1.5, 60.0)
    assert fleet.count_busiest_window(since) <= compute_tolerated(rate)

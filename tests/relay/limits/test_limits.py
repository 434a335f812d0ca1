"""Limits that upstreams name, kept by VMs together: decisions alone, without a network."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from beamhatch.relay.limits.account import LEAST_PACE, MOST_DEBT_TIME, MOST_ORIGINS, SPARE_LIFE
from beamhatch.relay.limits.limits import ENDED_LIFE, LARGEST_RATE, MOST_LIFE_ACCOUNTS, Limits
from beamhatch.relay.limits.words import LimitWord, Origin, Spent, make_key
from beamhatch.relay.model import Incarnation, UpstreamId
from tests.support.limit_fleet import WINDOW, LimitFleet

LIFE = Incarnation(UpstreamId("u"), 1)
OTHER_LIFE = Incarnation(UpstreamId("u"), 2)
KEY = make_key(LIFE)
NOW = 100.0
SETTLE = 2.0
"""Seconds behind the first answers with the word in which a fleet comes to keep it."""

BURST = 5.0
"""Requests on top of the limit itself that may come in a window where nothing fails."""


def make_limits(rate: float = 2.0) -> Limits:
    limits = Limits()
    assert limits.take(LIFE, rate, NOW, NOW)
    return limits


def find_borne(rate: float) -> float:
    """Return the requests of one window that users bear."""
    return 1.5 * rate * WINDOW + 5


# --- one VM -----------------------------------------------------------------------------------------------------------


def test_nothing_is_kept_from_one_that_names_none() -> None:
    limits = make_limits()
    assert limits.may_send(Incarnation(UpstreamId("v"), 1), NOW)
    assert limits.hold(Incarnation(UpstreamId("v"), 1), NOW) is None


def test_what_was_not_used_before_the_word_counts_for_nothing() -> None:
    limits = make_limits(2.0)
    assert not limits.may_send(LIFE, NOW)
    assert not limits.may_send(LIFE, NOW + 0.49)
    assert limits.may_send(LIFE, NOW + 0.51)
    assert limits.find_wait(LIFE, NOW + 0.51) == 0.0


def test_a_new_life_has_no_limit_until_it_names_one() -> None:
    limits = make_limits()
    assert limits.may_send(OTHER_LIFE, NOW)
    assert limits.find(OTHER_LIFE) is None


@pytest.mark.parametrize("rate", [0.0, 0.01])
def test_one_that_takes_nothing_is_asked_now_and_then_whether_that_holds(rate: float) -> None:
    limits = make_limits(rate)
    sent = 0
    for step in range(1000):
        if limits.may_send(LIFE, NOW + step / 10):
            limits.spend(LIFE, NOW + step / 10)
            sent += 1
    assert sent == pytest.approx(100 * LEAST_PACE, abs=1)


def test_a_huge_limit_is_none() -> None:
    limits = Limits()
    assert not limits.take(LIFE, LARGEST_RATE, NOW, NOW)
    assert limits.may_send(LIFE, NOW)


def test_a_limit_that_is_raised_to_a_huge_one_is_over() -> None:
    limits = make_limits(0.5)
    assert limits.take(LIFE, 1e9, NOW + 1, NOW + 1)
    assert limits.may_send(LIFE, NOW + 1)


def test_a_limit_that_is_over_and_comes_again_begins_with_nothing() -> None:
    limits = make_limits()
    assert limits.take(LIFE, None, NOW + 10, NOW + 10)
    assert limits.may_send(LIFE, NOW + 10)
    assert limits.take(LIFE, 2.0, NOW + 12, NOW + 12)
    assert not limits.may_send(LIFE, NOW + 12)


def test_an_answer_to_a_request_from_before_the_word_neither_ends_nor_raises_it() -> None:
    limits = make_limits(2.0)
    assert not limits.take(LIFE, None, NOW - 0.1, NOW + 0.1)
    assert not limits.take(LIFE, 9.0, NOW - 0.1, NOW + 0.1)
    assert limits.take(LIFE, 1.0, NOW - 0.1, NOW + 0.1)
    assert limits.find(LIFE) == 1.0


def test_room_that_was_held_and_not_used_is_for_the_next_one() -> None:
    limits = make_limits(2.0)
    permit = limits.hold(LIFE, NOW + 0.6)
    assert permit is not None
    assert not limits.may_send(LIFE, NOW + 0.6)
    permit.drop(NOW + 0.7)
    permit.drop(NOW + 0.7)
    assert limits.may_send(LIFE, NOW + 0.7)
    limits.spend(LIFE, NOW + 0.7)
    assert not limits.may_send(LIFE, NOW + 0.7)


def test_room_that_nobody_uses_lapses() -> None:
    limits = make_limits(0.5)
    permit = limits.hold(LIFE, NOW + 2.0)
    assert permit is not None
    permit.drop(NOW + 2.0)
    assert not limits.may_send(LIFE, NOW + 2.0 + SPARE_LIFE)


def test_a_permit_that_was_used_gives_nothing_back() -> None:
    limits = make_limits(2.0)
    permit = limits.hold(LIFE, NOW + 0.6)
    assert permit is not None
    permit.use(NOW + 0.6)
    permit.drop(NOW + 0.6)
    assert not limits.may_send(LIFE, NOW + 0.6)


def test_who_was_refused_before_goes_first() -> None:
    limits = make_limits(2.0)
    limits.note_refused([LIFE], NOW + 3)
    assert not limits.may_send(LIFE, NOW + 0.55)
    assert limits.may_send(LIFE, NOW + 0.55, owed=True)
    assert limits.may_send(LIFE, NOW + 0.65)


def test_accounts_are_bounded_and_forgotten() -> None:
    limits = Limits()
    for number in range(MOST_LIFE_ACCOUNTS + 5):
        limits.take(Incarnation(UpstreamId(f"u{number}"), 1), 1.0, NOW, NOW)
    assert limits.count() == MOST_LIFE_ACCOUNTS
    limits.keep_only({UpstreamId("u100"), UpstreamId("u101")})
    assert limits.count() == 2
    limits.take(Incarnation(UpstreamId("u100"), 1), None, NOW + 1, NOW + 1)
    limits.forget_old(NOW + 2 + ENDED_LIFE)
    assert [word.life.id for word in limits.list_words(NOW)] == ["u101"]


# --- what VMs tell each other -----------------------------------------------------------------------------------------


def test_what_others_send_counts_once_however_often_it_is_told() -> None:
    limits = make_limits(2.0)
    limits.count_vms = lambda: 2
    told = [Spent(KEY, Origin(7), count, 1) for count in (1, 1, 1, 3, 2)]  # the word on the second was missed
    news = [limits.take_spent(one, NOW + 1) for one in told]
    assert [None if one is None else one.new for one in news] == [1, None, None, 2, None]


def test_an_old_count_of_one_that_is_new_here_costs_what_is_new_alone() -> None:
    limits = make_limits(2.0)
    limits.take_spent(Spent(KEY, Origin(7), 5000, 1), NOW + 1)
    assert limits.find_wait(LIFE, NOW + 1) <= 0.5


def test_own_requests_are_counted_on_however_many_others_there_are() -> None:
    limits = make_limits(2.0)
    limits.spend(LIFE, NOW + 1)
    for number in range(MOST_ORIGINS + 10):
        limits.take_spent(Spent(KEY, Origin(number), 1, 1), NOW + 1)
    limits.take_untold()
    limits.spend(LIFE, NOW + 1)
    _, spent = limits.take_untold()
    assert [(one.count, one.new) for one in spent] == [(2, 1)]


def test_the_debt_is_bounded_whatever_others_tell() -> None:
    limits = make_limits(2.0)
    limits.take_spent(Spent(KEY, Origin(7), 10**9, 10**9), NOW + 1)
    assert limits.find_wait(LIFE, NOW + 1) <= MOST_DEBT_TIME + 1.0


def test_the_newer_word_holds_and_of_two_the_stricter() -> None:
    limits = make_limits(2.0)
    assert not limits.take_word(LimitWord(LIFE, 1, 5.0), NOW)
    assert limits.take_word(LimitWord(LIFE, 1, 1.5), NOW)
    assert limits.take_word(LimitWord(LIFE, 2, None), NOW)
    assert not limits.take_word(LimitWord(LIFE, 1, 1.0), NOW)
    assert limits.take_word(LimitWord(LIFE, 2, 3.0), NOW)


@given(st.lists(st.tuples(st.integers(1, 4), st.none() | st.sampled_from([0.5, 1.0, 2.0])), max_size=8), st.randoms())
def test_words_lead_to_the_same_in_whatever_order_they_come(
    told: list[tuple[int, float | None]], order: object
) -> None:
    words = [LimitWord(LIFE, version, rate) for version, rate in told]
    shuffled = list(words)
    order.shuffle(shuffled)  # type: ignore[attr-defined]
    found = []
    for one in (words, shuffled):
        limits = Limits()
        for word in one:
            limits.take_word(word, NOW)
        found.append(limits.find(LIFE))
    assert found[0] == found[1]


# --- fleets -----------------------------------------------------------------------------------------------------------

SIZES = [1, 8, 74, 195, 300]


def find_demand(vms: int) -> float:
    """Return three requests a second and VM, as at the size to design for, and enough of them where VMs are few."""
    return max(30.0, 3.0 * vms)


@pytest.mark.parametrize("rate", [0.2, 2.6, 20.0])
@pytest.mark.parametrize("vms", SIZES)
def test_all_together_keep_the_limit_and_use_it(vms: int, rate: float) -> None:
    fleet = LimitFleet(vms, rate)
    fleet.run(SETTLE, find_demand(vms))
    since = fleet.now
    fleet.run(20.0, find_demand(vms))
    assert fleet.count_busiest(since) <= min(find_borne(rate), 1.1 * rate * WINDOW + BURST)
    assert fleet.count_rate(since) >= (0.8 if vms <= 8 else 0.6) * rate


@pytest.mark.parametrize("vms", SIZES)
def test_callers_at_few_vms_get_it_too(vms: int) -> None:
    fleet = LimitFleet(vms, 2.6)
    some = fleet.vms[: max(1, vms // 6)]
    fleet.run(SETTLE, 30.0, some)
    since = fleet.now
    fleet.run(20.0, 30.0, some)
    assert fleet.count_busiest(since) <= 2.6 * WINDOW + BURST
    assert fleet.count_rate(since) >= (0.8 if vms <= 8 else 0.6) * 2.6


@pytest.mark.parametrize("vms", SIZES)
def test_callers_that_all_come_at_once_behind_a_calm_time_break_nothing(vms: int) -> None:
    fleet = LimitFleet(vms, 2.6)
    fleet.run(SETTLE, 3.0)
    fleet.run(5.0, 0.1)
    since = fleet.now
    fleet.run(10.0, find_demand(vms))
    assert fleet.count_busiest(since) <= find_borne(2.6)


@pytest.mark.parametrize("vms", [8, 74, 300])
def test_vms_that_restart_break_nothing_and_others_go_on(vms: int) -> None:
    fleet = LimitFleet(vms, 2.6)
    fleet.run(SETTLE, find_demand(vms))
    since = fleet.now
    for _ in range(6):
        fleet.restart(fleet.random.sample(fleet.vms, max(1, vms // 8)))
        fleet.run(2.0, find_demand(vms))
    assert fleet.count_busiest(since) <= find_borne(2.6)
    assert fleet.count_rate(since) >= 0.6 * 2.6


@pytest.mark.parametrize("vms", [8, 74, 300])
def test_a_vm_that_joins_is_told_before_it_asks(vms: int) -> None:
    fleet = LimitFleet(vms, 2.6)
    fleet.run(SETTLE, find_demand(vms))
    since = fleet.now
    new = [fleet.add(f"new{number}") for number in range(vms // 4)]
    fleet.run(0.1, 0.0)
    fleet.run(8.0, find_demand(vms), new)
    assert fleet.count_busiest(since) <= find_borne(2.6)


@pytest.mark.parametrize("vms", [8, 74, 300])
def test_both_sides_of_a_cut_stay_within_what_is_borne_and_serve(vms: int) -> None:
    fleet = LimitFleet(vms, 2.6)
    fleet.run(SETTLE, find_demand(vms))
    since = fleet.now
    fleet.cut(fleet.vms[: vms // 3])
    fleet.run(35.0, find_demand(vms))
    known_at = since + 4.0
    sides = [[at for vm in fleet.vms if vm.side == side for at in vm.sent if at > known_at] for side in (0, 1)]
    fleet.heal()
    fleet.run(6.0, find_demand(vms))
    assert fleet.count_busiest(known_at) <= find_borne(2.6)
    assert fleet.count_busiest(since) <= 2 * (2.6 * WINDOW + BURST)  # each side takes all for 2 s
    assert all(len(side) >= 0.25 * 2.6 * 30 for side in sides)


@pytest.mark.parametrize("vms", [8, 74, 300])
def test_a_limit_that_falls_is_kept_soon_and_one_that_ends_is_forgotten(vms: int) -> None:
    fleet = LimitFleet(vms, 20.0)
    fleet.run(SETTLE, find_demand(vms))
    fleet.rate = 2.0
    fleet.run(1.0, find_demand(vms))
    since = fleet.now
    fleet.run(8.0, find_demand(vms))
    assert fleet.count_busiest(since) <= 2.0 * WINDOW + BURST
    fleet.rate = None
    fleet.run(3.0, find_demand(vms))
    assert all(vm.limits.find(LIFE) is None for vm in fleet.vms)


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10**6), st.sampled_from([2, 6, 24]), st.sampled_from([0.3, 1.0, 4.5, 12.0]))
def test_whatever_befalls_few_vms_at_a_time_the_sum_is_borne(seed: int, vms: int, rate: float) -> None:
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
    assert fleet.count_busiest(since) <= find_borne(rate)

"""Duration of quarantines, clearing, and convergence of VMs that know the same crashes."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from beamhatch.relay.model import Fingerprint
from beamhatch.relay.quarantine.ends import (
    MAX_CRASHES,
    MAX_RUNS,
    RETENTION_S,
    BrokenRun,
    CrashUpdate,
    Prompt,
    UpstreamCrashes,
)
from beamhatch.relay.quarantine.quarantine import (
    BASE_QUARANTINE_S,
    MAX_STORED_QUARANTINES,
    MAX_SUCCESSES,
    SUCCESS_GRACE_S,
    ClearResult,
    ClearUpdate,
    Quarantine,
    StoredQuarantineUpdate,
)

CRASHING = Fingerprint(b"deadly")
OTHER = Fingerprint(b"other")


def make_update(number: int, *fingerprints: Fingerprint, age: float = 0.0) -> CrashUpdate:
    return CrashUpdate(f"engine-{number}", age, [BrokenRun(one, 100) for one in fingerprints])


def crash_upstreams(quarantine: Quarantine, *, count: int = 3, since: float = 10.0) -> float:
    """Record ``count`` crashes by one request, a second apart; return the time of the last."""
    for number in range(count):
        quarantine.apply_crash(make_update(number, CRASHING), since + number)
    quarantine.attribute(since + count - 1)
    return since + count - 1


def test_quarantine_lasts_ten_minutes_after_the_last_crash() -> None:
    quarantine = Quarantine()
    last = crash_upstreams(quarantine)
    assert quarantine.get_entry(CRASHING, last + BASE_QUARANTINE_S - 0.1) is not None
    assert quarantine.get_entry(CRASHING, last + BASE_QUARANTINE_S) is None
    assert quarantine.get_entry(OTHER, last) is None


def test_each_further_crash_doubles_the_quarantine_up_to_retention() -> None:
    quarantine = Quarantine()
    last = crash_upstreams(quarantine)
    for further, seconds in enumerate((2 * BASE_QUARANTINE_S, 4 * BASE_QUARANTINE_S, RETENTION_S), 3):
        last += 1.0
        quarantine.apply_crash(make_update(further, CRASHING), last)
        quarantine.attribute(last)
        entry = quarantine.get_entry(CRASHING, last)
        assert entry is not None
        assert entry.until == last + seconds


def test_one_more_crash_is_enough_after_quarantine_expired() -> None:
    quarantine = Quarantine()
    last = crash_upstreams(quarantine)
    later = last + BASE_QUARANTINE_S + 5
    assert quarantine.apply_crash(make_update(9, CRASHING), later)
    assert quarantine.attribute(later) == {CRASHING: 4}
    assert quarantine.get_entry(CRASHING, later + BASE_QUARANTINE_S) is not None


def test_updates_of_several_vms_are_merged_into_one_crash() -> None:
    quarantine = Quarantine()
    for age in (0.0, 0.2, 0.5):
        quarantine.apply_crash(make_update(1, CRASHING, age=age), 10.0 + age)
    assert len(quarantine.crashes) == 1
    assert quarantine.apply_crash(make_update(1, CRASHING), 14.0) is not None  # crashed again after a restart
    assert len(quarantine.crashes) == 2


def test_success_clears_request_and_older_updates_are_ignored() -> None:
    quarantine = Quarantine()
    last = crash_upstreams(quarantine)
    assert quarantine.record_success(CRASHING, last + 1) == ClearResult(was_quarantined=True, crash_count=3)
    assert quarantine.get_entry(CRASHING, last + 1) is None
    assert quarantine.apply_crash(make_update(1, CRASHING, age=2.0), last + 2) is None
    assert quarantine.attribute(last + 2) == {}
    assert quarantine.record_success(CRASHING, last + 3) is None


def test_earlier_success_is_announced_when_a_crash_names_the_request() -> None:
    quarantine = Quarantine()
    quarantine.apply_crash(make_update(1, OTHER), 10.0)
    assert quarantine.record_success(OTHER, 11.0) == ClearResult(was_quarantined=False, crash_count=1)
    assert quarantine.list_clear_updates(make_update(2, OTHER, CRASHING), 14.0) == [ClearUpdate(OTHER, 3.0)]
    assert quarantine.list_clear_updates(make_update(3, OTHER, age=5.0), 14.0) == []


def test_crashes_separated_by_successes_do_not_add_up() -> None:
    """Only one of the two VMs records the successes; the other receives its clear updates."""
    informed, other = Quarantine(), Quarantine()
    for number in range(6):
        now = 10.0 + 5 * number
        update = make_update(number, OTHER)
        cleared = informed.list_clear_updates(update, now)
        for quarantine in (informed, other):
            quarantine.apply_crash(update, now)
        for one in cleared:
            other.clear(one.fingerprint, now - one.age)
        for quarantine in (informed, other):
            assert quarantine.attribute(now + 0.3) == {}
        informed.record_success(OTHER, now + 1)


def test_crashes_after_a_success_count_again() -> None:
    quarantine = Quarantine()
    last = crash_upstreams(quarantine)
    quarantine.record_success(CRASHING, last + 1)
    crash_upstreams(quarantine, since=last + 2)
    assert quarantine.get_entry(CRASHING, last + 4) is not None


def test_success_protects_for_a_minute_and_number_kept_is_bounded() -> None:
    quarantine = Quarantine()
    quarantine.record_success(OTHER, 10.0)
    assert quarantine.succeeded_recently(OTHER, 10.0 + SUCCESS_GRACE_S - 0.1)
    assert not quarantine.succeeded_recently(OTHER, 10.0 + SUCCESS_GRACE_S)
    for number in range(2 * MAX_SUCCESSES):
        quarantine.record_success(Fingerprint(str(number).encode()), 11.0)
    assert len(quarantine._successes) == MAX_SUCCESSES


def test_stored_quarantine_ends_with_its_expiry_or_removal() -> None:
    quarantine = Quarantine()
    assert quarantine.apply_stored_update(StoredQuarantineUpdate(CRASHING, 0.0, BASE_QUARANTINE_S), 10.0)
    assert not quarantine.apply_stored_update(StoredQuarantineUpdate(CRASHING, 3.0, BASE_QUARANTINE_S - 3), 13.0)
    assert quarantine.get_entry(CRASHING, 10.0 + BASE_QUARANTINE_S - 0.1) is not None
    assert quarantine.get_entry(CRASHING, 10.0 + BASE_QUARANTINE_S) is None
    quarantine.retain_stored([])
    assert quarantine.get_entry(CRASHING, 11.0) is None


def test_stored_quarantine_older_than_clearing_is_ignored() -> None:
    quarantine = Quarantine()
    quarantine.apply_stored_update(StoredQuarantineUpdate(CRASHING, 0.0, BASE_QUARANTINE_S), 10.0)
    assert quarantine.record_success(CRASHING, 20.0) == ClearResult(was_quarantined=True, crash_count=0)
    assert not quarantine.apply_stored_update(StoredQuarantineUpdate(CRASHING, 15.0, 500.0), 21.0)
    assert quarantine.get_entry(CRASHING, 21.0) is None


def test_all_collections_are_bounded() -> None:
    quarantine = Quarantine()
    for number in range(3 * MAX_CRASHES):
        runs = [BrokenRun(Fingerprint(random.randbytes(8)), 100) for _ in range(2 * MAX_RUNS)]
        quarantine.apply_crash(CrashUpdate(f"engine-{number}", 0.0, runs), float(number))
        quarantine.apply_stored_update(StoredQuarantineUpdate(Fingerprint(random.randbytes(8)), 0.0, 100_000.0), 10.0)
    assert len(quarantine.crashes) == MAX_CRASHES
    assert max(len(crash.run_durations) for crash in quarantine.crashes) == MAX_RUNS
    assert len(quarantine.list_stored(10.0)) <= MAX_STORED_QUARANTINES


def test_crashes_expire() -> None:
    crashes = UpstreamCrashes()
    crashes.apply_update(make_update(1, CRASHING), 10.0)
    crashes.remove_expired(10.0 + RETENTION_S + 1)
    assert not len(crashes)
    assert crashes.apply_update(make_update(1, CRASHING, age=RETENTION_S + 1), 10_000.0) is None


@given(st.permutations([(number, name) for number in range(4) for name in (CRASHING, OTHER)]))
def test_quarantine_does_not_depend_on_order_of_updates(updates: list[tuple[int, Fingerprint]]) -> None:
    quarantine = Quarantine()
    for step, (number, name) in enumerate(updates):
        now = 20.0 + 0.01 * step
        if name is CRASHING or number < 2:
            quarantine.apply_crash(make_update(number, name, age=now - 10.0 - number), now)
    assert quarantine.attribute(21.0) == {CRASHING: 4}


def test_success_of_a_request_excuses_no_part_of_its_prompt() -> None:
    quarantine = Quarantine()
    part = Fingerprint(b"deadly__")
    for number in range(3):
        prompt = Prompt(Fingerprint(b"service_"), unproven=(part,))
        run = BrokenRun(Fingerprint(b"request%d" % number), 50, prompt)
        quarantine.apply_crash(CrashUpdate(f"u{number}", 0.0, [run], "v2"), 10.0 + number)
        quarantine.record_success(run.fingerprint, 10.5 + number)  # at another version
    assert set(quarantine.attribute(13.0)) == {part}
    assert quarantine.get_entry(part, 13.0) is not None

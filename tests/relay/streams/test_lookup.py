"""What follows from the answers of peers for a stream that a caller resumes."""

from __future__ import annotations

from dataclasses import replace

from beamhatch.relay.model import ServiceName, SoftwareVersion
from beamhatch.relay.streams.lookup import ISOLATED_RETRY_S, Begun, Knowledge, Lookup, OnlyVersion, UnknownVersion

V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
RECORD = Begun(ServiceName("models"), V1)
ONE = Knowledge({V1}, is_complete=True)
SEVERAL = Knowledge({V1, V2}, has_several=True, is_complete=True)
NEW = Knowledge({V1})


def make_lookup(known: Knowledge = ONE, asked: int = 4, wait_s: float = 0.0) -> Lookup:
    return Lookup(replace(known, versions=set(known.versions)), {f"vm{number}" for number in range(asked)}, wait_s)


def test_a_record_decides_at_once() -> None:
    assert make_lookup(SEVERAL).add_answer("vm0", RECORD, SEVERAL) == RECORD


def test_with_several_versions_all_vms_are_waited_for_as_any_may_hold_the_record() -> None:
    lookup = make_lookup(SEVERAL)
    for number in range(3):
        assert lookup.add_answer(f"vm{number}", None, SEVERAL) is None
    assert lookup.add_answer("vm3", RECORD, ONE) == RECORD


def test_what_nobody_recorded_is_unknown_for_good_where_there_are_several_versions() -> None:
    assert make_lookup(SEVERAL, asked=1).add_answer("vm0", None, ONE) == UnknownVersion()
    assert UnknownVersion().is_final


def test_what_silent_vms_may_hold_is_told_apart() -> None:
    lookup = make_lookup(SEVERAL)
    lookup.add_answer("vm0", None, ONE)
    assert lookup.conclude() == UnknownVersion(silent=3)
    assert not lookup.conclude().is_final  # type: ignore[union-attr]


def test_with_one_version_the_answers_of_half_suffice() -> None:
    lookup = make_lookup()
    assert lookup.add_answer("vm0", None, ONE) is None
    assert lookup.add_answer("vm1", None, ONE) == OnlyVersion(V1)


def test_a_vm_that_has_not_run_for_long_waits_for_all_answers() -> None:
    lookup = make_lookup(NEW)
    for number in range(3):
        assert lookup.add_answer(f"vm{number}", None, NEW) is None
    assert lookup.add_answer("vm3", None, SEVERAL) == UnknownVersion()


def test_a_vm_that_knows_one_version_learns_of_another_from_a_peer() -> None:
    lookup = make_lookup(asked=2)
    lookup.add_answer("vm0", None, Knowledge({V2}))
    assert lookup.conclude() == UnknownVersion(silent=1)


def test_a_vm_that_knows_one_version_learns_from_a_peer_that_was_told_of_several() -> None:
    assert make_lookup(asked=1).add_answer("vm0", None, Knowledge({V1}, has_several=True)) == UnknownVersion()


def test_without_any_answer_one_known_version_goes_on_if_all_versions_are_known() -> None:
    assert make_lookup().conclude() == OnlyVersion(V1)
    assert make_lookup(replace(NEW, is_complete=True), asked=0).conclude() == OnlyVersion(V1)


def test_one_listed_version_is_taken_for_the_only_one_by_vms_that_started_together() -> None:
    lookup = replace(make_lookup(NEW, asked=1), complete_wait_s=9.0)
    assert lookup.add_answer("vm0", None, NEW) == UnknownVersion(wait_s=9.0)


def test_one_known_version_is_taken_for_the_only_one_by_a_vm_that_reaches_nobody() -> None:
    lookup = replace(make_lookup(), is_isolated=True)
    assert lookup.conclude() == UnknownVersion(silent=4, wait_s=ISOLATED_RETRY_S)
    assert lookup.add_answer("vm0", None, ONE) is None
    assert lookup.add_answer("vm1", None, ONE) == OnlyVersion(V1)


def test_a_vm_that_has_not_met_its_peers_goes_on_only_if_one_that_ran_for_long_knows_one_version() -> None:
    assert make_lookup(NEW, asked=0, wait_s=1.5).conclude() == UnknownVersion(wait_s=1.5)
    assert not UnknownVersion(wait_s=1.5).is_final
    assert make_lookup(NEW, asked=1, wait_s=1.5).add_answer("vm0", None, NEW) == UnknownVersion(wait_s=1.5)
    assert make_lookup(NEW, asked=1, wait_s=1.5).add_answer("vm0", None, ONE) == OnlyVersion(V1)


def test_a_hall_is_silent_until_one_of_its_vms_has_answered() -> None:
    lookup = replace(make_lookup(asked=3), silent_halls={"hall-b": {"vm0", "vm1"}, "hall-c": {"vm2"}, "hall-d": set()})
    lookup.add_answer("vm1", None, ONE)
    assert set(lookup.silent_halls) == {"hall-c", "hall-d"}

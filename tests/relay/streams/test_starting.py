"""Where streams may begin while the store has no record of a version."""

from __future__ import annotations

from beamhatch.relay.model import Address, Phase, ServiceName, SoftwareVersion, Upstream, UpstreamId
from beamhatch.relay.streams.starting import exclude_unrecorded

V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")


def make_upstream(name: str, version: SoftwareVersion, phase: Phase = Phase.DECODE) -> Upstream:
    address = Address(name, 80)
    return Upstream(UpstreamId(name), ServiceName("models"), address, "hall-a", False, phase, 4, version=version)


OLD = make_upstream("old", V1)
NEW = make_upstream("new", V2)
NEW_PREFILL = make_upstream("new-prefill", V2, Phase.PREFILL)


def list_usable(*usable: Upstream, unavailable: tuple[Upstream, ...] = ()) -> list[Upstream]:
    return exclude_unrecorded(list(usable), {V2}, lambda: {one.id for one in unavailable})


def test_streams_begin_at_versions_that_are_recorded() -> None:
    assert list_usable(OLD, NEW) == [OLD]


def test_any_version_may_process_prompts() -> None:
    assert list_usable(OLD, NEW, NEW_PREFILL) == [OLD, NEW_PREFILL]


def test_streams_begin_at_a_version_that_is_not_recorded_if_no_other_serves() -> None:
    assert list_usable(NEW) == [NEW]
    assert list_usable(OLD, NEW, unavailable=(OLD,)) == [OLD, NEW]


def test_a_prefill_engine_is_no_other_version_that_serves() -> None:
    old_prefill = make_upstream("old-prefill", V1, Phase.PREFILL)
    assert list_usable(old_prefill, NEW) == [old_prefill, NEW]


def test_nothing_is_left_out_if_all_versions_are_recorded() -> None:
    assert exclude_unrecorded([OLD, NEW], set(), lambda: set()) == [OLD, NEW]

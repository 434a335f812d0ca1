"""The versions of a service that a VM knows of."""

from __future__ import annotations

from beamhatch.relay.model import Address, Phase, ServiceName, SoftwareVersion, Upstream, UpstreamId
from beamhatch.relay.streams.versions import VERSION_RETENTION_S, VersionHistory

SERVICE = ServiceName("models")
OTHER = ServiceName("others")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")


def list_upstream(
    history: VersionHistory, name: str, version: SoftwareVersion | None, now: float, service: ServiceName = SERVICE
) -> None:
    listed = None
    if version is not None:
        address = Address(name, 80)
        listed = Upstream(UpstreamId(name), service, address, "hall-a", False, Phase.DECODE, 4, version=version)
    history.record(UpstreamId(name), listed, now)


def test_a_version_counts_for_some_time_after_its_last_upstream_was_removed() -> None:
    history = VersionHistory()
    list_upstream(history, "a", V1, 0.0)
    list_upstream(history, "b", V2, 1.0)
    list_upstream(history, "a", None, 2.0)
    assert history.list_recent(SERVICE, 3.0) == {V1, V2}
    assert history.lists_several(SERVICE, 2.0 + VERSION_RETENTION_S)
    assert history.list_recent(SERVICE, 2.1 + VERSION_RETENTION_S) == {V2}


def test_an_upstream_that_is_back_under_its_id_with_another_version_leaves_two() -> None:
    history = VersionHistory()
    list_upstream(history, "a", V1, 0.0)
    list_upstream(history, "a", V2, 1.0)
    assert history.lists_several(SERVICE, 1.0)


def test_versions_of_the_same_name_belong_to_their_services() -> None:
    history = VersionHistory()
    list_upstream(history, "a", V1, 0.0)
    list_upstream(history, "b", V2, 0.0, OTHER)
    assert not history.has_several(SERVICE, 0.0)
    assert not history.has_several(OTHER, 0.0)


def test_the_second_version_is_announced_once() -> None:
    announced: list[ServiceName] = []
    history = VersionHistory(on_several=announced.append)
    list_upstream(history, "a", V1, 0.0)
    assert not announced
    list_upstream(history, "b", V2, 1.0)
    list_upstream(history, "c", V2, 1.0)
    history.record_reported(SERVICE, 2.0)
    assert announced == [SERVICE]


def test_a_report_of_a_peer_counts_as_long_as_a_version_of_this_vms_listing() -> None:
    announced: list[ServiceName] = []
    history = VersionHistory(on_several=announced.append)
    list_upstream(history, "a", V1, 0.0)
    history.record_reported(SERVICE, 1.0)
    assert announced == [SERVICE]
    assert history.has_several(SERVICE, 1.0 + VERSION_RETENTION_S)
    assert not history.lists_several(SERVICE, 1.0)
    assert not history.has_several(SERVICE, 1.1 + VERSION_RETENTION_S)


def test_a_report_on_a_service_that_is_not_listed_takes_no_memory() -> None:
    history = VersionHistory()
    history.record_reported(OTHER, 1.0)
    assert not history.has_several(OTHER, 1.0)


def test_a_version_that_comes_beside_another_has_no_record_until_one_is_read() -> None:
    history = VersionHistory()
    list_upstream(history, "a", V1, 0.0)
    assert not history.count_unrecorded()
    list_upstream(history, "b", V2, 9.0)
    assert history.list_unrecorded(SERVICE) == {V2}
    history.confirm_recorded({SERVICE: frozenset({V1})})
    assert history.list_unrecorded(SERVICE) == {V2}
    history.confirm_recorded({SERVICE: frozenset({V1, V2})})
    assert not history.count_unrecorded()


def test_of_versions_that_are_listed_together_the_record_alone_tells_which_has_one() -> None:
    history = VersionHistory()
    list_upstream(history, "a", V1, 0.0)
    list_upstream(history, "b", V2, 0.1)
    assert history.list_unrecorded(SERVICE) == {V1, V2}


def test_a_version_that_is_back_is_recorded_anew() -> None:
    history = VersionHistory()
    list_upstream(history, "a", V1, 0.0)
    list_upstream(history, "b", V2, 9.0)
    history.confirm_recorded({SERVICE: frozenset({V1, V2})})
    list_upstream(history, "b", None, 10.0)
    list_upstream(history, "c", V2, 200.0)
    assert history.list_unrecorded(SERVICE) == {V2}

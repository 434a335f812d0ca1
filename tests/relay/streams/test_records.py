"""The records of streams that one VM keeps."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.model import ServiceName, SoftwareVersion
from beamhatch.relay.streams import records
from beamhatch.relay.streams.records import SWEEP_INTERVAL_S, StreamRecord, StreamRecords, compute_stream_key

if TYPE_CHECKING:
    import pytest

SERVICE = ServiceName("models")
V1 = SoftwareVersion("v1")


def test_a_record_lasts_until_its_caller_can_no_longer_come_back() -> None:
    kept = StreamRecords()
    key = compute_stream_key("q1")
    kept.put(key, StreamRecord(SERVICE, V1, 10.0), 0.0)
    assert kept.get(key, 10.0) is not None
    assert kept.get(key, 10.1) is None


def test_expired_records_take_no_memory() -> None:
    kept = StreamRecords()
    for number in range(100):
        kept.put(compute_stream_key(f"q{number}"), StreamRecord(SERVICE, V1, 1.0), 0.0)
    kept.put(compute_stream_key("later"), StreamRecord(SERVICE, V1, 60.0), SWEEP_INTERVAL_S + 1.0)
    assert len(kept) == 1


def test_records_are_bounded_and_the_oldest_give_way(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(records, "MAX_RECORDS", 10)
    kept = StreamRecords()
    for number in range(11):
        kept.put(compute_stream_key(f"q{number}"), StreamRecord(SERVICE, V1, 60.0), 0.0)
    assert len(kept) == 10
    assert kept.get(compute_stream_key("q0"), 0.0) is None
    assert kept.get(compute_stream_key("q10"), 0.0) is not None


def test_a_stream_of_this_vm_stays_its_own_when_a_peer_sends_its_record_too() -> None:
    kept = StreamRecords()
    key = compute_stream_key("q1")
    kept.put(key, StreamRecord(SERVICE, V1, 10.0, is_own=True), 0.0)
    kept.put(key, StreamRecord(SERVICE, V1, 12.0), 1.0)
    assert [found for found, _ in kept.list_own(SERVICE, 1.0)] == [key]
    kept.discard(key)
    assert kept.get(key, 1.0) is None

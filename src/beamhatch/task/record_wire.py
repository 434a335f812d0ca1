"""Idempotency records as they travel between VMs."""

from __future__ import annotations

from beamhatch.decide.idempotency import Record, RecordState, StoredResponse
from beamhatch.edge.peer.message import WireAnswer, WireRecord
from beamhatch.ids import Boot, RecordKey, RequestId, VmName


def write_record(record: Record, now: float) -> WireRecord:
    """Return a record for the wire; its time becomes an age, since clocks differ."""
    answer = write_answer(record.response) if record.response is not None else None
    age = now - record.written_at
    return WireRecord(
        record.key, record.digest, record.vm, record.boot, record.request, record.state.value, age, answer
    )


def read_record(wire: WireRecord, now: float) -> Record:
    """Return a record from the wire."""
    answer = read_answer(wire.answer) if wire.answer is not None else None
    return Record(
        RecordKey(wire.key),
        wire.digest,
        VmName(wire.vm),
        Boot(wire.boot),
        RequestId(wire.request),
        RecordState(wire.state),
        now - wire.age,
        answer,
    )


def write_answer(answer: StoredResponse) -> WireAnswer:
    """Return a kept answer for the wire."""
    return WireAnswer(answer.outcome, answer.reason, answer.detail, answer.status, list(answer.headers), answer.body)


def read_answer(wire: WireAnswer) -> StoredResponse:
    """Return a kept answer from the wire."""
    return StoredResponse(wire.outcome, wire.reason, wire.detail, wire.status, tuple(wire.headers), wire.body)

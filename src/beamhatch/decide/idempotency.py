"""The idempotency records that one VM holds.

A record says that a caller's key was taken by one request of one VM. It is written before anything is dispatched, on
a majority of the VMs that hold the key, so that any two attempts meet at a holder. It is never forgotten before the
retention has passed; when memory is full, new keys are refused instead.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.ids import Boot, RecordKey, RequestId, VmName

RECORD_OVERHEAD = 400
"""Bytes that a record costs beside its key and its answer; measured by benchmarks/slopes.py."""


class RecordState(Enum):
    """How far the request behind a record is."""

    RECORDED = "recorded"
    """May be dispatched at any moment."""
    ENDED = "ended"
    LOST = "lost"
    """Its VM is gone; nobody knows whether it ran."""


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """How a request ended, with its answer where that is short enough to keep."""

    outcome: str
    reason: str
    detail: str
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class Record:
    """One key and the request that took it."""

    key: RecordKey
    digest: str
    vm: VmName
    boot: Boot
    request: RequestId
    state: RecordState
    written: float
    """Monotonic seconds of the holder."""
    answer: KeptAnswer | None = None

    @property
    def size(self) -> int:
        """Return the bytes it takes in memory, about."""
        body = len(self.answer.body) if self.answer and self.answer.body else 0
        return RECORD_OVERHEAD + 2 * len(self.key) + body


@dataclass(frozen=True, slots=True)
class Granted:
    """The key was free and is now taken by the asking request."""


@dataclass(frozen=True, slots=True)
class Taken:
    """The key belongs to another request."""

    record: Record


@dataclass(frozen=True, slots=True)
class Full:
    """No memory for a new record."""


Put = Granted | Taken | Full


@dataclass(slots=True)
class RecordStore:
    """All records that one VM holds."""

    most_records: int
    most_bytes: int
    retention: float
    records: OrderedDict[RecordKey, Record] = field(default_factory=OrderedDict)
    """In the order in which they were written."""
    bytes_held: int = 0

    def put(self, key: RecordKey, digest: str, vm: VmName, boot: Boot, request: RequestId, now: float) -> Put:
        """Take a key for a request; asking again for the same request changes nothing."""
        self.expire(now)
        record = self.records.get(key)
        if record is not None:
            mine = record.request == request and record.state is RecordState.RECORDED
            return Granted() if mine else Taken(record)
        record = Record(key, digest, vm, boot, request, RecordState.RECORDED, now)
        if len(self.records) >= self.most_records or self.bytes_held + record.size > self.most_bytes:
            return Full()
        self._set(record)
        return Granted()

    def end(self, key: RecordKey, request: RequestId, answer: KeptAnswer) -> Record | None:
        """Note how a request ended; a body that does not fit is left out."""
        record = self.records.get(key)
        if record is None or record.request != request or record.state is RecordState.ENDED:
            return None
        if answer.body is not None and self.bytes_held + len(answer.body) > self.most_bytes:
            answer = replace(answer, body=None)
        ended = replace(record, state=RecordState.ENDED, answer=answer)
        self._set(ended)
        return ended

    def drop(self, key: RecordKey, request: RequestId) -> bool:
        """Free a key because its request is proved not to have run."""
        record = self.records.get(key)
        if record is None or record.request != request or record.state is RecordState.ENDED:
            return False
        self._remove(key)
        return True

    def lose_owner(self, vm: VmName, boot: Boot) -> list[Record]:
        """Note that a VM is gone, up to one of its starts; return the records that are lost by that."""
        lost = [
            record
            for record in self.records.values()
            if record.vm == vm and record.boot <= boot and record.state is RecordState.RECORDED
        ]
        for record in lost:
            self._set(replace(record, state=RecordState.LOST))
        return [replace(record, state=RecordState.LOST) for record in lost]

    def merge(self, record: Record) -> None:
        """Take in another holder's record; what is further on wins."""
        known = self.records.get(record.key)
        if known is None or _RANK[record.state] > _RANK[known.state]:
            self._set(record)

    def expire(self, now: float) -> None:
        """Forget records whose retention has passed and whose request has ended or is lost."""
        while self.records:
            record = next(iter(self.records.values()))
            if now - record.written < self.retention or record.state is RecordState.RECORDED:
                return
            self._remove(record.key)

    def _set(self, record: Record) -> None:
        known = self.records.get(record.key)
        self.bytes_held += record.size - (known.size if known else 0)
        self.records[record.key] = record

    def _remove(self, key: RecordKey) -> None:
        self.bytes_held -= self.records.pop(key).size


_RANK = {RecordState.RECORDED: 0, RecordState.LOST: 1, RecordState.ENDED: 2}

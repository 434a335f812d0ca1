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

RECORD_OVERHEAD_BYTES = 400
"""Bytes that a record costs beside its key and its answer; measured by benchmarks/slopes.py."""


class RecordState(Enum):
    """How far the request behind a record is."""

    RECORDED = "recorded"
    """May be dispatched at any moment."""
    ENDED = "ended"
    LOST = "lost"
    """Its VM is gone; nobody knows whether it ran."""


@dataclass(frozen=True, slots=True)
class StoredResponse:
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
    written_at: float
    """Monotonic seconds of the holder."""
    response: StoredResponse | None = None

    @property
    def size(self) -> int:
        """Return the bytes it takes in memory, about."""
        body = len(self.response.body) if self.response and self.response.body else 0
        return RECORD_OVERHEAD_BYTES + 2 * len(self.key) + body


@dataclass(frozen=True, slots=True)
class KeyGranted:
    """The key was free and is now taken by the asking request."""


@dataclass(frozen=True, slots=True)
class KeyTaken:
    """The key belongs to another request."""

    record: Record


@dataclass(frozen=True, slots=True)
class StoreFull:
    """No memory for a new record."""


PutResult = KeyGranted | KeyTaken | StoreFull


@dataclass(slots=True)
class RecordStore:
    """All records that one VM holds."""

    max_records: int
    max_bytes: int
    retention: float
    records: OrderedDict[RecordKey, Record] = field(default_factory=OrderedDict)
    """In the order in which they were written."""
    bytes_held: int = 0

    def put(self, key: RecordKey, digest: str, vm: VmName, boot: Boot, request: RequestId, now: float) -> PutResult:
        """Take a key for a request; asking again for the same request changes nothing."""
        self.expire(now)
        record = self.records.get(key)
        if record is not None:
            is_repeat = record.request == request and record.state is RecordState.RECORDED
            return KeyGranted() if is_repeat else KeyTaken(record)
        record = Record(key, digest, vm, boot, request, RecordState.RECORDED, now)
        if len(self.records) >= self.max_records or self.bytes_held + record.size > self.max_bytes:
            return StoreFull()
        self._set(record)
        return KeyGranted()

    def complete(self, key: RecordKey, request: RequestId, response: StoredResponse) -> Record | None:
        """Note how a request ended; a body that does not fit is left out."""
        record = self.records.get(key)
        if record is None or record.request != request or record.state is RecordState.ENDED:
            return None
        if response.body is not None and self.bytes_held + len(response.body) > self.max_bytes:
            response = replace(response, body=None)
        completed = replace(record, state=RecordState.ENDED, response=response)
        self._set(completed)
        return completed

    def drop(self, key: RecordKey, request: RequestId) -> bool:
        """Free a key because its request is proved not to have run."""
        record = self.records.get(key)
        if record is None or record.request != request or record.state is RecordState.ENDED:
            return False
        self._remove(key)
        return True

    def mark_owner_lost(self, vm: VmName, boot: Boot) -> list[Record]:
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
        if known is None or _STATE_RANKS[record.state] > _STATE_RANKS[known.state]:
            self._set(record)

    def expire(self, now: float) -> None:
        """Forget records whose retention has passed and whose request has ended or is lost."""
        while self.records:
            record = next(iter(self.records.values()))
            if now - record.written_at < self.retention or record.state is RecordState.RECORDED:
                return
            self._remove(record.key)

    def _set(self, record: Record) -> None:
        known = self.records.get(record.key)
        self.bytes_held += record.size - (known.size if known else 0)
        self.records[record.key] = record

    def _remove(self, key: RecordKey) -> None:
        self.bytes_held -= self.records.pop(key).size


_STATE_RANKS = {RecordState.RECORDED: 0, RecordState.LOST: 1, RecordState.ENDED: 2}

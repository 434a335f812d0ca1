"""The store of idempotency records on one VM.

A record binds an idempotency key to one request of one VM. It is written to a majority of the key's holders before the
request is dispatched, so any two attempts share a holder. Records are kept for the retention period; when the store is
full, new keys are refused.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.ids import Boot, RecordKey, RequestId, VmName

RECORD_OVERHEAD_BYTES = 400
"""Memory of a record without its key and its response; see benchmarks/slopes.py."""


class RecordState(Enum):
    """The progress of the request that owns a record."""

    RECORDED = "recorded"
    """The request may be dispatched at any time."""
    ENDED = "ended"
    LOST = "lost"
    """The request's VM is gone; whether the request ran is unknown."""


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """The outcome of a request, with its response body if that is small enough to store."""

    outcome: str
    reason: str
    detail: str
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class Record:
    """An idempotency key and the request that owns it."""

    key: RecordKey
    digest: str
    vm: VmName
    boot: Boot
    request: RequestId
    state: RecordState
    written_at: float
    """Time of the holder's monotonic clock, in seconds."""
    response: StoredResponse | None = None

    @property
    def size(self) -> int:
        """Return the approximate size in memory, in bytes."""
        body = len(self.response.body) if self.response and self.response.body else 0
        return RECORD_OVERHEAD_BYTES + 2 * len(self.key) + body


@dataclass(frozen=True, slots=True)
class KeyGranted:
    """The key is recorded for the request."""


@dataclass(frozen=True, slots=True)
class KeyTaken:
    """The key belongs to another request, or its request has ended or is lost."""

    record: Record


@dataclass(frozen=True, slots=True)
class StoreFull:
    """The store has no room for a new record."""


PutResult = KeyGranted | KeyTaken | StoreFull


@dataclass(slots=True)
class RecordStore:
    """The idempotency records of one VM."""

    max_records: int
    max_bytes: int
    retention: float
    records: OrderedDict[RecordKey, Record] = field(default_factory=OrderedDict)
    """Records by key, in insertion order."""
    bytes_held: int = 0

    def put(self, key: RecordKey, digest: str, vm: VmName, boot: Boot, request: RequestId, now: float) -> PutResult:
        """Record a key for a request; idempotent until the request ends."""
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
        """Record the outcome of a request; a body that exceeds the memory limit is omitted."""
        record = self.records.get(key)
        if record is None or record.request != request or record.state is RecordState.ENDED:
            return None
        if response.body is not None and self.bytes_held + len(response.body) > self.max_bytes:
            response = replace(response, body=None)
        completed = replace(record, state=RecordState.ENDED, response=response)
        self._set(completed)
        return completed

    def drop(self, key: RecordKey, request: RequestId) -> bool:
        """Remove the record of a request that provably has not run; return whether it was removed."""
        record = self.records.get(key)
        if record is None or record.request != request or record.state is RecordState.ENDED:
            return False
        self._remove(key)
        return True

    def mark_owner_lost(self, vm: VmName, boot: Boot) -> list[Record]:
        """Mark the unfinished records of a VM, up to the given boot, as lost; return them."""
        lost = [
            record
            for record in self.records.values()
            if record.vm == vm and record.boot <= boot and record.state is RecordState.RECORDED
        ]
        for record in lost:
            self._set(replace(record, state=RecordState.LOST))
        return [replace(record, state=RecordState.LOST) for record in lost]

    def merge(self, record: Record) -> None:
        """Merge a record of another holder; the more advanced state takes precedence."""
        known = self.records.get(record.key)
        if known is None or _STATE_RANKS[record.state] > _STATE_RANKS[known.state]:
            self._set(record)

    def expire(self, now: float) -> None:
        """Remove expired records in insertion order, up to the first that is unexpired or whose request is open."""
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

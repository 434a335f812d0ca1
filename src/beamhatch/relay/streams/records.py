"""Records of which software version began each stream, kept by the VM where it began and by some of its peers."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple, NewType

if TYPE_CHECKING:
    from beamhatch.relay.model import ServiceName, SoftwareVersion

StreamKey = NewType("StreamKey", bytes)
"""Digest of the id of the request that began a stream."""

STREAM_KEY_BYTES = 8
MAX_RECORDS = 65_536
"""Records of one VM, some 20 MB; the oldest ones are dropped beyond that."""

MAX_LIFETIME_S = 3600.0
"""Upper bound of a record's lifetime, whatever a caller's deadline is."""

SWEEP_INTERVAL_S = 5.0
"""Seconds between two removals of expired records."""


def compute_stream_key(request_id: str) -> StreamKey:
    """Return the key of the stream that a request began."""
    return StreamKey(hashlib.blake2b(request_id.encode(), digest_size=STREAM_KEY_BYTES).digest())


class StreamRecord(NamedTuple):
    """The version that began a stream."""

    service: ServiceName
    version: SoftwareVersion
    expires_at: float
    """Monotonic seconds after which the caller can no longer resume the stream."""
    is_own: bool = False
    """Whether the stream began at this VM."""


class StreamRecords:
    """The records that one VM keeps, in memory only."""

    def __init__(self) -> None:
        self._records: dict[StreamKey, StreamRecord] = {}
        self._swept_at = 0.0

    def __len__(self) -> int:
        """Return the number of records, with expired ones that are not removed yet."""
        return len(self._records)

    def put(self, key: StreamKey, record: StreamRecord, now: float) -> None:
        """Keep a record."""
        self._sweep(now)
        before = self._records.pop(key, None)
        if before is not None and before.is_own:
            record = record._replace(is_own=True)
        if len(self._records) >= MAX_RECORDS:
            del self._records[next(iter(self._records))]
        self._records[key] = record

    def get(self, key: StreamKey, now: float) -> StreamRecord | None:
        """Return the record of a stream, or None."""
        found = self._records.get(key)
        return None if found is None or found.expires_at < now else found

    def discard(self, key: StreamKey) -> None:
        """Remove the record of a stream that is complete."""
        self._records.pop(key, None)

    def list_own(self, service: ServiceName, now: float) -> list[tuple[StreamKey, StreamRecord]]:
        """Return the records of a service's streams that began at this VM."""
        return [(key, one) for key, one in self.list_all_own(now) if one.service == service]

    def list_all_own(self, now: float) -> list[tuple[StreamKey, StreamRecord]]:
        """Return the records of all streams that began at this VM, oldest first."""
        return [(key, one) for key, one in self._records.items() if one.is_own and one.expires_at >= now]

    def _sweep(self, now: float) -> None:
        if now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        self._records = {key: one for key, one in self._records.items() if one.expires_at >= now}

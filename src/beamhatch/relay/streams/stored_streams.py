"""Read the open streams that all VMs have recorded in the store, for streams whose VM and record holders are gone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from beamhatch.relay.store_results import StoreUnavailable
from beamhatch.relay.streams.lookup import Begun

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.streams.api import OpenStreams, StreamStore
    from beamhatch.relay.streams.records import StreamKey

MIN_READ_INTERVAL_S = 1.0
"""Minimum seconds between the begin of two reads."""

FLEET_READS_PER_S = 20.0
"""Reads per second of all VMs together, since each returns the streams of the whole fleet."""


class StoredStreams:
    """The open streams in the store, as last read."""

    def __init__(
        self, clock: Clock, journal: Journal, tally: Tally, store: StreamStore, count_vms: Callable[[], int]
    ) -> None:
        """Create an empty copy.

        :param count_vms: returns the number of VMs that read
        """
        self._clock = clock
        self._journal = journal
        self._tally = tally
        self._store = store
        self._count_vms = count_vms
        self._keys: dict[Begun, set[StreamKey]] = {}
        """Streams by what began them."""
        self._expires_at = 0.0
        """Monotonic seconds from which no caller resumes any of them."""
        self._read_at = float("-inf")
        """Monotonic seconds at which the last read began."""
        self._waiting: list[Callable[[bool], None]] = []
        """Called with whether the read under way succeeded; empty if none is."""

    def find(self, key: StreamKey) -> Begun | None:
        """Return what began a stream, or None if that was not read."""
        if self._keys and self._clock.now() >= self._expires_at:
            self._keys = {}
        return next((origin for origin, keys in self._keys.items() if key in keys), None)

    def compute_wait_s(self) -> float:
        """Return the seconds until the store may be read again, 0 if that may be done now or is being done."""
        if self._waiting:
            return 0.0
        interval_s = max(MIN_READ_INTERVAL_S, self._count_vms() / FLEET_READS_PER_S)
        return max(0.0, self._read_at + interval_s - self._clock.now())

    def read(self, on_done: Callable[[bool], None]) -> None:
        """Read the streams, or wait for the read under way.

        :param on_done: called with whether the store answered
        """
        self._waiting.append(on_done)
        if len(self._waiting) == 1:
            self._read_at = self._clock.now()
            defer.ensureDeferred(self._read()).addErrback(self._handle_failure)

    async def _read(self) -> None:
        self._tally.count("stream_store_reads_total")
        found = await self._store.read_streams()
        if isinstance(found, StoreUnavailable):
            self._tally.count("store_failures_total", "streams")
            self._journal.write("STREAM", "records not read", detail=found.detail)
            self._finish(succeeded=False)
            return
        self._apply(found)
        self._finish(succeeded=True)

    def _apply(self, found: list[OpenStreams]) -> None:
        now = self._clock.now()
        self._keys = {}
        for one in found:
            self._keys.setdefault(Begun(one.service, one.version), set()).update(one.keys)
        self._expires_at = now + max((one.lifetime_s for one in found), default=0.0)
        self._journal.write(
            "STREAM",
            "records read",
            streams=sum(len(keys) for keys in self._keys.values()),
            versions=len(self._keys),
            seconds=round(now - self._read_at, 3),
        )

    def _finish(self, *, succeeded: bool) -> None:
        waiting, self._waiting = self._waiting, []
        for on_done in waiting:
            on_done(succeeded)

    def _handle_failure(self, failure: Any) -> None:
        self._journal.write("STREAM", "records not read", error=failure.getTraceback())
        self._finish(succeeded=False)

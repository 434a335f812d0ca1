"""Keep the versions of all services in the store, so that VMs which start together know those that are gone."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from beamhatch.clock import sleep
from beamhatch.relay.api import StoreUnavailable
from beamhatch.relay.streams.api import StoredVersions

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.streams.api import StreamStore
    from beamhatch.relay.upstreams.listing import Listing

EXPERIENCE_S = 15.0
"""Seconds with a whole listing after which a VM has listed the version of any stream that still goes on."""

CHECK_INTERVAL_S = 0.25
"""Seconds between two comparisons of the versions that this VM knows with the recorded ones; they need no call."""

MAX_RETRY_DELAY_S = 2.0
"""Upper bound of the delay after a failed call to the store; it doubles with each failure."""


class VersionRecorder:
    """Reads the recorded versions when a VM starts, and records each change."""

    def __init__(
        self,
        clock: Clock,
        journal: Journal,
        tally: Tally,
        listing: Listing,
        store: StreamStore,
        should_write: Callable[[], bool],
        *,
        is_first_start: bool,
    ) -> None:
        """Create a recorder.

        :param should_write: returns whether this VM records changes, on behalf of its hall
        :param is_first_start: whether no VM has ever run, so that a store without a record has lost none
        """
        self._clock = clock
        self._journal = journal
        self._tally = tally
        self._listing = listing
        self._versions = listing.versions
        self._store = store
        self._should_write = should_write
        self._is_first_start = is_first_start
        self._stored: StoredVersions | None = None
        """The record as last read or written; None if it must be read again."""
        self._generation = 0
        """Generation of the store in which it was read or written."""
        self._listed_at: float | None = None
        """Monotonic seconds at which the listing was first seen to be whole."""
        self._running: defer.Deferred[None] | None = None

    def start(self) -> None:
        """Start to read and record."""
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(self._handle_exit)

    def stop(self) -> None:
        """Stop recording."""
        running, self._running = self._running, None
        if running is not None:
            running.cancel()

    async def _run(self) -> None:
        delay = CHECK_INTERVAL_S
        while True:
            failure = await self._check()
            if failure is None:
                delay = CHECK_INTERVAL_S
            else:
                self._tally.count("store_failures_total", "versions")
                delay = min(MAX_RETRY_DELAY_S, 2 * delay)
            await sleep(self._clock, delay * random.uniform(0.7, 1.3))

    async def _check(self) -> StoreUnavailable | None:
        """Read the record, or write it anew, where that is due; return the failure of the call, if any."""
        self._note_experience()
        if self._stored is None or (self._generation != self._store.generation and self._should_write()):
            return await self._read()
        if self._listing.complete and self._should_write() and self._differs(self._stored):
            return await self._write(self._stored)
        return None

    def _note_experience(self) -> None:
        now = self._clock.now()
        if self._listed_at is None and self._listing.complete:
            self._listed_at = now
            self._versions.complete_at = min(self._versions.complete_at, now + EXPERIENCE_S)

    def _differs(self, stored: StoredVersions) -> bool:
        now = self._clock.now()
        if not stored.is_complete and self._versions.is_complete(now):
            return True
        return self._versions.list_all(now) != stored.versions

    async def _read(self) -> StoreUnavailable | None:
        stored = await self._store.read_versions()
        if isinstance(stored, StoreUnavailable):
            return stored
        self._keep(stored)
        now = self._clock.now()
        for service, versions in stored.versions.items():
            self._versions.record_stored(service, versions, now)
        is_first = self._is_first_start and not stored.revision and not stored.may_be_lost
        if stored.is_complete or is_first:
            self._versions.complete_at = min(self._versions.complete_at, now)
        self._journal.write(
            "VERSION", "read", services=len(stored.versions), whole=stored.is_complete, revision=stored.revision
        )
        return None

    async def _write(self, before: StoredVersions) -> StoreUnavailable | None:
        now = self._clock.now()
        versions = self._versions.list_all(now)
        is_complete = self._versions.is_complete(now)
        written = await self._store.write_versions(versions, is_complete=is_complete, replaces=before)
        if isinstance(written, StoredVersions):
            self._keep(written)
            self._journal.write(
                "VERSION",
                "recorded",
                versions={service: sorted(found) for service, found in versions.items()},
                whole=is_complete,
                revision=written.revision,
            )
            return None
        self._stored = None
        return written if isinstance(written, StoreUnavailable) else None

    def _keep(self, stored: StoredVersions) -> None:
        self._stored = stored
        self._generation = self._store.generation

    def _handle_exit(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            self._journal.write("VERSION", "recorder failed", error=failure.getTraceback())
            self._clock.call_later(MAX_RETRY_DELAY_S, self.start)

"""Keep the versions of all services in the store, so that VMs which start together know those that are gone."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from twisted.internet import defer

from beamhatch.clock import sleep
from beamhatch.relay.background_task import BackgroundTask
from beamhatch.relay.store_results import StoreUnavailable
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

WRITE_STAGGER_S = 1.0
"""Time that a VM leaves each VM of higher rank to write a change."""

MAX_WRITE_STAGGER_S = 10.0
"""Upper bound of the time that a VM leaves others to write a change; they may not reach the store."""

MIN_CONFIRM_INTERVAL_S = 0.25
"""Minimum seconds between two reads that find out whether a new version was recorded."""

FLEET_READS_PER_S = 100.0
"""Reads per second for that by all VMs together, a twentieth of what the smallest store takes."""

FLEET_CONFIRMATIONS_PER_S = 1000.0
"""Reads per second for streams that callers resume, by all VMs together."""

MAX_RETRY_DELAY_S = 2.0
"""Upper bound of the delay after a failed call to the store; it doubles with each failure."""


class VersionRecorder(BackgroundTask):
    """Reads the recorded versions when a VM starts, and records each change."""

    def __init__(
        self,
        clock: Clock,
        journal: Journal,
        tally: Tally,
        listing: Listing,
        store: StreamStore,
        should_write: Callable[[], bool],
        has_peers: Callable[[], bool],
        get_rank: Callable[[], int],
        count_vms: Callable[[], int],
        *,
        start_delay_s: float,
        is_first_start: bool,
    ) -> None:
        """Create a recorder.

        :param should_write: returns whether this VM records changes, on behalf of its hall
        :param has_peers: returns whether any peer is connected that may be asked instead of the store
        :param get_rank: returns the number of VMs that have precedence in recording changes
        :param count_vms: returns the number of VMs that read the record
        :param start_delay_s: seconds from the start in which peers are given time to connect
        :param is_first_start: whether no VM has ever run, so that a store without a record has lost none
        """
        super().__init__(clock, restart_delay_s=MAX_RETRY_DELAY_S)
        self._journal = journal
        self._tally = tally
        self._listing = listing
        self._versions = listing.versions
        self._store = store
        self._should_write = should_write
        self._has_peers = has_peers
        self._get_rank = get_rank
        self._count_vms = count_vms
        self._confirms_at: float | None = None
        """Monotonic seconds from which to find out whether a new version was recorded; None if none is awaited."""
        self._is_reading = False
        self._waiting: list[Callable[[], None]] = []
        """Called when the read under way has ended."""
        self._confirming: list[Callable[[bool], None]] = []
        """Called with whether the next read has succeeded."""
        self._failed_at = float("-inf")
        """Monotonic seconds of the last read that failed."""
        self._outdated_since: float | None = None
        """Monotonic seconds since which the record has to be read or written; None if it is up to date."""
        self._start_delay_s = start_delay_s
        self._is_first_start = is_first_start
        self._stored: StoredVersions | None = None
        """The record as last read or written; None if it must be read again."""
        self._generation = 0
        """Generation of the store in which it was read or written."""
        self._listed_at: float | None = None
        """Monotonic seconds at which the listing was first seen to be whole."""

    def read_now(self, on_done: Callable[[], None]) -> bool:
        """Read the record, or wait for the read under way; return False if it was read or could not be read just now.

        :param on_done: called when the read has ended
        """
        now = self.clock.now()
        if not self._is_reading and (self._stored is not None or now < self._failed_at + MAX_RETRY_DELAY_S):
            return False
        self._waiting.append(on_done)
        self._start_read()
        return True

    def confirm(self, on_done: Callable[[bool], None]) -> None:
        """Read the record by a call that begins from now on.

        :param on_done: called with whether the store answered; soon if it did not do so a moment ago
        """
        if self.clock.now() < self._failed_at + MAX_RETRY_DELAY_S:
            self.clock.call_later(0.0, on_done, False)
            return
        self._confirming.append(on_done)
        self._start_read()

    def _start_read(self) -> None:
        if not self._is_reading:
            defer.ensureDeferred(self._read()).addErrback(lambda failure: self.report_error(failure.getTraceback()))

    async def run(self) -> None:
        """Read the record, and record changes."""
        await sleep(self.clock, self._start_delay_s)
        delay = CHECK_INTERVAL_S
        while True:
            failure = await self._check()
            if failure is None:
                delay = CHECK_INTERVAL_S
            else:
                self._tally.count("store_failures_total", "versions")
                delay = min(MAX_RETRY_DELAY_S, 2 * delay)
            await sleep(self.clock, delay)

    async def _check(self) -> StoreUnavailable | None:
        """Read the record, or write it anew, where that is due; return the failure of the call, if any."""
        self._note_experience()
        should_write = self._should_write()
        if self._is_reading:
            return None
        if not self._has_peers() and self._stored is None:
            return await self._read()
        if not should_write or not self._is_outdated():
            self._outdated_since = None
        elif self._is_next():
            return await self._update()
        return await self._read() if self._should_confirm() else None

    def _should_confirm(self) -> bool:
        """Return whether to find out now whether another VM has recorded a version at which streams may not begin."""
        if not self._versions.count_unrecorded():
            self._confirms_at = None
            return False
        now = self.clock.now()
        if self._confirms_at is not None and now < self._confirms_at:
            return False
        is_first = self._confirms_at is None
        if is_first:
            self._journal.write("VERSION", "not recorded yet", versions=self._versions.count_unrecorded())
        interval_s = max(MIN_CONFIRM_INTERVAL_S, self._count_vms() / FLEET_READS_PER_S)
        self._confirms_at = now + random.uniform(0.0, interval_s) if is_first else now + interval_s
        return not is_first

    def _is_outdated(self) -> bool:
        """Return whether the record has to be read, or differs from what this VM knows."""
        if self._stored is None or self._generation != self._store.generation:
            return True
        return self._listing.complete and self._differs(self._stored)

    def _is_next(self) -> bool:
        """Return whether VMs of higher rank have had time to write the change."""
        now = self.clock.now()
        if self._outdated_since is None:
            self._outdated_since = now
        return now >= self._outdated_since + min(self._get_rank() * WRITE_STAGGER_S, MAX_WRITE_STAGGER_S)

    async def _update(self) -> StoreUnavailable | None:
        """Read the record unless it is known, and write the change if there still is one."""
        if self._get_rank() or self._stored is None or self._generation != self._store.generation:
            failure = await self._read()
            if failure is not None or self._stored is None:
                return failure
        if not self._listing.complete or not self._differs(self._stored):
            return None
        return await self._write(self._stored)

    def _note_experience(self) -> None:
        now = self.clock.now()
        if self._listed_at is None and self._listing.complete:
            self._listed_at = now
            self._versions.complete_at = min(self._versions.complete_at, now + EXPERIENCE_S)

    def _differs(self, stored: StoredVersions) -> bool:
        now = self.clock.now()
        if not stored.is_complete and self._versions.is_complete(now):
            return True
        return self._versions.list_all(now) != stored.versions

    async def _read(self) -> StoreUnavailable | None:
        self._is_reading = True
        confirming, self._confirming = self._confirming, []
        succeeded = False
        try:
            stored = await self._store.read_versions()
            if isinstance(stored, StoreUnavailable):
                self._failed_at = self.clock.now()
                return stored
            self._apply(stored)
            succeeded = True
            return None
        finally:
            self._is_reading = False
            waiting, self._waiting = self._waiting, []
            for on_done in waiting:
                on_done()
            for on_confirmed in confirming:
                on_confirmed(succeeded)
            if self._confirming:
                self.clock.call_later(self._count_vms() / FLEET_CONFIRMATIONS_PER_S, self._start_read)

    def _apply(self, stored: StoredVersions) -> None:
        """Add what is recorded to what this VM knows."""
        self._keep(stored)
        now = self.clock.now()
        for service, versions in stored.versions.items():
            self._versions.record_stored(service, versions, now)
        is_first = self._is_first_start and not stored.revision and not stored.may_be_lost
        if stored.is_complete or is_first:
            self._versions.complete_at = min(self._versions.complete_at, now)
        self._journal.write(
            "VERSION", "read", services=len(stored.versions), whole=stored.is_complete, revision=stored.revision
        )

    async def _write(self, before: StoredVersions) -> StoreUnavailable | None:
        now = self.clock.now()
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
        self._versions.confirm_recorded(stored.versions)

    def report_error(self, traceback: str) -> None:
        """Log an error that ended the recorder or a read."""
        self._journal.write("VERSION", "recorder failed", error=traceback)

"""Watchers that read the operators' directives and the upstream listing from the store, then wait for changes.

A connection may stop delivering without being closed, and a watch on it looks as if nothing had changed. The store
therefore ends each watch after a part of the delivery time, and a watch whose answer is overdue has failed: everything
is read again on a new connection.
"""

from __future__ import annotations

import random
from abc import abstractmethod
from dataclasses import replace
from typing import TYPE_CHECKING

from beamhatch.clock import sleep
from beamhatch.relay.api import DirectiveUpdate, ListingUpdate
from beamhatch.relay.background_task import BackgroundTask
from beamhatch.relay.store_results import RevisionExpired, StoreUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.api import Store
    from beamhatch.relay.core import Core

WATCH_SHARE = 0.5
"""Share of the delivery time for which the store holds a watch open when nothing changes."""

ANSWER_SHARE = 0.25
"""Share of the delivery time by which the answer to a watch may exceed that; the rest is left for a new connection."""

IDLE_INTERVAL_S = 0.25
"""Interval in seconds at which a VM that is not watching checks whether it should."""

STARTUP_POLL_INTERVAL_S = 0.02
"""Interval in seconds at which a starting VM checks whether peers have sent the data."""

MIN_RETRY_DELAY_S = 0.15
"""Seconds before the first retry after the store failed; the delay doubles with each failure."""

UNREACHABLE_AFTER_S = 0.5
"""Seconds without an answer after which the store counts as unreachable; a single failed call does not suffice."""

MAX_RETRY_DELAY_S = 1.0
"""Upper bound of the delay between retries."""


class StoreWatcher(BackgroundTask):
    """A watcher of one kind of data in the store; ``name`` identifies it in logs and metrics."""

    name = ""
    batch_delay_s = 0.0
    """Seconds between a change and the next watch, so that one call returns several changes."""

    def __init__(
        self,
        core: Core,
        store: Store,
        should_watch: Callable[[], bool],
        has_peers: Callable[[], bool],
        peer_timeout: float,
        delivery_time: float,
    ) -> None:
        """Create a watcher.

        :param should_watch: returns whether this VM watches the store instead of relying on its peers
        :param has_peers: returns whether any peer is connected
        :param peer_timeout: seconds to wait at the start for peers to send the data
        :param delivery_time: seconds after a change within which all VMs must know it
        """
        super().__init__(core.clock, restart_delay_s=MAX_RETRY_DELAY_S)
        self.core = core
        self.store = store
        self._should_watch = should_watch
        self._has_peers = has_peers
        self._peer_timeout = peer_timeout
        self.delivery_time = delivery_time
        self.connected = True
        """Whether the store answered the last call; True before the first one."""
        self._lost_at = 0.0
        self._answered_at: float | None = None
        """When the store last answered, or the first call since was sent; None while this VM does not watch."""
        self._retry_delay = MIN_RETRY_DELAY_S

    def get_silence(self) -> float:
        """Return the seconds for which the store has not answered, 0 while this VM does not watch it."""
        return 0.0 if self._answered_at is None else self.core.clock.now() - self._answered_at

    def is_store_unreachable(self) -> bool:
        """Return whether the store has not answered for so long that another VM should watch it."""
        return not self.connected and self.core.clock.now() - self._lost_at > UNREACHABLE_AFTER_S

    @abstractmethod
    def has_data(self) -> bool:
        """Return whether this VM has the data, from the store or from a peer."""

    @abstractmethod
    async def read(self) -> int | StoreUnavailable:
        """Read and apply all data; return the revision at which it was read."""

    @abstractmethod
    async def watch(self, after: int, wait: float, margin: float) -> int | StoreUnavailable | RevisionExpired:
        """Wait for changes after a revision and apply them; return the revision up to which they were read.

        :param wait: seconds after which the store answers that there were none
        :param margin: seconds by which its answer may be late
        """

    async def run(self) -> None:
        """Read, then watch."""
        await self._await_peers()
        has_read = False
        while True:
            if not self._should_watch() and (has_read or self.has_data() or self._has_peers()):
                self._answered_at = None
                await sleep(self.core.clock, IDLE_INTERVAL_S * random.uniform(0.7, 1.3))
                continue
            if self._answered_at is None:
                self._answered_at = self.core.clock.now()
            at = await self.read()
            if isinstance(at, StoreUnavailable):
                await self._wait_before_retry(at)
                continue
            has_read = True
            self._record_connected(at)
            await self._watch_from(at)

    async def _await_peers(self) -> None:
        """Wait up to the peer timeout for peers to send the data."""
        end = self.core.clock.now() + self._peer_timeout
        while not self.has_data() and self.core.clock.now() < end:
            await sleep(self.core.clock, STARTUP_POLL_INTERVAL_S)

    async def _watch_from(self, at: int) -> None:
        """Watch from a revision on until the store fails, no longer has its history, or other VMs watch instead.

        After a failure the caller reads everything again: a store that answers no watches may still answer reads.
        """
        while self._should_watch():
            wait, margin = self.delivery_time * WATCH_SHARE, self.delivery_time * ANSWER_SHARE
            result = await self.watch(at, wait, margin)
            if isinstance(result, RevisionExpired):
                self.core.journal.write("STORE", "history gone", watch=self.name, after=at)
                return
            if isinstance(result, StoreUnavailable):
                await self._wait_before_retry(result)
                return
            self._record_connected(result)
            if result > at:
                await sleep(self.core.clock, self.batch_delay_s)
            at = result

    async def _wait_before_retry(self, lost: StoreUnavailable) -> None:
        if self.connected:
            self.connected = False
            self._lost_at = self.core.clock.now()
            self.core.journal.write(
                "STORE", "lost", watch=self.name, detail=lost.detail, silent_s=round(self.get_silence(), 2)
            )
        self.core.tally.count("store_failures_total", self.name)
        await sleep(self.core.clock, self._retry_delay * random.uniform(0.5, 1.0))
        self._retry_delay = min(MAX_RETRY_DELAY_S, self._retry_delay * 2)

    def _record_connected(self, at: int) -> None:
        self._answered_at = self.core.clock.now()
        self._retry_delay = MIN_RETRY_DELAY_S
        if not self.connected:
            self.connected = True
            self.core.journal.write("STORE", "regained", watch=self.name, revision=at)

    def report_error(self, traceback: str) -> None:
        """Log an error that ended the watcher."""
        self.core.journal.write("STORE", "watcher failed", watch=self.name, error=traceback)


class DirectivesWatcher(StoreWatcher):
    """A watcher of the operators' directives: the configuration and the evacuated halls."""

    name = "directives"

    def has_data(self) -> bool:
        """Return whether the configuration and all evacuations are known."""
        return self.core.table is not None and self.core.eligibility.evacuations.complete

    async def read(self) -> int | StoreUnavailable:
        """Read and apply all directives."""
        directives = await self.store.read_directives(self.core.eligibility.evacuations.as_of)
        if isinstance(directives, StoreUnavailable):
            return directives
        self._apply(directives, whole=directives.authoritative or not self.core.eligibility.evacuations.complete)
        return directives.revision

    async def watch(self, after: int, wait: float, margin: float) -> int | StoreUnavailable | RevisionExpired:
        """Wait for changed directives and apply them."""
        directives = await self.store.watch_directives(after, wait, margin)
        if not isinstance(directives, DirectiveUpdate):
            return directives
        self._apply(directives, whole=False)
        return directives.revision

    def _apply(self, directives: DirectiveUpdate, *, whole: bool) -> None:
        if directives.document is not None:
            self.core.apply_document(directives.document, "store")
        # a store that was just restored may lack evacuations that peers know: do not end those
        as_of = directives.revision if directives.authoritative else 0
        self.core.apply_evacuations(directives.evacuations, "store", as_of=as_of, is_snapshot=whole)


class ListingWatcher(StoreWatcher):
    """A watcher of the upstream listing."""

    name = "listing"
    batch_delay_s = 0.2

    def has_data(self) -> bool:
        """Return whether the listing is complete."""
        return self.core.listing.complete

    async def read(self) -> int | StoreUnavailable:
        """Read and apply the listing."""
        listing = await self.store.read_listing(self.core.listing.get_oldest_revision())
        if isinstance(listing, StoreUnavailable):
            return listing
        # a store that was just restored may lack upstreams that peers know: do not remove those
        applied = listing if listing.authoritative else replace(listing, revision=0)
        self.core.apply_listing(applied, "store", is_snapshot=listing.authoritative or not self.core.listing.complete)
        return listing.revision

    async def watch(self, after: int, wait: float, margin: float) -> int | StoreUnavailable | RevisionExpired:
        """Wait for changes of the listing and apply them."""
        listing = await self.store.watch_listing(after, wait, margin)
        if isinstance(listing, ListingUpdate):
            self.core.apply_listing(listing, "store", is_snapshot=False)
            return listing.revision
        return listing

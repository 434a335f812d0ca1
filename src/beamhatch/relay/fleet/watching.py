"""Keep the operators' directives and the listing as the store has them: read once, then wait for changes."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from beamhatch.clock import sleep
from beamhatch.relay.api import DirectiveUpdate, ListingUpdate, RevisionExpired, StoreUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.api import Store
    from beamhatch.relay.core import Core

WATCH_WAIT = 20.0
"""Seconds for which a watch waits; peers tell of changes that a dead watch misses."""

DUTY_INTERVAL = 0.25
"""Seconds between two looks of a VM that does not watch, whether it has to."""

START_INTERVAL = 0.02
"""Seconds between two looks whether a peer has told what is needed."""

FIRST_PAUSE = 0.15
"""Seconds before a lost watch is made anew; each pause is twice the last."""

TURNED_AWAY_TIME = 0.5
"""Seconds without an answer after which others are told: two tries, as a single watch may be cut at any moment."""

LONGEST_PAUSE = 1.0
"""Seconds between two tries at the most: so often a store that is down is asked."""


class Watcher(ABC):
    """Keeps one thing; ``name`` stands in the log."""

    name = ""
    settle_time = 0.0
    """Seconds behind news before the next watch: what changes meanwhile comes with one call."""

    def __init__(
        self, core: Core, store: Store, is_due: Callable[[], bool], hears_peers: Callable[[], bool], patience: float
    ) -> None:
        """Make one.

        :param is_due: tells whether this VM is to watch the store, or learns from its peers
        :param hears_peers: tells whether there are peers to learn from
        :param patience: seconds for which the peers are waited for at the start
        """
        self.core = core
        self.store = store
        self._is_due = is_due
        self._hears_peers = hears_peers
        self._patience = patience
        self._running: defer.Deferred[None] | None = None
        self._waiting: defer.Deferred[int | StoreUnavailable | RevisionExpired] | None = None
        self._renewing = False
        self.connected = True
        """False once the store has given no answer, until it does."""
        self._lost_at = 0.0
        self._pause = FIRST_PAUSE

    def start(self) -> None:
        """Begin."""
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(self._take_end)

    def stop(self) -> None:
        """End."""
        running, self._running = self._running, None
        if running is not None:
            running.cancel()

    def renew(self) -> None:
        """Ask anew: the store had been away, and may have lost the answer that is waited for."""
        if self._waiting is not None and not self._waiting.called:
            self._renewing = True
            self._waiting.cancel()

    def is_turned_away(self) -> bool:
        """Tell whether the store has not answered for so long that others should ask it."""
        return not self.connected and self.core.clock.now() - self._lost_at > TURNED_AWAY_TIME

    @abstractmethod
    def is_known(self) -> bool:
        """Tell whether this VM has the thing from anybody."""

    @abstractmethod
    async def read(self) -> int | StoreUnavailable:
        """Take in all of it; return the revision as of which it was read."""

    @abstractmethod
    async def watch(self, after: int) -> int | StoreUnavailable | RevisionExpired:
        """Take in what changed behind a revision; return up to which one."""

    async def _run(self) -> None:
        await self._await_peers()
        has_read = False
        while True:
            if not self._is_due() and (has_read or self.is_known() or self._hears_peers()):
                await sleep(self.core.clock, DUTY_INTERVAL * random.uniform(0.7, 1.3))
                continue
            at = await self.read()
            if isinstance(at, StoreUnavailable):
                await self._wait_again(at)
                continue
            has_read = True
            self._note_connected(at)
            await self._follow(at)

    async def _await_peers(self) -> None:
        """Give the peers a moment to tell what they have."""
        end = self.core.clock.now() + self._patience
        while not self.is_known() and self.core.clock.now() < end:
            await sleep(self.core.clock, START_INTERVAL)

    async def _follow(self, at: int) -> None:
        """Watch from a revision on, until the watch is lost, what it needs is, or others watch.

        Behind a lost watch everything is read again: a read is answered or lost within seconds, while another watch
        might be swallowed by a store that is still silent, and be missed only when its long time is over.
        """
        while self._is_due():
            news = await self._watch_once(at)
            if news is None:
                continue
            if isinstance(news, RevisionExpired):
                self.core.journal.write("STORE", "history gone", watch=self.name, after=at)
                return
            if isinstance(news, StoreUnavailable):
                await self._wait_again(news)
                return
            self._note_connected(news)
            if news > at:
                await sleep(self.core.clock, self.settle_time)
            at = news

    async def _watch_once(self, at: int) -> int | StoreUnavailable | RevisionExpired | None:
        """Watch behind a revision; return None where this is to be done anew."""
        self._waiting = defer.ensureDeferred(self.watch(at))
        try:
            return await self._waiting
        except defer.CancelledError:
            if not self._renewing:
                raise
            self._renewing = False
            return None

    async def _wait_again(self, lost: StoreUnavailable) -> None:
        if self.connected:
            self.connected = False
            self._lost_at = self.core.clock.now()
            self.core.journal.write("STORE", "lost", watch=self.name, detail=lost.detail)
        self.core.tally.count("store_failures_total", self.name)
        await sleep(self.core.clock, self._pause * random.uniform(0.5, 1.0))
        self._pause = min(LONGEST_PAUSE, self._pause * 2)

    def _note_connected(self, at: int) -> None:
        self._pause = FIRST_PAUSE
        if not self.connected:
            self.connected = True
            self.core.journal.write("STORE", "regained", watch=self.name, revision=at)

    def _take_end(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            self.core.journal.write("STORE", "watcher failed", watch=self.name, error=failure.getTraceback())
            self.core.clock.call_later(LONGEST_PAUSE, self.start)


class DirectivesWatcher(Watcher):
    """Keeps what the operators wrote: the configuration, and which halls are emptied."""

    name = "directives"

    def is_known(self) -> bool:
        """Tell whether there is a configuration, and which halls are emptied is known."""
        return self.core.table is not None and self.core.eligibility.evacuations.complete

    async def read(self) -> int | StoreUnavailable:
        """Read all of it."""
        news = await self.store.read_directives(self.core.eligibility.evacuations.as_of)
        if isinstance(news, StoreUnavailable):
            return news
        self._take(news, whole=news.authoritative or not self.core.eligibility.evacuations.complete)
        return news.revision

    async def watch(self, after: int) -> int | StoreUnavailable | RevisionExpired:
        """Wait for changes."""
        news = await self.store.watch_directives(after, WATCH_WAIT)
        if not isinstance(news, DirectiveUpdate):
            return news
        self._take(news, whole=False)
        return news.revision

    def _take(self, news: DirectiveUpdate, *, whole: bool) -> None:
        if news.document is not None:
            self.core.apply_document(news.document, "store")
        # an unsettled list ends nothing: peers may know of evacuations that the operators still have to write again
        as_of = news.revision if news.authoritative else 0
        self.core.apply_evacuations(news.evacuations, "store", as_of=as_of, is_snapshot=whole)


class ListingWatcher(Watcher):
    """Keeps the list of upstreams."""

    name = "listing"
    settle_time = 0.2

    def is_known(self) -> bool:
        """Tell whether there is a whole list."""
        return self.core.listing.complete

    async def read(self) -> int | StoreUnavailable:
        """Read the list."""
        news = await self.store.read_listing(self.core.listing.find_oldest())
        if isinstance(news, StoreUnavailable):
            return news
        # an unsettled list drops nothing: peers may know of upstreams that still have to write their entries again
        known = news if news.authoritative else replace(news, revision=0)
        self.core.apply_listing(known, "store", is_snapshot=news.authoritative or not self.core.listing.complete)
        return news.revision

    async def watch(self, after: int) -> int | StoreUnavailable | RevisionExpired:
        """Wait for changes of the list."""
        news = await self.store.watch_listing(after, WATCH_WAIT)
        if isinstance(news, ListingUpdate):
            self.core.apply_listing(news, "store", is_snapshot=False)
            return news.revision
        return news

"""Write quarantines to the store, so that they remain in force after a restart of all VMs."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from beamhatch.clock import sleep
from beamhatch.relay.quarantine.quarantine import BASE_QUARANTINE_S
from beamhatch.relay.store_results import StoreUnavailable

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from beamhatch.relay.api import Store
    from beamhatch.relay.core import Core
    from beamhatch.relay.model import Fingerprint

STANDBY_DELAY_S = 1.0, 2.0
"""Range of the delay, in seconds, of writes that are not immediate, so that the immediate ones come first."""

MIN_RETRY_DELAY_S = 0.5
"""Initial delay before a failed call to the store is retried, in seconds; doubled with each retry."""

MAX_RETRY_DELAY_S = 8.0
"""Maximum delay between two retries, in seconds."""


class QuarantinePersistence:
    """Writer of quarantines to the store, with retries."""

    def __init__(self, core: Core, store: Store) -> None:
        self.core = core
        self._store = store
        self._writing: set[Fingerprint] = set()
        """Requests whose write is scheduled or running."""

    def add(self, fingerprint: Fingerprint, immediately: bool) -> None:
        """Schedule a write of a request's quarantine, unless one is scheduled already.

        :param immediately: write without the delay of ``STANDBY_DELAY_S``
        """
        if fingerprint in self._writing:
            return
        self._writing.add(fingerprint)
        delay = 0.0 if immediately else random.uniform(*STANDBY_DELAY_S)
        self.core.clock.call_later(delay, self._run, self._add, fingerprint)

    def remove(self, fingerprint: Fingerprint) -> None:
        """Remove a request's quarantine from the store."""
        self._run(self._remove, fingerprint)

    def _run(self, work: Callable[[Fingerprint], Awaitable[None]], fingerprint: Fingerprint) -> None:
        running = defer.ensureDeferred(work(fingerprint))
        running.addErrback(self._report_failure)

    async def _add(self, fingerprint: Fingerprint) -> None:
        try:
            await self._write(fingerprint)
        finally:
            self._writing.discard(fingerprint)

    async def _write(self, fingerprint: Fingerprint) -> None:
        quarantine = self.core.quarantine
        delay = MIN_RETRY_DELAY_S
        while not quarantine.is_stored(fingerprint, now := self.core.clock.now()):
            entry = quarantine.get_entry(fingerprint, now)
            if entry is None:
                return  # cleared, or the crashes are now attributed to another request
            failure = await self._store.store_quarantine(fingerprint, min(BASE_QUARANTINE_S, entry.until - now))
            if failure is None:
                self.core.journal.write("QUARANTINE", "kept", fingerprint=fingerprint.hex())
                self.core.quarantine_gossip.record_stored(fingerprint)
                return
            delay = await self._wait_before_retry(fingerprint, failure, delay)

    async def _remove(self, fingerprint: Fingerprint) -> None:
        """Delete the stored quarantine, retrying until it has expired or the request is quarantined again.

        While it is stored, VMs that start would quarantine the request.
        """
        until = self.core.clock.now() + BASE_QUARANTINE_S
        delay = MIN_RETRY_DELAY_S
        while self.core.quarantine.get_entry(fingerprint, now := self.core.clock.now()) is None and now < until:
            failure = await self._store.delete_quarantine(fingerprint)
            if failure is None:
                return
            delay = await self._wait_before_retry(fingerprint, failure, delay)

    async def _wait_before_retry(self, fingerprint: Fingerprint, failure: StoreUnavailable, delay: float) -> float:
        """Report a failed call and wait before the next attempt; return the delay to use after that one."""
        self.core.tally.count("store_failures_total", "quarantine")
        self.core.journal.write("QUARANTINE", "store lost", fingerprint=fingerprint.hex(), detail=failure.detail)
        await sleep(self.core.clock, delay * random.uniform(0.7, 1.3))
        return min(MAX_RETRY_DELAY_S, 2 * delay)

    def _report_failure(self, failure: Any) -> None:
        self.core.journal.write("QUARANTINE", "keeping failed", error=failure.getTraceback())

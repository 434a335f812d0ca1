"""Have the store keep quarantines, so that they outlast a restart of all VMs."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from beamhatch.clock import sleep
from beamhatch.relay.api import StoreUnavailable
from beamhatch.relay.quarantine.quarantine import HOLD_TIME

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from beamhatch.relay.api import Store
    from beamhatch.relay.core import Core
    from beamhatch.relay.model import Fingerprint

STAND_IN_WAIT = 1.0, 2.0
"""Seconds for which VMs wait that did not see the last end: the one that did has written it down by then."""

FIRST_PAUSE = 0.5
"""Seconds before the next try at a store that gave no answer; each pause is twice the last."""

LONGEST_PAUSE = 8.0
"""Seconds between two tries at the most: a store that is down is asked by one or two VMs only."""


class QuarantineKeeping:
    """Writes to the store which requests are held, as often as it takes."""

    def __init__(self, core: Core, store: Store) -> None:
        self.core = core
        self._store = store
        self._keeping: set[Fingerprint] = set()
        """Those that are being written, or wait for it: a restored store is read several times meanwhile."""

    def keep(self, fingerprint: Fingerprint, first: bool) -> None:
        """Have a quarantine kept, unless another VM has.

        :param first: whether this VM is the one to begin with
        """
        if fingerprint in self._keeping:
            return
        self._keeping.add(fingerprint)
        wait = 0.0 if first else random.uniform(*STAND_IN_WAIT)
        self.core.clock.call_later(wait, self._run, self._keep, fingerprint)

    def end(self, fingerprint: Fingerprint) -> None:
        """Have a quarantine kept no longer."""
        self._run(self._end, fingerprint)

    def _run(self, work: Callable[[Fingerprint], Awaitable[None]], fingerprint: Fingerprint) -> None:
        running = defer.ensureDeferred(work(fingerprint))
        running.addErrback(self._report_failure)

    async def _keep(self, fingerprint: Fingerprint) -> None:
        try:
            await self._write(fingerprint)
        finally:
            self._keeping.discard(fingerprint)

    async def _write(self, fingerprint: Fingerprint) -> None:
        quarantine = self.core.quarantine
        pause = FIRST_PAUSE
        while not quarantine.is_told(fingerprint, now := self.core.clock.now()):
            hold = quarantine.find_hold(fingerprint, now)
            if hold is None:
                return  # cleared, or another request explains the ends
            lost = await self._store.store_quarantine(fingerprint, min(HOLD_TIME, hold.until - now))
            if lost is None:
                self.core.journal.write("QUARANTINE", "kept", fingerprint=fingerprint.hex())
                self.core.quarantine_gossip.note_held(fingerprint)
                return
            pause = await self._wait_again(fingerprint, lost, pause)

    async def _end(self, fingerprint: Fingerprint) -> None:
        """Remove the key, as VMs that start would hold the request by it; behind its lease there is none."""
        until = self.core.clock.now() + HOLD_TIME
        pause = FIRST_PAUSE
        while self.core.quarantine.find_hold(fingerprint, now := self.core.clock.now()) is None and now < until:
            lost = await self._store.delete_quarantine(fingerprint)
            if lost is None:
                return
            pause = await self._wait_again(fingerprint, lost, pause)

    async def _wait_again(self, fingerprint: Fingerprint, lost: StoreUnavailable, pause: float) -> float:
        """Wait before the next try; return the seconds to wait before the one behind it."""
        self.core.tally.count("store_failures_total", "quarantine")
        self.core.journal.write("QUARANTINE", "store lost", fingerprint=fingerprint.hex(), detail=lost.detail)
        await sleep(self.core.clock, pause * random.uniform(0.7, 1.3))
        return min(LONGEST_PAUSE, 2 * pause)

    def _report_failure(self, failure: Any) -> None:
        self.core.journal.write("QUARANTINE", "keeping failed", error=failure.getTraceback())

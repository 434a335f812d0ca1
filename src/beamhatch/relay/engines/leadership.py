"""One VM at a time gives orders: the holder of a lease in the store.

The lease's time is counted from before each renewal was sent, on the monotonic clock. A store may also take a claim
away early, and renew the lease all the same. So each order is first written down in the store on the condition that the
claim stands, and sent at once or not at all. A claim holds only if no order was written down since the new holder saw
the last one; that holder gives no order before a lease and the platform's bound on turns have passed behind it. Each
order carries the revision of the claim, which rises from holder to holder.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from beamhatch.clock import sleep
from beamhatch.relay.api import LeadershipClaim, LeadershipState, StoreUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.relay.api import Store
    from beamhatch.relay.core import Core
    from beamhatch.relay.model import Fingerprint

LEASE_TIME = 3.0
"""Seconds for which the lease of a leader runs."""

KEEP_INTERVAL = 0.8
"""Seconds between two renewals: three fit into a lease, so that one may be lost."""

KEEP_TIMEOUT = 0.7
"""Seconds after which a renewal without an answer is made again."""

LOOK_INTERVAL = 6.0
"""Seconds between two looks of a VM that holds nothing and is no candidate, times how many go before it."""

FIRST_LOOK = 1.0, 1.6
"""Seconds from the start to the first look of a candidate, from and to: by then a VM knows who goes before it."""

WATCH_WAIT = 20.0
"""Seconds for which one watch of the lease is held: below the platform's bound of 30."""

LOST_PAUSE = 1.0
"""Seconds behind a call that the store did not answer."""

TURN_PAUSE = 0.15
"""Seconds by which each candidate lets those before it go first."""

ORDER_TIME = 1.0
"""Seconds of the lease that have to be left for an order."""

HANDOVER_MARGIN = 0.5
"""Seconds that a new leader waits beyond the turn: clocks differ, and orders take time to arrive."""

CANDIDATES = 3
"""VMs that watch the lease, so that one takes over at once; the others look the less often the more go before them.

So the calls of a fleet grow with the logarithm of its size, and somebody takes over also where the first ones are gone.
"""


@dataclass(slots=True)
class LastOrder:
    """What this VM has seen of the orders that were written down."""

    revision: int = -1
    seen_at: float = -1e9
    """When this VM first saw it, so it is no younger."""

    def take(self, revision: int, now: float, *, may_be_lost: bool = False) -> None:
        """Take in the revision of the last order, 0 where the store has none.

        :param may_be_lost: whether the store may have lost one in a restore; it counts as given now
        """
        if may_be_lost or revision != self.revision:
            self.revision = revision
            self.seen_at = now if revision or may_be_lost else -1e9

    def find_turn(self, turn_time: float) -> float:
        """Return when another VM may give orders, if it claimed the lease with nothing written down behind this."""
        return self.seen_at + LEASE_TIME + turn_time + HANDOVER_MARGIN


@dataclass(slots=True)
class Tenure:
    """What this VM believes of its own lease."""

    turn_time: float = 3.0
    """Seconds that have to pass between the orders of two holders."""
    token: int = 0
    _valid_until: float = -1e9
    _acts_from: float = 1e18

    def begin(self, token: int, sent_at: float, last_order: LastOrder) -> None:
        """Take in that the lease was claimed, by a call that was sent at some time."""
        self.token = token
        self._valid_until = sent_at + LEASE_TIME
        self._acts_from = last_order.find_turn(self.turn_time)

    def renew(self, sent_at: float) -> None:
        """Take in that the lease was renewed."""
        self._valid_until = max(self._valid_until, sent_at + LEASE_TIME)

    def end(self) -> None:
        """Take in that the lease is over."""
        self._valid_until = -1e9
        self._acts_from = 1e18

    def holds(self, now: float) -> bool:
        """Tell whether the lease lasts."""
        return now < self._valid_until

    def may_order(self, now: float) -> bool:
        """Tell whether an order may be given now."""
        return self._acts_from <= now < self._valid_until - ORDER_TIME


class Leadership:
    """Stands for the lease, and keeps it."""

    def __init__(self, core: Core, store: Store, vm: str, find_rank: Callable[[], int]) -> None:
        self.core = core
        self.tenure = Tenure()
        self.claim: LeadershipClaim | None = None
        self._store = store
        self._vm = vm
        self._find_rank = find_rank
        self._last_order = LastOrder()
        self.on_recall: Callable[[str], None] = lambda _: None
        """Called at the start with the last order that any VM wrote down."""
        self.on_regained: Callable[[], None] = lambda: None
        """Called when the store answers again."""
        self.on_quarantine: Callable[[Sequence[Fingerprint]], None] = lambda _: None
        """Called with the requests whose quarantine the store keeps, each time it is read."""
        self.on_restored_quarantine: Callable[[Sequence[Fingerprint], bool], None] = lambda kept, first: None
        """Called in place of it after a restore, also with whether this VM is the first in rank."""
        self._lost = False
        self._running: defer.Deferred[None] | None = None

    def start(self) -> None:
        """Begin."""
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(self._take_end)

    def stop(self) -> None:
        """End; the lease runs out by itself."""
        running, self._running = self._running, None
        self.tenure.end()
        if running is not None:
            running.cancel()

    async def confirm(self, order: str) -> bool:
        """Write an order down if the claim still stands; return whether it may be sent now."""
        claim = self.claim
        sent_at = self.core.clock.now()
        if claim is None or not self.tenure.may_order(sent_at):
            return False
        recorded = await self._store.record_order(claim, order)
        if recorded is not True:
            self.core.journal.write("LEADER", "order not recorded", token=claim.revision, answer=str(recorded))
            if recorded is False:
                self.tenure.end()
            return False
        now = self.core.clock.now()
        return now - sent_at < ORDER_TIME / 2 and self.tenure.may_order(now)

    async def _run(self) -> None:
        await sleep(self.core.clock, random.uniform(*FIRST_LOOK))
        if self._find_rank() >= CANDIDATES:
            await self._sleep_by_rank()
        recalled = False
        while True:
            seen = await self._store.read_leadership()
            self._note_answer(seen)
            if isinstance(seen, StoreUnavailable):
                await sleep(self.core.clock, LOST_PAUSE * random.uniform(0.7, 1.3))
                continue
            self._last_order.take(seen.last_order, self.core.clock.now(), may_be_lost=seen.order_may_be_lost)
            if seen.restored:
                self.on_restored_quarantine(seen.quarantined, self._find_rank() == 0)
            else:
                self.on_quarantine(seen.quarantined)
            if not recalled:
                recalled = True
                self.on_recall(seen.order)
            if not seen.has_leader and await self._stand(seen):
                await sleep(self.core.clock, LOST_PAUSE * random.uniform(0.7, 1.3))
                continue  # the store may be away, so it is read from: a watch could wait for long
            await self._await_change(seen)

    async def _await_change(self, seen: LeadershipState) -> None:
        """Wait until it is worth looking again."""
        rank = self._find_rank()
        if rank >= CANDIDATES:
            await self._sleep_by_rank()
            return
        news = await self._store.watch_leadership(seen.revision, WATCH_WAIT)
        pause = LOST_PAUSE if isinstance(news, StoreUnavailable) else TURN_PAUSE * rank
        await sleep(self.core.clock, pause * random.uniform(0.7, 1.3))

    async def _sleep_by_rank(self) -> None:
        """Wait for the longer the more VMs go before this one."""
        await sleep(self.core.clock, LOOK_INTERVAL * self._find_rank() * random.uniform(0.7, 1.3))

    async def _stand(self, seen: LeadershipState) -> bool:
        """Claim the lease, and keep it for as long as possible; return whether this VM had it."""
        sent_at = self.core.clock.now()
        claim = await self._store.claim_leadership(self._vm, LEASE_TIME, seen)
        if not isinstance(claim, LeadershipClaim):
            return False
        self.claim = claim
        self.tenure.begin(claim.revision, sent_at, self._last_order)
        self.core.journal.write("LEADER", "claimed", token=claim.revision, last_order=seen.last_order)
        while self.tenure.holds(self.core.clock.now()):
            await sleep(self.core.clock, KEEP_INTERVAL)
            sent_at = self.core.clock.now()
            kept = await self._store.renew_leadership(claim, KEEP_TIMEOUT)
            self._note_answer(kept)
            if kept is True:
                self.tenure.renew(sent_at)
            elif not isinstance(kept, StoreUnavailable):
                break
        self.tenure.end()
        self.claim = None
        self.core.journal.write("LEADER", "lost", token=claim.revision)
        return True

    def _note_answer(self, answer: object) -> None:
        """Notice when the store is back: these calls are made often, also while nothing changes."""
        lost = isinstance(answer, StoreUnavailable)
        if self._lost and not lost:
            self.on_regained()
        self._lost = lost

    def _take_end(self, failure: Any) -> None:
        self.tenure.end()
        if not failure.check(defer.CancelledError):
            self.core.journal.write("LEADER", "failed", error=failure.getTraceback())

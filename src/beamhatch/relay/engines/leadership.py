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
from beamhatch.relay.api import Claimed, LeadershipNews, StoreLost

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.relay.api import Store
    from beamhatch.relay.core import Core
    from beamhatch.relay.model import Fingerprint

LEASE_TTL_S = 3.0
"""Seconds for which the lease of a leader runs."""

RENEW_INTERVAL_S = 0.8
"""Seconds between two renewals: three fit into a lease, so that one may be lost."""

RENEW_TIMEOUT_S = 0.7
"""Seconds after which a renewal without an answer is made again."""

POLL_INTERVAL_S = 6.0
"""Seconds between two looks of a VM that holds nothing and is no candidate, times how many go before it."""

FIRST_POLL_DELAY_S = 1.0, 1.6
"""Seconds from the start to the first look of a candidate, from and to: by then a VM knows who goes before it."""

WATCH_TIMEOUT_S = 20.0
"""Seconds for which one watch of the lease is held: below the platform's bound of 30."""

RETRY_DELAY_S = 1.0
"""Seconds behind a call that the store did not answer."""

CANDIDATE_STAGGER_S = 0.15
"""Seconds by which each candidate lets those before it go first."""

ORDER_MARGIN_S = 1.0
"""Seconds of the lease that have to be left for an order."""

HANDOVER_MARGIN_S = 0.5
"""Seconds that a new leader waits beyond the turn: clocks differ, and orders take time to arrive."""

CANDIDATE_COUNT = 3
"""VMs that watch the lease, so that one takes over at once; the others look the less often the more go before them.

So the calls of a fleet grow with the logarithm of its size, and somebody takes over also where the first ones are gone.
"""


@dataclass(slots=True)
class LastOrder:
    """What this VM has seen of the orders that were written down."""

    revision: int = -1
    first_seen_at: float = -1e9
    """When this VM first saw it, so it is no younger."""

    def record(self, revision: int, now: float, *, may_be_lost: bool = False) -> None:
        """Take in the revision of the last order, 0 where the store has none.

        :param may_be_lost: whether the store may have lost one in a restore; it counts as given now
        """
        if may_be_lost or revision != self.revision:
            self.revision = revision
            self.first_seen_at = now if revision or may_be_lost else -1e9

    def compute_handover(self, handover_time: float) -> float:
        """Return when another VM may give orders, if it claimed the lease with nothing written down behind this."""
        return self.first_seen_at + LEASE_TTL_S + handover_time + HANDOVER_MARGIN_S


@dataclass(slots=True)
class LeaseState:
    """What this VM believes of its own lease."""

    handover_time: float = 3.0
    """Seconds that have to pass between the orders of two holders."""
    token: int = 0
    _valid_until: float = -1e9
    _may_order_from: float = 1e18

    def begin(self, token: int, sent_at: float, last_order: LastOrder) -> None:
        """Take in that the lease was claimed, by a call that was sent at some time."""
        self.token = token
        self._valid_until = sent_at + LEASE_TTL_S
        self._may_order_from = last_order.compute_handover(self.handover_time)

    def renew(self, sent_at: float) -> None:
        """Take in that the lease was renewed."""
        self._valid_until = max(self._valid_until, sent_at + LEASE_TTL_S)

    def end(self) -> None:
        """Take in that the lease is over."""
        self._valid_until = -1e9
        self._may_order_from = 1e18

    def holds(self, now: float) -> bool:
        """Tell whether the lease lasts."""
        return now < self._valid_until

    def may_order(self, now: float) -> bool:
        """Tell whether an order may be given now."""
        return self._may_order_from <= now < self._valid_until - ORDER_MARGIN_S


class Leadership:
    """Stands for the lease, and keeps it."""

    def __init__(self, core: Core, store: Store, vm: str, get_rank: Callable[[], int]) -> None:
        self.core = core
        self.lease = LeaseState()
        self.claim: Claimed | None = None
        self._store = store
        self._vm = vm
        self._get_rank = get_rank
        self._last_order = LastOrder()
        self.on_last_order: Callable[[str], None] = lambda _: None
        """Called at the start with the last order that any VM wrote down."""
        self.on_store_recovered: Callable[[], None] = lambda: None
        """Called when the store answers again."""
        self.on_quarantines: Callable[[Sequence[Fingerprint]], None] = lambda _: None
        """Called with the requests whose quarantine the store keeps, each time it is read."""
        self.on_quarantines_restored: Callable[[Sequence[Fingerprint], bool], None] = lambda kept, first: None
        """Called in place of it after a restore, also with whether this VM is the first in rank."""
        self._store_lost = False
        self._running: defer.Deferred[None] | None = None

    def start(self) -> None:
        """Begin."""
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(self._handle_exit)

    def stop(self) -> None:
        """End; the lease runs out by itself."""
        running, self._running = self._running, None
        self.lease.end()
        if running is not None:
            running.cancel()

    async def confirm(self, order: str) -> bool:
        """Write an order down if the claim still stands; return whether it may be sent now."""
        claim = self.claim
        sent_at = self.core.clock.now()
        if claim is None or not self.lease.may_order(sent_at):
            return False
        outcome = await self._store.record_order(claim, order)
        if outcome is not True:
            self.core.journal.write("LEADER", "order not recorded", token=claim.revision, answer=str(outcome))
            if outcome is False:
                self.lease.end()
            return False
        now = self.core.clock.now()
        return now - sent_at < ORDER_MARGIN_S / 2 and self.lease.may_order(now)

    async def _run(self) -> None:
        await sleep(self.core.clock, random.uniform(*FIRST_POLL_DELAY_S))
        if self._get_rank() >= CANDIDATE_COUNT:
            await self._sleep_by_rank()
        last_order_reported = False
        while True:
            state = await self._store.read_leadership()
            self._track_store(state)
            if isinstance(state, StoreLost):
                await sleep(self.core.clock, RETRY_DELAY_S * random.uniform(0.7, 1.3))
                continue
            self._last_order.record(state.last_order, self.core.clock.now(), may_be_lost=state.order_may_be_lost)
            if state.restored:
                self.on_quarantines_restored(state.held, self._get_rank() == 0)
            else:
                self.on_quarantines(state.held)
            if not last_order_reported:
                last_order_reported = True
                self.on_last_order(state.order)
            if not state.taken and await self._claim_and_renew(state):
                await sleep(self.core.clock, RETRY_DELAY_S * random.uniform(0.7, 1.3))
                continue  # the store may be away, so it is read from: a watch could wait for long
            await self._await_change(state)

    async def _await_change(self, state: LeadershipNews) -> None:
        """Wait until it is worth looking again."""
        rank = self._get_rank()
        if rank >= CANDIDATE_COUNT:
            await self._sleep_by_rank()
            return
        answer = await self._store.watch_leadership(state.at, WATCH_TIMEOUT_S)
        delay = RETRY_DELAY_S if isinstance(answer, StoreLost) else CANDIDATE_STAGGER_S * rank
        await sleep(self.core.clock, delay * random.uniform(0.7, 1.3))

    async def _sleep_by_rank(self) -> None:
        """Wait for the longer the more VMs go before this one."""
        await sleep(self.core.clock, POLL_INTERVAL_S * self._get_rank() * random.uniform(0.7, 1.3))

    async def _claim_and_renew(self, state: LeadershipNews) -> bool:
        """Claim the lease, and keep it for as long as possible; return whether this VM had it."""
        sent_at = self.core.clock.now()
        claim = await self._store.claim_leadership(self._vm, LEASE_TTL_S, state)
        if not isinstance(claim, Claimed):
            return False
        self.claim = claim
        self.lease.begin(claim.revision, sent_at, self._last_order)
        self.core.journal.write("LEADER", "claimed", token=claim.revision, last_order=state.last_order)
        while self.lease.holds(self.core.clock.now()):
            await sleep(self.core.clock, RENEW_INTERVAL_S)
            sent_at = self.core.clock.now()
            renewed = await self._store.keep_leadership(claim, RENEW_TIMEOUT_S)
            self._track_store(renewed)
            if renewed is True:
                self.lease.renew(sent_at)
            elif not isinstance(renewed, StoreLost):
                break
        self.lease.end()
        self.claim = None
        self.core.journal.write("LEADER", "lost", token=claim.revision)
        return True

    def _track_store(self, answer: object) -> None:
        """Notice when the store is back: these calls are made often, also while nothing changes."""
        lost = isinstance(answer, StoreLost)
        if self._store_lost and not lost:
            self.on_store_recovered()
        self._store_lost = lost

    def _handle_exit(self, failure: Any) -> None:
        self.lease.end()
        if not failure.check(defer.CancelledError):
            self.core.journal.write("LEADER", "failed", error=failure.getTraceback())

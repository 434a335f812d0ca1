"""Leader election: the VM that holds a lease in the store may give orders.

The lease runs from the time just before each renewal is sent, on the monotonic clock. The store may delete a claim
early and still renew its lease, so an order is first recorded in the store, provided that the claim still exists, and
is discarded if it cannot be sent immediately. A claim fails if the claimant has not seen the last recorded order. A new
leader waits for the lease duration and the handover time after that order. Orders carry the claim's revision as a
fencing token.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.clock import sleep
from beamhatch.relay.api import LeadershipClaim, LeadershipState
from beamhatch.relay.background_task import BackgroundTask
from beamhatch.relay.store_results import StoreUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.relay.api import Store
    from beamhatch.relay.core import Core
    from beamhatch.relay.model import Fingerprint

LEASE_TTL_S = 3.0
"""Duration of a leader's lease, in seconds."""

RENEW_INTERVAL_S = 0.8
"""Interval of renewals, in seconds; short enough that the lease survives one lost renewal."""

RENEW_TIMEOUT_S = 0.7
"""Timeout of a renewal, in seconds."""

POLL_INTERVAL_S = 6.0
"""Interval at which VMs that are not candidates read the leadership state, in seconds; multiplied by their rank."""

FIRST_POLL_DELAY_S = 1.0, 1.6
"""Range of the delay from start to the first read of the leadership state, in seconds; ranks are known by then."""

WATCH_WAIT_S = LEASE_TTL_S
"""Time for which the store holds a watch of the lease open, in seconds.

A watch whose connection no longer delivers must not keep a candidate from noticing for long that the lease expired.
"""

WATCH_MARGIN_S = 1.0
"""Time by which the answer to a watch may exceed that, in seconds."""

MAX_STATE_AGE_S = 18.0
"""Time after which a candidate reads the leadership state again although it did not change, in seconds."""

RETRY_DELAY_S = 1.0
"""Delay after a failed call to the store, in seconds."""

CANDIDATE_STAGGER_S = 0.15
"""Delay of a candidate per rank, in seconds, so that lower ranks claim first."""

ORDER_MARGIN_S = 1.0
"""Minimum time left on the lease for an order, in seconds."""

HANDOVER_MARGIN_S = 0.5
"""Additional time that a new leader waits, to allow for clock drift and orders in transit, in seconds."""

CANDIDATE_COUNT = 3
"""Number of VMs that watch the lease; others poll it at an interval that grows with their rank.

The calls of a fleet thus grow with the logarithm of its size, and a VM takes over even if all candidates are gone.
"""


@dataclass(slots=True)
class LastOrder:
    """The last recorded order that this VM has seen."""

    revision: int = -1
    first_seen_at: float = -1e9
    """Time when this VM first saw it, on the monotonic clock; it was recorded no later."""

    def record(self, revision: int, now: float, *, may_be_lost: bool = False) -> None:
        """Record the revision of the last order, 0 if the store has none.

        :param may_be_lost: whether a restore of the store may have lost an order, which is then assumed to be given now
        """
        if may_be_lost or revision != self.revision:
            self.revision = revision
            self.first_seen_at = now if revision or may_be_lost else -1e9

    def get_earliest_takeover(self, handover_time: float) -> float:
        """Return the earliest time at which another VM may give orders, if none was recorded after this one."""
        return self.first_seen_at + LEASE_TTL_S + handover_time + HANDOVER_MARGIN_S


@dataclass(slots=True)
class LeaseState:
    """Lease of this VM, according to the answers of the store."""

    handover_time: float = 3.0
    """Minimum time between orders of two leaders, in seconds."""
    token: int = 0
    _valid_until: float = -1e9
    _may_order_from: float = 1e18

    def begin(self, token: int, sent_at: float, last_order: LastOrder) -> None:
        """Record that the lease was claimed by a call sent at ``sent_at``."""
        self.token = token
        self._valid_until = sent_at + LEASE_TTL_S
        self._may_order_from = last_order.get_earliest_takeover(self.handover_time)

    def renew(self, sent_at: float) -> None:
        """Record that the lease was renewed by a call sent at ``sent_at``."""
        self._valid_until = max(self._valid_until, sent_at + LEASE_TTL_S)

    def end(self) -> None:
        """Record that the lease ended."""
        self._valid_until = -1e9
        self._may_order_from = 1e18

    def holds(self, now: float) -> bool:
        """Return whether the lease is held."""
        return now < self._valid_until

    def may_order(self, now: float) -> bool:
        """Return whether an order may be given now."""
        return self._may_order_from <= now < self._valid_until - ORDER_MARGIN_S


class Leadership(BackgroundTask):
    """Candidate for and holder of the leadership lease."""

    def __init__(self, core: Core, store: Store, vm: str, get_rank: Callable[[], int]) -> None:
        super().__init__(core.clock, restart_delay_s=RETRY_DELAY_S)
        self.core = core
        self.lease = LeaseState()
        self.claim: LeadershipClaim | None = None
        self._store = store
        self._vm = vm
        self._get_rank = get_rank
        self._last_order = LastOrder()
        self.on_last_order: Callable[[str], None] = lambda _: None
        """Called once after start with the last order recorded by any VM."""
        self.on_quarantines: Callable[[Sequence[Fingerprint]], None] = lambda _: None
        """Called with the requests whose quarantine is stored, each time they are read."""
        self.on_quarantines_restored: Callable[[Sequence[Fingerprint], bool], None] = lambda stored, has_rank_zero: None
        """Called instead of ``on_quarantines`` if the store was restored, also with whether this VM has rank 0."""

    def stop(self) -> None:
        """Stop the election; the lease is left to expire."""
        self.lease.end()
        super().stop()

    async def record_order(self, order: str) -> bool:
        """Record an order in the store if the claim still exists; return whether the order may be sent now."""
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

    async def run(self) -> None:
        """Take part in the election."""
        await sleep(self.core.clock, random.uniform(*FIRST_POLL_DELAY_S))
        if self._get_rank() >= CANDIDATE_COUNT:
            await self._sleep_by_rank()
        last_order_reported = False
        while True:
            state = await self._store.read_leadership()
            if isinstance(state, StoreUnavailable):
                await sleep(self.core.clock, RETRY_DELAY_S * random.uniform(0.7, 1.3))
                continue
            self._last_order.record(state.last_order, self.core.clock.now(), may_be_lost=state.order_may_be_lost)
            if state.restored:
                self.on_quarantines_restored(state.quarantined, self._get_rank() == 0)
            else:
                self.on_quarantines(state.quarantined)
            if not last_order_reported:
                last_order_reported = True
                self.on_last_order(state.order)
            if not state.has_leader and await self._claim_and_renew(state):
                await sleep(self.core.clock, RETRY_DELAY_S * random.uniform(0.7, 1.3))
                continue  # read, not watch: the store may be unavailable, and a watch may block for long
            await self._await_change(state)

    async def _await_change(self, state: LeadershipState) -> None:
        """Wait until the leadership state must be read again."""
        rank = self._get_rank()
        if rank >= CANDIDATE_COUNT:
            await self._sleep_by_rank()
            return
        read_again_at = self.core.clock.now() + MAX_STATE_AGE_S
        answer: bool | StoreUnavailable = False
        while answer is False and self.core.clock.now() < read_again_at:
            answer = await self._store.watch_leadership(state.revision, WATCH_WAIT_S, WATCH_MARGIN_S)
        delay = RETRY_DELAY_S if isinstance(answer, StoreUnavailable) else CANDIDATE_STAGGER_S * rank
        await sleep(self.core.clock, delay * random.uniform(0.7, 1.3))

    async def _sleep_by_rank(self) -> None:
        """Wait for a time proportional to this VM's rank."""
        await sleep(self.core.clock, POLL_INTERVAL_S * self._get_rank() * random.uniform(0.7, 1.3))

    async def _claim_and_renew(self, state: LeadershipState) -> bool:
        """Claim the lease and renew it until it is lost; return whether the claim succeeded."""
        sent_at = self.core.clock.now()
        claim = await self._store.claim_leadership(self._vm, LEASE_TTL_S, state)
        if not isinstance(claim, LeadershipClaim):
            return False
        self.claim = claim
        self.lease.begin(claim.revision, sent_at, self._last_order)
        self.core.journal.write("LEADER", "claimed", token=claim.revision, last_order=state.last_order)
        while self.lease.holds(self.core.clock.now()):
            await sleep(self.core.clock, RENEW_INTERVAL_S)
            sent_at = self.core.clock.now()
            renewed = await self._store.renew_leadership(claim, RENEW_TIMEOUT_S)
            if renewed is True:
                self.lease.renew(sent_at)
            elif not isinstance(renewed, StoreUnavailable):
                break
        self.lease.end()
        self.claim = None
        self.core.journal.write("LEADER", "lost", token=claim.revision)
        return True

    def report_error(self, traceback: str) -> None:
        """Give up the lease, and log an error that ended the election."""
        self.lease.end()
        self.claim = None
        self.core.journal.write("LEADER", "failed", error=traceback)

"""Leadership: at most one VM gives orders, even if the store ends leases early."""

from __future__ import annotations

import itertools
from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from beamhatch.relay.engines.leadership import LEASE_TTL_S, ORDER_MARGIN_S, LastOrder, LeaseState

HANDOVER_TIME_S = 3.0
VMS = 3


@dataclass
class LeaseStore:
    """Store that grants one lease at a time and may end it early without notice."""

    revision: int = 0
    last_order: int = 0
    """Revision at which an order was last recorded."""
    token: int = 0
    """Revision of the current claim."""
    holder: int | None = None
    ends_at: float = 0.0
    renewed_without_claim: int | None = None
    """VM whose renewals succeed although its claim was deleted."""

    def claim(self, vm: int, now: float, last_order: int) -> int | None:
        if (self.holder is not None and now < self.ends_at) or last_order != self.last_order:
            return None
        self.revision += 1
        self.token = self.revision
        self.holder, self.ends_at = vm, now + LEASE_TTL_S
        return self.revision

    def renew(self, vm: int, now: float) -> bool:
        if self.renewed_without_claim == vm:
            return True
        if self.holder != vm or now >= self.ends_at:
            return False
        self.ends_at = now + LEASE_TTL_S
        return True


@dataclass
class PendingAnswer:
    """An answer of the store that has not been received."""

    vm: int
    sent_at: float
    token: int | None
    succeeded: bool


@dataclass
class SentOrder:
    """An order that was sent."""

    at: float
    vm: int
    token: int


class LeadershipMachine(RuleBasedStateMachine):
    """VMs that claim, renew, pause and order, with a store that is slow, loses answers and ends leases early."""

    vms = st.integers(0, VMS - 1)

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = LeaseStore()
        self.leases = [LeaseState(handover_time=HANDOVER_TIME_S) for _ in range(VMS)]
        self.seen = [LastOrder() for _ in range(VMS)]
        self.pending: list[PendingAnswer] = []
        self.orders: list[SentOrder] = []

    @rule(seconds=st.floats(0.01, 5.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(vm=vms, delay=st.floats(0, 1.0))
    def read_last_order(self, vm: int, delay: float) -> None:
        revision = self.store.last_order
        self.now += delay
        self.seen[vm].record(revision, self.now)

    @rule(vm=vms, delay=st.floats(0, 1.0), answered=st.booleans())
    def claim(self, vm: int, delay: float, answered: bool) -> None:
        sent_at = self.now
        self.now += delay
        token = self.store.claim(vm, self.now, self.seen[vm].revision)
        if token is not None and answered:
            self.pending.append(PendingAnswer(vm, sent_at, token, succeeded=True))

    @rule(vm=vms, delay=st.floats(0, 1.0), answered=st.booleans())
    def renew(self, vm: int, delay: float, answered: bool) -> None:
        sent_at = self.now
        self.now += delay
        renewed = self.store.renew(vm, self.now)
        if answered:
            self.pending.append(PendingAnswer(vm, sent_at, None, renewed))

    @precondition(lambda self: self.pending)
    @rule()
    def receive_answer(self) -> None:
        answer = self.pending.pop(0)
        lease = self.leases[answer.vm]
        if answer.token is not None:
            lease.begin(answer.token, answer.sent_at, self.seen[answer.vm])
        elif answer.succeeded:
            lease.renew(answer.sent_at)
        else:
            lease.end()

    @rule(renews=st.booleans())
    def revoke(self, renews: bool) -> None:
        """Delete the current claim; if ``renews``, renewals of its lease still succeed."""
        self.store.renewed_without_claim = self.store.holder if renews else None
        self.store.holder = None

    @rule(vm=vms, delay=st.floats(0, 1.0))
    def order(self, vm: int, delay: float) -> None:
        """Record an order if the claim still exists, and send it if the store answers in time."""
        lease = self.leases[vm]
        if not lease.may_order(self.now):
            return
        sent_at = self.now
        claim_exists = self.store.holder == vm and self.store.token == lease.token
        if claim_exists:
            self.store.revision += 1
            self.store.last_order = self.store.revision
        self.now += delay
        if claim_exists and delay < ORDER_MARGIN_S / 2 and lease.may_order(self.now):
            assert self.now - sent_at < ORDER_MARGIN_S
            self.orders.append(SentOrder(self.now, vm, lease.token))

    @invariant()
    def leaders_do_not_alternate_within_handover_time(self) -> None:
        for before, after in itertools.pairwise(self.orders):
            assert after.token >= before.token, "token decreased between orders"
            assert after.token != before.token or after.vm == before.vm, "two VMs used the same token"
            if after.vm != before.vm:
                assert after.at - before.at >= HANDOVER_TIME_S, "two VMs gave orders within the handover time"


TestLeadership = LeadershipMachine.TestCase


def test_orders_wait_for_handover_and_stop_before_lease_ends() -> None:
    lease = LeaseState(handover_time=HANDOVER_TIME_S)
    last = LastOrder()
    last.record(5, 99.0)
    lease.begin(7, 100.0, last)
    assert not lease.may_order(101.9)
    for second in range(101, 120):
        lease.renew(float(second))
    assert not lease.may_order(105.4)
    assert lease.may_order(105.6)
    assert lease.may_order(120.9)
    assert not lease.may_order(121.1)
    assert lease.holds(121.5)
    assert not lease.holds(122.1)


def test_leader_orders_at_once_if_no_order_was_ever_given() -> None:
    lease = LeaseState(handover_time=HANDOVER_TIME_S)
    last = LastOrder()
    last.record(0, 100.0)
    lease.begin(7, 100.0, last)
    assert lease.may_order(100.1)


def test_age_of_order_counts_from_when_it_was_first_seen() -> None:
    last = LastOrder()
    last.record(5, 100.0)
    last.record(5, 110.0)
    assert last.get_earliest_takeover(HANDOVER_TIME_S) == 100.0 + LEASE_TTL_S + HANDOVER_TIME_S + 0.5
    last.record(8, 120.0)
    assert last.get_earliest_takeover(HANDOVER_TIME_S) == 120.0 + LEASE_TTL_S + HANDOVER_TIME_S + 0.5


def test_order_lost_in_restore_counts_as_given_when_noticed() -> None:
    """A VM that reads before the first order and again after the store lost that order sees no order both times."""
    last = LastOrder()
    last.record(0, 100.0)
    assert last.get_earliest_takeover(HANDOVER_TIME_S) < 100.0
    last.record(0, 200.0, may_be_lost=True)
    assert last.get_earliest_takeover(HANDOVER_TIME_S) >= 200.0 + LEASE_TTL_S + HANDOVER_TIME_S
    last.record(0, 203.0)
    assert last.get_earliest_takeover(HANDOVER_TIME_S) >= 200.0 + LEASE_TTL_S + HANDOVER_TIME_S

"""Tests of which peers are sent which usage, and when."""

from __future__ import annotations

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from twisted.internet import task

from beamhatch.relay.fleet.gossip_message import Usage
from beamhatch.relay.model import CallerLimits, make_routing_table
from beamhatch.relay.workspaces.quota import DemandAllocator, QuotaTerms
from beamhatch.relay.workspaces.usage import HallUsage, Rates, UsageTracker
from beamhatch.relay.workspaces.usage_talk import DIRECT_HALL_TTL_S, UsageGossip
from beamhatch.relay.workspaces.workspace import WorkspaceName
from tests.support.quota_fleet import make_workspace

DESK = WorkspaceName("desk")


@dataclass(eq=False)
class Peer:
    """A connection that records the messages sent on it."""

    vm: str
    hall: str
    is_aggregator: bool = True
    sent: list[Usage] = field(default_factory=list)

    def send(self, message: Usage) -> None:
        self.sent.append(message)

    def pop_halls(self) -> set[str]:
        """Return the halls whose sums were sent since the last call."""
        halls = {usage.hall for message in self.sent for usage in message.halls}
        self.sent.clear()
        return halls


class GossipingVm:
    """A VM of hall "a"."""

    def __init__(self, *peers: Peer, is_aggregator: bool = True) -> None:
        self.clock = task.Clock()
        self.clock.advance(100.0)
        tracker = UsageTracker("me", "a")
        allocator = DemandAllocator(tracker, lambda: 12, QuotaTerms(), 0.0)
        table = make_routing_table(1, [], [], CallerLimits(), (make_workspace(1000, 1000),))
        core: Any = SimpleNamespace(
            clock=SimpleNamespace(now=self.clock.seconds, call_later=self.clock.callLater), table=table
        )
        self.gossip = UsageGossip(core, allocator, lambda: list(peers), lambda: is_aggregator)  # type: ignore[arg-type]
        self.gossip.start()

    def receive(self, peer: Peer, *halls: str, direct: list[str] | None = None) -> None:
        """Receive fresh sums of some halls from a peer."""
        sums = [HallUsage(hall, f"teller-{hall}", 0.0, 3, {DESK: Rates(900, 900)}) for hall in halls]
        self.gossip.handle_usage(peer, Usage(None, sums, direct))  # type: ignore[arg-type]

    def wait(self, seconds: float = 0.31) -> None:
        self.clock.advance(seconds)


def test_sums_are_sent_to_own_hall_and_to_aggregators_elsewhere() -> None:
    near, far, other = Peer("n", "a", is_aggregator=False), Peer("b1", "b"), Peer("b2", "b", is_aggregator=False)
    vm = GossipingVm(near, far, other)
    vm.wait()
    assert near.pop_halls() == {"a"}
    assert far.pop_halls() == {"a"}
    assert not other.sent


def test_all_peers_in_a_hall_without_an_aggregator_receive_sums() -> None:
    far, one, two = Peer("b1", "b"), Peer("c1", "c", is_aggregator=False), Peer("c2", "c", is_aggregator=False)
    vm = GossipingVm(far, one, two)
    vm.wait()
    assert one.pop_halls() == two.pop_halls() == {"a"}


def test_a_vm_that_is_not_an_aggregator_sends_only_to_its_own_hall() -> None:
    near, far = Peer("n", "a"), Peer("b1", "b")
    vm = GossipingVm(near, far, is_aggregator=False)
    vm.receive(far, "b")
    vm.wait()
    assert near.pop_halls() == {"b"}
    assert not far.sent


def test_sums_are_forwarded_to_halls_that_do_not_receive_them_directly() -> None:
    near, one, two = Peer("n", "a"), Peer("b1", "b"), Peer("c1", "c")
    vm = GossipingVm(near, one, two)
    vm.receive(one, "b", "d")
    vm.wait()
    assert two.pop_halls() == {"a", "b", "d"}
    assert near.pop_halls() == {"a", "b", "d"}
    vm.receive(two, "c", direct=["b"])
    vm.receive(one, "b", "d")
    vm.wait()
    assert two.pop_halls() == {"a", "d"}
    assert near.pop_halls() == {"a", "b", "c", "d"}


def test_peers_learn_of_changes_in_the_direct_halls() -> None:
    one, two = Peer("b1", "b"), Peer("c1", "c")
    vm = GossipingVm(one, two)
    vm.receive(one, "b", "d")
    vm.wait()
    assert two.sent[-1].direct == ["b"]
    vm.receive(one, "b")
    vm.wait()
    assert two.sent[-1].direct is None
    vm.wait(DIRECT_HALL_TTL_S)
    vm.wait()
    assert [message.direct for message in two.sent if message.direct is not None][-1] == []


def test_direct_halls_of_another_vm_of_the_hall_count_as_direct() -> None:
    near, far = Peer("n", "a"), Peer("b1", "b")
    vm = GossipingVm(near, far)
    vm.receive(near, "a", direct=["c"])
    vm.wait()
    assert far.sent[-1].direct == ["c"]
    assert near.sent[-1].direct is None


def test_only_one_of_two_connections_to_the_same_vm_is_used() -> None:
    first, second = Peer("b1", "b"), Peer("b1", "b")
    vm = GossipingVm(first, second)
    vm.wait()
    assert len(first.sent) + len(second.sent) == 2  # one at the start and one after the interval


def test_a_reconnected_peer_is_sent_everything_again() -> None:
    far = Peer("b1", "b")
    vm = GossipingVm(far)
    vm.receive(far, "b", direct=["c", "d"])
    vm.wait()
    vm.gossip.forget_peer(far)  # type: ignore[arg-type]
    far.sent.clear()
    vm.receive(Peer("n", "a"), "c")
    vm.wait()
    assert far.pop_halls() == {"a", "c"}


def test_a_surge_is_sent_and_forwarded_at_once() -> None:
    near, far = Peer("n", "a"), Peer("b1", "b")
    vm = GossipingVm(near, far)
    vm.wait()
    near.sent.clear()
    vm.gossip.tracker.local.record_requested(DESK, 900, vm.clock.seconds())
    vm.wait(0.1)
    vm.wait(0.02)
    (message,) = near.sent
    assert message.own is not None
    assert message.own[DESK].requested > 1000
    near.sent.clear()
    vm.receive(far, "b")
    vm.wait(0.02)
    (message,) = near.sent
    assert [usage.hall for usage in message.halls if usage.hall != "a"] == ["b"]


def test_steady_demand_is_sent_at_regular_intervals_only() -> None:
    near = Peer("n", "a")
    vm = GossipingVm(near)
    vm.wait()
    for _ in range(5):
        vm.gossip.tracker.local.record_requested(DESK, 20, vm.clock.seconds())
        vm.wait(0.1)
    assert len(near.sent) <= 3

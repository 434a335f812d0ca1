"""Tests of which peers are sent which usage, and when."""

from __future__ import annotations

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from twisted.internet import task

from beamhatch.relay.fleet.gossip_message import Usage
from beamhatch.relay.model import CallerLimits, make_table
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
    told: list[Usage] = field(default_factory=list)

    def send(self, message: Usage) -> None:
        self.told.append(message)

    def pop_halls(self) -> set[str]:
        """Return the halls whose sums were sent since the last call."""
        halls = {usage.hall for message in self.told for usage in message.halls}
        self.told.clear()
        return halls


class GossipingVm:
    """A VM of hall "a", which is an aggregator unless ``adds_up`` is false."""

    def __init__(self, *peers: Peer, adds_up: bool = True) -> None:
        self.clock = task.Clock()
        self.clock.advance(100.0)
        news = UsageTracker("me", "a")
        share = DemandAllocator(news, lambda: 12, QuotaTerms(), 0.0)
        table = make_table(1, [], [], CallerLimits(), (make_workspace(1000, 1000),))
        core: Any = SimpleNamespace(
            clock=SimpleNamespace(now=self.clock.seconds, call_later=self.clock.callLater), table=table
        )
        self.gossip = UsageGossip(core, share, lambda: list(peers), lambda: adds_up)  # type: ignore[arg-type]
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
    assert not other.told


def test_all_peers_in_a_hall_without_an_aggregator_receive_sums() -> None:
    far, one, two = Peer("b1", "b"), Peer("c1", "c", is_aggregator=False), Peer("c2", "c", is_aggregator=False)
    vm = GossipingVm(far, one, two)
    vm.wait()
    assert one.pop_halls() == two.pop_halls() == {"a"}


def test_a_vm_that_is_no_aggregator_sends_to_its_own_hall_only() -> None:
    near, far = Peer("n", "a"), Peer("b1", "b")
    vm = GossipingVm(near, far, adds_up=False)
    vm.receive(far, "b")
    vm.wait()
    assert near.pop_halls() == {"b"}
    assert not far.told


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
    assert two.told[-1].direct == ["b"]
    vm.receive(one, "b")
    vm.wait()
    assert two.told[-1].direct is None
    vm.wait(DIRECT_HALL_TTL_S)
    vm.wait()
    assert [message.direct for message in two.told if message.direct is not None][-1] == []


def test_direct_halls_of_another_vm_of_the_hall_count_as_direct() -> None:
    beside, far = Peer("n", "a"), Peer("b1", "b")
    vm = GossipingVm(beside, far)
    vm.receive(beside, "a", direct=["c"])
    vm.wait()
    assert far.told[-1].direct == ["c"]
    assert beside.told[-1].direct is None


def test_only_one_of_two_connections_to_a_vm_is_used() -> None:
    first, second = Peer("b1", "b"), Peer("b1", "b")
    vm = GossipingVm(first, second)
    vm.wait()
    assert len(first.told) + len(second.told) == 2  # at the start and once since


def test_a_reconnected_peer_is_sent_everything_again() -> None:
    far = Peer("b1", "b")
    vm = GossipingVm(far)
    vm.receive(far, "b", direct=["c", "d"])
    vm.wait()
    vm.gossip.forget_peer(far)  # type: ignore[arg-type]
    far.told.clear()
    vm.receive(Peer("n", "a"), "c")
    vm.wait()
    assert far.pop_halls() == {"a", "c"}


def test_a_surge_is_sent_and_forwarded_at_once() -> None:
    near, far = Peer("n", "a"), Peer("b1", "b")
    vm = GossipingVm(near, far)
    vm.wait()
    near.told.clear()
    vm.gossip.tracker.local.record_requested(DESK, 900, vm.clock.seconds())
    vm.wait(0.1)
    vm.wait(0.02)
    (message,) = near.told
    assert message.own is not None
    assert message.own[DESK].requested > 1000
    near.told.clear()
    vm.receive(far, "b")
    vm.wait(0.02)
    (message,) = near.told
    assert [usage.hall for usage in message.halls if usage.hall != "a"] == ["b"]


def test_steady_demand_is_sent_at_regular_intervals_only() -> None:
    near = Peer("n", "a")
    vm = GossipingVm(near)
    vm.wait()
    for _ in range(5):
        vm.gossip.tracker.local.record_requested(DESK, 20, vm.clock.seconds())
        vm.wait(0.1)
    assert len(near.told) <= 3

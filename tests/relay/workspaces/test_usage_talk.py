"""Who is told how much of their quotas workspaces use."""

from __future__ import annotations

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from twisted.internet import task

from beamhatch.relay.fleet.gossip_message import Usage
from beamhatch.relay.model import CallerLimits, make_routing_table
from beamhatch.relay.workspaces.quota import FollowingShare, QuotaTerms
from beamhatch.relay.workspaces.usage import HallUsage, Rates, UsageNews
from beamhatch.relay.workspaces.usage_talk import DIRECT_LIFE, UsageTalk
from beamhatch.relay.workspaces.workspace import WorkspaceName
from tests.support.quota_fleet import make_workspace

DESK = WorkspaceName("desk")


@dataclass(eq=False)
class Peer:
    """A connection to a VM, which keeps what it is told."""

    vm: str
    hall: str
    adds_up: bool = True
    told: list[Usage] = field(default_factory=list)

    def tell(self, message: Usage) -> None:
        self.told.append(message)

    def list_halls(self) -> set[str]:
        """Return the halls whose sums it was told, and forget that."""
        halls = {usage.hall for message in self.told for usage in message.halls}
        self.told.clear()
        return halls


class Talker:
    """A VM of hall "a" that adds up, or doesn't."""

    def __init__(self, *peers: Peer, adds_up: bool = True) -> None:
        self.clock = task.Clock()
        self.clock.advance(100.0)
        news = UsageNews("me", "a")
        share = FollowingShare(news, lambda: 12, QuotaTerms(), 0.0)
        table = make_routing_table(1, [], [], CallerLimits(), (make_workspace(1000, 1000),))
        core: Any = SimpleNamespace(
            clock=SimpleNamespace(now=self.clock.seconds, call_later=self.clock.callLater), table=table
        )
        self.talk = UsageTalk(core, share, lambda: list(peers), lambda: adds_up)  # type: ignore[arg-type]
        self.talk.start()

    def hear(self, peer: Peer, *halls: str, direct: list[str] | None = None) -> None:
        """Take in sums of some halls, made just now, from a peer."""
        sums = [HallUsage(hall, f"teller-{hall}", 0.0, 3, {DESK: Rates(900, 900)}) for hall in halls]
        self.talk.take(peer, Usage(None, sums, direct))  # type: ignore[arg-type]

    def wait(self, seconds: float = 0.31) -> None:
        self.clock.advance(seconds)


def test_sums_go_to_those_that_add_up_in_other_halls_and_to_all_of_the_own() -> None:
    near, far, other = Peer("n", "a", adds_up=False), Peer("b1", "b"), Peer("b2", "b", adds_up=False)
    talker = Talker(near, far, other)
    talker.wait()
    assert near.list_halls() == {"a"}
    assert far.list_halls() == {"a"}
    assert not other.told


def test_a_hall_where_nobody_adds_up_is_told_by_all_connections() -> None:
    far, one, two = Peer("b1", "b"), Peer("c1", "c", adds_up=False), Peer("c2", "c", adds_up=False)
    talker = Talker(far, one, two)
    talker.wait()
    assert one.list_halls() == two.list_halls() == {"a"}


def test_a_vm_that_does_not_add_up_tells_its_own_hall_only() -> None:
    near, far = Peer("n", "a"), Peer("b1", "b")
    talker = Talker(near, far, adds_up=False)
    talker.hear(far, "b")
    talker.wait()
    assert near.list_halls() == {"b"}
    assert not far.told


def test_a_sum_is_handed_on_to_halls_that_do_not_hear_it_directly() -> None:
    near, one, two = Peer("n", "a"), Peer("b1", "b"), Peer("c1", "c")
    talker = Talker(near, one, two)
    talker.hear(one, "b", "d")
    talker.wait()
    assert two.list_halls() == {"a", "b", "d"}
    assert near.list_halls() == {"a", "b", "d"}
    talker.hear(two, "c", direct=["b"])
    talker.hear(one, "b", "d")
    talker.wait()
    assert two.list_halls() == {"a", "d"}
    assert near.list_halls() == {"a", "b", "c", "d"}


def test_peers_are_told_which_halls_are_heard_directly_and_when_they_no_longer_are() -> None:
    one, two = Peer("b1", "b"), Peer("c1", "c")
    talker = Talker(one, two)
    talker.hear(one, "b", "d")
    talker.wait()
    assert two.told[-1].direct == ["b"]
    talker.hear(one, "b")
    talker.wait()
    assert two.told[-1].direct is None
    talker.wait(DIRECT_LIFE)
    talker.wait()
    assert [message.direct for message in two.told if message.direct is not None][-1] == []


def test_what_another_vm_of_the_hall_hears_directly_counts_as_heard_beside_it() -> None:
    beside, far = Peer("n", "a"), Peer("b1", "b")
    talker = Talker(beside, far)
    talker.hear(beside, "a", direct=["c"])
    talker.wait()
    assert far.told[-1].direct == ["c"]
    assert beside.told[-1].direct is None


def test_of_two_connections_to_one_vm_one_is_told() -> None:
    first, second = Peer("b1", "b"), Peer("b1", "b")
    talker = Talker(first, second)
    talker.wait()
    assert len(first.told) + len(second.told) == 2  # at the start and once since


def test_a_peer_that_comes_back_is_told_everything_again() -> None:
    far = Peer("b1", "b")
    talker = Talker(far)
    talker.hear(far, "b", direct=["c", "d"])
    talker.wait()
    talker.talk.forget(far)  # type: ignore[arg-type]
    far.told.clear()
    talker.hear(Peer("n", "a"), "c")
    talker.wait()
    assert far.list_halls() == {"a", "c"}


def test_a_surge_is_told_at_once_by_who_sees_it_and_handed_on_at_once() -> None:
    near, far = Peer("n", "a"), Peer("b1", "b")
    talker = Talker(near, far)
    talker.wait()
    near.told.clear()
    talker.talk.news.own.note_asked(DESK, 900, talker.clock.seconds())
    talker.wait(0.1)
    talker.wait(0.02)
    (message,) = near.told
    assert message.own is not None
    assert message.own[DESK].asked > 1000
    near.told.clear()
    talker.hear(far, "b")
    talker.wait(0.02)
    (message,) = near.told
    assert [usage.hall for usage in message.halls if usage.hall != "a"] == ["b"]


def test_what_is_asked_as_before_is_told_at_the_regular_times_alone() -> None:
    near = Peer("n", "a")
    talker = Talker(near)
    talker.wait()
    for _ in range(5):
        talker.talk.news.own.note_asked(DESK, 20, talker.clock.seconds())
        talker.wait(0.1)
    assert len(near.told) <= 3

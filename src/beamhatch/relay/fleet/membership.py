"""Fleet membership: which VMs are alive, which peers this VM connects to, and which VMs watch the store.

Members exchange lists of the members that they know, with the time since each was last seen. All members rank the VMs
of a hall alike; the highest-ranked ones watch the store, and the others connect to them.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.model import hash_to_fraction

if TYPE_CHECKING:
    from collections.abc import Collection

WATCHERS_PER_HALL = 2
"""Number of members of each hall that watch the store."""

STANDBY_WATCHERS_PER_HALL = 2
"""Number of further members of a hall that watch if none of its watchers can reach the store.

The number is bounded to limit the load on a store that is unreachable for all.
"""

EXTRA_PEERS = 2
"""Number of peers that a VM connects to besides its hall's watchers, in other halls if there are any."""

MEMBER_TTL_S = 60.0
"""Seconds after which a VM that was not seen is no longer a member."""

ADDRESS_RETENTION_S = 300.0
"""Seconds for which the address of a VM that was not seen is kept.

It must outlast a network partition, or each part of the fleet would consider itself the whole.
"""

QUICK_RETRY_DELAYS_S = 0.2, 0.4
"""Seconds before the first retries of an address that did not answer.

They are short because VMs that start at the same time refuse each other's first connections.
"""

FIRST_RETRY_DELAY_S = 2.0
"""Seconds before the retry that follows the quick ones; the delay doubles with each failure."""

MAX_RETRY_DELAY_S = 16.0
"""Upper bound of the delay before a retry, without jitter."""


MAX_HALLS = 256
"""Upper bound of the halls that are remembered; peers name them."""

HALL_TIMEOUT_S = 25.0
"""Seconds after which a hall counts as unreachable if none of its VMs was seen.

It exceeds two hello intervals, because a hall may be reported by way of another VM.
"""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A VM, as described in messages between VMs."""

    address: str
    """Where the VM listens for peers, ``HOST:PORT``."""
    hall: str
    link_mbps: float = 0.0
    """Speed of the VM's network link in Mbit/s; faster members rank higher."""
    tunnel_port: int = 0
    """Where it listens for tunnels to upstreams; 0 if it carries none."""
    record_port: int = 0
    """UDP port on which it takes records of streams; 0 if it takes none."""


class Mention(msgspec.Struct, frozen=True, array_like=True):
    """A member that the sender of a message knows."""

    member: Member
    age: float
    """Seconds since any VM last received a message from it."""


@dataclass(frozen=True, slots=True)
class _KnownMember:
    member: Member
    last_seen_at: float
    """When any VM last received a message from it."""


@dataclass(slots=True)
class _UnreachableAddress:
    retry_at: float
    """When the address may be dialled again."""
    delay: float
    failures: int = 1
    """Consecutive failed attempts."""


@dataclass(slots=True)
class Membership:
    """The members of the fleet that one VM knows."""

    own: Member
    seeds: list[str] = field(default_factory=list)
    """Peer addresses from the settings, which may be outdated."""
    _known: dict[str, _KnownMember] = field(default_factory=dict)
    _unreachable: dict[str, _UnreachableAddress] = field(default_factory=dict)
    """Addresses that did not answer when last dialled, or whose connection timed out."""
    _last_seen_at: dict[str, float] = field(default_factory=dict)
    """When any VM last received a message from each address, including those that are no longer members."""
    _without_store: set[str] = field(default_factory=set)
    """Addresses of members that reported the store as unreachable."""
    other_halls: set[str] = field(default_factory=set)
    """All other halls that had a member since this VM started; halls do not come and go as VMs do."""

    @property
    def size(self) -> int:
        """Return the number of members, including this VM."""
        return 1 + len(self._known)

    @property
    def may_have_peers(self) -> bool:
        """Return whether any other member or seed is known."""
        return bool(self._known) or any(seed != self.own.address for seed in self.seeds)

    def record_alive(self, member: Member, age: float, now: float) -> None:
        """Record that a VM was alive ``age`` seconds ago."""
        if member.address == self.own.address or age > MEMBER_TTL_S:
            return
        before = self._known.get(member.address)
        seen_at = now - age if before is None else max(now - age, before.last_seen_at)
        self._known[member.address] = _KnownMember(member, seen_at)
        if member.hall != self.own.hall and len(self.other_halls) < MAX_HALLS:
            self.other_halls.add(member.hall)
        self._last_seen_at[member.address] = max(seen_at, self._last_seen_at.get(member.address, seen_at))

    def get_member(self, address: str) -> Member | None:
        """Return the member that listens for peers at an address, or None."""
        known = self._known.get(address)
        return None if known is None else known.member

    def get_hall(self, address: str) -> str:
        """Return the hall of a member, or an empty string if it is unknown."""
        member = self.get_member(address)
        return "" if member is None else member.hall

    def record_reachable(self, address: str) -> None:
        """Record that the VM at an address sent a message; an accepted connection does not show that it runs."""
        self._unreachable.pop(address, None)

    def record_unreachable(self, address: str, now: float) -> None:
        """Record that an address did not answer; the VM counts as unreachable until it does."""
        previous = self._unreachable.get(address)
        failures = 1 if previous is None else previous.failures + 1
        if previous is None or failures <= len(QUICK_RETRY_DELAYS_S):
            delay = QUICK_RETRY_DELAYS_S[failures - 1]
        else:
            delay = min(MAX_RETRY_DELAY_S, max(FIRST_RETRY_DELAY_S, 2 * previous.delay))
        self._unreachable[address] = _UnreachableAddress(now + delay * random.uniform(0.7, 1.3), delay, failures)

    def record_silent(self, address: str, now: float) -> None:
        """Record that nothing arrived on a connection to an address for too long.

        The VM counts as unreachable until it answers, but may be dialled at once: a new connection may work.
        """
        previous = self._unreachable.get(address)
        self._unreachable[address] = _UnreachableAddress(now, 0.0, 0 if previous is None else previous.failures)

    def record_store_access(self, address: str, *, store_unreachable: bool) -> None:
        """Record whether a member can reach the store."""
        if store_unreachable:
            self._without_store.add(address)
        else:
            self._without_store.discard(address)

    @property
    def is_without_store(self) -> bool:
        """Return whether a member of this VM's hall has reported the store as unreachable."""
        return bool(self._without_store)

    def drop_expired(self, now: float) -> None:
        """Remove members and addresses that were not seen for longer than they are kept."""
        self._known = {address: one for address, one in self._known.items() if now - one.last_seen_at <= MEMBER_TTL_S}
        self._last_seen_at = {name: at for name, at in self._last_seen_at.items() if now - at <= ADDRESS_RETENTION_S}
        named = {*self._known, *self.seeds}
        self._unreachable = {address: one for address, one in self._unreachable.items() if address in named}
        self._without_store &= self._known.keys()

    def list_mentions(self, limit: int, now: float) -> list[Mention]:
        """Return at most ``limit`` members: each hall's watchers first, the others drawn at random."""
        known = list(self._known.values())
        if len(known) > limit:
            watching = {member.address for member in self._list_watchers()}
            others = [one for one in known if one.member.address not in watching]
            known = [one for one in known if one.member.address in watching][:limit]
            known += random.sample(others, min(len(others), limit - len(known)))
        return [_make_mention(one, now) for one in known]

    def select_mentions(self, known_addresses: set[str], limit: int, max_repeated: int, now: float) -> list[Mention]:
        """Return the members that a peer does not know, watchers first, and some known ones drawn at random.

        :param known_addresses: members that the peer knows
        :param limit: maximum number of members
        :param max_repeated: maximum number of those that the peer knows
        """
        watching = {member.address for member in self._list_watchers()}
        new = [one for one in self._known.values() if one.member.address not in known_addresses]
        new.sort(key=lambda one: one.member.address not in watching)
        old = [one for one in self._known.values() if one.member.address in known_addresses]
        max_repeated = min(len(old), max_repeated, max(0, limit - len(new)))
        return [_make_mention(one, now) for one in [*new[:limit], *random.sample(old, max_repeated)]]

    def list_recent_addresses(self, now: float) -> list[str]:
        """Return the addresses of other VMs seen within the retention period, including those now unreachable."""
        return [address for address, seen_at in self._last_seen_at.items() if now - seen_at <= ADDRESS_RETENTION_S]

    def count_recent(self, now: float) -> int:
        """Return the number of VMs seen within the retention period, including this one and those now unreachable."""
        return 1 + len(self.list_recent_addresses(now))

    def compute_reachable_share(self, connected_halls: Collection[str], now: float) -> float:
        """Return the share of the VMs seen within the retention period that this one can reach, counting itself.

        :param connected_halls: halls of the VMs that this one has a connection to
        """
        vms = self.count_recent(now)
        if vms == 1:
            return 1.0
        if not connected_halls:
            return 1 / vms
        unreachable = self._list_unreachable_halls(now)
        if all(hall == self.own.hall for hall in connected_halls):  # no other hall can be reached
            unreachable |= {one.member.hall for one in self._known.values()} - {self.own.hall}
        lost = sum(one.member.hall in unreachable for one in self._known.values())
        forgotten = vms - 1 - len(self._known)
        return (vms - lost - forgotten) / vms

    def _list_unreachable_halls(self, now: float) -> set[str]:
        """Return the other halls none of whose VMs was seen recently."""
        newest: defaultdict[str, float] = defaultdict(lambda: -math.inf)
        for one in self._known.values():
            newest[one.member.hall] = max(newest[one.member.hall], one.last_seen_at)
        return {hall for hall, at in newest.items() if hall != self.own.hall and now - at > HALL_TIMEOUT_S}

    # --- ranks -------------------------------------------------------------------------------------------------------

    def is_watcher(self) -> bool:
        """Return whether this VM watches the store for its hall, as one of its watchers or as a standby."""
        higher = [one for one in self.list_others() if one.hall == self.own.hall and self._ranks_higher(one)]
        if len(higher) < WATCHERS_PER_HALL:
            return True
        first = sorted(higher, key=_rank)[:WATCHERS_PER_HALL]
        return len(higher) < WATCHERS_PER_HALL + STANDBY_WATCHERS_PER_HALL and all(
            one.address in self._without_store for one in first
        )

    def _list_watchers(self) -> list[Member]:
        """Return the watchers of all halls among the other members."""
        by_hall: defaultdict[str, list[Member]] = defaultdict(list)
        for member in self.list_others():
            if member.address not in self._unreachable:
                by_hall[member.hall].append(member)
        return [member for members in by_hall.values() for member in sorted(members, key=_rank)[:WATCHERS_PER_HALL]]

    def count_higher_ranked(self) -> int:
        """Return the number of members of all halls that rank higher than this VM, without unreachable ones."""
        return sum(self._ranks_higher(one) for one in self.list_others())

    def list_others(self) -> list[Member]:
        """Return the other members."""
        return [one.member for one in self._known.values()]

    def _ranks_higher(self, member: Member) -> bool:
        return member.address not in self._unreachable and _rank(member) < _rank(self.own)

    # --- connections -------------------------------------------------------------------------------------------------

    def list_targets(self, now: float) -> list[str]:
        """Return the addresses that this VM should be connected to, in order of priority."""
        here = [one for one in self.list_others() if one.hall == self.own.hall]
        alive = [one for one in here if one.address not in self._unreachable]
        targets = [one.address for one in sorted(alive, key=_rank)[:WATCHERS_PER_HALL]]
        elsewhere = [one for one in self.list_others() if one.hall != self.own.hall]
        others = [one.address for one in elsewhere or here if one.address not in targets]
        free = [address for address in others if self._may_dial(address, now)]
        free.sort(key=lambda address: hash_to_fraction(f"{self.own.address}/{address}"))
        first = self._list_counterparts(now)
        targets += [*first, *(address for address in free if address not in first)][:EXTRA_PEERS]
        return targets + self._list_unknown_seeds(now)

    def _list_counterparts(self, now: float) -> list[str]:
        """Return the members of other halls that a watcher prefers to connect to: the watchers of the same rank there.

        Watchers of different ranks choose different halls. The watchers of a few halls are thus all connected directly,
        and aggregates of one hall reach the aggregators of another without an intermediate VM.
        """
        by_hall: defaultdict[str, list[Member]] = defaultdict(list)
        for member in self.list_others():
            if member.hall == self.own.hall or self._may_dial(member.address, now):
                by_hall[member.hall].append(member)
        rank = sum(self._ranks_higher(member) for member in by_hall.pop(self.own.hall, []))
        if rank >= WATCHERS_PER_HALL or not by_hall:
            return []
        following = sorted(by_hall, key=lambda hall: (hall < self.own.hall, hall))
        halls = [
            following[(rank * EXTRA_PEERS + step) % len(following)] for step in range(min(EXTRA_PEERS, len(following)))
        ]
        ranked = [sorted(by_hall[hall], key=_rank) for hall in halls]
        return [members[min(rank, len(members) - 1)].address for members in ranked]

    def list_retries(self, now: float) -> list[str]:
        """Return the members of this VM's hall that did not answer and may be dialled again."""
        return [
            address
            for address, one in self._unreachable.items()
            if now >= one.retry_at and address in self._known and self._known[address].member.hall == self.own.hall
        ]

    def _list_unknown_seeds(self, now: float) -> list[str]:
        """Return seeds to dial that are not members, in case the fleet has split into separate parts."""
        return [
            seed
            for seed in self.seeds
            if seed != self.own.address and seed not in self._known and self._may_dial(seed, now)
        ]

    def _may_dial(self, address: str, now: float) -> bool:
        failed = self._unreachable.get(address)
        return failed is None or now >= failed.retry_at


def get_host(address: str) -> str:
    """Return the host of an address, which is given as ``HOST:PORT``."""
    return address.rpartition(":")[0]


def _make_mention(known: _KnownMember, now: float) -> Mention:
    return Mention(known.member, round(max(0.0, now - known.last_seen_at), 1))


def _rank(member: Member) -> tuple[float, float, str]:
    """Return the sort key that ranks members, the same on every VM."""
    return -member.link_mbps, hash_to_fraction(member.address), member.address

"""Which VMs there are: who is thought to be alive, whom this VM keeps a connection to, and who reads from the store.

Members tell each other whom they know, and how long ago each was last heard of. A few members of each hall, the same by
every member's reckoning, watch the store; the others keep a connection to them, and learn from them. So what a VM costs
the store and its peers does not grow with the fleet.
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

WATCHERS = 2
"""Members of each hall that watch the store."""

STAND_INS = 2
"""Members of a hall that watch in place of its watchers where the store turns all of these away.

No more than these, so that a store that is down for all is asked by twice as many at the most.
"""

OTHERS = 2
"""Members beside the watchers of its own hall that a VM keeps a connection to, in other halls where there are any."""

FORGET_AFTER = 60.0
"""Seconds without a sign after which a VM is no longer counted."""

REMEMBER_AFTER = 300.0
"""Seconds without a sign for which it is remembered that there was a VM: longer than halls are cut off.

Parts of a fleet that forget each other each take themselves for the whole of it.
"""

QUICK_REDIALS = 0.2, 0.4
"""Seconds before an address that did not answer is dialled again the first two times.

VMs that start together refuse each other for a moment. With 2 s, 195 VMs that lost power together heard of nobody for
0.5 s, and each read everything from the store.
"""

FIRST_REDIAL_PAUSE = 2.0
"""Seconds before it is dialled again from then on; each pause is twice the last."""

LONGEST_REDIAL_PAUSE = 16.0
"""Seconds for which an address that did not answer is not dialled again."""


HALL_SILENCE = 25.0
"""Seconds without a sign of any VM of a hall after which it is taken as out of touch with this one.

VMs are told of each other every 10 s, and from hall to hall by one more VM.
"""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One VM, as the VMs tell each other of it."""

    address: str
    """Where it listens for peers, ``HOST:PORT``."""
    hall: str
    strength: float = 0.0
    """Mbit/s of its link: the stronger members watch for the others."""


class Mention(msgspec.Struct, frozen=True, array_like=True):
    """A VM that another one knows of."""

    member: Member
    age: float
    """Seconds since somebody last heard from it."""


@dataclass(frozen=True, slots=True)
class _Known:
    member: Member
    heard_at: float
    """When anybody last heard from it."""


@dataclass(slots=True)
class _Unreached:
    until: float
    """When it may be dialled again."""
    pause: float
    tries: int = 1
    """How often in a row it did not answer."""


@dataclass(slots=True)
class Membership:
    """The VMs that one VM knows of."""

    own: Member
    seeds: list[str] = field(default_factory=list)
    """Addresses from the settings; they may be out of date."""
    _known: dict[str, _Known] = field(default_factory=dict)
    _unreached: dict[str, _Unreached] = field(default_factory=dict)
    """Addresses that did not answer when they were last dialled."""
    _remembered: dict[str, float] = field(default_factory=dict)
    """When anybody last heard from each address, also of VMs that are no longer counted."""
    _turned_away: set[str] = field(default_factory=set)
    """Addresses of members that say that the store does not answer them."""

    @property
    def size(self) -> int:
        """Return how many VMs there are, this one among them."""
        return 1 + len(self._known)

    @property
    def has_others(self) -> bool:
        """Tell whether there are VMs to learn from, or the settings name some."""
        return bool(self._known) or any(seed != self.own.address for seed in self.seeds)

    def take(self, member: Member, age: float, now: float) -> None:
        """Take in that a VM was alive some seconds ago."""
        if member.address == self.own.address or age > FORGET_AFTER:
            return
        before = self._known.get(member.address)
        heard_at = now - age if before is None else max(now - age, before.heard_at)
        self._known[member.address] = _Known(member, heard_at)
        self._remembered[member.address] = max(heard_at, self._remembered.get(member.address, heard_at))

    def find_hall(self, address: str) -> str:
        """Return the hall of a VM, empty where it is not known."""
        known = self._known.get(address)
        return "" if known is None else known.member.hall

    def note_reached(self, address: str) -> None:
        """Note that an address answered."""
        self._unreached.pop(address, None)

    def note_unreached(self, address: str, now: float) -> None:
        """Note that an address did not answer: it is taken as dead until it does."""
        known = self._unreached.get(address)
        tries = 1 if known is None else known.tries + 1
        if known is None or tries <= len(QUICK_REDIALS):
            pause = QUICK_REDIALS[tries - 1]
        else:
            pause = min(LONGEST_REDIAL_PAUSE, max(FIRST_REDIAL_PAUSE, 2 * known.pause))
        self._unreached[address] = _Unreached(now + pause * random.uniform(0.7, 1.3), pause, tries)

    def note_watch(self, address: str, *, turned_away: bool) -> None:
        """Note whether a member says that the store does not answer it."""
        if turned_away:
            self._turned_away.add(address)
        else:
            self._turned_away.discard(address)

    def forget_old(self, now: float) -> None:
        """Drop VMs that nobody has heard from for long."""
        self._known = {address: one for address, one in self._known.items() if now - one.heard_at <= FORGET_AFTER}
        self._remembered = {name: at for name, at in self._remembered.items() if now - at <= REMEMBER_AFTER}
        named = {*self._known, *self.seeds}
        self._unreached = {address: one for address, one in self._unreached.items() if address in named}
        self._turned_away &= self._known.keys()

    def list_mentions(self, most: int, now: float) -> list[Mention]:
        """Return some of the VMs that this one knows of: those that watch in each hall, and others drawn at random."""
        known = list(self._known.values())
        if len(known) > most:
            watching = {member.address for member in self._list_watching()}
            others = [one for one in known if one.member.address not in watching]
            known = [one for one in known if one.member.address in watching][:most]
            known += random.sample(others, min(len(others), most - len(known)))
        return [_make_mention(one, now) for one in known]

    def list_news(self, told: set[str], most: int, again: int, now: float) -> list[Mention]:
        """Return the VMs that somebody was not told of, those that watch first, and some others drawn at random.

        :param most: of all at the most
        :param again: of the others at the most
        """
        watching = {member.address for member in self._list_watching()}
        new = [one for one in self._known.values() if one.member.address not in told]
        new.sort(key=lambda one: one.member.address not in watching)
        old = [one for one in self._known.values() if one.member.address in told]
        again = min(len(old), again, max(0, most - len(new)))
        return [_make_mention(one, now) for one in [*new[:most], *random.sample(old, again)]]

    def list_remembered(self, now: float) -> list[str]:
        """Return the addresses of all other VMs that were there of late, whether they are in touch or not."""
        return [address for address, heard_at in self._remembered.items() if now - heard_at <= REMEMBER_AFTER]

    def count_lately(self, now: float) -> int:
        """Return how many VMs there were of late, this one among them: those that are out of touch still count."""
        return 1 + len(self.list_remembered(now))

    def find_share(self, halls: Collection[str], now: float) -> float:
        """Return the part of all VMs that hear of each other, this one among them.

        :param halls: those of the VMs that this one has a connection to
        """
        vms = self.count_lately(now)
        if vms == 1:
            return 1.0
        if not halls:
            return 1 / vms
        silent = self._list_silent_halls(now)
        if all(hall == self.own.hall for hall in halls):  # another hall, if there is any, is out of reach
            silent |= {one.member.hall for one in self._known.values()} - {self.own.hall}
        lost = sum(one.member.hall in silent for one in self._known.values())
        forgotten = vms - 1 - len(self._known)
        return (vms - lost - forgotten) / vms

    def _list_silent_halls(self, now: float) -> set[str]:
        """Return the halls of which no VM was heard of lately."""
        newest: defaultdict[str, float] = defaultdict(lambda: -math.inf)
        for one in self._known.values():
            newest[one.member.hall] = max(newest[one.member.hall], one.heard_at)
        return {hall for hall, at in newest.items() if hall != self.own.hall and now - at > HALL_SILENCE}

    # --- duties ------------------------------------------------------------------------------------------------------

    def is_watcher(self) -> bool:
        """Tell whether this VM is one of those that watch the store for its hall, or stands in for them.

        Where the store turned just the watchers away, nobody else asked it, and no VM of 24 learned of anything
        within 5 s (paused clock).
        """
        ahead = [one for one in self._list_members() if one.hall == self.own.hall and self._goes_ahead(one)]
        if len(ahead) < WATCHERS:
            return True
        first = sorted(ahead, key=_rank)[:WATCHERS]
        return len(ahead) < WATCHERS + STAND_INS and all(one.address in self._turned_away for one in first)

    def _list_watching(self) -> list[Member]:
        """Return the members that watch, of all halls: whom a VM that has just started needs to know first."""
        by_hall: defaultdict[str, list[Member]] = defaultdict(list)
        for member in self._list_members():
            if member.address not in self._unreached:
                by_hall[member.hall].append(member)
        return [member for members in by_hall.values() for member in sorted(members, key=_rank)[:WATCHERS]]

    def count_ahead(self) -> int:
        """Return how many VMs go before this one where only some are to do a thing."""
        return sum(self._goes_ahead(one) for one in self._list_members())

    def _list_members(self) -> list[Member]:
        return [one.member for one in self._known.values()]

    def _goes_ahead(self, member: Member) -> bool:
        return member.address not in self._unreached and _rank(member) < _rank(self.own)

    # --- connections -------------------------------------------------------------------------------------------------

    def list_targets(self, now: float) -> list[str]:
        """Return the addresses to which this VM keeps connections, the most important first."""
        here = [one for one in self._list_members() if one.hall == self.own.hall]
        alive = [one for one in here if one.address not in self._unreached]
        targets = [one.address for one in sorted(alive, key=_rank)[:WATCHERS]]
        elsewhere = [one for one in self._list_members() if one.hall != self.own.hall]
        others = [one.address for one in elsewhere or here if one.address not in targets]
        free = [address for address in others if self._may_dial(address, now)]
        free.sort(key=lambda address: hash_to_fraction(f"{self.own.address}/{address}"))
        first = self._list_counterparts(now)
        targets += [*first, *(address for address in free if address not in first)][:OTHERS]
        return targets + self._list_strange_seeds(now)

    def _list_counterparts(self, now: float) -> list[str]:
        """Return whom this VM, where it watches, prefers in other halls: those that watch there, of its own rank.

        Each rank takes the halls that follow its own in another order, so that halls are joined directly, up to five
        of them: what is added up in one hall reaches those that add up in another one without a VM between them.
        """
        by_hall: defaultdict[str, list[Member]] = defaultdict(list)
        for member in self._list_members():
            if member.hall == self.own.hall or self._may_dial(member.address, now):
                by_hall[member.hall].append(member)
        place = sum(self._goes_ahead(member) for member in by_hall.pop(self.own.hall, []))
        if place >= WATCHERS or not by_hall:
            return []
        following = sorted(by_hall, key=lambda hall: (hall < self.own.hall, hall))
        halls = [following[(place * OTHERS + step) % len(following)] for step in range(min(OTHERS, len(following)))]
        ranked = [sorted(by_hall[hall], key=_rank) for hall in halls]
        return [members[min(place, len(members) - 1)].address for members in ranked]

    def list_retries(self, now: float) -> list[str]:
        """Return members of the own hall that did not answer, and may be dialled again."""
        return [
            address
            for address, one in self._unreached.items()
            if now >= one.until and address in self._known and self._known[address].member.hall == self.own.hall
        ]

    def _list_strange_seeds(self, now: float) -> list[str]:
        """Return addresses of the settings that are no known member's: this VM may be one of several islands."""
        return [
            seed
            for seed in self.seeds
            if seed != self.own.address and seed not in self._known and self._may_dial(seed, now)
        ]

    def _may_dial(self, address: str, now: float) -> bool:
        unreached = self._unreached.get(address)
        return unreached is None or now >= unreached.until


def _make_mention(known: _Known, now: float) -> Mention:
    return Mention(known.member, round(max(0.0, now - known.heard_at), 1))


def _rank(member: Member) -> tuple[float, float, str]:
    """Return what members are ordered by, the same on every VM."""
    return -member.strength, hash_to_fraction(member.address), member.address

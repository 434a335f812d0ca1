"""Membership of the entry VMs of a hall, in the manner of SWIM.

Each VM probes one other a period, asks two more to probe it when no answer comes, suspects it, and takes it as dead
when nobody contradicts in time. News travel on the probes. A suspected VM that is alive refutes with a higher
incarnation; a process that was started anew has a higher boot and replaces what was known of the old one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from beamhatch.ids import Boot, VmName

INDIRECT_PROBES = 2
NOTES_PER_MESSAGE = 6
TELLS_FACTOR = 3
"""Each piece of news is sent this many times the logarithm of the number of members."""


class Health(IntEnum):
    """What is known of a member; of the same incarnation, the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Note:
    """A piece of news of one member."""

    vm: VmName
    boot: Boot
    incarnation: int
    health: Health
    address: str

    @property
    def order(self) -> tuple[int, int, int]:
        """Return what decides between two notes of the same VM."""
        return (self.boot, self.incarnation, int(self.health))


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a member whether it is alive."""

    number: int
    vm: VmName


@dataclass(frozen=True, slots=True)
class ProbeThrough:
    """Ask one member to ask another."""

    number: int
    through: VmName
    vm: VmName


@dataclass(frozen=True, slots=True)
class Changed:
    """The health of a member changed, or it was started anew."""

    note: Note
    before: Note | None


Effect = Probe | ProbeThrough | Changed


@dataclass(slots=True)
class _Member:
    note: Note
    suspected: float = 0.0
    tells: int = 0


@dataclass(slots=True)
class _Pending:
    vm: VmName
    sent: float
    through_others: bool = False


@dataclass(slots=True)
class Members:
    """What one VM knows of the entry VMs of its hall."""

    me: Note
    probe_period: float
    probe_timeout: float
    suspicion: float
    random: random.Random
    members: dict[VmName, _Member] = field(default_factory=dict)
    """All but this VM itself."""
    _pending: dict[int, _Pending] = field(default_factory=dict)
    _numbers: int = 0
    _round: list[VmName] = field(default_factory=list)
    _next_probe: float = 0.0
    _my_tells: int = 0

    # --- looking ---------------------------------------------------------------------------------------------------

    def list_registered(self) -> list[VmName]:
        """Return all members that have not left, dead ones too, with this VM."""
        others = [vm for vm, member in self.members.items() if member.note.health is not Health.LEFT]
        return sorted([self.me.vm, *others])

    def list_alive(self) -> list[VmName]:
        """Return the members that are not known to be dead, with this VM."""
        others = [vm for vm, member in self.members.items() if member.note.health <= Health.SUSPECT]
        return sorted([self.me.vm, *others])

    def is_majority(self) -> bool:
        """Tell whether more than half of the registered members are alive, as seen from here."""
        return 2 * len(self.list_alive()) > len(self.list_registered())

    def find(self, vm: VmName) -> Note | None:
        """Return what is known of a member."""
        if vm == self.me.vm:
            return self.me
        member = self.members.get(vm)
        return member.note if member else None

    # --- probing ---------------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Effect]:
        """Do what is due; called several times a period."""
        effects: list[Effect] = []
        effects += self._follow_pending(now)
        effects += self._end_suspicions(now)
        if now >= self._next_probe:
            self._next_probe = now + self.probe_period
            target = self._pick_target()
            if target is not None:
                effects.append(self._probe(target, now))
        return effects

    def hint_lost(self, vm: VmName, now: float) -> list[Effect]:
        """Probe a member at once because its connection broke."""
        member = self.members.get(vm)
        if member is None or member.note.health is not Health.ALIVE:
            return []
        if any(pending.vm == vm for pending in self._pending.values()):
            return []
        return [self._probe(vm, now)]

    def take_ack(self, number: int) -> None:
        """Note that a probe was answered, by the member or through another."""
        self._pending.pop(number, None)

    def _probe(self, vm: VmName, now: float) -> Probe:
        self._numbers += 1
        self._pending[self._numbers] = _Pending(vm, now)
        return Probe(self._numbers, vm)

    def _pick_target(self) -> VmName | None:
        while True:
            if not self._round:
                self._round = [vm for vm in self.list_alive() if vm != self.me.vm]
                self.random.shuffle(self._round)
            if not self._round:
                return None
            target = self._round.pop()
            if self.members[target].note.health <= Health.SUSPECT:
                return target

    def _follow_pending(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for number, pending in list(self._pending.items()):
            waited = now - pending.sent
            if waited >= 2 * self.probe_timeout:
                del self._pending[number]
                effects += self._suspect(pending.vm, now)
            elif waited >= self.probe_timeout and not pending.through_others:
                pending.through_others = True
                effects += [ProbeThrough(number, through, pending.vm) for through in self._pick_helpers(pending.vm)]
        return effects

    def _pick_helpers(self, vm: VmName) -> list[VmName]:
        others = [name for name, member in self.members.items() if name != vm and member.note.health is Health.ALIVE]
        return self.random.sample(others, min(INDIRECT_PROBES, len(others)))

    def _suspect(self, vm: VmName, now: float) -> list[Effect]:
        member = self.members.get(vm)
        if member is None or member.note.health is not Health.ALIVE:
            return []
        return self._set(replace(member.note, health=Health.SUSPECT), now)

    def _end_suspicions(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        limit = self.suspicion * max(1.0, math.log10(max(1, len(self.members))))
        for member in list(self.members.values()):
            if member.note.health is Health.SUSPECT and now - member.suspected >= limit:
                effects += self._set(replace(member.note, health=Health.DEAD), now)
        return effects

    # --- news ------------------------------------------------------------------------------------------------------

    def take_notes(self, notes: Iterable[Note], now: float) -> list[Effect]:
        """Take in news; what is older than what is known changes nothing."""
        effects: list[Effect] = []
        for note in notes:
            if note.vm == self.me.vm:
                self._refute(note)
                continue
            known = self.members.get(note.vm)
            if known is None or note.order > known.note.order:
                effects += self._set(note, now)
        return effects

    def forget(self, vm: VmName) -> None:
        """Drop a member that the platform no longer lists; only a dead one."""
        member = self.members.get(vm)
        if member is not None and member.note.health is Health.DEAD:
            del self.members[vm]

    def leave(self) -> Note:
        """Note that this VM leaves as planned."""
        self.me = replace(self.me, health=Health.LEFT)
        self._my_tells = 0
        return self.me

    def pick_notes(self) -> list[Note]:
        """Return the news that the next message is to carry, least told first."""
        most = TELLS_FACTOR * math.ceil(math.log2(len(self.members) + 2))
        fresh = sorted((member for member in self.members.values() if member.tells < most), key=lambda one: one.tells)
        picked = fresh[:NOTES_PER_MESSAGE]
        for member in picked:
            member.tells += 1
        notes = [member.note for member in picked]
        if self._my_tells < most:
            self._my_tells += 1
            notes.append(self.me)
        return notes

    def list_notes(self) -> list[Note]:
        """Return all that is known, for a member that has just come."""
        return [self.me, *(member.note for member in self.members.values())]

    def _set(self, note: Note, now: float) -> list[Effect]:
        known = self.members.get(note.vm)
        suspected = now if note.health is Health.SUSPECT else 0.0
        self.members[note.vm] = _Member(note, suspected)
        return [Changed(note, known.note if known else None)]

    def _refute(self, note: Note) -> None:
        """Contradict what others believe of this VM."""
        if self.me.health is Health.LEFT or note.boot != self.me.boot or note.health is Health.ALIVE:
            return
        if note.incarnation >= self.me.incarnation:
            self.me = replace(self.me, incarnation=note.incarnation + 1)
            self._my_tells = 0

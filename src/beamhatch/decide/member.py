"""Membership of the entry VMs of a hall, after the SWIM protocol.

Each VM probes one other member per period. A member that does not answer is probed indirectly through two others, then
suspected, and declared dead unless the suspicion is refuted in time. Updates are piggybacked on probes. A suspected VM
that is alive refutes with a higher incarnation; a restarted process has a higher boot number, which supersedes all
updates of earlier boots.
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
MAX_UPDATES_PER_MESSAGE = 6
RETRANSMIT_FACTOR = 3
"""Each update is sent this many times the logarithm of the number of members."""


class Health(IntEnum):
    """The health of a member; within one incarnation, the higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """The state of one member, as exchanged between VMs."""

    vm: VmName
    boot: Boot
    incarnation: int
    health: Health
    address: str

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the precedence of this update among updates of the same VM."""
        return (self.boot, self.incarnation, int(self.health))


@dataclass(frozen=True, slots=True)
class Probe:
    """An effect: probe a member."""

    number: int
    vm: VmName


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """An effect: ask one member to probe another."""

    number: int
    through: VmName
    vm: VmName


@dataclass(frozen=True, slots=True)
class HealthChange:
    """An effect: the state of a member changed."""

    update: MemberUpdate
    previous: MemberUpdate | None


MembershipEffect = Probe | IndirectProbe | HealthChange


@dataclass(slots=True)
class _Member:
    update: MemberUpdate
    suspected_at: float = 0.0
    transmissions: int = 0


@dataclass(slots=True)
class _PendingProbe:
    vm: VmName
    sent_at: float
    indirect: bool = False


@dataclass(slots=True)
class Membership:
    """One VM's view of the entry VMs of its hall."""

    own_update: MemberUpdate
    probe_period: float
    probe_timeout: float
    suspicion_timeout: float
    random: random.Random
    members: dict[VmName, _Member] = field(default_factory=dict)
    """All members except this VM."""
    _pending: dict[int, _PendingProbe] = field(default_factory=dict)
    _last_probe_number: int = 0
    _round: list[VmName] = field(default_factory=list)
    _next_probe: float = 0.0
    _own_transmissions: int = 0

    # --- queries ---------------------------------------------------------------------------------------------------

    def list_registered(self) -> list[VmName]:
        """Return this VM and all members that have not left, including dead ones."""
        others = [vm for vm, member in self.members.items() if member.update.health is not Health.LEFT]
        return sorted([self.own_update.vm, *others])

    def list_alive(self) -> list[VmName]:
        """Return this VM and all members that are alive or suspected."""
        others = [vm for vm, member in self.members.items() if member.update.health <= Health.SUSPECT]
        return sorted([self.own_update.vm, *others])

    def is_majority(self) -> bool:
        """Return whether this VM considers more than half of the registered members alive."""
        return 2 * len(self.list_alive()) > len(self.list_registered())

    def get(self, vm: VmName) -> MemberUpdate | None:
        """Return the latest update of a member, or None if it is unknown."""
        if vm == self.own_update.vm:
            return self.own_update
        member = self.members.get(vm)
        return member.update if member else None

    # --- probing ---------------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[MembershipEffect]:
        """Return the probes and health changes that are due; call this several times per probe period."""
        effects: list[MembershipEffect] = []
        effects += self._check_pending(now)
        effects += self._expire_suspicions(now)
        if now >= self._next_probe:
            self._next_probe = now + self.probe_period
            target = self._pick_probe_target()
            if target is not None:
                effects.append(self._probe(target, now))
        return effects

    def probe_now(self, vm: VmName, now: float) -> list[MembershipEffect]:
        """Probe a member immediately, as after a broken connection; only if it is alive and has no pending probe."""
        member = self.members.get(vm)
        if member is None or member.update.health is not Health.ALIVE:
            return []
        if any(pending.vm == vm for pending in self._pending.values()):
            return []
        return [self._probe(vm, now)]

    def record_ack(self, number: int) -> None:
        """Record the acknowledgement of a direct or indirect probe."""
        self._pending.pop(number, None)

    def _probe(self, vm: VmName, now: float) -> Probe:
        self._last_probe_number += 1
        self._pending[self._last_probe_number] = _PendingProbe(vm, now)
        return Probe(self._last_probe_number, vm)

    def _pick_probe_target(self) -> VmName | None:
        while True:
            if not self._round:
                self._round = [vm for vm in self.list_alive() if vm != self.own_update.vm]
                self.random.shuffle(self._round)
            if not self._round:
                return None
            target = self._round.pop()
            if self.members[target].update.health <= Health.SUSPECT:
                return target

    def _check_pending(self, now: float) -> list[MembershipEffect]:
        effects: list[MembershipEffect] = []
        for number, pending in list(self._pending.items()):
            waited = now - pending.sent_at
            if waited >= 2 * self.probe_timeout:
                del self._pending[number]
                effects += self._suspect(pending.vm, now)
            elif waited >= self.probe_timeout and not pending.indirect:
                pending.indirect = True
                effects += [IndirectProbe(number, through, pending.vm) for through in self._pick_helpers(pending.vm)]
        return effects

    def _pick_helpers(self, vm: VmName) -> list[VmName]:
        others = [name for name, member in self.members.items() if name != vm and member.update.health is Health.ALIVE]
        return self.random.sample(others, min(INDIRECT_PROBES, len(others)))

    def _suspect(self, vm: VmName, now: float) -> list[MembershipEffect]:
        member = self.members.get(vm)
        if member is None or member.update.health is not Health.ALIVE:
            return []
        return self._set(replace(member.update, health=Health.SUSPECT), now)

    def _expire_suspicions(self, now: float) -> list[MembershipEffect]:
        effects: list[MembershipEffect] = []
        limit = self.suspicion_timeout * max(1.0, math.log10(max(1, len(self.members))))
        for member in list(self.members.values()):
            if member.update.health is Health.SUSPECT and now - member.suspected_at >= limit:
                effects += self._set(replace(member.update, health=Health.DEAD), now)
        return effects

    # --- updates ---------------------------------------------------------------------------------------------------

    def apply_updates(self, updates: Iterable[MemberUpdate], now: float) -> list[MembershipEffect]:
        """Apply updates from another VM; outdated ones are ignored."""
        effects: list[MembershipEffect] = []
        for update in updates:
            if update.vm == self.own_update.vm:
                self._refute(update)
                continue
            known = self.members.get(update.vm)
            if known is None or update.order > known.update.order:
                effects += self._set(update, now)
        return effects

    def drop_dead(self, vm: VmName) -> None:
        """Remove a member if it is dead."""
        member = self.members.get(vm)
        if member is not None and member.update.health is Health.DEAD:
            del self.members[vm]

    def leave(self) -> MemberUpdate:
        """Mark this VM as left and return its update."""
        self.own_update = replace(self.own_update, health=Health.LEFT)
        self._own_transmissions = 0
        return self.own_update

    def pick_updates(self) -> list[MemberUpdate]:
        """Return the updates for the next message, least often sent first, and count them as sent."""
        max_transmissions = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.members) + 2))
        pending = sorted(
            (member for member in self.members.values() if member.transmissions < max_transmissions),
            key=lambda one: one.transmissions,
        )
        picked = pending[:MAX_UPDATES_PER_MESSAGE]
        for member in picked:
            member.transmissions += 1
        updates = [member.update for member in picked]
        if self._own_transmissions < max_transmissions:
            self._own_transmissions += 1
            updates.append(self.own_update)
        return updates

    def list_updates(self) -> list[MemberUpdate]:
        """Return the updates of all members, for a member that has just joined."""
        return [self.own_update, *(member.update for member in self.members.values())]

    def _set(self, update: MemberUpdate, now: float) -> list[MembershipEffect]:
        known = self.members.get(update.vm)
        suspected = now if update.health is Health.SUSPECT else 0.0
        self.members[update.vm] = _Member(update, suspected)
        return [HealthChange(update, known.update if known else None)]

    def _refute(self, update: MemberUpdate) -> None:
        """Raise this VM's incarnation if another VM reports it as suspected, dead or left."""
        if (
            self.own_update.health is Health.LEFT
            or update.boot != self.own_update.boot
            or update.health is Health.ALIVE
        ):
            return
        if update.incarnation >= self.own_update.incarnation:
            self.own_update = replace(self.own_update, incarnation=update.incarnation + 1)
            self._own_transmissions = 0

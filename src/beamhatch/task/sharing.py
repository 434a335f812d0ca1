"""Tell the other entry VMs what this one holds and counts on at each upstream, and take in what they tell.

The load reports of the engines lag; without this, all VMs would take the same free place. A few changes are told in
one message. What a VM told is dropped when it is dead, has left, or was started anew.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.decide.ledger import VmLoad
from beamhatch.decide.member import Health, MemberUpdate
from beamhatch.edge.peer.message import Hello, Shares, shorten_name
from beamhatch.ids import UpstreamName, VmName

if TYPE_CHECKING:
    from beamhatch.clock import Clock
    from beamhatch.task.mesh import Mesh
    from beamhatch.task.pools import Pools

SHARE_PERIOD = 0.03
WHOLE_PERIOD = 5.0
"""Seconds after which everything is told again, so that a lost message does not matter for long."""
SILENCE = 12.0
"""Seconds without any message after which what a VM of another hall told is dropped."""


class Sharing:
    """Owns what is told to and by the other VMs."""

    def __init__(self, clock: Clock, mesh: Mesh, pools: Pools) -> None:
        self._clock = clock
        self._mesh = mesh
        self._pools = pools
        self._told: dict[VmName, set[UpstreamName]] = {}
        self._heard: dict[VmName, float] = {}
        self._known: set[VmName] = set()
        self._whole_at = 0.0
        mesh.handle(Shares, self._take)
        mesh.call_on_change(self._take_change)

    def start(self) -> None:
        """Begin to tell changes."""
        changed = self._pools.take_changed_shares()
        reachable = set(self._mesh.list_reachable())
        now = self._clock.now()
        if now >= self._whole_at:
            self._whole_at = now + WHOLE_PERIOD
            self._known = set()
            self._drop_silent(now)
        new = reachable - self._known
        if new:
            whole = Shares(True, _to_wire(self._pools.list_shares()))
            for vm in new:
                self._mesh.cast(vm, whole)
        if changed:
            news = Shares(False, _to_wire(changed))
            for vm in reachable - new:
                self._mesh.cast(vm, news)
        self._known = reachable
        self._clock.call_later(SHARE_PERIOD, self.start)

    def _take(self, hello: Hello, message: Shares) -> None:
        vm = VmName(hello.vm)
        self._heard[vm] = self._clock.now()
        if message.whole:
            self._forget(vm)
        told = self._told.setdefault(vm, set())
        names = {shorten_name(name): name for name in self._pools.list_names()}
        for short, held, promised, jobs in message.shares:
            if short in names:
                told.add(names[short])
                self._pools.take_share(names[short], vm, VmLoad(held, promised, jobs))
        self._pools.serve_all()

    def _take_change(self, note: MemberUpdate, before: MemberUpdate | None) -> None:
        if note.health >= Health.DEAD or (before is not None and before.boot != note.boot):
            self._forget(note.vm)

    def _drop_silent(self, now: float) -> None:
        for vm in [vm for vm, heard in self._heard.items() if now - heard > SILENCE]:
            del self._heard[vm]
            self._forget(vm)

    def _forget(self, vm: VmName) -> None:
        for name in self._told.pop(vm, set()):
            self._pools.take_share(name, vm, None)


def _to_wire(shares: dict[UpstreamName, VmLoad]) -> list[tuple[int, int, int, int]]:
    return [
        (shorten_name(name), share.held_tokens, share.reserved_tokens, share.jobs) for name, share in shares.items()
    ]

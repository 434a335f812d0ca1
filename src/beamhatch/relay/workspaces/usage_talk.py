"""Tell other VMs how fast workspaces use their quotas, and take in what they tell."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from beamhatch.relay.fleet.gossip_message import Usage
from beamhatch.relay.workspaces.usage import NO_RATES

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from beamhatch.relay.core import Core
    from beamhatch.relay.fleet.peer_connection import PeerConnection
    from beamhatch.relay.workspaces.quota import QuotaShare
    from beamhatch.relay.workspaces.usage import KnownUsage, RatesByWorkspace

BUSY_INTERVAL = 0.2
"""Seconds between two words on usage while a workspace comes near its quota: news cross four VMs at the most, from a VM
to one that adds up its hall, to one of another hall, to one that adds up there, to its members.
"""

CALM_INTERVAL = 0.3
"""Seconds between two words while none does: 25 messages a VM and second in a fleet of 78, which are counted by a test.
"""

LOOK_INTERVAL = 0.1
"""Seconds between two checks for a surge."""

SURGE = 1.5
"""Growth of a workspace's demand, as a factor since it was told last, from which on peers are told at once.

Until they know, they take all of a surge; only demand above these VMs' part of the quota counts.
"""

SURGE_DELAY = 0.01
"""Seconds from a surge until peers are told, so that reports of several VMs go out in one message."""

NEAR_SHARE = 0.6
"""Share of a hall's part of a quota from which on its use is told: as long as all halls are below, none is at its
quota. On the measured deployment, usual work is at 0.55 of the quotas and would cost a watcher 40 KB/s to tell.
"""


DIRECT_LIFE = 0.7
"""Seconds behind which a hall no longer counts as heard directly: two calm intervals and a way between regions."""


@dataclass(slots=True)
class _Peer:
    """What a VM knows that this one has a connection to."""

    known: dict[str, KnownUsage] = field(default_factory=dict)
    """The sums that the peer was told, or told itself, by hall."""
    direct: frozenset[str] = frozenset()
    """The halls that the peer hears directly, and so is not told of from another hall."""
    told_direct: frozenset[str] = frozenset()
    """Those of which it was told that this VM hears them directly."""
    heard_at: float = float("-inf")
    """When it told the sum of its own hall last, in monotonic seconds."""
    hall: str = ""


class UsageTalk:
    """What this VM says and hears of the use of quotas."""

    def __init__(
        self,
        core: Core,
        share: QuotaShare,
        list_connections: Callable[[], Iterable[PeerConnection]],
        adds_up: Callable[[], bool],
    ) -> None:
        """Make one.

        :param list_connections: returns the connections to peers that are up
        :param adds_up: tells whether this VM adds up what the VMs of its hall tell
        """
        self.core = core
        self.news = share.usage
        self._share = share
        self._list_connections = list_connections
        self._adds_up = adds_up
        self._peers: dict[str, _Peer] = {}
        self._told_own = False
        """Whether the last word had rates of this VM's callers."""
        self._told_rates: RatesByWorkspace = {}
        """The rates that peers were told last: of the hall where this VM adds up, else of its own callers."""
        self._covered_vms = 1
        """The VMs that these are of."""
        self._stopped = False
        self._timer: Any = None
        """The next time that peers are told."""
        self._soon = False
        """Whether that is at once."""

    def start(self) -> None:
        """Begin."""
        self._tick()
        self._look()

    def stop(self) -> None:
        """End."""
        self._stopped = True

    def forget(self, connection: PeerConnection) -> None:
        """Drop what a peer knew whose connection ended."""
        self._peers.pop(connection.vm, None)

    def take(self, connection: PeerConnection, message: Usage) -> None:
        """Take in what a peer told."""
        if not connection.vm:
            return
        now = self.core.clock.now()
        if message.own is not None and connection.hall == self.news.hall:
            self.news.members.record(connection.vm, message.own, now)
        peer = self._find_peer(connection)
        has_surged = False
        if message.direct is not None:
            peer.direct = frozenset(message.direct)
        for told in message.halls:
            known = self.news.find_hall(told.hall, now)
            usage = self.news.take_hall(told, now)
            if usage.is_newer(peer.known.get(usage.hall)):
                peer.known[usage.hall] = usage
            has_surged |= self._has_surged(usage.rates, known, usage.vms)
            if usage.hall == connection.hall:
                peer.heard_at = now
        if has_surged:
            self._tell_soon()

    def _find_peer(self, connection: PeerConnection) -> _Peer:
        peer = self._peers.setdefault(connection.vm, _Peer())
        peer.hall = connection.hall
        return peer

    def _tell_soon(self) -> None:
        """Bring the next message to peers forward to now."""
        if self._timer is None or self._soon:
            return
        self._soon = True
        self._timer.cancel()
        self._timer = self.core.clock.call_later(SURGE_DELAY, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._soon = False
        if self._stopped:
            return
        busy = False
        table = self.core.table
        if table is not None and table.has_quotas:
            busy = self._tell(self.core.clock.now())
        self._timer = self.core.clock.call_later(BUSY_INTERVAL if busy else CALM_INTERVAL, self._tick)

    def _look(self) -> None:
        """Check for a surge."""
        if self._stopped:
            return
        table = self.core.table
        if table is not None and table.has_quotas:
            rates = self._find_rates(self.core.clock.now())
            if self._has_surged(rates, self._told_rates, self._covered_vms):
                self._tell_soon()
        self.core.clock.call_later(LOOK_INTERVAL, self._look)

    def _find_rates(self, now: float) -> RatesByWorkspace:
        """Return the rates that this VM is to tell of: those of its hall where it adds them up, else its own."""
        return self.news.add_up_members(now) if self._covered_vms > 1 else self.news.own.list_rates(now)

    def _has_surged(self, rates: RatesByWorkspace, before: RatesByWorkspace, vms: int) -> bool:
        """Tell whether any workspace asks much more of some VMs than before, and more than their part of its quota."""
        table = self.core.table
        if table is None or not rates:  # most messages on a calm day bear none
            return False
        part = vms / max(1, self._share.count_vms())
        quotas = {workspace.name: workspace.quota for workspace in table.workspaces}
        for name, now in rates.items():
            quota = quotas.get(name)
            asked = before.get(name, NO_RATES).asked
            if quota is not None and now.asked > max(SURGE * asked, part * quota.rate):
                return True
        return False

    def _tell(self, now: float) -> bool:
        """Tell peers what they don't know; return whether any workspace comes near its quota."""
        table = self.core.table
        assert table is not None
        self.news.forget_old(now)
        adds_up = self._adds_up()
        vms = 1
        if adds_up:
            members = {connection.vm for connection in self._list_connections() if connection.hall == self.news.hall}
            vms = 1 + len(members)
            self.news.note_hall(self._list_near(self.news.add_up_members(now), vms, now), vms, now)
        self._covered_vms = vms if adds_up else 1
        self._told_rates = self._find_rates(now)
        self._share.update(table.workspaces, now)
        own = self.news.own.list_rates(now)
        halls = self.news.list_halls(now)
        direct = self._list_direct(now)
        covered = self._list_covered(direct, now)
        for connection in self._list_told(adds_up=adds_up):
            is_near = connection.hall == self.news.hall
            self._tell_one(connection, own, halls, direct if is_near else covered, now)
        self._told_own = bool(own)
        return any(usage.rates for usage in halls)

    def _list_told(self, *, adds_up: bool) -> list[PeerConnection]:
        """Return the peers that are told: all of the hall; of other halls, those that add up, by those that add up.

        A VM that adds up tells all its peers of a hall where it has no connection to one that does. Of two connections
        to one VM, as both dialled, one is enough.
        """
        connections = {connection.vm: connection for connection in self._list_connections()}.values()
        if not adds_up:
            return [connection for connection in connections if connection.hall == self.news.hall]
        joined = {connection.hall for connection in connections if connection.is_aggregator} - {self.news.hall}
        return [connection for connection in connections if connection.is_aggregator or connection.hall not in joined]

    def _list_direct(self, now: float) -> frozenset[str]:
        """Return the other halls whose sums this VM has from VMs there: peers in third halls need not tell it.

        Without it, each of six halls is told each sum by all others: five times the bytes.
        """
        return frozenset(
            peer.hall
            for peer in self._peers.values()
            if peer.hall != self.news.hall and now - peer.heard_at < DIRECT_LIFE
        )

    def _list_covered(self, direct: frozenset[str], now: float) -> frozenset[str]:
        """Return these and the halls that others of the own hall hear directly, who tell this VM and the hall."""
        others = [
            peer.direct
            for peer in self._peers.values()
            if peer.hall == self.news.hall and now - peer.heard_at < DIRECT_LIFE
        ]
        return direct.union(*others)

    def _tell_one(
        self,
        connection: PeerConnection,
        own: RatesByWorkspace,
        halls: list[KnownUsage],
        direct: frozenset[str],
        now: float,
    ) -> None:
        peer = self._find_peer(connection)
        is_near = connection.hall == self.news.hall
        news = [usage for usage in halls if usage.is_newer(peer.known.get(usage.hall))]
        if not is_near:
            known = (peer.direct | {connection.hall}) - {self.news.hall}
            news = [usage for usage in news if usage.hall not in known]
        of_hall = is_near and (own or self._told_own)
        tells_direct = connection.is_aggregator and direct != peer.told_direct
        if not news and not of_hall and not tells_direct:
            return
        peer.known.update({usage.hall: usage for usage in news})
        if tells_direct:
            peer.told_direct = direct
        sums = [usage.make_message(now) for usage in news]
        connection.send(Usage(own if of_hall else None, sums, sorted(direct) if tells_direct else None))

    def _list_near(self, sums: RatesByWorkspace, vms: int, now: float) -> RatesByWorkspace:
        """Return the sums that are worth telling: of quotas that are near, partly spent, or told of by another hall."""
        table = self.core.table
        assert table is not None
        told = {name for usage in self.news.list_halls(now) for name in usage.rates if usage.hall != self.news.hall}
        part = vms / max(1, self._share.count_vms())
        near = {}
        for workspace in table.workspaces:
            rates = sums.get(workspace.name)
            if rates is None or workspace.quota is None:
                continue
            is_near = rates.asked > NEAR_SHARE * part * workspace.quota.rate
            if is_near or workspace.name in told or self._share.is_short(workspace.name):
                near[workspace.name] = rates
        return near

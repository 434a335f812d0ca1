"""Tell other VMs how fast workspaces use their quotas, and take in what they tell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.fleet.gossip_message import Usage

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

NEAR_SHARE = 0.6
"""Share of a hall's part of a quota from which on its use is told: as long as all halls are below, none is at its
quota. On the measured deployment, usual work is at 0.55 of the quotas and would cost a watcher 40 KB/s to tell.
"""


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
        self._known_to: dict[PeerConnection, dict[str, KnownUsage]] = {}
        """The sums that a peer was told, or told itself, by hall."""
        self._told_own = False
        """Whether the last word had rates of this VM's callers."""
        self._stopped = False

    def start(self) -> None:
        """Begin."""
        self._tick()

    def stop(self) -> None:
        """End."""
        self._stopped = True

    def forget(self, connection: PeerConnection) -> None:
        """Drop what a peer knew whose connection ended."""
        self._known_to.pop(connection, None)

    def take(self, connection: PeerConnection, message: Usage) -> None:
        """Take in what a peer told."""
        now = self.core.clock.now()
        if message.own is not None and connection.hall == self.news.hall and connection.vm:
            self.news.members.take(connection.vm, message.own, now)
        known = self._known_to.setdefault(connection, {})
        for told in message.halls:
            usage = self.news.take_hall(told, now)
            if usage.is_newer(known.get(usage.hall)):
                known[usage.hall] = usage

    def _tick(self) -> None:
        if self._stopped:
            return
        busy = False
        table = self.core.table
        if table is not None and table.has_quotas:
            busy = self._tell(self.core.clock.now())
        self.core.clock.call_later(BUSY_INTERVAL if busy else CALM_INTERVAL, self._tick)

    def _tell(self, now: float) -> bool:
        """Tell peers what they don't know; return whether any workspace comes near its quota."""
        table = self.core.table
        assert table is not None
        self.news.forget_old(now)
        if self._adds_up():
            members = {connection.vm for connection in self._list_connections() if connection.hall == self.news.hall}
            vms = 1 + len(members)
            self.news.note_hall(self._list_near(self.news.add_up_members(now), vms, now), vms, now)
        self._share.update(table.workspaces, now)
        own = self.news.own.list_rates(now)
        halls = self.news.list_halls(now)
        for connection in self._list_connections():
            self._tell_one(connection, own, halls, now)
        self._told_own = bool(own)
        return any(usage.rates for usage in halls)

    def _tell_one(self, connection: PeerConnection, own: RatesByWorkspace, halls: list[KnownUsage], now: float) -> None:
        known = self._known_to.setdefault(connection, {})
        news = [usage for usage in halls if usage.is_newer(known.get(usage.hall))]
        of_hall = connection.hall == self.news.hall and (own or self._told_own)
        if not news and not of_hall:
            return
        known.update({usage.hall: usage for usage in news})
        connection.tell(Usage(own if of_hall else None, [usage.make_message(now) for usage in news]))

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

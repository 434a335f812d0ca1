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
    from beamhatch.relay.workspaces.quota import QuotaAllocator
    from beamhatch.relay.workspaces.usage import KnownHallUsage, RatesByWorkspace

BUSY_INTERVAL_S = 0.2
"""Seconds between two words on usage while a workspace comes near its quota: news cross four VMs at the most, from a VM
to one that adds up its hall, to one of another hall, to one that adds up there, to its members.
"""

IDLE_INTERVAL_S = 0.3
"""Seconds between two words while none does: 25 messages a VM and second in a fleet of 78, which are counted by a test.
"""

SURGE_CHECK_INTERVAL_S = 0.1
"""Seconds between two checks for a surge."""

SURGE_FACTOR = 1.5
"""Growth of a workspace's demand, as a factor since it was told last, from which on peers are told at once.

Until they know, they take all of a surge; only demand above these VMs' part of the quota counts.
"""

SURGE_DELAY_S = 0.01
"""Seconds from a surge until peers are told, so that reports of several VMs go out in one message."""

REPORTING_SHARE = 0.6
"""Share of a hall's part of a quota from which on its use is told: as long as all halls are below, none is at its
quota. On the measured deployment, usual work is at 0.55 of the quotas and would cost a watcher 40 KB/s to tell.
"""


DIRECT_TTL_S = 0.7
"""Seconds behind which a hall no longer counts as heard directly: two calm intervals and a way between regions."""


@dataclass(slots=True)
class _Peer:
    """What a VM knows that this one has a connection to."""

    known_usages: dict[str, KnownHallUsage] = field(default_factory=dict)
    """The sums that the peer was told, or told itself, by hall."""
    direct_halls: frozenset[str] = frozenset()
    """The halls that the peer hears directly, and so is not told of from another hall."""
    sent_direct_halls: frozenset[str] = frozenset()
    """Those of which it was told that this VM hears them directly."""
    received_at: float = float("-inf")
    """When it told the sum of its own hall last, in monotonic seconds."""
    hall: str = ""


class UsageGossip:
    """What this VM says and hears of the use of quotas."""

    def __init__(
        self,
        core: Core,
        allocator: QuotaAllocator,
        list_connections: Callable[[], Iterable[PeerConnection]],
        adds_up: Callable[[], bool],
    ) -> None:
        """Make one.

        :param list_connections: returns the connections to peers that are up
        :param adds_up: tells whether this VM adds up what the VMs of its hall tell
        """
        self.core = core
        self.tracker = allocator.usage
        self._allocator = allocator
        self._list_connections = list_connections
        self._adds_up = adds_up
        self._peers: dict[str, _Peer] = {}
        self._sent_local = False
        """Whether the last word had rates of this VM's callers."""
        self._sent_rates: RatesByWorkspace = {}
        """The rates that peers were told last: of the hall where this VM adds up, else of its own callers."""
        self._covered_vms = 1
        """The VMs that these are of."""
        self._stopped = False
        self._timer: Any = None
        """The next time that peers are told."""
        self._is_expedited = False
        """Whether that is at once."""

    def start(self) -> None:
        """Begin."""
        self._tick()
        self._check_for_surge()

    def stop(self) -> None:
        """End."""
        self._stopped = True

    def forget_peer(self, connection: PeerConnection) -> None:
        """Drop what a peer knew whose connection ended."""
        self._peers.pop(connection.vm, None)

    def handle_usage(self, connection: PeerConnection, message: Usage) -> None:
        """Take in what a peer told."""
        if not connection.vm:
            return
        now = self.core.clock.now()
        if message.own is not None and connection.hall == self.tracker.hall:
            self.tracker.members.take(connection.vm, message.own, now)
        peer = self._get_peer(connection)
        has_surged = False
        if message.direct is not None:
            peer.direct_halls = frozenset(message.direct)
        for received in message.halls:
            known = self.tracker.get_hall_rates(received.hall, now)
            usage = self.tracker.apply_hall_usage(received, now)
            if usage.is_newer(peer.known_usages.get(usage.hall)):
                peer.known_usages[usage.hall] = usage
            has_surged |= self._has_surged(usage.rates, known, usage.vms)
            if usage.hall == connection.hall:
                peer.received_at = now
        if has_surged:
            self._send_soon()

    def _get_peer(self, connection: PeerConnection) -> _Peer:
        peer = self._peers.setdefault(connection.vm, _Peer())
        peer.hall = connection.hall
        return peer

    def _send_soon(self) -> None:
        """Bring the next message to peers forward to now."""
        if self._timer is None or self._is_expedited:
            return
        self._is_expedited = True
        self._timer.cancel()
        self._timer = self.core.clock.call_later(SURGE_DELAY_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._is_expedited = False
        if self._stopped:
            return
        busy = False
        table = self.core.table
        if table is not None and table.has_quotas:
            busy = self._send_usage(self.core.clock.now())
        self._timer = self.core.clock.call_later(BUSY_INTERVAL_S if busy else IDLE_INTERVAL_S, self._tick)

    def _check_for_surge(self) -> None:
        """Check for a surge."""
        if self._stopped:
            return
        table = self.core.table
        if table is not None and table.has_quotas:
            rates = self._compute_covered_rates(self.core.clock.now())
            if self._has_surged(rates, self._sent_rates, self._covered_vms):
                self._send_soon()
        self.core.clock.call_later(SURGE_CHECK_INTERVAL_S, self._check_for_surge)

    def _compute_covered_rates(self, now: float) -> RatesByWorkspace:
        """Return the rates that this VM is to tell of: those of its hall where it adds them up, else its own."""
        return self.tracker.compute_hall_rates(now) if self._covered_vms > 1 else self.tracker.local.compute_rates(now)

    def _has_surged(self, rates: RatesByWorkspace, before: RatesByWorkspace, vms: int) -> bool:
        """Tell whether any workspace asks much more of some VMs than before, and more than their part of its quota."""
        table = self.core.table
        if table is None or not rates:  # most messages on a calm day bear none
            return False
        vm_share = vms / max(1, self._allocator.count_vms())
        quotas = {workspace.name: workspace.quota for workspace in table.workspaces}
        for name, now in rates.items():
            quota = quotas.get(name)
            requested = before.get(name, NO_RATES).requested
            if quota is not None and now.requested > max(SURGE_FACTOR * requested, vm_share * quota.rate):
                return True
        return False

    def _send_usage(self, now: float) -> bool:
        """Tell peers what they don't know; return whether any workspace comes near its quota."""
        table = self.core.table
        assert table is not None
        self.tracker.remove_expired(now)
        adds_up = self._adds_up()
        vms = 1
        if adds_up:
            members = {connection.vm for connection in self._list_connections() if connection.hall == self.tracker.hall}
            vms = 1 + len(members)
            self.tracker.record_own_hall(
                self._select_reported_rates(self.tracker.compute_hall_rates(now), vms, now), vms, now
            )
        self._covered_vms = vms if adds_up else 1
        self._sent_rates = self._compute_covered_rates(now)
        self._allocator.update(table.workspaces, now)
        local = self.tracker.local.compute_rates(now)
        halls = self.tracker.list_hall_usages(now)
        direct = self._get_direct_halls(now)
        covered = self._get_covered_halls(direct, now)
        for connection in self._list_recipients(adds_up=adds_up):
            in_own_hall = connection.hall == self.tracker.hall
            self._send_to(connection, local, halls, direct if in_own_hall else covered, now)
        self._sent_local = bool(local)
        return any(usage.rates for usage in halls)

    def _list_recipients(self, *, adds_up: bool) -> list[PeerConnection]:
        """Return the peers that are told: all of the hall; of other halls, those that add up, by those that add up.

        A VM that adds up tells all its peers of a hall where it has no connection to one that does. Of two connections
        to one VM, as both dialled, one is enough.
        """
        connections = {connection.vm: connection for connection in self._list_connections()}.values()
        if not adds_up:
            return [connection for connection in connections if connection.hall == self.tracker.hall]
        joined = {connection.hall for connection in connections if connection.adds_up} - {self.tracker.hall}
        return [connection for connection in connections if connection.adds_up or connection.hall not in joined]

    def _get_direct_halls(self, now: float) -> frozenset[str]:
        """Return the other halls whose sums this VM has from VMs there: peers in third halls need not tell it.

        Without it, each of six halls is told each sum by all others: five times the bytes.
        """
        return frozenset(
            peer.hall
            for peer in self._peers.values()
            if peer.hall != self.tracker.hall and now - peer.received_at < DIRECT_TTL_S
        )

    def _get_covered_halls(self, direct: frozenset[str], now: float) -> frozenset[str]:
        """Return these and the halls that others of the own hall hear directly, who tell this VM and the hall."""
        others = [
            peer.direct_halls
            for peer in self._peers.values()
            if peer.hall == self.tracker.hall and now - peer.received_at < DIRECT_TTL_S
        ]
        return direct.union(*others)

    def _send_to(
        self,
        connection: PeerConnection,
        local: RatesByWorkspace,
        halls: list[KnownHallUsage],
        direct: frozenset[str],
        now: float,
    ) -> None:
        peer = self._get_peer(connection)
        in_own_hall = connection.hall == self.tracker.hall
        unsent = [usage for usage in halls if usage.is_newer(peer.known_usages.get(usage.hall))]
        if not in_own_hall:
            known = (peer.direct_halls | {connection.hall}) - {self.tracker.hall}
            unsent = [usage for usage in unsent if usage.hall not in known]
        sends_local = in_own_hall and (local or self._sent_local)
        sends_direct = connection.adds_up and direct != peer.sent_direct_halls
        if not unsent and not sends_local and not sends_direct:
            return
        peer.known_usages.update({usage.hall: usage for usage in unsent})
        if sends_direct:
            peer.sent_direct_halls = direct
        sums = [usage.make_message(now) for usage in unsent]
        connection.tell(Usage(local if sends_local else None, sums, sorted(direct) if sends_direct else None))

    def _select_reported_rates(self, sums: RatesByWorkspace, vms: int, now: float) -> RatesByWorkspace:
        """Return the sums that are worth telling: of quotas that are near, partly spent, or told of by another hall."""
        table = self.core.table
        assert table is not None
        reported = {
            name
            for usage in self.tracker.list_hall_usages(now)
            for name in usage.rates
            if usage.hall != self.tracker.hall
        }
        vm_share = vms / max(1, self._allocator.count_vms())
        selected = {}
        for workspace in table.workspaces:
            rates = sums.get(workspace.name)
            if rates is None or workspace.quota is None:
                continue
            is_near_quota = rates.requested > REPORTING_SHARE * vm_share * workspace.quota.rate
            if is_near_quota or workspace.name in reported or self._allocator.is_partly_used(workspace.name):
                selected[workspace.name] = rates
        return selected

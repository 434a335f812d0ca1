"""Exchanges the quota usage of workspaces with other VMs."""

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
"""Interval between messages while a workspace is near its quota. A report crosses at most four VMs: the sender, two
aggregators and the members of the other hall.
"""

IDLE_INTERVAL_S = 0.3
"""Interval between messages while no workspace is near its quota."""

SURGE_CHECK_INTERVAL_S = 0.1
"""Interval between checks for a surge."""

SURGE_FACTOR = 1.5
"""Growth of a workspace's demand since the last message that triggers a message at once.

Only demand above the covered VMs' part of the quota counts. Until they know, the other VMs grant the surge in full.
"""

SURGE_DELAY_S = 0.01
"""Delay of a message after a surge, so that reports of several VMs are combined."""

REPORTING_SHARE = 0.6
"""Share of a hall's part of a quota from which its usage is reported.

While all halls are below it, no workspace is at its quota. Reporting usual demand would take a watcher several times
the bandwidth that control traffic may have.
"""


DIRECT_HALL_TTL_S = 0.7
"""Seconds after which a hall no longer counts as received directly; covers two idle intervals and a message delay."""


@dataclass(slots=True)
class _Peer:
    """What a connected peer knows."""

    known_usages: dict[str, KnownHallUsage] = field(default_factory=dict)
    """Sums exchanged with the peer, by hall."""
    direct_halls: frozenset[str] = frozenset()
    """Halls that the peer receives directly, whose sums other halls need not forward to it."""
    sent_direct_halls: frozenset[str] = frozenset()
    """The direct halls of this VM that were last sent to the peer."""
    received_at: float = float("-inf")
    """When it last sent the sum of its own hall, in monotonic seconds."""
    hall: str = ""


class UsageGossip:
    """Sender and receiver of usage messages on one VM."""

    def __init__(
        self,
        core: Core,
        allocator: QuotaAllocator,
        list_connections: Callable[[], Iterable[PeerConnection]],
        is_aggregator: Callable[[], bool],
    ) -> None:
        """Initialize the gossip.

        :param list_connections: returns the established connections to peers
        :param is_aggregator: returns whether this VM is an aggregator of its hall
        """
        self.core = core
        self.tracker = allocator.usage
        self._allocator = allocator
        self._list_connections = list_connections
        self._is_aggregator = is_aggregator
        self._peers: dict[str, _Peer] = {}
        self._sent_local = False
        """Whether the last message had rates of this VM's callers."""
        self._sent_rates: RatesByWorkspace = {}
        """Rates at the last message: of the hall if this VM aggregates it, else of its own callers."""
        self._covered_vms = 1
        """Number of VMs that these rates cover."""
        self._stopped = False
        self._timer: Any = None
        """Timer of the next message."""
        self._is_expedited = False
        """Whether the next message was brought forward."""

    def start(self) -> None:
        """Start sending."""
        self._tick()
        self._check_for_surge()

    def stop(self) -> None:
        """Stop sending."""
        self._stopped = True

    def forget_peer(self, connection: PeerConnection) -> None:
        """Remove the state of a peer whose connection was closed."""
        self._peers.pop(connection.vm, None)

    def handle_usage(self, connection: PeerConnection, message: Usage) -> None:
        """Apply a message from a peer."""
        if not connection.vm:
            return
        now = self.core.clock.now()
        if message.own is not None and connection.hall == self.tracker.hall:
            self.tracker.member_rates.record(connection.vm, message.own, now)
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
        """Bring the next message forward."""
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
        """Send at once if demand has surged, and schedule the next check."""
        if self._stopped:
            return
        table = self.core.table
        if table is not None and table.has_quotas:
            rates = self._compute_covered_rates(self.core.clock.now())
            if self._has_surged(rates, self._sent_rates, self._covered_vms):
                self._send_soon()
        self.core.clock.call_later(SURGE_CHECK_INTERVAL_S, self._check_for_surge)

    def _compute_covered_rates(self, now: float) -> RatesByWorkspace:
        """Return the rates of the hall if this VM aggregates it, else of its own callers."""
        return self.tracker.compute_hall_rates(now) if self._covered_vms > 1 else self.tracker.local.compute_rates(now)

    def _has_surged(self, rates: RatesByWorkspace, before: RatesByWorkspace, vms: int) -> bool:
        """Return whether demand of any workspace surged beyond the part of its quota for these VMs."""
        table = self.core.table
        if table is None or not rates:  # The usual case: most messages have no rates.
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
        """Send peers what they do not know; return whether any workspace is near its quota."""
        table = self.core.table
        assert table is not None
        self.tracker.remove_expired(now)
        is_aggregator = self._is_aggregator()
        vms = 1
        if is_aggregator:
            members = {connection.vm for connection in self._list_connections() if connection.hall == self.tracker.hall}
            vms = 1 + len(members)
            self.tracker.record_own_hall(
                self._select_reported_rates(self.tracker.compute_hall_rates(now), vms, now), vms, now
            )
        self._covered_vms = vms if is_aggregator else 1
        self._sent_rates = self._compute_covered_rates(now)
        self._allocator.update(table.workspaces, now)
        local = self.tracker.local.compute_rates(now)
        halls = self.tracker.list_hall_usages(now)
        direct = self._get_direct_halls(now)
        covered = self._get_covered_halls(direct, now)
        for connection in self._list_recipients(is_aggregator=is_aggregator):
            in_own_hall = connection.hall == self.tracker.hall
            self._send_to(connection, local, halls, direct if in_own_hall else covered, now)
        self._sent_local = bool(local)
        return any(usage.rates for usage in halls)

    def _list_recipients(self, *, is_aggregator: bool) -> list[PeerConnection]:
        """Return one connection for each peer to send to.

        All VMs send to the peers of their hall. Aggregators also send to the aggregators of other halls, or to all
        peers in a hall where they are not connected to an aggregator.
        """
        connections = {connection.vm: connection for connection in self._list_connections()}.values()
        if not is_aggregator:
            return [connection for connection in connections if connection.hall == self.tracker.hall]
        halls_with_aggregator = {connection.hall for connection in connections if connection.is_aggregator} - {
            self.tracker.hall
        }
        return [
            connection
            for connection in connections
            if connection.is_aggregator or connection.hall not in halls_with_aggregator
        ]

    def _get_direct_halls(self, now: float) -> frozenset[str]:
        """Return the other halls whose sums this VM receives from VMs there.

        Peers in third halls need not forward these sums.
        """
        return frozenset(
            peer.hall
            for peer in self._peers.values()
            if peer.hall != self.tracker.hall and now - peer.received_at < DIRECT_HALL_TTL_S
        )

    def _get_covered_halls(self, direct: frozenset[str], now: float) -> frozenset[str]:
        """Return the direct halls of all VMs in this hall, which forward the sums within it."""
        others = [
            peer.direct_halls
            for peer in self._peers.values()
            if peer.hall == self.tracker.hall and now - peer.received_at < DIRECT_HALL_TTL_S
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
        sends_direct = connection.is_aggregator and direct != peer.sent_direct_halls
        if not unsent and not sends_local and not sends_direct:
            return
        peer.known_usages.update({usage.hall: usage for usage in unsent})
        if sends_direct:
            peer.sent_direct_halls = direct
        sums = [usage.make_message(now) for usage in unsent]
        connection.send(Usage(local if sends_local else None, sums, sorted(direct) if sends_direct else None))

    def _select_reported_rates(self, sums: RatesByWorkspace, vms: int, now: float) -> RatesByWorkspace:
        """Return the sums to report.

        These are of workspaces near their quota, with a partly used burst, or reported by another hall.
        """
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

"""The tunnels of one VM: those that it uses while its own links are lost, and those that it carries for peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.fleet.gossip_message import MAX_OUT_OF_REACH, CarryingState
from beamhatch.relay.model import Address
from beamhatch.relay.tunnels.dialer import PathDialer
from beamhatch.relay.tunnels.message import Refusal
from beamhatch.relay.tunnels.prober import LinkProber
from beamhatch.relay.tunnels.proxies import Proxy, ProxyChooser
from beamhatch.relay.tunnels.reachability import ReachChange
from beamhatch.relay.tunnels.server import MAX_TUNNELS, TunnelHost, TunnelServer, get_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.core import Core
    from beamhatch.relay.fleet.gossip_message import Heartbeat
    from beamhatch.relay.fleet.membership import Member, Membership
    from beamhatch.relay.fleet.peer_connection import PeerConnection
    from beamhatch.relay.topology import Topology
    from beamhatch.relay.tunnels.message import OpenTunnel
    from beamhatch.relay.tunnels.monitor import ReachMonitor

MAX_STATE_AGE_S = 1.2
"""Seconds without a message after which a peer's word on its tunnels is not relied on; covers two heartbeats."""

COUNT_STEP = 8
"""Steps in which the number of tunnels is told to peers."""


class Tunnels(TunnelHost):
    """Tunnels that a VM uses and carries."""

    def __init__(
        self, clock: Clock, journal: Journal, tally: Tally, vm: str, hall: str, places: Topology, reach: ReachMonitor
    ) -> None:
        self.clock = clock
        self._journal = journal
        self._tally = tally
        self._reach = reach
        self._chooser = ProxyChooser(hall, places)
        self.dialer = PathDialer(clock, journal, tally, vm, reach, self._chooser)
        self.server = TunnelServer(self)
        self.accepting = True
        """Whether peers may open tunnels; False during a planned stop."""
        self.list_connections: Callable[[], list[PeerConnection]] = list
        """Returns the connections to peers."""
        self.on_state_change: Callable[[], None] = lambda: None
        """Called when peers should be told of a change soon."""
        self.on_relayed: Callable[[int], None] = lambda size: None
        """Called with the bytes of data that this VM relays for a peer."""
        self._cut_off_peers: set[str] = set()
        """Peers that told that they are cut off."""
        self._core: Core | None = None
        self._membership: Membership | None = None
        self._prober: LinkProber | None = None
        tally.gauges["tunnels_carried"] = lambda: float(len(self.server.tunnels))

    def start(self, core: Core, membership: Membership) -> None:
        """Begin to use tunnels, once the parts of the VM that they depend on exist."""
        self._core = core
        self._membership = membership
        self._prober = LinkProber(self.clock, self._reach, core.listing.list_addresses, core.client.warm)
        self._reach.on_change = self._handle_reach_change
        self._reach.count_listed = lambda: len(core.listing.list_addresses())
        self.dialer.list_proxies = self._list_proxies
        self.dialer.find_hall = self._find_hall

    def stop(self) -> None:
        """End all tunnels and tasks."""
        self.accepting = False
        self.server.abort_all()
        if self._prober is not None:
            self._prober.stop()

    def set_places(self, places: Topology) -> None:
        """Apply changed settings of halls and regions."""
        self._chooser.places = places

    # --- tunnels that this VM uses -----------------------------------------------------------------------------------

    def _handle_reach_change(self, change: ReachChange, address: Address) -> None:
        core, prober = self._core, self._prober
        assert core is not None
        assert prober is not None
        found = core.listing.find_at(address)
        if change in (ReachChange.REGAINED, ReachChange.RECONNECTED):
            core.client.close_idle_tunnels()
        if change is not ReachChange.CHECK:
            self.on_state_change()
        if change in (ReachChange.CUT_OFF, ReachChange.RECONNECTED):
            core.stats.forget_failures()
        elif change is ReachChange.REGAINED and found is not None:
            core.stats.forget_failures([found.id])
        prober.handle_change(change)

    def _list_proxies(self) -> list[Proxy]:
        """Return the peers that accept tunnels; if none does, the members of which nothing is known."""
        now = self.clock.now()
        self._chooser.drop_expired(now)
        assert self._membership is not None
        connections = self.list_connections()
        accepting: dict[str, Proxy] = {}
        for connection in connections:
            member = self._membership.get_member(connection.address)
            state = connection.received.carrying
            if member is not None and state.accepts and now - connection.last_received_at < MAX_STATE_AGE_S:
                accepting[member.address] = _make_proxy(member, state, sheds=connection.received.sheds)
        if accepting:
            return [one for one in accepting.values() if one.address.port]
        connected = {connection.address for connection in connections}
        others = [one for one in self._membership.list_others() if one.address not in connected and one.tunnel_port]
        return [_make_proxy(one) for one in others]

    def _find_hall(self, address: Address) -> str:
        found = None if self._core is None else self._core.listing.find_at(address)
        return "" if found is None else found.hall

    def handle_heartbeat(self, connection: PeerConnection, heartbeat: Heartbeat) -> None:
        """Apply what a peer told of its links and tunnels."""
        state = heartbeat.carrying
        if state is None or self._core is None:
            return
        if not state.cut_off:
            self._cut_off_peers.discard(connection.vm)
        elif connection.vm not in self._cut_off_peers:
            self._cut_off_peers.add(connection.vm)
            self._core.stats.drop_peer_failure_rates()  # its failures may have been due to its own links
        if not state.accepts:
            self._close_idle_through(connection)

    def forget_peer(self, connection: PeerConnection) -> None:
        """Forget what a peer told that is no longer connected."""
        self._cut_off_peers.discard(connection.vm)
        self._close_idle_through(connection)

    def _close_idle_through(self, connection: PeerConnection) -> None:
        member = None if self._membership is None else self._membership.get_member(connection.address)
        if member is not None and self._core is not None:
            self._core.client.close_idle_tunnels(_make_proxy(member).address)

    # --- tunnels that this VM carries --------------------------------------------------------------------------------

    @property
    def state(self) -> CarryingState:
        """Return what peers are told."""
        count = len(self.server.tunnels)
        blocked = sorted(str(address) for address in self._reach.reachability.list_blocked())
        return CarryingState(
            self._may_carry and count < MAX_TUNNELS and len(blocked) <= MAX_OUT_OF_REACH,
            self._reach.reachability.is_cut_off,
            count - count % COUNT_STEP,
            tuple(blocked[:MAX_OUT_OF_REACH]),
        )

    @property
    def _may_carry(self) -> bool:
        return (
            self.accepting and self._core is not None and self._core.ready and not self._reach.reachability.is_cut_off
        )

    def check(self, request: OpenTunnel, open_count: int) -> Refusal | None:
        """Return why a tunnel is refused, or None if it may be opened."""
        if self._core is None or not self._may_carry:
            return Refusal.NOT_ACCEPTING
        if open_count >= MAX_TUNNELS:
            return Refusal.FULL
        if self._core.listing.find_at(get_address(request)) is None:
            return Refusal.UNKNOWN_UPSTREAM
        if self._reach.reachability.is_blocked(get_address(request)):
            return Refusal.OUT_OF_REACH
        return None

    def record_result(self, request: OpenTunnel, refusal: Refusal | None) -> None:
        """Log a request, and take its outcome for evidence on this VM's own links."""
        result = "opened" if refusal is None else refusal.value
        self._tally.count("tunnels_requested_total", result.replace(" ", "_"))
        self._journal.write(
            "TUNNEL", "requested", vm_served=request.vm, address=str(get_address(request)), result=result
        )
        if refusal is None:
            self._reach.record_connected(get_address(request))
        elif refusal is Refusal.UNREACHABLE:
            self._reach.record_unreachable(get_address(request))

    def record_relayed(self, size: int) -> None:
        """Report the bytes of relayed data."""
        self.on_relayed(size)


def _make_proxy(member: Member, state: CarryingState | None = None, *, sheds: bool = False) -> Proxy:
    address = Address(member.address.rpartition(":")[0], member.tunnel_port)
    if state is None:
        return Proxy(address, member.hall, is_confirmed=False)
    return Proxy(address, member.hall, state.tunnels, out_of_reach=frozenset(state.out_of_reach), is_overloaded=sheds)

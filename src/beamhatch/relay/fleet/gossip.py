"""Exchange state with a bounded number of peers, so that VMs which do not read from the store receive it too.

Each VM sends the versions of its configuration and listing in heartbeats and requests newer ones from its peers. Older
state never replaces newer state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from beamhatch.ordered_set import OrderedSet
from beamhatch.relay.api import Document, ListingUpdate
from beamhatch.relay.engines.fleet_demand import FleetDemand
from beamhatch.relay.fleet.ended_peers import EndedPeers, ProbeFactory
from beamhatch.relay.fleet.far_words import EMPTY_HEARTBEAT
from beamhatch.relay.fleet.gossip_message import (
    MAX_MENTIONS,
    ConfigurationRequest,
    DepartureUpdate,
    Heartbeat,
    Hello,
    LimitUpdate,
    ListingPart,
    ListingRequest,
    Message,
    PackedConfiguration,
    PrefillBacklog,
    QuarantineUpdate,
    Usage,
    pack_configuration,
    unpack_configuration,
)
from beamhatch.relay.fleet.hellos import Hellos
from beamhatch.relay.fleet.membership import get_host
from beamhatch.relay.fleet.peer_connection import PeerConnection, PeerHandler, PeerServerFactory
from beamhatch.relay.fleet.peer_dialer import CONNECT_TIMEOUT_S, PeerDialer
from beamhatch.relay.fleet.peer_traffic import PeerTraffic
from beamhatch.relay.fleet.throttle import Throttle
from beamhatch.relay.fleet.version_requests import VersionRequests
from beamhatch.relay.mechanism import Mechanism
from beamhatch.relay.model import UpstreamId

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.relay.api import Documents
    from beamhatch.relay.choosing.pace import PrefillSample
    from beamhatch.relay.core import Core
    from beamhatch.relay.engines.balancing import ServiceDemand
    from beamhatch.relay.fleet.departure_talk import DepartureGossip
    from beamhatch.relay.fleet.membership import Membership
    from beamhatch.relay.limits.talk import LimitGossip
    from beamhatch.relay.model import Service
    from beamhatch.relay.tunnels.service import Tunnels
    from beamhatch.relay.workspaces.usage_talk import UsageGossip

HEARTBEAT_INTERVAL_S = 0.5
"""Seconds between two regular heartbeats.

``PEER_TIMEOUT_S`` covers three of them.
"""

MIN_HEARTBEAT_INTERVAL_S = 0.03
"""Minimum seconds between a heartbeat and the next one that is sent early because of a change."""

MIN_BACKLOG_INTERVAL_S = 0.08
"""Minimum seconds between two messages about the prefill backlog."""

PEER_TIMEOUT_S = 1.8
"""Seconds without a message after which a connection is closed."""

MAX_SILENCE_S = 0.75
"""Seconds without a message after which a peer may have listed upstreams that it did not tell of.

It covers one heartbeat, as a change is told at once.
"""

EARLY_DIAL_DELAYS_S = 0.15, 0.3
"""Seconds after the start at which peers are dialled again.

VMs that started at the same time should be listening by then.
"""

STARTUP_DELAY_S = 1.0
"""Seconds after the start in which a VM that may have peers does not watch the store.

It does not know the other members yet, so each VM of a starting fleet would consider itself a watcher.
"""

MIN_FAILURE_RATE = 0.2
"""Minimum failure rate at which an upstream is reported to peers."""


class Gossip(PeerHandler):
    """The connections to other VMs, and the handling of their messages."""

    def __init__(self, core: Core, documents: Documents, vm: str, membership: Membership) -> None:
        self.core = core
        self.clock = core.clock
        self.journal = core.journal
        self.membership = membership
        core.quarantine_gossip.list_connections = self.list_connections
        core.quarantine_gossip.hall = membership.own.hall
        core.quarantine_gossip.forwards_updates = self.is_aggregator
        self._documents = documents
        self._traffic = PeerTraffic(core.tally, membership.own.hall, core.topology)
        self._connections: OrderedSet[PeerConnection] = OrderedSet()
        self._dialer = PeerDialer(core.clock, membership, self)
        self._hellos = Hellos(core.clock, membership, vm)
        self._ended_peers = EndedPeers()
        self._fleet_demand = FleetDemand()
        self._is_aggregator = False
        """Whether this VM aggregates the reports of its hall; cached at each regular heartbeat."""
        self._reachable_share = 1.0
        """Share of all recent VMs that this one can reach; cached at each regular heartbeat."""
        self._version_requests = VersionRequests(core, self.list_connections, self._may_store_send)
        self._packed: tuple[int, PackedConfiguration] | None = None
        """Version and compressed form of the configuration that was last sent."""
        self._heartbeat_throttle = Throttle(core.clock, MIN_HEARTBEAT_INTERVAL_S, self._send_early_heartbeats)
        self._backlog_throttle = Throttle(core.clock, MIN_BACKLOG_INTERVAL_S, self._send_backlog)
        self._sent_backlog: dict[str, int] = {}
        self.tunnels: Tunnels | None = None
        """Tunnels to upstreams by way of peers; None if disabled."""
        self._port: Any = None
        self._stopped = False
        self.newest_version = 0
        """The newest configuration version that any peer has announced."""
        self.is_store_unreachable: Callable[[], bool] = lambda: False
        """Returns whether this VM considers the store unreachable."""
        self.is_shedding: Callable[[], bool] = lambda: False
        """Returns whether this VM refuses connections of callers because it is overloaded."""
        self.usage: UsageGossip | None = None
        """Exchange of quota usage; None if disabled."""
        self.departures: DepartureGossip | None = None
        """Exchange of upstreams' departures; None if disabled."""
        self.limits: LimitGossip | None = None
        """Exchange of rate limits that upstreams announce; None if disabled."""

    def start(self) -> None:
        """Listen for peers and start to dial them."""
        host, _, port = self.membership.own.address.rpartition(":")
        self._port = self.clock.reactor.listenTCP(int(port), PeerServerFactory(self), interface=host)
        self._tick()
        for seconds in EARLY_DIAL_DELAYS_S:
            self.clock.call_later(seconds, self._dial_early)

    def _dial_early(self) -> None:
        if not self._stopped:
            self._dialer.dial(self.clock.now())

    def stop(self) -> None:
        """Close all connections."""
        self._stopped = True
        self._version_requests.stop()
        if self._port is not None:
            self._port.stopListening()
        for connection in list(self._connections):
            connection.transport.abortConnection()

    def should_watch_store(self) -> bool:
        """Return whether this VM should watch the store: on behalf of its hall, or because it has no peers."""
        if self.membership.may_have_peers and self.clock.now() < self.core.started_at + STARTUP_DELAY_S:
            return False
        return self.membership.is_watcher() or not self.has_peers()

    def is_aggregator(self) -> bool:
        """Return whether this VM aggregates the reports of its hall and forwards updates to other peers."""
        return self._is_aggregator

    def list_connections(self) -> list[PeerConnection]:
        """Return the connections on which the peer has identified itself."""
        return [connection for connection in self._connections if connection.vm]

    def has_peers(self) -> bool:
        """Return whether any connected peer has identified itself."""
        return any(connection.vm for connection in self._connections)

    def has_connection(self, address: str) -> bool:
        """Return whether a peer is connected that listens at an address."""
        return any(one.address == address for one in self._connections)

    def has_ended(self, host: str) -> bool:
        """Return whether the peer at a host has ended that knew of no more upstreams than this VM does."""
        return self._ended_peers.has_ended(host, self.core.revision)

    # --- connections -------------------------------------------------------------------------------------------------

    def add_connection(self, connection: PeerConnection) -> None:
        """Register an established connection and send the first messages on it."""
        self._connections.add(connection)
        self._dialer.record_connected(connection)
        if connection.dialled_address is None:
            self._hellos.introduce(connection)
        else:
            connection.hall = self.membership.get_hall(connection.dialled_address)
            self._hellos.send(connection)
        self._send_heartbeat(connection, self._make_heartbeat())

    def remove_connection(self, connection: PeerConnection) -> None:
        """Forget a closed connection."""
        self._connections.discard(connection)
        if self.usage is not None:
            self.usage.forget_peer(connection)
        if self.tunnels is not None and not self.has_connection(connection.address):
            self.tunnels.forget_peer(connection)
        self._dialer.record_closed(connection)
        if connection.vm and not self._stopped:
            self.journal.write("PEER", "lost", vm=connection.vm, connections=len(self._connections))
            self._find_out_if_ended(connection)

    def _find_out_if_ended(self, connection: PeerConnection) -> None:
        """Find out whether a peer has ended whose connection broke although messages arrived on it."""
        was_silent = self.clock.now() - connection.last_received_at > MAX_SILENCE_S
        if was_silent or connection.is_unwanted or self.has_connection(connection.address):
            return
        host, _, port = connection.address.rpartition(":")
        self._ended_peers.record_lost(host, connection.received.revision)
        self.clock.reactor.connectTCP(host, int(port), ProbeFactory(self._ended_peers, host), timeout=CONNECT_TIMEOUT_S)

    def record_sent(self, connection: PeerConnection, message: Message, size: int) -> None:
        """Count a sent message in the traffic metrics."""
        self._traffic.record_sent(message, size, connection.hall)

    def record_unreachable(self, address: str) -> None:
        """Record a failed connection attempt."""
        self._dialer.record_unreachable(address)

    def _tick(self) -> None:
        if self._stopped:
            return
        now = self.clock.now()
        self._close_unresponsive(now)
        self.membership.drop_expired(now)
        self._ended_peers.keep({get_host(one.address) for one in self.membership.list_others()})
        self._fleet_demand.drop_expired(now)
        self.core.peer_backlog.drop_expired(now)
        self.core.vm_count = self.membership.size
        self.core.recent_vm_count = self.membership.count_recent(now)
        self._dialer.dial(now)
        self._is_aggregator = self.membership.is_watcher()
        halls = {connection.hall for connection in self.list_connections()}
        self._reachable_share = self.membership.compute_reachable_share(halls, now)
        self._hellos.send_due(self._connections, now)
        self._heartbeat_throttle.record_call()
        self._send_heartbeats(regular=True)
        self.clock.call_later(HEARTBEAT_INTERVAL_S, self._tick)

    def _close_unresponsive(self, now: float) -> None:
        for connection in [one for one in self._connections if now - one.last_received_at > PEER_TIMEOUT_S]:
            self._dialer.record_unresponsive(connection, now)
            connection.transport.abortConnection()

    def _is_in_other_hall(self, connection: PeerConnection) -> bool:
        """Return whether a peer is in another hall or its hall is not known yet."""
        return connection.hall != self.membership.own.hall

    def send_heartbeats_soon(self) -> None:
        """Schedule a heartbeat to all peers after a change of this VM's state."""
        self._heartbeat_throttle.request()

    def send_backlog_soon(self) -> None:
        """Schedule a message to all peers after a change of this VM's prefill backlog."""
        self._backlog_throttle.request()

    def _send_backlog(self) -> None:
        backlog = self.core.stats.get_pending_prefill_tokens()
        if backlog == self._sent_backlog or self._stopped:
            return
        self._sent_backlog = backlog
        for connection in list(self._connections):
            if not self._is_in_other_hall(connection):
                connection.send(PrefillBacklog(backlog))
                continue
            changes = connection.sent.select_backlog(self._select_backlog_in(connection.hall, backlog))
            if changes is not None:
                connection.send(PrefillBacklog(changes))

    def _send_early_heartbeats(self) -> None:
        if not self._stopped:
            self._heartbeat_throttle.record_call()
            self._send_heartbeats(regular=False)

    def _send_heartbeats(self, *, regular: bool) -> None:
        """Send a heartbeat to all peers; to those in other halls, only what changed.

        :param regular: whether peers in other halls are sent an empty heartbeat if nothing changed
        """
        heartbeat = self._make_heartbeat(self.core.prefill_models.pop_unsent())
        for connection in list(self._connections):
            self._send_heartbeat(connection, heartbeat, regular=regular)

    def _send_heartbeat(self, connection: PeerConnection, heartbeat: Heartbeat, *, regular: bool = True) -> None:
        if not self._is_in_other_hall(connection):
            connection.send(heartbeat)
            return
        adapted = msgspec.structs.replace(
            heartbeat, reading=self._select_backlog_in(connection.hall, heartbeat.reading or {})
        )
        changes = connection.sent.select_changes(adapted, self.clock.now())
        if not connection.hall:  # the peer may turn out to be in this hall, where VMs need this field
            changes = msgspec.structs.replace(changes, turned_away=heartbeat.turned_away)
        if regular or changes != EMPTY_HEARTBEAT:
            connection.send(changes)

    def _select_backlog_in(self, hall: str, backlog: dict[str, int]) -> dict[str, int]:
        """Return the part of the prefill backlog that belongs to engines in a hall."""
        return {name: tokens for name, tokens in backlog.items() if self._get_hall_of(name) == hall}

    def _get_hall_of(self, upstream: str) -> str:
        found = self.core.listing.get(UpstreamId(upstream))
        return "" if found is None else found.hall

    # --- fleet-wide figures ------------------------------------------------------------------------------------------

    def estimate_demand(self, service: Service) -> ServiceDemand:
        """Estimate the demand of all VMs for a service, extrapolated from recent reports."""
        assert service.engine is not None
        own = self.core.make_demand_report(service.name)
        now = self.clock.now()
        return self._fleet_demand.compute_service_demand(service.name, service.engine, own, self.membership.size, now)

    def get_reachable_share(self) -> float:
        """Return the share of all recent VMs that this one can reach, as of the last regular heartbeat."""
        return self._reachable_share

    # --- messages ----------------------------------------------------------------------------------------------------

    def handle_message(self, connection: PeerConnection, message: Message) -> None:
        """Apply a message from a peer or answer it.

        :raises MessageError: if a configuration cannot be unpacked
        """
        match message:
            case Hello():
                self._handle_hello(connection, message)
            case Heartbeat():
                self._handle_heartbeat(connection, message)
            case PrefillBacklog():
                connection.received.prefill_backlog = message.reading
                self._apply_backlog(connection)
            case Usage():
                if self.usage is not None:
                    self.usage.handle_usage(connection, message)
            case _:
                self._handle_upstream_message(connection, message)

    def _handle_upstream_message(self, connection: PeerConnection, message: Message) -> None:
        """Handle messages about upstreams and about requests that crash them; delegate all others."""
        match message:
            case QuarantineUpdate():
                self.core.quarantine_gossip.handle_message(connection, message)
            case DepartureUpdate():
                if self.departures is not None:
                    self.departures.handle_update(connection, message)
            case LimitUpdate():
                if self.limits is not None:
                    self.limits.handle_update(connection, message)
            case _:
                self._handle_store_message(connection, message)

    def _handle_store_message(self, connection: PeerConnection, message: Message) -> None:
        """Handle messages that carry or request the configuration or the listing."""
        match message:
            case ConfigurationRequest():
                self._send_configuration(connection)
            case PackedConfiguration():
                raw = unpack_configuration(message)
                table = self._documents.read_configuration(raw)
                if table is None:
                    self.journal.write("CONFIG", "unreadable from a peer", source=f"peer {connection.vm}")
                else:
                    self.core.apply_document(Document(raw, table), f"peer {connection.vm}")
            case ListingRequest():
                if self.core.listing.complete:
                    entries = self.core.listing.list_since(message.after, self.clock.now())
                    connection.send(ListingPart(message.after, self.core.listing.newest_revision, entries))
            case ListingPart():
                update = ListingUpdate(message.entries, message.revision)
                self.core.apply_listing(update, f"peer {connection.vm}", is_snapshot=message.after == 0)

    def _send_configuration(self, connection: PeerConnection) -> None:
        document = self.core.document
        if document is None:
            return
        if self._packed is None or self._packed[0] != document.table.version:
            self._packed = (document.table.version, pack_configuration(document.raw))
        connection.send(self._packed[1])

    def _handle_hello(self, connection: PeerConnection, message: Hello) -> None:
        now = self.clock.now()
        is_new = not connection.vm
        if is_new:
            self.journal.write("PEER", "met", vm=message.vm, address=message.member.address)
        connection.vm = message.vm
        connection.hall = message.member.hall
        connection.address = message.member.address
        connection.sent.record_known([message.member, *(mention.member for mention in message.known)])
        self.membership.record_alive(message.member, 0.0, now)
        self.membership.record_reachable(message.member.address)
        self._ended_peers.forget(get_host(message.member.address))
        for mention in message.known[:MAX_MENTIONS]:
            self.membership.record_alive(mention.member, mention.age, now)
        self.core.vm_count = self.membership.size
        if is_new:
            self.core.quarantine_gossip.send_all(connection)
            if self.departures is not None:
                self.departures.send_pending(connection)
            if self.limits is not None:
                self.limits.send_all(connection)
        if is_new and connection.dialled_address is None:
            self._hellos.send(connection)

    def _handle_heartbeat(self, connection: PeerConnection, message: Heartbeat) -> None:
        now = self.clock.now()
        received = connection.received
        received.apply(message)
        if connection.vm:
            self._fleet_demand.record(connection.vm, received.demands, now)
            self.core.apply_prefill_models(received.demands)
            for reading in message.readings:
                self.core.prefill_models.record(reading)
        if connection.hall == self.membership.own.hall:
            self.membership.record_store_access(connection.address, store_unreachable=message.turned_away)
        self._apply_backlog(connection)
        if self.tunnels is not None:
            self.tunnels.handle_heartbeat(connection, message)
        faulty = {} if Mechanism.PEER_FAILURES in self.core.disabled else message.faulty
        for upstream, rate in faulty.items():
            self.core.stats.get(UpstreamId(upstream)).apply_peer_failure_rate(rate, now)
        self._apply_phase_changes(connection, message)
        if message.evacuations is not None:
            if message.evacuations_as_of < self.core.eligibility.evacuations.as_of:
                connection.sent.reset_evacuations()  # an outdated peer may not know that an evacuation has ended
            source = f"peer {connection.vm}"
            self.core.apply_evacuations(message.evacuations, source, as_of=message.evacuations_as_of, is_snapshot=True)
        if received.version > max(self.newest_version, self.core.version):
            self.journal.write(
                "CONFIG", "behind", version=self.core.version, newer=received.version, source=f"peer {connection.vm}"
            )
        self.newest_version = max(self.newest_version, received.version)
        if received.version > self.core.version or received.revision > self.core.revision:
            self._version_requests.update()

    def _may_store_send(self) -> bool:
        """Return whether the store is expected to send newer versions to this VM, before peers are asked."""
        return self._is_aggregator and not self.is_store_unreachable()

    def _apply_backlog(self, connection: PeerConnection) -> None:
        if connection.vm and Mechanism.PEER_BACKLOG not in self.core.disabled:
            self.core.peer_backlog.record(connection.vm, connection.received.prefill_backlog, self.clock.now())

    def _apply_phase_changes(self, connection: PeerConnection, message: Heartbeat) -> None:
        for upstream, change in message.changing.items():
            self.core.apply_phase_change(UpstreamId(upstream), change, f"peer {connection.vm}")

    def _make_heartbeat(self, readings: Sequence[PrefillSample] = ()) -> Heartbeat:
        core = self.core
        now = core.clock.now()
        evacuations = core.eligibility.evacuations
        return Heartbeat(
            core.version,
            core.revision,
            core.make_demand_reports(),
            {} if core.reach.reachability.is_cut_off else core.stats.get_own_failure_rates(MIN_FAILURE_RATE, now),
            core.phase_changes.list_updates(now),
            core.stats.get_pending_prefill_tokens(),
            list(readings),
            evacuations.list_updates() if evacuations.complete and not evacuations.has_overflowed else None,
            evacuations.as_of,
            self.is_store_unreachable(),
            self._is_aggregator,
            None if self.tunnels is None else self.tunnels.state,
            self.is_shedding(),
        )

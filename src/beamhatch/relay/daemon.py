"""Assembly of one VM's relay, with its start, reload and planned stop."""

from __future__ import annotations

import gc
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from beamhatch.relay.callers.error_response import send_error
from beamhatch.relay.callers.http_server import CallerServer
from beamhatch.relay.choosing.chooser import LeastCostChooser
from beamhatch.relay.choosing.cold_gate import ColdLimit, CountingGate, KnownVms
from beamhatch.relay.choosing.pace import PrefillEstimators
from beamhatch.relay.choosing.peer_backlog import PeerBacklog
from beamhatch.relay.choosing.sponsors import SponsorGate
from beamhatch.relay.choosing.standing import UpstreamStatsRegistry
from beamhatch.relay.choosing.turns import RoundRobinGate
from beamhatch.relay.core import Core, ReloadableSettings
from beamhatch.relay.engines.leadership import Leadership
from beamhatch.relay.engines.ordering import PhaseController
from beamhatch.relay.fleet.departure_talk import DepartureGossip
from beamhatch.relay.fleet.gossip import Gossip
from beamhatch.relay.fleet.membership import Member, Membership
from beamhatch.relay.fleet.watching import DirectivesWatcher, ListingWatcher, StoreWatcher
from beamhatch.relay.limits.talk import LimitGossip
from beamhatch.relay.mechanism import NONE_DISABLED, DisabledMechanisms, Mechanism
from beamhatch.relay.model import Address, CallerLimits
from beamhatch.relay.overload.peers import has_peer_with_room
from beamhatch.relay.overload.protection import OverloadProtection, ResourceLimits
from beamhatch.relay.quarantine.persistence import QuarantinePersistence
from beamhatch.relay.quarantine.quarantine import MAX_RELEASE_DELAY_S
from beamhatch.relay.requests.exchange import RelayExchange
from beamhatch.relay.requests.intake import RequestIntake
from beamhatch.relay.streams.open_stream_writer import OpenStreamWriter
from beamhatch.relay.streams.stored_streams import StoredStreams
from beamhatch.relay.streams.version_recorder import VersionRecorder
from beamhatch.relay.topology import Topology
from beamhatch.relay.tunnels.monitor import ReachMonitor
from beamhatch.relay.tunnels.service import Tunnels
from beamhatch.relay.upstreams.http_client import HttpClient
from beamhatch.relay.upstreams.listing import DEFAULT_DRAIN_S, GONE_GRACE_SHARE, Listing
from beamhatch.relay.workspaces.quota import DemandAllocator, EqualAllocator, QuotaTerms
from beamhatch.relay.workspaces.usage import UsageTracker
from beamhatch.relay.workspaces.usage_talk import UsageGossip

if TYPE_CHECKING:
    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.api import Dialect, Documents, Store
    from beamhatch.relay.callers.http_server import IncomingRequest, Responder
    from beamhatch.relay.overload.listener import CallerListener
    from beamhatch.relay.retries.budget import RetryBudgetLimits
    from beamhatch.relay.streams.api import StreamStore
    from beamhatch.relay.workspaces.quota import QuotaAllocator, QuotaLimitChange

LISTEN_BACKLOG = 1024
"""Maximum number of connections that the kernel queues until they are accepted."""

IDLE_CLOSE_DELAY_S = 2.6
"""Time after the start of a planned stop at which idle connections are closed, when no new ones are expected."""

STARTUP_PEER_TIMEOUT_S = 0.5
"""Time for which a new VM waits for data from its peers before it reads the store; seeds read it at once."""

STOP_CHECK_INTERVAL_S = 0.05
"""Interval of checks during a planned stop."""

STOP_MARGIN_S = 0.6
"""Time before the end of the grace period at which open requests are cut."""

MAX_ACCEPT_REQUESTS_S = 2.85
"""Time for which a stopping VM accepts requests; the platform allows to cut long ones only if sent within 3 s."""

MAX_LISTEN_S = 3.2
"""Time for which a stopping VM accepts connections."""

DEFAULT_APPLY_S = 2.0
"""Time within which a configuration must be in force if the settings give none."""


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Settings of the relay on one VM."""

    vm: str
    hall: str
    caller_address: Address
    ready_address: Address
    ready_path: str
    store_address: Address
    grace: float
    """Grace period: seconds that a planned stop may take."""
    retry_budget: RetryBudgetLimits
    quota: QuotaTerms = field(default_factory=QuotaTerms)
    peer_address: Address | None = None
    tunnel_address: Address | None = None
    """Where peers ask for tunnels to upstreams; None if this VM carries none."""
    record_address: Address | None = None
    """Where peers send records of streams by UDP; None if this VM takes none."""
    seeds: list[str] = field(default_factory=list)
    is_first_start: bool = False
    """Whether no VM of the whole system has run before."""
    handover_time: float = 3.0
    """Minimum seconds between orders of two different VMs."""
    topology: Topology = field(default_factory=Topology)
    cold_overage: float = 1.0
    """Factor on the rate limit of a cold upstream that gives the requests it may receive in one second."""
    cold_slack: float = 0.0
    """Requests per second in addition to that."""
    drain_time: float = DEFAULT_DRAIN_S
    """Seconds after the end of its entry for which an upstream may still be sent requests."""
    apply_time: float = DEFAULT_APPLY_S
    """Seconds after its acknowledgement within which a configuration must be in force."""
    limits: ResourceLimits = field(default_factory=ResourceLimits)
    """Limits of the VM's resources; the VMs of a hall with the fastest links watch the store for the others."""
    disabled: DisabledMechanisms = NONE_DISABLED
    """Mechanisms that are disabled, to measure their effect."""
    metrics_address: Address | None = None
    metrics_path: str = "/metrics"


class Daemon:
    """Relay process of one VM."""

    def __init__(
        self,
        settings: RelaySettings,
        clock: Clock,
        journal: Journal,
        tally: Tally,
        dialect: Dialect,
        documents: Documents,
        store: Store,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.journal = journal
        self.tally = tally
        reach = ReachMonitor(clock, journal, tally)
        self.tunnels = Tunnels(clock, journal, tally, settings.vm, settings.hall, settings.topology, reach)
        uses_tunnels = settings.peer_address is not None and Mechanism.TUNNELS not in settings.disabled
        self.overload = OverloadProtection(
            clock, journal, tally, settings.limits, refuses=Mechanism.SHEDDING not in settings.disabled
        )
        dialer = self.tunnels.dialer if uses_tunnels else self.tunnels.dialer.direct
        client = HttpClient(clock, dialer, meter=self.overload.meter)
        stats = UpstreamStatsRegistry()
        prefill_models = PrefillEstimators(enabled=Mechanism.LEARNED_PREFILL_RATES not in settings.disabled)
        peer_backlog = PeerBacklog()
        self.core = Core(
            clock=clock,
            journal=journal,
            tally=tally,
            dialect=dialect,
            client=client,
            chooser=LeastCostChooser(
                stats, settings.hall, prefill_models, peer_backlog, settings.disabled, settings.topology
            ),
            stats=stats,
            prefill_models=prefill_models,
            disabled=settings.disabled,
            peer_backlog=peer_backlog,
            settings=ReloadableSettings(settings.retry_budget),
            reach=reach,
            listing=Listing(gone_grace_s=GONE_GRACE_SHARE * settings.drain_time),
            started_at=clock.now(),
            topology=settings.topology,
        )
        self.core.costs = self.overload.costs
        intake = RequestIntake(self.core, RelayExchange)
        self.callers = CallerServer(
            clock, intake.serve, self.core.get_caller_limits, intake.record_bad_request, self.overload.meter
        )
        self.overload.count_sockets = self._count_sockets
        self._gossip = self._make_gossip(documents)
        self._watchers = self._make_watchers(store)
        if self._gossip is not None:
            self._gossip.is_store_unreachable = self._is_store_unreachable
            self._gossip.is_shedding = self.overload.is_shedding
            self.core.origins.has_ended = self._gossip.has_ended
            self.overload.gate.is_alone = self._is_alone
            self.overload.on_change = self._gossip.send_heartbeats_soon
        if self._gossip is not None and uses_tunnels:
            self.tunnels.start(self.core, self._gossip.membership)
            self.tunnels.list_connections = self._gossip.list_connections
            self.tunnels.on_state_change = self._gossip.send_heartbeats_soon
            self.tunnels.on_relayed = self.overload.record_relayed
            self._gossip.tunnels = self.tunnels
        persistence = QuarantinePersistence(self.core, store)
        self.core.quarantine.release_delay_s = random.uniform(0.0, MAX_RELEASE_DELAY_S)
        self.core.quarantine_gossip.on_quarantined = persistence.add
        self.core.quarantine_gossip.on_clear = persistence.remove
        self._version_recorder = self._make_version_recorder(store.streams)
        self.core.origins.read_versions = self._version_recorder.read_now
        self.core.origins.confirm_versions = self._version_recorder.confirm
        self._stream_writer = self._make_stream_writer(store.streams)
        self._usage_gossip = self._make_usage_gossip()
        if self._gossip is not None and Mechanism.SHARED_DEPARTURES not in settings.disabled:
            departures = DepartureGossip(clock, self.core.announcements)
            departures.list_connections = self._gossip.list_connections
            self.core.announcements.on_departure = departures.send_soon
            self._gossip.departures = departures
        limits = self.core.announcements.limits
        limits.shared = Mechanism.SHARED_LIMITS not in settings.disabled
        if self._gossip is not None:
            limits.own_address = self._gossip.membership.own.address
            limits.get_reachable_share = self._gossip.get_reachable_share
            self._gossip.limits = LimitGossip(clock, self.core.announcements)
            self._gossip.limits.list_connections = self._gossip.list_connections
            self._gossip.limits.forwards_counts = self._gossip.is_aggregator
        self.core.eligibility.gate = self._make_cold_gate()
        self.core.admission.may_be_outdated = self._may_be_outdated
        self.leadership: Leadership | None = None
        self._phase_controller: PhaseController | None = None
        if self._gossip is not None:
            self.leadership = Leadership(self.core, store, settings.vm, self._gossip.membership.count_higher_ranked)
            self.leadership.lease.handover_time = settings.handover_time
            self.leadership.on_quarantines = self.core.quarantine_gossip.apply_stored
            self.leadership.on_quarantines_restored = self.core.quarantine_gossip.apply_restored
            self._phase_controller = PhaseController(
                self.core, self.leadership, settings.vm, self._gossip.estimate_demand
            )
        self._ports: list[Any] = []
        self._listener: CallerListener | None = None
        self._stopping_since: float | None = None
        tally.gauges["caller_connections"] = lambda: float(len(self.callers.connections))
        tally.gauges["open_requests"] = lambda: float(len(self.core.exchanges))
        tally.gauges["emptied_halls"] = lambda: float(len(self.core.eligibility.evacuations.list_evacuated()))
        tally.gauges["requests_in_emptied_halls"] = lambda: float(self.core.count_requests_in_evacuated())
        tally.gauges["configuration_version"] = lambda: float(self.core.version)
        tally.gauges["configuration_newest_announced"] = lambda: float(self._get_newest_version())
        tally.gauges["store_silence_seconds"] = lambda: max(watcher.get_silence() for watcher in self._watchers)
        tally.gauges["unrecorded_versions"] = lambda: float(self.core.listing.versions.count_unrecorded())
        tally.gauges["known_vms"] = lambda: float(self.core.vm_count)
        tally.gauges["held_requests"] = lambda: float(self.core.quarantine.count(clock.now()))
        tally.gauges["leaving_by_own_word"] = lambda: float(len(self.core.announcements.list_unstored()))
        tally.gauges["resting_upstreams"] = lambda: float(self.core.announcements.backoffs.count_active(clock.now()))
        tally.gauges["limit_share"] = lambda: self.core.announcements.limits.get_reachable_share()
        tally.gauges["limited_upstreams"] = lambda: float(self.core.announcements.limits.count_limited())
        tally.gauges["cold_upstreams"] = lambda: float(len(self.core.cold_log.transitions.cold))
        tally.gauges["connections_opened"] = lambda: float(client.opened_count)
        tally.gauges["log_lines_left_out"] = lambda: float(journal.left_out)

    def start(self) -> None:
        """Open the listening ports and start the background tasks."""
        settings = self.settings
        self._listener = self.overload.start(self.callers, lambda: self._listen(settings.caller_address, self.callers))
        self._ports.append(self._listen(settings.ready_address, self._make_status_server(settings.ready_path)))
        if settings.metrics_address is not None:
            self._ports.append(self._listen(settings.metrics_address, self._make_status_server("")))
        if settings.tunnel_address is not None:
            self._ports.append(self._listen(settings.tunnel_address, self.tunnels.server))
        self.core.client.start()
        if self._gossip is not None:
            if settings.record_address is not None:
                self.core.origins.start(self._gossip.membership, settings.record_address)
            self.core.on_change = self._gossip.send_heartbeats_soon
            self.core.on_failure = self._gossip.send_heartbeats_soon
            self.core.on_backlog_change = self._gossip.send_backlog_soon
            self._gossip.start()
        for watcher in self._watchers:
            watcher.start()
        self._version_recorder.start()
        self._stream_writer.start()
        self._usage_gossip.start()
        if self.leadership is not None and self._phase_controller is not None:
            self.leadership.start()
            if Mechanism.PHASE_CHANGES not in settings.disabled:
                self._phase_controller.start()
        gc.collect()
        gc.freeze()  # objects that live as long as the process are exempt from later collections
        self.journal.write("MAIN", "started", store=str(settings.store_address), seeds=settings.seeds)

    @property
    def caller_port(self) -> int:
        """Return the port on which callers are served."""
        assert self._listener is not None
        return int(self._listener.port.getHost().port)

    def reload(self, settings: RelaySettings) -> None:
        """Apply the settings that can change at runtime: limits, quota terms, topology, seeds and grace period."""
        self.core.settings.retry_budget = settings.retry_budget
        self.core.apply_topology(settings.topology)
        self.tunnels.set_places(settings.topology)
        if self.core.admission.allocator is not None:
            self.core.admission.allocator.set_terms(settings.quota)
        if isinstance(self.core.eligibility.gate, CountingGate):
            self.core.eligibility.gate.limit = _make_cold_bound(settings)
        if self._gossip is not None:
            self._gossip.membership.seeds = settings.seeds
        self.settings = settings
        self.journal.write("MAIN", "reloaded", seeds=settings.seeds, grace=settings.grace)

    # --- planned stop ------------------------------------------------------------------------------------------------

    def stop(self) -> None:
        """Begin a planned stop: report not ready, but serve requests for a while longer."""
        if self._stopping_since is not None:
            return
        self._stopping_since = self.clock.now()
        self.callers.closing = True
        self.tunnels.accepting = False
        if self.leadership is not None:
            self.leadership.stop()
        self.journal.write("STOP", "begun", open_requests=len(self.core.exchanges))
        self.clock.call_later(IDLE_CLOSE_DELAY_S, self.callers.close_idle)
        self.clock.call_later(STOP_CHECK_INTERVAL_S, self._continue_stop)

    def _continue_stop(self) -> None:
        assert self._stopping_since is not None
        elapsed = self.clock.now() - self._stopping_since
        if elapsed > self.settings.grace - STOP_MARGIN_S:
            for exchange in list(self.core.exchanges):
                exchange.abort("this VM stops")
            self.clock.call_later(STOP_CHECK_INTERVAL_S, self._finish_stop, elapsed)
            return
        self.core.stopping = elapsed > MAX_ACCEPT_REQUESTS_S
        if elapsed > MAX_LISTEN_S:
            if self._listener is not None:
                self._listener.stop()
            self.callers.close_idle()
            if not self.core.exchanges and not self.callers.connections and not self.tunnels.server.tunnels:
                self._finish_stop(elapsed)
                return
        self.clock.call_later(STOP_CHECK_INTERVAL_S, self._continue_stop)

    def _finish_stop(self, elapsed: float) -> None:
        self.journal.write("STOP", "ended", seconds=round(elapsed, 2), cut=len(self.core.exchanges))
        for watcher in self._watchers:
            watcher.stop()
        self._version_recorder.stop()
        self._stream_writer.stop()
        self._usage_gossip.stop()
        self.tunnels.stop()
        self.core.origins.stop()
        if self._gossip is not None:
            self._gossip.stop()
        self.journal.flush()
        self.clock.reactor.stop()

    def _count_sockets(self) -> int:
        peers = 0 if self._gossip is None else len(self._gossip.list_connections())
        return (
            len(self.callers.connections) + self.core.client.open_count + 2 * len(self.tunnels.server.tunnels) + peers
        )

    def _is_alone(self) -> bool:
        """Return whether no other VM of the hall is known to have room for callers."""
        gossip = self._gossip
        return gossip is None or not has_peer_with_room(gossip.list_connections(), self.settings.hall, self.clock.now())

    # --- servers -----------------------------------------------------------------------------------------------------

    def _make_gossip(self, documents: Documents) -> Gossip | None:
        settings = self.settings
        if settings.peer_address is None:
            return None
        tunnel_port = 0 if settings.tunnel_address is None else settings.tunnel_address.port
        record_port = 0 if settings.record_address is None else settings.record_address.port
        own = Member(
            str(settings.peer_address), settings.hall, settings.limits.link_mbit_per_s, tunnel_port, record_port
        )
        return Gossip(self.core, documents, settings.vm, Membership(own, settings.seeds))

    def _make_usage_gossip(self) -> UsageGossip:
        """Return the exchange of workspaces' usage between VMs, and set the allocator of their quotas."""
        settings = self.settings
        gossip = self._gossip
        tracker = UsageTracker(settings.vm, settings.hall)
        allocator: QuotaAllocator
        if Mechanism.SHARED_QUOTAS in settings.disabled:
            allocator = EqualAllocator(tracker, self._count_vms, settings.quota, self.core.started_at)
        else:
            allocator = DemandAllocator(
                tracker, self._count_vms, settings.quota, self.core.started_at, on_limit_change=self._log_quota_limit
            )
        self.core.admission.allocator = allocator
        connections = gossip.list_connections if gossip is not None else list
        is_aggregator = gossip.membership.is_watcher if gossip is not None else _always
        usage = UsageGossip(self.core, allocator, connections, is_aggregator)
        if gossip is not None:
            gossip.usage = usage
        return usage

    def _make_cold_gate(self) -> CountingGate:
        """Return the gate that enforces the limit on cold upstreams across all VMs."""
        settings = self.settings
        gate_type = RoundRobinGate if Mechanism.SPONSORS in settings.disabled else SponsorGate
        if self._gossip is None:
            vms = KnownVms(settings.vm, lambda now: [], lambda: False)
        else:
            membership = self._gossip.membership
            vms = KnownVms(membership.own.address, membership.list_recent_addresses, lambda: membership.may_have_peers)
        return gate_type(vms, _make_cold_bound(settings), self.core.started_at, self.core.listing.get_cold_until)

    def _count_vms(self) -> int:
        return 1 if self._gossip is None else self._gossip.membership.size

    def _log_quota_limit(self, change: QuotaLimitChange) -> None:
        self.tally.count("quota_limits_total", "begun" if change.granted_share < 1 else "ended")
        self.journal.write(
            "QUOTA",
            "limited" if change.granted_share < 1 else "free",
            workspace=change.workspace,
            share=change.granted_share,
            asked=change.requested,
            pace=change.allowed,
            vms=change.vms,
        )

    def _get_newest_version(self) -> int:
        """Return the newest configuration version that this VM knows to exist."""
        return max(self.core.version, 0 if self._gossip is None else self._gossip.newest_version)

    def _may_be_outdated(self) -> bool:
        """Return whether a peer announced a newer configuration, or one may exist as no peer or store is connected."""
        has_peers = False
        if self._gossip is not None:
            if self._get_newest_version() > self.core.version:
                return True
            has_peers = self._gossip.has_peers()
        return not has_peers and not all(watcher.connected for watcher in self._watchers)

    def _make_version_recorder(self, store: StreamStore) -> VersionRecorder:
        gossip = self._gossip
        return VersionRecorder(
            self.clock,
            self.journal,
            self.tally,
            self.core.listing,
            store,
            should_write=_always if gossip is None else gossip.should_watch_store,
            has_peers=_has_no_peers if gossip is None else gossip.has_peers,
            get_rank=_get_first_rank if gossip is None else gossip.membership.count_higher_ranked,
            count_vms=self._count_vms,
            start_delay_s=STARTUP_PEER_TIMEOUT_S if gossip is not None and gossip.membership.may_have_peers else 0.0,
            is_first_start=self.settings.is_first_start,
        )

    def _make_stream_writer(self, store: StreamStore) -> OpenStreamWriter:
        """Return the writer of open streams, and have those of other VMs read from the store."""
        origins = self.core.origins
        origins.stored = StoredStreams(self.clock, self.journal, self.tally, store, self._count_vms)
        origins.is_isolated = self._is_isolated
        origins.is_store_unreachable = self._is_hall_without_store
        return OpenStreamWriter(self.clock, self.journal, self.tally, store, origins.list_open_streams, self._count_vms)

    def _is_hall_without_store(self) -> bool:
        """Return whether this VM, or one of its hall that watches the store for it, does not reach the store."""
        gossip = self._gossip
        return self._is_store_unreachable() or (gossip is not None and gossip.membership.is_without_store)

    def _is_isolated(self) -> bool:
        """Return whether this VM reaches neither a peer nor the store, though it may have peers."""
        gossip = self._gossip
        if gossip is None or not gossip.membership.may_have_peers:
            return False
        return not gossip.has_peers() and self._is_store_unreachable()

    def _make_watchers(self, store: Store) -> list[StoreWatcher]:
        alone = self._gossip is None or Mechanism.FEW_WATCHERS in self.settings.disabled
        should_watch = _always if alone or self._gossip is None else self._gossip.should_watch_store
        has_peers = _has_no_peers if self._gossip is None else self._gossip.has_peers
        is_seed = self.settings.peer_address is None or str(self.settings.peer_address) in self.settings.seeds
        peer_timeout = 0.0 if is_seed or not self.settings.seeds else STARTUP_PEER_TIMEOUT_S
        return [
            watcher(self.core, store, should_watch, has_peers, peer_timeout, delivery_time)
            for watcher, delivery_time in (
                (DirectivesWatcher, self.settings.apply_time),
                (ListingWatcher, self.settings.drain_time),
            )
        ]

    def _is_store_unreachable(self) -> bool:
        return any(watcher.is_store_unreachable() for watcher in self._watchers)

    def _listen(self, address: Address, factory: Any) -> Any:
        return self.clock.reactor.listenTCP(address.port, factory, backlog=LISTEN_BACKLOG, interface=address.host)

    def _make_status_server(self, ready_path: str) -> CallerServer:
        def serve(incoming: IncomingRequest, responder: Responder) -> None:
            if incoming.path == ready_path:
                self._answer_ready(responder)
            elif incoming.path == self.settings.metrics_path:
                responder.send_response(200, [("Content-Type", "text/plain; version=0.0.4")], self.tally.render())
            else:
                send_error(responder, 404, "there is nothing here")

        return CallerServer(self.clock, serve, CallerLimits, lambda status, detail: None)

    def _answer_ready(self, responder: Responder) -> None:
        if self._stopping_since is not None:
            send_error(responder, 503, "stopping")
        elif not self.core.ready:
            send_error(responder, 503, "no configuration or no list of upstreams is known yet")
        else:
            responder.send_response(200, [("Content-Type", "application/json")], b'{"status":"ready"}')


def _make_cold_bound(settings: RelaySettings) -> ColdLimit:
    return ColdLimit(settings.cold_overage, settings.cold_slack)


def _always() -> bool:
    return True


def _has_no_peers() -> bool:
    return False


def _get_first_rank() -> int:
    return 0

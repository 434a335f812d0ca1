"""Put one VM's relay together, and take it through start, reload and planned stop."""

from __future__ import annotations

import gc
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from beamhatch.relay.callers.error_response import send_error
from beamhatch.relay.callers.http_server import CallerServer
from beamhatch.relay.choosing.chooser import LeastCostChooser
from beamhatch.relay.choosing.cold_gate import ColdLimit, CountingGate, KnownVms
from beamhatch.relay.choosing.pace import PrefillEstimators
from beamhatch.relay.choosing.peer_backlog import PeerBacklog
from beamhatch.relay.choosing.round_robin_gate import RoundRobinGate
from beamhatch.relay.choosing.sponsor_gate import SponsorGate
from beamhatch.relay.choosing.standing import UpstreamStatsRegistry
from beamhatch.relay.core import Core, Terms
from beamhatch.relay.engines.leadership import Leadership
from beamhatch.relay.engines.ordering import PhaseController
from beamhatch.relay.fleet.departure_talk import DepartureGossip
from beamhatch.relay.fleet.gossip import Gossip
from beamhatch.relay.fleet.membership import Member, Membership
from beamhatch.relay.fleet.store_watcher import DirectivesWatcher, ListingWatcher, StoreWatcher
from beamhatch.relay.limits.talk import LimitGossip
from beamhatch.relay.mechanism import ALL_IN, Mechanism, Without
from beamhatch.relay.model import Address, CallerLimits
from beamhatch.relay.places import Places
from beamhatch.relay.quarantine.persistence import QuarantinePersistence
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
    from beamhatch.relay.requests.budget import RetryBudgetLimits
    from beamhatch.relay.workspaces.quota import QuotaAllocator, QuotaLimitChange

BACKLOG = 1024
"""Connections that the kernel keeps until they are accepted: a second of the largest bursts."""

IDLE_CLOSE_DELAY = 2.6
"""Seconds behind the begin of a planned stop after which idle connections are closed: by then no new ones come."""

START_PATIENCE = 0.5
"""Seconds for which a new VM waits for its peers to tell it what they have, before it asks the store.

VMs that are seeds of the others ask the store at once.
"""

STOP_INTERVAL = 0.05
"""Seconds between two looks during a planned stop."""

STOP_MARGIN = 0.6
"""Seconds before the end of the time for a planned stop at which what is left is cut."""

LAST_TAKEN = 2.85
"""Seconds for which a stopping VM takes requests; the platform lets long ones be cut only if sent within 3 s."""

LONGEST_LISTEN = 3.2
"""Seconds for which a stopping VM goes on to accept connections."""


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """What one VM's relay needs to know."""

    vm: str
    hall: str
    caller_address: Address
    ready_address: Address
    ready_path: str
    store_address: Address
    grace: float
    """Seconds that a planned stop may take."""
    budget: RetryBudgetLimits
    quota: QuotaTerms = field(default_factory=QuotaTerms)
    peer_address: Address | None = None
    seeds: list[str] = field(default_factory=list)
    turn_time: float = 3.0
    """Seconds that have to pass between the orders of two VMs."""
    places: Places = field(default_factory=Places)
    cold_overage: float = 1.0
    """Times the rate that a cold upstream bears which may reach it in one second."""
    cold_slack: float = 0.0
    """Requests on top of that."""
    drain_time: float = DEFAULT_DRAIN_S
    """Seconds behind the end of its entry in which an upstream may still be sent requests."""
    strength: float = 0.0
    """Mbit/s of the VM's link: of the VMs of a hall, the stronger ones watch the store for the others."""
    without: Without = ALL_IN
    """Mechanisms that are left out, to measure what they are worth."""
    metrics_address: Address | None = None
    metrics_path: str = "/metrics"


class Daemon:
    """One VM's relay."""

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
        client = HttpClient(clock)
        standings = UpstreamStatsRegistry()
        paces = PrefillEstimators(enabled=Mechanism.LEARNED_PACES not in settings.without)
        work = PeerBacklog()
        self.core = Core(
            clock=clock,
            journal=journal,
            tally=tally,
            dialect=dialect,
            client=client,
            chooser=LeastCostChooser(standings, settings.hall, paces, work, settings.without, settings.places),
            standings=standings,
            paces=paces,
            without=settings.without,
            work=work,
            terms=Terms(settings.budget),
            listing=Listing(gone_grace_s=GONE_GRACE_SHARE * settings.drain_time),
            started=clock.now(),
            places=settings.places,
        )
        self.callers = CallerServer(clock, self.core.serve, self.core.find_limits, self.core.note_refused)
        self._gossip = self._make_gossip(documents)
        self._watchers = self._make_watchers(store)
        if self._gossip is not None:
            self._gossip.is_store_unreachable = self._is_turned_away
        keeping = QuarantinePersistence(self.core, store)
        self.core.quarantine_talk.on_quarantined = keeping.add
        self.core.quarantine_talk.on_clear = keeping.remove
        self._usage = self._make_usage()
        if self._gossip is not None and Mechanism.TOLD_DEPARTURES not in settings.without:
            departures = DepartureGossip(clock, self.core.announcements)
            departures.list_connections = self._gossip.list_connections
            self.core.announcements.on_departure = departures.send_soon
            self._gossip.departures = departures
        limits = self.core.announcements.limits
        limits.shared = Mechanism.SHARED_LIMITS not in settings.without
        if self._gossip is not None:
            limits.own_address = self._gossip.membership.own.address
            limits.get_reachable_share = self._gossip.get_reachable_share
            self._gossip.limits = LimitGossip(clock, self.core.announcements)
            self._gossip.limits.list_connections = self._gossip.list_connections
            self._gossip.limits.forwards_counts = self._gossip.is_aggregator
        self.core.eligibility.gate = self._make_cold_gate()
        self.core.admission.may_be_outdated = self._may_be_behind
        self.leadership: Leadership | None = None
        self._ordering: PhaseController | None = None
        if self._gossip is not None:
            self.leadership = Leadership(self.core, store, settings.vm, self._gossip.membership.count_higher_ranked)
            self.leadership.lease.handover_time = settings.turn_time
            self.leadership.on_store_recovered = self._renew_watches
            self.leadership.on_quarantines = self.core.quarantine_talk.apply_stored
            self.leadership.on_quarantines_restored = self.core.quarantine_talk.apply_restored
            self._ordering = PhaseController(self.core, self.leadership, settings.vm, self._gossip.estimate_demand)
        self._ports: list[Any] = []
        self._caller_port: Any = None
        self._stopping_since: float | None = None
        tally.gauges["open_requests"] = lambda: float(len(self.core.exchanges))
        tally.gauges["emptied_halls"] = lambda: float(len(self.core.eligibility.evacuations.list_evacuated()))
        tally.gauges["requests_in_emptied_halls"] = lambda: float(self.core.count_in_emptied())
        tally.gauges["configuration_version"] = lambda: float(self.core.version)
        tally.gauges["known_vms"] = lambda: float(self.core.vms)
        tally.gauges["held_requests"] = lambda: float(self.core.quarantine.count(clock.now()))
        tally.gauges["leaving_by_own_word"] = lambda: float(len(self.core.announcements.list_unstored()))
        tally.gauges["resting_upstreams"] = lambda: float(self.core.announcements.backoffs.count_active(clock.now()))
        tally.gauges["limit_share"] = lambda: self.core.announcements.limits.get_reachable_share()
        tally.gauges["limited_upstreams"] = lambda: float(self.core.announcements.limits.count_limited())
        tally.gauges["cold_upstreams"] = lambda: float(len(self.core.cold_watch.cold))
        tally.gauges["connections_opened"] = lambda: float(client.opened_count)
        tally.gauges["log_lines_left_out"] = lambda: float(journal.left_out)

    def start(self) -> None:
        """Listen, and begin to learn what there is."""
        settings = self.settings
        self._caller_port = self._listen(settings.caller_address, self.callers)
        self._ports.append(self._listen(settings.ready_address, self._make_status_server(settings.ready_path)))
        if settings.metrics_address is not None:
            self._ports.append(self._listen(settings.metrics_address, self._make_status_server("")))
        self.core.client.start()
        if self._gossip is not None:
            self.core.on_change = self._gossip.send_heartbeats_soon
            self.core.on_fault = self._gossip.send_heartbeats_soon
            self.core.on_work = self._gossip.send_backlog_soon
            self._gossip.start()
        for watcher in self._watchers:
            watcher.start()
        self._usage.start()
        if self.leadership is not None and self._ordering is not None:
            self.leadership.start()
            if Mechanism.ORDERS not in settings.without:
                self._ordering.start()
        gc.collect()
        gc.freeze()  # what was loaded stays: later collections need not look through it
        self.journal.write("MAIN", "started", store=str(settings.store_address), seeds=settings.seeds)

    def _renew_watches(self) -> None:
        for watcher in self._watchers:
            watcher.restart_watch()

    @property
    def caller_port(self) -> int:
        """Return the port on which callers are served."""
        return int(self._caller_port.getHost().port)

    def reload(self, settings: RelaySettings) -> None:
        """Take changed settings as far as a running process can: bounds, seeds and where halls lie."""
        self.core.terms.budget = settings.budget
        self.core.take_places(settings.places)
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
        """Begin a planned stop: no longer ready, but everything that arrives is served."""
        if self._stopping_since is not None:
            return
        self._stopping_since = self.clock.now()
        self.callers.closing = True
        if self.leadership is not None:
            self.leadership.stop()
        self.journal.write("STOP", "begun", open_requests=len(self.core.exchanges))
        self.clock.call_later(IDLE_CLOSE_DELAY, self.callers.close_idle)
        self.clock.call_later(STOP_INTERVAL, self._go_on_stopping)

    def _go_on_stopping(self) -> None:
        assert self._stopping_since is not None
        elapsed = self.clock.now() - self._stopping_since
        if elapsed > self.settings.grace - STOP_MARGIN:
            for exchange in list(self.core.exchanges):
                exchange.abort("this VM stops")
            self.clock.call_later(STOP_INTERVAL, self._end, elapsed)
            return
        self.core.stopping = elapsed > LAST_TAKEN
        if elapsed > LONGEST_LISTEN:
            if self._caller_port is not None:
                port, self._caller_port = self._caller_port, None
                port.stopListening()
            self.callers.close_idle()
            if not self.core.exchanges and not self.callers.connections:
                self._end(elapsed)
                return
        self.clock.call_later(STOP_INTERVAL, self._go_on_stopping)

    def _end(self, elapsed: float) -> None:
        self.journal.write("STOP", "ended", seconds=round(elapsed, 2), cut=len(self.core.exchanges))
        for watcher in self._watchers:
            watcher.stop()
        self._usage.stop()
        if self._gossip is not None:
            self._gossip.stop()
        self.journal.flush()
        self.clock.reactor.stop()

    # --- servers -----------------------------------------------------------------------------------------------------

    def _make_gossip(self, documents: Documents) -> Gossip | None:
        settings = self.settings
        if settings.peer_address is None:
            return None
        own = Member(str(settings.peer_address), settings.hall, settings.strength)
        return Gossip(self.core, documents, settings.vm, Membership(own, settings.seeds))

    def _make_usage(self) -> UsageGossip:
        """Return what keeps the quotas of workspaces over all VMs."""
        settings = self.settings
        gossip = self._gossip
        news = UsageTracker(settings.vm, settings.hall)
        share: QuotaAllocator
        if Mechanism.SHARED_QUOTAS in settings.without:
            share = EqualAllocator(news, self._count_vms, settings.quota, self.core.started)
        else:
            share = DemandAllocator(
                news, self._count_vms, settings.quota, self.core.started, on_limit_change=self._report_limit
            )
        self.core.admission.allocator = share
        connections = gossip.list_connections if gossip is not None else list
        adds_up = gossip.membership.is_watcher if gossip is not None else _is_always_due
        usage = UsageGossip(self.core, share, connections, adds_up)
        if gossip is not None:
            gossip.usage = usage
        return usage

    def _make_cold_gate(self) -> CountingGate:
        """Return what keeps the bound of cold upstreams over all VMs."""
        settings = self.settings
        kind = RoundRobinGate if Mechanism.SPONSORS in settings.without else SponsorGate
        if self._gossip is None:
            vms = KnownVms(settings.vm, lambda now: [], lambda: False)
        else:
            membership = self._gossip.membership
            vms = KnownVms(membership.own.address, membership.list_recent_addresses, lambda: membership.may_have_peers)
        return kind(vms, _make_cold_bound(settings), self.core.started, self.core.listing.get_cold_until)

    def _count_vms(self) -> int:
        return 1 if self._gossip is None else self._gossip.membership.size

    def _report_limit(self, change: QuotaLimitChange) -> None:
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

    def _may_be_behind(self) -> bool:
        """Tell whether there may be a newer configuration: peers told of one, or nobody can tell."""
        hears_peers = False
        if self._gossip is not None:
            if self._gossip.newest_version > self.core.version:
                return True
            hears_peers = self._gossip.has_peers()
        return not hears_peers and not all(watcher.connected for watcher in self._watchers)

    def _make_watchers(self, store: Store) -> list[StoreWatcher]:
        alone = self._gossip is None or Mechanism.FEW_WATCHERS in self.settings.without
        is_due = _is_always_due if alone or self._gossip is None else self._gossip.should_watch_store
        hears_peers = _hears_nobody if self._gossip is None else self._gossip.has_peers
        first = self.settings.peer_address is None or str(self.settings.peer_address) in self.settings.seeds
        patience = 0.0 if first or not self.settings.seeds else START_PATIENCE
        kinds = (DirectivesWatcher, ListingWatcher)
        return [watcher(self.core, store, is_due, hears_peers, patience) for watcher in kinds]

    def _is_turned_away(self) -> bool:
        return any(watcher.is_store_unreachable() for watcher in self._watchers)

    def _listen(self, address: Address, factory: Any) -> Any:
        return self.clock.reactor.listenTCP(address.port, factory, backlog=BACKLOG, interface=address.host)

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


def _is_always_due() -> bool:
    return True


def _hears_nobody() -> bool:
    return False

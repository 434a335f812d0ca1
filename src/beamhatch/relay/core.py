"""State shared by all requests of one VM: configuration, upstreams and open exchanges."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.ordered_set import OrderedSet
from beamhatch.relay.choosing.cold_transitions import ColdLog
from beamhatch.relay.choosing.eligibility import Eligibility, Obstacle
from beamhatch.relay.choosing.lack import VERSION_RETRY_S, Shortage, detect_shortage
from beamhatch.relay.choosing.pace import PrefillEstimators, PrefillModel
from beamhatch.relay.choosing.peer_backlog import PeerBacklog
from beamhatch.relay.choosing.prefill_times import PrefillTimes
from beamhatch.relay.choosing.standing import UpstreamStatsRegistry
from beamhatch.relay.engines.changing import PendingPhaseChanges, PhaseChangeUpdate
from beamhatch.relay.engines.demand import DemandEstimator
from beamhatch.relay.engines.lengths import OutputLengths
from beamhatch.relay.fleet.evacuations import MAX_UNCONFIGURED_HALLS, Evacuations
from beamhatch.relay.fleet.gossip_message import DemandReport
from beamhatch.relay.limits.returns import RetrySchedule
from beamhatch.relay.mechanism import NONE_DISABLED, DisabledMechanisms, Mechanism
from beamhatch.relay.model import CallerLimits, Phase, Regions, ServiceName
from beamhatch.relay.overload.costs import RequestCosts
from beamhatch.relay.overload.link import LinkBudget
from beamhatch.relay.quarantine.quarantine import Quarantine
from beamhatch.relay.quarantine.talk import QuarantineGossip, QuarantineGossipDependencies
from beamhatch.relay.retries.budget import RetryBudget, RetryBudgetLimits
from beamhatch.relay.retries.caller_retries import CallerRetries
from beamhatch.relay.streams.origins import StreamOrigins
from beamhatch.relay.topology import Topology
from beamhatch.relay.tunnels.api import allow_any_hall
from beamhatch.relay.upstreams.announcements import Announcements
from beamhatch.relay.upstreams.listing import Listing
from beamhatch.relay.waiting.memory_lines import MemoryQueues
from beamhatch.relay.workspaces.admission import Admission

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping, Sequence

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.api import Dialect, Document, ListingUpdate
    from beamhatch.relay.choosing.chooser import Chooser
    from beamhatch.relay.fleet.evacuations import Evacuation
    from beamhatch.relay.model import (
        ColdTerms,
        Fingerprint,
        Incarnation,
        RequestFacts,
        RoutingTable,
        Service,
        SoftwareVersion,
        Upstream,
        UpstreamId,
    )
    from beamhatch.relay.requests.api import OpenRequest
    from beamhatch.relay.tunnels.api import HallFilter
    from beamhatch.relay.tunnels.monitor import ReachMonitor
    from beamhatch.relay.upstreams.http_client import HttpClient

COLD_PENALTY_REQUESTS = 1.0
"""Extra cost of a cold upstream, as the time that it needs for this many requests at its cold rate.

Without it, all VMs would prefer an upstream that has just started, since it is empty, although it is slow.
"""


@dataclass(slots=True)
class ReloadableSettings:
    """Settings of the platform that a reload may change."""

    retry_budget: RetryBudgetLimits = field(default_factory=RetryBudgetLimits)


@dataclass(slots=True)
class Core:
    """State of the relay on one VM."""

    clock: Clock
    journal: Journal
    tally: Tally
    dialect: Dialect
    client: HttpClient
    chooser: Chooser
    stats: UpstreamStatsRegistry
    settings: ReloadableSettings
    reach: ReachMonitor
    """Returns the handler that serves a request."""
    admission: Admission = field(default_factory=Admission)
    disabled: DisabledMechanisms = NONE_DISABLED
    listing: Listing = field(default_factory=Listing)
    announcements: Announcements = field(init=False)
    eligibility: Eligibility = field(init=False)
    phase_changes: PendingPhaseChanges = field(default_factory=PendingPhaseChanges)
    quarantine: Quarantine = field(default_factory=Quarantine)
    quarantine_gossip: QuarantineGossip = field(init=False)
    prefill_models: PrefillEstimators = field(default_factory=PrefillEstimators)
    peer_backlog: PeerBacklog = field(default_factory=PeerBacklog)
    document: Document | None = None
    started_at: float = 0.0
    """Start of the VM's relay, in monotonic seconds."""
    vm_count: int = 1
    """Number of VMs known to be alive, including this one."""
    recent_vm_count: int = 1
    """Number of VMs seen recently; shared limits are divided by it, since unreachable VMs still use their share."""
    stopping: bool = False
    """Whether new requests are refused because of a planned stop."""
    exchanges: OrderedSet[OpenRequest] = field(default_factory=OrderedSet)
    on_change: Callable[[], None] = lambda: None
    """Called when the configuration or the listing has changed."""
    on_evacuation: Callable[[], None] = lambda: None
    """Called when the evacuation of a hall has begun or ended."""
    on_failure: Callable[[], None] = lambda: None
    """Called when a request to an upstream has failed."""
    on_backlog_change: Callable[[], None] = lambda: None
    """Called when this VM's share of the prefill backlog of an engine has changed."""
    topology: Topology = field(default_factory=Topology)
    costs: RequestCosts = field(default_factory=lambda: RequestCosts(LinkBudget(0.0, 0.0)))
    """Bytes of requests on the VM's link."""
    _dropped_services: dict[ServiceName, Service] = field(default_factory=dict)
    """Services that are gone from the configuration while requests to them are open."""
    _retry_budgets: dict[ServiceName, RetryBudget] = field(default_factory=dict)
    memory_queues: MemoryQueues = field(init=False)
    _demands: defaultdict[ServiceName, DemandEstimator] = field(default_factory=lambda: defaultdict(DemandEstimator))
    _output_lengths: defaultdict[ServiceName, OutputLengths] = field(default_factory=lambda: defaultdict(OutputLengths))
    _prefill_times: defaultdict[ServiceName, PrefillTimes] = field(default_factory=lambda: defaultdict(PrefillTimes))
    _retry_schedules: defaultdict[ServiceName, RetrySchedule] = field(
        default_factory=lambda: defaultdict(RetrySchedule)
    )
    cold_log: ColdLog = field(init=False)
    origins: StreamOrigins = field(init=False)
    caller_retries: CallerRetries = field(init=False)
    _unknown_halls: set[str] = field(default_factory=set)
    """Evacuated halls that the settings do not assign to a region and that have been logged."""

    def __post_init__(self) -> None:
        """Create and connect the parts that depend on other fields."""
        self.caller_retries = CallerRetries(enabled=Mechanism.CALLER_RETRIES not in self.disabled)
        self.announcements = Announcements(self.clock, self.journal, self.tally, self.dialect, self.listing)
        self.announcements.on_restriction = self._schedule_withdrawal
        self.eligibility = Eligibility(
            self.listing,
            self.topology,
            Evacuations(self.topology),
            backoffs=self.announcements.backoffs,
            limits=self.announcements.limits,
        )
        self.announcements.limits.count_vms = lambda: self.vm_count
        self.origins = StreamOrigins(self.clock, self.journal, self.tally, self.listing.versions)
        self.cold_log = ColdLog(self.clock, self.journal, self.listing.get_cold_until)
        self.chooser.compute_cold_cost = self.compute_cold_cost
        self.memory_queues = MemoryQueues(self.clock, self.eligibility, fair=Mechanism.FAIRNESS not in self.disabled)
        self.quarantine_gossip = QuarantineGossip(
            QuarantineGossipDependencies(
                self.clock, self.journal, self.tally, self.quarantine, self.client, self.advance_waiting
            )
        )

    @property
    def table(self) -> RoutingTable | None:
        """Return the configuration in force."""
        return None if self.document is None else self.document.table

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 if there is none."""
        return 0 if self.table is None else self.table.version

    @property
    def revision(self) -> int:
        """Return the revision of the newest entry of the listing, 0 if the listing is incomplete."""
        return self.listing.newest_revision if self.listing.complete else 0

    @property
    def ready(self) -> bool:
        """Return whether requests can be served."""
        return self.document is not None and self.listing.complete and self.eligibility.evacuations.complete

    def get_caller_limits(self) -> CallerLimits:
        """Return the limits on callers."""
        return CallerLimits() if self.table is None else self.table.limits

    def apply_document(self, document: Document, source: str) -> bool:
        """Put a configuration in force and return True, unless its version is not newer than the current one."""
        version = document.table.version
        if self.table is not None and self.table.version >= version:
            if self.table.version > version:
                self.journal.write("CONFIG", "older", version=version, in_force=self.version, source=source)
            return False
        before = self.version
        self._keep_dropped_services(document.table)
        self.document = document
        self.journal.write(
            "CONFIG", "in force", version=version, before=before, source=source, routes=len(document.table.routes)
        )
        self._log_unknown_regions(document.table)
        for exchange in list(self.exchanges):
            exchange.apply_table(document.table)
        self.on_change()
        return True

    def _keep_dropped_services(self, table: RoutingTable) -> None:
        """Keep the services of open requests that a new configuration lacks, as their limits still hold."""
        known = self._dropped_services if self.table is None else {**self._dropped_services, **self.table.services}
        used = {exchange.request.service.name for exchange in self.exchanges}
        self._dropped_services = {name: known[name] for name in used if name in known and name not in table.services}

    def _log_unknown_regions(self, table: RoutingTable) -> None:
        """Log the regions that the configuration names but the settings assign no hall to."""
        unknown = sorted(region for region in table.list_named_regions() if not self.topology.has_hall_in({region}))
        if unknown:
            self.journal.write("CONFIG", "regions without halls", regions=unknown, version=table.version)

    def make_hall_filter(self, regions: Regions) -> HallFilter:
        """Return which peers a request that is limited to some regions may go through."""
        if regions is None:
            return allow_any_hall
        return lambda hall: self.topology.is_in_regions(hall, regions)

    def apply_topology(self, topology: Topology) -> None:
        """Apply changed settings of halls and regions."""
        if topology != self.topology:
            self.topology = self.eligibility.places = self.eligibility.evacuations.places = topology
            self.chooser.distances.places = topology
            self.journal.write("MAIN", "halls placed anew", halls=len(topology.regions))

    def apply_listing(self, update: ListingUpdate, source: str, *, is_snapshot: bool) -> None:
        """Apply an update of the listing.

        :param is_snapshot: whether the update is complete, so that upstreams missing from it are gone
        """
        now = self.clock.now()
        listing = self.listing
        entries = update.entries if update.authoritative else listing.exclude_gone(update.entries)
        before = {entry.id: listing.get_last_listed(entry.id) for entry in entries}
        if is_snapshot:
            changed = listing.apply_snapshot(entries, update.revision, now)
        else:
            changed = [entry for entry in entries if listing.apply(entry, now)]
        for entry in changed:
            self.journal.write("LISTING", entry.describe(), source=source, **entry.get_log_fields())
            self.phase_changes.record_listed_phase(entry.id, None if entry.upstream is None else entry.upstream.phase)
            last = before.get(entry.id)
            if entry.upstream is not None and last is not None and not entry.upstream.is_same_incarnation(last):
                self._handle_restart(entry.upstream, last)
        self.cold_log.record_cold(
            [entry.id for entry in changed if entry.upstream is not None and entry.upstream.cold_left], source
        )
        if changed:
            listing.drop_expired(now)
            self.stats.keep_only(listing.list_ids())
            self.announcements.drop_unlisted(listing.list_ids())
            self.on_change()
            self._advance_queued_streams()

    def _handle_restart(self, upstream: Upstream, before: Upstream) -> None:
        """Reset the state of an upstream that has restarted under the same id."""
        self.journal.write("LISTING", "started again", upstream=upstream.id, born=upstream.born, before=before.born)
        self.stats.get(upstream.id).reset()
        self.phase_changes.record_listed_phase(upstream.id, None)

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether an upstream is known to end soon, or is not listed any more."""
        listed = self.listing.get(upstream.id)
        return listed is None or listed.draining or self.listing.is_leaving(upstream)

    def has_restarted(self, upstream: Upstream) -> bool:
        """Return whether an upstream has restarted since and so has lost its caches and reservations."""
        newest = self.listing.get_last_listed(upstream.id)
        return newest is not None and not newest.is_same_incarnation(upstream)

    def list_usable(
        self,
        service: ServiceName,
        regions: Regions = None,
        version: SoftwareVersion | None = None,
        *,
        is_retry: bool = False,
    ) -> list[Upstream]:
        """Return the upstreams of a service that may be sent a request.

        :param regions: regions that the request may be served in; None for any
        :param version: version that began the stream that the request continues; None for any
        :param is_retry: whether its caller was refused before
        """
        now = self.clock.now()
        listed = [one for one in self._list_not_changing(service, now) if one.may_serve(version)]
        return self.eligibility.list_eligible(listed, regions, self.get_cold_terms(service), now, is_retry=is_retry)

    def describe_unresponsive(self, service: ServiceName) -> dict[str, object]:
        """Return the log fields for how many of a service's upstreams do not respond to this VM."""
        now = self.clock.now()
        unresponsive = self.stats.list_unresponsive(now)
        listed = self.listing.list_usable(service, now)
        return {"upstreams": len(listed), "unresponsive": sum(one.id in unresponsive for one in listed)}

    def _list_not_changing(self, service: ServiceName, now: float) -> list[Upstream]:
        """Return the listed upstreams of a service that are not changing their phase."""
        return self.phase_changes.exclude_changing(self.listing.list_usable(service, now), now)

    def compute_cold_wait(
        self,
        service: ServiceName,
        regions: Regions = None,
        version: SoftwareVersion | None = None,
        tried: Collection[UpstreamId] = (),
    ) -> float | None:
        """Return the seconds until this VM may send to a cold upstream again, None if no cold upstream is exhausted.

        :param version: version that began the stream that the request continues; None for any
        :param tried: upstreams that are excluded
        """
        terms = self.get_cold_terms(service)
        if terms is None:
            return None
        now = self.clock.now()
        find_obstacle = self.eligibility.get_obstacle
        listed = self._list_not_changing(service, now)
        candidates = (one for one in listed if one.may_serve(version) and one.id not in tried)
        exhausted = (one for one in candidates if find_obstacle(one, regions, terms, now) is Obstacle.COLD)
        return min((self.eligibility.get_cold_wait(one, terms, now) for one in exhausted), default=None)

    def compute_cold_cost(self, upstream: Upstream, now: float) -> float:
        """Return the extra cost of an upstream in seconds, 0 if it is not cold."""
        terms = self.get_cold_terms(upstream.service)
        if terms is None or not self.eligibility.is_cold(upstream, terms, now):
            return 0.0
        return COLD_PENALTY_REQUESTS / terms.rate

    def count_obstacles(self, service: ServiceName, regions: Regions) -> Counter[Obstacle]:
        """Return the number of a service's upstreams that each obstacle excludes."""
        now = self.clock.now()
        listed = self.listing.list_usable(service, now)
        return self.eligibility.count_obstacles(listed, regions, self.get_cold_terms(service), now)

    def get_cold_terms(self, service: ServiceName) -> ColdTerms | None:
        """Return the limit on cold upstreams of a service, by the newest version that has it; None if there is none."""
        found = None if self.table is None else self.table.services.get(service)
        found = found or self._dropped_services.get(service)
        return None if found is None else found.cold

    def get_obstacle(self, upstream: Upstream, service: ServiceName, regions: Regions = None) -> Obstacle | None:
        """Return why an upstream may not be sent a request of a service, or None if it may."""
        return self.eligibility.get_obstacle(upstream, regions, self.get_cold_terms(service), self.clock.now())

    def detect_shortage(
        self, service: ServiceName, regions: Regions = None, version: SoftwareVersion | None = None
    ) -> Shortage | None:
        """Return why no upstream of a service can respond to a request, or None if one can.

        Prefill engines are ignored, since a decode engine can process prompts itself but not the reverse. Upstreams
        in other regions and engines that are changing their phase are ignored too.

        :param version: version that began the stream that the request continues; None for any
        """
        now = self.clock.now()
        listed = [*self._list_not_changing(service, now), *self.listing.list_leaving(service)]
        answering = [
            one for one in listed if one.phase is not Phase.PREFILL and self.eligibility.is_in_regions(one, regions)
        ]
        suited = [one for one in answering if one.may_serve(version)]
        if answering and not suited:
            return Shortage(Obstacle.VERSION, VERSION_RETRY_S)
        return detect_shortage(self.eligibility, suited, regions, self.get_cold_terms(service), now)

    def reserve_retry_slot(self, service: ServiceName, shortage: Shortage) -> float:
        """Return the seconds after which a caller may retry while all upstreams of a service are at their limit."""
        now = self.clock.now()
        delay = self._retry_schedules[service].reserve(shortage.wait, shortage.rate / self.vm_count, now)
        incarnations = [one.incarnation for one in self.listing.list_usable(service, now)]
        self.announcements.limits.record_refusal(incarnations, now + delay)
        return delay

    def _schedule_withdrawal(self, life: Incarnation) -> None:
        """Withdraw requests from an upstream that accepts no more, after the data being parsed has been handled."""
        self.clock.call_later(0.0, self._withdraw_from, life)

    def _withdraw_from(self, incarnation: Incarnation) -> None:
        for exchange in list(self.exchanges):
            exchange.withdraw_from(incarnation)
        self._advance_queued()

    def apply_evacuations(self, updates: Sequence[Evacuation], source: str, *, as_of: int, is_snapshot: bool) -> None:
        """Apply updates of evacuations.

        :param as_of: revision up to which the updates are complete
        :param is_snapshot: whether they cover all halls, and not only changes after the last revision
        """
        evacuations = self.eligibility.evacuations
        now = self.clock.now()
        if is_snapshot:
            changed = evacuations.apply_snapshot(updates, as_of, now)
        else:
            changed = [one for one in updates if evacuations.apply(one, now)]
            evacuations.record_known_up_to(as_of)
        for one in changed:
            self._log_evacuation(one, source)
        if changed:
            self.on_change()
            self.on_evacuation()
            self._advance_queued()

    def _log_evacuation(self, evacuation: Evacuation, source: str) -> None:
        event = "emptied" if evacuation.active else "taken back"
        self.journal.write(
            "EVACUATION",
            event,
            hall=evacuation.hall,
            revision=evacuation.revision,
            source=source,
            under_way=self.count_requests_in(evacuation.hall),
            emptied=len(self.eligibility.evacuations.list_evacuated()),
        )
        logged = self._unknown_halls
        if (
            not self.topology.is_known(evacuation.hall)
            and evacuation.hall not in logged
            and len(logged) < MAX_UNCONFIGURED_HALLS
        ):
            logged.add(evacuation.hall)
            self.journal.write("EVACUATION", "unknown hall", hall=evacuation.hall, source=source)

    def _advance_queued(self) -> None:
        """Advance the requests that queue for decode memory of a service with a shortage, to respond to them now."""
        for key, queue in self.memory_queues.list_all():
            if self.detect_shortage(*key) is not None:
                for waiter in queue.list_all():
                    waiter.advance()

    def _advance_queued_streams(self) -> None:
        """Advance queued requests that continue a stream whose version no upstream runs any more."""
        for key, queue in self.memory_queues.list_all():
            if key.version is not None and len(queue) and self.detect_shortage(*key) is not None:
                for waiter in queue.list_all():
                    waiter.advance()

    def count_requests_in(self, hall: str) -> int:
        """Return the number of requests in progress at upstreams of a hall."""
        return sum(exchange.hall == hall for exchange in self.exchanges)

    def count_requests_in_evacuated(self) -> int:
        """Return the number of requests in progress at upstreams of evacuated halls."""
        return sum(self.count_requests_in(hall) for hall in self.eligibility.evacuations.list_evacuated())

    def apply_phase_change(self, upstream: UpstreamId, update: PhaseChangeUpdate, source: str) -> None:
        """Record that an engine was ordered to change its phase."""
        found = self.listing.get(upstream)
        if found is None or found.phase is update.phase:
            return
        if self.phase_changes.apply_update(upstream, update, self.clock.now()):
            self.journal.write(
                "LISTING",
                "changing",
                upstream=upstream,
                phase=update.phase.value,
                certain=update.confirmed,
                source=source,
            )
            self.on_change()

    def record_rejection(self, upstream: UpstreamId) -> None:
        """Record that an engine rejected a request although it should have capacity, which may confirm its change."""
        if self.phase_changes.confirm(upstream, self.clock.now()):
            self.journal.write("LISTING", "changing", upstream=upstream, certain=True, source="turned away")
            self.on_change()

    def get_retry_budget(self, service: ServiceName) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = RetryBudget(self.settings.retry_budget, self.started_at)
        budget.limits = self.settings.retry_budget
        return budget

    def get_demand(self, service: ServiceName) -> DemandEstimator:
        """Return the estimator of this VM's demand on a service."""
        return self._demands[service]

    def get_prefill_times(self, service: ServiceName) -> PrefillTimes:
        """Return the recent prefill times of a service."""
        return self._prefill_times[service]

    def get_output_lengths(self, service: ServiceName) -> OutputLengths:
        """Return the output lengths of a service."""
        return self._output_lengths[service]

    def record_output_length(self, service: ServiceName, facts: RequestFacts, tokens: int) -> None:
        """Record the length of an output."""
        if Mechanism.LEARNED_OUTPUT_LENGTHS not in self.disabled:
            self._output_lengths[service].record(facts, tokens)

    def make_demand_report(self, service: ServiceName) -> DemandReport:
        """Return this VM's demand on a service, as sent to other VMs."""
        now = self.clock.now()
        demand = self.get_demand(service)
        prefill = self.prefill_models.get_prefill(service)
        decode = self.prefill_models.get_decode(service)
        return DemandReport(
            prompt_rate=round(demand.compute_prompt_rate(now)),
            wait_rate=round(demand.compute_wait_rate(now), 2),
            mean_prompt_tokens=round(demand.mean_prompt_tokens),
            mean_answer_tokens=round(demand.mean_answer_tokens),
            mean_residence_s=round(demand.estimate_residence(now), 2),
            prefill_rate=round(prefill.model.rate) if prefill.fitted else 0.0,
            prefill_overhead_s=round(prefill.model.overhead, 3),
            decode_prefill_rate=round(decode.model.rate) if decode.fitted else 0.0,
        )

    def apply_prefill_models(self, reports: Mapping[str, DemandReport]) -> None:
        """Adopt another VM's prefill models for services for which this VM has none yet."""
        for service, report in reports.items():
            if report.prefill_rate:
                self.prefill_models.get_prefill(ServiceName(service)).adopt(
                    PrefillModel(report.prefill_overhead_s, report.prefill_rate)
                )

    def make_demand_reports(self) -> dict[str, DemandReport]:
        """Return this VM's demand on each service with engines, as sent to other VMs."""
        return {name: self.make_demand_report(name) for name in self._demands}

    def advance_waiting(self, fingerprint: Fingerprint) -> None:
        """Respond now to requests that have been put in quarantine and are not at an upstream."""
        for exchange in list(self.exchanges):
            if exchange.digests.match(fingerprint):
                exchange.replan_unless_sent()

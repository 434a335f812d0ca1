"""State shared by all requests of one VM: configuration, upstreams and open exchanges."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from beamhatch.relay.api import BadRequest
from beamhatch.relay.callers.own_answer import send_error
from beamhatch.relay.choosing.cold_watch import ColdWatch
from beamhatch.relay.choosing.eligibility import Eligibility, Obstacle
from beamhatch.relay.choosing.lack import Lack, find_lack
from beamhatch.relay.choosing.pace import EnginePaces, Pace
from beamhatch.relay.choosing.peer_work import PeerWork
from beamhatch.relay.choosing.read_times import ReadTimes
from beamhatch.relay.choosing.standing import Standings
from beamhatch.relay.engines.changing import ChangeNews, Changes
from beamhatch.relay.engines.demand import Demand
from beamhatch.relay.fleet.evacuations import MOST_UNPLACED, Evacuations
from beamhatch.relay.fleet.gossip_message import DemandReport
from beamhatch.relay.limits.returns import PacedReturns
from beamhatch.relay.mechanism import NONE_DISABLED, DisabledMechanisms, Mechanism
from beamhatch.relay.model import CallerLimits, Phase, Regions, ServiceName
from beamhatch.relay.quarantine.quarantine import Quarantine
from beamhatch.relay.quarantine.talk import QuarantineTalk, TalkNeeds
from beamhatch.relay.requests.budget import Budget, BudgetTerms
from beamhatch.relay.requests.exchange import HELD, REGION_RETRY, RelayExchange
from beamhatch.relay.requests.fingerprint import find_fingerprint
from beamhatch.relay.requests.lengths import AnswerLengths
from beamhatch.relay.requests.memory_lines import MemoryLines
from beamhatch.relay.topology import Topology
from beamhatch.relay.upstreams.announcements import Announcements
from beamhatch.relay.upstreams.listing import Listing
from beamhatch.relay.workspaces.admission import Admission, Admitted, OverQuota, Undecided

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping, Sequence

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.api import Dialect, Document, ListingUpdate
    from beamhatch.relay.callers.http_server import IncomingRequest, RequestHandler, Responder
    from beamhatch.relay.choosing.chooser import Chooser
    from beamhatch.relay.fleet.evacuations import Evacuation
    from beamhatch.relay.model import (
        ColdTerms,
        Fingerprint,
        Incarnation,
        RequestFacts,
        Route,
        RoutingTable,
        Service,
        Upstream,
        UpstreamId,
    )
    from beamhatch.relay.topology import RegionName
    from beamhatch.relay.upstreams.http_client import HttpClient
    from beamhatch.relay.upstreams.listing import Entry
    from beamhatch.relay.workspaces.admission import Decision

COLD_PENALTY_REQUESTS = 1.0
"""Extra cost of a cold upstream, as the time that it needs for this many requests at its cold rate.

Without it, all VMs would prefer an upstream that has just started, since it is empty, although it is slow.
"""

COLD_CHECK_INTERVAL_S = 1.0
"""Interval of checks for upstreams that are no longer cold, for the log; runs only while some are cold."""

MAX_LOGGED_UPSTREAMS = 8
"""Maximum number of upstreams listed in one log line; the line has the total count too."""

RETRY_TIME_LEFT_SHARE = 0.9
"""A caller with less than this share of the route's longest time left is taken for one that retries."""

STOPPING_RETRY_S = 0.15
"""Retry-After of a VM that is shutting down; the caller reaches another one."""

UNREADY_RETRY_S = 1.0
"""Retry-After of a VM that has no usable configuration yet."""

OUTDATED_RETRY_S = 0.3
"""Retry-After of a VM that may lack the newest configuration; peers send it within three round trips."""


@dataclass(slots=True)
class ReloadableSettings:
    """Settings of the platform that a reload may change."""

    retry_budget: BudgetTerms = field(default_factory=BudgetTerms)


@dataclass(frozen=True, slots=True)
class _Destination:
    """Route, service and constraints of an accepted request."""

    route: Route
    service: Service
    admitted: Admitted
    regions: Regions
    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class _Refusal:
    """Reason why a request is refused, with the status of the response."""

    status: int
    detail: str
    retry_after: float | None = None
    """Seconds after which the caller may retry."""


@dataclass(slots=True)
class Core:
    """State of the relay on one VM."""

    clock: Clock
    journal: Journal
    tally: Tally
    dialect: Dialect
    client: HttpClient
    chooser: Chooser
    stats: Standings
    settings: ReloadableSettings
    admission: Admission = field(default_factory=Admission)
    disabled: DisabledMechanisms = NONE_DISABLED
    listing: Listing = field(default_factory=Listing)
    announcements: Announcements = field(init=False)
    eligibility: Eligibility = field(init=False)
    phase_changes: Changes = field(default_factory=Changes)
    quarantine: Quarantine = field(default_factory=Quarantine)
    quarantine_gossip: QuarantineTalk = field(init=False)
    prefill_models: EnginePaces = field(default_factory=EnginePaces)
    peer_backlog: PeerWork = field(default_factory=PeerWork)
    document: Document | None = None
    started_at: float = 0.0
    """Start of the VM's relay, in monotonic seconds."""
    vm_count: int = 1
    """Number of VMs known to be alive, including this one."""
    recent_vm_count: int = 1
    """Number of VMs seen recently; shared limits are divided by it, since unreachable VMs still use their share."""
    stopping: bool = False
    """Whether new requests are refused because of a planned stop."""
    exchanges: set[RelayExchange] = field(default_factory=set)
    on_change: Callable[[], None] = lambda: None
    """Called when the configuration or the listing has changed."""
    on_evacuation: Callable[[], None] = lambda: None
    """Called when the evacuation of a hall has begun or ended."""
    on_failure: Callable[[], None] = lambda: None
    """Called when a request to an upstream has failed."""
    on_backlog_change: Callable[[], None] = lambda: None
    """Called when this VM's share of the prefill backlog of an engine has changed."""
    topology: Topology = field(default_factory=Topology)
    _retry_budgets: dict[ServiceName, Budget] = field(default_factory=dict)
    memory_queues: MemoryLines = field(init=False)
    _demands: defaultdict[ServiceName, Demand] = field(default_factory=lambda: defaultdict(Demand))
    _output_lengths: defaultdict[ServiceName, AnswerLengths] = field(default_factory=lambda: defaultdict(AnswerLengths))
    _prefill_times: defaultdict[ServiceName, ReadTimes] = field(default_factory=lambda: defaultdict(ReadTimes))
    _retry_schedules: defaultdict[ServiceName, PacedReturns] = field(default_factory=lambda: defaultdict(PacedReturns))
    cold_transitions: ColdWatch = field(default_factory=ColdWatch)
    _cold_check: Any = None
    """Timer of the next check for upstreams that are no longer cold."""
    _longest_time_left: dict[str, float] = field(default_factory=dict)
    """Longest time until a caller's deadline on each route, in seconds."""
    _unknown_halls: set[str] = field(default_factory=set)
    """Evacuated halls that the settings do not assign to a region and that have been logged."""

    def __post_init__(self) -> None:
        """Create and connect the parts that depend on other fields."""
        self.announcements = Announcements(self.clock, self.journal, self.tally, self.dialect, self.listing)
        self.announcements.on_news = self._schedule_withdrawal
        self.eligibility = Eligibility(
            self.listing,
            self.topology,
            Evacuations(self.topology),
            rests=self.announcements.rests,
            limits=self.announcements.limits,
        )
        self.announcements.limits.count_vms = lambda: self.vm_count
        self.chooser.find_cold_cost = self.compute_cold_cost
        self.memory_queues = MemoryLines(self.clock, self.eligibility, fair=Mechanism.FAIRNESS not in self.disabled)
        self.quarantine_gossip = QuarantineTalk(
            TalkNeeds(
                self.clock, self.journal, self.tally, self.quarantine, self.client.list_open, self.advance_waiting
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
        return self.listing.newest if self.listing.complete else 0

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
            return False
        before = self.version
        self.document = document
        self.journal.write(
            "CONFIG", "in force", version=version, before=before, source=source, routes=len(document.table.routes)
        )
        self._log_unknown_regions(document.table)
        for exchange in list(self.exchanges):
            exchange.take_table(document.table)
        self.on_change()
        return True

    def _log_unknown_regions(self, table: RoutingTable) -> None:
        """Log the regions that the configuration names but the settings assign no hall to."""
        unknown = sorted(region for region in table.list_named_regions() if not self.topology.has_hall_in({region}))
        if unknown:
            self.journal.write("CONFIG", "regions without halls", regions=unknown, version=table.version)

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
        entries = update.entries if update.authoritative else listing.pass_over_gone(update.entries)
        before = {entry.id: listing.find_last(entry.id) for entry in entries}
        if is_snapshot:
            changed = listing.take_whole(entries, update.revision, now)
        else:
            changed = [entry for entry in entries if listing.take(entry, now)]
        for entry in changed:
            self.journal.write("LISTING", _describe(entry), upstream=entry.id, revision=entry.revision, source=source)
            self.phase_changes.end(entry.id, None if entry.upstream is None else entry.upstream.phase)
            last = before.get(entry.id)
            if entry.upstream is not None and last is not None and not entry.upstream.is_same_incarnation(last):
                self._handle_restart(entry.upstream, last)
        self._record_cold(
            [entry for entry in changed if entry.upstream is not None and entry.upstream.cold_left], source
        )
        if changed:
            listing.forget_old(now)
            self.stats.keep_only(listing.list_ids())
            self.announcements.forget_old(listing.list_ids())
            self.on_change()

    def _handle_restart(self, upstream: Upstream, before: Upstream) -> None:
        """Reset the state of an upstream that has restarted under the same id."""
        self.journal.write(
            "LISTING", "started again", upstream=upstream.id, born=upstream.started_at_ms, before=before.started_at_ms
        )
        self.stats.get(upstream.id).begin_life()
        self.phase_changes.end(upstream.id, None)

    def has_restarted(self, upstream: Upstream) -> bool:
        """Return whether an upstream has restarted since and so has lost its caches and reservations."""
        newest = self.listing.find_last(upstream.id)
        return newest is not None and not newest.is_same_incarnation(upstream)

    def list_usable(self, service: ServiceName, regions: Regions = None, *, is_retry: bool = False) -> list[Upstream]:
        """Return the upstreams of a service that may be sent a request.

        :param regions: regions that the request may be served in; None for any
        :param is_retry: whether its caller was refused before
        """
        now = self.clock.now()
        return self.eligibility.list_eligible(
            self._list_not_changing(service, now), regions, self.get_cold_terms(service), now, owed=is_retry
        )

    def _list_not_changing(self, service: ServiceName, now: float) -> list[Upstream]:
        """Return the listed upstreams of a service that are not changing their phase."""
        return self.phase_changes.pass_over(self.listing.list_usable(service, now), now)

    def _record_cold(self, entries: Sequence[Entry], source: str) -> None:
        """Log the upstreams that became cold, and schedule the check for those that no longer are."""
        became_cold = self.cold_transitions.take([entry.id for entry in entries])
        if became_cold:
            self.journal.write(
                "COLD", "cold", count=len(became_cold), upstreams=became_cold[:MAX_LOGGED_UPSTREAMS], source=source
            )
            self._schedule_cold_check()

    def _schedule_cold_check(self) -> None:
        if self._cold_check is None and self.cold_transitions.cold:
            self._cold_check = self.clock.call_later(COLD_CHECK_INTERVAL_S, self._check_cold)

    def _check_cold(self) -> None:
        self._cold_check = None
        warm = self.cold_transitions.end(self.listing.find_cold_until, self.clock.now())
        if warm:
            self.journal.write("COLD", "warm", count=len(warm), upstreams=warm[:MAX_LOGGED_UPSTREAMS])
        self._schedule_cold_check()

    def compute_cold_wait(
        self, service: ServiceName, regions: Regions = None, tried: Collection[UpstreamId] = ()
    ) -> float | None:
        """Return the seconds until this VM may send to a cold upstream again, None if no cold upstream is exhausted.

        :param tried: upstreams that are excluded
        """
        terms = self.get_cold_terms(service)
        if terms is None:
            return None
        now = self.clock.now()
        find_obstacle = self.eligibility.find_obstacle
        candidates = (one for one in self._list_not_changing(service, now) if one.id not in tried)
        exhausted = (one for one in candidates if find_obstacle(one, regions, terms, now) is Obstacle.COLD)
        return min((self.eligibility.find_wait(one, terms, now) for one in exhausted), default=None)

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
        """Return the limit on cold upstreams of a service; None if there is none."""
        found = None if self.table is None else self.table.services.get(service)
        return None if found is None else found.cold

    def get_obstacle(self, upstream: Upstream, service: ServiceName, regions: Regions = None) -> Obstacle | None:
        """Return why an upstream may not be sent a request of a service, or None if it may."""
        return self.eligibility.find_obstacle(upstream, regions, self.get_cold_terms(service), self.clock.now())

    def detect_shortage(self, service: ServiceName, regions: Regions = None) -> Lack | None:
        """Return why no upstream of a service can respond to a request, or None if one can.

        Prefill engines are ignored, since a decode engine can process prompts itself but not the reverse. Upstreams
        in other regions and engines that are changing their phase are ignored too.
        """
        now = self.clock.now()
        listed = [*self._list_not_changing(service, now), *self.listing.list_leaving(service)]
        answering = [one for one in listed if one.phase is not Phase.PREFILL and self.eligibility.lies_in(one, regions)]
        return find_lack(self.eligibility, answering, regions, self.get_cold_terms(service), now)

    def reserve_retry_slot(self, service: ServiceName, shortage: Lack) -> float:
        """Return the seconds after which a caller may retry while all upstreams of a service are at their limit."""
        now = self.clock.now()
        delay = self._retry_schedules[service].promise(shortage.wait, shortage.pace / self.vm_count, now)
        incarnations = [one.incarnation for one in self.listing.list_usable(service, now)]
        self.announcements.limits.note_refused(incarnations, now + delay)
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
            changed = evacuations.take_whole(updates, as_of, now)
        else:
            changed = [one for one in updates if evacuations.take(one, now)]
            evacuations.note_known(as_of)
        for one in changed:
            self._log_evacuation(one, source)
        if changed:
            self.on_change()
            self.on_evacuation()
            self._advance_queued()

    def _log_evacuation(self, evacuation: Evacuation, source: str) -> None:
        event = "emptied" if evacuation.emptied else "taken back"
        self.journal.write(
            "EVACUATION",
            event,
            hall=evacuation.hall,
            revision=evacuation.revision,
            source=source,
            under_way=self.count_requests_in(evacuation.hall),
            emptied=len(self.eligibility.evacuations.list_emptied()),
        )
        logged = self._unknown_halls
        if (
            not self.topology.is_known(evacuation.hall)
            and evacuation.hall not in logged
            and len(logged) < MOST_UNPLACED
        ):
            logged.add(evacuation.hall)
            self.journal.write("EVACUATION", "unknown hall", hall=evacuation.hall, source=source)

    def _advance_queued(self) -> None:
        """Advance the requests that queue for decode memory of a service with a shortage, to respond to them now."""
        for key, queue in self.memory_queues.list_all():
            if self.detect_shortage(key.service, key.regions) is not None:
                for waiter in queue.list_all():
                    waiter.advance()

    def count_requests_in(self, hall: str) -> int:
        """Return the number of requests in progress at upstreams of a hall."""
        return sum(exchange.hall == hall for exchange in self.exchanges)

    def count_requests_in_evacuated(self) -> int:
        """Return the number of requests in progress at upstreams of evacuated halls."""
        return sum(self.count_requests_in(hall) for hall in self.eligibility.evacuations.list_emptied())

    def apply_phase_change(self, upstream: UpstreamId, update: ChangeNews, source: str) -> None:
        """Record that an engine was ordered to change its phase."""
        found = self.listing.find(upstream)
        if found is None or found.phase is update.phase:
            return
        if self.phase_changes.take(upstream, update, self.clock.now()):
            self.journal.write(
                "LISTING",
                "changing",
                upstream=upstream,
                phase=update.phase.value,
                certain=update.certain,
                source=source,
            )
            self.on_change()

    def record_rejection(self, upstream: UpstreamId) -> None:
        """Record that an engine rejected a request although it should have capacity, which may confirm its change."""
        if self.phase_changes.confirm(upstream, self.clock.now()):
            self.journal.write("LISTING", "changing", upstream=upstream, certain=True, source="turned away")
            self.on_change()

    def get_retry_budget(self, service: ServiceName) -> Budget:
        """Return the retry budget of a service."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = Budget(self.settings.retry_budget, self.started_at)
        budget.terms = self.settings.retry_budget
        return budget

    def get_demand(self, service: ServiceName) -> Demand:
        """Return the estimator of this VM's demand on a service."""
        return self._demands[service]

    def get_prefill_times(self, service: ServiceName) -> ReadTimes:
        """Return the recent prefill times of a service."""
        return self._prefill_times[service]

    def get_output_lengths(self, service: ServiceName) -> AnswerLengths:
        """Return the output lengths of a service."""
        return self._output_lengths[service]

    def record_output_length(self, service: ServiceName, facts: RequestFacts, tokens: int) -> None:
        """Record the length of an output."""
        if Mechanism.LEARNED_OUTPUT_LENGTHS not in self.disabled:
            self._output_lengths[service].note(facts, tokens)

    def make_demand_report(self, service: ServiceName) -> DemandReport:
        """Return this VM's demand on a service, as sent to other VMs."""
        now = self.clock.now()
        demand = self.get_demand(service)
        prefill = self.prefill_models.get_reading(service)
        decode = self.prefill_models.get_whole(service)
        return DemandReport(
            prompt_rate=round(demand.count_prompt_rate(now)),
            wait_rate=round(demand.count_wait_rate(now), 2),
            prompt=round(demand.prompt),
            answer=round(demand.answer),
            residence=round(demand.find_residence(now), 2),
            read_rate=round(prefill.pace.rate) if prefill.learned else 0.0,
            read_overhead=round(prefill.pace.overhead, 3),
            whole_rate=round(decode.pace.rate) if decode.learned else 0.0,
        )

    def apply_prefill_models(self, reports: Mapping[str, DemandReport]) -> None:
        """Adopt another VM's prefill models for services for which this VM has none yet."""
        for service, report in reports.items():
            if report.read_rate:
                self.prefill_models.get_reading(ServiceName(service)).take(Pace(report.read_overhead, report.read_rate))

    def make_demand_reports(self) -> dict[str, DemandReport]:
        """Return this VM's demand on each service with engines, as sent to other VMs."""
        return {name: self.make_demand_report(name) for name in self._demands}

    # --- callers -----------------------------------------------------------------------------------------------------

    def serve(self, incoming: IncomingRequest, responder: Responder) -> RequestHandler | None:
        """Start the exchange of a caller's request, or refuse it and return None."""
        facts = self.dialect.read_request(incoming.headers)
        if isinstance(facts, BadRequest):
            self._refuse(responder, _Refusal(facts.status, facts.detail), "")
            return None
        destination = self._find_destination(incoming, facts)
        if isinstance(destination, _Refusal):
            self._refuse(responder, destination, facts.id)
            return None
        self.get_retry_budget(destination.service.name).note_request(self.clock.now())
        if destination.service.engine is not None:
            answer = self.get_output_lengths(destination.service.name).find_mean(facts)
            self.get_demand(destination.service.name).note_prompt(facts.prompt_tokens, answer, self.clock.now())
        exchange = RelayExchange(
            self,
            incoming,
            responder,
            facts,
            destination.route,
            destination.service,
            destination.admitted,
            destination.fingerprint,
            destination.regions,
        )
        self.exchanges.add(exchange)
        exchange.start()
        return exchange

    def _find_destination(self, incoming: IncomingRequest, facts: RequestFacts) -> _Destination | _Refusal:
        """Return the destination of a request, or why it is refused."""
        if self.stopping:
            return _Refusal(503, "this VM is shutting down", STOPPING_RETRY_S)
        table = self.table
        if table is None or not self.ready:
            return _Refusal(503, "no configuration or listing of upstreams loaded yet", UNREADY_RETRY_S)
        route = table.find_route(incoming.host, incoming.path)
        if route is None:
            return _Refusal(404, f"no route matches in configuration version {table.version}")
        service = table.services.get(route.choose_service(facts.identity))
        if service is None:
            return _Refusal(503, "the service of the route is not configured", UNREADY_RETRY_S)
        decision = self.admission.decide(facts, route, table, self.clock.now())
        if not isinstance(decision, Admitted):
            return _make_refusal(decision, table.version)
        regions = table.get_allowed_regions(route, decision.workspace)
        refusal = None if regions is None else self._refuse_by_regions(regions, table.version)
        fingerprint = find_fingerprint(incoming, decision.workspace)
        refusal = refusal or self._refuse_quarantined(fingerprint)
        if refusal is not None:
            self.admission.give_back(decision, self.clock.now())
        return refusal or _Destination(route, service, decision, regions, fingerprint)

    def _refuse_quarantined(self, fingerprint: Fingerprint) -> _Refusal | None:
        """Return the refusal of a request in quarantine, or None if it is not in quarantine."""
        hold = self.quarantine.find_hold(fingerprint, self.clock.now())
        if hold is None:
            return None
        self.tally.count("quarantine_refusals_total")
        return _Refusal(503, f"{HELD}, fingerprint {fingerprint.hex()}", math.ceil(hold.until - self.clock.now()))

    def _refuse_by_regions(self, regions: frozenset[RegionName], version: int) -> _Refusal | None:
        """Return the refusal of a request that no hall may serve, or None if one may.

        Responds with 403 only if this VM certainly has the newest configuration and only a change of it would help;
        otherwise with 503, so that a caller retries a request that a newer version allows.
        """
        if regions and self.topology.has_hall_in(regions):
            return None
        if regions:
            self.tally.count("residency_refusals_total", "no_hall")
            named = ", ".join(sorted(regions))
            return _Refusal(503, f"no hall in an allowed region ({named})", REGION_RETRY)
        detail = f"route and workspace have no allowed region in common in configuration version {version}"
        if self.admission.may_be_behind():
            self.tally.count("residency_refusals_total", "maybe_never")
            return _Refusal(503, f"{detail}; there may be a newer version", OUTDATED_RETRY_S)
        self.tally.count("residency_refusals_total", "never")
        return _Refusal(403, detail)

    def advance_waiting(self, fingerprint: Fingerprint) -> None:
        """Advance the exchanges of a request that has been put in quarantine, to respond to them now."""
        for exchange in list(self.exchanges):
            if exchange.fingerprint == fingerprint:
                exchange.advance()

    def is_caller_retry(self, route: Route, time_left: float | None) -> bool:
        """Return whether a request is probably a retry: its deadline is clearly shorter than others on its route."""
        if time_left is None or Mechanism.CALLER_RETRIES in self.disabled:
            return False
        longest = self._longest_time_left[route.name] = max(time_left, self._longest_time_left.get(route.name, 0.0))
        return time_left < RETRY_TIME_LEFT_SHARE * longest

    def record_bad_request(self, status: int, detail: str) -> None:
        """Count and log a malformed request."""
        self.tally.count("requests_total", f"bad_{status}")
        self.journal.write("CALLER", "bad request", status=status, detail=detail)

    def _refuse(self, responder: Responder, refusal: _Refusal, request: str) -> None:
        version = None if self.table is None else self.table.version
        self.tally.count("requests_total", f"own_{refusal.status}")
        self.journal.write(
            "RELAY", "refused", request=request, status=refusal.status, reason=refusal.detail, version=version
        )
        send_error(responder, refusal.status, refusal.detail, refusal.retry_after)


def _make_refusal(decision: Decision, version: int) -> _Refusal:
    match decision:
        case OverQuota():
            return _Refusal(429, f"quota of workspace {decision.workspace} exceeded", decision.retry_after)
        case Undecided():
            return _Refusal(
                503,
                f"API key unknown in configuration version {version}; there may be a newer version",
                OUTDATED_RETRY_S,
            )
        case _:
            return _Refusal(401, f"API key missing or unknown in configuration version {version}")


def _describe(entry: Entry) -> str:
    if entry.upstream is None:
        return "gone"
    return "draining" if entry.upstream.draining else "listed"

"""What all requests of one VM share: the configuration, the upstreams, and how callers are served."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from beamhatch.relay.api import BadRequest
from beamhatch.relay.callers.error_response import send_error
from beamhatch.relay.choosing.cold_transitions import ColdTransitions
from beamhatch.relay.choosing.eligibility import Eligibility, Obstacle
from beamhatch.relay.choosing.lack import Shortage, detect_shortage
from beamhatch.relay.choosing.pace import PrefillEstimators, PrefillModel
from beamhatch.relay.choosing.peer_backlog import PeerBacklog
from beamhatch.relay.choosing.prefill_times import PrefillTimes
from beamhatch.relay.choosing.standing import UpstreamStatsRegistry
from beamhatch.relay.engines.changing import PendingPhaseChanges, PhaseChangeUpdate
from beamhatch.relay.engines.demand import DemandEstimator
from beamhatch.relay.fleet.evacuations import MAX_UNCONFIGURED_HALLS, Evacuations
from beamhatch.relay.fleet.gossip_message import DemandReport
from beamhatch.relay.limits.returns import RetrySchedule
from beamhatch.relay.mechanism import ALL_IN, Mechanism, Without
from beamhatch.relay.model import CallerLimits, Phase, Regions, ServiceName
from beamhatch.relay.places import Places
from beamhatch.relay.quarantine.quarantine import Quarantine
from beamhatch.relay.quarantine.talk import QuarantineGossip, QuarantineGossipDependencies
from beamhatch.relay.requests.budget import RetryBudget, RetryBudgetLimits
from beamhatch.relay.requests.exchange import QUARANTINE_REASON, REGION_RETRY_AFTER_S, RelayExchange
from beamhatch.relay.requests.fingerprint import compute_fingerprint
from beamhatch.relay.requests.lengths import OutputLengths
from beamhatch.relay.requests.memory_lines import MemoryQueues
from beamhatch.relay.upstreams.announcements import Announcements
from beamhatch.relay.upstreams.listing import Listing
from beamhatch.relay.workspaces.admission import Admission, Admitted, OverQuota, Undecided

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping, Sequence

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.api import Dialect, Document, ListingNews
    from beamhatch.relay.callers.http_server import IncomingRequest, RequestHandler, Responder
    from beamhatch.relay.choosing.chooser import Chooser
    from beamhatch.relay.fleet.evacuations import Evacuation
    from beamhatch.relay.model import (
        ColdTerms,
        Fingerprint,
        Life,
        RequestFacts,
        Route,
        Service,
        Table,
        Upstream,
        UpstreamId,
    )
    from beamhatch.relay.places import RegionName
    from beamhatch.relay.upstreams.http_client import HttpClient
    from beamhatch.relay.upstreams.listing import Entry
    from beamhatch.relay.workspaces.admission import Decision

COLD_COST = 1.0
"""Requests whose time, at the rate that a cold upstream bears, it costs more than a warm one.

All VMs like the emptiest upstream best, and one that has just started is empty, and slow. A quarter of it served less
on a day with 11 engines that came back cold: 0.668 in place of 0.754 (one run each).
"""

COLD_LOOK = 1.0
"""Seconds between two looks for upstreams that have become warm, for the log; there are none while all are warm."""

MOST_NAMED = 8
"""Upstreams that one line on cold ones names; of more, it tells how many."""

RETURN_SHARE = 0.9
"""Share of the longest time that callers of a route begin with, below which one is taken to ask again."""

STOPPING_RETRY = 0.15
"""Seconds after which a caller may come back to another VM."""

UNREADY_RETRY = 1.0
"""Seconds after which a caller may come back to a VM that knows no configuration yet."""

BEHIND_RETRY = 0.3
"""Seconds after which a caller may come back whose key a VM doesn't know that lacks the newest configuration.

Peers tell each other of a configuration within three round trips; 0.2 s were enough for 24 VMs on a paused clock.
"""


@dataclass(slots=True)
class Terms:
    """Bounds that the platform sets; a reload may change them."""

    budget: RetryBudgetLimits = field(default_factory=RetryBudgetLimits)


@dataclass(frozen=True, slots=True)
class _Place:
    """Where a request is served."""

    route: Route
    service: Service
    admitted: Admitted
    regions: Regions
    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class _Refusal:
    """A request that is not served here, with the status to answer it by."""

    status: int
    detail: str
    retry_after: float | None = None
    """Seconds after which the caller may come back."""


@dataclass(slots=True)
class Core:
    """The state of one VM's relay."""

    clock: Clock
    journal: Journal
    tally: Tally
    dialect: Dialect
    client: HttpClient
    chooser: Chooser
    standings: UpstreamStatsRegistry
    terms: Terms
    admission: Admission = field(default_factory=Admission)
    without: Without = ALL_IN
    listing: Listing = field(default_factory=Listing)
    announcements: Announcements = field(init=False)
    eligibility: Eligibility = field(init=False)
    changes: PendingPhaseChanges = field(default_factory=PendingPhaseChanges)
    quarantine: Quarantine = field(default_factory=Quarantine)
    quarantine_talk: QuarantineGossip = field(init=False)
    paces: PrefillEstimators = field(default_factory=PrefillEstimators)
    work: PeerBacklog = field(default_factory=PeerBacklog)
    document: Document | None = None
    started: float = 0.0
    """When the VM started, in monotonic seconds."""
    vms: int = 1
    """VMs that are known to be alive, this one among them."""
    vms_lately: int = 1
    """VMs that there were of late: a bound that all share is divided by them, as those out of touch use their part."""
    stopping: bool = False
    """True once a planned stop leaves no time for new requests."""
    exchanges: set[RelayExchange] = field(default_factory=set)
    on_change: Callable[[], None] = lambda: None
    """Called when the configuration or the listing has changed."""
    on_evacuation: Callable[[], None] = lambda: None
    """Called when a hall was emptied or taken back."""
    on_fault: Callable[[], None] = lambda: None
    """Called when an upstream failed a request."""
    on_work: Callable[[], None] = lambda: None
    """Called when this VM's part of what an engine has to read has changed."""
    places: Places = field(default_factory=Places)
    _budgets: dict[ServiceName, RetryBudget] = field(default_factory=dict)
    lines: MemoryQueues = field(init=False)
    _demands: defaultdict[ServiceName, DemandEstimator] = field(default_factory=lambda: defaultdict(DemandEstimator))
    _lengths: defaultdict[ServiceName, OutputLengths] = field(default_factory=lambda: defaultdict(OutputLengths))
    _read_times: defaultdict[ServiceName, PrefillTimes] = field(default_factory=lambda: defaultdict(PrefillTimes))
    _returns: defaultdict[ServiceName, RetrySchedule] = field(default_factory=lambda: defaultdict(RetrySchedule))
    cold_watch: ColdTransitions = field(default_factory=ColdTransitions)
    _cold_look: Any = None
    """The next look for upstreams that are warm again."""
    _patience: dict[str, float] = field(default_factory=dict)
    """The longest that a caller of each route would wait, in seconds."""
    _strange_halls: set[str] = field(default_factory=set)
    """Emptied halls that the settings don't place, as far as they were told of in the log."""

    def __post_init__(self) -> None:
        """Put together what stands between requests and upstreams."""
        self.announcements = Announcements(self.clock, self.journal, self.tally, self.dialect, self.listing)
        self.announcements.on_restriction = self._note_announcement
        self.eligibility = Eligibility(
            self.listing,
            self.places,
            Evacuations(self.places),
            backoffs=self.announcements.backoffs,
            limits=self.announcements.limits,
        )
        self.announcements.limits.count_vms = lambda: self.vms
        self.chooser.compute_cold_cost = self.find_cold_cost
        self.lines = MemoryQueues(self.clock, self.eligibility, fair=Mechanism.FAIRNESS not in self.without)
        self.quarantine_talk = QuarantineGossip(
            QuarantineGossipDependencies(
                self.clock, self.journal, self.tally, self.quarantine, self.client.list_open, self.end_waits
            )
        )

    @property
    def table(self) -> Table | None:
        """Return the configuration in force."""
        return None if self.document is None else self.document.table

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 where none is."""
        return 0 if self.table is None else self.table.version

    @property
    def revision(self) -> int:
        """Return the revision of the newest entry of the listing, 0 where there is no whole listing."""
        return self.listing.newest_revision if self.listing.complete else 0

    @property
    def ready(self) -> bool:
        """Tell whether requests can be served."""
        return self.document is not None and self.listing.complete and self.eligibility.evacuations.complete

    def find_limits(self) -> CallerLimits:
        """Return the bounds on callers."""
        return CallerLimits() if self.table is None else self.table.limits

    def take_document(self, document: Document, source: str) -> bool:
        """Put a configuration in force unless a newer one is; return whether it was."""
        version = document.table.version
        if self.table is not None and self.table.version >= version:
            return False
        before = self.version
        self.document = document
        self.journal.write(
            "CONFIG", "in force", version=version, before=before, source=source, routes=len(document.table.routes)
        )
        self._report_unknown_regions(document.table)
        for exchange in list(self.exchanges):
            exchange.apply_table(document.table)
        self.on_change()
        return True

    def _report_unknown_regions(self, table: Table) -> None:
        """Write a line on regions that the configuration names and the settings place no hall in."""
        unknown = sorted(region for region in table.list_regions() if not self.places.has_any({region}))
        if unknown:
            self.journal.write("CONFIG", "regions without halls", regions=unknown, version=table.version)

    def take_places(self, places: Places) -> None:
        """Take changed settings of where halls lie."""
        if places != self.places:
            self.places = self.eligibility.places = self.eligibility.evacuations.places = places
            self.chooser.distances.places = places
            self.journal.write("MAIN", "halls placed anew", halls=len(places.regions))

    def take_listing(self, news: ListingNews, source: str, *, whole: bool) -> None:
        """Take in news of upstreams.

        :param whole: whether what the news lack is gone
        """
        now = self.clock.now()
        listing = self.listing
        entries = news.entries if news.settled else listing.exclude_gone(news.entries)
        before = {entry.id: listing.get_last_listed(entry.id) for entry in entries}
        if whole:
            changed = listing.apply_snapshot(entries, news.at, now)
        else:
            changed = [entry for entry in entries if listing.apply(entry, now)]
        for entry in changed:
            self.journal.write("LISTING", _describe(entry), upstream=entry.id, revision=entry.revision, source=source)
            self.changes.record_listed_phase(entry.id, None if entry.upstream is None else entry.upstream.phase)
            last = before.get(entry.id)
            if entry.upstream is not None and last is not None and not entry.upstream.is_same_life(last):
                self._note_restart(entry.upstream, last)
        self._note_cold([entry for entry in changed if entry.upstream is not None and entry.upstream.cold_left], source)
        if changed:
            listing.drop_expired(now)
            self.standings.keep_only(listing.list_ids())
            self.announcements.drop_unlisted(listing.list_ids())
            self.on_change()

    def _note_restart(self, upstream: Upstream, before: Upstream) -> None:
        """Forget what was believed of an upstream that has started again under its id."""
        self.journal.write("LISTING", "started again", upstream=upstream.id, born=upstream.born, before=before.born)
        self.standings.get(upstream.id).reset()
        self.changes.record_listed_phase(upstream.id, None)

    def is_over(self, upstream: Upstream) -> bool:
        """Tell whether an upstream has started again since, so that it holds nothing of what was held there."""
        newest = self.listing.get_last_listed(upstream.id)
        return newest is not None and not newest.is_same_life(upstream)

    def list_usable(self, service: ServiceName, regions: Regions = None, *, owed: bool = False) -> list[Upstream]:
        """Return the upstreams of a service that may get new work.

        :param regions: the regions that a request may be served in; None where it may be in any
        :param owed: whether its caller was refused before
        """
        now = self.clock.now()
        return self.eligibility.list_eligible(
            self._list_staying(service, now), regions, self.find_cold_terms(service), now, is_retry=owed
        )

    def _list_staying(self, service: ServiceName, now: float) -> list[Upstream]:
        """Return the upstreams of a service that are listed and not away for a change of their part."""
        return self.changes.exclude_changing(self.listing.list_usable(service, now), now)

    def _note_cold(self, entries: Sequence[Entry], source: str) -> None:
        """Write one line on the upstreams that turned cold, and look in a while which of them are warm."""
        turned = self.cold_watch.record_cold([entry.id for entry in entries])
        if turned:
            self.journal.write("COLD", "cold", count=len(turned), upstreams=turned[:MOST_NAMED], source=source)
            self._look_soon()

    def _look_soon(self) -> None:
        if self._cold_look is None and self.cold_watch.cold:
            self._cold_look = self.clock.call_later(COLD_LOOK, self._look_for_warm)

    def _look_for_warm(self) -> None:
        self._cold_look = None
        warm = self.cold_watch.pop_warm(self.listing.get_cold_until, self.clock.now())
        if warm:
            self.journal.write("COLD", "warm", count=len(warm), upstreams=warm[:MOST_NAMED])
        self._look_soon()

    def find_cold_wait(
        self, service: ServiceName, regions: Regions = None, tried: Collection[UpstreamId] = ()
    ) -> float | None:
        """Return the seconds until one of a service's cold upstreams has room for this VM, None where none lacks it.

        :param tried: those that a request won't go to any more
        """
        terms = self.find_cold_terms(service)
        if terms is None:
            return None
        now = self.clock.now()
        find_obstacle = self.eligibility.get_obstacle
        left = (one for one in self._list_staying(service, now) if one.id not in tried)
        shut = (one for one in left if find_obstacle(one, regions, terms, now) is Obstacle.COLD)
        return min((self.eligibility.get_cold_wait(one, terms, now) for one in shut), default=None)

    def find_cold_cost(self, upstream: Upstream, now: float) -> float:
        """Return the seconds that a cold upstream costs more: the time in which it bears one more request."""
        terms = self.find_cold_terms(upstream.service)
        if terms is None or not self.eligibility.is_cold(upstream, terms, now):
            return 0.0
        return COLD_COST / terms.rate

    def count_obstacles(self, service: ServiceName, regions: Regions) -> Counter[Obstacle]:
        """Return how many upstreams of a service each obstacle keeps a request from."""
        now = self.clock.now()
        listed = self.listing.list_usable(service, now)
        return self.eligibility.count_obstacles(listed, regions, self.find_cold_terms(service), now)

    def find_cold_terms(self, service: ServiceName) -> ColdTerms | None:
        """Return what upstreams of a service bear while they are cold; None where that is as much as ever."""
        found = None if self.table is None else self.table.services.get(service)
        return None if found is None else found.cold

    def find_obstacle(self, upstream: Upstream, service: ServiceName, regions: Regions = None) -> Obstacle | None:
        """Return why an upstream may not be sent a request of a service, or None where it may."""
        return self.eligibility.get_obstacle(upstream, regions, self.find_cold_terms(service), self.clock.now())

    def find_lack(self, service: ServiceName, regions: Regions = None) -> Shortage | None:
        """Return what keeps a request from all upstreams that could answer it, None where nothing does.

        Prefill engines don't count: without a decode engine nothing is answered, and it can do without them. Upstreams
        in other regions don't either, nor engines that are changing their part.
        """
        now = self.clock.now()
        listed = [*self._list_staying(service, now), *self.listing.list_leaving(service)]
        answering = [
            one for one in listed if one.phase is not Phase.PREFILL and self.eligibility.is_in_regions(one, regions)
        ]
        return detect_shortage(self.eligibility, answering, regions, self.find_cold_terms(service), now)

    def promise_turn(self, service: ServiceName, lack: Shortage) -> float:
        """Return the seconds after which a caller is to come back that limits of all upstreams keep from a service."""
        now = self.clock.now()
        back = self._returns[service].reserve(lack.wait, lack.rate / self.vms, now)
        lives = [one.life for one in self.listing.list_usable(service, now)]
        self.announcements.limits.record_refusal(lives, now + back)
        return back

    def _note_announcement(self, life: Life) -> None:
        """Take back what was to go to an upstream that wants no more, once what is being read is read."""
        self.clock.call_later(0.0, self._withdraw_from, life)

    def _withdraw_from(self, life: Life) -> None:
        for exchange in list(self.exchanges):
            exchange.withdraw_from(life)
        self._ask_waiting()

    def take_evacuations(self, news: Sequence[Evacuation], source: str, *, as_of: int, whole: bool) -> None:
        """Take in which halls are emptied.

        :param as_of: the revision up to which the news tell everything
        :param whole: whether they are of all halls, and not just what changed behind the last revision
        """
        evacuations = self.eligibility.evacuations
        now = self.clock.now()
        if whole:
            changed = evacuations.apply_snapshot(news, as_of, now)
        else:
            changed = [one for one in news if evacuations.apply(one, now)]
            evacuations.record_known_up_to(as_of)
        for one in changed:
            self._note_evacuation(one, source)
        if changed:
            self.on_change()
            self.on_evacuation()
            self._ask_waiting()

    def _note_evacuation(self, news: Evacuation, source: str) -> None:
        event = "emptied" if news.active else "taken back"
        self.journal.write(
            "EVACUATION",
            event,
            hall=news.hall,
            revision=news.revision,
            source=source,
            under_way=self.count_in(news.hall),
            emptied=len(self.eligibility.evacuations.list_evacuated()),
        )
        strange = self._strange_halls
        if not self.places.knows(news.hall) and news.hall not in strange and len(strange) < MAX_UNCONFIGURED_HALLS:
            strange.add(news.hall)
            self.journal.write("EVACUATION", "unknown hall", hall=news.hall, source=source)

    def _ask_waiting(self) -> None:
        """Have all who wait for decode memory plan anew: where nothing is left they are answered now."""
        for key, line in self.lines.list_all():
            if self.find_lack(key.service, key.regions) is not None:
                for waiter in line.list_all():
                    waiter.advance()

    def count_in(self, hall: str) -> int:
        """Return how many requests are under way at upstreams of a hall."""
        return sum(exchange.hall == hall for exchange in self.exchanges)

    def count_in_emptied(self) -> int:
        """Return how many requests are still under way at upstreams of emptied halls."""
        return sum(self.count_in(hall) for hall in self.eligibility.evacuations.list_evacuated())

    def take_change(self, upstream: UpstreamId, news: PhaseChangeUpdate, source: str) -> None:
        """Take in that an engine was ordered to play another part."""
        found = self.listing.get(upstream)
        if found is None or found.phase is news.phase:
            return
        if self.changes.apply_update(upstream, news, self.clock.now()):
            self.journal.write(
                "LISTING", "changing", upstream=upstream, phase=news.phase.value, certain=news.confirmed, source=source
            )
            self.on_change()

    def note_turned_away(self, upstream: UpstreamId) -> None:
        """Take in that an engine turned a request away that it should have had room for."""
        if self.changes.confirm(upstream, self.clock.now()):
            self.journal.write("LISTING", "changing", upstream=upstream, certain=True, source="turned away")
            self.on_change()

    def find_budget(self, service: ServiceName) -> RetryBudget:
        """Return the budget of repeated sends to a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self.terms.budget, self.started)
        budget.limits = self.terms.budget
        return budget

    def find_demand(self, service: ServiceName) -> DemandEstimator:
        """Return what this VM's streams ask of a service."""
        return self._demands[service]

    def find_read_times(self, service: ServiceName) -> PrefillTimes:
        """Return how long the prompts of a service took of late."""
        return self._read_times[service]

    def find_lengths(self, service: ServiceName) -> OutputLengths:
        """Return how long the answers of a service become."""
        return self._lengths[service]

    def note_length(self, service: ServiceName, facts: RequestFacts, tokens: int) -> None:
        """Learn how long an answer became."""
        if Mechanism.LEARNED_ROOM not in self.without:
            self._lengths[service].record(facts, tokens)

    def report_demand(self, service: ServiceName) -> DemandReport:
        """Return what this VM's streams ask of a service, as other VMs are told."""
        now = self.clock.now()
        demand = self.find_demand(service)
        reading = self.paces.get_prefill(service)
        whole = self.paces.get_decode(service)
        return DemandReport(
            prompt_rate=round(demand.compute_prompt_rate(now)),
            wait_rate=round(demand.compute_wait_rate(now), 2),
            mean_prompt_tokens=round(demand.mean_prompt_tokens),
            mean_answer_tokens=round(demand.mean_answer_tokens),
            mean_residence_s=round(demand.estimate_residence(now), 2),
            prefill_rate=round(reading.model.rate) if reading.fitted else 0.0,
            prefill_overhead_s=round(reading.model.overhead, 3),
            decode_prefill_rate=round(whole.model.rate) if whole.fitted else 0.0,
        )

    def take_paces(self, reports: Mapping[str, DemandReport]) -> None:
        """Take over what another VM has found of the engines, where this one knows nothing yet."""
        for service, report in reports.items():
            if report.prefill_rate:
                self.paces.get_prefill(ServiceName(service)).adopt(
                    PrefillModel(report.prefill_overhead_s, report.prefill_rate)
                )

    def report_demands(self) -> dict[str, DemandReport]:
        """Return what this VM's streams ask of each service with engines."""
        return {name: self.report_demand(name) for name in self._demands}

    # --- callers -----------------------------------------------------------------------------------------------------

    def serve(self, incoming: IncomingRequest, responder: Responder) -> RequestHandler | None:
        """Serve one caller's request."""
        facts = self.dialect.read_request(incoming.headers)
        if isinstance(facts, BadRequest):
            self._refuse(responder, _Refusal(facts.status, facts.detail), "")
            return None
        place = self._find_place(incoming, facts)
        if isinstance(place, _Refusal):
            self._refuse(responder, place, facts.id)
            return None
        self.find_budget(place.service.name).record_request(self.clock.now())
        if place.service.engine is not None:
            answer = self.find_lengths(place.service.name).compute_mean_tokens(facts)
            self.find_demand(place.service.name).record_prompt(facts.prompt_tokens, answer, self.clock.now())
        exchange = RelayExchange(
            self,
            incoming,
            responder,
            facts,
            place.route,
            place.service,
            place.admitted,
            place.fingerprint,
            place.regions,
        )
        self.exchanges.add(exchange)
        exchange.start()
        return exchange

    def _find_place(self, incoming: IncomingRequest, facts: RequestFacts) -> _Place | _Refusal:
        """Return where a request is to be served, or why it is not."""
        if self.stopping:
            return _Refusal(503, "this VM stops", STOPPING_RETRY)
        table = self.table
        if table is None or not self.ready:
            return _Refusal(503, "no configuration is known yet", UNREADY_RETRY)
        route = table.find_route(incoming.host, incoming.path)
        if route is None:
            return _Refusal(404, f"no route, by version {table.version}")
        service = table.services.get(route.choose_service(facts.identity))
        if service is None:
            return _Refusal(503, "the route's service is not configured", UNREADY_RETRY)
        decision = self.admission.decide(facts, route, table, self.clock.now())
        if not isinstance(decision, Admitted):
            return _make_refusal(decision, table.version)
        regions = table.find_regions(route, decision.workspace)
        refusal = None if regions is None else self._refuse_by_regions(regions, table.version)
        fingerprint = compute_fingerprint(incoming, decision.workspace)
        refusal = refusal or self._refuse_held(fingerprint)
        if refusal is not None:
            self.admission.refund(decision, self.clock.now())
        return refusal or _Place(route, service, decision, regions, fingerprint)

    def _refuse_held(self, fingerprint: Fingerprint) -> _Refusal | None:
        """Return how a request is refused that ends what runs it, None where it does not."""
        hold = self.quarantine.get_entry(fingerprint, self.clock.now())
        if hold is None:
            return None
        self.tally.count("quarantine_refusals_total")
        return _Refusal(
            503, f"{QUARANTINE_REASON}, fingerprint {fingerprint.hex()}", math.ceil(hold.until - self.clock.now())
        )

    def _refuse_by_regions(self, regions: frozenset[RegionName], version: int) -> _Refusal | None:
        """Return how a request is refused that no hall may serve, or None where one may.

        403 is told only where nothing but another configuration can mend it and this VM is sure to have the newest:
        a 4xx to a request that another version allows is worse than a repeat.
        """
        if regions and self.places.has_any(regions):
            return None
        if regions:
            self.tally.count("residency_refusals_total", "no_hall")
            named = ", ".join(sorted(regions))
            return _Refusal(503, f"the settings place no hall in an allowed region ({named})", REGION_RETRY_AFTER_S)
        detail = f"route and workspace allow no region in common, by version {version}"
        if self.admission.may_be_outdated():
            self.tally.count("residency_refusals_total", "maybe_never")
            return _Refusal(503, f"{detail}, and there may be a newer one", BEHIND_RETRY)
        self.tally.count("residency_refusals_total", "never")
        return _Refusal(403, detail)

    def end_waits(self, fingerprint: Fingerprint) -> None:
        """Have all who wait with a request that is held now be told so."""
        for exchange in list(self.exchanges):
            if exchange.fingerprint == fingerprint:
                exchange.advance()

    def is_return(self, route: Route, time_left: float | None) -> bool:
        """Tell whether a caller seems to have asked before: others of its route began with clearly more time."""
        if time_left is None or Mechanism.RETURNS in self.without:
            return False
        longest = self._patience[route.name] = max(time_left, self._patience.get(route.name, 0.0))
        return time_left < RETURN_SHARE * longest

    def note_refused(self, status: int, detail: str) -> None:
        """Note a request that could not be read."""
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
            return _Refusal(429, f"the quota of workspace {decision.workspace} is spent", decision.retry_after)
        case Undecided():
            return _Refusal(503, f"the API key is not in version {version}, and there may be a newer one", BEHIND_RETRY)
        case _:
            return _Refusal(401, f"the API key is missing or unknown, by version {version}")


def _describe(entry: Entry) -> str:
    if entry.upstream is None:
        return "gone"
    return "draining" if entry.upstream.draining else "listed"

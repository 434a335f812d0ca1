"""What all requests of one VM share: the configuration, the upstreams, and how callers are served."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from beamhatch.relay.api import BadRequest
from beamhatch.relay.callers.own_answer import send_error
from beamhatch.relay.choosing.eligibility import Eligibility
from beamhatch.relay.choosing.pace import EnginePaces, Pace
from beamhatch.relay.choosing.peer_work import PeerWork
from beamhatch.relay.choosing.read_times import ReadTimes
from beamhatch.relay.choosing.standing import Standings
from beamhatch.relay.engines.changing import ChangeNews, Changes
from beamhatch.relay.engines.demand import Demand
from beamhatch.relay.fleet.gossip_message import DemandReport
from beamhatch.relay.mechanism import ALL_IN, Mechanism, Without
from beamhatch.relay.model import CallerLimits, ServiceName
from beamhatch.relay.places import Places
from beamhatch.relay.requests.budget import Budget, BudgetTerms
from beamhatch.relay.requests.exchange import RelayExchange
from beamhatch.relay.requests.fair_order import ArrivalOrder, StartTimeOrder
from beamhatch.relay.requests.lengths import AnswerLengths
from beamhatch.relay.requests.line import NO_CLAIM, Line
from beamhatch.relay.upstreams.listing import Listing
from beamhatch.relay.workspaces.admission import Admission, Admitted, OverQuota, Undecided

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.api import Dialect, Document, ListingNews
    from beamhatch.relay.callers.http_server import IncomingRequest, RequestHandler, Responder
    from beamhatch.relay.choosing.chooser import Chooser
    from beamhatch.relay.fleet.evacuations import Evacuation
    from beamhatch.relay.model import ColdTerms, Regions, RequestFacts, Route, Service, Table, Upstream, UpstreamId
    from beamhatch.relay.requests.line import Claim
    from beamhatch.relay.upstreams.http_client import HttpClient
    from beamhatch.relay.upstreams.listing import Entry
    from beamhatch.relay.workspaces.admission import Decision

POLL_INTERVAL = 0.04
"""Seconds between two times that the first in line asks for decode memory."""

LATE_POLL_INTERVAL = 0.2
"""Seconds between two such times where the first in line is late already.

VMs whose first can be in time ask five times as often, and so get most of the places that come free, whichever VM's
stream gave them back. With the order of the line it gains 0.015 (0.007) of a day's worth (20 days, and 15 others).
"""

FREED_DELAY = 0.003
"""Seconds in which an engine gives memory back when a stream has ended."""

LATE_FREED_DELAY = 0.06
"""Seconds behind which one that is late asks for memory that was given back: more than a poll of the others."""

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

    budget: BudgetTerms = field(default_factory=BudgetTerms)


@dataclass(frozen=True, slots=True)
class _Poll:
    """The next time that those who wait for the decode memory of a service ask for it."""

    due: float
    """Monotonic seconds."""
    timer: Any


@dataclass(frozen=True, slots=True)
class _Place:
    """Where a request is served."""

    route: Route
    service: Service
    admitted: Admitted


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
    standings: Standings
    terms: Terms
    admission: Admission = field(default_factory=Admission)
    without: Without = ALL_IN
    listing: Listing = field(default_factory=Listing)
    eligibility: Eligibility = field(init=False)
    changes: Changes = field(default_factory=Changes)
    paces: EnginePaces = field(default_factory=EnginePaces)
    work: PeerWork = field(default_factory=PeerWork)
    document: Document | None = None
    started: float = 0.0
    """When the VM started, in monotonic seconds."""
    vms: int = 1
    """VMs that are known to be alive, this one among them."""
    stopping: bool = False
    """True once a planned stop leaves no time for new requests."""
    exchanges: set[RelayExchange] = field(default_factory=set)
    on_change: Callable[[], None] = lambda: None
    """Called when the configuration or the listing has changed."""
    on_fault: Callable[[], None] = lambda: None
    """Called when an upstream failed a request."""
    on_work: Callable[[], None] = lambda: None
    """Called when this VM's part of what an engine has to read has changed."""
    places: Places = field(default_factory=Places)
    _budgets: dict[ServiceName, Budget] = field(default_factory=dict)
    _lines: defaultdict[ServiceName, Line[RelayExchange]] = field(init=False)
    _demands: defaultdict[ServiceName, Demand] = field(default_factory=lambda: defaultdict(Demand))
    _lengths: defaultdict[ServiceName, AnswerLengths] = field(default_factory=lambda: defaultdict(AnswerLengths))
    _read_times: defaultdict[ServiceName, ReadTimes] = field(default_factory=lambda: defaultdict(ReadTimes))
    _polls: dict[ServiceName, _Poll] = field(default_factory=dict)
    """The next poll of each line."""
    _patience: dict[str, float] = field(default_factory=dict)
    """The longest that a caller of each route would wait, in seconds."""

    def __post_init__(self) -> None:
        """Put together what stands between requests and upstreams."""
        self.eligibility = Eligibility(self.listing, self.places)
        self._lines = defaultdict(self._make_line)

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
        return self.listing.newest if self.listing.complete else 0

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
        for exchange in list(self.exchanges):
            exchange.take_table(document.table)
        self.on_change()
        return True

    def take_listing(self, news: ListingNews, source: str, *, whole: bool) -> None:
        """Take in news of upstreams.

        :param whole: whether what the news lack is gone
        """
        now = self.clock.now()
        listing = self.listing
        if whole:
            changed = listing.take_whole(news.entries, news.at, now)
        else:
            changed = [entry for entry in news.entries if listing.take(entry, now)]
        for entry in changed:
            self.journal.write("LISTING", _describe(entry), upstream=entry.id, revision=entry.revision, source=source)
            self.changes.end(entry.id, None if entry.upstream is None else entry.upstream.phase)
        if changed:
            listing.forget_old(now)
            self.standings.keep_only(listing.list_ids())
            self.on_change()

    def list_usable(self, service: ServiceName, regions: Regions = None) -> list[Upstream]:
        """Return the upstreams of a service that may get new work.

        :param regions: the regions that a request may be served in; None where it may be in any
        """
        now = self.clock.now()
        listed = self.changes.pass_over(self.listing.list_usable(service, now), now)
        return self.eligibility.list_eligible(listed, regions, self.find_cold_terms(service), now)

    def find_cold_terms(self, service: ServiceName) -> ColdTerms | None:
        """Return what upstreams of a service bear while they are cold; None where that is as much as ever."""
        found = None if self.table is None else self.table.services.get(service)
        return None if found is None else found.cold

    def take_evacuations(self, news: Sequence[Evacuation], source: str, *, whole_at: int | None = None) -> None:
        """Take in which halls are emptied.

        :param whole_at: the revision as of which all others are not; None where the news are of these halls alone
        """
        evacuations = self.eligibility.evacuations
        now = self.clock.now()
        if whole_at is None:
            changed = [one for one in news if evacuations.take(one, now)]
        else:
            changed = evacuations.take_whole(news, whole_at, now)
        for one in changed:
            event = "emptied" if one.emptied else "taken back"
            self.journal.write("EVACUATION", event, hall=one.hall, revision=one.revision, source=source)
        if changed:
            self.on_change()

    def take_change(self, upstream: UpstreamId, news: ChangeNews, source: str) -> None:
        """Take in that an engine was ordered to play another part."""
        found = self.listing.find(upstream)
        if found is None or found.phase is news.phase:
            return
        if self.changes.take(upstream, news, self.clock.now()):
            self.journal.write(
                "LISTING", "changing", upstream=upstream, phase=news.phase.value, certain=news.certain, source=source
            )
            self.on_change()

    def note_turned_away(self, upstream: UpstreamId) -> None:
        """Take in that an engine turned a request away that it should have had room for."""
        if self.changes.confirm(upstream, self.clock.now()):
            self.journal.write("LISTING", "changing", upstream=upstream, certain=True, source="turned away")
            self.on_change()

    def find_budget(self, service: ServiceName) -> Budget:
        """Return the budget of repeated sends to a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = Budget(self.terms.budget, self.started)
        budget.terms = self.terms.budget
        return budget

    def find_demand(self, service: ServiceName) -> Demand:
        """Return what this VM's streams ask of a service."""
        return self._demands[service]

    def find_read_times(self, service: ServiceName) -> ReadTimes:
        """Return how long the prompts of a service took of late."""
        return self._read_times[service]

    def find_lengths(self, service: ServiceName) -> AnswerLengths:
        """Return how long the answers of a service become."""
        return self._lengths[service]

    def note_length(self, service: ServiceName, facts: RequestFacts, tokens: int) -> None:
        """Learn how long an answer became."""
        if Mechanism.LEARNED_ROOM not in self.without:
            self._lengths[service].note(facts, tokens)

    def report_demand(self, service: ServiceName) -> DemandReport:
        """Return what this VM's streams ask of a service, as other VMs are told."""
        now = self.clock.now()
        demand = self.find_demand(service)
        reading = self.paces.get_reading(service)
        whole = self.paces.get_whole(service)
        return DemandReport(
            prompt_rate=round(demand.count_prompt_rate(now)),
            wait_rate=round(demand.count_wait_rate(now), 2),
            prompt=round(demand.prompt),
            answer=round(demand.answer),
            residence=round(demand.find_residence(now), 2),
            read_rate=round(reading.pace.rate) if reading.learned else 0.0,
            read_overhead=round(reading.pace.overhead, 3),
            whole_rate=round(whole.pace.rate) if whole.learned else 0.0,
        )

    def take_paces(self, reports: Mapping[str, DemandReport]) -> None:
        """Take over what another VM has found of the engines, where this one knows nothing yet."""
        for service, report in reports.items():
            if report.read_rate:
                self.paces.get_reading(ServiceName(service)).take(Pace(report.read_overhead, report.read_rate))

    def report_demands(self) -> dict[str, DemandReport]:
        """Return what this VM's streams ask of each service with engines."""
        return {name: self.report_demand(name) for name in self._demands}

    # --- decode memory -----------------------------------------------------------------------------------------------

    def find_line(self, service: ServiceName) -> Line[RelayExchange]:
        """Return the line for the decode memory of a service."""
        return self._lines[service]

    def _make_line(self) -> Line[RelayExchange]:
        return Line(ArrivalOrder() if Mechanism.FAIRNESS in self.without else StartTimeOrder())

    def wait_in_line(self, exchange: RelayExchange, late_at: float, *, owed: bool, claim: Claim = NO_CLAIM) -> None:
        """Let a request wait; it is asked to go on when it is its turn, or when it has waited for long enough.

        :param owed: whether it goes before those that came just now
        """
        service = exchange.request.service.name
        now = self.clock.now()
        self.find_line(service).join(
            exchange, late_at, now + exchange.request.longest_wait, now, owed=owed, claim=claim
        )
        self._poll_soon(service)

    def note_freed(self, service: ServiceName) -> None:
        """Note that one of this VM's streams gave its memory back: who waits has a chance now."""
        now = self.clock.now()
        line = self.find_line(service)
        line.note_freed(now)
        self._poll_in(FREED_DELAY if line.has_fresh(now) else LATE_FREED_DELAY, service)

    def _poll(self, service: ServiceName) -> None:
        self._polls.pop(service, None)
        for waiter in self.find_line(service).list_turns(self.clock.now()):
            waiter.advance()
        self._poll_soon(service)

    def _poll_soon(self, service: ServiceName) -> None:
        """Go on to poll as long as anybody waits, whoever leaves the line meanwhile."""
        fresh = self.find_line(service).has_fresh(self.clock.now())
        interval = POLL_INTERVAL if fresh else LATE_POLL_INTERVAL
        self._poll_in(interval * random.uniform(0.6, 1.4), service)

    def _poll_in(self, seconds: float, service: ServiceName) -> None:
        """Poll after some seconds, unless a poll is due before."""
        if not len(self.find_line(service)):
            return
        due = self.clock.now() + seconds
        pending = self._polls.get(service)
        if pending is not None and pending.due <= due:
            return
        if pending is not None:
            pending.timer.cancel()
        self._polls[service] = _Poll(due, self.clock.call_later(seconds, self._poll, service))

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
        self.find_budget(place.service.name).note_request(self.clock.now())
        if place.service.engine is not None:
            answer = self.find_lengths(place.service.name).find_mean(facts)
            self.find_demand(place.service.name).note_prompt(facts.prompt_tokens, answer, self.clock.now())
        exchange = RelayExchange(self, incoming, responder, facts, place.route, place.service, place.admitted)
        self.exchanges.add(exchange)
        exchange.start()
        return exchange

    def _find_place(self, incoming: IncomingRequest, facts: RequestFacts) -> _Place | _Refusal:
        """Return where a request is to be served, or why it is not."""
        if self.stopping:
            return _Refusal(503, "this VM stops", STOPPING_RETRY)
        table = self.table
        if table is None or not self.listing.complete:
            return _Refusal(503, "no configuration is known yet", UNREADY_RETRY)
        route = table.find_route(incoming.host, incoming.path)
        if route is None:
            return _Refusal(404, f"no route, by version {table.version}")
        service = table.services.get(route.choose_service(facts.identity))
        if service is None:
            return _Refusal(503, "the route's service is not configured", UNREADY_RETRY)
        decision = self.admission.decide(facts, route, table, self.clock.now())
        if isinstance(decision, Admitted):
            return _Place(route, service, decision)
        return _make_refusal(decision, table.version)

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

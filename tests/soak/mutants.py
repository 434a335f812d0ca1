"""Relays with one mechanism broken: a run with a mutant has to see its promise broken, else the checks are blind."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from beamhatch.platform import store_client
from beamhatch.platform.epochs import Epoch
from beamhatch.platform.run import main
from beamhatch.relay.choosing.eligibility import Eligibility, Obstacle
from beamhatch.relay.choosing.rests import Backoffs
from beamhatch.relay.core import Core
from beamhatch.relay.daemon import Daemon
from beamhatch.relay.limits.limits import Limits
from beamhatch.relay.model import Upstream
from beamhatch.relay.quarantine.part_attribution import PartAttribution, PartCauses
from beamhatch.relay.quarantine.quarantine import Quarantine
from beamhatch.relay.requests import exchange, planner
from beamhatch.relay.requests.exchange import RelayExchange
from beamhatch.relay.requests.request import Refuse, RelayRequest
from beamhatch.relay.requests.terms import make_terms
from beamhatch.relay.streams.stored_streams import StoredStreams
from beamhatch.relay.streams.versions import VersionHistory
from beamhatch.relay.upstreams.attempt import Attempt
from beamhatch.relay.upstreams.call import CallKind
from beamhatch.relay.upstreams.connection import Correlation, HttpExchange
from beamhatch.relay.upstreams.events import EventChecker
from beamhatch.relay.upstreams.listing import Listing
from tests.soak.promise import Promise
from tests.soak.schedule import FaultKind

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.relay.model import Handle, Route, RoutingTable
    from beamhatch.relay.requests.terms import RequestTerms
    from beamhatch.relay.workspaces.workspace import WorkspaceName


def _runs_again() -> None:
    RelayRequest.may_run_again = property(lambda self: True)  # type: ignore[assignment,method-assign]


def _promises_falsely() -> None:
    RelayExchange._fail = lambda self, step: self._refuse(Refuse(step.reason))  # type: ignore[method-assign]


def _passes_obstacle(obstacle: Obstacle) -> Callable[[], None]:
    def mutate() -> None:
        find = Eligibility.get_obstacle

        def find_other(self: Eligibility, *arguments: Any) -> Obstacle | None:
            found = find(self, *arguments)
            return None if found is obstacle else found

        Eligibility.get_obstacle = find_other  # type: ignore[method-assign,assignment]

    return mutate


def _ignores_cold() -> None:
    _passes_obstacle(Obstacle.COLD)()
    Core.compute_cold_cost = lambda self, upstream, now: 0.0  # type: ignore[method-assign]


def _uses_leaving() -> None:
    take = Listing.apply

    def take_listed(self: Listing, entry: Any, now: float) -> bool:
        if entry.upstream is not None and entry.upstream.draining:
            return False
        return take(self, entry, now)

    Listing.apply = take_listed  # type: ignore[method-assign]


def _keeps_first_configuration() -> None:
    take = Core.apply_document

    def take_first(self: Core, document: Any, source: str) -> bool:
        return self.document is None and take(self, document, source)

    Core.apply_document = take_first  # type: ignore[method-assign]


def _forgets_words() -> None:
    Listing.record_departure = lambda self, life, now: False  # type: ignore[method-assign]


def _ignores_rests() -> None:
    Backoffs.may_send_to_incarnation = lambda self, life, now: True  # type: ignore[method-assign]


def _ignores_limits() -> None:
    Limits.may_send = lambda self, life, now, **_: True  # type: ignore[method-assign]


def _counts_alone() -> None:
    Limits.apply_count = lambda self, spent, now: None  # type: ignore[method-assign]


def _ignores_epochs() -> None:
    store_client.read_epoch = lambda headers: Epoch(0)  # type: ignore[attr-defined]


def _stops_at_once() -> None:
    def stop(self: Daemon) -> None:
        self.clock.reactor.stop()

    Daemon.stop = stop  # type: ignore[method-assign]


def _keeps_memory() -> None:
    def release_held(self: RelayExchange, *, except_handles: Sequence[Handle | None] = ()) -> None:
        pass

    RelayExchange._release_held = release_held  # type: ignore[method-assign]
    RelayExchange._stop_attempt = lambda self: None  # type: ignore[method-assign]


def _passes_any_event() -> None:
    EventChecker._check_id = lambda self, text: None  # type: ignore[method-assign]


@dataclass(frozen=True, slots=True)
class Mutant:
    """A relay with one mechanism broken."""

    promise: Promise
    """What is to be seen broken."""
    faults: list[FaultKind]
    """What brings it out."""
    mutate: Callable[[], None]


def _sends_deadly() -> None:
    Quarantine.get_entry = lambda self, fingerprint, now: None  # type: ignore[method-assign]


def _ignores_parts() -> None:
    PartAttribution.find_causes = lambda self, crashes, now: PartCauses()  # type: ignore[method-assign]


def _ignores_versions() -> None:
    Upstream.may_serve = lambda self, version: True  # type: ignore[method-assign]


def _begins_at_any_version() -> None:
    planner.exclude_unrecorded = lambda usable, unrecorded, list_unavailable: usable  # type: ignore[attr-defined]


def _forgets_versions() -> None:
    VersionHistory.record_stored = lambda self, service, versions, now: None  # type: ignore[method-assign]
    VersionHistory.is_complete = lambda self, now: True  # type: ignore[method-assign]


def _forgets_streams() -> None:
    StoredStreams.find = lambda self, key: None  # type: ignore[method-assign]


def _leaves_silent() -> None:
    def leave(self: RelayExchange, attempt: Attempt) -> None:
        attempt.cancel()
        self.request.record_failed(attempt.send)
        self._attempt = None
        self.advance()

    RelayExchange.seek_alternative = leave  # type: ignore[method-assign]
    RelayExchange._may_search_on = lambda self, step: False  # type: ignore[method-assign]


def _takes_newer_routes() -> None:
    def take(
        terms: RequestTerms, admitted: Route, table: RoutingTable, path: str, workspace: WorkspaceName | None
    ) -> RequestTerms:
        return make_terms(table.find_route(admitted.host, path) or admitted, terms.regions)

    exchange.restrict_terms = take  # type: ignore[attr-defined]


def _trusts_any_refusal() -> None:
    Attempt.has_not_run = lambda self: self.head.status == 503  # type: ignore[method-assign,union-attr]


def _reuses_connections() -> None:
    Correlation.includes = lambda self, connection: False  # type: ignore[method-assign]


def _refuses_at_the_deadline() -> None:
    RelayExchange._handle_timeout = lambda self: self._refuse(Refuse("the time is over"))  # type: ignore[method-assign]


def _trusts_unnamed_refusals() -> None:
    HttpExchange.kind = property(lambda self: CallKind.IDENTIFIED)  # type: ignore[assignment,method-assign]
    Attempt.has_not_run = lambda self: self.facts.not_run  # type: ignore[method-assign,union-attr]


UPSTREAM_FAULTS = [FaultKind.UPSTREAM_FAULT]
COLD_FAULTS = [FaultKind.HALL_COLD, FaultKind.UPSTREAM_CRASH]

MUTANTS = {
    "runs-again": Mutant(Promise.ONCE, UPSTREAM_FAULTS, _runs_again),
    "takes-newer-routes": Mutant(Promise.ONCE, [FaultKind.ROUTES], _takes_newer_routes),
    "trusts-any-refusal": Mutant(Promise.ONCE, UPSTREAM_FAULTS, _trusts_any_refusal),
    "reuses-connections": Mutant(Promise.NOT_RUN, [FaultKind.LATE_REJECTIONS], _reuses_connections),
    "trusts-unnamed-refusals": Mutant(Promise.NOT_RUN, [FaultKind.LATE_REJECTIONS], _trusts_unnamed_refusals),
    "refuses-at-the-deadline": Mutant(Promise.NOT_RUN, UPSTREAM_FAULTS, _refuses_at_the_deadline),
    "promises-falsely": Mutant(Promise.NOT_RUN, UPSTREAM_FAULTS, _promises_falsely),
    "ignores-evacuations": Mutant(Promise.EMPTIED, [FaultKind.EVACUATE], _passes_obstacle(Obstacle.EMPTIED)),
    "ignores-regions": Mutant(Promise.REGION, [FaultKind.CONFIGURE], _passes_obstacle(Obstacle.REGION)),
    "ignores-cold": Mutant(Promise.COLD, COLD_FAULTS, _ignores_cold),
    "uses-leaving": Mutant(Promise.LEAVING, [FaultKind.UPSTREAM_LEAVES], _uses_leaving),
    "forgets-words": Mutant(Promise.LEAVING, [FaultKind.UPSTREAM_SAYS_LEAVING], _forgets_words),
    "ignores-rests": Mutant(Promise.RESTING, [FaultKind.UPSTREAM_RESTS], _ignores_rests),
    "ignores-limits": Mutant(Promise.LIMITED, [FaultKind.UPSTREAM_LIMITS], _ignores_limits),
    "counts-alone": Mutant(Promise.LIMITED, [FaultKind.UPSTREAM_LIMITS], _counts_alone),
    "ignores-epochs": Mutant(Promise.LEAVING, [FaultKind.STORE_RESTORED, FaultKind.UPSTREAM_LEAVES], _ignores_epochs),
    "keeps-first-configuration": Mutant(Promise.IN_FORCE, [FaultKind.CONFIGURE], _keeps_first_configuration),
    "stops-at-once": Mutant(Promise.PLANNED_STOP, [FaultKind.STOP], _stops_at_once),
    "keeps-memory": Mutant(Promise.GIVEN_BACK, UPSTREAM_FAULTS, _keeps_memory),
    "sends-deadly": Mutant(Promise.DEADLY, [FaultKind.DEADLY], _sends_deadly),
    "ignores-parts": Mutant(Promise.DEADLY, [FaultKind.DEADLY_PART], _ignores_parts),
    "ignores-versions": Mutant(Promise.VERSION, [FaultKind.UPSTREAM_CRASH, *UPSTREAM_FAULTS], _ignores_versions),
    "begins-at-any-version": Mutant(Promise.VERSION, [FaultKind.ROLLOUT], _begins_at_any_version),
    "forgets-versions": Mutant(Promise.VERSION, [FaultKind.ROLLOUT], _forgets_versions),
    "forgets-streams": Mutant(Promise.RESUMED, [FaultKind.ROLLOUT], _forgets_streams),
    "leaves-silent": Mutant(Promise.UNBROKEN, [FaultKind.UPSTREAMS_PAUSE], _leaves_silent),
    "passes-any-event": Mutant(Promise.ORDER, UPSTREAM_FAULTS, _passes_any_event),
}
"""By name."""


if __name__ == "__main__":
    MUTANTS[sys.argv.pop(1)].mutate()
    sys.exit(main())

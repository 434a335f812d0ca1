"""Relays with one mechanism broken: a run with a mutant has to see its promise broken, else the checks are blind."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from beamhatch.platform.run import main
from beamhatch.relay.choosing.eligibility import Eligibility, Obstacle
from beamhatch.relay.core import Core
from beamhatch.relay.daemon import Daemon
from beamhatch.relay.requests.exchange import RelayExchange
from beamhatch.relay.requests.request import RelayRequest
from beamhatch.relay.upstreams.events import EventChecker
from beamhatch.relay.upstreams.listing import Listing
from tests.soak.promise import Promise

if TYPE_CHECKING:
    from collections.abc import Callable


def _runs_again() -> None:
    RelayRequest.may_run_again = property(lambda self: True)  # type: ignore[assignment,method-assign]


def _promises_falsely() -> None:
    RelayExchange._fail = lambda self, step: self._refuse(step.reason)  # type: ignore[method-assign]


def _passes_obstacle(obstacle: Obstacle) -> Callable[[], None]:
    def mutate() -> None:
        find = Eligibility.find_obstacle

        def find_other(self: Eligibility, *arguments: Any) -> Obstacle | None:
            found = find(self, *arguments)
            return None if found is obstacle else found

        Eligibility.find_obstacle = find_other  # type: ignore[method-assign,assignment]

    return mutate


def _uses_leaving() -> None:
    take = Listing.take

    def take_listed(self: Listing, entry: Any, now: float) -> bool:
        if entry.upstream is not None and entry.upstream.draining:
            return False
        return take(self, entry, now)

    Listing.take = take_listed  # type: ignore[method-assign]


def _keeps_first_configuration() -> None:
    take = Core.take_document

    def take_first(self: Core, document: Any, source: str) -> bool:
        return self.document is None and take(self, document, source)

    Core.take_document = take_first  # type: ignore[method-assign]


def _stops_at_once() -> None:
    def stop(self: Daemon) -> None:
        self.clock.reactor.stop()

    Daemon.stop = stop  # type: ignore[method-assign]


def _keeps_memory() -> None:
    RelayExchange._give_back = lambda self: None  # type: ignore[method-assign]
    RelayExchange._stop_attempt = lambda self: None  # type: ignore[method-assign]


def _passes_any_event() -> None:
    EventChecker._take_id = lambda self, text: None  # type: ignore[method-assign]


MUTANTS: dict[str, tuple[Promise, Callable[[], None]]] = {
    "runs-again": (Promise.ONCE, _runs_again),
    "promises-falsely": (Promise.NOT_RUN, _promises_falsely),
    "ignores-evacuations": (Promise.EMPTIED, _passes_obstacle(Obstacle.EMPTIED)),
    "ignores-regions": (Promise.REGION, _passes_obstacle(Obstacle.REGION)),
    "ignores-cold": (Promise.COLD, _passes_obstacle(Obstacle.COLD)),
    "uses-leaving": (Promise.LEAVING, _uses_leaving),
    "keeps-first-configuration": (Promise.IN_FORCE, _keeps_first_configuration),
    "stops-at-once": (Promise.PLANNED_STOP, _stops_at_once),
    "keeps-memory": (Promise.GIVEN_BACK, _keeps_memory),
    "passes-any-event": (Promise.ORDER, _passes_any_event),
}
"""By name: the promise that is broken, and what breaks it."""


if __name__ == "__main__":
    MUTANTS[sys.argv.pop(1)][1]()
    sys.exit(main())

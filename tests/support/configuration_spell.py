"""Spells in which the ways on which VMs learn configurations are disturbed, while operators go on to write them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from itertools import product
from typing import TYPE_CHECKING

from tests.support.configuration_fleet import HALLS, Breach, ConfigurationFleet
from tests.support.configuration_troubles import TROUBLES, Trouble

if TYPE_CHECKING:
    from collections.abc import Iterator

GAPS_S = 0.0, 0.3, 1.0, 2.5
"""Pauses between two disruptions."""

VERSIONS = 6
"""Versions that are acknowledged while a disruption goes on and behind it, about one a second."""

CALM_S = 6.0
"""Seconds behind the last version; by then all that was disturbed has been in touch for a while."""

INVALID_DOCUMENTS: tuple[bytes | dict[str, object], ...] = (
    b"",
    b"{broken",
    b"[]",
    {"routes": [], "services": []},
    {"routes": {}, "services": [], "limits": {}},
    {"routes": [{"name": "r"}], "services": [], "limits": {}},
)


class Way(Enum):
    """The way on which VMs learn most versions of a spell."""

    WATCH = "watch"
    """By the store, which tells the VMs that watch it; those tell the others."""
    READ = "read"
    """By reads, as the store forgets its history again and again."""
    PEER = "peer"
    """By peers, as one VM of each hall alone reaches the store."""
    FAR_HALL = "far_hall"
    """By VMs of other halls, as no VM of one hall reaches the store."""
    RESTART = "restart"
    """At the start, as processes start anew all along."""


@dataclass(frozen=True, slots=True)
class Case:
    """The way and the disruptions of one spell."""

    way: Way
    troubles: tuple[type[Trouble], ...]
    gap_s: float = 0.0
    """Seconds between two disruptions."""
    seed: int = 0

    def __str__(self) -> str:
        """Return the id of the case in tests."""
        return "-".join([self.way.value, *(one.__name__ for one in self.troubles), str(self.gap_s), str(self.seed)])


@dataclass(frozen=True, slots=True)
class Outcome:
    """What was seen in one spell."""

    breaches: list[Breach]
    unserved: list[str]
    """VMs that did not serve a request on the route that was added last."""

    def list_of(self, fault: str) -> list[str]:
        """Return the breaches of one kind, as text."""
        return [str(one) for one in self.breaches if one.fault == fault]


def list_single_cases() -> list[Case]:
    """Return each disruption alone, on each way."""
    return [Case(way, (trouble,)) for way, trouble in product(Way, TROUBLES)]


def list_pair_cases(seed: int) -> Iterator[Case]:
    """Return all pairs of disruptions on all ways, each with a drawn pause."""
    draw = random.Random(seed)
    for way, first, second in product(Way, TROUBLES, TROUBLES):
        yield Case(way, (first, second), draw.choice(GAPS_S), seed)


def play(case: Case) -> Outcome:
    """Play a spell, and return what was seen."""
    random.seed(str(case))
    draw = random.Random(str(case))
    fleet = ConfigurationFleet(size=draw.choice([6, 9]))
    _prepare(fleet, case.way)
    fleet.platform.network.callLater(draw.choice([0.9995, 1.0005, 1.5]), fleet.acknowledge)
    fleet.run(1.0)
    for number, trouble in enumerate(case.troubles):
        if number and case.gap_s:
            fleet.run(case.gap_s)
        trouble(draw).strike(fleet)
    for number in range(VERSIONS):
        fleet.run(draw.uniform(0.4, 1.0))
        if number == VERSIONS // 2:
            fleet.write_invalid(draw.choice(INVALID_DOCUMENTS))
        fleet.run(draw.uniform(0.2, 0.4))
        fleet.acknowledge()
        if case.way is Way.RESTART:
            fleet.restart(draw.choice(sorted(fleet.platform.vms)), draw.uniform(0.1, 0.5))
    fleet.run(CALM_S)
    return Outcome(fleet.breaches, fleet.list_unserved(fleet.platform.vms))


def _prepare(fleet: ConfigurationFleet, way: Way) -> None:
    """Leave one way on which VMs learn most versions."""
    network = fleet.platform.network
    if way is Way.READ:
        _forget_again(fleet)
    elif way is Way.PEER:
        for hall in HALLS:
            watchers = [name for name in fleet.list_hall(hall) if name in fleet.list_watchers()]
            for name in set(fleet.list_hall(hall)) - set(watchers[:1]):
                network.cut_between(name, "store")
    elif way is Way.FAR_HALL:
        for name in fleet.list_hall(HALLS[-1]):
            network.cut_between(name, "store")
    fleet.run(CALM_S)


def _forget_again(fleet: ConfigurationFleet) -> None:
    fleet.platform.store.discard_history()
    fleet.platform.network.callLater(0.7, _forget_again, fleet)

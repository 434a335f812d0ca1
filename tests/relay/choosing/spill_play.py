"""A play of decode engines in three regions of two halls, whose VMs choose by the real chooser.

Requests come at random, ask up to as many engines for a place as a request may, hold it for a stream's time, and wait
in between as those in line do. What a VM knows of an engine is what its own requests saw there.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.chooser import LeastCost, Need
from beamhatch.relay.choosing.spill import CountLoad, Spill
from beamhatch.relay.choosing.standing import Load, Standings
from beamhatch.relay.mechanism import NONE_DISABLED, DisabledMechanisms
from beamhatch.relay.model import Address, Phase, ServiceName, Upstream, UpstreamId
from beamhatch.relay.requests.request import RESERVE_TRIES
from beamhatch.relay.topology import Distance, RegionName, Topology

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

REGIONS = {f"{region}{hall}": RegionName(region) for region in "xyz" for hall in "12"}
PLACES = Topology(REGIONS)
SLOTS, ENGINES, VMS = 16, 8, 12
"""Places of an engine, decode engines of a hall, VMs of a hall."""

RESIDENCE = 1.2
"""Seconds of a stream."""

USUAL = 0.5 * SLOTS * ENGINES / RESIDENCE
"""Requests a second and hall that take half of the places."""

IN_TIME, PATIENCE, POLL = 0.5, 3.0, 0.1
"""Seconds within which a place has to be found, after which a caller leaves, and between two rounds of asking."""

ASK = {Distance.SAME_HALL: 0.001, Distance.SAME_REGION: 0.0015, Distance.OTHER_REGION: 0.025}
"""Seconds of one question."""

NEED = Need("p", 5000, 5070, answer_bytes=70 * 150)


RING_LOAD = 0.85
"""Share of the places of a ring that are taken, as far as they are known, from which on the next one is looked at."""


class RingSpill(Spill):
    """Own hall, own region, others: the next ring is looked at when the nearer ones are loaded beyond a threshold."""

    def narrow(
        self, drawn: Sequence[Upstream], measure: Callable[[str], Distance], count_load: CountLoad
    ) -> Sequence[Upstream]:
        """Return the engines of the nearest rings, up to the first that has room."""
        chosen: list[Upstream] = []
        for ring in Distance:
            found = [one for one in drawn if measure(one.hall) is ring]
            chosen += found
            if found and sum(map(count_load, found)) < RING_LOAD * len(found):
                break
        return chosen

    def count_cost(self, region: RegionName, refusals: dict[RegionName, int]) -> float:
        """Return nothing: the rings decide."""
        return 0.0


@dataclass
class Count:
    """What became of the requests of one play."""

    asked: int = 0
    late: int = 0
    lost: int = 0
    places: defaultdict[Distance, int] = field(default_factory=lambda: defaultdict(int))
    questions: int = 0
    far_by_second: defaultdict[int, int] = field(default_factory=lambda: defaultdict(int))
    """Requests that ran in another region than their VM's, by the second in which they came."""

    @property
    def far(self) -> float:
        """Return the share of requests that ran in another region than their VM's."""
        return self.places[Distance.OTHER_REGION] / max(1, self.asked)

    @property
    def missed(self) -> float:
        """Return the share that was late or found no place."""
        return (self.late + self.lost) / max(1, self.asked)


@dataclass
class _Asking:
    vm: int
    came: float
    refused: list[Upstream] = field(default_factory=list)


class Play:
    """One run of some seconds."""

    def __init__(
        self,
        make_spill: Callable[[], Spill],
        seed: int,
        without: DisabledMechanisms = NONE_DISABLED,
        places: Topology = PLACES,
    ) -> None:
        self._draw = random.Random(seed)
        random.seed(seed)
        self.engines = [
            Upstream(UpstreamId(f"{hall}-{n}"), ServiceName("s"), Address("h", n), hall, False, Phase.DECODE, SLOTS)
            for hall in REGIONS
            for n in range(ENGINES)
        ]
        self.halls = [hall for hall in REGIONS for _ in range(VMS)]
        self.choosers = [
            LeastCost(Standings(), hall, without=without, places=places, spill=make_spill()) for hall in self.halls
        ]
        self.running: defaultdict[UpstreamId, int] = defaultdict(int)
        self.count = Count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()

    def run(
        self,
        seconds: float,
        find_rate: Callable[[str, float], float],
        is_gone: Callable[[str, float], bool] = lambda hall, now: False,
    ) -> Count:
        """Play.

        :param find_rate: tells the requests a second of a hall at a time, as a multiple of its usual
        :param is_gone: tells whether the engines of a hall are not listed at a time
        """
        self._is_gone = is_gone
        for hall in REGIONS:
            now = 0.0
            while (now := now + self._draw.expovariate(4 * USUAL)) < seconds:
                if self._draw.random() * 4 < find_rate(hall, now):
                    vm = self._draw.choice([n for n, own in enumerate(self.halls) if own == hall])
                    self._later(now, self._make_round(_Asking(vm, now)))
        while self._events:
            now, _, event = heapq.heappop(self._events)
            event(now)
        return self.count

    def _later(self, at: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), event))

    def _make_round(self, asking: _Asking) -> Callable[[float], None]:
        def begin(now: float) -> None:
            if now == asking.came:
                self.count.asked += 1
            asking.refused.clear()
            self._ask(asking, now)

        return begin

    def _ask(self, asking: _Asking, now: float) -> None:
        usable = [one for one in self.engines if not self._is_gone(one.hall, now)]
        chooser = self.choosers[asking.vm]
        need = replace(NEED, refused_halls=tuple(one.hall for one in asking.refused))
        tried = {one.id for one in asking.refused}
        found = chooser.choose_decode(usable, need, tried, now, handle=None, kv_tokens=SLOTS * 5070)
        if found is None:
            self._wait(asking, now)
            return
        self.count.questions += 1
        distance = PLACES.get_distance(self.halls[asking.vm], found.hall)
        self._later(now + ASK[distance], lambda at: self._answer(asking, found, at))

    def _answer(self, asking: _Asking, engine: Upstream, now: float) -> None:
        if self.running[engine.id] >= SLOTS or self._is_gone(engine.hall, now):
            asking.refused.append(engine)
            if len(asking.refused) < RESERVE_TRIES:
                self._ask(asking, now)
            else:
                self._wait(asking, now)
            return
        self._take(asking, engine, now)

    def _wait(self, asking: _Asking, now: float) -> None:
        if now - asking.came > PATIENCE:
            self.count.lost += 1
        else:
            self._later(now + POLL * self._draw.uniform(0.6, 1.4), self._make_round(asking))

    def _take(self, asking: _Asking, engine: Upstream, now: float) -> None:
        distance = PLACES.get_distance(self.halls[asking.vm], engine.hall)
        self.count.places[distance] += 1
        if distance is Distance.OTHER_REGION:
            self.count.far_by_second[int(asking.came)] += 1
        if now - asking.came > IN_TIME:
            self.count.late += 1
        self.running[engine.id] += 1
        standing = self.choosers[asking.vm].standings.get(engine.id)
        standing.begin(5070, now)

        def tell_load(at: float) -> None:
            running = self.running[engine.id]
            standing.note_load(Load(running, 0, SLOTS), at)

        def end(at: float) -> None:
            self.running[engine.id] -= 1
            standing.end(5070)

        self._later(now + 0.1, tell_load)
        self._later(now + RESIDENCE * self._draw.uniform(0.7, 1.3), end)

"""Simulation of decode engines in three regions with two halls each, and the real chooser on each VM.

Requests arrive at random, ask engines for a slot in rounds, and hold it for the duration of a stream. A VM knows
only what its own requests observe of an engine.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.chooser import LeastCostChooser, RequestRequirements
from beamhatch.relay.choosing.spill import EstimateLoad, SpillPolicy
from beamhatch.relay.choosing.standing import Load, UpstreamStatsRegistry
from beamhatch.relay.mechanism import NONE_DISABLED, DisabledMechanisms
from beamhatch.relay.model import Address, Phase, ServiceName, Upstream, UpstreamId
from beamhatch.relay.requests.obstacles import MAX_RESERVE_ATTEMPTS
from beamhatch.relay.topology import Distance, RegionName, Topology

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

REGIONS = {f"{region}{hall}": RegionName(region) for region in "xyz" for hall in "12"}
PLACES = Topology(REGIONS)
SLOTS, ENGINES, VMS = 16, 8, 12
"""Slots per engine, decode engines per hall, VMs per hall."""

STREAM_S = 1.2
"""Mean duration of a stream."""

NORMAL_RATE = 0.5 * SLOTS * ENGINES / STREAM_S
"""Requests a second in each hall that occupy half of its slots."""

IN_TIME_S, TIMEOUT_S, POLL_S = 0.5, 3.0, 0.1
"""Seconds after which a request counts as late, after which it is lost, and between two rounds of attempts."""

ROUND_TRIP_S = {Distance.SAME_HALL: 0.001, Distance.SAME_REGION: 0.0015, Distance.OTHER_REGION: 0.025}
"""Seconds from an attempt to its result."""

NEED = RequestRequirements("p", 5000, 5070, response_bytes=70 * 150)


RING_LOAD = 0.85
"""Estimated share of taken slots in a ring at and above which the next ring is added."""


class RingSpillPolicy(SpillPolicy):
    """Policy by rings (own hall, own region, others) that adds the next ring when the nearer ones exceed a load."""

    def filter(
        self, sampled: Sequence[Upstream], get_distance: Callable[[str], Distance], estimate_load: EstimateLoad
    ) -> Sequence[Upstream]:
        """Return the engines of the nearest rings, up to the first that has room."""
        chosen: list[Upstream] = []
        for ring in Distance:
            found = [one for one in sampled if get_distance(one.hall) is ring]
            chosen += found
            if found and sum(map(estimate_load, found)) < RING_LOAD * len(found):
                break
        return chosen

    def compute_cost(self, region: RegionName, refusals: dict[RegionName, int]) -> float:
        """Return 0, since only ``filter`` decides."""
        return 0.0


@dataclass
class Outcome:
    """Counts of the requests of one simulation."""

    requests: int = 0
    late: int = 0
    lost: int = 0
    placements: defaultdict[Distance, int] = field(default_factory=lambda: defaultdict(int))
    attempts: int = 0
    far_by_second: defaultdict[int, int] = field(default_factory=lambda: defaultdict(int))
    """Requests that ran in another region than their VM's, by the second of arrival."""

    @property
    def far_share(self) -> float:
        """Return the share of requests that ran in another region than their VM's."""
        return self.placements[Distance.OTHER_REGION] / max(1, self.requests)

    @property
    def late_or_lost_share(self) -> float:
        """Return the share of requests that were late or found no slot."""
        return (self.late + self.lost) / max(1, self.requests)


@dataclass
class _Request:
    vm: int
    arrived_at: float
    refused: list[Upstream] = field(default_factory=list)


class Simulation:
    """Discrete event simulation."""

    def __init__(
        self,
        make_spill: Callable[[], SpillPolicy],
        seed: int,
        without: DisabledMechanisms = NONE_DISABLED,
        places: Topology = PLACES,
    ) -> None:
        self._random = random.Random(seed)
        random.seed(seed)
        self.engines = [
            Upstream(UpstreamId(f"{hall}-{n}"), ServiceName("s"), Address("h", n), hall, False, Phase.DECODE, SLOTS)
            for hall in REGIONS
            for n in range(ENGINES)
        ]
        self.halls = [hall for hall in REGIONS for _ in range(VMS)]
        self.choosers = [
            LeastCostChooser(UpstreamStatsRegistry(), hall, without=without, places=places, spill=make_spill())
            for hall in self.halls
        ]
        self.running: defaultdict[UpstreamId, int] = defaultdict(int)
        self.outcome = Outcome()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()

    def run(
        self,
        seconds: float,
        get_rate: Callable[[str, float], float],
        is_unlisted: Callable[[str, float], bool] = lambda hall, now: False,
    ) -> Outcome:
        """Run the simulation.

        :param get_rate: returns the request rate of a hall at a time, as a multiple of ``NORMAL_RATE``
        :param is_unlisted: returns whether the engines of a hall are unlisted at a time
        """
        self._is_unlisted = is_unlisted
        for hall in REGIONS:
            now = 0.0
            while (now := now + self._random.expovariate(4 * NORMAL_RATE)) < seconds:
                if self._random.random() * 4 < get_rate(hall, now):
                    vm = self._random.choice([n for n, own in enumerate(self.halls) if own == hall])
                    self._schedule(now, self._make_round(_Request(vm, now)))
        while self._events:
            now, _, event = heapq.heappop(self._events)
            event(now)
        return self.outcome

    def _schedule(self, at: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), event))

    def _make_round(self, request: _Request) -> Callable[[float], None]:
        def begin(now: float) -> None:
            if now == request.arrived_at:
                self.outcome.requests += 1
            request.refused.clear()
            self._attempt(request, now)

        return begin

    def _attempt(self, request: _Request, now: float) -> None:
        usable = [one for one in self.engines if not self._is_unlisted(one.hall, now)]
        chooser = self.choosers[request.vm]
        need = replace(NEED, refused_halls=tuple(one.hall for one in request.refused))
        tried = {one.id for one in request.refused}
        found = chooser.choose_decode(usable, need, tried, now, handle=None, kv_tokens=SLOTS * 5070)
        if found is None:
            self._wait(request, now)
            return
        self.outcome.attempts += 1
        distance = PLACES.get_distance(self.halls[request.vm], found.hall)
        self._schedule(now + ROUND_TRIP_S[distance], lambda at: self._answer(request, found, at))

    def _answer(self, request: _Request, engine: Upstream, now: float) -> None:
        if self.running[engine.id] >= SLOTS or self._is_unlisted(engine.hall, now):
            request.refused.append(engine)
            if len(request.refused) < MAX_RESERVE_ATTEMPTS:
                self._attempt(request, now)
            else:
                self._wait(request, now)
            return
        self._run_stream(request, engine, now)

    def _wait(self, request: _Request, now: float) -> None:
        if now - request.arrived_at > TIMEOUT_S:
            self.outcome.lost += 1
        else:
            self._schedule(now + POLL_S * self._random.uniform(0.6, 1.4), self._make_round(request))

    def _run_stream(self, request: _Request, engine: Upstream, now: float) -> None:
        distance = PLACES.get_distance(self.halls[request.vm], engine.hall)
        self.outcome.placements[distance] += 1
        if distance is Distance.OTHER_REGION:
            self.outcome.far_by_second[int(request.arrived_at)] += 1
        if now - request.arrived_at > IN_TIME_S:
            self.outcome.late += 1
        self.running[engine.id] += 1
        stats = self.choosers[request.vm].stats.get(engine.id)
        stats.record_start(5070, now)

        def report_load(at: float) -> None:
            running = self.running[engine.id]
            stats.record_load(Load(running, 0, SLOTS), at)

        def end(at: float) -> None:
            self.running[engine.id] -= 1
            stats.record_end(5070)

        self._schedule(now + 0.1, report_load)
        self._schedule(now + STREAM_S * self._random.uniform(0.7, 1.3), end)

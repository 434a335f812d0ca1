"""Choose upstreams: the least predicted cost, in seconds."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.distance import PLAIN_BYTES, UNTOLD_CACHE, CacheFacts, Distances
from beamhatch.relay.choosing.pace import EnginePaces
from beamhatch.relay.choosing.peer_work import PeerWork
from beamhatch.relay.choosing.spill import PredictedSpill, Spill
from beamhatch.relay.mechanism import NONE_DISABLED, DisabledMechanisms, Mechanism
from beamhatch.relay.model import Handle, Phase, Upstream, UpstreamId, hash_to_fraction
from beamhatch.relay.topology import Distance, Topology

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.relay.choosing.standing import Standing, Standings

SILENT_COST = 30.0
"""Seconds: an upstream that does not answer is used only where there is no other."""

FAULT_COST = 1.5
"""Seconds that an upstream which fails everything costs more than one that fails nothing."""

LAPSE_COST = 2.0
"""Seconds that a prefill engine whose handles lapse at once costs more: a prompt read in vain, and read again."""

BUSY_COST = 1.0
"""Seconds that an upstream which has just turned a request away costs more."""

SESSION_GAIN = 0.08
"""Seconds by which the engine that would have a prompt's parts goes before others."""

DECODE_STEP_COST = 0.012
"""Seconds by which each further request at a decode engine slows one down."""

KV_FILL = 0.85
"""Share of a decode engine's KV memory above which it is used only where there is no other."""

DRAWN_AT_ONCE = 64
"""Upstreams of both parts that are looked through for these."""

LOOKED_AT = 12
"""Upstreams that are weighed for one choice at the most; of more, as many are drawn at random."""

NEAR_DRAWN = {Distance.SAME_HALL: 4, Distance.SAME_REGION: 8}
"""Of these, how many are drawn up to a distance, where there are as many.

Of 60 engines in six halls, a draw from anywhere has two of the own hall in the mean, and none in one of twelve draws.
"""

FULL_COST = 5.0
"""Seconds that a decode engine without room costs more: longer than streams take, so that it is the last choice."""

FIRST_LATENCY = 0.06
"""Seconds that a plain service is thought to take before any answer was seen."""


@dataclass(frozen=True, slots=True)
class Need:
    """What a request needs of an upstream."""

    identity: str
    prompt_tokens: int = 0
    tokens: int = 0
    """Prompt and answer together."""
    cache: CacheFacts = UNTOLD_CACHE
    """What moving the prompt's KV cache takes."""
    body_bytes: int = 0
    """Bytes of its body."""
    answer_bytes: int = 0
    """Bytes that its answer is thought to have."""
    decode_hall: str = ""
    """The hall of the decode engine that has memory for it; empty where there is none yet."""
    refused_halls: tuple[str, ...] = ()
    """The hall of each decode engine that had no memory in this round."""


class Chooser(ABC):
    """Chooses among usable upstreams; it only looks."""

    def __init__(
        self,
        standings: Standings,
        hall: str,
        paces: EnginePaces | None = None,
        work: PeerWork | None = None,
        without: DisabledMechanisms = NONE_DISABLED,
        places: Topology | None = None,
        spill: Spill | None = None,
    ) -> None:
        self.standings = standings
        self.distances = Distances(hall, places or Topology(), Mechanism.DISTANCE_COST not in without)
        self._spill = spill or PredictedSpill()
        self._spills = Mechanism.SPILL not in without
        self._draws_near = Mechanism.NEAR_CANDIDATES not in without
        self.paces = EnginePaces() if paces is None else paces
        self.work = PeerWork() if work is None else work
        self.find_cold_cost: Callable[[Upstream, float], float] = _find_no_cost
        """Returns the seconds that an upstream costs more as it is cold."""
        self._session_gain = 0.0 if Mechanism.CACHE_AFFINITY in without else SESSION_GAIN
        self._fault_cost = 0.0 if Mechanism.FAILURE_COST in without else FAULT_COST

    @property
    def hall(self) -> str:
        """Return the VM's hall."""
        return self.distances.hall

    @abstractmethod
    def choose_prefill(
        self, usable: Sequence[Upstream], need: Need, tried: set[UpstreamId], now: float
    ) -> Upstream | None:
        """Return a prefill engine, or None where there is none to ask."""

    @abstractmethod
    def choose_decode(
        self,
        usable: Sequence[Upstream],
        need: Need,
        tried: set[UpstreamId],
        now: float,
        *,
        handle: Handle | None,
        kv_tokens: int,
    ) -> Upstream | None:
        """Return a decode engine, near the engine that holds the KV cache where there is one."""

    @abstractmethod
    def predict_prefill(self, upstream: Upstream, need: Need, now: float) -> float:
        """Return the seconds until a prefill engine has read a prompt."""

    @abstractmethod
    def predict_whole(self, upstream: Upstream, need: Need, now: float) -> float:
        """Return the seconds until a decode engine has read a prompt itself."""

    def is_unreachable(self, upstream: Upstream, now: float) -> bool:
        """Tell whether a choice is known to answer nobody, so that there is no sense in sending it one more request."""
        return self.standings.get(upstream.id).is_unreachable(now)

    @abstractmethod
    def choose_plain(self, usable: Sequence[Upstream], tried: set[UpstreamId], now: float) -> Upstream | None:
        """Return a replica of a plain service."""


class LeastCost(Chooser):
    """Predicts the seconds until each upstream would be done, with a price on faults and distance."""

    def choose_prefill(
        self, usable: Sequence[Upstream], need: Need, tried: set[UpstreamId], now: float
    ) -> Upstream | None:
        """Return the prefill engine that is thought to be done first."""
        decode_hall = need.decode_hall or self.hall
        candidates = self._draw(usable, Phase.PREFILL, tried, now, decode_hall)
        if not candidates:
            return None
        home = max(candidates, key=lambda one: hash_to_fraction(f"{need.identity}/{one.id}"))

        def count_place(hall: str) -> float:
            way = self.distances.count_way(hall, need.body_bytes)
            return way + self.distances.count_move(hall, decode_hall, need.cache)

        places = {hall: count_place(hall) for hall in {one.hall for one in candidates}}

        def count_cost(one: Upstream) -> float:
            gain = self._session_gain if one is home else 0.0
            return self.predict_prefill(one, need, now) + places[one.hall] - gain + self.find_cold_cost(one, now)

        return min(candidates, key=count_cost)

    def predict_prefill(self, upstream: Upstream, need: Need, now: float) -> float:
        """Return the seconds until a prefill engine has read a prompt, with a price on its faults."""
        standing = self.standings.get(upstream.id)
        ahead = self._count_ahead(upstream, need, now)
        lapse = LAPSE_COST if now < standing.lapsed_until else 0.0
        pace = self.paces.get_reading(upstream.service).pace
        return pace.predict(ahead + need.prompt_tokens) + lapse + self._count_faults(standing, now)

    def predict_whole(self, upstream: Upstream, need: Need, now: float) -> float:
        """Return the seconds until a decode engine has read a prompt itself, with a price on its faults."""
        standing = self.standings.get(upstream.id)
        ahead = standing.reading + self.work.count_tokens(upstream.id, now)
        pace = self.paces.get_whole(upstream.service).pace
        return pace.predict(ahead + need.prompt_tokens) + self._count_faults(standing, now)

    def _count_ahead(self, upstream: Upstream, need: Need, now: float) -> float:
        """Return the tokens that a prefill engine has to read first, its own load and peers' words weighed."""
        standing = self.standings.get(upstream.id)
        others = max(standing.count_others(now) * need.prompt_tokens, self.work.count_tokens(upstream.id, now))
        return standing.tokens + others

    def choose_decode(
        self,
        usable: Sequence[Upstream],
        need: Need,
        tried: set[UpstreamId],
        now: float,
        *,
        handle: Handle | None,
        kv_tokens: int,
    ) -> Upstream | None:
        """Return the decode engine with the least work, near the VM and the handle where that costs nothing."""
        candidates: Sequence[Upstream] = self._draw(usable, Phase.DECODE, tried, now, self.hall)
        find_region = self.distances.places.get_region
        refusals = Counter(find_region(hall) for hall in need.refused_halls)
        if self._spills:
            refused = set(need.refused_halls)
            candidates = self._spill.narrow(
                candidates,
                self.distances.measure,
                lambda one: 1.0 if one.hall in refused else self._count_load(one, now),
            )

        def count_place(hall: str) -> float:
            cost = self.distances.count_way(hall, need.body_bytes + need.answer_bytes)
            if handle is not None:
                cost += self.distances.count_move(handle.upstream.hall, hall, need.cache)
            if refusals and self._spills:
                cost += self._spill.count_cost(find_region(hall), refusals)
            return cost

        places = {hall: count_place(hall) for hall in {one.hall for one in candidates}}

        def count_cost(one: Upstream) -> float:
            standing = self.standings.get(one.id)
            running = standing.running + standing.count_others(now)
            full = FULL_COST if standing.tokens + need.tokens > KV_FILL * kv_tokens else 0.0
            cold = self.find_cold_cost(one, now)
            return running * DECODE_STEP_COST + places[one.hall] + full + cold + self._count_faults(standing, now)

        return min(candidates, key=count_cost, default=None)

    def _count_load(self, upstream: Upstream, now: float) -> float:
        """Return the share of an engine's places that are known to be taken."""
        standing = self.standings.get(upstream.id)
        return (standing.running + standing.count_others(now)) / max(1, upstream.slots)

    def choose_plain(self, usable: Sequence[Upstream], tried: set[UpstreamId], now: float) -> Upstream | None:
        """Return the replica with the shortest predicted time."""
        candidates = self._draw(usable, None, tried, now, self.hall)
        places = {hall: self.distances.count_way(hall, PLAIN_BYTES) for hall in {one.hall for one in candidates}}

        def count_cost(one: Upstream) -> float:
            standing = self.standings.get(one.id)
            running = standing.running + standing.count_others(now)
            latency = standing.latency or FIRST_LATENCY
            work = latency * (1 + running / max(1, one.slots))
            return work + places[one.hall] + self.find_cold_cost(one, now) + self._count_faults(standing, now)

        return min(candidates, key=count_cost, default=None)

    def _draw(
        self, usable: Sequence[Upstream], phase: Phase | None, tried: set[UpstreamId], now: float, hall: str
    ) -> list[Upstream]:
        """Return those that are weighed: all of a small pool, some of a large one, most of them near a hall."""
        drawn = usable if len(usable) <= DRAWN_AT_ONCE else random.sample(usable, DRAWN_AT_ONCE)
        fitting = self._fit(drawn, phase, tried, now)
        if not fitting and drawn is not usable:
            fitting = self._fit(usable, phase, tried, now)
        if len(fitting) <= LOOKED_AT:
            return fitting
        return self._draw_near(fitting, hall) if self._draws_near else random.sample(fitting, LOOKED_AT)

    def _draw_near(self, fitting: list[Upstream], hall: str) -> list[Upstream]:
        """Return some from near a hall and some from anywhere, so that far ones are known when near ones are full."""
        measure = self.distances.places.get_distance
        distances = {found: measure(hall, found) for found in {one.hall for one in fitting}}
        rings: dict[Distance, list[Upstream]] = {distance: [] for distance in Distance}
        for one in fitting:
            rings[distances[one.hall]].append(one)
        drawn: list[Upstream] = []
        rest = rings[Distance.OTHER_REGION]
        for distance, most in NEAR_DRAWN.items():
            ring = rings[distance]
            wanted = most - len(drawn)
            first = random.randrange(len(ring)) if len(ring) > wanted else 0
            turned = ring[first:] + ring[:first]
            drawn += turned[:wanted]
            rest += turned[wanted:]
        return drawn + random.sample(rest, LOOKED_AT - len(drawn))

    def _fit(
        self, usable: Sequence[Upstream], phase: Phase | None, tried: set[UpstreamId], now: float
    ) -> list[Upstream]:
        return [one for one in usable if phase in (None, one.phase) and self._may_ask(one, tried, now)]

    def _may_ask(self, upstream: Upstream, tried: set[UpstreamId], now: float) -> bool:
        return upstream.id not in tried and now >= self.standings.get(upstream.id).misdirected_until

    def _count_faults(self, standing: Standing, now: float) -> float:
        silent = SILENT_COST if now < standing.silent_until else 0.0
        busy = BUSY_COST if now < standing.busy_until else 0.0
        return silent + busy + self._fault_cost * standing.get_faults(now)


def _find_no_cost(upstream: Upstream, now: float) -> float:
    return 0.0

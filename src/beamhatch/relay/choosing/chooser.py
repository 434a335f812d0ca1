"""Choose upstreams: the least predicted cost, in seconds."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.distance import PLAIN_BYTES, UNKNOWN_CACHE_TRANSFER, CacheTransfer, DistanceCosts
from beamhatch.relay.choosing.peer_backlog import PeerBacklog
from beamhatch.relay.choosing.prefill_model import PrefillEstimators
from beamhatch.relay.choosing.spill import CostSpillPolicy, SpillPolicy
from beamhatch.relay.mechanism import ALL_IN, Mechanism, Without
from beamhatch.relay.model import Handle, Phase, Upstream, UpstreamId, hash_fraction
from beamhatch.relay.places import Distance, Places

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.relay.choosing.upstream_stats import UpstreamStats, UpstreamStatsRegistry

UNRESPONSIVE_COST_S = 30.0
"""Seconds: an upstream that does not answer is used only where there is no other."""

FAILURE_COST_S = 1.5
"""Seconds that an upstream which fails everything costs more than one that fails nothing."""

LAPSE_COST_S = 2.0
"""Seconds that a prefill engine whose handles lapse at once costs more: a prompt read in vain, and read again."""

BUSY_COST_S = 1.0
"""Seconds that an upstream which has just turned a request away costs more."""

AFFINITY_BONUS_S = 0.08
"""Seconds by which the engine that would have a prompt's parts goes before others."""

DECODE_STEP_COST_S = 0.012
"""Seconds by which each further request at a decode engine slows one down."""

MAX_KV_FILL = 0.85
"""Share of a decode engine's KV memory above which it is used only where there is no other."""

SAMPLE_SIZE = 64
"""Upstreams of both parts that are looked through for these."""

MAX_CANDIDATES = 12
"""Upstreams that are weighed for one choice at the most; of more, as many are drawn at random."""

NEAR_CANDIDATES = {Distance.SAME_HALL: 4, Distance.SAME_REGION: 8}
"""Of these, how many are drawn up to a distance, where there are as many.

Of 60 engines in six halls, a draw from anywhere has two of the own hall in the mean, and none in one of twelve draws.
"""

FULL_COST_S = 5.0
"""Seconds that a decode engine without room costs more: longer than streams take, so that it is the last choice."""

DEFAULT_LATENCY_S = 0.06
"""Seconds that a plain service is thought to take before any answer was seen."""


@dataclass(frozen=True, slots=True)
class Need:
    """What a request needs of an upstream."""

    identity: str
    prompt_tokens: int = 0
    tokens: int = 0
    """Prompt and answer together."""
    cache: CacheTransfer = UNKNOWN_CACHE_TRANSFER
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
        stats: UpstreamStatsRegistry,
        hall: str,
        prefill_models: PrefillEstimators | None = None,
        peer_backlog: PeerBacklog | None = None,
        without: Without = ALL_IN,
        places: Places | None = None,
        spill: SpillPolicy | None = None,
    ) -> None:
        self.stats = stats
        self.distances = DistanceCosts(hall, places or Places(), Mechanism.HALL_COST not in without)
        self._spill = spill or CostSpillPolicy()
        self._spill_enabled = Mechanism.SPILL not in without
        self._prefers_near = Mechanism.NEAR_DRAW not in without
        self.prefill_models = PrefillEstimators() if prefill_models is None else prefill_models
        self.peer_backlog = PeerBacklog() if peer_backlog is None else peer_backlog
        self.compute_cold_cost: Callable[[Upstream, float], float] = _find_no_cost
        """Returns the seconds that an upstream costs more as it is cold."""
        self._affinity_bonus = 0.0 if Mechanism.SESSION_GAIN in without else AFFINITY_BONUS_S
        self._failure_cost = 0.0 if Mechanism.FAULT_COST in without else FAILURE_COST_S

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
    def predict_decode_prefill(self, upstream: Upstream, need: Need, now: float) -> float:
        """Return the seconds until a decode engine has read a prompt itself."""

    def is_unreachable(self, upstream: Upstream, now: float) -> bool:
        """Tell whether a choice is known to answer nobody, so that there is no sense in sending it one more request."""
        return self.stats.get(upstream.id).is_unreachable(now)

    @abstractmethod
    def choose_plain(self, usable: Sequence[Upstream], tried: set[UpstreamId], now: float) -> Upstream | None:
        """Return a replica of a plain service."""


class LeastCostChooser(Chooser):
    """Predicts the seconds until each upstream would be done, with a price on faults and distance."""

    def choose_prefill(
        self, usable: Sequence[Upstream], need: Need, tried: set[UpstreamId], now: float
    ) -> Upstream | None:
        """Return the prefill engine that is thought to be done first."""
        decode_hall = need.decode_hall or self.hall
        candidates = self._sample(usable, Phase.PREFILL, tried, now, decode_hall)
        if not candidates:
            return None
        home = max(candidates, key=lambda one: hash_fraction(f"{need.identity}/{one.id}"))

        def count_place(hall: str) -> float:
            way = self.distances.compute_request_cost(hall, need.body_bytes)
            return way + self.distances.compute_transfer_cost(hall, decode_hall, need.cache)

        places = {hall: count_place(hall) for hall in {one.hall for one in candidates}}

        def count_cost(one: Upstream) -> float:
            gain = self._affinity_bonus if one is home else 0.0
            return self.predict_prefill(one, need, now) + places[one.hall] - gain + self.compute_cold_cost(one, now)

        return min(candidates, key=count_cost)

    def predict_prefill(self, upstream: Upstream, need: Need, now: float) -> float:
        """Return the seconds until a prefill engine has read a prompt, with a price on its faults."""
        standing = self.stats.get(upstream.id)
        ahead = self._estimate_tokens_ahead(upstream, need, now)
        lapse = LAPSE_COST_S if now < standing.lapsed_until else 0.0
        pace = self.prefill_models.get_prefill(upstream.service).model
        return pace.predict(ahead + need.prompt_tokens) + lapse + self._compute_failure_cost(standing, now)

    def predict_decode_prefill(self, upstream: Upstream, need: Need, now: float) -> float:
        """Return the seconds until a decode engine has read a prompt itself, with a price on its faults."""
        standing = self.stats.get(upstream.id)
        ahead = standing.pending_prefill_tokens + self.peer_backlog.count_tokens(upstream.id, now)
        pace = self.prefill_models.get_decode(upstream.service).model
        return pace.predict(ahead + need.prompt_tokens) + self._compute_failure_cost(standing, now)

    def _estimate_tokens_ahead(self, upstream: Upstream, need: Need, now: float) -> float:
        """Return the tokens that a prefill engine has to read first, its own load and peers' words weighed."""
        standing = self.stats.get(upstream.id)
        others = max(
            standing.estimate_other_requests(now) * need.prompt_tokens, self.peer_backlog.count_tokens(upstream.id, now)
        )
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
        candidates: Sequence[Upstream] = self._sample(usable, Phase.DECODE, tried, now, self.hall)
        find_region = self.distances.places.find_region
        refusals = Counter(find_region(hall) for hall in need.refused_halls)
        if self._spill_enabled:
            refused = set(need.refused_halls)
            candidates = self._spill.filter(
                candidates,
                self.distances.measure,
                lambda one: 1.0 if one.hall in refused else self._estimate_load(one, now),
            )

        def count_place(hall: str) -> float:
            cost = self.distances.compute_request_cost(hall, need.body_bytes + need.answer_bytes)
            if handle is not None:
                cost += self.distances.compute_transfer_cost(handle.upstream.hall, hall, need.cache)
            if refusals and self._spill_enabled:
                cost += self._spill.compute_cost(find_region(hall), refusals)
            return cost

        places = {hall: count_place(hall) for hall in {one.hall for one in candidates}}

        def count_cost(one: Upstream) -> float:
            standing = self.stats.get(one.id)
            running = standing.running + standing.estimate_other_requests(now)
            full = FULL_COST_S if standing.tokens + need.tokens > MAX_KV_FILL * kv_tokens else 0.0
            cold = self.compute_cold_cost(one, now)
            return (
                running * DECODE_STEP_COST_S
                + places[one.hall]
                + full
                + cold
                + self._compute_failure_cost(standing, now)
            )

        return min(candidates, key=count_cost, default=None)

    def _estimate_load(self, upstream: Upstream, now: float) -> float:
        """Return the share of an engine's places that are known to be taken."""
        standing = self.stats.get(upstream.id)
        return (standing.running + standing.estimate_other_requests(now)) / max(1, upstream.slots)

    def choose_plain(self, usable: Sequence[Upstream], tried: set[UpstreamId], now: float) -> Upstream | None:
        """Return the replica with the shortest predicted time."""
        candidates = self._sample(usable, None, tried, now, self.hall)
        places = {
            hall: self.distances.compute_request_cost(hall, PLAIN_BYTES) for hall in {one.hall for one in candidates}
        }

        def count_cost(one: Upstream) -> float:
            standing = self.stats.get(one.id)
            running = standing.running + standing.estimate_other_requests(now)
            latency = standing.latency or DEFAULT_LATENCY_S
            work = latency * (1 + running / max(1, one.slots))
            return (
                work + places[one.hall] + self.compute_cold_cost(one, now) + self._compute_failure_cost(standing, now)
            )

        return min(candidates, key=count_cost, default=None)

    def _sample(
        self, usable: Sequence[Upstream], phase: Phase | None, tried: set[UpstreamId], now: float, hall: str
    ) -> list[Upstream]:
        """Return those that are weighed: all of a small pool, some of a large one, most of them near a hall."""
        drawn = usable if len(usable) <= SAMPLE_SIZE else random.sample(usable, SAMPLE_SIZE)
        fitting = self._filter(drawn, phase, tried, now)
        if not fitting and drawn is not usable:
            fitting = self._filter(usable, phase, tried, now)
        if len(fitting) <= MAX_CANDIDATES:
            return fitting
        return self._sample_near(fitting, hall) if self._prefers_near else random.sample(fitting, MAX_CANDIDATES)

    def _sample_near(self, fitting: list[Upstream], hall: str) -> list[Upstream]:
        """Return some from near a hall and some from anywhere, so that far ones are known when near ones are full."""
        measure = self.distances.places.measure
        distances = {found: measure(hall, found) for found in {one.hall for one in fitting}}
        rings: dict[Distance, list[Upstream]] = {distance: [] for distance in Distance}
        for one in fitting:
            rings[distances[one.hall]].append(one)
        drawn: list[Upstream] = []
        rest = rings[Distance.OTHER_REGION]
        for distance, most in NEAR_CANDIDATES.items():
            ring = rings[distance]
            wanted = most - len(drawn)
            first = random.randrange(len(ring)) if len(ring) > wanted else 0
            turned = ring[first:] + ring[:first]
            drawn += turned[:wanted]
            rest += turned[wanted:]
        return drawn + random.sample(rest, MAX_CANDIDATES - len(drawn))

    def _filter(
        self, usable: Sequence[Upstream], phase: Phase | None, tried: set[UpstreamId], now: float
    ) -> list[Upstream]:
        return [one for one in usable if phase in (None, one.phase) and self._is_candidate(one, tried, now)]

    def _is_candidate(self, upstream: Upstream, tried: set[UpstreamId], now: float) -> bool:
        return upstream.id not in tried and now >= self.stats.get(upstream.id).misdirected_until

    def _compute_failure_cost(self, standing: UpstreamStats, now: float) -> float:
        silent = UNRESPONSIVE_COST_S if now < standing.unresponsive_until else 0.0
        busy = BUSY_COST_S if now < standing.busy_until else 0.0
        return silent + busy + self._failure_cost * standing.get_failure_rate(now)


def _find_no_cost(upstream: Upstream, now: float) -> float:
    return 0.0

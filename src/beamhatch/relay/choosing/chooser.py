"""Choose the upstream with the least predicted cost, in seconds."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.distance import PLAIN_REQUEST_BYTES, UNKNOWN_CACHE_TRANSFER, CacheTransfer, DistanceCosts
from beamhatch.relay.choosing.pace import PrefillEstimators
from beamhatch.relay.choosing.peer_backlog import PeerBacklog
from beamhatch.relay.choosing.spill import CostSpillPolicy, SpillPolicy
from beamhatch.relay.mechanism import NONE_DISABLED, DisabledMechanisms, Mechanism
from beamhatch.relay.model import Handle, Phase, Upstream, UpstreamId, hash_to_fraction
from beamhatch.relay.topology import Distance, Topology

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.relay.choosing.standing import UpstreamStats, UpstreamStatsRegistry

UNRESPONSIVE_COST_S = 30.0
"""Cost of an unresponsive upstream: high enough that it is used only when there is no other."""

NO_PROBE_COST_S = 30.0
"""Additional cost of an unresponsive upstream that is not due for a probe, so that others are asked before it."""

FAILURE_COST_S = 1.5
"""Cost of an upstream whose failure rate is 1."""

DROPPED_CACHE_COST_S = 2.0
"""Cost of a prefill engine that drops KV caches before they are fetched, so that prompts are prefilled again."""

BUSY_COST_S = 1.0
"""Cost of an upstream that rejected a request within the last ``BUSY_PAUSE_S``."""

AFFINITY_BONUS_S = 0.08
"""Bonus for the prefill engine that ``affinity_key`` hashes to, as it may have cached parts of the prompt."""

DECODE_STEP_COST_S = 0.012
"""Cost of each request that already runs at a decode engine."""

MAX_KV_FILL = 0.85
"""Share of a decode engine's KV memory above which ``FULL_COST_S`` applies."""

SAMPLE_SIZE = 64
"""Number of upstreams, of any phase, sampled from a large pool before those that can't be used are filtered out."""

MAX_CANDIDATES = 12
"""Number of upstreams whose costs are compared for one choice; larger sets are sampled."""

NEAR_CANDIDATES = {Distance.SAME_HALL: 4, Distance.SAME_REGION: 8}
"""Number of sampled candidates that are at most this far away, if there are enough of them.

A sample of all engines alone would often contain none of the own hall where there are many halls.
"""

FULL_COST_S = 5.0
"""Cost of a decode engine whose KV memory would exceed ``MAX_KV_FILL``; more than the duration of a typical stream."""

DEFAULT_LATENCY_S = 0.06
"""Latency assumed before the first response of a replica of a service without prefill and decode engines."""


@dataclass(frozen=True, slots=True)
class RequestRequirements:
    """Requirements of one request, on which the choice of an upstream depends."""

    affinity_key: str
    """Requests with the same key prefer the same prefill engine."""
    prompt_tokens: int = 0
    total_tokens: int = 0
    """Tokens of the prompt and the output together."""
    cache: CacheTransfer = UNKNOWN_CACHE_TRANSFER
    """Size and transfer time of the prompt's KV cache."""
    body_bytes: int = 0
    """Size of the request body."""
    response_bytes: int = 0
    """Expected size of the response."""
    decode_hall: str = ""
    """Hall of the decode engine that has reserved memory for the request; empty if none has yet."""
    refused_halls: tuple[str, ...] = ()
    """Halls of the decode engines that refused the request for lack of memory in this round, one entry per engine."""


class Chooser(ABC):
    """Strategy that chooses one of the upstreams that may be used, without changing their state."""

    def __init__(
        self,
        stats: UpstreamStatsRegistry,
        hall: str,
        prefill_models: PrefillEstimators | None = None,
        peer_backlog: PeerBacklog | None = None,
        without: DisabledMechanisms = NONE_DISABLED,
        places: Topology | None = None,
        spill: SpillPolicy | None = None,
    ) -> None:
        self.stats = stats
        self.distances = DistanceCosts(hall, places or Topology(), Mechanism.DISTANCE_COST not in without)
        self._spill = spill or CostSpillPolicy()
        self._spill_enabled = Mechanism.SPILL not in without
        self._prefers_near = Mechanism.NEAR_CANDIDATES not in without
        self.prefill_models = PrefillEstimators() if prefill_models is None else prefill_models
        self.peer_backlog = PeerBacklog() if peer_backlog is None else peer_backlog
        self.compute_cold_cost: Callable[[Upstream, float], float] = _no_cold_cost
        """Returns the seconds added to the cost of an upstream if it is cold."""
        self._affinity_bonus = 0.0 if Mechanism.CACHE_AFFINITY in without else AFFINITY_BONUS_S
        self._failure_cost = 0.0 if Mechanism.FAILURE_COST in without else FAILURE_COST_S

    @property
    def hall(self) -> str:
        """Return the hall of this VM."""
        return self.distances.hall

    @abstractmethod
    def choose_prefill(
        self, usable: Sequence[Upstream], requirements: RequestRequirements, tried: set[UpstreamId], now: float
    ) -> Upstream | None:
        """Return a prefill engine, or None if there is no candidate."""

    @abstractmethod
    def choose_decode(
        self,
        usable: Sequence[Upstream],
        requirements: RequestRequirements,
        tried: set[UpstreamId],
        now: float,
        *,
        handle: Handle | None,
        kv_tokens: int,
    ) -> Upstream | None:
        """Return a decode engine, or None if there is no candidate.

        :param handle: the KV cache of the prompt, if a prefill engine holds one
        :param kv_tokens: the tokens that the KV memory of one decode engine holds
        """

    @abstractmethod
    def predict_prefill(self, upstream: Upstream, requirements: RequestRequirements, now: float) -> float:
        """Return the seconds until a prefill engine has processed a prompt."""

    @abstractmethod
    def predict_decode_prefill(self, upstream: Upstream, requirements: RequestRequirements, now: float) -> float:
        """Return the seconds until a decode engine has prefilled a prompt itself."""

    def should_skip(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream is unreachable and not due for another probe."""
        return self.stats.get(upstream.id).should_skip(now)

    def list_silent(self, usable: Sequence[Upstream], now: float) -> set[UpstreamId]:
        """Return the engines that have streams of this VM, none of which goes on."""
        return {one.id for one in usable if self.stats.get(one.id).is_silent(now)}

    def list_active(self, usable: Sequence[Upstream], now: float) -> set[UpstreamId]:
        """Return the engines at which a stream of this VM goes on."""
        return {one.id for one in usable if self.stats.get(one.id).is_active(now)}

    @abstractmethod
    def choose_plain(self, usable: Sequence[Upstream], tried: set[UpstreamId], now: float) -> Upstream | None:
        """Return a replica of a plain service, or None if there is no candidate."""


class LeastCostChooser(Chooser):
    """Chooser of the upstream that is predicted to finish first, with costs added for failures and distance."""

    def choose_prefill(
        self, usable: Sequence[Upstream], requirements: RequestRequirements, tried: set[UpstreamId], now: float
    ) -> Upstream | None:
        """Return the prefill engine with the least predicted cost, or None if there is no candidate."""
        decode_hall = requirements.decode_hall or self.hall
        candidates = self._sample(usable, Phase.PREFILL, tried, now, decode_hall)
        if not candidates:
            return None
        preferred = max(candidates, key=lambda one: hash_to_fraction(f"{requirements.affinity_key}/{one.id}"))

        def compute_hall_cost(hall: str) -> float:
            request_cost = self.distances.compute_request_cost(hall, requirements.body_bytes)
            return request_cost + self.distances.compute_transfer_cost(hall, decode_hall, requirements.cache)

        hall_costs = {hall: compute_hall_cost(hall) for hall in {one.hall for one in candidates}}

        def compute_cost(one: Upstream) -> float:
            bonus = self._affinity_bonus if one is preferred else 0.0
            return (
                self.predict_prefill(one, requirements, now)
                + hall_costs[one.hall]
                - bonus
                + self.compute_cold_cost(one, now)
            )

        return min(candidates, key=compute_cost)

    def predict_prefill(self, upstream: Upstream, requirements: RequestRequirements, now: float) -> float:
        """Return the seconds until a prefill engine has processed a prompt, with the cost of its failures."""
        stats = self.stats.get(upstream.id)
        queued_tokens = self._estimate_tokens_ahead(upstream, requirements, now)
        dropped_cache_cost = DROPPED_CACHE_COST_S if now < stats.drops_caches_until else 0.0
        model = self.prefill_models.get_prefill(upstream.service).model
        return (
            model.predict(queued_tokens + requirements.prompt_tokens)
            + dropped_cache_cost
            + self._compute_failure_cost(stats, now)
        )

    def predict_decode_prefill(self, upstream: Upstream, requirements: RequestRequirements, now: float) -> float:
        """Return the seconds until a decode engine has prefilled a prompt itself, with the cost of its failures."""
        stats = self.stats.get(upstream.id)
        queued_tokens = stats.pending_prefill_tokens + self.peer_backlog.count_tokens(upstream.id, now)
        model = self.prefill_models.get_decode(upstream.service).model
        return model.predict(queued_tokens + requirements.prompt_tokens) + self._compute_failure_cost(stats, now)

    def _estimate_tokens_ahead(self, upstream: Upstream, requirements: RequestRequirements, now: float) -> float:
        """Return the tokens queued at a prefill engine.

        These are this VM's tokens, plus the higher of the estimates from the engine's load and from peers' reports.
        """
        stats = self.stats.get(upstream.id)
        others = max(
            stats.estimate_other_requests(now) * requirements.prompt_tokens,
            self.peer_backlog.count_tokens(upstream.id, now),
        )
        return stats.tokens + others

    def choose_decode(
        self,
        usable: Sequence[Upstream],
        requirements: RequestRequirements,
        tried: set[UpstreamId],
        now: float,
        *,
        handle: Handle | None,
        kv_tokens: int,
    ) -> Upstream | None:
        """Return the decode engine with the least cost of load, distance and failures, or None without candidates."""
        candidates: Sequence[Upstream] = self._sample(usable, Phase.DECODE, tried, now, self.hall)
        find_region = self.distances.places.get_region
        refusals = Counter(find_region(hall) for hall in requirements.refused_halls)
        if self._spill_enabled:
            refused = set(requirements.refused_halls)
            candidates = self._spill.filter(
                candidates,
                self.distances.get_distance,
                lambda one: 1.0 if one.hall in refused else self._estimate_load(one, now),
            )

        def compute_hall_cost(hall: str) -> float:
            cost = self.distances.compute_request_cost(hall, requirements.body_bytes + requirements.response_bytes)
            if handle is not None:
                cost += self.distances.compute_transfer_cost(handle.upstream.hall, hall, requirements.cache)
            if refusals and self._spill_enabled:
                cost += self._spill.compute_cost(find_region(hall), refusals)
            return cost

        hall_costs = {hall: compute_hall_cost(hall) for hall in {one.hall for one in candidates}}

        def compute_cost(one: Upstream) -> float:
            stats = self.stats.get(one.id)
            running = stats.running + stats.estimate_other_requests(now)
            full = FULL_COST_S if stats.tokens + requirements.total_tokens > MAX_KV_FILL * kv_tokens else 0.0
            cold = self.compute_cold_cost(one, now)
            return (
                running * DECODE_STEP_COST_S
                + hall_costs[one.hall]
                + full
                + cold
                + self._compute_failure_cost(stats, now)
            )

        return min(candidates, key=compute_cost, default=None)

    def _estimate_load(self, upstream: Upstream, now: float) -> float:
        """Return the estimated share of an engine's slots that are in use."""
        stats = self.stats.get(upstream.id)
        return (stats.running + stats.estimate_other_requests(now)) / max(1, upstream.slots)

    def choose_plain(self, usable: Sequence[Upstream], tried: set[UpstreamId], now: float) -> Upstream | None:
        """Return the replica with the shortest predicted time, or None if there is no candidate."""
        candidates = self._sample(usable, None, tried, now, self.hall)
        hall_costs = {
            hall: self.distances.compute_request_cost(hall, PLAIN_REQUEST_BYTES)
            for hall in {one.hall for one in candidates}
        }

        def compute_cost(one: Upstream) -> float:
            stats = self.stats.get(one.id)
            running = stats.running + stats.estimate_other_requests(now)
            latency = stats.latency or DEFAULT_LATENCY_S
            work = latency * (1 + running / max(1, one.slots))
            return (
                work + hall_costs[one.hall] + self.compute_cold_cost(one, now) + self._compute_failure_cost(stats, now)
            )

        return min(candidates, key=compute_cost, default=None)

    def _sample(
        self, usable: Sequence[Upstream], phase: Phase | None, tried: set[UpstreamId], now: float, hall: str
    ) -> list[Upstream]:
        """Return the candidates to compare: all if they are few, else a sample, mostly from near ``hall``."""
        sampled = usable if len(usable) <= SAMPLE_SIZE else random.sample(usable, SAMPLE_SIZE)
        eligible = self._filter(sampled, phase, tried, now)
        if not eligible and sampled is not usable:
            eligible = self._filter(usable, phase, tried, now)
        if len(eligible) <= MAX_CANDIDATES:
            return eligible
        return self._sample_near(eligible, hall) if self._prefers_near else random.sample(eligible, MAX_CANDIDATES)

    def _sample_near(self, eligible: list[Upstream], hall: str) -> list[Upstream]:
        """Return a sample that prefers upstreams near a hall, and has some others in case the near ones are full."""
        get_distance = self.distances.places.get_distance
        distances = {found: get_distance(hall, found) for found in {one.hall for one in eligible}}
        by_distance: dict[Distance, list[Upstream]] = {distance: [] for distance in Distance}
        for one in eligible:
            by_distance[distances[one.hall]].append(one)
        sampled: list[Upstream] = []
        others = by_distance[Distance.OTHER_REGION]
        for distance, limit in NEAR_CANDIDATES.items():
            group = by_distance[distance]
            count = limit - len(sampled)
            first = random.randrange(len(group)) if len(group) > count else 0
            rotated = group[first:] + group[:first]
            sampled += rotated[:count]
            others += rotated[count:]
        return sampled + random.sample(others, MAX_CANDIDATES - len(sampled))

    def _filter(
        self, usable: Sequence[Upstream], phase: Phase | None, tried: set[UpstreamId], now: float
    ) -> list[Upstream]:
        return [one for one in usable if phase in (None, one.phase) and self._is_candidate(one, tried, now)]

    def _is_candidate(self, upstream: Upstream, tried: set[UpstreamId], now: float) -> bool:
        return upstream.id not in tried and now >= self.stats.get(upstream.id).misdirected_until

    def _compute_failure_cost(self, stats: UpstreamStats, now: float) -> float:
        unresponsive = UNRESPONSIVE_COST_S if now < stats.unresponsive_until or stats.is_silent(now) else 0.0
        unresponsive += NO_PROBE_COST_S if stats.should_skip(now) else 0.0
        busy = BUSY_COST_S if now < stats.busy_until else 0.0
        return unresponsive + busy + self._failure_cost * stats.get_failure_rate(now)


def _no_cold_cost(upstream: Upstream, now: float) -> float:
    return 0.0

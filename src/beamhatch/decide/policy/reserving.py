"""Policies that account for decode memory, at the start of the prefill or at its end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.decide.policy.api import Policy, UpstreamChoice

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.decide.fleet import Fleet
    from beamhatch.decide.ledger import Ledger
    from beamhatch.decide.policy.api import ResourceNeed
    from beamhatch.ids import UpstreamName

BLOCK_TOKENS = 64
"""Length of a prefix block in tokens."""

MAX_PREFILL_CANDIDATES = 4
MAX_QUEUED_PROMPTS = 2
"""Number of prompts at which a prefill engine accepts another one only if its queue is short."""

SHORT_QUEUE_S = 0.05
"""Queued prefill time below which an engine accepts any number of prompts."""
DEFAULT_TRUST = 0.2
REMOTE_HALL_PENALTY_S = 0.001
"""Cost of an upstream in another hall, in addition to its slower transfer."""


class ReserveEndPolicy(Policy):
    """A policy that chooses the prefill engine that completes first, and decode memory after the prefill."""

    def choose_first(self, need: ResourceNeed, fleet: Fleet, now: float) -> UpstreamChoice | None:
        """Choose the prefill engine with the earliest predicted completion."""
        best = self._choose_prefill(need, fleet, now)
        return None if best is None else UpstreamChoice(best[0], None, now + best[1])

    def choose_decode(self, need: ResourceNeed, fleet: Fleet, now: float) -> Ledger | None:
        """Choose the decode engine with enough unreserved memory and the shortest transfer."""
        fitting = [
            ledger
            for ledger in self._list_decodes(need, fleet, now)
            if self._get_unreserved_tokens(ledger) >= need.tokens
        ]
        return min(fitting, key=lambda ledger: self._predict_transfer(ledger, need, fleet), default=None)

    def _can_queue_prompt(self, ledger: Ledger, fleet: Fleet) -> bool:
        """Return whether another prompt may queue at an engine rather than in the pool, where it can be reordered."""
        queued = ledger.jobs * fleet.workload.prompt_tokens / ledger.config.prefill_rate
        return ledger.jobs < MAX_QUEUED_PROMPTS or queued < SHORT_QUEUE_S

    def _get_unreserved_tokens(self, ledger: Ledger) -> float:
        return ledger.free_tokens - ledger.reserved_tokens

    def _choose_prefill(self, need: ResourceNeed, fleet: Fleet, now: float) -> tuple[Ledger, float] | None:
        if not need.output_tokens:
            usable = fleet.list_usable("service", need.exclude, now, limit=1)
            return (usable[0], 0.0) if usable else None
        cached = fleet.find_cached_prefixes(need.blocks, BLOCK_TOKENS) if need.blocks else {}
        candidates = fleet.list_usable("prefill", need.exclude, now, MAX_PREFILL_CANDIDATES)
        candidates = [ledger for ledger in candidates if self._can_queue_prompt(ledger, fleet)]
        candidates += self._list_cached(cached, need, fleet, now, candidates)
        timed = [(ledger, self._predict_prefill(ledger, need, fleet, cached)) for ledger in candidates]
        return min(timed, key=lambda pair: pair[1], default=None)

    def _list_cached(
        self, cached: Iterable[UpstreamName], need: ResourceNeed, fleet: Fleet, now: float, candidates: list[Ledger]
    ) -> list[Ledger]:
        found: list[Ledger] = []
        for name in cached:
            ledger = fleet.ledgers.get(name)
            if ledger is None or ledger in candidates or name in need.exclude or ledger.config.role != "prefill":
                continue
            if ledger.is_usable(now, fleet.max_report_age) and self._can_queue_prompt(ledger, fleet):
                found.append(ledger)
            if len(found) == MAX_PREFILL_CANDIDATES:
                break
        return found

    def _predict_prefill(
        self, ledger: Ledger, need: ResourceNeed, fleet: Fleet, cached: dict[UpstreamName, int]
    ) -> float:
        far = REMOTE_HALL_PENALTY_S if ledger.config.hall != fleet.hall else 0.0
        return fleet.predict_prefill(ledger, need.prompt_tokens, cached.get(ledger.config.name, 0)) + far

    def _list_decodes(self, need: ResourceNeed, fleet: Fleet, now: float) -> list[Ledger]:
        return fleet.list_usable("decode", need.exclude, now)

    def _predict_transfer(self, ledger: Ledger, need: ResourceNeed, fleet: Fleet) -> float:
        far = ledger.config.hall != fleet.hall
        return fleet.predict_transfer(ledger, need.prompt_tokens, remote=far) + (REMOTE_HALL_PENALTY_S if far else 0.0)


class ReserveStartPolicy(ReserveEndPolicy):
    """A policy that reserves decode memory before the prefill starts."""

    def choose_first(self, need: ResourceNeed, fleet: Fleet, now: float) -> UpstreamChoice | None:
        """Choose both engines, or return None to let the request wait."""
        best = self._choose_prefill(need, fleet, now)
        if best is None or not need.output_tokens:
            return None if best is None else UpstreamChoice(best[0], None, now)
        decode = self.choose_decode(need, fleet, now)
        if decode is None:
            return None
        return UpstreamChoice(best[0], decode, now + best[1] + self._predict_transfer(decode, need, fleet))


class PredictedPolicy(ReserveEndPolicy):
    """A policy that starts a prefill if decode memory is expected to be free when the prefill completes.

    Reserving free memory for the whole prefill would leave it idle. Parameter ``trust`` (0 to 1, default 0.2) scales
    the prefill time for which memory releases are counted; at 0, only memory that is free at the start is used.
    """

    def choose_first(self, need: ResourceNeed, fleet: Fleet, now: float) -> UpstreamChoice | None:
        """Choose both engines, or return None while not enough memory is expected to be free."""
        best = self._choose_prefill(need, fleet, now)
        if best is None or not need.output_tokens:
            return None if best is None else UpstreamChoice(best[0], None, now)
        prefill, seconds = best
        trust = self.parameters.get("trust", DEFAULT_TRUST)
        residence = fleet.workload.token_interval * fleet.workload.output_tokens
        decodes = self._list_decodes(need, fleet, now)
        fitting = [one for one in decodes if one.predict_free_tokens(seconds * trust, residence) >= need.tokens]
        if not fitting:
            return None
        decode = min(fitting, key=lambda one: self._predict_transfer(one, need, fleet))
        return UpstreamChoice(prefill, decode, now + seconds + self._predict_transfer(decode, need, fleet))

"""Policies that count decode memory, and start no prefill that has nowhere to land."""

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
"""Length of a prefix block."""

MAX_PREFILL_CANDIDATES = 4
MAX_QUEUED_PROMPTS = 2
"""Prompts at a prefill engine at the most, unless they are short."""

SHORT_QUEUE_S = 0.05
"""Seconds of work that may queue at a prefill engine however many prompts it is."""
DEFAULT_TRUST = 0.2
REMOTE_HALL_PENALTY_S = 0.001
"""Seconds that another hall costs beside its slower transfer."""


class ReserveEndPolicy(Policy):
    """Starts at the prefill engine that ends first; takes decode memory only when the prefill has ended."""

    def choose_first(self, need: ResourceNeed, fleet: Fleet, now: float) -> UpstreamChoice | None:
        """Choose the prefill engine by its predicted end."""
        best = self._choose_prefill(need, fleet, now)
        return None if best is None else UpstreamChoice(best[0], None, now + best[1])

    def choose_decode(self, need: ResourceNeed, fleet: Fleet, now: float) -> Ledger | None:
        """Choose the decode engine with room that has its KV cache first."""
        fitting = [
            ledger
            for ledger in self._list_decodes(need, fleet, now)
            if self._get_unreserved_tokens(ledger) >= need.tokens
        ]
        return min(fitting, key=lambda ledger: self._predict_transfer(ledger, need, fleet), default=None)

    def _can_queue_prompt(self, ledger: Ledger, fleet: Fleet) -> bool:
        """Tell whether another prompt may queue at an engine, rather than here, where its order can still change."""
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
    """Takes the decode memory before the prefill starts."""

    def choose_first(self, need: ResourceNeed, fleet: Fleet, now: float) -> UpstreamChoice | None:
        """Choose both engines, or wait."""
        best = self._choose_prefill(need, fleet, now)
        if best is None or not need.output_tokens:
            return None if best is None else UpstreamChoice(best[0], None, now)
        decode = self.choose_decode(need, fleet, now)
        if decode is None:
            return None
        return UpstreamChoice(best[0], decode, now + best[1] + self._predict_transfer(decode, need, fleet))


class PredictedPolicy(ReserveEndPolicy):
    """Starts a prefill when decode memory is expected to be free by the time its KV cache would arrive.

    Memory that stands free during a prefill serves nobody: with a prefill that takes as long as hundreds of output
    tokens, many answers end meanwhile. Parameter ``trust`` (0 to 1, default 0.2) is the share of the memory expected
    to come free during the prefill that is counted on; at 0 it is the same as reserving at the start.
    """

    def choose_first(self, need: ResourceNeed, fleet: Fleet, now: float) -> UpstreamChoice | None:
        """Choose both engines, or wait until a place is in sight."""
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

"""Policies that count decode memory, and start no prefill that has nowhere to land."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.decide.policy.api import Choice, Policy

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.decide.fleet import Fleet
    from beamhatch.decide.ledger import Ledger
    from beamhatch.decide.policy.api import Need
    from beamhatch.ids import UpstreamName

BLOCK_TOKENS = 64
"""Length of a prefix block."""

PREFILLS_WEIGHED = 4
MOST_AHEAD = 2
"""Prompts at a prefill engine at the most, unless they are short."""

SHORT_QUEUE = 0.05
"""Seconds of work that may queue at a prefill engine however many prompts it is."""
DEFAULT_TRUST = 0.2
FAR_PENALTY = 0.001
"""Seconds that another hall costs beside its slower transfer."""


class ReserveEnd(Policy):
    """Starts at the prefill engine that ends first; takes decode memory only when the prefill has ended."""

    def start(self, need: Need, fleet: Fleet, now: float) -> Choice | None:
        """Choose the prefill engine by its predicted end."""
        best = self._choose_prefill(need, fleet, now)
        return None if best is None else Choice(best[0], None, now + best[1])

    def land(self, need: Need, fleet: Fleet, now: float) -> Ledger | None:
        """Choose the decode engine with room that has its KV cache first."""
        fitting = [ledger for ledger in self._list_decodes(need, fleet, now) if self._room(ledger) >= need.tokens]
        return min(fitting, key=lambda ledger: self._transfer(ledger, need, fleet), default=None)

    def _takes_more(self, ledger: Ledger, fleet: Fleet) -> bool:
        """Tell whether another prompt may queue at an engine, rather than here, where its order can still change."""
        queued = ledger.jobs * fleet.rates.prompt_tokens / ledger.facts.prefill_rate
        return ledger.jobs < MOST_AHEAD or queued < SHORT_QUEUE

    def _room(self, ledger: Ledger) -> float:
        return ledger.free - ledger.promised_tokens

    def _choose_prefill(self, need: Need, fleet: Fleet, now: float) -> tuple[Ledger, float] | None:
        if not need.output_tokens:
            usable = fleet.list_usable("service", need.exclude, now, most=1)
            return (usable[0], 0.0) if usable else None
        cached = fleet.find_cached(need.blocks, BLOCK_TOKENS) if need.blocks else {}
        candidates = fleet.list_usable("prefill", need.exclude, now, PREFILLS_WEIGHED)
        candidates = [ledger for ledger in candidates if self._takes_more(ledger, fleet)]
        candidates += self._list_cached(cached, need, fleet, now, candidates)
        timed = [(ledger, self._predict_first(ledger, need, fleet, cached)) for ledger in candidates]
        return min(timed, key=lambda pair: pair[1], default=None)

    def _list_cached(
        self, cached: Iterable[UpstreamName], need: Need, fleet: Fleet, now: float, known: list[Ledger]
    ) -> list[Ledger]:
        found: list[Ledger] = []
        for name in cached:
            ledger = fleet.ledgers.get(name)
            if ledger is None or ledger in known or name in need.exclude or ledger.facts.role != "prefill":
                continue
            if ledger.is_usable(now, fleet.age_limit) and self._takes_more(ledger, fleet):
                found.append(ledger)
            if len(found) == PREFILLS_WEIGHED:
                break
        return found

    def _predict_first(self, ledger: Ledger, need: Need, fleet: Fleet, cached: dict[UpstreamName, int]) -> float:
        far = FAR_PENALTY if ledger.facts.hall != fleet.hall else 0.0
        return fleet.predict_prefill(ledger, need.prompt_tokens, cached.get(ledger.facts.name, 0)) + far

    def _list_decodes(self, need: Need, fleet: Fleet, now: float) -> list[Ledger]:
        return fleet.list_usable("decode", need.exclude, now)

    def _transfer(self, ledger: Ledger, need: Need, fleet: Fleet) -> float:
        far = ledger.facts.hall != fleet.hall
        return fleet.predict_transfer(ledger, need.prompt_tokens, far=far) + (FAR_PENALTY if far else 0.0)


class ReserveStart(ReserveEnd):
    """Takes the decode memory before the prefill starts."""

    def start(self, need: Need, fleet: Fleet, now: float) -> Choice | None:
        """Choose both engines, or wait."""
        best = self._choose_prefill(need, fleet, now)
        if best is None or not need.output_tokens:
            return None if best is None else Choice(best[0], None, now)
        decode = self.land(need, fleet, now)
        if decode is None:
            return None
        return Choice(best[0], decode, now + best[1] + self._transfer(decode, need, fleet))


class Predicted(ReserveEnd):
    """Starts a prefill when decode memory is expected to be free by the time its KV cache would arrive.

    Memory that stands free during a prefill serves nobody: with a prefill that takes as long as hundreds of output
    tokens, many answers end meanwhile. Parameter ``trust`` (0 to 1, default 0.2) is the share of the memory expected
    to come free during the prefill that is counted on; at 0 it is the same as reserving at the start.
    """

    def start(self, need: Need, fleet: Fleet, now: float) -> Choice | None:
        """Choose both engines, or wait until a place is in sight."""
        best = self._choose_prefill(need, fleet, now)
        if best is None or not need.output_tokens:
            return None if best is None else Choice(best[0], None, now)
        prefill, seconds = best
        trust = self.parameters.get("trust", DEFAULT_TRUST)
        lifetime = fleet.rates.pace * fleet.rates.output_tokens
        decodes = self._list_decodes(need, fleet, now)
        fitting = [one for one in decodes if one.predict_free(seconds * trust, lifetime) >= need.tokens]
        if not fitting:
            return None
        decode = min(fitting, key=lambda one: self._transfer(one, need, fleet))
        return Choice(prefill, decode, now + seconds + self._transfer(decode, need, fleet))

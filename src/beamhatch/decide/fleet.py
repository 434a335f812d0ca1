"""The upstreams of one pool, kept in the order of their load so that a decision looks at a few of them only."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

from beamhatch.decide.ledger import Facts, Ledger, Report, Share, Standing
from beamhatch.ids import HallName, RequestId, UpstreamName

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

LOOKED_AT = 8
"""How many of the least loaded upstreams a decision weighs."""

NOTHING = Share(0, 0, 0)

MAX_BLOCKS = 20_000
"""Prefix blocks remembered for each upstream."""


@dataclass(slots=True)
class Rates:
    """What was measured of the work in a pool, as running means."""

    pace: float = 0.02
    """Seconds between tokens."""
    prompt_tokens: float = 500.0
    output_tokens: float = 128.0
    weight: float = 0.05

    def note_answer(self, output_tokens: int, seconds: float) -> None:
        """Take in one answer."""
        if output_tokens > 1:
            self.pace += self.weight * (seconds / output_tokens - self.pace)
        self.output_tokens += self.weight * (output_tokens - self.output_tokens)

    def note_prompt(self, tokens: int) -> None:
        """Take in the length of one prompt."""
        self.prompt_tokens += self.weight * (tokens - self.prompt_tokens)


@dataclass(slots=True)
class Fleet:
    """All upstreams of a pool by role, each role in the order of its load."""

    hall: HallName
    age_limit: float = 3.0
    ledgers: dict[UpstreamName, Ledger] = field(default_factory=dict)
    rates: Rates = field(default_factory=Rates)
    landings: dict[UpstreamName, int] = field(default_factory=dict)
    """Transfers under way to each decode engine."""
    _changed: set[UpstreamName] = field(default_factory=set)
    _shared: dict[UpstreamName, Share] = field(default_factory=dict)
    _orders: dict[str, SortedList] = field(default_factory=dict)
    _keys: dict[UpstreamName, tuple[float, str]] = field(default_factory=dict)
    _blocks: dict[int, dict[UpstreamName, float]] = field(default_factory=dict)
    _block_counts: dict[UpstreamName, int] = field(default_factory=dict)

    # --- members -------------------------------------------------------------------------------------------------

    def set_upstreams(self, wanted: Sequence[Facts]) -> None:
        """Take the upstreams of a configuration; those that are no longer in it get no new work."""
        names = {facts.name for facts in wanted}
        for facts in wanted:
            ledger = self.ledgers.get(facts.name)
            if ledger is None or ledger.facts.address != facts.address:
                ledger = Ledger(facts)
                self.ledgers[facts.name] = ledger
            ledger.facts = facts
            if ledger.standing is Standing.GONE:
                ledger.standing = Standing.SERVING
            self._reorder(ledger)
        for name in [name for name in self.ledgers if name not in names]:
            self.set_standing(name, Standing.GONE)
            if not self.ledgers[name].own:
                self._remove(name)

    def set_standing(self, name: UpstreamName, standing: Standing) -> None:
        """Note that an upstream serves, leaves or is gone."""
        ledger = self.ledgers.get(name)
        if ledger is not None:
            ledger.standing = standing
            self._reorder(ledger)

    def take_report(self, name: UpstreamName, report: Report) -> None:
        """Take in an upstream's load report."""
        ledger = self.ledgers.get(name)
        if ledger is not None:
            ledger.take_report(report)
            self._reorder(ledger)

    # --- work ------------------------------------------------------------------------------------------------------

    def send(self, ledger: Ledger, request: RequestId, tokens: int, now: float) -> None:
        """Enter work that goes to an upstream."""
        ledger.send(request, tokens, now)
        self._reorder(ledger)

    def promise(self, ledger: Ledger, request: RequestId, tokens: int) -> None:
        """Count on memory of a decode engine."""
        ledger.promise(request, tokens)
        self._reorder(ledger)

    def take_share(self, name: UpstreamName, vm: str, share: Share | None, now: float) -> None:
        """Take in what another entry VM says it has at an upstream; None where that VM is gone."""
        ledger = self.ledgers.get(name)
        if ledger is not None:
            ledger.take_share(vm, share, now)
            self._reorder(ledger)

    def take_changed(self) -> dict[UpstreamName, Share]:
        """Return this VM's own shares that changed since the last call."""
        names, self._changed = self._changed, set()
        shares = {name: self.ledgers[name].own_share for name in names if name in self.ledgers}
        changed = {name: share for name, share in shares.items() if self._shared.get(name, NOTHING) != share}
        self._shared.update(changed)
        return changed

    def withdraw(self, ledger: Ledger, request: RequestId) -> None:
        """Take back a promise."""
        ledger.withdraw(request)
        self._reorder(ledger)

    def end(self, name: UpstreamName, request: RequestId, now: float) -> None:
        """Enter that work at an upstream ended."""
        ledger = self.ledgers.get(name)
        if ledger is None:
            return
        ledger.end(request, now)
        self._reorder(ledger)
        if ledger.standing is Standing.GONE and not ledger.own:
            self._remove(name)

    # --- looking ---------------------------------------------------------------------------------------------------

    def list_usable(self, role: str, exclude: frozenset[str], now: float, most: int = LOOKED_AT) -> list[Ledger]:
        """Return the least loaded upstreams of a role that may be given work."""
        found: list[Ledger] = []
        for ledger in self._walk(role):
            if ledger.facts.name not in exclude and ledger.is_usable(now, self.age_limit):
                found.append(ledger)
                if len(found) == most:
                    break
        return found

    def has_any(self, role: str, now: float, exclude: frozenset[str] = frozenset()) -> bool:
        """Tell whether any upstream of a role may be given work, but for some."""
        return bool(self.list_usable(role, exclude, now, most=1))

    def predict_prefill(self, ledger: Ledger, prompt_tokens: int, cached: int = 0) -> float:
        """Return the seconds until a prompt would be prefilled: the queue before it, then itself."""
        queued = ledger.jobs * self.rates.prompt_tokens
        return (queued + max(1, prompt_tokens - cached)) / ledger.facts.prefill_rate

    def predict_lead(self, prompt_tokens: int) -> float:
        """Return the seconds from a start to the first token, with nobody before it on the fastest engines."""
        prefill = max((ledger.facts.prefill_rate for ledger in self._first_of("prefill")), default=0.0)
        link = max((ledger.facts.link_rate for ledger in self._first_of("decode")), default=0.0)
        return (prompt_tokens / prefill if prefill else 0.0) + (prompt_tokens / link if link else 0.0)

    def predict_rate(self) -> float:
        """Return the KV tokens a second that the engines should give back to this VM, from what is known of them.

        The slower stage counts, and of it the share that this VM has of all that is held.
        """
        decodes = [ledger for ledger in self.ledgers.values() if ledger.facts.role == "decode"]
        prefills = [ledger for ledger in self.ledgers.values() if ledger.facts.role == "prefill"]
        lifetime = max(0.001, self.rates.pace * self.rates.output_tokens)
        held = sum(ledger.held for ledger in decodes)
        share = sum(ledger.own_tokens for ledger in decodes) / held if held else 1.0
        per_prompt = 1 + self.rates.output_tokens / self.rates.prompt_tokens
        landed = sum(ledger.capacity for ledger in decodes) / lifetime
        prefilled = sum(ledger.facts.prefill_rate for ledger in prefills) * per_prompt
        return min(landed, prefilled) * share

    def predict_transfer(self, ledger: Ledger, tokens: int, *, far: bool = False) -> float:
        """Return the seconds of a KV transfer over a link that others share."""
        streams = 1 + self.landings.get(ledger.facts.name, 0)
        seconds = tokens / (ledger.facts.link_rate / streams)
        return seconds * 2 if far else seconds

    # --- prefix cache ------------------------------------------------------------------------------------------------

    def note_block(self, name: UpstreamName, block: int, stored: bool, now: float) -> None:
        """Take in a cache event."""
        holders = self._blocks.setdefault(block, {})
        if stored and self._block_counts.get(name, 0) < MAX_BLOCKS:
            if name not in holders:
                self._block_counts[name] = self._block_counts.get(name, 0) + 1
            holders[name] = now
        elif not stored and holders.pop(name, None) is not None:
            self._block_counts[name] -= 1
        if not holders:
            del self._blocks[block]

    def forget_blocks(self, name: UpstreamName) -> None:
        """Drop all hints of an upstream, as after a gap in its events."""
        for block in [block for block, holders in self._blocks.items() if name in holders]:
            self.note_block(name, block, stored=False, now=0)

    def find_cached(self, blocks: tuple[int, ...], block_tokens: int) -> dict[UpstreamName, int]:
        """Return the upstreams that likely hold a prefix, with its length in tokens."""
        found: dict[UpstreamName, int] = {}
        for index in range(len(blocks) - 1, -1, -1):
            for name in self._blocks.get(blocks[index], {}):
                found.setdefault(name, (index + 1) * block_tokens)
        return found

    # --- order -------------------------------------------------------------------------------------------------------

    def _first_of(self, role: str) -> list[Ledger]:
        return list(itertools.islice(self._walk(role), LOOKED_AT))

    def _walk(self, role: str) -> Iterator[Ledger]:
        order: Iterable[tuple[float, str]] = self._orders.get(role, ())
        for _, name in order:
            yield self.ledgers[UpstreamName(name)]

    def _reorder(self, ledger: Ledger) -> None:
        name = ledger.facts.name
        self._changed.add(name)
        if ledger.standing is not Standing.SERVING:
            self._take_out(ledger)
            return
        load = ledger.pressure if ledger.facts.role == "decode" else ledger.jobs / ledger.facts.prefill_rate
        key = (load, name)
        if self._keys.get(name) == key:
            return
        self._take_out(ledger)
        self._keys[name] = key
        order = self._orders.get(ledger.facts.role)
        if order is None:
            order = self._orders[ledger.facts.role] = SortedList()
        order.add(key)

    def _take_out(self, ledger: Ledger) -> None:
        key = self._keys.pop(ledger.facts.name, None)
        if key is not None:
            self._orders[ledger.facts.role].remove(key)

    def _remove(self, name: UpstreamName) -> None:
        self._take_out(self.ledgers[name])
        self.forget_blocks(name)
        self._shared.pop(name, None)
        del self.ledgers[name]

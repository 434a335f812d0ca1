"""The upstreams of one pool, sorted by load so that a decision considers only the least loaded ones."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

from beamhatch.decide.ledger import Ledger, LoadSnapshot, UpstreamConfig, UpstreamState, VmLoad
from beamhatch.ids import HallName, RequestId, UpstreamName

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

MAX_CANDIDATES = 8
"""Number of least loaded upstreams that a decision considers."""

NO_LOAD = VmLoad(0, 0, 0)

MAX_BLOCKS_PER_UPSTREAM = 20_000
"""Number of cached prefix blocks that are tracked for each upstream."""


@dataclass(slots=True)
class WorkloadStats:
    """Running means of prompt length, output length and token interval in a pool."""

    token_interval: float = 0.02
    """Seconds between output tokens."""
    prompt_tokens: float = 500.0
    output_tokens: float = 128.0
    weight: float = 0.05

    def record_output(self, output_tokens: int, seconds: float) -> None:
        """Record the length and the duration of one output."""
        if output_tokens > 1:
            self.token_interval += self.weight * (seconds / output_tokens - self.token_interval)
        self.output_tokens += self.weight * (output_tokens - self.output_tokens)

    def record_prompt(self, tokens: int) -> None:
        """Record the length of one prompt."""
        self.prompt_tokens += self.weight * (tokens - self.prompt_tokens)


@dataclass(slots=True)
class Fleet:
    """All upstreams of a pool, sorted by load within each role."""

    hall: HallName
    max_report_age: float = 3.0
    ledgers: dict[UpstreamName, Ledger] = field(default_factory=dict)
    workload: WorkloadStats = field(default_factory=WorkloadStats)
    transfers: dict[UpstreamName, int] = field(default_factory=dict)
    """Number of KV cache transfers in progress to each decode engine."""
    _changed: set[UpstreamName] = field(default_factory=set)
    _sent_loads: dict[UpstreamName, VmLoad] = field(default_factory=dict)
    _orders: dict[str, SortedList] = field(default_factory=dict)
    _order_keys: dict[UpstreamName, tuple[float, str]] = field(default_factory=dict)
    _blocks: dict[int, dict[UpstreamName, float]] = field(default_factory=dict)
    _block_counts: dict[UpstreamName, int] = field(default_factory=dict)

    # --- members -------------------------------------------------------------------------------------------------

    def set_upstreams(self, configs: Sequence[UpstreamConfig]) -> None:
        """Apply the upstreams of a configuration; upstreams that are no longer listed get no new work."""
        names = {config.name for config in configs}
        for config in configs:
            ledger = self.ledgers.get(config.name)
            if ledger is None or ledger.config.address != config.address:
                ledger = Ledger(config)
                self.ledgers[config.name] = ledger
            ledger.config = config
            if ledger.state is UpstreamState.GONE:
                ledger.state = UpstreamState.SERVING
            self._reorder(ledger)
        for name in [name for name in self.ledgers if name not in names]:
            self.set_state(name, UpstreamState.GONE)
            if not self.ledgers[name].own_runs:
                self._remove(name)

    def set_state(self, name: UpstreamName, state: UpstreamState) -> None:
        """Set the lifecycle state of an upstream."""
        ledger = self.ledgers.get(name)
        if ledger is not None:
            ledger.state = state
            self._reorder(ledger)

    def apply_report(self, name: UpstreamName, report: LoadSnapshot) -> None:
        """Apply a load report of an upstream."""
        ledger = self.ledgers.get(name)
        if ledger is not None:
            ledger.apply_report(report)
            self._reorder(ledger)

    # --- work ------------------------------------------------------------------------------------------------------

    def record_dispatch(self, ledger: Ledger, request: RequestId, tokens: int, now: float) -> None:
        """Record that a request was sent to an upstream."""
        ledger.record_dispatch(request, tokens, now)
        self._reorder(ledger)

    def reserve(self, ledger: Ledger, request: RequestId, tokens: int) -> None:
        """Reserve memory on a decode engine."""
        ledger.reserve(request, tokens)
        self._reorder(ledger)

    def apply_vm_load(self, name: UpstreamName, vm: str, load: VmLoad | None, now: float) -> None:
        """Apply the load that another entry VM reports for an upstream; None if that VM is gone."""
        ledger = self.ledgers.get(name)
        if ledger is not None:
            ledger.apply_vm_load(vm, load, now)
            self._reorder(ledger)

    def pop_changed_loads(self) -> dict[UpstreamName, VmLoad]:
        """Return this VM's own loads, by upstream, that changed since the last call."""
        names, self._changed = self._changed, set()
        loads = {name: self.ledgers[name].own_load for name in names if name in self.ledgers}
        changed = {name: load for name, load in loads.items() if self._sent_loads.get(name, NO_LOAD) != load}
        self._sent_loads.update(changed)
        return changed

    def cancel_reservation(self, ledger: Ledger, request: RequestId) -> None:
        """Cancel a reservation."""
        ledger.cancel_reservation(request)
        self._reorder(ledger)

    def record_end(self, name: UpstreamName, request: RequestId, now: float) -> None:
        """Record that a request has ended at an upstream."""
        ledger = self.ledgers.get(name)
        if ledger is None:
            return
        ledger.record_end(request, now)
        self._reorder(ledger)
        if ledger.state is UpstreamState.GONE and not ledger.own_runs:
            self._remove(name)

    # --- queries ---------------------------------------------------------------------------------------------------

    def list_usable(self, role: str, exclude: frozenset[str], now: float, limit: int = MAX_CANDIDATES) -> list[Ledger]:
        """Return the least loaded usable upstreams of a role, except the excluded ones."""
        found: list[Ledger] = []
        for ledger in self._iterate(role):
            if ledger.config.name not in exclude and ledger.is_usable(now, self.max_report_age):
                found.append(ledger)
                if len(found) == limit:
                    break
        return found

    def has_usable(self, role: str, now: float, exclude: frozenset[str] = frozenset()) -> bool:
        """Return whether any upstream of a role is usable, except the excluded ones."""
        return bool(self.list_usable(role, exclude, now, limit=1))

    def predict_prefill(self, ledger: Ledger, prompt_tokens: int, cached: int = 0) -> float:
        """Return the estimated seconds until a prompt is prefilled, including the queue at the engine."""
        queued = ledger.jobs * self.workload.prompt_tokens
        return (queued + max(1, prompt_tokens - cached)) / ledger.config.prefill_rate

    def predict_first_token_delay(self, prompt_tokens: int) -> float:
        """Return the estimated seconds from the start to the first token on idle engines of the highest rates."""
        prefill = max((ledger.config.prefill_rate for ledger in self._list_least_loaded("prefill")), default=0.0)
        link = max((ledger.config.link_rate for ledger in self._list_least_loaded("decode")), default=0.0)
        return (prompt_tokens / prefill if prefill else 0.0) + (prompt_tokens / link if link else 0.0)

    def predict_release_rate(self) -> float:
        """Return the predicted KV tokens per second that requests of this VM release.

        This is the rate of the slower phase, multiplied by this VM's share of the held decode memory.
        """
        decodes = [ledger for ledger in self.ledgers.values() if ledger.config.role == "decode"]
        prefills = [ledger for ledger in self.ledgers.values() if ledger.config.role == "prefill"]
        residence = max(0.001, self.workload.token_interval * self.workload.output_tokens)
        held = sum(ledger.held_tokens for ledger in decodes)
        share = sum(ledger.own_tokens for ledger in decodes) / held if held else 1.0
        tokens_per_prompt_token = 1 + self.workload.output_tokens / self.workload.prompt_tokens
        decode_rate = sum(ledger.capacity_tokens for ledger in decodes) / residence
        prefill_rate = sum(ledger.config.prefill_rate for ledger in prefills) * tokens_per_prompt_token
        return min(decode_rate, prefill_rate) * share

    def predict_transfer(self, ledger: Ledger, tokens: int, *, remote: bool = False) -> float:
        """Return the estimated seconds of a KV cache transfer over a link shared with transfers in progress."""
        streams = 1 + self.transfers.get(ledger.config.name, 0)
        seconds = tokens / (ledger.config.link_rate / streams)
        return seconds * 2 if remote else seconds

    # --- prefix cache ------------------------------------------------------------------------------------------------

    def record_block(self, name: UpstreamName, block: int, stored: bool, now: float) -> None:
        """Record that an upstream has stored or evicted a prefix block."""
        holders = self._blocks.setdefault(block, {})
        if stored and self._block_counts.get(name, 0) < MAX_BLOCKS_PER_UPSTREAM:
            if name not in holders:
                self._block_counts[name] = self._block_counts.get(name, 0) + 1
            holders[name] = now
        elif not stored and holders.pop(name, None) is not None:
            self._block_counts[name] -= 1
        if not holders:
            del self._blocks[block]

    def drop_blocks(self, name: UpstreamName) -> None:
        """Drop all prefix blocks of an upstream, as after a gap in its cache events."""
        for block in [block for block, holders in self._blocks.items() if name in holders]:
            self.record_block(name, block, stored=False, now=0)

    def find_cached_prefixes(self, blocks: tuple[int, ...], block_tokens: int) -> dict[UpstreamName, int]:
        """Return the cached prefix length, in tokens, for each upstream that is known to hold a prefix."""
        found: dict[UpstreamName, int] = {}
        for index in range(len(blocks) - 1, -1, -1):
            for name in self._blocks.get(blocks[index], {}):
                found.setdefault(name, (index + 1) * block_tokens)
        return found

    # --- order -------------------------------------------------------------------------------------------------------

    def _list_least_loaded(self, role: str) -> list[Ledger]:
        return list(itertools.islice(self._iterate(role), MAX_CANDIDATES))

    def _iterate(self, role: str) -> Iterator[Ledger]:
        order: Iterable[tuple[float, str]] = self._orders.get(role, ())
        for _, name in order:
            yield self.ledgers[UpstreamName(name)]

    def _reorder(self, ledger: Ledger) -> None:
        name = ledger.config.name
        self._changed.add(name)
        if ledger.state is not UpstreamState.SERVING:
            self._remove_from_order(ledger)
            return
        load = ledger.utilization if ledger.config.role == "decode" else ledger.jobs / ledger.config.prefill_rate
        key = (load, name)
        if self._order_keys.get(name) == key:
            return
        self._remove_from_order(ledger)
        self._order_keys[name] = key
        order = self._orders.get(ledger.config.role)
        if order is None:
            order = self._orders[ledger.config.role] = SortedList()
        order.add(key)

    def _remove_from_order(self, ledger: Ledger) -> None:
        key = self._order_keys.pop(ledger.config.name, None)
        if key is not None:
            self._orders[ledger.config.role].remove(key)

    def _remove(self, name: UpstreamName) -> None:
        self._remove_from_order(self.ledgers[name])
        self.drop_blocks(name)
        self._sent_loads.pop(name, None)
        del self.ledgers[name]

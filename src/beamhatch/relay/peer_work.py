"""Which prompts other VMs have engines read at the moment, from what they tell.

Engines need not say how busy they are. So each VM tells its peers how many prompt tokens of its requests are at each
engine and not read yet; the sum is what a further prompt waits for.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from beamhatch.relay.model import UpstreamId

TOLD_LIFE = 1.8
"""Seconds for which what a peer told is believed: some beats, as it tells any change at once."""


@dataclass(frozen=True, slots=True)
class _Told:
    tokens: Mapping[str, int]
    at: float


@dataclass(slots=True)
class PeerWork:
    """What each VM told last."""

    _by_vm: dict[str, _Told] = field(default_factory=dict)

    def take(self, vm: str, tokens: Mapping[str, int], now: float) -> None:
        """Take in the tokens that are to be read for another VM, by engine."""
        self._by_vm[vm] = _Told(tokens, now)

    def count_tokens(self, upstream: UpstreamId, now: float) -> int:
        """Return the tokens that an engine has to read for the VMs that were heard."""
        return sum(told.tokens.get(upstream, 0) for told in self._by_vm.values() if now - told.at < TOLD_LIFE)

    def forget_old(self, now: float) -> None:
        """Drop what is no longer believed."""
        self._by_vm = {vm: told for vm, told in self._by_vm.items() if now - told.at < TOLD_LIFE}

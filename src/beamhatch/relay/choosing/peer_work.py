"""Which prompts other VMs have engines read at the moment, from what they tell.

Engines need not say how busy they are. So each VM tells its peers how many prompt tokens of its requests are at each
engine and not read yet; the sum is what a further prompt waits for.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from beamhatch.relay.fleet.peer_values import PeerValues

if TYPE_CHECKING:
    from beamhatch.relay.model import UpstreamId


class PeerWork(PeerValues[Mapping[str, int]]):
    """The tokens that are to be read for each VM, by engine."""

    __slots__ = ()

    def count_tokens(self, upstream: UpstreamId, now: float) -> int:
        """Return the tokens that an engine has to read for the VMs that were heard."""
        return sum(tokens.get(upstream, 0) for tokens in self.list_values(now))

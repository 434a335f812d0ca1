"""Track the prefill work that peers have queued at each engine.

Engines need not report their load, so each VM sends its peers the number of its prompt tokens still to be
prefilled, by engine.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from beamhatch.relay.fleet.peer_words import PeerValues

if TYPE_CHECKING:
    from beamhatch.relay.model import UpstreamId


class PeerBacklog(PeerValues[Mapping[str, int]]):
    """Pending prompt tokens of each peer, by engine."""

    __slots__ = ()

    def count_tokens(self, upstream: UpstreamId, now: float) -> int:
        """Return the pending prompt tokens at an engine, summed over the recent reports of all peers."""
        return sum(tokens.get(upstream, 0) for tokens in self.list_values(now))

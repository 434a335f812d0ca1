"""Upstreams that turn requests away for some time, and repeat their rejections later."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from tests.support.late_copies import LateCopies

if TYPE_CHECKING:
    from beamhatch.platform.standin.upstream import StandInUpstream

REJECTED_SHARE = 0.4
"""Share of the requests and calls that are turned away meanwhile."""

REPEATED_SHARE = 0.5
"""Share of these whose rejection comes once more, in the place of the next response on the connection."""


class Rejections:
    """Rejections by all upstreams of a run."""

    def __init__(self, seed: int) -> None:
        self._drawn = random.Random(f"rejected requests of {seed}")
        self._active = 0
        self.copies = LateCopies(
            lambda request: self._active > 0 and self._drawn.random() < REJECTED_SHARE,
            lambda: self._drawn.random() < REPEATED_SHARE,
            rejects_calls=True,
        )

    def add(self, upstream: StandInUpstream) -> None:
        """Let an upstream turn requests away while it is told to."""
        self.copies.apply_to(upstream)

    def begin(self) -> None:
        """Have upstreams turn requests away; may overlap."""
        self._active += 1

    def end(self) -> None:
        """End one such time."""
        self._active -= 1

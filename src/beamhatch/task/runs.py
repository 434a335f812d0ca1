"""The runs of this VM that hold memory on engines, told to guards before they begin.

When a VM dies, its guards cancel its runs at the engines. A run is told in one small message; ends are told in
batches, since a late end only costs a cancel that finds nothing.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.ids import RequestId, RunId, UpstreamName


class RunLedger(ABC):
    """Takes note of runs."""

    @abstractmethod
    def begin(self, run: RunId, upstream: UpstreamName) -> None:
        """Note that a run is about to be sent to an engine."""

    @abstractmethod
    def end(self, request: RequestId) -> None:
        """Note that nothing is held any more for a request, but for what is being cancelled."""

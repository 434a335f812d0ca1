"""What a cold upstream may be sent: so little over all VMs together that it does not fall over as it warms up."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.relay.model import ColdTerms, Upstream, UpstreamId


class ColdGate(ABC):
    """Decides whether this VM may send one more request to an upstream that is cold.

    The sum over all VMs, whatever they know of each other, is to stay below what the upstream bears in any second.
    """

    @abstractmethod
    def may_send(self, upstream: Upstream, terms: ColdTerms, now: float) -> bool:
        """Tell whether one more request may go there now. It only looks."""

    @abstractmethod
    def note_sent(self, upstream: UpstreamId, now: float) -> None:
        """Count a request that goes to a cold upstream."""

    @abstractmethod
    def find_wait(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        """Return the seconds until this VM may send a request there; 0 where it may now."""


class OpenGate(ColdGate):
    """Bounds nothing."""

    def may_send(self, upstream: Upstream, terms: ColdTerms, now: float) -> bool:
        """Say yes."""
        return True

    def note_sent(self, upstream: UpstreamId, now: float) -> None:
        """Count nothing."""

    def find_wait(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        """Return no time."""
        return 0.0

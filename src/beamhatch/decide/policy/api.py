"""The interface of routing policies."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.decide.call import Priority

if TYPE_CHECKING:
    from collections.abc import Mapping

    from beamhatch.decide.fleet import Fleet
    from beamhatch.decide.ledger import Ledger
    from beamhatch.ids import RequestId, WorkspaceName


@dataclass(slots=True)
class ResourceNeed:
    """The resources and targets of a request in a pool; times are in seconds."""

    request: RequestId
    workspace: WorkspaceName
    prompt_tokens: int
    output_tokens: int
    arrival_time: float
    priority: Priority = Priority.NORMAL
    first_token_target: float = 0.32
    token_interval_target: float = 0.076
    deadline: float | None = None
    drop_if_late: bool = False
    weight: float = 1.0
    blocks: tuple[int, ...] = ()
    exclude: frozenset[str] = frozenset()
    labels: dict[str, str] = field(default_factory=dict)
    policy: str = ""
    """Name of the serving policy."""
    first_token_delay: float = 0.0
    """Estimated seconds from start to first token on idle engines, plus a margin."""

    @property
    def tokens(self) -> int:
        """Return the KV tokens held when the output is complete."""
        return self.prompt_tokens + self.output_tokens

    @property
    def first_token_due(self) -> float:
        """Return the time at which the caller should have the first token."""
        return self.arrival_time + self.first_token_target

    @property
    def latest_start(self) -> float:
        """Return the latest start time that meets the first-token target."""
        return self.first_token_due - self.first_token_delay


@dataclass(frozen=True, slots=True)
class UpstreamChoice:
    """The upstreams of a request; ``decode`` is None if it is chosen after the prefill."""

    first: Ledger
    decode: Ledger | None
    first_token_time: float
    """Expected time of the first token."""


class Policy(ABC):
    """A strategy that chooses upstreams; it changes no load accounting, which the pool updates."""

    queues_requests = True
    """True if requests wait for capacity; if False, a request for which nothing is chosen is refused."""

    def __init__(self, parameters: Mapping[str, float] | None = None) -> None:
        self.parameters = dict(parameters or {})

    @abstractmethod
    def choose_first(self, need: ResourceNeed, fleet: Fleet, now: float) -> UpstreamChoice | None:
        """Choose the first upstream of a request, or return None to let it wait."""

    @abstractmethod
    def choose_decode(self, need: ResourceNeed, fleet: Fleet, now: float) -> Ledger | None:
        """Choose the decode engine for a completed prefill, or return None to let it wait."""

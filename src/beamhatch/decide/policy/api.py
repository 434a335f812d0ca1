"""What a routing policy is."""

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
    """What a request needs of a pool."""

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
    """Name of the policy that serves it."""
    first_token_delay: float = 0.0
    """Seconds that it needs from its start to its first token, with nobody before it."""

    @property
    def tokens(self) -> int:
        """Return the KV tokens held at the end of the answer."""
        return self.prompt_tokens + self.output_tokens

    @property
    def first_token_due(self) -> float:
        """Return when the first token should be with the caller."""
        return self.arrival_time + self.first_token_target

    @property
    def latest_start(self) -> float:
        """Return the last moment at which a start still meets the target."""
        return self.first_token_due - self.first_token_delay


@dataclass(frozen=True, slots=True)
class UpstreamChoice:
    """Where a request goes; ``decode`` is None where that is left until the prefill has ended."""

    first: Ledger
    decode: Ledger | None
    first_token_time: float
    """When the first token is expected."""


class Policy(ABC):
    """Chooses upstreams. It only looks; what it chose is entered by the pool."""

    queues_requests = True
    """Whether requests that find no place wait for one, rather than being sent on regardless."""

    def __init__(self, parameters: Mapping[str, float] | None = None) -> None:
        self.parameters = dict(parameters or {})

    @abstractmethod
    def choose_first(self, need: ResourceNeed, fleet: Fleet, now: float) -> UpstreamChoice | None:
        """Choose where a request begins, or return None to let it wait."""

    @abstractmethod
    def choose_decode(self, need: ResourceNeed, fleet: Fleet, now: float) -> Ledger | None:
        """Choose the decode engine for a prefill that has ended, or return None to let it wait."""

"""The parsed request of a caller."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from beamhatch.ids import RecordKey, RequestId, WorkspaceName


class Priority(IntEnum):
    """The priority of a request; lower values are served first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


PRIORITY_NAMES = {"high": Priority.HIGH, "normal": Priority.NORMAL, "low": Priority.LOW}


@dataclass(slots=True)
class Call:
    """A validated request of a caller, with defaults applied."""

    request: RequestId
    workspace: WorkspaceName
    target: str
    """Name of the model, or of the plain service."""
    service: bool
    method: str
    path: str
    """Path and query string at the upstream."""
    body: bytes
    fields: dict[str, Any] = field(default_factory=dict)
    """The JSON body of a call to a model."""
    headers: list[tuple[str, str]] = field(default_factory=list)
    """Headers that are forwarded to a plain service."""
    streamed: bool = False
    repeatable: bool = True
    key: RecordKey | None = None
    attempt: int = 0
    """Attempt number for this idempotency key, as stated by the caller; 0 if not stated."""
    digest: str = ""
    """Hash of method, path and body; reusing a key with another digest is an error."""
    identity: str = ""
    """Input of the hash that assigns slices: the idempotency key or the request id."""
    priority: Priority = Priority.NORMAL
    arrival_time: float = 0.0
    """Monotonic seconds."""
    deadline: float | None = None
    """Monotonic seconds."""
    first_token_target: float = 0.32
    token_interval_target: float = 0.076
    drop_if_late: bool = False
    """True if the caller prefers a refusal to a late response."""
    prompt_tokens: int = 1
    output_tokens: int = 128
    """Expected number of output tokens."""
    blocks: tuple[int, ...] = ()
    """Chained hashes of the prompt's prefix blocks, shortest prefix first."""
    labels: dict[str, str] = field(default_factory=dict)
    traceparent: str | None = None

    @property
    def tokens(self) -> int:
        """Return the KV tokens that the request is expected to hold when it completes."""
        return self.prompt_tokens + self.output_tokens

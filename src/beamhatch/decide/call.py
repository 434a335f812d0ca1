"""What a caller asked for, in the terms that all parts share."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from beamhatch.ids import RecordKey, RequestId, WorkspaceName


class Priority(IntEnum):
    """Class of a request; a lower number goes first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


PRIORITY_NAMES = {"high": Priority.HIGH, "normal": Priority.NORMAL, "low": Priority.LOW}


@dataclass(slots=True)
class Call:
    """One caller's request, checked and with its defaults filled in."""

    request: RequestId
    workspace: WorkspaceName
    target: str
    """Name of the model, or of the plain service."""
    service: bool
    method: str
    path: str
    """Path and query at the upstream."""
    body: bytes
    fields: dict[str, Any] = field(default_factory=dict)
    """The JSON body of a call to a model."""
    headers: list[tuple[str, str]] = field(default_factory=list)
    """What is passed on to a plain service."""
    streamed: bool = False
    repeatable: bool = True
    key: RecordKey | None = None
    attempt: int = 0
    """Which attempt of its key the caller says this is; 0 where it says nothing."""
    digest: str = ""
    """Hash of method, path and body: a key that comes back with another one is an error."""
    identity: str = ""
    """What slices are cut by: the caller's key, or the request."""
    priority: Priority = Priority.NORMAL
    arrival_time: float = 0.0
    """Monotonic seconds."""
    deadline: float | None = None
    """Monotonic seconds."""
    first_token_target: float = 0.32
    token_interval_target: float = 0.076
    drop_if_late: bool = False
    """True where the caller would rather have a refusal than a late answer."""
    prompt_tokens: int = 1
    output_tokens: int = 128
    """Expected number of output tokens."""
    blocks: tuple[int, ...] = ()
    """Chained hashes of the prompt's prefix blocks, shortest prefix first."""
    labels: dict[str, str] = field(default_factory=dict)
    traceparent: str | None = None

    @property
    def tokens(self) -> int:
        """Return the KV tokens that the request is expected to hold at its end."""
        return self.prompt_tokens + self.output_tokens

"""HTTP calls to upstreams and the store, and who receives their responses."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from beamhatch.relay.upstreams.response_bounds import DEFAULT_MAX_BODY_BYTES

if TYPE_CHECKING:
    from beamhatch.relay.api import Headers
    from beamhatch.relay.tunnels.api import Via


class CallKind(Enum):
    """How responses to a call are told from those to other calls on the same connection."""

    IDENTIFIED = "identified"
    """Responses carry the request's ID."""
    UNIDENTIFIED = "unidentified"
    """Responses carry no ID."""


class CallFailure(Enum):
    """Reason why an exchange ended without a complete response."""

    UNREACHED = "unreached"
    """No connection was established; nothing was sent."""
    BROKEN = "broken"
    """The connection was lost; the request may have run."""
    MALFORMED = "malformed"
    """The response was invalid; the request may have run."""
    EXCESSIVE = "excessive"
    """The response was larger, or took longer, than any valid one; the request may have run."""


@dataclass(frozen=True, slots=True)
class Call:
    """Complete HTTP request to send."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers
    is_first: bool = True
    """Whether no other response was read on its connection before."""
    is_repeated_call: bool = False
    """Whether its connection had carried another call with the same ID before."""
    is_without_body: bool = False
    """Whether it has no body whatever its headers say, as the response to ``HEAD``."""

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the close of the connection marks the end of the body."""
        if self.is_without_body or self.status in (204, 304):
            return False
        return not any(name.lower() in ("content-length", "transfer-encoding") for name, _ in self.headers)


class ResponseSink(ABC):
    """Receiver of the response to one call; ``handle_end`` or ``handle_failure`` is the last call to it."""

    def handle_sent(self, via: Via | None) -> None:  # noqa: B027 - most sinks need not know
        """Handle the start of writing the request.

        :param via: the peer that the connection goes through; None for a direct one
        """

    def matches(self, head: ResponseHead) -> bool:
        """Return whether a response is to this call, not a late one to another call."""
        return True

    def get_max_body_bytes(self) -> int | None:
        """Return the maximum size of the body, once the head is known; None if the sink bounds what it receives."""
        return DEFAULT_MAX_BODY_BYTES

    @abstractmethod
    def handle_head(self, head: ResponseHead) -> None:
        """Handle the head of the response."""

    @abstractmethod
    def handle_data(self, data: bytes) -> None:
        """Handle body data."""

    @abstractmethod
    def handle_end(self) -> None:
        """Handle the end of a complete response."""

    @abstractmethod
    def handle_failure(self, failure: CallFailure, detail: str) -> None:
        """Handle a failure: no complete response will follow."""

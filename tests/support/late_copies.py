"""Upstreams that reject requests, and send their rejection once more in the place of the next response."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.platform.standin.upstream import NOT_EXECUTED, StandInEngine

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.platform.standin.upstream import StandInUpstream
    from beamhatch.relay.api import Headers
    from beamhatch.relay.callers.http_server import (
        CallerConnection,
        IncomingRequest,
        RequestHandler,
        Responder,
    )

REJECTIONS: dict[str, tuple[int, Headers]] = {
    "full": (503, [NOT_EXECUTED]),
    "busy": (429, [NOT_EXECUTED]),
    "misdirected": (421, []),
}
"""Status and headers of each kind of rejection, all of which prove that the request has not run."""


@dataclass(slots=True)
class LateCopies:
    """Rejections by some upstreams, and copies of them that come late."""

    rejects: Callable[[str], bool]
    """Returns whether a request with an id is rejected."""
    repeats: Callable[[], bool] = lambda: True
    """Returns whether a rejection is sent a second time."""
    kind: str = "full"
    rejects_calls: bool = False
    """Whether calls for memory are rejected too; ``rejects`` is asked for an empty id."""
    rejected: Counter[str] = field(default_factory=Counter)
    """Number of rejections by request ID."""
    copies: int = 0
    """Copies sent in the place of a response to any request."""
    own_copies: int = 0
    """Of these, copies in the place of a response to the same request."""
    _pending: dict[CallerConnection, str] = field(default_factory=dict)
    """Request ID of the rejection that each connection will carry once more."""

    def apply_to(self, upstream: StandInUpstream) -> None:
        """Have an upstream reject requests, and an engine also calls for memory, which have no id."""
        self._reject_requests(upstream)
        if self.rejects_calls and isinstance(upstream, StandInEngine):
            self._reject_calls(upstream)

    def _reject_calls(self, engine: StandInEngine) -> None:
        reserve = engine._reserve

        def reserve_or_reject(asked: dict[str, int], responder: Responder) -> None:
            connection = responder._connection
            assert connection is not None
            if self.rejects(""):
                self._send_copy(connection, "", responder)
                self._reject(engine, connection, "", responder)
            else:
                reserve(asked, responder)
                self._send_copy(connection, "", responder)

        engine._reserve = reserve_or_reject  # type: ignore[method-assign]

    def _reject_requests(self, upstream: StandInUpstream) -> None:
        process = upstream.process

        def process_or_reject(
            incoming: IncomingRequest, headers: dict[str, str], request: str, responder: Responder
        ) -> RequestHandler | None:
            connection = responder._connection
            assert connection is not None
            if self.rejects(request):
                self._send_copy(connection, request, responder)
                self._reject(upstream, connection, request, responder)
                return None
            handler = process(incoming, headers, request, responder)
            self._send_copy(connection, request, responder)
            return handler

        upstream.process = process_or_reject  # type: ignore[method-assign]

    def _reject(
        self, upstream: StandInUpstream, connection: CallerConnection, request: str, responder: Responder
    ) -> None:
        self.rejected[request] += 1
        status, headers = REJECTIONS[self.kind]
        upstream.refuse(responder, request, status, *headers)
        if self.repeats():
            self._pending[connection] = request

    def _send_copy(self, connection: CallerConnection, request: str, responder: Responder) -> None:
        copied = self._pending.pop(connection, None)
        if copied is None:
            return
        self.copies += 1
        self.own_copies += copied == request
        status, headers = REJECTIONS[self.kind]
        named = [("Request-Id", copied)] if copied else []
        responder.send_unsolicited(status, [*named, *headers], b"{}")


def reject_once(name: str) -> Callable[[str], bool]:
    """Return a function that tells to reject one request, the first time that it comes."""
    seen: list[str] = []

    def rejects(request: str) -> bool:
        if request != name or seen:
            return False
        seen.append(request)
        return True

    return rejects

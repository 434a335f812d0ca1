"""Upstreams that stop in the middle of their responses."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.platform.standin.upstream import StandInUpstream
    from beamhatch.relay.callers.http_server import (
        CallerConnection,
        IncomingRequest,
        RequestHandler,
        Responder,
    )


class Cut(Enum):
    """How an upstream ends the connection as it stops."""

    CLOSE = "close"
    RESET = "reset"


@dataclass(slots=True)
class Cutter:
    """Ends each response to a request behind some bytes, while its upstream goes on."""

    how: Cut
    limit: int
    """Number of bytes of the response that are sent."""
    cuts: int = 0

    def apply_to(self, upstream: StandInUpstream) -> None:
        """Have an upstream stop in its responses to requests."""
        process = upstream.process

        def process_and_cut(
            incoming: IncomingRequest, headers: dict[str, str], request: str, responder: Responder
        ) -> RequestHandler | None:
            assert responder._connection is not None
            self._cut(responder._connection)
            return process(incoming, headers, request, responder)

        upstream.process = process_and_cut  # type: ignore[method-assign]

    def _cut(self, connection: CallerConnection) -> None:
        transport = connection.transport
        write = transport.write
        sent = b""

        def write_part(data: bytes) -> None:
            nonlocal sent
            part = data[: max(0, self.limit - len(sent))]
            sent += part
            if part:
                write(part)
            if len(part) < len(data) and transport.connected:
                self.cuts += 1
                if self.how is Cut.CLOSE:
                    transport.loseConnection()
                else:
                    transport.abortConnection()

        transport.write = write_part

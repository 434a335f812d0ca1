"""Base class of the stand-ins and helpers to parse requests and send JSON responses."""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

from beamhatch.platform.standin.unframed import UnframedServer
from beamhatch.relay.callers.http_server import IncomingRequest, RequestHandler, Responder
from beamhatch.relay.model import Address, CallerLimits

if TYPE_CHECKING:
    from beamhatch.clock import Clock

CALLER_LIMITS = CallerLimits(64 * 1024, 64 * 1024 * 1024, 30.0, 60.0)


class StandIn(ABC):
    """An HTTP server at one address."""

    resets_on_stop = True
    """Whether connections are reset when the process ends; otherwise they are closed like complete ones."""
    ends_inside_event = True
    """Whether unframed streams that are closed when the process ends break inside an event."""

    def __init__(self, clock: Clock, address: Address) -> None:
        self.clock = clock
        self.address = address
        self._server = UnframedServer(clock, self.serve, lambda: CALLER_LIMITS, lambda status, detail: None)
        self._port: Any = None

    def start(self) -> None:
        """Start listening; port 0 selects a free port."""
        self._port = self.clock.reactor.listenTCP(self.address.port, self._server, interface=self.address.host)
        self.address = Address(self.address.host, self._port.getHost().port)

    @property
    def unframed(self) -> bool:
        """Return whether responses have neither a length nor chunks, and end with their connection."""
        return self._server.unframed

    @unframed.setter
    def unframed(self, value: bool) -> None:
        self._server.unframed = value

    @property
    def listening(self) -> bool:
        """Return whether it accepts connections."""
        return self._port is not None

    def stop(self) -> None:
        """Stop listening and end all connections, as in a crash."""
        if self._port is not None:
            self._port.stopListening()
            self._port = None
        for connection in list(self._server.connections):
            if self.resets_on_stop:
                connection.abort()
                continue
            if self.unframed and self.ends_inside_event and not connection.is_idle:
                connection.transport.write(b"id: ")
            connection.transport.loseConnection()

    def abort_connections(self) -> None:
        """Abort all connections, but keep listening."""
        for connection in list(self._server.connections):
            connection.abort()

    @abstractmethod
    def serve(self, incoming: IncomingRequest, responder: Responder) -> RequestHandler | None:
        """Handle one request."""


def read_headers(incoming: IncomingRequest) -> dict[str, str]:
    """Return the headers by lower-case name."""
    return {name.lower(): value for name, value in incoming.headers}


def read_query(incoming: IncomingRequest) -> dict[str, str]:
    """Return the query parameters."""
    return dict(parse_qsl(incoming.target.partition("?")[2]))


def send_json(responder: Responder, status: int, value: object, *headers: tuple[str, str]) -> None:
    """Send a JSON response."""
    responder.send_response(status, [("Content-Type", "application/json"), *headers], json.dumps(value).encode())

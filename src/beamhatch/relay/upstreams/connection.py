"""HTTP/1.1 connections, which carry one call at a time, built on h11."""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

import h11
from twisted.internet import error
from twisted.internet.protocol import Protocol, connectionDone

from beamhatch.relay.callers.headers import (
    DEFAULT_KEEP_ALIVE_S,
    decode_headers,
    encode_headers,
    parse_keep_alive_timeout,
    wants_close,
)
from beamhatch.relay.upstreams.call import CallFailure, CallKind, ResponseHead
from beamhatch.relay.upstreams.response_bounds import ResponseBounds

if TYPE_CHECKING:
    from twisted.python.failure import Failure as TwistedFailure

    from beamhatch.relay.model import Address
    from beamhatch.relay.overload.meter import LinkMeter
    from beamhatch.relay.tunnels.api import Via
    from beamhatch.relay.upstreams.call import Call, ResponseSink

MAX_HEAD_BYTES = 64 * 1024
"""Maximum size of the head of a response."""

USER_TIMEOUT_MS = 5000
"""Time after which unacknowledged data closes a connection."""

TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)


class ConnectionPool(ABC):
    """Keeper of idle connections."""

    meter: LinkMeter

    @abstractmethod
    def add_idle(self, connection: Connection, idle_timeout: float) -> None:
        """Keep an idle connection, to expire before the peer closes it after ``idle_timeout`` seconds."""

    @abstractmethod
    def remove(self, connection: Connection) -> None:
        """Remove a closed connection."""


class Correlation:
    """Calls whose responses carry the same ID, and the connections that have carried one of them.

    On such a connection, a second response to one call can't be told from the response to the next one.
    """

    def __init__(self) -> None:
        self._connections: set[Connection] = set()

    def add(self, connection: Connection) -> None:
        """Record that a connection carries one of the calls."""
        self._connections.add(connection)

    def includes(self, connection: Connection) -> bool:
        """Return whether a connection has carried one of the calls."""
        return connection in self._connections


class HttpExchange:
    """Call in progress."""

    def __init__(self, call: Call, sink: ResponseSink | None, correlation: Correlation | None = None) -> None:
        self.call = call
        self.sink = sink
        self.correlation = correlation
        """The calls whose responses carry the same ID; None if responses carry none."""
        self.connection: Connection | None = None
        self.is_repeated = False
        """Whether its connection had carried another call with the same ID."""

    @property
    def kind(self) -> CallKind:
        """Return how responses to this call are told from others."""
        return CallKind.UNIDENTIFIED if self.correlation is None else CallKind.IDENTIFIED

    def may_use(self, connection: Connection) -> bool:
        """Return whether a response on an idle connection can be told to be to this call."""
        used = self.correlation is not None and self.correlation.includes(connection)
        return connection.kind in (None, self.kind) and not used

    def attach(self, connection: Connection) -> None:
        """Record the connection that carries the call."""
        self.connection = connection
        if self.correlation is not None:
            self.is_repeated = self.correlation.includes(connection)
            self.correlation.add(connection)

    def cancel(self) -> None:
        """Close the connection without notifying the sink."""
        self.sink = None
        if self.connection is not None and self.connection.carries(self):
            self.connection.abort()

    def pause(self) -> None:
        """Stop reading the response."""
        if self.connection is not None and self.connection.carries(self):
            self.connection.paused = True
            self.connection.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading the response."""
        if self.connection is not None and self.connection.carries(self):
            self.connection.paused = False
            self.connection.transport.resumeProducing()

    def report_failure(self, failure: CallFailure, detail: str) -> None:
        """Report a failure to the sink, unless the exchange has ended."""
        sink, self.sink = self.sink, None
        if sink is not None:
            sink.handle_failure(failure, detail)


class Connection(Protocol):
    """Connection that carries one call at a time."""

    def __init__(self, client: ConnectionPool, address: Address, via: Via | None = None) -> None:
        self.address = address
        self.via = via
        """Peer that the connection goes through; None for a direct one."""
        self.idle_until = 0.0
        self.idle_since = 0.0
        self.paused = False
        """True while reading is paused and the end of the connection can't be seen."""
        self.kind: CallKind | None = None
        """Kind of the calls that the connection carries; None before the first one."""
        self._client = client
        self._exchange: HttpExchange | None = None
        self._state = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._skipping = False
        self._head: ResponseHead | None = None
        self._has_responded = False
        """Whether a response was read, to any call."""
        self._bounds = ResponseBounds()

    def connectionMade(self) -> None:
        """Set the socket options."""
        self.transport.setTcpNoDelay(True)
        self.transport.getHandle().setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def send(self, exchange: HttpExchange) -> None:
        """Write a call's request."""
        self._exchange = exchange
        self._bounds = ResponseBounds()
        self.kind = exchange.kind
        exchange.attach(self)
        if exchange.sink is not None:
            exchange.sink.handle_sent(self.via)
        encoded = self._encode(exchange.call)
        self._client.meter.record_sent(len(encoded))
        self.transport.write(encoded)

    def carries(self, exchange: HttpExchange) -> bool:
        """Return whether a call is in progress here, and not another one since."""
        return self._exchange is exchange

    def abort(self) -> None:
        """Reset the connection."""
        self._exchange = None
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes; reset the connection if no call is in progress."""
        self._client.meter.record_received(len(data))
        if self._exchange is None:
            self.abort()
            return
        self._feed(data)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """End the call in progress; a response delimited by a clean close is complete."""
        self._client.remove(self)
        if self._exchange is not None and reason.check(error.ConnectionDone):
            self._feed(b"")
        self._fail(CallFailure.BROKEN, reason.getErrorMessage())

    # --- reading -----------------------------------------------------------------------------------------------------

    def _feed(self, data: bytes) -> None:
        try:
            self._bounds.record_received(len(data))
            self._state.receive_data(data)
            self._handle_events()
        except h11.RemoteProtocolError as problem:
            self._fail(CallFailure.BROKEN if not data else CallFailure.MALFORMED, str(problem))

    def _handle_events(self) -> None:
        while self._exchange is not None:
            event = self._state.next_event()
            is_waiting = event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed)
            if not is_waiting:
                self._handle_event(event)
            excess = self._bounds.find_excess()
            if excess is not None:
                self._fail(CallFailure.EXCESSIVE, excess.value)
            if is_waiting:
                return

    def _handle_event(self, event: Any) -> None:
        exchange = self._exchange
        assert exchange is not None
        if isinstance(event, h11.InformationalResponse):
            self._bounds.record_skipped()
        elif isinstance(event, h11.Response):
            head = ResponseHead(
                event.status_code,
                decode_headers(event.headers),
                is_first=not self._has_responded,
                is_repeated_call=exchange.is_repeated,
                is_without_body=exchange.call.method == "HEAD",
            )
            self._has_responded = True
            self._handle_head(exchange, head)
        elif isinstance(event, h11.Data) and not self._skipping:
            self._bounds.record_body(len(event.data))
            if exchange.sink is not None:
                exchange.sink.handle_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._handle_end(exchange)

    def _handle_head(self, exchange: HttpExchange, head: ResponseHead) -> None:
        self._head = head
        self._skipping = exchange.sink is not None and not exchange.sink.matches(head)
        if self._skipping:
            self._bounds.record_skipped()
            return
        if exchange.sink is not None:
            exchange.sink.handle_head(head)
        if exchange.sink is not None:  # it may have been cancelled
            self._bounds.max_body_bytes = exchange.sink.get_max_body_bytes()

    def _handle_end(self, exchange: HttpExchange) -> None:
        if self._skipping:
            self._restart(exchange)
            return
        self._exchange = None
        sink, exchange.sink = exchange.sink, None
        self._release()
        if sink is not None:
            sink.handle_end()

    def _restart(self, exchange: HttpExchange) -> None:
        """Reset the parser to wait for the response to this call after a response to another."""
        trailing, closed = self._state.trailing_data
        self._skipping = False
        self._state = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._encode(exchange.call)
        if trailing:
            self._state.receive_data(trailing)
        if closed:
            self._fail(CallFailure.BROKEN, "connection closed after a response to another request")

    def _release(self) -> None:
        """Keep the connection for reuse, or close it if it can't be reused."""
        trailing, closed = self._state.trailing_data
        head = self._head
        reusable = self._state.our_state is h11.DONE and self._state.their_state is h11.DONE
        if trailing or closed or not reusable or head is None or wants_close(head.headers):
            self.transport.loseConnection()
            return
        self._state.start_next_cycle()
        self._client.add_idle(self, parse_keep_alive_timeout(head.headers))

    def _fail(self, failure: CallFailure, detail: str) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is None:
            return
        self.transport.abortConnection()
        exchange.report_failure(failure, detail)

    def _encode(self, call: Call) -> bytes:
        headers = encode_headers(call.headers)
        if call.body or call.method in ("POST", "PUT", "PATCH"):
            headers.append((b"Content-Length", str(len(call.body)).encode()))
        parts = [self._state.send(h11.Request(method=call.method, target=call.target, headers=headers))]
        if call.body:
            parts.append(self._state.send(h11.Data(data=call.body)))
        parts.append(self._state.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)


class NewConnection(Connection):
    """Connection that sends its first call as soon as it is established."""

    def __init__(self, client: ConnectionPool, address: Address, via: Via | None, exchange: HttpExchange) -> None:
        super().__init__(client, address, via)
        self._first_exchange: HttpExchange | None = exchange

    def connectionMade(self) -> None:
        """Send the first call, or keep the connection if that was cancelled."""
        super().connectionMade()
        exchange, self._first_exchange = self._first_exchange, None
        if exchange is not None and exchange.sink is not None:
            self.send(exchange)
        else:
            self._client.add_idle(self, DEFAULT_KEEP_ALIVE_S)

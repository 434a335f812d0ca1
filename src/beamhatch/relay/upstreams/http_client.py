"""HTTP/1.1 client for upstreams and the store, built on h11, with reuse of connections.

Its failures distinguish what decides whether a call may be retried: whether anything may have been sent, and whether
the response was complete. Responses to other requests are skipped.
"""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass
from enum import Enum
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
from beamhatch.relay.model import Address
from beamhatch.relay.overload.meter import LinkMeter
from beamhatch.relay.tunnels.api import DialReceiver, allow_any_hall, allow_no_hall
from beamhatch.relay.tunnels.direct import DirectDialer
from beamhatch.relay.upstreams.response_bounds import DEFAULT_MAX_BODY_BYTES, ResponseBounds

if TYPE_CHECKING:
    from collections.abc import Callable, Set

    from twisted.python.failure import Failure as TwistedFailure

    from beamhatch.clock import Clock
    from beamhatch.relay.api import Headers
    from beamhatch.relay.tunnels.api import Dialer, HallFilter, Via

MAX_HEAD_BYTES = 64 * 1024
"""Maximum size of the head of a response."""

SWEEP_INTERVAL_S = 1.0
"""Time between sweeps that close expired idle connections."""

JUST_CLOSED_S = 0.02
"""Time for which it is known that an idle connection was closed at the other end."""

MAX_JUST_CLOSED = 64
"""Maximum number of such connections that are known."""

USER_TIMEOUT_MS = 5000
"""Time after which unacknowledged data closes a connection."""

TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)


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

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the close of the connection marks the end of the body."""
        if self.status in (204, 304):
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


class HttpExchange:
    """Call in progress."""

    def __init__(self, call: Call, sink: ResponseSink | None, kind: CallKind = CallKind.UNIDENTIFIED) -> None:
        self.call = call
        self.sink = sink
        self.kind = kind
        self.connection: Connection | None = None

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

    def __init__(self, client: HttpClient, address: Address, via: Via | None = None) -> None:
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
        exchange.connection = self
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
            head = ResponseHead(event.status_code, decode_headers(event.headers), is_first=not self._has_responded)
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


class _Probe(DialReceiver):
    """Opening of a connection that tells whether an upstream accepts any; it is kept for a later call."""

    is_wanted = True

    def __init__(self, client: HttpClient, address: Address, on_result: Callable[[bool], None]) -> None:
        self._client = client
        self._address = address
        self._on_result = on_result

    def build_protocol(self, via: Via | None) -> Connection:
        """Create the protocol, and report the success."""
        connection = _NewConnection(self._client, self._address, via, HttpExchange(_NO_CALL, None))
        self._client.add_open(connection)
        self._on_result(True)
        return connection

    def handle_failure(self, detail: str) -> None:
        """Report the failure."""
        self._on_result(False)


_NO_CALL = Call("", "", [])
"""Placeholder for the call of a connection that is opened for later ones."""


class _Dial(DialReceiver):
    """Opening of the connection for one exchange."""

    def __init__(self, client: HttpClient, address: Address, exchange: HttpExchange, max_idle_s: float) -> None:
        self._client = client
        self._address = address
        self._exchange = exchange
        self._max_idle_s = max_idle_s

    @property
    def is_wanted(self) -> bool:
        """Return whether the exchange was not cancelled."""
        return self._exchange.sink is not None

    def build_protocol(self, via: Via | None) -> Connection:
        """Create the protocol; if the exchange was cancelled, the connection is kept for another one."""
        connection = _NewConnection(self._client, self._address, via, self._exchange)
        self._client.add_open(connection)
        return connection

    def handle_failure(self, detail: str) -> None:
        """Send on an idle direct connection if there is one, or report that nothing was sent."""
        connection = None
        if self.is_wanted:
            connection = self._client.pop_idle_direct(self._address, self._max_idle_s, self._exchange.kind)
        if connection is not None:
            connection.send(self._exchange)
        else:
            self._exchange.report_failure(CallFailure.UNREACHED, detail)


class _NewConnection(Connection):
    """Connection that sends its first call as soon as it is established."""

    def __init__(self, client: HttpClient, address: Address, via: Via | None, exchange: HttpExchange) -> None:
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


class ConnectionTracker(ABC):
    """Source of the open connections to upstreams."""

    @abstractmethod
    def list_open(self, address: Address, via: Via | None) -> Set[Connection]:
        """Return the open connections to an address that go through a peer, or the direct ones."""

    @abstractmethod
    def list_just_closed(self, address: Address, via: Via | None) -> Set[Connection]:
        """Return the idle connections to an address that were closed at the other end a moment ago."""

    @abstractmethod
    def has_other_tunnel(self, via: Via, address: Address) -> bool:
        """Return whether a connection to another address is open through a peer."""


class HttpClient(ConnectionTracker):
    """HTTP client with a pool of connections per address."""

    def __init__(
        self,
        clock: Clock,
        dialer: Dialer | None = None,
        *,
        connect_timeout: float = 0.5,
        meter: LinkMeter | None = None,
    ) -> None:
        self._clock = clock
        self.meter = meter or LinkMeter()
        self._dialer = dialer or DirectDialer(clock)
        self._connect_timeout = connect_timeout
        self._idle: dict[Address, list[Connection]] = {}
        self._just_closed: deque[tuple[float, Connection]] = deque(maxlen=MAX_JUST_CLOSED)
        """Idle connections that were closed at the other end, with the monotonic time in seconds."""
        self._open: dict[Address, set[Connection]] = {}
        self.opened_count = 0
        """Number of connection attempts so far."""

    @property
    def open_count(self) -> int:
        """Number of established connections."""
        return sum(map(len, self._open.values()))

    def start(self) -> None:
        """Start the periodic sweep of idle connections."""
        self._clock.call_later(SWEEP_INTERVAL_S, self._sweep)

    def open(
        self,
        address: Address,
        call: Call,
        sink: ResponseSink,
        *,
        max_idle_s: float = 1e9,
        may_pass: HallFilter = allow_any_hall,
        kind: CallKind = CallKind.UNIDENTIFIED,
    ) -> HttpExchange:
        """Send a call on the last used idle connection if it is recent enough, otherwise on a new one.

        Connections are not shared between calls of different kinds: a second response to an unidentified call could
        not be told from the response to the next call.

        :param max_idle_s: limit on the idle time; low for calls that must not be retried after a stale connection
        :param may_pass: returns whether the call may go through a peer in a hall
        """
        exchange = HttpExchange(call, sink, kind)
        connection = self._pop_idle(address, max_idle_s, may_pass, kind)
        if connection is not None:
            connection.send(exchange)
            return exchange
        self._dial(address, exchange, max_idle_s, may_pass)
        return exchange

    def warm(self, address: Address) -> None:
        """Open a direct connection without a call, and keep it for later ones."""
        exchange = HttpExchange(_NO_CALL, None)
        self._dial(address, exchange, 0.0, allow_no_hall)

    def probe(self, address: Address, on_result: Callable[[bool], None]) -> None:
        """Open a direct connection without a call, keep it, and report whether the upstream accepted it."""
        self.opened_count += 1
        self._dialer.connect(address, _Probe(self, address, on_result), self._connect_timeout, allow_no_hall)

    def _dial(self, address: Address, exchange: HttpExchange, max_idle_s: float, may_pass: HallFilter) -> None:
        self.opened_count += 1
        dial = _Dial(self, address, exchange, max_idle_s)
        self._dialer.connect(address, dial, self._connect_timeout, may_pass)

    def list_open(self, address: Address, via: Via | None) -> Set[Connection]:
        """Return the open connections to an address that go through a peer, or the direct ones."""
        return frozenset(one for one in self._open.get(address, ()) if one.via == via)

    def list_just_closed(self, address: Address, via: Via | None) -> Set[Connection]:
        """Return the idle connections to an address that were closed at the other end a moment ago."""
        since = self._clock.now() - JUST_CLOSED_S
        closed = [(at, one) for at, one in self._just_closed if at >= since]
        return frozenset(one for _, one in closed if one.address == address and one.via == via)

    def has_other_tunnel(self, via: Via, address: Address) -> bool:
        """Return whether a connection to another address is open through a peer."""
        return any(one.via == via for other, found in self._open.items() if other != address for one in found)

    def add_idle(self, connection: Connection, idle_timeout: float) -> None:
        """Add an idle connection to the pool, to expire before the peer closes it; close it if it is not kept."""
        if not self._dialer.should_keep(connection.address, connection.via):
            connection.transport.loseConnection()
            return
        now = self._clock.now()
        connection.idle_since = now
        connection.idle_until = now + max(0.0, min(idle_timeout - 1.0, idle_timeout * 0.7))
        self._idle.setdefault(connection.address, []).append(connection)

    def add_open(self, connection: Connection) -> None:
        """Add a connection to the open ones."""
        self._open.setdefault(connection.address, set()).add(connection)

    def remove(self, connection: Connection) -> None:
        """Remove a closed connection."""
        left = self._open.get(connection.address, set())
        left.discard(connection)
        if not left:
            self._open.pop(connection.address, None)
        if self._remove_idle(connection):
            self._just_closed.append((self._clock.now(), connection))

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.transport.loseConnection()

    def close_idle_tunnels(self, proxy: Address | None = None) -> None:
        """Close the idle connections that go through peers.

        :param proxy: the peer whose tunnels are closed, by where it listens for them; None for all
        """
        self._close_idle_if(lambda one: one.via is not None and proxy in (None, one.via.address))

    def _close_idle_if(self, concerns: Callable[[Connection], bool]) -> None:
        for connection in [one for idle in self._idle.values() for one in idle if concerns(one)]:
            self._remove_idle(connection)
            connection.transport.loseConnection()

    def _remove_idle(self, connection: Connection) -> bool:
        """Remove a connection from the idle ones, and return whether it was one."""
        idle = self._idle.get(connection.address)
        if idle is None or connection not in idle:
            return False
        idle.remove(connection)
        if not idle:
            del self._idle[connection.address]
        return True

    def _pop_idle(self, address: Address, max_idle_s: float, may_pass: HallFilter, kind: CallKind) -> Connection | None:
        max_direct_idle_s = min(max_idle_s, self._dialer.get_max_idle_s(address))
        direct = self.pop_idle_direct(address, max_direct_idle_s, kind)
        if direct is not None:
            return direct
        return self._pop_newest(address, max_idle_s, kind, lambda one: one.via is not None and may_pass(one.via.hall))

    def pop_idle_direct(self, address: Address, max_idle_s: float, kind: CallKind) -> Connection | None:
        """Return the direct connection to an address that was used last, or None if it is idle for too long."""
        return self._pop_newest(address, max_idle_s, kind, lambda one: one.via is None)

    def _pop_newest(
        self, address: Address, max_idle_s: float, kind: CallKind, concerns: Callable[[Connection], bool]
    ) -> Connection | None:
        now = self._clock.now()
        idle: list[Connection] = self._idle.get(address, [])
        newest = next((one for one in reversed(idle) if one.kind in (None, kind) and concerns(one)), None)
        if newest is None or now >= newest.idle_until or now - newest.idle_since > max_idle_s:
            return None
        self._remove_idle(newest)
        return newest

    def _sweep(self) -> None:
        now = self._clock.now()
        self._close_idle_if(lambda one: now >= one.idle_until)
        while self._just_closed and self._just_closed[0][0] < now - JUST_CLOSED_S:
            self._just_closed.popleft()
        self._clock.call_later(SWEEP_INTERVAL_S, self._sweep)

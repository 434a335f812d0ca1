"""HTTP/1.1 server for callers, built on h11.

Sizes and times are bounded, and requests with ambiguous framing are rejected.
"""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import h11
from twisted.internet.protocol import Factory, Protocol, connectionDone

from beamhatch.ordered_set import OrderedSet
from beamhatch.relay.callers.headers import decode_headers, encode_headers, get_header
from beamhatch.relay.overload.meter import LinkMeter

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure as TwistedFailure

    from beamhatch.clock import Clock
    from beamhatch.relay.api import Headers
    from beamhatch.relay.model import CallerLimits

MAX_PIPELINED_BYTES = 64 * 1024
"""Bytes of pipelined requests buffered during a request before reading pauses."""

LINGER_S = 1.0
"""Seconds for which an unread body is discarded after an error, so that the caller gets the response and no reset."""

MIN_HEAD_BYTES = 4096
"""Bytes of a head that are always parsed, even if the configured limit is lower, so that an error can be sent."""

MAX_TOTAL_BODY_BYTES = 32 * 1024 * 1024
"""Bytes of request bodies held in memory for all callers together.

The smallest VMs have 128 MB of memory in all.
"""

BODY_LIMIT_RETRY_AFTER_S = 1.0
"""Seconds in ``Retry-After`` when the limit on held bodies is reached."""


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A complete request from a caller."""

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_at: float
    """Monotonic seconds when the head was complete."""

    @property
    def path(self) -> str:
        """The request target without its query."""
        return self.target.partition("?")[0]

    @property
    def host(self) -> str:
        """The requested host, in lower case and without a port."""
        value = (get_header(self.headers, "host") or "").strip().lower()
        name, _, port = value.rpartition(":")
        return name if name and port.isdigit() else value


class RequestHandler(ABC):
    """Handler of one request."""

    @abstractmethod
    def handle_caller_lost(self) -> None:
        """Handle the loss of the caller's connection."""

    @abstractmethod
    def pause(self) -> None:
        """Pause the response: the caller reads too slowly."""

    @abstractmethod
    def resume(self) -> None:
        """Resume the response: the caller reads again."""


class ConnectionObserver:
    """Observer of callers' connections; its methods do nothing by default."""

    def handle_connected(self) -> None:
        """Handle a new connection."""

    def handle_request(self, *, is_first: bool, seconds: float) -> None:
        """Handle a complete request.

        :param is_first: whether it is the first one of its connection
        :param seconds: time since the connection was accepted
        """

    def handle_unused(self) -> None:
        """Handle the end of a connection that carried no complete request."""


class Responder:
    """Writer of the response to one request."""

    def __init__(self, connection: CallerConnection) -> None:
        self._connection: CallerConnection | None = connection
        self.started = False

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        self.started = True
        connection.write_head(status, [*headers, ("Content-Length", str(len(body)))])
        connection.write_end(body)

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of a response of unknown length."""
        if self._connection is not None:
            self.started = True
            self._connection.start_stream()
            self._connection.write_head(status, headers)

    def write(self, data: bytes) -> None:
        """Send body data."""
        if self._connection is not None and data:
            self._connection.write_data(data)

    def send_unsolicited(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a response that nobody asked for, as a faulty server does; for stand-ins only."""
        if self._connection is not None:
            self._connection.write_unsolicited(status, headers, body)

    def end(self) -> None:
        """Complete the response."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.write_end(b"")

    def abort(self) -> None:
        """Reset the connection, so that the caller sees a truncated response."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()


class CallerConnection(Protocol):
    """Connection of a caller; its requests are served one at a time."""

    def __init__(self, server: CallerServer) -> None:
        self._server = server
        self._limits = server.get_limits()
        self._state = h11.Connection(
            h11.SERVER, max_incomplete_event_size=max(MIN_HEAD_BYTES, self._limits.header_bytes)
        )
        self._head: h11.Request | None = None
        self._omits_body = False
        """Whether responses to the current request have no body, because its method is HEAD."""
        self._head_at = 0.0
        self._body: list[bytes] = []
        self._received = 0
        self._held_bytes = 0
        """Bytes of this request's body counted in ``CallerServer.held_bytes``."""
        self._handler: RequestHandler | None = None
        self._serving = False
        self._closing = False
        self._discarding = False
        self._streaming = False
        self._head_started = False
        """True once a part of a head has been received."""
        self._connected_at = 0.0
        self.request_count = 0
        """Number of complete requests so far."""
        self._timer: Any = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being served or received."""
        return not self._serving and self._head is None and not self._state.trailing_data[0]

    def connectionMade(self) -> None:
        """Register the connection and start the idle timer."""
        self._connected_at = self._server.clock.now()
        self.transport.setTcpNoDelay(True)
        self._server.connections.add(self)
        self._restart_timer(self._limits.idle_timeout)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Release the connection's resources and notify the handler."""
        self._server.connections.discard(self)
        if not self.request_count:
            self._server.observer.handle_unused()
        self._stop_timer()
        self._release_body()
        handler, self._handler = self._handler, None
        if handler is not None:
            handler.handle_caller_lost()

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes."""
        self._server.meter.record_received(len(data))
        if self._discarding:
            return
        try:
            self._state.receive_data(data)
            self._read()
        except h11.RemoteProtocolError as problem:
            self._reject(problem.error_status_hint, str(problem))

    # --- reading -----------------------------------------------------------------------------------------------------

    def _read(self) -> None:
        while not self._serving and not self._discarding:
            event = self._state.next_event()
            if event is h11.NEED_DATA:
                self._start_head_timer()
                return
            if event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                self.transport.loseConnection()
                return
            self._handle_event(event)
        if self._serving and len(self._state.trailing_data[0]) > MAX_PIPELINED_BYTES:
            self.transport.pauseProducing()

    def _handle_event(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._handle_head(event)
        elif isinstance(event, h11.Data):
            self._handle_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._submit()

    def _handle_head(self, head: h11.Request) -> None:
        if len(head.target) + sum(len(name) + len(value) for name, value in head.headers) > self._limits.header_bytes:
            self._reject(431, f"the head has more than {self._limits.header_bytes} bytes")
            return
        self._omits_body = head.method == b"HEAD"
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            self._reject(400, "both a length and chunks")
            return
        length = next((int(value) for name, value in head.headers if name == b"content-length"), 0)
        if length > self._limits.body_bytes:
            self._reject(413, f"the body has more than {self._limits.body_bytes} bytes")
            return
        self._head = head
        self._head_started = False
        self._head_at = self._server.clock.now()
        self._restart_timer(self._limits.header_timeout)
        if self._state.they_are_waiting_for_100_continue:
            self._write(self._state.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")

    def _handle_body(self, data: bytes) -> None:
        self._received += len(data)
        if self._received > self._limits.body_bytes:
            self._reject(413, f"the body has more than {self._limits.body_bytes} bytes")
            return
        if self._server.held_bytes + len(data) > MAX_TOTAL_BODY_BYTES:
            self._reject(503, "too many bytes of bodies are held", BODY_LIMIT_RETRY_AFTER_S)
            return
        self._held_bytes += len(data)
        self._server.held_bytes += len(data)
        self._body.append(data)
        self._restart_timer(self._limits.header_timeout)

    def _start_head_timer(self) -> None:
        if self._head is None and not self._head_started and self._state.trailing_data[0]:
            self._head_started = True
            self._restart_timer(self._limits.header_timeout)

    def _submit(self) -> None:
        head = self._head
        assert head is not None
        self._stop_timer()
        request = IncomingRequest(
            head.method.decode("latin-1"),
            head.target.decode("latin-1"),
            decode_headers(head.headers),
            b"".join(self._body),
            self._head_at,
        )
        self._head, self._body, self._received = None, [], 0
        self._server.observer.handle_request(
            is_first=not self.request_count, seconds=self._server.clock.now() - self._connected_at
        )
        self.request_count += 1
        self._serving = True
        handler = self._server.serve(request, Responder(self))
        if self._serving:
            self._handler = handler

    # --- writing -----------------------------------------------------------------------------------------------------

    def write_head(self, status: int, headers: Headers) -> None:
        """Write the head of a response, with ``Connection: close`` if the connection is to end with it."""
        if self._server.closing or self._closing or self._server.should_close():
            self._closing = True
            headers = [*headers, ("Connection", "close")]
        response = h11.Response(status_code=status, headers=encode_headers(headers))
        self._write(self._state.send(response) or b"")

    def start_stream(self) -> None:
        """Register for flow control, so that the handler is paused while the caller reads too slowly."""
        self._streaming = True
        self.transport.registerProducer(self, True)

    def write_data(self, data: bytes) -> None:
        """Write body data, unless the response has no body."""
        if self._omits_body:
            return
        self._write(self._state.send(h11.Data(data=data)) or b"")

    def _write(self, data: bytes) -> None:
        if data:
            self._server.meter.record_sent(len(data))
            self.transport.write(data)

    def write_unsolicited(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response regardless of the protocol state; for stand-ins only."""
        lines = [f"HTTP/1.1 {status} Interjected", *(f"{name}: {value}" for name, value in headers)]
        lines.append(f"Content-Length: {len(body)}")
        self.transport.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)

    def write_end(self, data: bytes) -> None:
        """Write the rest of the body, complete the response and prepare for the next request."""
        if data:
            self.write_data(data)
        self._write(self._state.send(h11.EndOfMessage()) or b"")
        self._handler = None
        self._serving = False
        self._release_body()
        if self._streaming:
            self._streaming = False
            self.transport.unregisterProducer()
        if self._state.our_state is not h11.DONE or self._state.their_state is not h11.DONE or self._closing:
            self._close_gracefully()
            return
        self._state.start_next_cycle()
        self._limits = self._server.get_limits()
        self._restart_timer(self._limits.idle_timeout)
        self.transport.resumeProducing()
        self._server.clock.call_later(0, self._resume_reading)

    def abort(self) -> None:
        """Reset the connection."""
        self._handler = None
        self.transport.abortConnection()

    def close_if_idle(self) -> None:
        """Close the connection if it carries no request."""
        if self.is_idle:
            self.transport.loseConnection()

    # --- flow control ------------------------------------------------------------------------------------------------

    def pauseProducing(self) -> None:
        """Pause the handler: the transport's buffer is full."""
        if self._handler is not None:
            self._handler.pause()

    def resumeProducing(self) -> None:
        """Resume the handler: the transport's buffer has drained."""
        if self._handler is not None:
            self._handler.resume()

    def stopProducing(self) -> None:
        """Do nothing; ``connectionLost`` handles the loss of the connection."""

    # --- errors and timers -------------------------------------------------------------------------------------------

    def _resume_reading(self) -> None:
        if not self.transport.connected:
            return
        try:
            self._read()
        except h11.RemoteProtocolError as problem:
            self._reject(problem.error_status_hint, str(problem))

    def _release_body(self) -> None:
        """Remove the body from the server's count of held bytes."""
        self._server.held_bytes -= self._held_bytes
        self._held_bytes = 0

    def _reject(self, status: int, detail: str, retry_after: float | None = None) -> None:
        """Send an error response to a request that can't be accepted, and close the connection."""
        if self._serving or self._discarding:
            self.transport.abortConnection()
            return
        self._head, self._body = None, []
        self._release_body()
        self._server.record_rejection(status, detail)
        body = json.dumps({"error": detail}).encode()
        if self._state.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._closing = True
            headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
            if retry_after is not None:
                headers.append(("Retry-After", f"{retry_after:g}"))
            self.write_head(status, headers)
            self.write_data(body)
            self._write(self._state.send(h11.EndOfMessage()) or b"")
        self._close_gracefully()

    def _close_gracefully(self) -> None:
        """Close the connection once the caller has had time to read the response."""
        if self._state.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
            self._stop_timer()
            self.transport.loseConnection()
            return
        self._discarding = True
        self._restart_timer(LINGER_S)

    def _restart_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._server.clock.call_later(seconds, self._handle_timeout)

    def _handle_timeout(self) -> None:
        self._timer = None
        if self._head is not None or self._head_started:
            self._reject(408, "the request came too slowly")
        else:
            self.transport.loseConnection()

    def _stop_timer(self) -> None:
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()


class CallerServer(Factory):
    """Server that accepts the connections of callers."""

    noisy = False

    def __init__(
        self,
        clock: Clock,
        serve: Callable[[IncomingRequest, Responder], RequestHandler | None],
        get_limits: Callable[[], CallerLimits],
        record_rejection: Callable[[int, str], None],
        meter: LinkMeter | None = None,
    ) -> None:
        self.clock = clock
        self.serve = serve
        self.get_limits = get_limits
        self.record_rejection = record_rejection
        self.meter = meter or LinkMeter()
        self.observer = ConnectionObserver()
        self.should_close: Callable[[], bool] = lambda: False
        """Returns whether responses end their connections, so that callers connect again."""
        self.closing = False
        """True during shutdown: responses carry ``Connection: close``."""
        self.connections: OrderedSet[CallerConnection] = OrderedSet()
        self.held_bytes = 0
        """Bytes of request bodies held in memory."""

    def buildProtocol(self, _: Any) -> CallerConnection:
        """Create the protocol of a new connection."""
        self.observer.handle_connected()
        return CallerConnection(self)

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def close_idle_kept(self) -> None:
        """Close the connections that carry no request and have carried one."""
        for connection in [one for one in self.connections if one.request_count]:
            connection.close_if_idle()

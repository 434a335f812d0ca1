"""Upstreams that send bytes without end in response to one kind of call."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

from beamhatch.platform.standin.base import read_headers
from beamhatch.platform.standin.upstream import StandInEngine, StandInUpstream

if TYPE_CHECKING:
    from collections.abc import Iterator

    from beamhatch.relay.callers.http_server import IncomingRequest, RequestHandler, Responder

FAST_INTERVAL_S = 0.002
FAST_BYTES = 64 * 1024
"""Bytes sent in each interval by a fast upstream, which are 32 MB per second."""

SLOW_INTERVAL_S = 0.5
"""Interval at which a slow upstream sends one unit."""

MAX_SENT_BYTES = 3 * 1024 * 1024
"""Bytes after which a flood ends by itself, so that a test without bounds ends too."""


class CallType(Enum):
    """Kinds of calls to upstreams."""

    PREFILL = "prefill"
    RESERVE = "reserve"
    STREAM = "stream"
    PLAIN = "plain"
    RELEASE = "release"
    ORDER = "order"


class Flood(Enum):
    """What is sent without end."""

    HEAD = "head"
    HEADERS = "headers"
    INTERIM = "interim"
    FOREIGN = "foreign"
    FOREIGN_BODY = "foreign-body"
    REFUSAL_BODY = "refusal-body"
    ERROR_BODY = "error-body"
    SUCCESS_BODY = "success-body"
    UNSIGNED_BODY = "unsigned-body"
    UNFRAMED_BODY = "unframed-body"
    SMALL_CHUNKS = "small-chunks"
    EXTENSIONS = "extensions"
    TRAILERS = "trailers"
    COMMENTS = "comments"
    BLANK_LINES = "blank-lines"
    EVENTS = "events"
    EVENT = "event"


CHUNKED = b"Transfer-Encoding: chunked\r\n"


def make_head(request: str, status: int, *extra: bytes, signed: bool = True) -> bytes:
    """Return the status and headers of a response."""
    lines = [b"HTTP/1.1 %d Any\r\n" % status]
    if request:
        lines.append(f"Request-Id: {request}\r\n".encode())
    if signed:
        lines.append(f"Response-Signature: flood.{request}\r\n".encode())
    return b"".join([*lines, *extra, b"\r\n"])


def make_chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def make_units(flood: Flood, request: str) -> tuple[bytes, Iterator[bytes]]:
    """Return what is sent first, and the units that follow without end."""
    foreign = b"HTTP/1.1 200 OK\r\nRequest-Id: another\r\nContent-Length: 2\r\n\r\nno"
    head = make_head(request, 200, CHUNKED)
    first, unit = {
        Flood.HEAD: (b"HTTP/1.1 200 OK\r\nX: ", b"a"),
        Flood.HEADERS: (b"HTTP/1.1 200 OK\r\n", b"X-Any: a\r\n"),
        Flood.INTERIM: (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        Flood.FOREIGN: (b"", foreign),
        Flood.FOREIGN_BODY: (make_head("another", 200, CHUNKED), make_chunk(b"x" * 100)),
        Flood.REFUSAL_BODY: (
            make_head(request, 503, b"Not-Executed: 1\r\n", CHUNKED, signed=False),
            make_chunk(b"x" * 100),
        ),
        Flood.ERROR_BODY: (make_head(request, 500, CHUNKED), make_chunk(b"x" * 100)),
        Flood.SUCCESS_BODY: (head, make_chunk(b"x" * 100)),
        Flood.UNSIGNED_BODY: (make_head(request, 200, CHUNKED, signed=False), make_chunk(b"x" * 100)),
        Flood.UNFRAMED_BODY: (make_head(request, 500), b"x" * 100),
        Flood.SMALL_CHUNKS: (head, make_chunk(b"x")),
        Flood.EXTENSIONS: (head + b"1;x=", b"a"),
        Flood.TRAILERS: (head + make_chunk(b"x") + b"0\r\n", b"X-Any: a\r\n"),
        Flood.COMMENTS: (head, make_chunk(b": nothing\n\n")),
        Flood.BLANK_LINES: (head, make_chunk(b"\n\n")),
        Flood.EVENT: (head + make_chunk(b"id: 1\ndata: "), make_chunk(b"x" * 100)),
        Flood.EVENTS: (head, b""),
    }[flood]
    return first, _iterate_events() if flood is Flood.EVENTS else _repeat(unit)


def _repeat(unit: bytes) -> Iterator[bytes]:
    while True:
        yield unit


def _iterate_events() -> Iterator[bytes]:
    number = 0
    while True:
        number += 1
        yield make_chunk(b"id: %d\ndata: x\n\n" % number)


@dataclass
class Outpour:
    """One response without end."""

    upstream: EndlessUpstream
    transport: Any
    units: Iterator[bytes]
    began_at: float
    sent: int = 0
    ended_at: float | None = None

    def write(self, data: bytes) -> None:
        """Write bytes, and count them."""
        self.sent += len(data)
        self.transport.write(data)

    def step(self) -> None:
        """Send the next units, until the connection is closed."""
        clock = self.upstream.clock
        if not self.transport.connected:
            self.ended_at = clock.now()
            return
        if self.sent > MAX_SENT_BYTES:
            return
        if self.upstream.is_slow:
            self.write(next(self.units))
            clock.call_later(SLOW_INTERVAL_S, self.step)
            return
        parts = [next(self.units)]
        parts += [next(self.units) for _ in range(FAST_BYTES // len(parts[0]))]
        self.write(b"".join(parts))
        clock.call_later(FAST_INTERVAL_S, self.step)


@dataclass
class Selection:
    """Which calls get a response without end, and which one."""

    call: CallType
    flood: Flood


class EndlessUpstream(StandInUpstream):
    """A replica of a plain service that sends bytes without end."""

    selection: Selection | None = None
    is_slow = False
    """Whether it sends one unit at a time."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.outpours: list[Outpour] = []

    def serve(self, incoming: IncomingRequest, responder: Responder) -> RequestHandler | None:
        """Begin a response without end, or respond as others do."""
        if self.selection is None or classify(incoming, self) is not self.selection.call:
            return super().serve(incoming, responder)
        request = read_headers(incoming).get("request-id", "")
        flood = self.selection.flood
        if request and flood is not Flood.REFUSAL_BODY:
            self.ledger.runs[request] += 1
        connection = responder._connection
        assert connection is not None
        first, units = make_units(flood, request)
        outpour = Outpour(self, connection.transport, units, self.clock.now())
        self.outpours.append(outpour)
        outpour.write(first)
        outpour.step()
        return None


class EndlessEngine(EndlessUpstream, StandInEngine):
    """An engine that sends bytes without end."""


def classify(incoming: IncomingRequest, upstream: StandInUpstream) -> CallType:
    """Return the kind of a call."""
    by_name = {
        "hold-take": CallType.RESERVE,
        "hold-drop": CallType.RELEASE,
        "kv-handle": CallType.RELEASE,
        "order": CallType.ORDER,
    }
    if incoming.path.startswith("/api/"):
        return by_name[incoming.path.split("/")[2]]
    if not isinstance(upstream, StandInEngine):
        return CallType.PLAIN
    return CallType.PREFILL if read_headers(incoming).get("stage") == "prefill" else CallType.STREAM

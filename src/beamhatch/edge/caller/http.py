"""The HTTP server that callers use."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from twisted.web import http, resource, server

from beamhatch.decide.outcome import Answered, NotRun, Outcome, Reason
from beamhatch.edge.caller.api import CallerAnswer
from beamhatch.edge.caller.error import STATUS, encode_outcome, list_headers
from beamhatch.edge.caller.parse import REPEATABLE, BadRequest, RawRequest, parse_model_call, parse_service_call

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from twisted.python.failure import Failure

    from beamhatch.clock import Clock
    from beamhatch.decide.call import Call
    from beamhatch.settings.schema import Limits, Timing, Workspace
    from beamhatch.task.router import Router

MODEL_PATHS = ("/v1/completions", "/v1/chat/completions")
SERVICE_PREFIX = "/services/"
IDLE_SHARE = 2.0
"""Time for which a connection may bring nothing, as a multiple of the time that a request has to arrive in.

A request's timer starts a moment behind the connection's. So the connection's has to be clearly longer, or it would
close the connection before the request is answered.
"""

_TOO_LARGE = b"HTTP/1.1 413 Content Too Large\r\nConnection: close\r\nContent-Type: application/json\r\n\r\n"
_TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Type: application/json\r\n\r\n"


class CallerRequest(server.Request):
    """A request whose size and time of arrival are bounded."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._received = 0
        self._refused = False
        site: CallerSite = self.channel.factory
        self._most = site.limits.body_bytes
        self._timer = site.clock.call_later(
            site.timing.receive_limit, self._refuse, _TOO_SLOW, "the request came too slowly"
        )

    def gotLength(self, length: int | None) -> None:
        """Refuse a body that announces more than is taken."""
        super().gotLength(length)
        if length is not None and length > self._most:
            self._refuse(_TOO_LARGE, f"the body has more than {self._most} bytes")

    def handleContentChunk(self, data: bytes) -> None:
        """Refuse a body that grows over what is taken."""
        self._received += len(data)
        if self._received > self._most:
            self._refuse(_TOO_LARGE, f"the body has more than {self._most} bytes")
        elif not self._refused:
            super().handleContentChunk(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Go on with a whole request."""
        self._stop_timer()
        if not self._refused:
            super().requestReceived(command, path, version)

    def connectionLost(self, reason: Failure) -> None:
        """Stop the timer with the connection."""
        self._stop_timer()
        super().connectionLost(reason)

    def _refuse(self, head: bytes, detail: str) -> None:
        if self._refused or self.channel is None:
            return
        self._refused = True
        transport = self.channel.transport
        transport.write(head + encode_outcome(NotRun(Reason.BAD_REQUEST, detail), ""))
        transport.loseConnection()

    def _stop_timer(self) -> None:
        if self._timer.active():
            self._timer.cancel()


class CallerSite(server.Site):
    """The server, with its bounds."""

    def __init__(self, root: resource.Resource, clock: Clock, limits: Limits, timing: Timing) -> None:
        idle_limit = IDLE_SHARE * timing.receive_limit
        super().__init__(root, requestFactory=CallerRequest, timeout=idle_limit, reactor=clock.reactor)
        self.clock = clock
        self.limits = limits
        self.timing = timing

    def log(self, request: http.Request) -> None:
        """Write no access log; the router's own log and metrics say more."""


class HttpAnswer(CallerAnswer):
    """The way back to one caller, over HTTP."""

    def __init__(self, request: server.Request, request_id: str) -> None:
        self._request = request
        self._id = request_id
        self._open = True
        self._streaming = False
        self._gone: Callable[[], None] | None = None
        self._pause: Callable[[], None] | None = None
        self._go_on: Callable[[], None] | None = None
        request.notifyFinish().addErrback(self._lose)

    def watch(self, gone: Callable[[], None], pause: Callable[[], None], go_on: Callable[[], None]) -> None:
        """Have functions called when the caller is gone, is slow, and reads again."""
        self._gone, self._pause, self._go_on = gone, pause, go_on

    def begin_stream(self) -> None:
        """Send the head of a streamed answer."""
        if not self._open:
            return
        self._streaming = True
        request = self._request
        request.setHeader("Content-Type", "text/event-stream; charset=utf-8")
        request.setHeader("Cache-Control", "no-cache")
        self._set_headers(list_headers(Answered(), self._id))
        request.registerProducer(self, True)

    def write(self, data: bytes) -> None:
        """Send a part of a streamed answer."""
        if self._open:
            self._request.write(data)

    def send_whole(self, status: int, headers: Sequence[tuple[str, str]], body: bytes) -> None:
        """Send an answer that is not streamed, and end."""
        if not self._open:
            return
        self._request.setResponseCode(status)
        self._set_headers([*headers, *list_headers(Answered(status), self._id)])
        self._request.setHeader("Content-Length", str(len(body)))
        self._finish(body)

    def end_stream(self) -> None:
        """End a streamed answer."""
        if self._open:
            self._finish(b"")

    def fail(self, outcome: Outcome) -> None:
        """Say how it ended; behind a stream that has begun, as an error event."""
        if not self._open:
            return
        body = encode_outcome(outcome, self._id)
        if self._streaming:
            self._finish(b"event: error\ndata: " + body + b"\n\n")
            return
        assert not isinstance(outcome, Answered)
        send_error(self._request, STATUS[outcome.reason], list_headers(outcome, self._id), body)
        self._open = False

    def pauseProducing(self) -> None:
        """Note that the caller reads too slowly."""
        if self._pause is not None:
            self._pause()

    def resumeProducing(self) -> None:
        """Note that the caller reads again."""
        if self._go_on is not None:
            self._go_on()

    def stopProducing(self) -> None:
        """Note nothing; the loss of the connection is told otherwise."""

    def _finish(self, data: bytes) -> None:
        self._open = False
        if data:
            self._request.write(data)
        if self._streaming:
            self._request.unregisterProducer()
        self._request.finish()

    def _lose(self, _: Failure) -> None:
        if not self._open:
            return
        self._open = False
        if self._gone is not None:
            self._gone()

    def _set_headers(self, headers: Sequence[tuple[str, str]]) -> None:
        for name, value in headers:
            self._request.responseHeaders.addRawHeader(name, value)


def send_error(request: server.Request, status: int, headers: Sequence[tuple[str, str]], body: bytes) -> None:
    """Send a whole JSON error."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    request.setHeader("Content-Length", str(len(body)))
    for name, value in headers:
        request.setHeader(name, value)
    request.write(body)
    request.finish()


class CallerRoot(resource.Resource):
    """Every path that callers use."""

    isLeaf = True

    def __init__(
        self,
        router: Router,
        clock: Clock,
        find_workspace: Callable[[Mapping[str, str]], Workspace],
        list_models: Callable[[], list[str]],
        explain_unready: Callable[[], str | None],
        find_repeatable: Callable[[Call], bool | None],
    ) -> None:
        super().__init__()
        self._find_repeatable = find_repeatable
        self._router = router
        self._clock = clock
        self._find_workspace = find_workspace
        self._list_models = list_models
        self._explain_unready = explain_unready

    def render(self, request: server.Request) -> int | bytes:
        """Answer one request."""
        path = request.path.decode("latin-1")
        if path == "/healthz":
            return self._send_json(request, 200, {"status": "alive"})
        if path == "/readyz":
            reason = self._explain_unready()
            return self._send_json(request, 503 if reason else 200, {"status": reason or "ready"})
        if path == "/v1/models" and request.method in (b"GET", b"HEAD"):
            models = [
                {"id": name, "object": "model", "created": 0, "owned_by": "beamhatch"} for name in self._list_models()
            ]
            return self._send_json(request, 200, {"object": "list", "data": models})
        if path in MODEL_PATHS or path.startswith(SERVICE_PREFIX):
            self._submit(request, path)
            return server.NOT_DONE_YET
        return self._send_bad(request, BadRequest(f"there is nothing at {path[:200]}", status=404))

    def _submit(self, request: server.Request, path: str) -> None:
        request_id = self._router.name_request()
        raw = _read_raw(request)
        now = self._clock.now()
        try:
            if path in MODEL_PATHS:
                if request.method != b"POST":
                    raise BadRequest("use POST", status=405)
                call = parse_model_call(raw, request_id, now, self._find_workspace)
            else:
                service, _, rest = raw.path[len(SERVICE_PREFIX) :].partition("/")
                call = parse_service_call(raw, service, f"/{rest}", request_id, now, self._find_workspace)
        except BadRequest as problem:
            self._send_bad(request, problem, request_id)
            return
        pools = self._find_repeatable(call)
        if pools is not None and REPEATABLE not in raw.headers:
            call.repeatable = pools
        self._router.submit(call, HttpAnswer(request, request_id))

    def _send_bad(self, request: server.Request, problem: BadRequest, request_id: str = "") -> int:
        outcome = NotRun(Reason.BAD_REQUEST, str(problem))
        body = encode_outcome(outcome, request_id, problem.parameter)
        send_error(request, problem.status, list_headers(outcome, request_id), body)
        return int(server.NOT_DONE_YET)

    def _send_json(self, request: server.Request, status: int, value: object) -> bytes:
        request.setResponseCode(status)
        request.setHeader("Content-Type", "application/json")
        return json.dumps(value).encode()


def _read_raw(request: server.Request) -> RawRequest:
    pairs = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, values in request.requestHeaders.getAllRawHeaders()
        for value in values
    ]
    body = request.content.read() if request.content is not None else b""
    headers = {name.lower(): value for name, value in pairs}
    return RawRequest(request.method.decode("latin-1"), request.uri.decode("latin-1"), headers, pairs, body)

"""Engines and plain services over HTTP.

The engine's wire form follows the published prefill/decode engines: the prefill is asked for one token with
``kv_transfer_params`` that request an export, and answers with the parameters that the decode call then carries.
``docs/design/engines.md`` lists the calls.
"""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

from twisted.internet import defer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.web.client import ResponseDone

from beamhatch.edge.http import HttpClient, Lost, Reply, Written, read_reply
from beamhatch.edge.upstream.api import (
    AnswerSink,
    AnswerStream,
    Break,
    CacheEvent,
    Engine,
    Export,
    LoadReport,
    Refusal,
    Rejection,
    Sent,
    Service,
    Whole,
)
from beamhatch.edge.upstream.frames import DONE, FrameCutter, FrameError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from twisted.python.failure import Failure
    from twisted.web.iweb import IResponse

    from beamhatch.decide.call import Call
    from beamhatch.ids import RunId

RUN_HEADER = "X-Request-Id"
KEY_HEADER = "X-Idempotency-Key"
PRIORITY_HEADER = "X-Priority"
NOT_RUN_FIELD = "ran"
"""An engine's error body carries ``"ran": false`` as proof that nothing ran."""

OTHER_RUN = "the answer is another run's"

ORDER_LIMIT = 2.0
"""Seconds for a cancel, a report or a list of events."""

_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "server",
        "date",
    )
)


class HttpEngine(Engine):
    """An engine that speaks HTTP."""

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._base = f"http://{address}"

    async def prefill(
        self, call: Call, run: RunId, behind: str | None, limit: float
    ) -> Export | Rejection | Refusal | Break:
        """Ask for one token and an export."""
        fields = dict(call.fields)
        if behind is not None:
            _continue_behind(fields, Sent(behind, 0))
        fields.update(max_tokens=1, stream=False, kv_transfer_params={"do_remote_decode": True})
        fields.pop("max_completion_tokens", None)
        fields.pop("stream_options", None)
        body = json.dumps(fields).encode()
        url = self._base + call.path
        fresh = not call.repeatable
        reply = await self._client.ask("POST", url, body, _head(call, run), limit=limit, fresh=fresh)
        if isinstance(reply, Lost):
            return _judge_lost(reply)
        if not _is_to(reply, run):
            return Break(OTHER_RUN)
        if reply.status != 200:
            return judge_status(reply, run, is_first=fresh)
        answer = reply.read_json()
        parameters = answer.get("kv_transfer_params") if isinstance(answer, dict) else None
        if not isinstance(parameters, dict):
            return Break("the prefill engine answered without transfer parameters")
        tokens = int(parameters.get("tokens", call.prompt_tokens))
        return Export(parameters, tokens, int(parameters.get("cached_tokens", 0)))

    def decode(self, call: Call, run: RunId, export: Export, sent: Sent | None, sink: AnswerSink) -> AnswerStream:
        """Send the call with the transfer parameters."""
        fields = dict(call.fields)
        if sent is not None:
            _continue_behind(fields, sent)
        fields["kv_transfer_params"] = {**export.parameters, "do_remote_prefill": True}
        stream = HttpAnswer(run, 0, sink, streamed=call.streamed)
        stream.open(self._client, "POST", self._base + call.path, json.dumps(fields).encode(), _head(call, run), call)
        return stream

    def resume(self, call: Call, run: RunId, after: int, sink: AnswerSink) -> AnswerStream:
        """Ask for the rest of a run, by offset."""
        stream = HttpAnswer(run, after, sink, streamed=call.streamed)
        stream.open(self._client, "GET", f"{self._base}/v1/runs/{run}?after={after}", None, _head(call, run), call)
        return stream

    async def cancel(self, run: RunId) -> bool:
        """Order the engine to abort a run."""
        url = f"{self._base}/abort_request"
        reply = await self._client.ask_json("POST", url, {"rid": run}, limit=ORDER_LIMIT)
        return isinstance(reply, Reply) and reply.status == 200

    async def read_load(self) -> LoadReport | None:
        """Ask for the load report."""
        return await ask_load(self._client, self._base)

    async def read_cache_events(self, after: int) -> Sequence[CacheEvent] | None:
        """Ask for the cache events behind a number."""
        reply = await self._client.ask_json("GET", f"{self._base}/cache_events?after={after}", limit=ORDER_LIMIT)
        if isinstance(reply, Lost) or reply.status != 200:
            return None
        events = reply.read_json().get("events", [])
        return [CacheEvent(event["sequence"], event["kind"] == "stored", event["block"]) for event in events]


class HttpService(Service):
    """A plain service that speaks HTTP."""

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._base = f"http://{address}"

    async def ask(self, call: Call, run: RunId, limit: float) -> Whole | Refusal | Break:
        """Pass a call on as it came."""
        headers = {name: value for name, value in call.headers if name.lower() not in _HOP_HEADERS}
        headers.update(_head(call, run, json_body=False))
        body = call.body or None
        fresh = not call.repeatable
        reply = await self._client.ask(call.method, self._base + call.path, body, headers, limit=limit, fresh=fresh)
        if isinstance(reply, Lost):
            return _judge_lost(reply)
        if not _is_to(reply, run):
            return Break(OTHER_RUN)
        detail = f"the service answered {reply.status}"
        if reply.status in (429, 503) and _proves_not_run(reply, run, is_first=fresh):
            return Refusal(detail, _retry_after(reply))
        if reply.status in (429, 503) and _says_not_run(reply):
            return Break(f"{detail} without the id of the run")
        return Whole(reply.status, _passed_headers(reply), reply.body)

    async def read_load(self) -> LoadReport | None:
        """Ask for the load report."""
        return await ask_load(self._client, self._base)


class HttpAnswer(AnswerStream, Protocol):
    """An answer on its way over HTTP."""

    def __init__(self, run: RunId, after: int, sink: AnswerSink, *, streamed: bool) -> None:
        self._run = run
        self._sink: AnswerSink | None = sink
        self._cutter = FrameCutter(run, after)
        self._streamed = streamed
        self._is_first = False
        """Whether the response is the first one of its connection."""
        self._opening: defer.Deferred[None] | None = None
        self._ended = False
        """True once the last frame came: what is left of the response is read, and its connection used again."""

    def open(
        self, client: HttpClient, method: str, url: str, body: bytes | None, headers: dict[str, str], call: Call
    ) -> None:
        """Send the request; what follows goes to the sink."""
        self._is_first = fresh = not call.repeatable and method == "POST"
        self._opening = defer.ensureDeferred(self._open(client, method, url, body, headers, fresh))
        self._opening.addErrback(lambda failure: failure.trap(defer.CancelledError) and None)

    async def _open(
        self, client: HttpClient, method: str, url: str, body: bytes | None, headers: dict[str, str], fresh: bool
    ) -> None:
        response = await client.open(method, url, body, headers, fresh=fresh)
        if self._sink is None:
            _drop(response)
        elif isinstance(response, Lost):
            self._end(_judge_lost(response))
        elif response.code != 200:
            reply = await read_reply(response)
            if isinstance(reply, Lost):
                self._end(Break("the refusal broke off"))
            else:
                self._end(judge_status(reply, self._run, is_first=self._is_first))
        elif self._streamed:
            response.deliverBody(self)
        else:
            await self._read_whole(response)

    async def _read_whole(self, response: IResponse) -> None:
        if response.headers.getRawHeaders(RUN_HEADER, [""])[0] != self._run:
            self._end(Break(OTHER_RUN))
            return
        if self._sink is not None:
            self._sink.take_head()
        reply = await read_reply(response)
        if self._sink is None:
            return
        if isinstance(reply, Lost):
            self._end(Break(reply.detail))
            return
        sink, self._sink = self._sink, None
        sink.take_whole(Whole(reply.status, _passed_headers(reply), reply.body))

    def dataReceived(self, data: bytes) -> None:
        """Check the frames in a piece of the stream and hand them on."""
        sink = self._sink
        if sink is None:
            return
        if self._cutter.take_one(data):
            sink.take_frames(data, self._cutter.offset)
            if data.endswith(DONE):
                self._take_end()
            return
        try:
            cut = self._cutter.feed(data)
        except FrameError as error:
            self._end(Break(str(error)))
            self._close()
            return
        if cut.dropped:
            sink.count_dropped(cut.dropped)
        if cut.frames:
            sink.take_frames(cut.frames, self._cutter.offset)
        if cut.done:
            self._take_end()

    def _take_end(self) -> None:
        sink, self._sink = self._sink, None
        self._ended = True
        if sink is not None:
            sink.take_end()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Note the end of the connection; without the last frame it is a break."""
        self._ended = True
        whole = bool(reason.check(ResponseDone))
        self._end(Break("the stream ended early" if whole else "the connection was lost"))

    def pause(self) -> None:
        """Stop reading for a while."""
        if self.transport is not None:
            self.transport.pauseProducing()

    def go_on(self) -> None:
        """Read again."""
        if self.transport is not None:
            self.transport.resumeProducing()

    def abandon(self) -> None:
        """Close the connection; the sink hears nothing more."""
        self._sink = None
        if self._opening is not None and not self._opening.called:
            self._opening.cancel()
        if not self._ended:
            self._close()

    def _end(self, fault: Rejection | Refusal | Break) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.take_fault(fault)

    def _close(self) -> None:
        if self.transport is not None:
            abort = getattr(self.transport, "abortConnection", None) or self.transport.loseConnection
            abort()


async def ask_load(client: HttpClient, base: str) -> LoadReport | None:
    """Ask an upstream for its load report, by its ``/load`` page."""
    reply = await client.ask_json("GET", f"{base}/load", limit=ORDER_LIMIT)
    if isinstance(reply, Lost) or reply.status != 200:
        return None
    value = reply.read_json()
    taken = float(value.get("taken", time.time()))
    return LoadReport(
        taken=taken,
        age=max(0.0, float(value.get("sent", taken)) - taken),
        held_tokens=int(value.get("held_tokens", 0)),
        capacity_tokens=int(value.get("capacity_tokens", 0)),
        running=int(value.get("running", 0)),
        queued=int(value.get("queued", 0)),
        leaving=value.get("state") == "leaving",
        boot=int(value.get("boot", 0)),
    )


def judge_status(reply: Reply, run: RunId, *, is_first: bool) -> Rejection | Refusal | Break:
    """Return what an engine's error answer to a run means.

    :param is_first: whether it is the first answer on its connection
    """
    if not _is_to(reply, run):
        return Break(OTHER_RUN)
    if reply.status in (400, 404, 413, 422) and not _error_code(reply):
        content_type = reply.headers.getRawHeaders("Content-Type", ["application/json"])[0]
        return Rejection(reply.status, content_type, reply.body)
    detail = f"the engine answered {reply.status}"
    if _proves_not_run(reply, run, is_first=is_first):
        return Refusal(detail, _retry_after(reply), export_lost=_error_code(reply) == "export_lost")
    return Break(detail)


def _error_code(reply: Reply) -> str | None:
    value = reply.read_json()
    error = value.get("error") if isinstance(value, dict) else None
    code = error.get("code") if isinstance(error, dict) else None
    return code if code in ("export_lost", "run_unknown") else None


def _is_to(reply: Reply, run: RunId) -> bool:
    """Return whether an answer is to a run, as far as it names one."""
    return reply.headers.getRawHeaders(RUN_HEADER, [str(run)])[0] == run


def _proves_not_run(reply: Reply, run: RunId, *, is_first: bool) -> bool:
    """Return whether an answer proves that a run has not begun; one without its id may be a late one to another."""
    return _says_not_run(reply) and (is_first or reply.headers.getRawHeaders(RUN_HEADER) == [str(run)])


def _says_not_run(reply: Reply) -> bool:
    value = reply.read_json()
    return isinstance(value, dict) and value.get(NOT_RUN_FIELD) is False


def _retry_after(reply: Reply) -> float | None:
    raw = reply.headers.getRawHeaders("Retry-After", [""])[0]
    try:
        return float(raw)
    except ValueError:
        return None


def _judge_lost(lost: Lost) -> Refusal | Break:
    return Refusal(lost.detail) if lost.written is Written.NO else Break(lost.detail)


def _passed_headers(reply: Reply) -> list[tuple[str, str]]:
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, values in reply.headers.getAllRawHeaders()
        for value in values
        if name.decode("latin-1").lower() not in _HOP_HEADERS
    ]


def _head(call: Call, run: RunId, *, json_body: bool = True) -> dict[str, str]:
    head = {RUN_HEADER: str(run), PRIORITY_HEADER: str(int(call.priority))}
    if json_body:
        head["Content-Type"] = "application/json"
    if call.key is not None:
        head[KEY_HEADER] = call.key
    if call.traceparent is not None:
        head["traceparent"] = call.traceparent
    return head


def _continue_behind(fields: dict[str, Any], sent: Sent) -> None:
    """Change a call so that the engine goes on behind text that the caller already has."""
    if "messages" in fields:
        fields["messages"] = [*fields["messages"], {"role": "assistant", "content": sent.text}]
        fields["continue_final_message"] = True
        fields["add_generation_prompt"] = False
    else:
        fields["prompt"] = str(fields.get("prompt", "")) + sent.text
    for name in ("max_tokens", "max_completion_tokens"):
        if isinstance(fields.get(name), int):
            fields[name] = max(1, fields[name] - sent.tokens)


def _drop(response: IResponse | Lost) -> None:
    if not isinstance(response, Lost):
        response.deliverBody(_Ignore())


class _Ignore(Protocol):
    def connectionMade(self) -> None:
        if self.transport is not None:
            abort = getattr(self.transport, "abortConnection", None) or self.transport.loseConnection
            abort()

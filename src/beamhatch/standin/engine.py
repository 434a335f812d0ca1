"""A stand-in for a model engine, with what makes routing hard.

It has limited KV memory, a limited prefix cache, exports that expire, a link of limited rate, a report that lags, late
cache events with gaps, cancel, resume and refusal. It counts every run by the caller's key and every token that it
holds, so that tests can judge. Its text depends on the prompt alone, so a wrong or spliced answer shows.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import re
import time
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet import defer
from twisted.web import server

from beamhatch.edge.caller.parse import CHARACTERS_PER_TOKEN, hash_blocks, read_prompt
from beamhatch.edge.http import HttpClient, Lost, Reply
from beamhatch.standin.base import JsonRoot, announce, encode_json, get_argument, listen, send_json

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_OUTPUT = 16
_WORD = re.compile(r"([0-9a-f]{8})\.(\d+) $")


@dataclass(slots=True)
class Shape:
    """What kind of engine it is; times in seconds, amounts in tokens."""

    name: str = "engine"
    model: str = "lm-desk"
    role: str = "decode"
    capacity: int = 50_000
    prefill_rate: float = 20_000
    pace: float = 0.005
    link_rate: float = 1_000_000
    export_life: float = 3.0
    report_lag: float = 0.1
    event_lag: float = 0.2
    event_gap: int = 0
    """Every so many cache events one is lost; 0 loses none."""
    cached_blocks: int = 200
    follows_disconnect: bool = False
    """Whether a lost connection ends a run; the hard case is that it does not."""


@dataclass(slots=True)
class Run:
    """One run and what it holds."""

    run: str
    key: str
    held: int
    prefix: str = ""
    number: int = 0
    most: int = 0
    produced: int = 0
    streamed: bool = True
    chat: bool = False
    usage: bool = False
    prompt_tokens: int = 0
    frames: list[bytes] = field(default_factory=list)
    text: str = ""
    reader: Any = None
    ended: bool = False
    cancelled: bool = False


class Engine:
    """One engine's memory and work."""

    def __init__(self, reactor: Any, shape: Shape) -> None:
        self.reactor = reactor
        self.shape = shape
        self.boot = time.time_ns() // 1_000_000
        self.runs: dict[str, Run] = {}
        self.ended: dict[str, Run] = {}
        """Texts of ended runs, for those who resume; they hold no memory."""
        self.exports: dict[str, tuple[int, Any]] = {}
        self.held = 0
        self.leaving = False
        self.faults: Counter[str] = Counter()
        """How often each fault is still to happen."""
        self.prefills: Counter[str] = Counter()
        self.decodes: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.cached: OrderedDict[int, None] = OrderedDict()
        self.events: list[tuple[float, int, str, int]] = []
        self.reports: deque[tuple[float, dict[str, Any]]] = deque(maxlen=400)
        self.address = ""
        self._client = HttpClient(reactor, 1.0)
        self._busy_until = 0.0
        self._queue = 0
        self._tick()

    # --- prefill ---------------------------------------------------------------------------------------------------

    def prefill(self, request: server.Request, body: dict[str, Any], run: str, key: str, text: str) -> object:
        """Prefill a prompt when the ones before it have ended, and hold its export."""
        tokens = max(1, len(text) // CHARACTERS_PER_TOKEN)
        if self._refuses(request, tokens):
            return server.NOT_DONE_YET
        self.held += tokens
        self.prefills[key] += 1
        self._queue += 1
        blocks = hash_blocks(self.shape.model, text)
        known = sum(1 for block in blocks if block in self.cached)
        cached = min(tokens - 1, known * 64)
        self.counts["prefilled_tokens"] += tokens - cached
        now = self.reactor.seconds()
        self._busy_until = max(now, self._busy_until) + (tokens - cached) / self.shape.prefill_rate
        self.runs[run] = Run(run, key, tokens, prompt_tokens=tokens)
        for block in blocks:
            self._cache(block)
        wait = self._busy_until - now
        self.reactor.callLater(wait, self._end_prefill, request, run, tokens, cached)
        request.notifyFinish().addErrback(lambda _: self._note_disconnect(run))
        return server.NOT_DONE_YET

    def _end_prefill(self, request: server.Request, run: str, tokens: int, cached: int) -> None:
        self._queue -= 1
        if run not in self.runs:
            return
        del self.runs[run]
        expiry = self.reactor.callLater(self.shape.export_life, self._drop_export, run, "exports_expired")
        self.exports[run] = (tokens, expiry)
        if self._take_fault("break_prefill"):
            request.transport.abortConnection()
            return
        parameters = {"export": run, "address": self.address, "tokens": tokens, "cached_tokens": cached}
        if not request._disconnected:
            send_json(request, {"id": run, "choices": [], "kv_transfer_params": parameters})

    def _drop_export(self, run: str, count: str) -> None:
        tokens, expiry = self.exports.pop(run)
        self.held -= tokens
        self.counts[count] += 1
        if expiry.active():
            expiry.cancel()

    # --- decode ----------------------------------------------------------------------------------------------------

    def decode(self, request: server.Request, body: dict[str, Any], run: str, key: str, text: str) -> object:
        """Fetch an export over the link, then generate."""
        tokens = max(1, len(text) // CHARACTERS_PER_TOKEN)
        most = int(body.get("max_completion_tokens") or body.get("max_tokens") or DEFAULT_OUTPUT)
        need = tokens + most
        if self._refuses(request, need):
            return server.NOT_DONE_YET
        self.held += need
        self.decodes[key] += 1
        prefix, number = _begin_text(text)
        options = body.get("stream_options") or {}
        work = Run(run, key, need, prefix, number, most, streamed=bool(body.get("stream")), prompt_tokens=tokens)
        work.chat = "messages" in body
        work.usage = bool(options.get("include_usage"))
        work.reader = request
        self.runs[run] = work
        request.setHeader("Content-Type", "text/event-stream" if work.streamed else "application/json")
        request.notifyFinish().addErrback(lambda _: self._note_disconnect(run))
        if not self._take_fault("stall_transfer"):
            source = body["kv_transfer_params"]
            self.reactor.callLater(tokens / self.shape.link_rate, self._fetch, work, source)
        return server.NOT_DONE_YET

    def _fetch(self, work: Run, source: dict[str, Any]) -> None:
        """See that the export is still there at the end of the transfer."""
        url = f"http://{source.get('address')}/export?run={source.get('export')}"
        asked = defer.ensureDeferred(self._client.ask("GET", url, limit=1.0))
        asked.addCallback(self._begin_generating, work)

    def _begin_generating(self, reply: Reply | Lost, work: Run) -> None:
        if work.cancelled:
            return
        if isinstance(reply, Reply) and reply.status == 200:
            self._generate(work)
            return
        self.counts["transfers_failed"] += 1
        self._end_run(work, kept=False)
        if work.reader is not None:
            reader, work.reader = work.reader, None
            reader.write(encode_refusal(reader, "the export is gone", "export_lost"))
            reader.finish()

    def _generate(self, work: Run) -> None:
        if work.cancelled:
            return
        if work.produced == 0 and not work.streamed and work.reader is not None:
            work.reader.write(b" ")
        if work.produced < work.most:
            self._add_token(work)
            self.reactor.callLater(self.shape.pace, self._generate, work)
            return
        if work.streamed:
            if work.usage:
                self._add_frame(work, {"choices": [], "usage": _count_usage(work)})
            self._add_raw(work, b"[DONE]")
        self._end_run(work)
        if work.reader is not None:
            if not work.streamed:
                work.reader.write(json.dumps(_make_whole(work, self.shape.model)).encode())
            reader, work.reader = work.reader, None
            reader.finish()

    def _add_token(self, work: Run) -> None:
        word = f"{work.prefix}.{work.number} "
        work.number += 1
        work.produced += 1
        work.text += word
        self.counts["output_tokens"] += 1
        if not work.streamed:
            return
        finish = "length" if work.produced == work.most else None
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
        if work.chat:
            choice["delta"] = {"content": word}
        else:
            choice["text"] = word
        self._add_frame(work, {"choices": [choice]})
        if work.produced > 2 and self._take_fault("break_stream") and work.reader is not None:
            reader, work.reader = work.reader, None
            reader.transport.abortConnection()
        if work.produced > 2 and self._take_fault("silence_stream"):
            work.reader = None

    def _add_frame(self, work: Run, value: dict[str, Any]) -> None:
        kind = "chat.completion.chunk" if work.chat else "text_completion"
        head = {"id": f"cmpl-{work.run}", "object": kind, "created": 0, "model": self.shape.model}
        self._add_raw(work, json.dumps({**head, **value}).encode())

    def _add_raw(self, work: Run, data: bytes) -> None:
        frame = f"id: {work.run}/{len(work.frames) + 1}\ndata: ".encode() + data + b"\n\n"
        work.frames.append(frame)
        if work.reader is None:
            return
        if self._take_fault("foreign_frame"):
            work.reader.write(b'id: other-d1/1\ndata: {"choices": [{"index": 0, "text": "FOREIGN"}]}\n\n')
        if self._take_fault("repeat_frame"):
            work.reader.write(frame)
        work.reader.write(frame)

    def resume(self, request: server.Request, run: str) -> object:
        """Send the rest of a run behind an offset, and what is still to come."""
        work = self.runs.get(run) or self.ended.get(run)
        if work is None or work.cancelled or self._take_fault("refuse_resume"):
            return encode_refusal(request, "there is no such run", "run_unknown")
        request.setHeader("X-Request-Id", run)
        if not work.streamed:
            request.setHeader("Content-Type", "application/json")
            if work.ended:
                return json.dumps(_make_whole(work, self.shape.model)).encode()
            work.reader = request
            request.write(b" ")
            return server.NOT_DONE_YET
        after = int(get_argument(request, "after", "0"))
        request.setHeader("Content-Type", "text/event-stream")
        request.write(b"".join(work.frames[after:]))
        if work.ended:
            request.finish()
        else:
            work.reader = request
        return server.NOT_DONE_YET

    # --- ends ------------------------------------------------------------------------------------------------------

    def cancel(self, run: str) -> dict[str, Any]:
        """Let go of everything held for a run."""
        self.counts["cancels"] += 1
        work = self.runs.get(run)
        if work is not None:
            work.cancelled = True
            self._end_run(work, kept=False)
            if work.reader is not None:
                reader, work.reader = work.reader, None
                reader.transport.abortConnection()
        if run in self.exports:
            self._drop_export(run, "exports_released")
        return {"rid": run, "found": work is not None}

    def _end_run(self, work: Run, *, kept: bool = True) -> None:
        if self.runs.pop(work.run, None) is None:
            return
        self.held -= work.held
        work.ended = True
        if kept:
            self.ended[work.run] = work
            self.reactor.callLater(5, self.ended.pop, work.run, None)

    def _note_disconnect(self, run: str) -> None:
        work = self.runs.get(run)
        if work is not None:
            work.reader = None
        if self.shape.follows_disconnect:
            self.cancel(run)

    def _refuses(self, request: server.Request, need: int) -> bool:
        if self.leaving:
            self.counts["refused_leaving"] += 1
            encode = "the engine is leaving"
        elif self.held + need > self.shape.capacity or self._take_fault("refuse"):
            self.counts["refused_full"] += 1
            encode = "no memory"
        else:
            return False
        request.write(encode_refusal(request, encode, "refused"))
        request.finish()
        return True

    def _take_fault(self, name: str) -> bool:
        if self.faults.get(name, 0) <= 0:
            return False
        self.faults[name] -= 1
        return True

    # --- reports ---------------------------------------------------------------------------------------------------

    def _tick(self) -> None:
        now = time.time()
        running = len(self.runs) - self._queue
        report = {
            "taken": now,
            "held_tokens": self.held,
            "capacity_tokens": self.shape.capacity,
            "running": max(0, running),
            "queued": self._queue,
            "state": "leaving" if self.leaving else "serving",
            "boot": self.boot,
        }
        self.reports.append((now, report))
        self.reactor.callLater(0.05, self._tick)

    def report(self) -> dict[str, Any]:
        """Return a report as old as the lag says."""
        now = time.time()
        old = [report for at, report in self.reports if at <= now - self.shape.report_lag]
        return {**(old[-1] if old else self.reports[0][1]), "sent": now}

    def _cache(self, block: int) -> None:
        if block in self.cached:
            self.cached.move_to_end(block)
            return
        self.cached[block] = None
        self._note_event("stored", block)
        if len(self.cached) > self.shape.cached_blocks:
            oldest, _ = self.cached.popitem(last=False)
            self._note_event("removed", oldest)

    def _note_event(self, kind: str, block: int) -> None:
        self.events.append((time.time(), len(self.events) + 1, kind, block))

    def list_events(self, after: int) -> list[dict[str, Any]]:
        """Return late events behind a number, with gaps."""
        limit = time.time() - self.shape.event_lag
        gap = self.shape.event_gap
        return [
            {"sequence": sequence, "kind": kind, "block": block}
            for at, sequence, kind, block in self.events[after:]
            if at <= limit and not (gap and sequence % gap == 0)
        ]

    def judge(self) -> dict[str, Any]:
        """Return all counts, for tests."""
        return {
            "held_tokens": self.held,
            "open": sorted(self.runs),
            "exports": sorted(self.exports),
            "prefills": dict(self.prefills),
            "decodes": dict(self.decodes),
            "counts": dict(self.counts),
            "faults": dict(self.faults),
        }


class EngineRoot(JsonRoot):
    """The engine's paths."""

    def __init__(self, engine: Engine) -> None:
        super().__init__()
        self._engine = engine
        self.routes = {
            "/v1/completions": self._complete,
            "/v1/chat/completions": self._complete,
            "/abort_request": self._abort,
            "/load": lambda request, body: engine.report(),
            "/cache_events": lambda request, body: {
                "events": engine.list_events(int(get_argument(request, "after", "0")))
            },
            "/export": self._show_export,
            "/judge": lambda request, body: engine.judge(),
            "/faults": self._set_faults,
        }
        self.fallback = self._resume

    def _complete(self, request: server.Request, body: Any) -> object:
        run = request.getHeader("X-Request-Id") or "none"
        request.setHeader("X-Request-Id", run)
        key = request.getHeader("X-Idempotency-Key") or run.rsplit("-", 1)[0]
        if not isinstance(body, dict) or body.get("temperature", 0) > 2:
            return encode_json(request, {"error": {"message": "temperature must be at most 2", "code": None}}, 400)
        text = read_prompt(request.path.decode(), body)
        transfer = body.get("kv_transfer_params") or {}
        work: Callable[..., object] = self._engine.decode if transfer.get("do_remote_prefill") else self._engine.prefill
        return work(request, body, run, key, text)

    def _abort(self, request: server.Request, body: Any) -> object:
        if self._engine.faults["lose_cancel"] > 0:
            self._engine.faults["lose_cancel"] -= 1
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        return self._engine.cancel(str(body.get("rid")))

    def _resume(self, request: server.Request, body: Any) -> object:
        path = request.path.decode()
        if not path.startswith("/v1/runs/"):
            return encode_json(request, {}, 404)
        run = path.removeprefix("/v1/runs/")
        request.setHeader("X-Request-Id", run)
        return self._engine.resume(request, run)

    def _show_export(self, request: server.Request, body: Any) -> object:
        found = get_argument(request, "run", "") in self._engine.exports
        return encode_json(request, {"found": found}, 200 if found else 404)

    def _set_faults(self, request: server.Request, body: Any) -> object:
        self._engine.leaving = bool(body.pop("leaving", self._engine.leaving))
        self._engine.faults.update(body)
        return {"faults": dict(self._engine.faults)}


def encode_refusal(request: server.Request, message: str, code: str) -> bytes:
    """Return a refusal that proves that nothing ran."""
    request.setHeader("Retry-After", "1")
    return encode_json(request, {"error": {"message": message, "code": code}, "ran": False}, 503)


def expect_text(prompt: str, tokens: int) -> str:
    """Return the text that any engine must give for a prompt."""
    prefix, number = _begin_text(prompt)
    return "".join(f"{prefix}.{number + index} " for index in range(tokens))


def _begin_text(text: str) -> tuple[str, int]:
    """Return the word and number with which the text behind a prompt goes on."""
    found = _WORD.search(text)
    if found is not None:
        return found[1], int(found[2]) + 1
    return hashlib.sha256(text.encode()).hexdigest()[:8], 0


def _count_usage(work: Run) -> dict[str, int]:
    total = work.prompt_tokens + work.produced
    return {"prompt_tokens": work.prompt_tokens, "completion_tokens": work.produced, "total_tokens": total}


def _make_whole(work: Run, model: str) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length", "logprobs": None}
    if work.chat:
        choice["message"] = {"role": "assistant", "content": work.text}
    else:
        choice["text"] = work.text
    kind = "chat.completion" if work.chat else "text_completion"
    return {
        "id": f"cmpl-{work.run}",
        "object": kind,
        "created": 0,
        "model": model,
        "choices": [choice],
        "usage": _count_usage(work),
    }


def start_engine(reactor: Any, shape: Shape, host: str = "127.0.0.1", port: int = 0) -> tuple[Engine, int]:
    """Start an engine in this process; return it and its port."""
    engine = Engine(reactor, shape)
    listening = listen(reactor, EngineRoot(engine), host, port)
    port = listening.getHost().port
    engine.address = f"{host}:{port}"
    return engine, port


def main() -> None:
    """Run one engine as a program."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser(prog="python -m beamhatch.standin.engine", description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    defaults = Shape()
    for name in Shape.__slots__:
        default = getattr(defaults, name)
        if isinstance(default, bool):
            parser.add_argument(f"--{name.replace('_', '-')}", action="store_true")
        else:
            parser.add_argument(f"--{name.replace('_', '-')}", type=type(default), default=default)
    options = vars(parser.parse_args())
    port = options.pop("port")
    _, port = start_engine(reactor, Shape(**options), port=port)
    announce(options["name"], port)
    reactor.run()


if __name__ == "__main__":
    main()

"""A fast stand-in engine for the path benchmark: a prefill answer, or a stream of frames at an even pace."""

from __future__ import annotations

import argparse
import json
import time
from typing import Any

from twisted.internet import reactor
from twisted.web import server

from beamhatch.standin.base import JsonRoot, announce, listen, send_json


class Streamer(JsonRoot):
    """Streams ready-made frames."""

    def __init__(self, frames: int, pace: float) -> None:
        super().__init__()
        self._frames = frames
        self._pace = pace
        self.routes = {"/load": self._report, "/abort_request": lambda request, body: {"found": False}}
        self.fallback = self._answer

    def _report(self, request: server.Request, body: Any) -> object:
        now = time.time()
        return {"taken": now, "sent": now, "held_tokens": 0, "capacity_tokens": 10**9, "running": 0}

    def _answer(self, request: server.Request, body: Any) -> object:
        if (body.get("kv_transfer_params") or {}).get("do_remote_decode"):
            return send_json(request, {"kv_transfer_params": {"export": "x", "tokens": 10}})
        run = request.getHeader("X-Request-Id") or "bare"
        self._send(request, run, 1)
        return server.NOT_DONE_YET

    def _send(self, request: server.Request, run: str, number: int) -> None:
        if request._disconnected:
            return
        choice = {"index": 0, "text": f"word {number}", "finish_reason": None}
        value = {"id": "cmpl-1", "object": "text_completion", "created": 0, "model": "m", "choices": [choice]}
        last = number > self._frames
        data = b"[DONE]" if last else json.dumps(value).encode()
        request.write(f"id: {run}/{number}\ndata: ".encode() + data + b"\n\n")
        if last:
            request.finish()
        else:
            reactor.callLater(self._pace, self._send, request, run, number + 1)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--frames", type=int, default=400)
    parser.add_argument("--pace", type=float, default=0.02)
    options = parser.parse_args()
    listening = listen(reactor, Streamer(options.frames, options.pace), "127.0.0.1", 0)
    announce("streamer", listening.getHost().port)
    reactor.run()

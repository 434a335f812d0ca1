"""A stand-in for one replica of a plain service; it counts how often each request ran."""

from __future__ import annotations

import argparse
import time
from collections import Counter
from typing import Any

from twisted.web import server

from beamhatch.standin.base import JsonRoot, announce, encode_json, get_argument, listen, send_json


class ServiceRoot(JsonRoot):
    """Answers every path with what it was asked, after a time that the caller may choose."""

    def __init__(self, reactor: Any, name: str, seconds: float) -> None:
        super().__init__()
        self._reactor = reactor
        self._name = name
        self._seconds = seconds
        self.boot = time.time_ns() // 1_000_000
        self.runs: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.running = 0
        self.leaving = False
        self.routes = {
            "/load": self._report,
            "/judge": lambda request, body: {"runs": dict(self.runs), "running": self.running},
            "/faults": self._set_faults,
        }
        self.fallback = self._answer

    def _report(self, request: server.Request, body: Any) -> object:
        now = time.time()
        state = "leaving" if self.leaving else "serving"
        return {"taken": now, "sent": now, "running": self.running, "state": state, "boot": self.boot}

    def _set_faults(self, request: server.Request, body: Any) -> object:
        self.leaving = bool(body.pop("leaving", self.leaving))
        self.faults.update(body)
        return {}

    def _answer(self, request: server.Request, body: Any) -> object:
        run = request.getHeader("X-Request-Id")
        if run is not None:
            request.setHeader("X-Request-Id", run)
        if self._take_fault("refuse"):
            return encode_json(request, {"ran": False}, 503)
        key = request.getHeader("X-Idempotency-Key") or request.getHeader("X-Request-Id") or "none"
        self.runs[key] += 1
        self.running += 1
        seconds = float(get_argument(request, "seconds", str(self._seconds)))
        self._reactor.callLater(seconds, self._end, request, key, body)
        return server.NOT_DONE_YET

    def _end(self, request: server.Request, key: str, body: Any) -> None:
        self.running -= 1
        if self._take_fault("lose_reply"):
            request.transport.abortConnection()
            return
        if not request._disconnected:
            answer = {"service": self._name, "method": request.method.decode(), "path": request.uri.decode()}
            send_json(request, {**answer, "key": key, "body": body})

    def _take_fault(self, name: str) -> bool:
        if self.faults.get(name, 0) <= 0:
            return False
        self.faults[name] -= 1
        return True


def start_service(
    reactor: Any, name: str, seconds: float = 0.005, host: str = "127.0.0.1", port: int = 0
) -> tuple[ServiceRoot, int]:
    """Start a service replica in this process; return it and its port."""
    root = ServiceRoot(reactor, name, seconds)
    return root, listen(reactor, root, host, port).getHost().port


def main() -> None:
    """Run one service replica as a program."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser(prog="python -m beamhatch.standin.service", description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--name", default="acct-svc-1")
    parser.add_argument("--seconds", type=float, default=0.005)
    options = parser.parse_args()
    _, port = start_service(reactor, options.name, options.seconds, port=options.port)
    announce(options.name, port)
    reactor.run()


if __name__ == "__main__":
    main()

"""A bare pass-through of twisted.web: the lower bound that the router is measured against."""

from __future__ import annotations

import itertools
import sys
from typing import Any

from twisted.internet import reactor
from twisted.internet.protocol import Protocol
from twisted.web import resource, server
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool


class PassOn(Protocol):
    """Writes each piece of the engine's answer to the caller."""

    def __init__(self, request: Any) -> None:
        self._request = request

    def dataReceived(self, data: bytes) -> None:
        """Pass a piece on."""
        self._request.write(data)

    def connectionLost(self, reason: Any = None) -> None:
        """End the caller's answer with the engine's."""
        self._request.finish()


class Root(resource.Resource):
    """Sends the requests to the engines in turn."""

    isLeaf = True

    def __init__(self, targets: list[str]) -> None:
        super().__init__()
        self._targets = itertools.cycle(targets)
        self._agent = Agent(reactor, pool=HTTPConnectionPool(reactor))

    def render(self, request: Any) -> Any:
        """Send one request on."""
        producer = FileBodyProducer(request.content)
        sent = self._agent.request(b"POST", f"http://{next(self._targets)}".encode() + request.uri, None, producer)
        sent.addCallback(lambda response: response.deliverBody(PassOn(request)))
        return server.NOT_DONE_YET


class QuietSite(server.Site):
    """A server without an access log."""

    def log(self, request: Any) -> None:
        """Write nothing."""


if __name__ == "__main__":
    listening = reactor.listenTCP(0, QuietSite(Root(sys.argv[1:])), interface="127.0.0.1", backlog=512)
    print(f"READY bare {listening.getHost().port}", flush=True)
    reactor.run()

"""A fault-injecting TCP proxy: one link between two addresses, which can be cut, cut one way, delayed or closed.

Orders come over HTTP on a second port: ``POST /set {"forward": "pass|drop", "back": "pass|drop", "delay": 0.0}`` and
``POST /close``. ``drop`` loses bytes in one direction while the connections stay open.
"""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING, Any

from twisted.internet import protocol

from beamhatch.standin.base import JsonRoot, announce, listen

if TYPE_CHECKING:
    from twisted.web import server


class Link:
    """The state of the link and its open connections."""

    def __init__(self, reactor: Any, host: str, port: int) -> None:
        self.reactor = reactor
        self.host = host
        self.port = port
        self.drops = {"forward": False, "back": False}
        self.delay = 0.0
        self.sides: set[_Side] = set()

    def carry(self, direction: str, target: _Side, data: bytes) -> None:
        """Carry bytes in one direction, late or not at all."""
        if self.drops[direction]:
            return
        if self.delay:
            self.reactor.callLater(self.delay, target.send, data)
        else:
            target.send(data)

    def close_all(self) -> None:
        """Break all connections."""
        for side in list(self.sides):
            if side.transport is not None:
                side.transport.abortConnection()


class _Side(protocol.Protocol):
    """One end of a connection through the link."""

    def __init__(self, link: Link, direction: str, other: _Side | None) -> None:
        self.link = link
        self.direction = direction
        self.other = other
        self.waiting: list[bytes] = []

    def connectionMade(self) -> None:
        self.link.sides.add(self)
        if self.other is None:
            self._dial()
        else:
            self.other.other = self
            for data in self.other.waiting:
                self.send(data)

    def _dial(self) -> None:
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _: _Side(self.link, "back", self)
        factory.clientConnectionFailed = lambda *_: self.transport.abortConnection()
        self.link.reactor.connectTCP(self.link.host, self.link.port, factory, timeout=2)

    def send(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        if self.other is None:
            self.waiting.append(data)
        else:
            self.link.carry(self.direction, self.other, data)

    def connectionLost(self, reason: Any = None) -> None:
        self.link.sides.discard(self)
        if self.other is not None and self.other.transport is not None:
            self.other.transport.loseConnection()


class LinkRoot(JsonRoot):
    """The link's orders."""

    def __init__(self, link: Link) -> None:
        super().__init__()
        self._link = link
        self.routes = {"/set": self._set, "/close": self._close}

    def _set(self, request: server.Request, body: Any) -> object:
        for direction in ("forward", "back"):
            if direction in body:
                self._link.drops[direction] = body[direction] == "drop"
        self._link.delay = float(body.get("delay", self._link.delay))
        return {}

    def _close(self, request: server.Request, body: Any) -> object:
        self._link.close_all()
        return {}


def main() -> None:
    """Run one link as a program."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser(prog="python -m beamhatch.standin.link", description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--to", required=True, help="address behind the link, such as 127.0.0.1:9000")
    options = parser.parse_args()
    host, _, port = options.to.partition(":")
    link = Link(reactor, host, int(port))
    factory = protocol.Factory()
    factory.noisy = False
    factory.buildProtocol = lambda _: _Side(link, "forward", None)
    listening = reactor.listenTCP(options.port, factory, interface="127.0.0.1")
    orders = listen(reactor, LinkRoot(link), "127.0.0.1", 0)
    announce(f"link {orders.getHost().port}", listening.getHost().port)
    reactor.run()


if __name__ == "__main__":
    main()

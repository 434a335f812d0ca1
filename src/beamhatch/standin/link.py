"""A fault-injecting TCP proxy: links between two addresses, which can be cut, cut one way, delayed or closed.

Orders come over HTTP on a port of their own. ``POST /set {"drops": [{"source": IP, "target": "HOST:PORT", "way":
"forward" | "back"}], "delay": 0.0}`` replaces all faults; a target is either address of a link, and ``*`` stands for
any. What is dropped is
lost while the connections stay open. ``POST /close`` breaks all connections.
"""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet import protocol

from beamhatch.standin.base import JsonRoot, announce, listen

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web import server


READ_TIME_S = 0.02
"""Seconds for which the first bytes are awaited on a connection whose target can't be reached."""


@dataclass(frozen=True, slots=True)
class Drop:
    """Bytes that are lost."""

    source: str
    target: str
    way: str


class Link:
    """The state of all links and their open connections."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.drops: list[Drop] = []
        self.delay = 0.0
        self.sides: set[_Side] = set()
        self.on_undelivered: Callable[[str, bytes], None] = lambda target, data: None
        """Called with bytes that did not get to a target, as it can't be reached or has closed the connection."""

    def carry(self, way: str, side: _Side, data: bytes) -> None:
        """Carry bytes to the other side, late or not at all."""
        other = side.other
        if other is None or side.silent or self._is_dropped(side, way):
            return
        if self.delay:
            self.reactor.callLater(self.delay, other.send, data)
        else:
            other.send(data)

    def _is_dropped(self, side: _Side, way: str) -> bool:
        targets = ("*", side.target, side.address)
        return any(
            drop.source in ("*", side.source) and drop.target in targets and drop.way == way for drop in self.drops
        )

    def silence_all(self) -> None:
        """Have all open connections let nothing through for good, while new ones work."""
        for side in self.sides:
            side.silent = True

    def close_all(self) -> None:
        """Break all connections."""
        for side in list(self.sides):
            if side.transport is not None:
                side.transport.abortConnection()


class _Side(protocol.Protocol):
    """One end of a connection through a link."""

    def __init__(self, link: Link, address: str, target: str, way: str, other: _Side | None) -> None:
        self.link = link
        self.address = address
        self.target = target
        self.way = way
        self.other = other
        self.source: str = other.source if other is not None else ""
        self.waiting: list[bytes] = []
        self.silent = False
        """Whether what arrives from this end is lost."""
        self.closed = False

    def connectionMade(self) -> None:
        self.link.sides.add(self)
        if self.other is None:
            self.source = self.transport.getPeer().host
            self._dial()
            return
        self.other.other = self
        for data in self.other.waiting:
            self.link.carry("forward", self.other, data)

    def _dial(self) -> None:
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _: _Side(self.link, self.address, self.target, "back", self)
        factory.clientConnectionFailed = lambda *_: self._fail()
        host, _, port = self.target.partition(":")
        self.link.reactor.connectTCP(host, int(port), factory, timeout=2)

    def _fail(self) -> None:
        """Close a connection whose target can't be reached, but read first what was sent on it."""
        self.link.reactor.callLater(0.0 if self.waiting else READ_TIME_S, self._abort)

    def _abort(self) -> None:
        if self.waiting:
            self.link.on_undelivered(self.target, b"".join(self.waiting))
        self.transport.abortConnection()

    def send(self, data: bytes) -> None:
        if self.closed and self.way == "back":
            self.link.on_undelivered(self.target, data)
        elif self.transport is not None:
            self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        if self.other is None:
            self.waiting.append(data)
        else:
            self.link.carry(self.way, self, data)

    def connectionLost(self, reason: Any = None) -> None:
        self.closed = True
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
        self._link.drops = [Drop(drop["source"], drop["target"], drop["way"]) for drop in body.get("drops", [])]
        self._link.delay = float(body.get("delay", 0.0))
        return {}

    def _close(self, request: server.Request, body: Any) -> object:
        self._link.close_all()
        return {}


def main() -> None:
    """Run one link as a program."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser(prog="python -m beamhatch.standin.link", description=__doc__)
    parser.add_argument(
        "--link", action="append", required=True, metavar="LISTEN=TARGET", help="two addresses, each HOST:PORT"
    )
    link = Link(reactor)
    for text in parser.parse_args().link:
        open_link(reactor, link, *text.split("="))
    orders = listen(reactor, LinkRoot(link), "127.0.0.1", 0)
    announce("link", orders.getHost().port)
    reactor.run()


def open_link(reactor: Any, link: Link, address: str, target: str) -> int:
    """Listen at an address for connections to another one; return the port, which is any that is free for 0."""
    factory = protocol.Factory()
    factory.noisy = False
    factory.buildProtocol = lambda _: _Side(link, address, target, "forward", None)
    host, _, port = address.partition(":")
    listening = reactor.listenTCP(int(port), factory, interface=host)
    return int(listening.getHost().port)


if __name__ == "__main__":
    main()

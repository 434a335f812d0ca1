"""A request that does not become whole in its time is answered before its connection is closed."""

from __future__ import annotations

from typing import Any

from twisted.internet import task
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource

from beamhatch.clock import Clock
from beamhatch.edge.caller.http import CallerSite
from beamhatch.settings.schema import Limits, Timing

LIMIT = 1.0
TICK = 0.001


class SlowClock(Clock):
    """The clock of a process that is held up a little before it starts a timer."""

    def call_later(self, seconds: float, function: Any, *arguments: Any) -> Any:
        """Start a timer some moments behind what led to it."""
        self.reactor.rightNow += 5 * TICK
        return super().call_later(seconds, function, *arguments)


class ClosingTransport(StringTransport):
    """A transport that keeps what was written before its end was asked for."""

    written_before_close: bytes | None = None

    def loseConnection(self) -> None:
        """Note what was written until now."""
        if self.written_before_close is None:
            self.written_before_close = self.value()
        super().loseConnection()


def wait_for_close(data: bytes) -> bytes | None:
    reactor = task.Clock()
    site = CallerSite(Resource(), SlowClock(reactor), Limits(), Timing(receive_limit=LIMIT))
    transport = ClosingTransport()
    protocol = site.buildProtocol(None)
    protocol.makeConnection(transport)
    protocol.dataReceived(data)
    while not transport.disconnecting:
        assert reactor.rightNow < 3 * LIMIT
        reactor.advance(TICK)
    return transport.written_before_close


def test_a_slow_request_gets_its_408_before_its_connection_is_closed() -> None:
    written = wait_for_close(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n{")
    assert written is not None
    assert written.startswith(b"HTTP/1.1 408 ")


def test_a_connection_without_a_request_is_closed() -> None:
    assert wait_for_close(b"") == b""

"""The end of a tunnel at the VM that has no way of its own to the upstream."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING, Any

from twisted.internet import error
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from beamhatch.relay.tunnels.message import (
    MAX_FRAME_BYTES,
    HandshakeError,
    OpenTunnel,
    Refusal,
    TunnelRefused,
    decode_answer,
    encode,
)

if TYPE_CHECKING:
    from beamhatch.clock import Clock
    from beamhatch.relay.model import Address

ANSWER_TIMEOUT_S = 0.4
"""Seconds from the dial within which the proxy must have answered; it gives up on the upstream earlier."""


class TunnelState(Enum):
    """State of the client's end of a tunnel."""

    OPENING = "opening"
    OPEN = "open"
    OVER = "over"


class TunnelHandler(ABC):
    """Owner of a tunnel; exactly one of its methods is called."""

    @abstractmethod
    def build_protocol(self) -> Protocol | None:
        """Return the protocol that uses the tunnel, now that it is open; None to close it."""

    @abstractmethod
    def handle_refusal(self, reason: Refusal) -> None:
        """Handle the proxy's refusal: nothing was sent to the upstream."""

    @abstractmethod
    def handle_unresponsive(self, detail: str) -> None:
        """Handle the lack of an answer: nothing was sent to the upstream."""


class TunnelClient(Int32StringReceiver):
    """Connection to a proxy, which passes the upstream's bytes on to the protocol that uses the tunnel."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, clock: Clock, request: OpenTunnel, handler: TunnelHandler) -> None:
        self._request = request
        self._handler = handler
        self._state = TunnelState.OPENING
        self._user: Protocol | None = None
        self._timer: Any = clock.call_later(ANSWER_TIMEOUT_S, self._handle_timeout)

    def connectionMade(self) -> None:
        """Ask for the tunnel."""
        self.transport.write(encode(self._request))

    def stringReceived(self, string: bytes) -> None:
        """Handle the answer to the handshake, or data of the upstream."""
        if self._state is TunnelState.OPENING:
            self._handle_answer(string)
        elif self._state is TunnelState.OPEN and self._user is not None:
            if string:
                self._user.dataReceived(string)
            else:
                self._end(Failure(error.ConnectionDone()))
                self.transport.loseConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        """Abort the connection: no proxy sends such a frame."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Fail the handshake, or report to the user that the tunnel broke."""
        if self._state is TunnelState.OPENING:
            self.fail("connection to the proxy lost")
        else:
            self._end(Failure(error.ConnectionLost()))

    def fail(self, detail: str) -> None:
        """End the handshake without an answer."""
        if self._state is TunnelState.OPENING:
            self._stop_opening(TunnelState.OVER)
            self._handler.handle_unresponsive(detail)

    def _handle_answer(self, string: bytes) -> None:
        try:
            answer = decode_answer(string)
        except HandshakeError as problem:
            self.transport.abortConnection()
            self.fail(str(problem))
            return
        if isinstance(answer, TunnelRefused):
            self._stop_opening(TunnelState.OVER)
            self.transport.loseConnection()
            self._handler.handle_refusal(answer.reason)
            return
        self._stop_opening(TunnelState.OPEN)
        self._user = self._handler.build_protocol()
        if self._user is None:
            self.transport.abortConnection()
        else:
            self._user.makeConnection(self.transport)

    def _handle_timeout(self) -> None:
        if self.transport is not None:
            self.transport.abortConnection()
        self.fail("no answer in time")

    def _stop_opening(self, state: TunnelState) -> None:
        self._state = state
        if self._timer.active():
            self._timer.cancel()

    def _end(self, reason: Failure) -> None:
        user, self._user = self._user, None
        self._state = TunnelState.OVER
        if user is not None:
            user.connectionLost(reason)


class _TunnelFactory(ClientFactory):
    noisy = False

    def __init__(self, client: TunnelClient) -> None:
        self._client = client

    def buildProtocol(self, _: Any) -> TunnelClient:
        return self._client

    def clientConnectionFailed(self, _: Any, reason: Failure) -> None:
        self._client.fail(reason.getErrorMessage())


def open_tunnel(clock: Clock, vm: str, proxy: Address, upstream: Address, handler: TunnelHandler) -> None:
    """Ask a proxy for a tunnel to an upstream.

    :param vm: name of this VM
    """
    client = TunnelClient(clock, OpenTunnel(vm, upstream.host, upstream.port), handler)
    clock.reactor.connectTCP(proxy.host, proxy.port, _TunnelFactory(client), timeout=ANSWER_TIMEOUT_S)

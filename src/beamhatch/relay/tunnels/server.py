"""The proxy's end of tunnels: connects to upstreams on behalf of peers and passes bytes on."""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

from twisted.internet import error
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone

from beamhatch.ordered_set import OrderedSet
from beamhatch.relay.model import Address
from beamhatch.relay.tunnels.message import (
    END_OF_DATA,
    LENGTH,
    MAX_HANDSHAKE_BYTES,
    HandshakeError,
    Refusal,
    TunnelOpened,
    TunnelRefused,
    decode_request,
    encode,
    frame,
)
from beamhatch.relay.upstreams.connection import TCP_USER_TIMEOUT, USER_TIMEOUT_MS

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from beamhatch.clock import Clock
    from beamhatch.relay.tunnels.message import OpenTunnel

MAX_TUNNELS = 256
"""Maximum number of tunnels; each takes two descriptors of the four thousand that a VM has."""

REQUEST_TIMEOUT_S = 1.0
"""Seconds within which a client must have asked for its tunnel."""

CONNECT_TIMEOUT_S = 0.25
"""Seconds within which the upstream must accept the connection; less than the client waits for the answer."""

KEEPALIVE_IDLE_S = 2
"""Seconds without traffic after which the kernel probes the client."""

KEEPALIVE_INTERVAL_S = 1
"""Seconds between two probes."""

KEEPALIVE_COUNT = 3
"""Unanswered probes after which the connection is closed, unless the user timeout ends it first."""


class TunnelHost(ABC):
    """The VM that carries tunnels."""

    clock: Clock

    @abstractmethod
    def check(self, request: OpenTunnel, open_count: int) -> Refusal | None:
        """Return why a tunnel is refused, or None if it may be opened.

        :param open_count: number of tunnels that are open or being opened
        """

    @abstractmethod
    def record_result(self, request: OpenTunnel, refusal: Refusal | None) -> None:
        """Record what became of a request; of its own connection attempt, if that was made."""

    @abstractmethod
    def record_relayed(self, size: int) -> None:
        """Record the bytes of data that was read from one side of a tunnel and written to the other."""


class TunnelServer(Factory):
    """Server of the tunnels of one VM."""

    noisy = False

    def __init__(self, host: TunnelHost) -> None:
        self.host = host
        self.tunnels: OrderedSet[ClientSide] = OrderedSet()
        """Tunnels that are open or being opened."""

    def buildProtocol(self, _: Any) -> ClientSide:
        """Return the protocol of a client's connection."""
        return ClientSide(self)

    def abort_all(self) -> None:
        """Reset all tunnels."""
        for tunnel in list(self.tunnels):
            tunnel.transport.abortConnection()


class ClientSide(Protocol):
    """Connection of a client that asks for a tunnel."""

    def __init__(self, server: TunnelServer) -> None:
        self._server = server
        self._received = b""
        self._request: OpenTunnel | None = None
        self._upstream: _UpstreamSide | None = None
        self._timer: Any = server.host.clock.call_later(REQUEST_TIMEOUT_S, self._handle_timeout)
        self._is_open = True

    def connectionMade(self) -> None:
        """Have the kernel notice a client that is gone."""
        self.transport.setTcpNoDelay(True)
        handle = self.transport.getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
        handle.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def dataReceived(self, data: bytes) -> None:
        """Read the request, or pass data on to the upstream."""
        if self._upstream is not None:
            self._server.host.record_relayed(len(data))
            self._upstream.transport.write(data)
        elif self._request is not None:
            self.transport.abortConnection()  # data before the answer
        else:
            self._received += data
            self._read_request()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Close the connection to the upstream: the client needs it no longer."""
        self._is_open = False
        self._stop_timer()
        self._server.tunnels.discard(self)
        upstream, self._upstream = self._upstream, None
        if upstream is not None:
            upstream.close()

    # --- opening -----------------------------------------------------------------------------------------------------

    def _read_request(self) -> None:
        if len(self._received) < LENGTH.size:
            return
        (length,) = LENGTH.unpack_from(self._received)
        if length > MAX_HANDSHAKE_BYTES:
            self.transport.abortConnection()
            return
        if len(self._received) < LENGTH.size + length:
            return
        try:
            request = decode_request(self._received[LENGTH.size :])
        except HandshakeError:
            self.transport.abortConnection()
            return
        self._stop_timer()
        self._request = request
        refusal = self._server.host.check(request, len(self._server.tunnels))
        if refusal is not None:
            self._refuse(request, refusal)
            return
        self._server.tunnels.add(self)
        self._server.host.clock.reactor.connectTCP(
            request.host, request.port, _UpstreamFactory(self), timeout=CONNECT_TIMEOUT_S
        )

    def attach(self, upstream: _UpstreamSide) -> None:
        """Open the tunnel, now that the upstream has accepted the connection."""
        assert self._request is not None
        self._server.host.record_result(self._request, None)
        if not self._is_open:
            upstream.close()
            return
        self._upstream = upstream
        self.transport.write(encode(TunnelOpened()))
        self.transport.registerProducer(upstream.transport, True)
        upstream.transport.registerProducer(self.transport, True)

    def handle_unreachable(self) -> None:
        """Refuse the tunnel, as the upstream accepts no connection."""
        assert self._request is not None
        self._server.tunnels.discard(self)
        self._refuse(self._request, Refusal.UNREACHABLE)

    def _refuse(self, request: OpenTunnel, refusal: Refusal) -> None:
        self._server.host.record_result(request, refusal)
        if self._is_open:
            self.transport.write(encode(TunnelRefused(refusal)))
            self.transport.loseConnection()

    # --- data --------------------------------------------------------------------------------------------------------

    def forward(self, data: bytes) -> None:
        """Pass data of the upstream on to the client."""
        self._server.host.record_relayed(len(data))
        self.transport.write(frame(data))

    def handle_upstream_lost(self, *, is_clean: bool) -> None:
        """End the tunnel as the upstream ended its connection: cleanly, or with a reset."""
        if self._upstream is None:
            return
        self._upstream = None
        self.transport.unregisterProducer()
        if is_clean:
            self.transport.write(END_OF_DATA)
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def _handle_timeout(self) -> None:
        self.transport.abortConnection()

    def _stop_timer(self) -> None:
        if self._timer.active():
            self._timer.cancel()


class _UpstreamSide(Protocol):
    """Connection to the upstream of a tunnel."""

    def __init__(self, client: ClientSide) -> None:
        self._client: ClientSide | None = client

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.getHandle().setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        if self._client is not None:
            self._client.attach(self)

    def dataReceived(self, data: bytes) -> None:
        if self._client is not None:
            self._client.forward(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        client, self._client = self._client, None
        if client is not None:
            client.handle_upstream_lost(is_clean=reason.check(error.ConnectionDone) is not None)

    def close(self) -> None:
        """Reset the connection, so that the upstream cancels what the client no longer waits for."""
        self._client = None
        self.transport.unregisterProducer()
        self.transport.abortConnection()


class _UpstreamFactory(ClientFactory):
    noisy = False

    def __init__(self, client: ClientSide) -> None:
        self._client = client

    def buildProtocol(self, _: Any) -> _UpstreamSide:
        return _UpstreamSide(self._client)

    def clientConnectionFailed(self, _: Any, reason: Failure) -> None:
        self._client.handle_unreachable()


def get_address(request: OpenTunnel) -> Address:
    """Return the address of the upstream that a tunnel is requested to."""
    return Address(request.host, request.port)

"""Both ends of a tunnel, on the paused network."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import pytest
from twisted.internet.protocol import Factory, Protocol, connectionDone

from beamhatch.relay.model import Address
from beamhatch.relay.tunnels.client import TunnelHandler, open_tunnel
from beamhatch.relay.tunnels.message import MAX_HANDSHAKE_BYTES, OpenTunnel, Refusal, encode
from beamhatch.relay.tunnels.server import MAX_TUNNELS, REQUEST_TIMEOUT_S, TunnelHost, TunnelServer
from tests.support.network import Network, PausedClock

if TYPE_CHECKING:
    from twisted.python.failure import Failure

PROXY = Address("proxy", 8003)
UPSTREAM = Address("up", 80)


class User(Protocol):
    """What uses a connection at either end."""

    def __init__(self) -> None:
        self.received = b""
        self.lost = ""

    def dataReceived(self, data: bytes) -> None:
        self.received += data

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.lost = type(reason.value).__name__


class Handler(TunnelHandler):
    def __init__(self) -> None:
        self.user: User | None = None
        self.outcomes: list[str | Refusal] = []

    def build_protocol(self) -> Protocol | None:
        self.outcomes.append("open")
        self.user = User()
        return self.user

    def handle_refusal(self, reason: Refusal) -> None:
        self.outcomes.append(reason)

    def handle_unresponsive(self, detail: str) -> None:
        self.outcomes.append("unresponsive")


class UpstreamFactory(Factory):
    def __init__(self) -> None:
        self.connections: list[User] = []

    def buildProtocol(self, _: Any) -> User:
        self.connections.append(User())
        return self.connections[-1]


class Host(TunnelHost):
    def __init__(self, clock: PausedClock) -> None:
        self.clock = clock
        self.refusal: Refusal | None = None
        self.results: list[Refusal | None] = []
        self.relayed = 0

    def check(self, request: OpenTunnel, open_count: int) -> Refusal | None:
        return Refusal.FULL if open_count >= MAX_TUNNELS else self.refusal

    def record_result(self, request: OpenTunnel, refusal: Refusal | None) -> None:
        self.results.append(refusal)

    def record_relayed(self, size: int) -> None:
        self.relayed += size


class Bench:
    """A client, a proxy and an upstream."""

    def __init__(self) -> None:
        self.network = Network()
        self.host = Host(PausedClock(self.network.at(PROXY.host)))
        self.server = TunnelServer(self.host)
        self.host.clock.reactor.listenTCP(PROXY.port, self.server, interface=PROXY.host)
        self.upstream = UpstreamFactory()
        self.network.listenTCP(UPSTREAM.port, self.upstream, interface=UPSTREAM.host)

    def open(self) -> Handler:
        handler = Handler()
        open_tunnel(PausedClock(self.network.at("client")), "client", PROXY, UPSTREAM, handler)
        self.network.run(0.05)
        return handler

    def open_user(self) -> tuple[User, User]:
        """Return what uses a tunnel at the client and at the upstream."""
        handler = self.open()
        assert handler.user is not None
        return handler.user, self.upstream.connections[-1]


def test_bytes_pass_both_ways_as_they_were_sent() -> None:
    bench = Bench()
    client, upstream = bench.open_user()
    rng = random.Random(1)
    sent = [rng.randbytes(rng.choice([1, 900, 70_000])) for _ in range(40)]
    for data in sent:
        client.transport.write(data)
        upstream.transport.write(data[::-1])
        bench.network.run(0.01)
    assert upstream.received == b"".join(sent)
    assert client.received == b"".join(data[::-1] for data in sent)
    assert bench.host.relayed == 2 * sum(len(data) for data in sent)


def test_a_clean_end_of_the_upstream_is_told_from_a_reset() -> None:
    bench = Bench()
    client, upstream = bench.open_user()
    upstream.transport.write(b"last")
    upstream.transport.loseConnection()
    bench.network.run(0.05)
    assert (client.received, client.lost) == (b"last", "ConnectionDone")
    client, upstream = bench.open_user()
    upstream.transport.abortConnection()
    bench.network.run(0.05)
    assert client.lost == "ConnectionLost"
    assert not bench.server.tunnels


def test_a_truncated_answer_looks_complete_as_the_proxy_closes_its_end_in_order() -> None:
    bench = Bench()
    client, upstream = bench.open_user()
    upstream.transport.write(b"a part")
    bench.network.run(0.05)
    next(iter(bench.server.tunnels)).transport.loseConnection()
    bench.network.run(0.05)
    assert (client.received, client.lost) == (b"a part", "ConnectionLost")


def test_the_upstream_hears_of_a_client_that_leaves() -> None:
    bench = Bench()
    client, upstream = bench.open_user()
    client.transport.abortConnection()
    bench.network.run(0.05)
    assert upstream.lost
    assert not bench.server.tunnels


@pytest.mark.parametrize("refusal", [Refusal.NOT_ACCEPTING, Refusal.UNKNOWN_UPSTREAM, Refusal.FULL], ids=str)
def test_a_refusal_is_told_and_nothing_is_sent(refusal: Refusal) -> None:
    bench = Bench()
    bench.host.refusal = refusal
    assert bench.open().outcomes == [refusal]
    assert not bench.upstream.connections


def test_an_upstream_that_is_gone_or_silent_is_told_as_unreachable() -> None:
    bench = Bench()
    bench.network.cut_between(PROXY.host, UPSTREAM.host)
    handler = bench.open()
    bench.network.run(0.4)
    assert handler.outcomes == [Refusal.UNREACHABLE]
    bench.network.heal_between(PROXY.host, UPSTREAM.host)
    bench.network.refuse_between(PROXY.host, UPSTREAM.host)
    assert bench.open().outcomes == [Refusal.UNREACHABLE]
    assert bench.host.results == [Refusal.UNREACHABLE] * 2
    assert not bench.server.tunnels


def test_a_proxy_that_does_not_answer_is_given_up() -> None:
    bench = Bench()
    bench.network.freeze(PROXY.host)
    handler = bench.open()
    bench.network.run(0.5)
    assert handler.outcomes == ["unresponsive"]
    bench.network.thaw(PROXY.host)
    bench.network.run(1.0)
    assert handler.outcomes == ["unresponsive"]
    assert not bench.server.tunnels


def test_a_full_proxy_refuses_at_once() -> None:
    bench = Bench()
    for _ in range(MAX_TUNNELS):
        bench.open()
    assert bench.open().outcomes == [Refusal.FULL]


def test_a_client_that_is_gone_without_a_word_is_noticed() -> None:
    bench = Bench()
    _, upstream = bench.open_user()
    bench.network.silence_connections(lambda one: one.host == "client")
    bench.network.run(8.0)
    assert upstream.lost
    assert not bench.server.tunnels


@pytest.mark.parametrize("data", [b"\xff\xff\xff\xff", b"\0\0\0\x01x", encode(OpenTunnel("v", "up", 80))[:6]], ids=str)
def test_bytes_that_are_no_request_close_the_connection(data: bytes) -> None:
    bench = Bench()
    user = User()

    class UserFactory(Factory):
        def buildProtocol(self, _: Any) -> User:
            return user

        def clientConnectionFailed(self, *_: Any) -> None:
            raise AssertionError

    bench.network.connectTCP(PROXY.host, PROXY.port, UserFactory())
    bench.network.run(0.05)
    user.transport.write(data)
    bench.network.run(REQUEST_TIMEOUT_S + 0.1)
    assert user.lost
    assert not bench.upstream.connections
    assert len(data) < MAX_HANDSHAKE_BYTES


def test_a_client_that_reads_slowly_holds_the_upstream_up() -> None:
    bench = Bench()
    client, upstream = bench.open_user()
    client.transport.pauseProducing()
    paused = []

    class Producer:
        def pauseProducing(self) -> None:
            paused.append(True)

        def resumeProducing(self) -> None:
            paused.append(False)

    upstream.transport.registerProducer(Producer(), True)
    for _ in range(40):
        upstream.transport.write(bytes(60_000))
        bench.network.run(0.01)
    assert True in paused
    assert not client.received
    client.transport.resumeProducing()
    bench.network.run(0.5)
    assert len(client.received) == 40 * 60_000

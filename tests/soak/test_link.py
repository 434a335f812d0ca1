"""What the link between relays and upstreams tells of bytes that do not arrive."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
from twisted.internet import protocol

from beamhatch.standin.link import Link, open_link
from tests.support.network import Network

if TYPE_CHECKING:
    from collections.abc import Callable


class Sender(protocol.Protocol):
    """Sends once it is connected."""

    def connectionMade(self) -> None:
        self.transport.write(b"first")


def make_factory(make: Callable[[], protocol.Protocol]) -> Any:
    factory = protocol.ClientFactory()
    factory.noisy = False
    factory.buildProtocol = lambda _: make()
    return factory


@pytest.mark.parametrize("state", ["open", "closed", "gone"])
def test_bytes_for_an_upstream_that_is_gone_are_told(state: str) -> None:
    network = Network()
    link = Link(network)
    undelivered: list[tuple[str, bytes]] = []
    link.on_undelivered = lambda target, data: undelivered.append((target, data))
    open_link(network, link, "link:80", "upstream:80")
    receiver = protocol.Protocol()
    if state != "gone":
        network.listenTCP(80, make_factory(lambda: receiver), interface="upstream")
    sender = Sender()
    network.connectTCP("link", 80, make_factory(lambda: sender))
    network.run(0.1)
    if state == "closed":
        receiver.transport.abortConnection()
        sender.transport.write(b"second")
        network.run(0.1)
    expected = {"open": [], "closed": [("upstream:80", b"second")], "gone": [("upstream:80", b"first")]}
    assert undelivered == expected[state]

"""Direct connections to upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import ClientFactory

from beamhatch.relay.tunnels.api import Dialer, allow_any_hall

if TYPE_CHECKING:
    from twisted.internet.protocol import Protocol
    from twisted.python.failure import Failure

    from beamhatch.clock import Clock
    from beamhatch.relay.model import Address
    from beamhatch.relay.tunnels.api import DialObserver, DialReceiver, HallFilter


class _DirectFactory(ClientFactory):
    """Factory of one direct connection."""

    noisy = False

    def __init__(self, clock: Clock, address: Address, receiver: DialReceiver, observer: DialObserver | None) -> None:
        self._clock = clock
        self._dialled_at = clock.now()
        self._address = address
        self._receiver = receiver
        self._observer = observer

    def buildProtocol(self, _: Any) -> Protocol | None:
        """Record the success, and return the receiver's protocol."""
        if self._observer is not None:
            self._observer.record_connected(self._address)
            self._observer.record_connect_time(self._clock.now() - self._dialled_at)
        return self._receiver.build_protocol(None)

    def clientConnectionFailed(self, _: Any, reason: Failure) -> None:
        """Record the failure, and report it."""
        if self._observer is not None:
            self._observer.record_unreachable(self._address)
        self._receiver.handle_failure(reason.getErrorMessage())


class DirectDialer(Dialer):
    """Strategy that connects without peers."""

    def __init__(self, clock: Clock, observer: DialObserver | None = None) -> None:
        self._clock = clock
        self._observer = observer

    def connect(
        self, address: Address, receiver: DialReceiver, timeout: float, may_pass: HallFilter = allow_any_hall
    ) -> None:
        """Connect to an address directly."""
        factory = _DirectFactory(self._clock, address, receiver, self._observer)
        self._clock.reactor.connectTCP(address.host, address.port, factory, timeout=timeout)

"""Connections to other VMs, which frame, encode and decode messages."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import ClientFactory, Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver

from beamhatch.relay.fleet.far_words import ReceivedState, SentState
from beamhatch.relay.fleet.gossip_message import MAX_MESSAGE_BYTES, Message, MessageError, decode, encode

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal


class PeerHandler(ABC):
    """The owner of the connections, which handles their events and messages."""

    clock: Clock
    journal: Journal

    @abstractmethod
    def add_connection(self, connection: PeerConnection) -> None:
        """Register an established connection."""

    @abstractmethod
    def remove_connection(self, connection: PeerConnection) -> None:
        """Forget a closed connection."""

    @abstractmethod
    def record_unreachable(self, address: str) -> None:
        """Record a failed connection attempt."""

    @abstractmethod
    def record_sent(self, connection: PeerConnection, message: Message, size: int) -> None:
        """Count a sent message.

        :param size: bytes of the encoded message
        """

    @abstractmethod
    def handle_message(self, connection: PeerConnection, message: Message) -> None:
        """Apply a message or answer it.

        :raises MessageError: if its content cannot be read
        """


class PeerConnection(Int32StringReceiver):
    """A connection to a peer, dialled by either side."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, handler: PeerHandler, dialled_address: str | None) -> None:
        self.dialled_address = dialled_address
        """The address that this VM dialled; None if the peer dialled."""
        self.vm = ""
        """The peer's name; empty until its first hello."""
        self.hall = ""
        """The peer's hall. Until its first hello, the hall that other members reported, or empty if there is none."""
        self.address = ""
        """Where the peer listens; empty until its first hello."""
        self.last_received_at = 0.0
        self.is_unwanted = False
        """Whether this VM closes the connection as it has enough others."""
        self.received = ReceivedState()
        self.sent = SentState()
        self._handler = handler

    @property
    def is_aggregator(self) -> bool:
        """Return whether the peer aggregates the reports of its hall."""
        return self.received.is_aggregator

    def connectionMade(self) -> None:
        """Register the connection with its handler."""
        self.transport.setTcpNoDelay(True)
        self.last_received_at = self._handler.clock.now()
        self._handler.add_connection(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Remove the connection from its handler."""
        self._handler.remove_connection(self)

    def stringReceived(self, string: bytes) -> None:
        """Decode a message and pass it to the handler."""
        self.last_received_at = self._handler.clock.now()
        try:
            self._handler.handle_message(self, decode(string))
        except MessageError as problem:
            self._handler.journal.write("PEER", "bad message", vm=self.vm, detail=str(problem))
            self.transport.abortConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        """Abort the connection of a peer whose message is too long."""
        self._handler.journal.write("PEER", "message too long", vm=self.vm, length=length)
        self.transport.abortConnection()

    def send(self, message: Message) -> None:
        """Encode and send a message."""
        data = encode(message)
        self.sendString(data)
        self._handler.record_sent(self, message, len(data))


class PeerServerFactory(Factory):
    """Factory of the connections that peers dial."""

    noisy = False

    def __init__(self, handler: PeerHandler) -> None:
        self._handler = handler

    def buildProtocol(self, _: Any) -> PeerConnection:
        """Return the protocol of a new connection."""
        return PeerConnection(self._handler, None)


class PeerClientFactory(ClientFactory):
    """Factory of a connection that this VM dials."""

    noisy = False

    def __init__(self, handler: PeerHandler, address: str) -> None:
        self._handler = handler
        self._address = address

    def buildProtocol(self, _: Any) -> PeerConnection:
        """Return the protocol of a new connection."""
        return PeerConnection(self._handler, self._address)

    def clientConnectionFailed(self, _: Any, reason: Failure) -> None:
        """Report the failed connection attempt to the handler."""
        self._handler.record_unreachable(self._address)

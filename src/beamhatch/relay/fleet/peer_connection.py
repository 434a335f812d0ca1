"""Connections to other VMs, whoever dialled: whole messages in, whole messages out."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import ClientFactory, Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver

from beamhatch.relay.fleet.gossip_message import MAX_MESSAGE_BYTES, Message, MessageError, decode, encode
from beamhatch.relay.fleet.peer_state import ReceivedState, SentState

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal


class PeerHandler(ABC):
    """What a VM does with its connections and what is said on them."""

    clock: Clock
    journal: Journal

    @abstractmethod
    def add_connection(self, connection: PeerConnection) -> None:
        """Take in a connection that came up."""

    @abstractmethod
    def remove_connection(self, connection: PeerConnection) -> None:
        """Drop a connection that ended."""

    @abstractmethod
    def record_unreachable(self, address: str) -> None:
        """Note that an address did not answer."""

    @abstractmethod
    def record_sent(self, connection: PeerConnection, message: Message, size: int) -> None:
        """Count a message that was sent, with the bytes of its encoding."""

    @abstractmethod
    def handle_message(self, connection: PeerConnection, message: Message) -> None:
        """Take in one message.

        :raises MessageError: where it can't be read
        """


class PeerConnection(Int32StringReceiver):
    """One connection to a peer."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, talk: PeerHandler, dialled: str | None) -> None:
        self.dialled_address = dialled
        """The address that this VM dialled, or None where the peer did."""
        self.vm = ""
        """The peer's name, once it has said it."""
        self.hall = ""
        """The peer's hall, once it has said it, or as others told it where this VM dialled."""
        self.address = ""
        """Where the peer listens, once it has said it."""
        self.last_received_at = 0.0
        self.received = ReceivedState()
        self.sent = SentState()
        self._handler = talk

    @property
    def is_aggregator(self) -> bool:
        """Tell whether the peer says that it adds up what its hall tells."""
        return self.received.is_aggregator

    def connectionMade(self) -> None:
        """Say who this is."""
        self.transport.setTcpNoDelay(True)
        self.last_received_at = self._handler.clock.now()
        self._handler.add_connection(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Drop the connection."""
        self._handler.remove_connection(self)

    def stringReceived(self, string: bytes) -> None:
        """Take in one message."""
        self.last_received_at = self._handler.clock.now()
        try:
            self._handler.handle_message(self, decode(string))
        except MessageError as problem:
            self._handler.journal.write("PEER", "bad message", vm=self.vm, detail=str(problem))
            self.transport.abortConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        """Drop a peer that sends too much."""
        self._handler.journal.write("PEER", "message too long", vm=self.vm, length=length)
        self.transport.abortConnection()

    def send(self, message: Message) -> None:
        """Send a message."""
        data = encode(message)
        self.sendString(data)
        self._handler.record_sent(self, message, len(data))


class PeerServerFactory(Factory):
    """Makes the connections that peers dial."""

    noisy = False

    def __init__(self, talk: PeerHandler) -> None:
        self._talk = talk

    def buildProtocol(self, _: Any) -> PeerConnection:
        """Return a new connection."""
        return PeerConnection(self._talk, None)


class PeerClientFactory(ClientFactory):
    """Makes a connection to an address."""

    noisy = False

    def __init__(self, talk: PeerHandler, address: str) -> None:
        self._talk = talk
        self._address = address

    def buildProtocol(self, _: Any) -> PeerConnection:
        """Return a new connection."""
        return PeerConnection(self._talk, self._address)

    def clientConnectionFailed(self, _: Any, reason: Failure) -> None:
        """Note that nobody is there."""
        self._talk.record_unreachable(self._address)

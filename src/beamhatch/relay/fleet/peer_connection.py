"""Connections to other VMs, whoever dialled: whole messages in, whole messages out."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import ClientFactory, Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver

from beamhatch.relay.fleet.far_words import HeardWords, ToldWords
from beamhatch.relay.fleet.gossip_message import MOST_BYTES, Message, MessageError, decode, encode

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal


class PeerTalk(ABC):
    """What a VM does with its connections and what is said on them."""

    clock: Clock
    journal: Journal

    @abstractmethod
    def add(self, connection: PeerConnection) -> None:
        """Take in a connection that came up."""

    @abstractmethod
    def remove(self, connection: PeerConnection) -> None:
        """Drop a connection that ended."""

    @abstractmethod
    def note_unreached(self, address: str) -> None:
        """Note that an address did not answer."""

    @abstractmethod
    def note_sent(self, connection: PeerConnection, message: Message, size: int) -> None:
        """Count a message that was sent, with the bytes of its encoding."""

    @abstractmethod
    def take(self, connection: PeerConnection, message: Message) -> None:
        """Take in one message.

        :raises MessageError: where it can't be read
        """


class PeerConnection(Int32StringReceiver):
    """One connection to a peer."""

    MAX_LENGTH = MOST_BYTES

    def __init__(self, talk: PeerTalk, dialled: str | None) -> None:
        self.dialled = dialled
        """The address that this VM dialled, or None where the peer did."""
        self.vm = ""
        """The peer's name, once it has said it."""
        self.hall = ""
        """The peer's hall, once it has said it, or as others told it where this VM dialled."""
        self.address = ""
        """Where the peer listens, once it has said it."""
        self.heard_at = 0.0
        self.heard = HeardWords()
        self.told = ToldWords()
        self._talk = talk

    @property
    def adds_up(self) -> bool:
        """Tell whether the peer says that it adds up what its hall tells."""
        return self.heard.adds_up

    def connectionMade(self) -> None:
        """Say who this is."""
        self.transport.setTcpNoDelay(True)
        self.heard_at = self._talk.clock.now()
        self._talk.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Drop the connection."""
        self._talk.remove(self)

    def stringReceived(self, string: bytes) -> None:
        """Take in one message."""
        self.heard_at = self._talk.clock.now()
        try:
            self._talk.take(self, decode(string))
        except MessageError as problem:
            self._talk.journal.write("PEER", "bad message", vm=self.vm, detail=str(problem))
            self.transport.abortConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        """Drop a peer that sends too much."""
        self._talk.journal.write("PEER", "message too long", vm=self.vm, length=length)
        self.transport.abortConnection()

    def tell(self, message: Message) -> None:
        """Send a message."""
        data = encode(message)
        self.sendString(data)
        self._talk.note_sent(self, message, len(data))


class Accept(Factory):
    """Makes the connections that peers dial."""

    noisy = False

    def __init__(self, talk: PeerTalk) -> None:
        self._talk = talk

    def buildProtocol(self, _: Any) -> PeerConnection:
        """Return a new connection."""
        return PeerConnection(self._talk, None)


class Dial(ClientFactory):
    """Makes a connection to an address."""

    noisy = False

    def __init__(self, talk: PeerTalk, address: str) -> None:
        self._talk = talk
        self._address = address

    def buildProtocol(self, _: Any) -> PeerConnection:
        """Return a new connection."""
        return PeerConnection(self._talk, self._address)

    def clientConnectionFailed(self, _: Any, reason: Failure) -> None:
        """Note that nobody is there."""
        self._talk.note_unreached(self._address)

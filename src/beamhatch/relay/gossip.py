"""Talk with a few other VMs, so that a VM which the store does not serve learns what the others know.

Each VM keeps connections to a constant number of peers, tells them twice a second which configuration and which listing
it has, and asks for what it lacks. What is told was read from the store by somebody, and only ever replaces something
older.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import ClientFactory, Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver

from beamhatch.relay.api import Document, ListingNews
from beamhatch.relay.balancing import Pressure
from beamhatch.relay.gossip_message import (
    MOST_BYTES,
    MOST_KNOWN,
    AskConfiguration,
    AskListing,
    Beat,
    Configuration,
    Hello,
    ListingPart,
    Message,
    MessageError,
    decode,
    encode,
)
from beamhatch.relay.model import UpstreamId, hash_fraction

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from beamhatch.relay.api import Documents
    from beamhatch.relay.core import Core
    from beamhatch.relay.model import Service

DIALLED = 3
"""Peers that this VM keeps a connection to, beside those that do so towards it."""

BEAT_INTERVAL = 0.5
SILENCE_LIMIT = 1.8
"""Seconds without a beat after which a connection is taken as dead, and made anew."""

PATIENCE = 0.2
"""Seconds for which this VM waits for the store to tell what a peer has already."""

CONNECT_TIMEOUT = 0.5
REDIAL_PAUSE = 2.0
"""Seconds for which another VM is dialled instead of one that does not answer."""

FORGET_AFTER = 60.0
"""Seconds without a sign after which a VM is no longer counted."""

HELLO_INTERVAL = 10.0
LEAST_FAULTS = 0.2
"""Share of faults from which on peers are told of an upstream."""


class PeerConnection(Int32StringReceiver):
    """One connection to a peer, whoever dialled."""

    MAX_LENGTH = MOST_BYTES

    def __init__(self, gossip: Gossip, dialled: str | None) -> None:
        self.dialled = dialled
        self.vm = ""
        self.heard_at = 0.0
        self._gossip = gossip

    def connectionMade(self) -> None:
        """Say who this is."""
        self.transport.setTcpNoDelay(True)
        self.heard_at = self._gossip.core.clock.now()
        self._gossip.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Drop the connection."""
        self._gossip.remove(self)

    def stringReceived(self, string: bytes) -> None:
        """Take in one message."""
        self.heard_at = self._gossip.core.clock.now()
        try:
            message = decode(string)
        except MessageError as problem:
            self._gossip.core.journal.write("PEER", "bad message", vm=self.vm, detail=str(problem))
            self.transport.abortConnection()
            return
        self._gossip.take(self, message)

    def lengthLimitExceeded(self, length: int) -> None:
        """Drop a peer that sends too much."""
        self._gossip.core.journal.write("PEER", "message too long", vm=self.vm, length=length)
        self.transport.abortConnection()

    def tell(self, message: Message) -> None:
        """Send a message."""
        self.sendString(encode(message))


class _Accept(Factory):
    noisy = False

    def __init__(self, gossip: Gossip) -> None:
        self._gossip = gossip

    def buildProtocol(self, _: Any) -> PeerConnection:
        return PeerConnection(self._gossip, None)


class _Dial(ClientFactory):
    noisy = False

    def __init__(self, gossip: Gossip, address: str) -> None:
        self._gossip = gossip
        self._address = address

    def buildProtocol(self, _: Any) -> PeerConnection:
        return PeerConnection(self._gossip, self._address)

    def clientConnectionFailed(self, _: Any, reason: Failure) -> None:
        self._gossip.note_unreached(self._address)


@dataclass(frozen=True, slots=True)
class _Lack:
    """A peer has something newer than what this VM has."""

    own: int
    since: float


@dataclass(frozen=True, slots=True)
class _Heard:
    """What another VM's streams ask, and when it said so."""

    demands: dict[str, tuple[float, float]]
    at: float


class Gossip:
    """The connections to other VMs, and who they are."""

    def __init__(self, core: Core, documents: Documents, vm: str, address: str, seeds: list[str]) -> None:
        self.core = core
        self.address = address
        self._documents = documents
        self._vm = vm
        self._seeds = [seed for seed in seeds if seed != address]
        self._connections: set[PeerConnection] = set()
        self._dialling: dict[str, PeerConnection | None] = {}
        """VMs that this one dials, with the connection once it is up."""
        self._passed_over: dict[str, float] = {}
        """Until when VMs are not dialled, as they did not answer."""
        self._seen: dict[str, float] = {}
        """When VMs were last heard of."""
        self._demands: dict[str, _Heard] = {}
        """What other VMs' streams ask, by VM."""
        self._hello_at = 0.0
        self._lacking: dict[str, _Lack] = {}
        self._telling = False
        self._port: Any = None
        self._stopped = False

    def start(self) -> None:
        """Listen, and begin to dial."""
        host, _, port = self.address.rpartition(":")
        self._port = self.core.clock.reactor.listenTCP(int(port), _Accept(self), interface=host)
        self._tick()

    def stop(self) -> None:
        """Close all connections."""
        self._stopped = True
        if self._port is not None:
            self._port.stopListening()
        for connection in list(self._connections):
            connection.transport.abortConnection()

    def set_seeds(self, seeds: list[str]) -> None:
        """Take the seeds of changed settings."""
        self._seeds = [seed for seed in seeds if seed != self.address]

    # --- connections -------------------------------------------------------------------------------------------------

    def add(self, connection: PeerConnection) -> None:
        """Take in a connection that came up."""
        self._connections.add(connection)
        if connection.dialled is not None:
            self._dialling[connection.dialled] = connection
        connection.tell(self._make_hello())
        connection.tell(self._make_beat())

    def remove(self, connection: PeerConnection) -> None:
        """Drop a connection that ended."""
        self._connections.discard(connection)
        if connection.dialled is not None:
            self._dialling.pop(connection.dialled, None)
        if connection.vm and not self._stopped:
            self.core.journal.write("PEER", "lost", vm=connection.vm, connections=len(self._connections))

    def note_unreached(self, address: str) -> None:
        """Pass a VM over that does not answer."""
        self._dialling.pop(address, None)
        self._passed_over[address] = self.core.clock.now() + REDIAL_PAUSE

    def _tick(self) -> None:
        if self._stopped:
            return
        now = self.core.clock.now()
        self._drop_silent(now)
        self._forget_old(now)
        self._dial(now)
        beat = self._make_beat()
        hello = self._make_hello() if now - self._hello_at > HELLO_INTERVAL else None
        if hello is not None:
            self._hello_at = now
        for connection in list(self._connections):
            connection.tell(beat)
            if hello is not None:
                connection.tell(hello)
        self.core.clock.call_later(BEAT_INTERVAL, self._tick)

    def _drop_silent(self, now: float) -> None:
        for connection in [one for one in self._connections if now - one.heard_at > SILENCE_LIMIT]:
            connection.transport.abortConnection()

    def _forget_old(self, now: float) -> None:
        for address in [address for address, seen in self._seen.items() if now - seen > FORGET_AFTER]:
            del self._seen[address]
        for vm in [vm for vm, heard in self._demands.items() if now - heard.at > FORGET_AFTER]:
            del self._demands[vm]
        self.core.vms = 1 + len(self._seen)

    def _dial(self, now: float) -> None:
        wanted = self._list_wanted(now)
        for address in wanted[: DIALLED - len(self._dialling)]:
            self._dialling[address] = None
            host, _, port = address.rpartition(":")
            self.core.clock.reactor.connectTCP(host, int(port), _Dial(self, address), timeout=CONNECT_TIMEOUT)

    def _list_wanted(self, now: float) -> list[str]:
        known = {*self._seen, *self._seeds} - {self.address} - set(self._dialling)
        free = [address for address in known if now >= self._passed_over.get(address, 0.0)]
        return sorted(free, key=lambda address: hash_fraction(f"{self.address}/{address}"))

    def tell_soon(self) -> None:
        """Tell all peers what this VM has, as it has just changed."""
        if not self._telling and not self._stopped:
            self._telling = True
            self.core.clock.call_later(0, self._tell_now)

    def _tell_now(self) -> None:
        self._telling = False
        beat = self._make_beat()
        for connection in list(self._connections):
            connection.tell(beat)

    # --- what is known of the others ---------------------------------------------------------------------------------

    def find_rank(self) -> int:
        """Return how many known VMs go before this one where only some are to do a thing."""
        return sum(hash_fraction(address) > hash_fraction(self.address) for address in self._seen)

    def find_pressure(self, service: Service) -> Pressure:
        """Return what all VMs ask of a service, worked out from those that were heard of late."""
        now = self.core.clock.now()
        heard = [one.demands for one in self._demands.values() if now - one.at < SILENCE_LIMIT]
        known = [self.core.list_demands(), *heard]
        scale = max(1.0, self.core.vms / len(known))
        asked = [demands.get(service.name, (0.0, 0.0)) for demands in known]
        memory_seconds = self.core.find_demand(service.name).count_memory_seconds()
        return Pressure(
            scale * sum(prompts for prompts, _ in asked), scale * sum(waits for _, waits in asked), memory_seconds
        )

    # --- messages ----------------------------------------------------------------------------------------------------

    def take(self, connection: PeerConnection, message: Message) -> None:
        """Take in one message."""
        match message:
            case Hello():
                self._take_hello(connection, message)
            case Beat():
                self._take_beat(connection, message)
            case AskConfiguration():
                if self.core.document is not None:
                    connection.tell(Configuration(self.core.document.raw))
            case Configuration():
                table = self._documents.read_configuration(message.raw)
                if table is not None:
                    self.core.take_document(Document(message.raw, table), f"peer {connection.vm}")
            case AskListing():
                if self.core.listing.complete:
                    entries = self.core.listing.list_since(message.after)
                    connection.tell(ListingPart(message.after, self.core.listing.newest, entries))
            case ListingPart():
                self._take_listing(connection, message)

    def _take_hello(self, connection: PeerConnection, message: Hello) -> None:
        now = self.core.clock.now()
        if not connection.vm:
            self.core.journal.write("PEER", "met", vm=message.vm, address=message.address)
        connection.vm = message.vm
        self._seen[message.address] = now
        for address in message.known[:MOST_KNOWN]:
            if address != self.address:
                self._seen.setdefault(address, now)

    def _take_beat(self, connection: PeerConnection, message: Beat) -> None:
        if connection.vm:
            self._demands[connection.vm] = _Heard(message.demands, self.core.clock.now())
        now = self.core.clock.now()
        for upstream, share in message.faulty.items():
            self.core.standings.get(UpstreamId(upstream)).note_hint(share, now)
        own = self._make_beat()
        if self._lacks("configuration", own.version, message.version):
            connection.tell(AskConfiguration())
        if self._lacks("listing", own.revision, message.revision):
            connection.tell(AskListing(own.revision))

    def _lacks(self, what: str, own: int, theirs: int) -> bool:
        """Tell whether to ask for something newer that the store should have told by now."""
        if theirs <= own:
            return False
        now = self.core.clock.now()
        lacking = self._lacking.get(what)
        if lacking is None or lacking.own != own:
            self._lacking[what] = _Lack(own, now)
            return own == 0
        if now - lacking.since < PATIENCE:
            return False
        self._lacking[what] = _Lack(own, now)
        return True

    def _take_listing(self, connection: PeerConnection, message: ListingPart) -> None:
        news = ListingNews(message.entries, message.revision)
        self.core.take_listing(news, f"peer {connection.vm}", whole=message.after == 0)

    def _make_hello(self) -> Hello:
        return Hello(self._vm, self.address, sorted(self._seen)[:MOST_KNOWN])

    def _make_beat(self) -> Beat:
        core = self.core
        version = 0 if core.table is None else core.table.version
        revision = core.listing.newest if core.listing.complete else 0
        faulty = core.standings.list_faulty(LEAST_FAULTS, core.clock.now())
        return Beat(version, revision, core.list_demands(), faulty)

"""Talk with a few other VMs, so that those which do not read from the store learn what the others know.

Each VM keeps connections to a bounded number of peers, tells them twice a second which configuration and which listing
it has, and asks for what it lacks. What is told was read from the store by somebody, and only ever replaces something
older.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from beamhatch.relay.api import Document, ListingUpdate
from beamhatch.relay.engines.fleet_demand import FleetDemand
from beamhatch.relay.fleet.far_words import SIGN_OF_LIFE
from beamhatch.relay.fleet.gossip_message import (
    MOST_MENTIONED,
    AskConfiguration,
    AskListing,
    Beat,
    Configuration,
    DepartureNews,
    Hello,
    LimitNews,
    ListingPart,
    Message,
    QuarantineNews,
    Usage,
    Work,
    pack_document,
    unpack_document,
)
from beamhatch.relay.fleet.peer_connection import Accept, Dial, PeerConnection, PeerTalk
from beamhatch.relay.fleet.peer_traffic import PeerTraffic
from beamhatch.relay.fleet.throttle import Throttle
from beamhatch.relay.mechanism import Mechanism
from beamhatch.relay.model import UpstreamId

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.relay.api import Documents
    from beamhatch.relay.choosing.pace import Reading
    from beamhatch.relay.core import Core
    from beamhatch.relay.engines.balancing import Pressure
    from beamhatch.relay.fleet.departure_talk import DepartureTalk
    from beamhatch.relay.fleet.membership import Membership, Mention
    from beamhatch.relay.limits.talk import LimitTalk
    from beamhatch.relay.model import Service
    from beamhatch.relay.workspaces.usage_talk import UsageTalk

BEAT_INTERVAL = 0.5
"""Seconds between two beats: a peer that misses three counts as silent."""

LEAST_TELL_GAP = 0.03
"""Seconds between two beats to all peers, however much changes."""

LEAST_WORK_GAP = 0.08
"""Seconds between two words on what engines have to read: less than one prompt takes."""

SILENCE_LIMIT = 1.8
"""Seconds without a beat after which a connection is taken as dead, and made anew."""

PATIENCE = 0.2
"""Seconds for which a VM that watches the store waits for it to tell what a peer has already."""

EARLY_DIALS = 0.15, 0.3
"""Seconds behind the start at which peers that refused are dialled again: VMs that start together listen by then."""

CONNECT_TIMEOUT = 0.5
"""Seconds for a connection to a peer: 100 round trips between halls."""

FIRST_HELLO_PAUSE = 0.5
"""Seconds between the first two words on who is known; each pause is twice the last."""

LONGEST_HELLO_PAUSE = 10.0
"""Seconds between two times that peers are told who is known; at the start it is told more often."""

SETTLE_TIME = 1.0
"""Seconds behind the start in which a VM does not yet know the others, and so watches nothing for them.

Without it, each VM of a fleet that starts takes itself for a watcher: 60 VMs that started anew made 535 calls to the
store in 3 s instead of 47 (counted on stand-ins).
"""

FAR_MENTIONED = 8
"""VMs that a peer in another hall is told of again each time, drawn at random, beside those that are new to it.

All VMs of a hall tell several peers each in other halls every 10 s: of 24 VMs in each of three halls, each is mentioned
to each other hall every 2 s, of which VMs need to hear every 60 s.
"""

LEAST_FAULTS = 0.2
"""Share of faults from which on peers are told of an upstream."""


@dataclass(frozen=True, slots=True)
class _Lack:
    """A peer has something newer than what this VM has."""

    own: int
    since: float


class Gossip(PeerTalk):
    """The connections to other VMs, and what is said on them."""

    def __init__(self, core: Core, documents: Documents, vm: str, membership: Membership) -> None:
        self.core = core
        self.clock = core.clock
        self.journal = core.journal
        self.membership = membership
        core.quarantine_gossip.list_connections = self.list_connections
        core.quarantine_gossip.hall = membership.own.hall
        core.quarantine_gossip.hands_on = self.adds_up
        self._documents = documents
        self._vm = vm
        self._traffic = PeerTraffic(core.tally, membership.own.hall, core.topology)
        self._connections: set[PeerConnection] = set()
        self._dialled: dict[str, PeerConnection | None] = {}
        """Addresses that this VM dialled, with the connection once it is up."""
        self._fleet = FleetDemand()
        self._adds_up = False
        """Whether this VM adds up what its hall tells, as of the last regular beat: it takes 0.1 ms to find out."""
        self._share = 1.0
        """The part of all VMs that hear of each other and of this one; too dear to find out at each send."""
        self._hello_at = 0.0
        self._hello_pause = FIRST_HELLO_PAUSE
        self._lacking: dict[str, _Lack] = {}
        self._packed: tuple[int, Configuration] | None = None
        """The configuration as it is handed on, with its version."""
        self._beats = Throttle(core.clock, LEAST_TELL_GAP, self._tell_all)
        self._work = Throttle(core.clock, LEAST_WORK_GAP, self._tell_work)
        self._told_work: dict[str, int] = {}
        self._port: Any = None
        self._stopped = False
        self.newest_version = 0
        """The newest configuration that any peer told of."""
        self.is_turned_away: Callable[[], bool] = lambda: False
        """Tells whether the store does not answer this VM."""
        self.usage: UsageTalk | None = None
        """What is said of quotas; None where nothing is."""
        self.departures: DepartureTalk | None = None
        """What is said of upstreams that leave; None where nothing is."""
        self.limits: LimitTalk | None = None
        """What is said of limits that upstreams name; None where nothing is."""

    def start(self) -> None:
        """Listen, and begin to dial."""
        host, _, port = self.membership.own.address.rpartition(":")
        self._port = self.clock.reactor.listenTCP(int(port), Accept(self), interface=host)
        self._tick()
        for seconds in EARLY_DIALS:
            self.clock.call_later(seconds, self._dial_early)

    def _dial_early(self) -> None:
        if not self._stopped:
            self._dial(self.clock.now())

    def stop(self) -> None:
        """Close all connections."""
        self._stopped = True
        if self._port is not None:
            self._port.stopListening()
        for connection in list(self._connections):
            connection.transport.abortConnection()

    def watches(self) -> bool:
        """Tell whether this VM is to watch the store: for its hall, or because it hears from nobody."""
        if self.membership.has_others and self.clock.now() < self.core.started_at + SETTLE_TIME:
            return False
        return self.membership.is_watcher() or not self.hears_peers()

    def adds_up(self) -> bool:
        """Tell whether this VM adds up what its hall tells, and hands on to others what is for all."""
        return self._adds_up

    def list_connections(self) -> list[PeerConnection]:
        """Return the connections to VMs that have said who they are."""
        return [connection for connection in self._connections if connection.vm]

    def hears_peers(self) -> bool:
        """Tell whether a connection to another VM is up, which tells this one what it has."""
        return any(connection.vm for connection in self._connections)

    # --- connections -------------------------------------------------------------------------------------------------

    def add(self, connection: PeerConnection) -> None:
        """Take in a connection that came up."""
        self._connections.add(connection)
        if connection.dialled is not None:
            self._dialled[connection.dialled] = connection
            connection.hall = self.membership.find_hall(connection.dialled)
            self.membership.note_reached(connection.dialled)
        if connection.dialled is None:
            connection.tell(Hello(self._vm, self.membership.own, []))  # who is known follows, once it said who it is
        else:
            self._tell_hello(connection)
        self._tell_beat(connection, self._make_beat())

    def remove(self, connection: PeerConnection) -> None:
        """Drop a connection that ended."""
        self._connections.discard(connection)
        if self.usage is not None:
            self.usage.forget(connection)
        if connection.dialled is not None:
            self._dialled.pop(connection.dialled, None)
        if connection.vm and not self._stopped:
            self.journal.write("PEER", "lost", vm=connection.vm, connections=len(self._connections))

    def note_sent(self, connection: PeerConnection, message: Message, size: int) -> None:
        """Count a message that was sent."""
        self._traffic.note_sent(message, size, connection.hall)

    def note_unreached(self, address: str) -> None:
        """Note that an address did not answer."""
        self._dialled.pop(address, None)
        self.membership.note_unreached(address, self.clock.now())

    def _tick(self) -> None:
        if self._stopped:
            return
        now = self.clock.now()
        self._drop_silent(now)
        self.membership.forget_old(now)
        self._fleet.forget_old(now)
        self.core.peer_backlog.forget_old(now)
        self.core.vm_count = self.membership.size
        self.core.recent_vm_count = self.membership.count_lately(now)
        self._dial(now)
        self._adds_up = self.membership.is_watcher()
        halls = {connection.hall for connection in self.list_connections()}
        self._share = self.membership.find_share(halls, now)
        self._say_hello(now)
        self._beats.note_done()
        self._tell_beats(regular=True)
        self.clock.call_later(BEAT_INTERVAL, self._tick)

    def _drop_silent(self, now: float) -> None:
        for connection in [one for one in self._connections if now - one.heard_at > SILENCE_LIMIT]:
            if connection.dialled is not None:
                self.membership.note_unreached(connection.dialled, now)
            connection.transport.abortConnection()

    def _dial(self, now: float) -> None:
        targets = self.membership.list_targets(now)
        for address in [*targets, *self.membership.list_retries(now)]:
            if address not in self._dialled:
                self._dialled[address] = None
                host, _, port = address.rpartition(":")
                self.clock.reactor.connectTCP(host, int(port), Dial(self, address), timeout=CONNECT_TIMEOUT)
        self._hang_up(targets)

    def _hang_up(self, targets: list[str]) -> None:
        """Close connections to addresses that are no longer wanted, once those that are wanted are up."""
        if any(self._dialled.get(address) is None for address in targets):
            return
        for address, connection in list(self._dialled.items()):
            if connection is not None and address not in targets:
                connection.transport.loseConnection()

    def _say_hello(self, now: float) -> None:
        if now - self._hello_at < self._hello_pause:
            return
        self._hello_at = now
        self._hello_pause = min(LONGEST_HELLO_PAUSE, 2 * self._hello_pause)
        for connection in list(self._connections):
            self._tell_hello(connection)

    def _tell_hello(self, connection: PeerConnection) -> None:
        """Tell a peer who is known; one in another hall, mainly who is new to it."""
        known = self._list_news_for(connection) if self._is_far(connection) else self._list_known()
        connection.tell(Hello(self._vm, self.membership.own, known))

    def _list_known(self) -> list[Mention]:
        return self.membership.list_mentions(MOST_MENTIONED, self.clock.now())

    def _list_news_for(self, connection: PeerConnection) -> list[Mention]:
        again = FAR_MENTIONED if self._hello_pause == LONGEST_HELLO_PAUSE else 0
        news = self.membership.list_news(connection.told.mentioned, MOST_MENTIONED, again, self.clock.now())
        connection.told.note_mentioned(mention.member for mention in news)
        return news

    def _is_far(self, connection: PeerConnection) -> bool:
        """Tell whether a peer is in another hall, or has not said yet where it is."""
        return connection.hall != self.membership.own.hall

    def tell_soon(self) -> None:
        """Tell all peers what this VM has, as it has just changed."""
        self._beats.ask()

    def tell_work_soon(self) -> None:
        """Tell all peers what engines have still to read for this VM, as it has changed."""
        self._work.ask()

    def _tell_work(self) -> None:
        reading = self.core.stats.list_reading()
        if reading == self._told_work or self._stopped:
            return
        self._told_work = reading
        for connection in list(self._connections):
            if not self._is_far(connection):
                connection.tell(Work(reading))
                continue
            news = connection.told.pick_reading(self._list_reading_in(connection.hall, reading))
            if news is not None:
                connection.tell(Work(news))

    def _tell_all(self) -> None:
        if not self._stopped:
            self._beats.note_done()
            self._tell_beats(regular=False)

    def _tell_beats(self, *, regular: bool) -> None:
        """Tell all peers what this VM has; those in other halls, only what is news to them.

        :param regular: whether they are given a sign of life where there are no news
        """
        beat = self._make_beat(self.core.prefill_models.take_untold())
        for connection in list(self._connections):
            self._tell_beat(connection, beat, regular=regular)

    def _tell_beat(self, connection: PeerConnection, beat: Beat, *, regular: bool = True) -> None:
        if not self._is_far(connection):
            connection.tell(beat)
            return
        here = msgspec.structs.replace(beat, reading=self._list_reading_in(connection.hall, beat.reading or {}))
        news = connection.told.pick_news(here, self.clock.now())
        if not connection.hall:  # it may be of this hall
            news = msgspec.structs.replace(news, turned_away=beat.turned_away)
        if regular or news != SIGN_OF_LIFE:
            connection.tell(news)

    def _list_reading_in(self, hall: str, reading: dict[str, int]) -> dict[str, int]:
        """Return what the engines of a hall have to read for this VM: peers there mostly send to these."""
        return {name: tokens for name, tokens in reading.items() if self._find_hall_of(name) == hall}

    def _find_hall_of(self, upstream: str) -> str:
        found = self.core.listing.find(UpstreamId(upstream))
        return "" if found is None else found.hall

    # --- what is known of the others ---------------------------------------------------------------------------------

    def find_pressure(self, service: Service) -> Pressure:
        """Return what all VMs ask of a service, worked out from those that were heard of late."""
        assert service.engine is not None
        own = self.core.make_demand_report(service.name)
        now = self.clock.now()
        return self._fleet.find_pressure(service.name, service.engine, own, self.membership.size, now)

    def find_share(self) -> float:
        """Return the part of all VMs that hear of each other and of this one, as of the last regular beat."""
        return self._share

    # --- messages ----------------------------------------------------------------------------------------------------

    def take(self, connection: PeerConnection, message: Message) -> None:
        """Take in one message.

        :raises MessageError: where it can't be read
        """
        match message:
            case Hello():
                self._take_hello(connection, message)
            case Beat():
                self._take_beat(connection, message)
            case Work():
                connection.heard.reading = message.reading
                self._take_work(connection)
            case Usage():
                if self.usage is not None:
                    self.usage.take(connection, message)
            case _:
                self._take_upstream_news(connection, message)

    def _take_upstream_news(self, connection: PeerConnection, message: Message) -> None:
        """Take in what is said of single upstreams, and of requests that end them."""
        match message:
            case QuarantineNews():
                self.core.quarantine_gossip.take(connection, message)
            case DepartureNews():
                if self.departures is not None:
                    self.departures.take(connection, message)
            case LimitNews():
                if self.limits is not None:
                    self.limits.take(connection, message)
            case _:
                self._take_document(connection, message)

    def _take_document(self, connection: PeerConnection, message: Message) -> None:
        """Take in what is said of the configuration and the listing themselves."""
        match message:
            case AskConfiguration():
                self._hand_configuration_on(connection)
            case Configuration():
                raw = unpack_document(message)
                table = self._documents.read_configuration(raw)
                if table is not None:
                    self.core.apply_document(Document(raw, table), f"peer {connection.vm}")
            case AskListing():
                if self.core.listing.complete:
                    entries = self.core.listing.list_since(message.after, self.clock.now())
                    connection.tell(ListingPart(message.after, self.core.listing.newest, entries))
            case ListingPart():
                news = ListingUpdate(message.entries, message.revision)
                self.core.apply_listing(news, f"peer {connection.vm}", is_snapshot=message.after == 0)

    def _hand_configuration_on(self, connection: PeerConnection) -> None:
        document = self.core.document
        if document is None:
            return
        if self._packed is None or self._packed[0] != document.table.version:
            self._packed = (document.table.version, pack_document(document.raw))
        connection.tell(self._packed[1])

    def _take_hello(self, connection: PeerConnection, message: Hello) -> None:
        now = self.clock.now()
        is_new = not connection.vm
        if is_new:
            self.journal.write("PEER", "met", vm=message.vm, address=message.member.address)
        connection.vm = message.vm
        connection.hall = message.member.hall
        connection.address = message.member.address
        connection.told.note_mentioned([message.member, *(mention.member for mention in message.known)])
        self.membership.take(message.member, 0.0, now)
        self.membership.note_reached(message.member.address)
        for mention in message.known[:MOST_MENTIONED]:
            self.membership.take(mention.member, mention.age, now)
        self.core.vm_count = self.membership.size
        if is_new:
            self.core.quarantine_gossip.tell_all(connection)
            if self.departures is not None:
                self.departures.tell_all(connection)
            if self.limits is not None:
                self.limits.tell_all(connection)
        if is_new and connection.dialled is None:
            self._tell_hello(connection)

    def _take_beat(self, connection: PeerConnection, message: Beat) -> None:
        now = self.clock.now()
        heard = connection.heard
        heard.take(message)
        if connection.vm:
            self._fleet.take(connection.vm, heard.demands, now)
            self.core.apply_prefill_models(heard.demands)
            for reading in message.readings:
                self.core.prefill_models.note_told(reading)
        if connection.hall == self.membership.own.hall:
            self.membership.note_watch(connection.address, turned_away=message.turned_away)
        self._take_work(connection)
        faulty = {} if Mechanism.PEER_FAILURES in self.core.disabled else message.faulty
        for upstream, share in faulty.items():
            self.core.stats.get(UpstreamId(upstream)).note_hint(share, now)
        self._take_changes(connection, message)
        if message.evacuations is not None:
            if message.evacuations_as_of < self.core.eligibility.evacuations.as_of:
                connection.told.forget_evacuations()  # a peer that is behind may believe one that has ended
            source = f"peer {connection.vm}"
            self.core.apply_evacuations(message.evacuations, source, as_of=message.evacuations_as_of, is_snapshot=True)
        self.newest_version = max(self.newest_version, heard.version)
        if self._lacks("configuration", self.core.version, heard.version):
            connection.tell(AskConfiguration())
        if self._lacks("listing", self.core.revision, heard.revision):
            connection.tell(AskListing(self.core.revision))

    def _take_work(self, connection: PeerConnection) -> None:
        if connection.vm and Mechanism.PEER_BACKLOG not in self.core.disabled:
            self.core.peer_backlog.take(connection.vm, connection.heard.reading, self.clock.now())

    def _take_changes(self, connection: PeerConnection, message: Beat) -> None:
        for upstream, news in message.changing.items():
            self.core.apply_phase_change(UpstreamId(upstream), news, f"peer {connection.vm}")

    def _lacks(self, what: str, own: int, theirs: int) -> bool:
        """Tell whether to ask for something newer: at once, unless the store should tell it at any moment."""
        if theirs <= own:
            return False
        now = self.clock.now()
        lacking = self._lacking.get(what)
        if lacking is None or lacking.own != own:
            self._lacking[what] = _Lack(own, now)
            return own == 0 or not self.membership.is_watcher()
        if now - lacking.since < PATIENCE:
            return False
        self._lacking[what] = _Lack(own, now)
        return True

    def _make_beat(self, readings: Sequence[Reading] = ()) -> Beat:
        core = self.core
        now = core.clock.now()
        evacuations = core.eligibility.evacuations
        return Beat(
            core.version,
            core.revision,
            core.make_demand_reports(),
            core.stats.list_faulty(LEAST_FAULTS, now),
            core.phase_changes.list_news(now),
            core.stats.list_reading(),
            list(readings),
            evacuations.list_news() if evacuations.complete and not evacuations.lacks_room else None,
            evacuations.as_of,
            self.is_turned_away(),
            self._adds_up,
        )

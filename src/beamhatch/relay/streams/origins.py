"""Keep the versions that began this VM's streams, tell some peers, and find out what began a stream of another VM.

Peers are told only while a service has several versions or the store can't be reached, so a service with one version
costs no messages. When a second version appears, or the store is lost, the streams that are open already are told as
well. A stream that no peer has a record of is sought among those that VMs have recorded in the store.
"""

from __future__ import annotations

import itertools
import secrets
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import DatagramProtocol

from beamhatch.relay.fleet.membership import get_host
from beamhatch.relay.model import ServiceName, SoftwareVersion
from beamhatch.relay.streams.api import OpenStreams
from beamhatch.relay.streams.holders import HolderChooser
from beamhatch.relay.streams.lookup import Begun, Knowledge, Lookup, OnlyVersion, Origin, UnknownVersion
from beamhatch.relay.streams.message import (
    MAX_DATAGRAM_BYTES,
    MAX_VERSIONS,
    BegunStream,
    Datagram,
    DatagramError,
    OriginAnswer,
    OriginQuery,
    RecordPut,
    decode,
    encode,
)
from beamhatch.relay.streams.records import (
    MAX_LIFETIME_S,
    STREAM_KEY_BYTES,
    StreamKey,
    StreamRecord,
    StreamRecords,
    compute_stream_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.fleet.membership import Member, Membership
    from beamhatch.relay.model import Address
    from beamhatch.relay.streams.stored_streams import StoredStreams
    from beamhatch.relay.streams.versions import VersionHistory

LOOKUP_ROUNDS = 5
"""Number of times that VMs are asked which have not answered, since datagrams may be lost."""

LOOKUP_INTERVAL_S = 0.06
"""Seconds for which answers are awaited in each round; callers notice if all take more than 0.3 s."""

JOIN_TIME_S = 2.0
"""Seconds after its start in which a VM may not know all of its peers."""

MAX_KNOWLEDGE_WAIT_S = 15.0
"""Upper bound of the time that callers are told until a VM knows all versions."""

STORE_WAIT_S = 0.6
"""Seconds for which a lookup waits for the store; callers are then told to come back."""

STORE_RETRY_S = 1.0
"""Seconds after which a caller may come back whose stream was not found as the store did not answer."""

MAX_STORED_STREAMS = 16_384
"""Open streams of one VM that are recorded in the store, the newest ones."""

MEMBERS_MAX_AGE_S = 0.5
"""Seconds for which the placement of members is reused."""

BACKLOG_BATCH = 32
"""Open streams that are told at once when a second version appears."""

BACKLOG_INTERVAL_S = 0.01
"""Seconds between two batches of them."""

RECORD_OVERHEAD_BYTES = 28
"""Bytes of a record in a datagram beside its names, with a margin."""

SEND_ERRORS = (OSError, ValueError)
"""Errors of a datagram that the system does not send, which counts as lost."""


class PendingLookup:
    """A lookup that waits for answers of peers."""

    def __init__(
        self, key: StreamKey, service: ServiceName, lookup: Lookup, on_origin: Callable[[Origin], None]
    ) -> None:
        self.key = key
        self.service = service
        self.lookup = lookup
        self.on_origin = on_origin
        self.timer: Any = None
        self.awaits_confirmation = False
        """Whether one version is known, and the store is asked whether there is another."""
        self.store_failed = False
        """Whether the store did not answer that."""

    def cancel(self) -> None:
        """Wait no longer; answers that still arrive are ignored."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None


class StreamOrigins(DatagramProtocol):
    """The versions that began streams, as one VM knows them."""

    def __init__(self, clock: Clock, journal: Journal, tally: Tally, versions: VersionHistory) -> None:
        self._clock = clock
        self._journal = journal
        self._tally = tally
        self._versions = versions
        self._records = StreamRecords()
        self._membership: Membership | None = None
        self._started_at = clock.now()
        self._holders: HolderChooser | None = None
        self._placed_at = float("-inf")
        self.stored: StoredStreams | None = None
        """Streams recorded in the store; None if they are not read."""
        self.read_versions: Callable[[Callable[[], None]], bool] = lambda on_done: False
        """Reads the recorded versions and calls its argument; returns False if that would tell no more."""
        self.confirm_versions: Callable[[Callable[[bool], None]], None] = lambda on_done: on_done(False)
        """Reads the recorded versions anew, and calls its argument with whether the store answered."""
        self.is_store_unreachable: Callable[[], bool] = lambda: False
        """Returns whether this VM, or one of its hall, does not reach the store."""
        self.is_isolated: Callable[[], bool] = lambda: False
        """Returns whether this VM reaches neither a peer nor the store."""
        self.has_ended: Callable[[str], bool] = lambda host: False
        """Returns whether the VM at a host has ended that knew of no more upstreams than this one."""
        self._had_lost_store = False
        """Whether the store was unreachable as the last stream began."""
        self._pending: dict[int, PendingLookup] = {}
        self._numbers = itertools.count(secrets.randbits(32))
        self._port: Any = None
        versions.on_several = self._send_backlog
        tally.gauges["stream_records"] = lambda: float(len(self._records))

    def start(self, membership: Membership, address: Address) -> None:
        """Listen for datagrams of peers."""
        self._membership = membership
        self._started_at = self._clock.now()
        self._port = self._clock.reactor.listenUDP(address.port, self, interface=address.host)

    def stop(self) -> None:
        """Close the socket."""
        port, self._port = self._port, None
        if port is not None:
            port.stopListening()

    # --- streams of this VM ------------------------------------------------------------------------------------------

    def record_begun(self, request_id: str, service: ServiceName, version: SoftwareVersion, lifetime_s: float) -> None:
        """Record which version began a stream, before its first event is sent to the caller.

        :param request_id: id of the request that brought the first event to the caller
        :param lifetime_s: seconds for which the caller may resume the stream
        """
        now = self._clock.now()
        key = compute_stream_key(request_id)
        record = StreamRecord(service, version, now + min(lifetime_s, MAX_LIFETIME_S), is_own=True)
        self._records.put(key, record, now)
        lost_store = self.is_store_unreachable()
        if lost_store and not self._had_lost_store:
            self._send_in_batches(self._records.list_all_own(now))
        elif lost_store or self._versions.has_several(service, now):
            self._send_records([(key, record)])
        self._had_lost_store = lost_store

    def discard(self, request_id: str) -> None:
        """Forget a stream that its caller has received completely."""
        self._records.discard(compute_stream_key(request_id))

    def list_open_streams(self) -> list[OpenStreams]:
        """Return the open streams that began at this VM, of services with several versions."""
        now = self._clock.now()
        services = self._versions.list_with_several(now)
        if not services:
            return []
        groups: dict[Begun, list[tuple[StreamKey, StreamRecord]]] = {}
        for key, record in self._records.list_all_own(now)[-MAX_STORED_STREAMS:]:
            if record.service in services:
                groups.setdefault(Begun(record.service, record.version), []).append((key, record))
        return [
            OpenStreams(
                origin.service,
                origin.version,
                [key for key, _ in found],
                max(record.expires_at for _, record in found) - now,
            )
            for origin, found in groups.items()
        ]

    def _send_backlog(self, service: ServiceName) -> None:
        """Tell peers of the streams that began while only one version of the service was known."""
        self._send_in_batches(self._records.list_own(service, self._clock.now()))

    def _send_in_batches(self, records: Sequence[tuple[StreamKey, StreamRecord]]) -> None:
        for number, start in enumerate(range(0, len(records), BACKLOG_BATCH)):
            batch = records[start : start + BACKLOG_BATCH]
            self._clock.call_later(number * BACKLOG_INTERVAL_S, self._send_records, batch)

    def _send_records(self, records: Iterable[tuple[StreamKey, StreamRecord]]) -> None:
        """Send records to their holders, in as few datagrams to each as possible."""
        now = self._clock.now()
        chooser = self._place_members(now)
        if chooser is None:
            return
        by_holder: dict[str, tuple[Member, list[BegunStream]]] = {}
        for key, one in records:
            stream = BegunStream(key, one.service, one.version, round(one.expires_at - now, 1))
            for member in chooser.list_holders(key):
                by_holder.setdefault(member.address, (member, []))[1].append(stream)
        for member, streams in by_holder.values():
            self._send_streams(member, streams, now)

    def _send_streams(self, member: Member, streams: list[BegunStream], now: float) -> None:
        part: list[BegunStream] = []
        size = 0
        for stream in streams:
            stream_size = RECORD_OVERHEAD_BYTES + len(stream.service.encode()) + len(stream.version.encode())
            if part and size + stream_size > MAX_DATAGRAM_BYTES:
                self._send_put(member, part, now)
                part, size = [], 0
            part.append(stream)
            size += stream_size
        self._send_put(member, part, now)

    def _send_put(self, member: Member, streams: list[BegunStream], now: float) -> None:
        lists_several = any(self._versions.lists_several(ServiceName(one.service), now) for one in streams)
        self._send(RecordPut(streams, lists_several), _get_datagram_address(member))

    # --- streams that callers resume --------------------------------------------------------------------------------

    def look_up(
        self, request_id: str | None, service: ServiceName, on_origin: Callable[[Origin], None]
    ) -> Origin | PendingLookup:
        """Return which version began a stream, or a lookup that calls ``on_origin`` once it is known.

        :param request_id: id of the request that brought the first event to the caller, None if the caller names none
        :param service: service that is to continue the stream
        """
        now = self._clock.now()
        key = StreamKey(secrets.token_bytes(STREAM_KEY_BYTES))
        asked: list[Member] = []
        if request_id is not None:
            key = compute_stream_key(request_id)
            known = self._find_record(key, now)
            if known is not None:
                return known
            chooser = self._place_members(now)
            asked = [] if chooser is None else chooser.list_asked(key)
        pending = PendingLookup(key, service, self._make_lookup(service, asked, now), on_origin)
        number = next(self._numbers)
        if asked:
            self._pending[number] = pending
            self._ask(number, service, [_get_datagram_address(one) for one in asked], LOOKUP_ROUNDS)
            return pending
        origin = self._ask_store(number, pending, pending.lookup.conclude())
        return pending if origin is None else origin

    def _make_lookup(self, service: ServiceName, asked: Sequence[Member], now: float) -> Lookup:
        """Return the lookup of a stream, given the VMs that are asked."""
        halls: dict[str, set[str]] = {}
        if self._membership is not None:
            halls = {hall: set() for hall in self._membership.other_halls}
            for one in asked:
                if one.hall != self._membership.own.hall:
                    halls.setdefault(one.hall, set()).add(_get_datagram_host(one))
        return Lookup(
            self._get_knowledge(service, now),
            {_get_datagram_host(one) for one in asked},
            self._compute_join_wait(now),
            self._compute_knowledge_wait(now),
            self.is_isolated(),
            halls,
        )

    def _find_record(self, key: StreamKey, now: float) -> Begun | None:
        """Return what began a stream, by this VM's records and those that it has read from the store."""
        record = self._records.get(key, now)
        if record is not None:
            return Begun(record.service, record.version)
        return None if self.stored is None else self.stored.find(key)

    def _ask(self, number: int, service: ServiceName, addresses: list[tuple[str, int]], rounds_left: int) -> None:
        """Ask the VMs that have not answered, and again after some time, until no round is left."""
        pending = self._pending[number]
        if not rounds_left:
            self._finish(number, pending.lookup.conclude())
            return
        query = OriginQuery(number, pending.key, service)
        for address in addresses:
            if address[0] in pending.lookup.unanswered:
                self._send(query, address)
        pending.timer = self._clock.call_later(
            LOOKUP_INTERVAL_S, self._ask, number, service, addresses, rounds_left - 1
        )

    def _finish(self, number: int, origin: Origin) -> None:
        """End the questions to peers, and tell the origin unless the store may tell more."""
        pending = self._pending.pop(number)
        pending.cancel()
        found = self._ask_store(number, pending, origin)
        if found is not None:
            pending.on_origin(found)

    def _ask_store(self, number: int, pending: PendingLookup, origin: Origin) -> Origin | None:
        """Return the origin, or None if it is told once the store has been read."""
        if isinstance(origin, OnlyVersion):
            return self._confirm(number, pending, origin)
        if not isinstance(origin, UnknownVersion):
            return origin
        if not pending.lookup.known.is_complete and self.read_versions(lambda: self._handle_versions_read(number)):
            self._await_store(number, pending, origin)
            return None
        return self._read_streams(number, pending, origin)

    def _confirm(self, number: int, pending: PendingLookup, origin: OnlyVersion) -> Origin | None:
        """Return the origin, or None if it is told once the store has been read.

        Streams begin at recorded versions only, so that the record tells whether there is another one than those that
        the VMs know. Without the store, no VM knows of a version that none of the others has heard of, unless some
        were cut off together.
        """
        pending.cancel()
        self._pending[number] = pending
        pending.awaits_confirmation = True
        pending.timer = self._clock.call_later(STORE_WAIT_S, self._tell_unconfirmed, number)
        self.confirm_versions(lambda succeeded: self._handle_confirmed(number, succeeded=succeeded))
        return None

    def _handle_confirmed(self, number: int, *, succeeded: bool) -> None:
        """Conclude a lookup with the versions that were read, or with the answers of all halls."""
        pending = self._pending.get(number)
        if pending is None:
            return
        if succeeded:
            pending.awaits_confirmation = False
            self._handle_versions_read(number)
            return
        pending.store_failed = True
        if not self._lacks_hall(pending.lookup):
            self._tell_unconfirmed(number)

    def _lacks_hall(self, lookup: Lookup) -> bool:
        """Return whether another hall may know of a version that neither this VM nor those that answered know of.

        A hall whose VMs ended while they were in touch with this one does not.
        """
        return any(not vms or not all(map(self.has_ended, vms)) for vms in lookup.silent_halls.values())

    def _tell_unconfirmed(self, number: int) -> None:
        """Tell the origin by the answers of the VMs alone."""
        pending = self._pending.get(number)
        if pending is None:
            return
        origin = pending.lookup.conclude()
        if isinstance(origin, OnlyVersion) and self._lacks_hall(pending.lookup):
            origin = UnknownVersion(len(pending.lookup.unanswered))
        if isinstance(origin, UnknownVersion):
            origin = replace(origin, wait_s=max(origin.wait_s, STORE_RETRY_S))
        self._tell(number, origin)

    def _read_streams(self, number: int, pending: PendingLookup, origin: UnknownVersion) -> Origin | None:
        """Return the origin, or None if it is told once the recorded streams have been read."""
        if not pending.lookup.known.has_several or self.stored is None:
            return origin
        wait_s = self.stored.compute_wait_s()
        if wait_s:
            return replace(origin, wait_s=max(origin.wait_s, wait_s))
        late = self._await_store(number, pending, origin)
        self.stored.read(lambda succeeded: self._tell(number, origin if succeeded else late))
        return None

    def _await_store(self, number: int, pending: PendingLookup, origin: UnknownVersion) -> UnknownVersion:
        """Tell the caller to come back unless the store answers soon; return that answer."""
        late = replace(origin, wait_s=max(origin.wait_s, STORE_RETRY_S))
        pending.cancel()
        self._pending[number] = pending
        pending.timer = self._clock.call_later(STORE_WAIT_S, self._tell, number, late)
        return late

    def _handle_versions_read(self, number: int) -> None:
        """Conclude a lookup anew with the versions that were read."""
        pending = self._pending.get(number)
        if pending is None:
            return
        now = self._clock.now()
        pending.lookup.add_knowledge(self._get_knowledge(pending.service, now))
        origin = pending.lookup.conclude()
        found = self._read_streams(number, pending, origin) if isinstance(origin, UnknownVersion) else origin
        if found is not None:
            self._tell(number, found)

    def _tell(self, number: int, origin: Origin) -> None:
        """Tell what was found, unless the caller has left or was told before."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        pending.cancel()
        pending.on_origin(self._find_record(pending.key, self._clock.now()) or origin)

    def cancel(self, pending: PendingLookup) -> None:
        """End a lookup whose caller has left."""
        pending.cancel()
        self._pending = {number: one for number, one in self._pending.items() if one is not pending}

    # --- datagrams ---------------------------------------------------------------------------------------------------

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram of a peer; one that can't be read is counted."""
        try:
            message = decode(datagram)
        except DatagramError:
            self._tally.count("stream_datagrams_unreadable_total")
            return
        match message:
            case RecordPut():
                self._handle_put(message)
            case OriginQuery():
                self._send(self._make_answer(message), addr)
            case OriginAnswer():
                self._handle_answer(message, addr[0])

    def _handle_put(self, message: RecordPut) -> None:
        now = self._clock.now()
        for stream in message.streams:
            service = ServiceName(stream.service)
            lifetime_s = min(max(0.0, stream.lifetime_s), MAX_LIFETIME_S)
            record = StreamRecord(service, SoftwareVersion(stream.version), now + lifetime_s)
            self._records.put(StreamKey(stream.key[:STREAM_KEY_BYTES]), record, now)
            if message.lists_several:
                self._versions.record_reported(service, now)

    def _make_answer(self, query: OriginQuery) -> OriginAnswer:
        now = self._clock.now()
        known = self._get_knowledge(ServiceName(query.service), now)
        versions: list[str] = [*sorted(known.versions)[:MAX_VERSIONS]]
        found = self._find_record(StreamKey(query.key), now)
        service, version = (None, None) if found is None else (found.service, found.version)
        return OriginAnswer(query.number, service, version, versions, known.has_several, known.is_complete)

    def _handle_answer(self, message: OriginAnswer, host: str) -> None:
        pending = self._pending.get(message.number)
        if pending is None or host not in pending.lookup.unanswered:
            return
        record = None
        if message.service is not None and message.version is not None:
            record = Begun(ServiceName(message.service), SoftwareVersion(message.version))
        versions = {SoftwareVersion(one) for one in message.versions}
        knowledge = Knowledge(versions, message.has_several, message.is_complete)
        origin = pending.lookup.add_answer(host, record, knowledge)
        if not pending.awaits_confirmation:
            if origin is not None:
                self._finish(message.number, origin)
        elif isinstance(origin, Begun):
            self._tell(message.number, origin)
        elif pending.store_failed and not self._lacks_hall(pending.lookup):
            self._tell_unconfirmed(message.number)

    def _send(self, message: Datagram, address: tuple[str, int]) -> None:
        if self._port is None:
            return
        self._tally.count("stream_datagrams_sent_total", type(message).__name__)
        try:
            self.transport.write(encode(message), address)
        except SEND_ERRORS as problem:
            self._tally.count("stream_datagrams_lost_total")
            self._journal.write("STREAM", "datagram not sent", to=address[0], detail=str(problem))

    def _get_knowledge(self, service: ServiceName, now: float) -> Knowledge:
        return Knowledge(
            self._versions.list_recent(service, now),
            self._versions.has_several(service, now),
            self._versions.is_complete(now),
        )

    def _compute_knowledge_wait(self, now: float) -> float:
        """Return the seconds until this VM knows all versions at the latest, 0 if it does.

        A VM that has just started is expected to read them from the store soon.
        """
        if self._versions.is_complete(now):
            return 0.0
        join_wait_s = self._started_at + JOIN_TIME_S - now
        return join_wait_s if join_wait_s > 0 else min(self._versions.complete_at - now, MAX_KNOWLEDGE_WAIT_S)

    def _compute_join_wait(self, now: float) -> float:
        """Return the seconds until this VM has met its peers, 0 if it has, or has none."""
        if self._membership is None or not self._membership.may_have_peers:
            return 0.0
        return max(0.0, self._started_at + JOIN_TIME_S - now)

    def _place_members(self, now: float) -> HolderChooser | None:
        if self._membership is None or self._port is None:
            return None
        if self._holders is not None and now - self._placed_at < MEMBERS_MAX_AGE_S:
            return self._holders
        self._placed_at = now
        members = [one for one in self._membership.list_others() if one.record_port]
        if self._holders is None or members != self._holders.members:
            self._holders = HolderChooser(members, self._membership.own.hall)
        return self._holders


def _get_datagram_host(member: Member) -> str:
    return get_host(member.address)


def _get_datagram_address(member: Member) -> tuple[str, int]:
    return _get_datagram_host(member), member.record_port

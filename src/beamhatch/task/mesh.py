"""The task that owns the streams to the other entry VMs of the hall, and the membership.

Every VM dials every other one; what it asks goes out on the stream that it dialled, and the answers come back on it.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet import defer
from twisted.internet.protocol import ClientFactory, Factory

from beamhatch.decide import member
from beamhatch.decide.member import Health, Membership, MemberUpdate
from beamhatch.edge.peer.message import (
    PROTOCOL,
    Answer,
    Ask,
    Hello,
    MemberNote,
    Message,
    News,
    Probe,
    ProbeAnswer,
    ProbeThrough,
    decode_message,
    encode_message,
)
from beamhatch.edge.peer.stream import PeerStream
from beamhatch.ids import Boot, HallName, VmName
from beamhatch.observe.log import Part, get_log
from beamhatch.task.far import FarVms

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.observe.metrics import Metrics
    from beamhatch.settings.schema import Timing

TICK = 0.1
FAR_PROBE_PERIOD = 0.5
HELLO_LIMIT = 2.0
"""Seconds for the greeting of a new stream."""
REDIAL = 0.5
"""Seconds between two tries to reach a VM."""
MOST_OPEN_ASKS = 10_000


class Mesh:
    """Knows the other entry VMs and carries messages to and from them."""

    def __init__(
        self, clock: Clock, vm: VmName, boot: Boot, hall: HallName, seeds: list[str], timing: Timing, metrics: Metrics
    ) -> None:
        self.vm = vm
        self.hall = hall
        self.address = ""
        self.sequence: Callable[[], int] = lambda: 0
        self.take_sequence: Callable[[VmName, int], None] = lambda vm, sequence: None
        self._clock = clock
        self._timing = timing
        self.metrics = metrics
        self._seeds = seeds
        me = MemberUpdate(vm, boot, 0, Health.ALIVE, "")
        rng = random.Random(f"{vm}.{boot}")
        self.members = Membership(me, timing.probe_period, timing.probe_timeout, timing.suspicion, rng)
        self._out: dict[str, PeerStream] = {}
        """Streams that this VM dialled, by address, once greeted."""
        self.far = FarVms()
        self._dialling: set[str] = set()
        self._own_addresses: set[str] = set()
        self._streams: set[PeerStream] = set()
        self._asks: dict[int, tuple[defer.Deferred[Message | None], VmName]] = {}
        self._numbers = 0
        self._stopped = False
        self._handlers: dict[type[Any], Callable[[Hello, Any], Any]] = {}
        self._on_change: list[Callable[[MemberUpdate, MemberUpdate | None], None]] = []
        self._relayed: dict[int, tuple[PeerStream, int]] = {}
        self._log = get_log(Part.PEER)
        self._tls_context: Any = None
        self._source = ""

    def start(self, address: str, source: str, tls_context: Any = None) -> None:
        """Begin to dial and probe.

        :param address: where the others reach this VM
        :param source: IP address that this VM dials from
        """
        self.address = address
        self._source = source
        self._tls_context = tls_context
        self._own_addresses.add(address)
        me = self.members.own_update
        self.members.own_update = MemberUpdate(me.vm, me.boot, me.incarnation, me.health, address)
        self._tick()
        self._dial_all()
        self._probe_far()

    # --- for the other tasks ---------------------------------------------------------------------------------------

    def handle(self, kind: type[Any], handler: Callable[[Hello, Any], Any]) -> None:
        """Have a function called with each message of a kind; what it returns or promises answers an ask."""
        self._handlers[kind] = handler

    def call_on_change(self, function: Callable[[MemberUpdate, MemberUpdate | None], None]) -> None:
        """Have a function called when the health or the boot of a member changes."""
        self._on_change.append(function)

    def cast(self, vm: VmName, message: Message) -> bool:
        """Send a message that is not answered; return False where no stream is open."""
        stream = self._find_stream(vm) or self.far.find(vm)
        return stream is not None and stream.send(message)

    async def ask(self, vm: VmName, message: Message, limit: float) -> Any:
        """Send a message and return its answer, or None where none came in time."""
        if vm == self.vm:
            return await self._handle_own(message)
        stream = self._find_stream(vm) or self.far.find(vm)
        if stream is None or len(self._asks) >= MOST_OPEN_ASKS:
            return None
        self._numbers += 1
        number = self._numbers
        answer: defer.Deferred[Message | None] = defer.Deferred()
        self._asks[number] = (answer, vm)
        timer = self._clock.call_later(limit, self._settle, number, None)
        stream.send(Ask(number, encode_message(message)))
        try:
            return await answer
        finally:
            self._asks.pop(number, None)
            if timer.active():
                timer.cancel()

    def list_reachable(self) -> list[VmName]:
        """Return the other VMs of all halls that can be told something now."""
        near = [vm for vm in self.members.list_alive() if vm != self.vm]
        return [*near, *self.far.list_names()]

    def stop(self) -> None:
        """Stop dialling and probing, and close all streams."""
        self._stopped = True
        for stream in list(self._streams):
            stream.close()

    def leave(self) -> None:
        """Tell all that this VM leaves as planned."""
        news = News([_to_wire(self.members.leave())])
        for stream in list(self._streams):
            stream.send(news)

    def make_factory(self) -> Factory:
        """Return the factory of streams that peers dial."""
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _: self._make_stream(None)
        return factory

    # --- streams ---------------------------------------------------------------------------------------------------

    def _make_stream(self, dialled: str | None) -> PeerStream:
        def take_hello(stream: PeerStream, hello: Hello) -> None:
            self._greet(stream, hello, dialled)

        def lose(stream: PeerStream) -> None:
            self._lose(stream, dialled)

        stream = PeerStream(self._make_hello, take_hello, self._take, lose, self.metrics)
        self._streams.add(stream)
        self._clock.call_later(HELLO_LIMIT, self._expect_hello, stream)
        return stream

    def _expect_hello(self, stream: PeerStream) -> None:
        """Close a stream whose other side did not introduce itself: its greeting may be lost for good."""
        if stream.peer is None:
            stream.close()

    def _make_hello(self) -> Hello:
        notes = [_to_wire(note) for note in self.members.list_updates()]
        me = self.members.own_update
        return Hello(PROTOCOL, me.vm, me.boot, self.hall, self.address, notes)

    def _greet(self, stream: PeerStream, hello: Hello, dialled: str | None) -> None:
        if hello.vm == self.vm:
            if dialled is not None:
                self._own_addresses.add(dialled)
            stream.close()
            return
        if dialled is not None:
            self._out[dialled] = stream
        if hello.hall != self.hall:
            if dialled is not None:
                self.far.add(stream, hello, self._clock.now())
            return
        note = MemberUpdate(VmName(hello.vm), Boot(hello.boot), 0, Health.ALIVE, hello.address)
        self._do(self.members.apply_updates([note], self._clock.now()))
        self._take_notes(hello.notes)

    def _lose(self, stream: PeerStream, dialled: str | None) -> None:
        self._streams.discard(stream)
        if dialled is not None and self._out.get(dialled) is stream:
            del self._out[dialled]
        self.far.remove(stream)
        self._dialling.discard(dialled or "")
        if stream.peer is None:
            return
        vm = VmName(stream.peer.vm)
        if dialled is not None:
            for number, (_, asked) in list(self._asks.items()):
                if asked == vm:
                    self._settle(number, None)
        self._do(self.members.probe_now(vm, self._clock.now()))

    def _dial_all(self) -> None:
        notes = [item.update for item in self.members.members.values()]
        wanted = {note.address for note in notes if note.health is not Health.LEFT} | set(self._seeds)
        for address in wanted - self._own_addresses - self._dialling:
            self._dial(address)
        self._again(REDIAL, self._dial_all)

    def _dial(self, address: str) -> None:
        if not address:
            return
        self._dialling.add(address)
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _: self._make_stream(address)
        factory.clientConnectionFailed = lambda connector, reason: self._dialling.discard(address)
        host, _, port = address.partition(":")
        reactor: Any = self._clock.reactor
        limit = self._timing.connect_limit
        source = (self._source, 0)
        if self._tls_context is None:
            reactor.connectTCP(host, int(port), factory, timeout=limit, bindAddress=source)
        else:
            reactor.connectSSL(host, int(port), factory, self._tls_context, timeout=limit, bindAddress=source)

    def _find_stream(self, vm: VmName) -> PeerStream | None:
        note = self.members.get(vm)
        return self._out.get(note.address) if note is not None else None

    # --- messages --------------------------------------------------------------------------------------------------

    def _take(self, stream: PeerStream, message: Message) -> None:
        hello = stream.peer
        assert hello is not None
        if isinstance(message, Probe):
            self._take_news(hello, message.sequence, message.notes)
            stream.send(ProbeAnswer(message.number, self.sequence(), self._pick_notes()))
        elif isinstance(message, ProbeAnswer):
            self._take_news(hello, message.sequence, message.notes)
            if hello.hall == self.hall:
                self._take_probe_answer(message.number)
            else:
                self.far.note_answer(stream, self._clock.now())
        elif isinstance(message, ProbeThrough):
            self._probe_for(stream, message)
        elif isinstance(message, News):
            self._take_notes(message.notes)
        elif isinstance(message, Ask):
            defer.ensureDeferred(self._answer(stream, hello, message))
        elif isinstance(message, Answer):
            self._settle(message.number, decode_message(message.body) if message.body else None)
        else:
            handler = self._handlers.get(type(message))
            if handler is not None:
                handler(hello, message)

    async def _answer(self, stream: PeerStream, hello: Hello, ask: Ask) -> None:
        try:
            message = decode_message(ask.body)
        except msgspec.MsgspecError:
            self.metrics.peer_errors.inc()
            stream.close()
            return
        handler = self._handlers.get(type(message))
        answer = await defer.maybeDeferred(handler, hello, message) if handler is not None else None
        stream.send(Answer(ask.number, encode_message(answer) if answer is not None else b""))

    async def _handle_own(self, message: Message) -> Any:
        handler = self._handlers.get(type(message))
        if handler is None:
            return None
        me = self.members.own_update
        hello = Hello(PROTOCOL, me.vm, me.boot, self.hall, self.address, [])
        return await defer.maybeDeferred(handler, hello, message)

    def _settle(self, number: int, answer: Message | None) -> None:
        found = self._asks.pop(number, None)
        if found is not None:
            found[0].callback(answer)

    # --- membership ------------------------------------------------------------------------------------------------

    def _tick(self) -> None:
        self._do(self.members.tick(self._clock.now()))
        self._again(TICK, self._tick)

    def _again(self, seconds: float, function: Callable[[], None]) -> None:
        if not self._stopped:
            self._clock.call_later(seconds, function)

    def _do(self, effects: list[member.MembershipEffect]) -> None:
        for effect in effects:
            if isinstance(effect, member.Probe):
                self.cast(effect.vm, Probe(effect.number, self.sequence(), self._pick_notes()))
            elif isinstance(effect, member.IndirectProbe):
                self.cast(effect.through, ProbeThrough(effect.number, effect.vm))
            else:
                self._tell_change(effect.update, effect.previous)

    def _tell_change(self, note: MemberUpdate, before: MemberUpdate | None) -> None:
        if before is None or before.health is not note.health or before.boot != note.boot:
            self._log.info("A member changed.", vm=note.vm, health=note.health.name.lower(), boot=note.boot)
        if note.health is Health.DEAD:
            self.metrics.deaths.inc()
            self._close_streams(note.vm)
        for health in Health:
            count = sum(1 for item in self.members.members.values() if item.update.health is health)
            self.metrics.members.labels(health.name.lower()).set(count)
        for function in self._on_change:
            function(note, before)

    def _close_streams(self, vm: VmName) -> None:
        """Close the streams of a dead member; if it comes back, new greetings tell both sides what they missed."""
        for stream in [stream for stream in self._streams if stream.peer is not None and stream.peer.vm == vm]:
            stream.close()

    def _probe_for(self, asker: PeerStream, message: ProbeThrough) -> None:
        """Probe a member for another, under a number of our own, and pass its answer on."""
        self._numbers += 1
        number = -self._numbers
        self._relayed[number] = (asker, message.number)
        self._clock.call_later(2 * self._timing.probe_timeout, self._relayed.pop, number, None)
        self.cast(VmName(message.vm), Probe(number, self.sequence(), self._pick_notes()))

    def _take_probe_answer(self, number: int) -> None:
        relayed = self._relayed.pop(number, None)
        if relayed is not None:
            asker, their_number = relayed
            asker.send(ProbeAnswer(their_number, self.sequence(), self._pick_notes()))
        else:
            self.members.record_ack(number)

    def _take_news(self, hello: Hello, sequence: int, notes: list[MemberNote]) -> None:
        if hello.hall == self.hall:
            self._take_notes(notes)
        if sequence > self.sequence():
            self.take_sequence(VmName(hello.vm), sequence)

    def _probe_far(self) -> None:
        """Probe the VMs of other halls; what they have in force comes with the answer."""
        for stream in self.far.list_all():
            stream.send(Probe(0, self.sequence(), []))
        self._again(FAR_PROBE_PERIOD, self._probe_far)

    def _take_notes(self, notes: list[MemberNote]) -> None:
        read = [MemberUpdate(VmName(n.vm), Boot(n.boot), n.incarnation, Health(n.health), n.address) for n in notes]
        self._do(self.members.apply_updates(read, self._clock.now()))

    def _pick_notes(self) -> list[MemberNote]:
        return [_to_wire(note) for note in self.members.pick_updates()]


def _to_wire(note: MemberUpdate) -> MemberNote:
    return MemberNote(note.vm, note.boot, note.incarnation, int(note.health), note.address)

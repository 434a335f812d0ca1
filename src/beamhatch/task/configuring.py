"""The task that owns the configuration: it takes changes from operators and puts accepted ones in force.

Two VMs of a hall watch the head in the platform's key-value service and tell the others at once. Every probe between
VMs carries the sequence in force, so a VM that missed the news asks whoever is ahead. During an outage of the platform
the peers are enough.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from beamhatch.clock import sleep
from beamhatch.decide.configuration import (
    AlreadyAccepted,
    Change,
    ChangeNote,
    Configuration,
    Conflict,
    Head,
    Invalid,
    decode_body,
)
from beamhatch.decide.member import Health, MemberUpdate
from beamhatch.decide.rendezvous import rank
from beamhatch.edge.peer.message import ConfigAnswer, ConfigAsk, ConfigNews, Hello, StatusAnswer, StatusAsk
from beamhatch.edge.store.api import KvLost, Moved, Swapped
from beamhatch.ids import VmName
from beamhatch.observe.log import Part, get_log
from beamhatch.settings.check import digest_document

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.edge.store.api import KeyValue
    from beamhatch.observe.metrics import Metrics
    from beamhatch.task.mesh import Mesh

HEAD_KEY = "beamhatch/head"
BODY_PREFIX = "beamhatch/body/"
WATCHERS = 2
"""VMs of a hall that hold a watch."""
WATCH_PAUSE = 1.0
"""Seconds, with jitter, before a broken watch is begun again."""
CHANGE_LIMIT = 5.0
"""Seconds for which a change is tried before its operator is told that it is unknown."""
SWAP_PAUSE = 0.2
ASK_LIMIT = 2.0


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is part of the configuration."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform can't be reached; the change was not written and will not take effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class UnknownChange:
    """Nobody can tell yet whether the change was accepted; ask again by its id."""

    detail: str


@dataclass(frozen=True, slots=True)
class Behind:
    """The platform's answer was older than what is in force here: it may just have been overtaken on its way."""


ChangeResult = Accepted | Conflict | Invalid | Unavailable | UnknownChange


class Configuring:
    """Owns the configuration of this VM."""

    def __init__(
        self,
        clock: Clock,
        mesh: Mesh,
        kv: KeyValue | None,
        poll: float,
        metrics: Metrics,
        on_new: Callable[[Configuration], None],
    ) -> None:
        self.configuration = Configuration()
        self.confirmed = kv is None
        """True once the platform or a peer has told what is in force, or that nothing is."""
        self.took = 0.0
        """Seconds from the acceptance of the configuration in force until it was in force here."""
        self.count_open: Callable[[], int] = lambda: 0
        self._clock = clock
        self._mesh = mesh
        self._kv = kv
        self._poll = poll
        self._metrics = metrics
        self._on_new = on_new
        self._revision = 0
        self._watching = False
        self._asking = False
        self._random = random.Random(mesh.vm)
        self._log = get_log(Part.CONFIG)
        mesh.sequence = lambda: self.configuration.head.sequence if self.confirmed else -1
        mesh.take_sequence = self._take_sequence
        mesh.handle(ConfigAsk, self._answer_ask)
        mesh.handle(ConfigNews, lambda hello, news: self._take_sequence(VmName(hello.vm), news.sequence))
        mesh.handle(StatusAsk, self._answer_status)
        mesh.call_on_change(self._take_change)

    def start(self, head: Head, bodies: dict[str, bytes]) -> None:
        """Put the settings' own documents in force, and begin to follow the platform."""
        self.adopt(head, bodies)
        if self._kv is not None:
            self._follow()

    def adopt(self, head: Head, bodies: dict[str, bytes]) -> bool:
        """Put a configuration in force if it is newer."""
        if not self.configuration.apply(head, bodies):
            return False
        accepted = head.changes[-1].time if head.changes else self._clock.tell_wall()
        self.took = max(0.0, self._clock.tell_wall() - accepted)
        self._metrics.sequence.set(head.sequence)
        self._log.info("A configuration is in force.", sequence=head.sequence, took=round(self.took, 3))
        self._on_new(self.configuration)
        if self.confirmed:
            self._tell_members()
        return True

    # --- changes ---------------------------------------------------------------------------------------------------

    async def change(self, change: Change) -> ChangeResult:
        """Have a change accepted, or say why not; what can't be told yet is unknown."""
        if self._kv is None:
            return self._change_alone(change)
        limit = self._clock.now() + CHANGE_LIMIT
        in_doubt = False
        result: ChangeResult | KvLost | Moved | Behind = Behind()
        while self._clock.now() < limit:
            result = await self._try_change(self._kv, change)
            if isinstance(result, KvLost):
                in_doubt = True
            elif isinstance(result, Moved):
                in_doubt = False
            elif isinstance(result, Unavailable):
                if not in_doubt:
                    return result
            elif not isinstance(result, Behind):
                return result
            await sleep(self._clock, SWAP_PAUSE)
        if in_doubt:
            return UnknownChange("the platform did not answer; ask later by the change's id")
        if isinstance(result, Behind):
            return Unavailable("the platform shows an older configuration than is in force")
        return Unavailable("too many others change the configuration")

    async def _try_change(self, kv: KeyValue, change: Change) -> ChangeResult | KvLost | Moved | Behind:
        """Plan on the newest head and swap it; a swap that may still land is tried again as it was."""
        found = await self._read_head(kv)
        if isinstance(found, KvLost):
            return Unavailable(found.detail)
        head, revision, bodies = found
        if head.sequence < self.configuration.head.sequence:
            return Behind()
        plan = self.configuration.plan(change, head, bodies, self._clock.tell_wall())
        if isinstance(plan, AlreadyAccepted):
            self.adopt(head, bodies)
            return Accepted(plan.sequence)
        if isinstance(plan, Conflict | Invalid):
            return plan
        for body in change.put.values():
            written = await self._put_body(kv, body)
            if isinstance(written, KvLost):
                return Unavailable(written.detail)
        swapped = await kv.swap(HEAD_KEY, revision, msgspec.json.encode(plan.head))
        if isinstance(swapped, KvLost | Moved):
            return swapped
        mine = {digest_document(body): body for body in change.put.values()}
        self.adopt(plan.head, {**bodies, **mine})
        return Accepted(plan.head.sequence)

    async def _put_body(self, kv: KeyValue, body: bytes) -> Swapped | KvLost:
        """Write a body under its own hash; writing it twice changes nothing, so a lost reply is no doubt."""
        written = await kv.put(BODY_PREFIX + digest_document(body), body)
        if isinstance(written, KvLost):
            written = await kv.put(BODY_PREFIX + digest_document(body), body)
        return written

    def _change_alone(self, change: Change) -> ChangeResult:
        """Change the configuration of a VM that has no platform; it lasts as long as the process."""
        plan = self.configuration.plan(change, self.configuration.head, {}, self._clock.tell_wall())
        if isinstance(plan, AlreadyAccepted):
            return Accepted(plan.sequence)
        if isinstance(plan, Conflict | Invalid):
            return plan
        self.adopt(plan.head, {digest_document(body): body for body in change.put.values()})
        return Accepted(plan.head.sequence)

    async def find_change(self, change: str) -> ChangeNote | Unavailable | None:
        """Return an accepted change by its id; None says that the newest head does not have it."""
        head = self.configuration.head
        if self._kv is not None:
            found = await self._read_head(self._kv)
            if isinstance(found, KvLost):
                known = _find_note(head, change)
                return known or Unavailable(found.detail)
            if found[0].sequence >= head.sequence:
                head = found[0]
                self.adopt(head, found[2])
        return _find_note(head, change)

    # --- the platform ----------------------------------------------------------------------------------------------

    async def _read_head(self, kv: KeyValue) -> tuple[Head, int, dict[str, bytes]] | KvLost:
        """Return the head that the platform holds, its revision, and the bodies that are lacking here."""
        found = await kv.get(HEAD_KEY)
        if isinstance(found, KvLost):
            return found
        if found.value is None:
            own = self.configuration.head
            return (own if own.sequence == 0 else Head()), 0, {}
        head = msgspec.json.decode(found.value, type=Head)
        bodies: dict[str, bytes] = {}
        for digest in self.configuration.list_missing_hashes(head):
            body = await kv.get(BODY_PREFIX + digest)
            if isinstance(body, KvLost) or body.value is None:
                return KvLost("a document's body can't be read")
            bodies[digest] = body.value
        return head, found.revision, bodies

    def _follow(self) -> None:
        """Read the head now and then, and hold the watch where it is this VM's turn."""
        defer.ensureDeferred(self._refresh())
        pause = self._poll * (0.5 + self._random.random())
        self._clock.call_later(pause, self._follow)

    async def _refresh(self) -> None:
        if self._kv is None or not (self._is_watcher() or not self.confirmed):
            return
        found = await self._read_head(self._kv)
        if isinstance(found, KvLost):
            return
        head, self._revision, bodies = found
        if not self.confirmed:
            self.confirmed = True
        self.adopt(head, bodies)
        if not self._watching:
            self._watching = True
            defer.ensureDeferred(self._watch(self._kv))

    async def _watch(self, kv: KeyValue) -> None:
        while self._is_watcher():
            await kv.watch(HEAD_KEY, self._revision, self._on_event)
            await sleep(self._clock, WATCH_PAUSE * (0.5 + self._random.random()))
        self._watching = False

    def _on_event(self) -> None:
        defer.ensureDeferred(self._refresh())

    def _is_watcher(self) -> bool:
        return self._mesh.vm in rank("watch", self._mesh.members.list_alive())[:WATCHERS]

    # --- peers -----------------------------------------------------------------------------------------------------

    def _tell_members(self) -> None:
        news = ConfigNews(self.configuration.head.sequence)
        for vm in self._mesh.members.list_alive():
            if vm != self._mesh.vm:
                self._mesh.cast(vm, news)

    def _take_change(self, note: MemberUpdate, before: MemberUpdate | None) -> None:
        """Ask a member that has just come for its configuration, as long as this VM has none that is confirmed."""
        if note.health is Health.ALIVE and not self.confirmed:
            self._clock.call_later(0.1, self._take_sequence, note.vm, 0)

    def _take_sequence(self, vm: VmName, sequence: int) -> None:
        ahead = sequence > self.configuration.head.sequence or (sequence >= 0 and not self.confirmed)
        if ahead and not self._asking:
            self._asking = True
            defer.ensureDeferred(self._ask(vm))

    async def _ask(self, vm: VmName) -> None:
        try:
            base = self.configuration.head.sequence if self.confirmed else -1
            answer = await self._mesh.ask(vm, ConfigAsk(base), ASK_LIMIT)
            if isinstance(answer, ConfigAnswer):
                self._take_answer(answer)
        finally:
            self._asking = False

    def _take_answer(self, answer: ConfigAnswer) -> None:
        notes = msgspec.json.decode(answer.changes, type=list[ChangeNote])
        head = Head(answer.sequence, dict(answer.documents), notes)
        if not answer.whole:
            mine = self.configuration.head
            if mine.sequence != answer.base:
                return
            documents = {name: digest for name, digest in mine.documents.items() if name not in answer.removed}
            known = {note.sequence for note in notes}
            older = [note for note in mine.changes if note.sequence not in known]
            head = Head(answer.sequence, {**documents, **answer.documents}, [*older, *notes])
        bodies = {digest_document(body): body for body in answer.bodies}
        for body in answer.bodies:
            decode_body(body)
        self.confirmed = True
        self.adopt(head, bodies)

    def _answer_ask(self, _: Hello, ask: ConfigAsk) -> ConfigAnswer | None:
        if not self.confirmed:
            return None
        head = self.configuration.head
        bodies = self.configuration.bodies
        since = [note for note in head.changes if note.sequence > ask.sequence]
        covered = ask.sequence >= 0 and len(since) == head.sequence - ask.sequence
        if not covered:
            changes = msgspec.json.encode(head.changes)
            return ConfigAnswer(True, -1, head.sequence, head.documents, [], changes, list(bodies.values()))
        touched = {name for note in since for name in note.documents}
        documents = {name: head.documents[name] for name in touched if name in head.documents}
        removed = [name for name in touched if name not in head.documents]
        sent = [bodies[digest] for digest in documents.values()]
        return ConfigAnswer(False, ask.sequence, head.sequence, documents, removed, msgspec.json.encode(since), sent)

    def _answer_status(self, _: Hello, __: StatusAsk) -> StatusAnswer:
        sequence = self.configuration.head.sequence
        return StatusAnswer(self._mesh.vm, sequence, self.took, self.confirmed, self.count_open())

    async def list_status(self) -> list[StatusAnswer | None]:
        """Return what each VM of the hall has in force; None for one that did not answer."""
        names = self._mesh.members.list_registered()
        asked = [defer.ensureDeferred(self._mesh.ask(vm, StatusAsk(), ASK_LIMIT)) for vm in names]
        return [await answer for answer in asked]


def _find_note(head: Head, change: str) -> ChangeNote | None:
    return next((note for note in head.changes if note.change == change), None)

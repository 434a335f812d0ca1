"""Idempotency records on the VMs of a hall.

The holders of a key are the first VMs of the hall in the key's rendezvous order, among all that are *registered*: the
dead ones too, until the platform's VM list drops them. A majority of them must grant a key before its request may be
dispatched. Two majorities of the same holders always meet, so neither a cut nor a wrong suspicion lets a key run twice.

Each key has one home hall. A VM of another hall has a VM of the home hall claim the key for it; where that hall is cut
off, the key is refused at once.

A VM grants only after it has read the records of the others for the set of VMs that is registered now. So a VM that
lost its memory, or a change of the set, opens no gap while at most one holder of a key is lost at a time.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from twisted.internet import defer

from beamhatch.decide.idempotency import Full, Granted, KeptAnswer, Record, RecordState, RecordStore
from beamhatch.decide.member import Health, Note
from beamhatch.decide.outcome import Answered, NotRun, Outcome, Reason, Unknown
from beamhatch.decide.rendezvous import rank
from beamhatch.edge.peer.message import (
    Done,
    Hello,
    RecordAnswer,
    RecordEnd,
    RecordPage,
    RecordPut,
    RecordSync,
    RecordWatch,
    RemoteClaim,
    RemoteEnd,
    RemoteWatch,
    WireAnswer,
    WireRecord,
)
from beamhatch.ids import Boot, HallName, RecordKey, RequestId, VmName
from beamhatch.observe.log import Part, get_log
from beamhatch.task.records import RETRY_SOON, Records, make_kept, read_record

if TYPE_CHECKING:
    from collections.abc import Sequence

    from beamhatch.clock import Clock
    from beamhatch.decide.call import Call
    from beamhatch.observe.metrics import Metrics
    from beamhatch.settings.schema import Settings
    from beamhatch.task.mesh import Mesh

MIN_COPIES = 2
"""A record needs a second VM, unless the hall is said to have one only."""
PAGE = 200
"""Records in one page of a sync."""
SYNC_RETRY = 0.2
TELL_TRIES = 20
JOIN_LIMIT = 60.0
"""Seconds for which a repeat waits for the first request, where its caller gave no deadline."""
WATCH_LIMIT = 5.0
"""Seconds of one wait at a holder; then it is asked again."""


class HallRecords(Records):
    """Claims keys on their holders, and is a holder itself."""

    def __init__(self, clock: Clock, mesh: Mesh, settings: Settings, metrics: Metrics) -> None:
        self._clock = clock
        self._mesh = mesh
        self._settings = settings
        self._metrics = metrics
        limits = settings.limits
        self.store = RecordStore(limits.records, limits.record_bytes, settings.timing.record_retention)
        self.halls: set[HallName] = set()
        """All halls of the configuration."""
        self.home_halls: dict[str, HallName] = {}
        """By workspace, where it names one."""
        self._ready_epoch = ""
        self._syncing_epoch = ""
        self._pages: dict[VmName, list[RecordKey]] = {}
        """The keys of a sync under way, as they were when it began."""
        self._watchers: dict[RecordKey, list[defer.Deferred[RecordAnswer]]] = {}
        self._log = get_log(Part.RECORD)
        mesh.handle(RecordPut, self._take_put)
        mesh.handle(RecordEnd, self._take_end)
        mesh.handle(RecordWatch, self._take_watch)
        mesh.handle(RecordSync, self._take_sync)
        mesh.handle(RemoteClaim, lambda hello, claim: defer.ensureDeferred(self._take_remote_claim(hello, claim)))
        mesh.handle(RemoteWatch, lambda hello, watch: defer.ensureDeferred(self._take_remote_watch(hello, watch)))
        mesh.handle(RemoteEnd, self._take_remote_end)
        mesh.call_on_change(self._take_change)

    def start(self) -> None:
        """Begin to read the records of the others."""
        self._sync()

    @property
    def is_ready(self) -> bool:
        """Return whether this VM may grant keys."""
        return self._ready_epoch == self._epoch()

    # --- claiming --------------------------------------------------------------------------------------------------

    async def claim(self, call: Call) -> KeptAnswer | Outcome | None:
        """Take the key of a call on a majority of its holders, or return what to tell its caller."""
        limit = call.deadline if call.deadline is not None else self._clock.now() + JOIN_LIMIT
        while True:
            taken = await self._claim_once(call)
            if taken is None or not isinstance(taken, Record):
                return taken
            if taken.digest != call.digest or taken.state is not RecordState.RECORDED:
                return read_record(taken, call.digest)
            settled = await self._wait_at_home(call, taken, limit)
            if settled is not None:
                return read_record(settled, call.digest)
            if self._clock.now() >= limit:
                return Unknown(Reason.KEY_IN_USE, "the first request with this key is under way", RETRY_SOON)

    async def _claim_once(self, call: Call) -> Record | Outcome | None:
        """Claim a key in its home hall; None says that it was granted."""
        assert call.key is not None
        home = self.find_home(call.key)
        answer: RecordAnswer | None
        if home == self._mesh.hall:
            me = self._mesh.members.me
            answer = await self._put_all(RecordPut(self._epoch(), call.key, call.digest, me.vm, me.boot, call.request))
        else:
            claim = RemoteClaim(call.key, call.digest, call.request)
            answer = await self._ask_home(home, claim, 2 * self._settings.timing.record_limit)
        if answer is None:
            return self._refuse(call, Reason.RECORDS_UNREACHABLE, f"hall {home}, which keeps the key, can't be reached")
        if answer.result == "granted":
            return None
        if answer.result == "taken" and answer.record is not None:
            return self._read_wire(answer.record)
        if answer.result == "full":
            return self._refuse(call, Reason.RECORDS_FULL, "the idempotency records are full")
        return self._refuse(call, Reason.RECORDS_UNREACHABLE, "too few holders of the key can be reached")

    async def _put_all(self, put: RecordPut) -> RecordAnswer:
        """Take a key on a majority of its holders in this hall; what was taken in vain is freed."""
        holders = self._list_holders(put.key)
        needed = len(holders) // 2 + 1
        if self._settings.copies > 1 and len(holders) < MIN_COPIES:
            return RecordAnswer("unready")
        answers = [answer for answer in await self._put_in_order(put, holders) if answer is not None]
        taken = next((answer for answer in answers if answer.result == "taken"), None)
        if taken is None and sum(1 for answer in answers if answer.result == "granted") >= needed:
            return RecordAnswer("granted")
        self._tell_holders(RecordEnd(put.key, put.request, None))
        full = next((answer for answer in answers if answer.result == "full"), None)
        return taken or full or RecordAnswer("unready")

    async def _put_in_order(self, put: RecordPut, holders: list[VmName]) -> list[RecordAnswer | None]:
        """Ask the holders one by one until one answers, then the rest together: who wins the first, wins them all."""
        answers: list[RecordAnswer | None] = []
        rest = list(holders)
        while rest:
            answer = await self._put(put, rest.pop(0))
            answers.append(answer)
            if answer is not None and answer.result == "taken":
                return answers
            if answer is not None and answer.result == "granted":
                break
        asked = [defer.ensureDeferred(self._put(put, holder)) for holder in rest]
        return answers + [await one for one in asked]

    async def _put(self, put: RecordPut, holder: VmName) -> RecordAnswer | None:
        answer = await self._mesh.ask(holder, put, self._settings.timing.record_limit)
        return answer if isinstance(answer, RecordAnswer) else None

    async def _wait_at_home(self, call: Call, record: Record, limit: float) -> Record | None:
        """Wait until a record is settled; None says that its key may be free again, or that the time is over."""
        seconds = min(WATCH_LIMIT, limit - self._clock.now())
        if seconds <= 0:
            return None
        home = self.find_home(record.key)
        if home == self._mesh.hall:
            answer = await self._wait_for(RecordWatch(record.key, record.request), seconds)
        else:
            answer = await self._ask_home(home, RemoteWatch(record.key, record.request, seconds), seconds + 1)
        if answer is not None and answer.record is not None:
            return self._read_wire(answer.record)
        return None

    async def _wait_for(self, watch: RecordWatch, seconds: float) -> RecordAnswer | None:
        """Ask all holders to answer when a record is settled, and take the first answer."""
        holders = self._list_holders(watch.key)
        settled: defer.Deferred[RecordAnswer | None] = defer.Deferred()
        left = len(holders)

        def take(answer: RecordAnswer | None) -> None:
            nonlocal left
            left -= 1
            if not settled.called and (answer is not None or left == 0):
                settled.callback(answer)

        asked = [defer.ensureDeferred(self._mesh.ask(holder, watch, seconds)) for holder in holders]
        for one in asked:
            one.addCallback(take)
        answer = await settled
        for one in asked:
            one.cancel()
        return answer

    def _refuse(self, call: Call, reason: Reason, detail: str) -> Outcome:
        """Refuse without having seen the records: an earlier attempt of the key may have run."""
        if call.attempt == 1:
            return NotRun(reason, detail, RETRY_SOON)
        return Unknown(reason, f"{detail}; an earlier attempt may have run", RETRY_SOON)

    # --- ends ------------------------------------------------------------------------------------------------------

    def close(self, call: Call, outcome: Outcome) -> None:
        """Note how a request ended without an answer."""
        if isinstance(outcome, NotRun):
            self.drop(call)
        else:
            self._tell_end(call, make_kept(outcome, (), None, 0))

    def keep(self, call: Call, outcome: Answered, headers: Sequence[tuple[str, str]], body: bytes | None) -> None:
        """Keep an answer for repeats of its key."""
        self._tell_end(call, make_kept(outcome, headers, body, self._settings.limits.answer_bytes))

    def drop(self, call: Call) -> None:
        """Free a key, because its request is proved not to have run."""
        self._tell_end(call, None)

    def _tell_end(self, call: Call, answer: KeptAnswer | None) -> None:
        assert call.key is not None
        wire = _answer_to_wire(answer) if answer is not None else None
        home = self.find_home(call.key)
        if home == self._mesh.hall:
            self._tell_holders(RecordEnd(call.key, call.request, wire))
        else:
            defer.ensureDeferred(self._tell_home(home, RemoteEnd(call.key, call.request, wire)))

    def _tell_holders(self, end: RecordEnd) -> None:
        for holder in self._list_holders(end.key):
            defer.ensureDeferred(self._tell(holder, end))

    async def _tell(self, holder: VmName, end: RecordEnd) -> None:
        """Tell a holder until it says that it knows; a holder that never does answers ``Unknown``, which is safe."""
        for _ in range(TELL_TRIES):
            if await self._mesh.ask(holder, end, self._settings.timing.record_limit) is not None:
                return
            await self._pause(SYNC_RETRY)

    # --- other halls -----------------------------------------------------------------------------------------------

    def find_home(self, key: str) -> HallName:
        """Return the hall that keeps a key: the one its workspace names, or the first in the key's order."""
        workspace = key.partition("/")[0]
        named = self.home_halls.get(workspace)
        if named is not None:
            return named
        return rank(key, sorted({self._mesh.hall, *self.halls}))[0]

    async def _ask_home(self, home: HallName, message: RemoteClaim | RemoteWatch, limit: float) -> RecordAnswer | None:
        """Ask a VM of another hall; None at once where the hall is cut off."""
        for vm in self._mesh.far.find_in(home, self._clock.now())[:1]:
            answer = await self._mesh.ask(vm, message, limit)
            return answer if isinstance(answer, RecordAnswer) else None
        return None

    async def _tell_home(self, home: HallName, end: RemoteEnd) -> None:
        for _ in range(TELL_TRIES):
            for vm in self._mesh.far.find_in(home, self._clock.now())[:1]:
                if await self._mesh.ask(vm, end, self._settings.timing.record_limit) is not None:
                    return
            await self._pause(SYNC_RETRY)

    async def _take_remote_claim(self, hello: Hello, claim: RemoteClaim) -> RecordAnswer:
        put = RecordPut(self._epoch(), claim.key, claim.digest, hello.vm, hello.boot, claim.request)
        return await self._put_all(put)

    async def _take_remote_watch(self, _: Hello, watch: RemoteWatch) -> RecordAnswer | None:
        return await self._wait_for(RecordWatch(watch.key, watch.request), min(watch.seconds, WATCH_LIMIT))

    def _take_remote_end(self, _: Hello, end: RemoteEnd) -> Done:
        self._tell_holders(RecordEnd(end.key, end.request, end.answer))
        return Done()

    async def _pause(self, seconds: float) -> None:
        pause: defer.Deferred[None] = defer.Deferred()
        self._clock.call_later(seconds, pause.callback, None)
        await pause

    # --- as a holder -----------------------------------------------------------------------------------------------

    def _take_put(self, _: Hello, put: RecordPut) -> RecordAnswer:
        if put.epoch != self._epoch() or not self.is_ready:
            return RecordAnswer("unready")
        result = self.store.put(
            RecordKey(put.key), put.digest, VmName(put.vm), Boot(put.boot), RequestId(put.request), self._clock.now()
        )
        self._metrics.records.set(len(self.store.records))
        if isinstance(result, Granted):
            return RecordAnswer("granted")
        if isinstance(result, Full):
            return RecordAnswer("full")
        return RecordAnswer("taken", self._write_wire(result.record))

    def _take_end(self, _: Hello, end: RecordEnd) -> Done:
        key, request = RecordKey(end.key), RequestId(end.request)
        if end.answer is None:
            if self.store.drop(key, request):
                self._settle(key, None)
        else:
            record = self.store.end(key, request, _answer_from_wire(end.answer))
            if record is not None:
                self._settle(key, record)
        return Done()

    def _take_watch(self, _: Hello, watch: RecordWatch) -> RecordAnswer | defer.Deferred[RecordAnswer]:
        key = RecordKey(watch.key)
        record = self.store.records.get(key)
        if record is None or record.request != watch.request:
            return RecordAnswer("free")
        if record.state is not RecordState.RECORDED:
            return RecordAnswer("taken", self._write_wire(record))
        waiting: defer.Deferred[RecordAnswer] = defer.Deferred()
        self._watchers.setdefault(key, []).append(waiting)
        self._clock.call_later(WATCH_LIMIT + 1, self._unwatch, key, waiting)
        return waiting

    def _unwatch(self, key: RecordKey, waiting: defer.Deferred[RecordAnswer]) -> None:
        if waiting in self._watchers.get(key, []):
            self._watchers[key].remove(waiting)
            waiting.callback(RecordAnswer("free"))

    def _settle(self, key: RecordKey, record: Record | None) -> None:
        answer = RecordAnswer("free") if record is None else RecordAnswer("taken", self._write_wire(record))
        for waiting in self._watchers.pop(key, []):
            waiting.callback(answer)

    # --- the set of holders ----------------------------------------------------------------------------------------

    def _list_holders(self, key: str) -> list[VmName]:
        return rank(key, self._mesh.members.list_registered())[: self._settings.copies]

    def _epoch(self) -> str:
        """Return a short name of the set of registered VMs."""
        names = "\0".join(self._mesh.members.list_registered())
        return hashlib.blake2b(names.encode(), digest_size=8).hexdigest()

    def _take_change(self, note: Note, before: Note | None) -> None:
        if note.health is Health.DEAD:
            self._lose(note.vm, note.boot)
        elif before is not None and before.boot < note.boot:
            self._lose(before.vm, before.boot)
        self._sync()

    def _lose(self, vm: VmName, boot: Boot) -> None:
        lost = self.store.lose_owner(vm, boot)
        if lost:
            self._log.info("Records of a dead VM can't be settled any more.", vm=vm, records=len(lost))
        for record in lost:
            self._settle(record.key, record)

    def _sync(self) -> None:
        epoch = self._epoch()
        if epoch not in (self._ready_epoch, self._syncing_epoch):
            self._syncing_epoch = epoch
            defer.ensureDeferred(self._sync_with_all(epoch))

    async def _sync_with_all(self, epoch: str) -> None:
        """Read the others' records; a later change of the set starts another round in place of this one."""
        members = self._mesh.members
        synced: set[VmName] = set()
        while self._epoch() == epoch:
            left = [vm for vm in members.list_alive() if vm != members.me.vm and vm not in synced]
            if not left:
                self._ready_epoch = epoch
                self._log.info(
                    "This VM may grant keys.", vms=len(members.list_registered()), records=len(self.store.records)
                )
                break
            for vm in left:
                if await self._sync_with(vm, epoch):
                    synced.add(vm)
            if set(left) - synced:
                await self._pause(SYNC_RETRY)
        if self._syncing_epoch == epoch:
            self._syncing_epoch = ""

    async def _sync_with(self, vm: VmName, epoch: str) -> bool:
        after = 0
        while True:
            page = await self._mesh.ask(vm, RecordSync(epoch, after), self._settings.timing.record_limit)
            if not isinstance(page, RecordPage) or not page.ready:
                return False
            for wire in page.records:
                self.store.merge(self._read_wire(wire))
            if not page.more:
                return True
            after = page.more

    def _take_sync(self, hello: Hello, sync: RecordSync) -> RecordPage:
        if sync.epoch != self._epoch():
            return RecordPage(False, 0, [])
        asker = VmName(hello.vm)
        if sync.after == 0:
            self._pages[asker] = [key for key in self.store.records if asker in self._list_holders(key)]
        keys = self._pages.get(asker, [])
        page = [record for key in keys[sync.after : sync.after + PAGE] if (record := self.store.records.get(key))]
        more = sync.after + PAGE if len(keys) > sync.after + PAGE else 0
        if not more:
            self._pages.pop(asker, None)
        return RecordPage(True, more, [self._write_wire(record) for record in page])

    # --- wire ------------------------------------------------------------------------------------------------------

    def _write_wire(self, record: Record) -> WireRecord:
        answer = _answer_to_wire(record.answer) if record.answer is not None else None
        age = self._clock.now() - record.written
        return WireRecord(
            record.key, record.digest, record.vm, record.boot, record.request, record.state.value, age, answer
        )

    def _read_wire(self, wire: WireRecord) -> Record:
        answer = _answer_from_wire(wire.answer) if wire.answer is not None else None
        return Record(
            RecordKey(wire.key),
            wire.digest,
            VmName(wire.vm),
            Boot(wire.boot),
            RequestId(wire.request),
            RecordState(wire.state),
            self._clock.now() - wire.age,
            answer,
        )


def _answer_to_wire(answer: KeptAnswer) -> WireAnswer:
    return WireAnswer(answer.outcome, answer.reason, answer.detail, answer.status, list(answer.headers), answer.body)


def _answer_from_wire(wire: WireAnswer) -> KeptAnswer:
    return KeptAnswer(wire.outcome, wire.reason, wire.detail, wire.status, tuple(wire.headers), wire.body)

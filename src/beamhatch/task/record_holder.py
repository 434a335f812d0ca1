"""A holder of idempotency records: it grants keys, keeps how their requests ended, and tells those who wait.

The holders of a key are the first VMs in its rendezvous order among all that are *registered*: the dead ones too,
until the platform's VM list drops them. A VM grants only after it has read the records of the others for the set of
VMs that is registered now. So a VM that lost its memory, or a change of the set, opens no gap while at most one holder
of a key is lost at a time.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from twisted.internet import defer

from beamhatch.clock import sleep
from beamhatch.decide.idempotency import KeyGranted, Record, RecordState, RecordStore, StoreFull
from beamhatch.decide.member import Health, MemberUpdate
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
)
from beamhatch.ids import Boot, RecordKey, RequestId, VmName
from beamhatch.observe.log import Part, get_log
from beamhatch.task.record_wire import read_answer, read_record, write_record

if TYPE_CHECKING:
    from beamhatch.clock import Clock
    from beamhatch.observe.metrics import Metrics
    from beamhatch.settings.schema import Settings
    from beamhatch.task.mesh import Mesh

PAGE = 200
"""Records in one page of a sync."""
SYNC_RETRY = 0.2
WATCH_LIMIT = 5.0
"""Seconds of one wait at a holder; then it is asked again."""


class RecordHolder:
    """Owns the records that this VM holds."""

    def __init__(self, clock: Clock, mesh: Mesh, settings: Settings, metrics: Metrics) -> None:
        self._clock = clock
        self._mesh = mesh
        self._settings = settings
        self._metrics = metrics
        limits = settings.limits
        self.store = RecordStore(limits.records, limits.record_bytes, settings.timing.record_retention)
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
        mesh.call_on_change(self._take_change)

    def start(self) -> None:
        """Begin to read the records of the others."""
        self._sync()

    @property
    def is_ready(self) -> bool:
        """Return whether this VM may grant keys."""
        return self._ready_epoch == self.name_epoch()

    def _take_put(self, _: Hello, put: RecordPut) -> RecordAnswer:
        if put.epoch != self.name_epoch() or not self.is_ready:
            return RecordAnswer("unready")
        result = self.store.put(
            RecordKey(put.key), put.digest, VmName(put.vm), Boot(put.boot), RequestId(put.request), self._clock.now()
        )
        self._metrics.records.set(len(self.store.records))
        if isinstance(result, KeyGranted):
            return RecordAnswer("granted")
        if isinstance(result, StoreFull):
            return RecordAnswer("full")
        return RecordAnswer("taken", write_record(result.record, self._clock.now()))

    def _take_end(self, _: Hello, end: RecordEnd) -> Done:
        key, request = RecordKey(end.key), RequestId(end.request)
        if end.answer is None:
            if self.store.drop(key, request):
                self._settle(key, None)
        else:
            record = self.store.complete(key, request, read_answer(end.answer))
            if record is not None:
                self._settle(key, record)
        return Done()

    def _take_watch(self, _: Hello, watch: RecordWatch) -> RecordAnswer | defer.Deferred[RecordAnswer]:
        key = RecordKey(watch.key)
        record = self.store.records.get(key)
        if record is None or record.request != watch.request:
            return RecordAnswer("free")
        if record.state is not RecordState.RECORDED:
            return RecordAnswer("taken", write_record(record, self._clock.now()))
        waiting: defer.Deferred[RecordAnswer] = defer.Deferred()
        self._watchers.setdefault(key, []).append(waiting)
        self._clock.call_later(WATCH_LIMIT + 1, self._unwatch, key, waiting)
        return waiting

    def _unwatch(self, key: RecordKey, waiting: defer.Deferred[RecordAnswer]) -> None:
        if waiting in self._watchers.get(key, []):
            self._watchers[key].remove(waiting)
            waiting.callback(RecordAnswer("free"))

    def _settle(self, key: RecordKey, record: Record | None) -> None:
        answer = (
            RecordAnswer("free") if record is None else RecordAnswer("taken", write_record(record, self._clock.now()))
        )
        for waiting in self._watchers.pop(key, []):
            waiting.callback(answer)

    def list_holders(self, key: str) -> list[VmName]:
        """Return the holders of a key, in its order."""
        return rank(key, self._mesh.members.list_registered())[: self._settings.copies]

    def name_epoch(self) -> str:
        """Return a short name of the set of registered VMs."""
        names = "\0".join(self._mesh.members.list_registered())
        return hashlib.blake2b(names.encode(), digest_size=8).hexdigest()

    def _take_change(self, note: MemberUpdate, before: MemberUpdate | None) -> None:
        if note.health is Health.DEAD:
            self._lose(note.vm, note.boot)
        elif before is not None and before.boot < note.boot:
            self._lose(before.vm, before.boot)
        self._sync()

    def _lose(self, vm: VmName, boot: Boot) -> None:
        lost = self.store.mark_owner_lost(vm, boot)
        if lost:
            self._log.info("Records of a dead VM can't be settled any more.", vm=vm, records=len(lost))
        for record in lost:
            self._settle(record.key, record)

    def _sync(self) -> None:
        epoch = self.name_epoch()
        if epoch not in (self._ready_epoch, self._syncing_epoch):
            self._syncing_epoch = epoch
            defer.ensureDeferred(self._sync_with_all(epoch))

    async def _sync_with_all(self, epoch: str) -> None:
        """Read the others' records; a later change of the set starts another round in place of this one."""
        members = self._mesh.members
        synced: set[VmName] = set()
        while self.name_epoch() == epoch:
            left = [vm for vm in members.list_alive() if vm != members.own_update.vm and vm not in synced]
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
                await sleep(self._clock, SYNC_RETRY)
        if self._syncing_epoch == epoch:
            self._syncing_epoch = ""

    async def _sync_with(self, vm: VmName, epoch: str) -> bool:
        after = 0
        while True:
            page = await self._mesh.ask(vm, RecordSync(epoch, after), self._settings.timing.record_limit)
            if not isinstance(page, RecordPage) or not page.ready:
                return False
            for wire in page.records:
                self.store.merge(read_record(wire, self._clock.now()))
            if not page.more:
                return True
            after = page.more

    def _take_sync(self, hello: Hello, sync: RecordSync) -> RecordPage:
        if sync.epoch != self.name_epoch():
            return RecordPage(False, 0, [])
        asker = VmName(hello.vm)
        if sync.after == 0:
            self._pages[asker] = [key for key in self.store.records if asker in self.list_holders(key)]
        keys = self._pages.get(asker, [])
        page = [record for key in keys[sync.after : sync.after + PAGE] if (record := self.store.records.get(key))]
        more = sync.after + PAGE if len(keys) > sync.after + PAGE else 0
        if not more:
            self._pages.pop(asker, None)
        return RecordPage(True, more, [write_record(record, self._clock.now()) for record in page])

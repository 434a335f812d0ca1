"""Claim keys on their holders.

A majority of a key's three holders (`record_holder.py`) must grant it before its request may be dispatched. Two
majorities of the same holders always meet, so neither a cut nor a wrong suspicion lets a key run twice.

Each key has one home hall. A VM of another hall has a VM of the home hall claim the key for it; where that hall is cut
off, the key is refused at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import defer

from beamhatch.clock import sleep
from beamhatch.decide.idempotency import Record, RecordState, StoredResponse
from beamhatch.decide.outcome import Answered, NotRun, Outcome, Reason, Unknown
from beamhatch.decide.rendezvous import rank
from beamhatch.edge.peer.message import (
    Done,
    Hello,
    RecordAnswer,
    RecordEnd,
    RecordPut,
    RecordWatch,
    RemoteClaim,
    RemoteEnd,
    RemoteWatch,
)
from beamhatch.ids import HallName, VmName
from beamhatch.task.record_holder import WATCH_LIMIT
from beamhatch.task.record_wire import read_record, write_answer
from beamhatch.task.records import RETRY_SOON, Records, make_kept, tell_repeat

if TYPE_CHECKING:
    from collections.abc import Sequence

    from beamhatch.clock import Clock
    from beamhatch.decide.call import Call
    from beamhatch.settings.schema import Settings
    from beamhatch.task.mesh import Mesh
    from beamhatch.task.record_holder import RecordHolder

MIN_COPIES = 2
"""A record needs a second VM, unless the hall is said to have one only."""
TELL_PAUSE = 0.2
KEEP_LIMIT = 0.1
"""Seconds for which an answer waits at the most until the holders of its key have it."""

TELL_TRIES = 20
JOIN_LIMIT = 60.0
"""Seconds for which a repeat waits for the first request, where its caller gave no deadline."""


class HallRecords(Records):
    """Claims keys, and tells the holders how requests ended."""

    def __init__(self, clock: Clock, mesh: Mesh, holder: RecordHolder, settings: Settings) -> None:
        self._clock = clock
        self._mesh = mesh
        self._holder = holder
        self._settings = settings
        self.halls: set[HallName] = set()
        """All halls of the configuration."""
        self.home_halls: dict[str, HallName] = {}
        """By workspace, where it names one."""
        mesh.handle(RemoteClaim, lambda hello, claim: defer.ensureDeferred(self._take_remote_claim(hello, claim)))
        mesh.handle(RemoteWatch, lambda hello, watch: defer.ensureDeferred(self._take_remote_watch(hello, watch)))
        mesh.handle(RemoteEnd, self._take_remote_end)

    # --- claiming --------------------------------------------------------------------------------------------------

    async def claim(self, call: Call) -> StoredResponse | Outcome | None:
        """Take the key of a call on a majority of its holders, or return what to tell its caller."""
        limit = call.deadline if call.deadline is not None else self._clock.now() + JOIN_LIMIT
        while True:
            taken = await self._claim_once(call)
            if taken is None or not isinstance(taken, Record):
                return taken
            if taken.digest != call.digest or taken.state is not RecordState.RECORDED:
                return tell_repeat(taken, call.digest)
            settled = await self._wait_at_home(call, taken, limit)
            if settled is not None:
                return tell_repeat(settled, call.digest)
            if self._clock.now() >= limit:
                return Unknown(Reason.KEY_IN_USE, "the first request with this key is under way", RETRY_SOON)

    async def _claim_once(self, call: Call) -> Record | Outcome | None:
        """Claim a key in its home hall; None says that it was granted."""
        assert call.key is not None
        home = self.find_home(call.key)
        answer: RecordAnswer | None
        if home == self._mesh.hall:
            me = self._mesh.members.own_update
            answer = await self._put_all(
                RecordPut(self._holder.name_epoch(), call.key, call.digest, me.vm, me.boot, call.request)
            )
        else:
            claim = RemoteClaim(call.key, call.digest, call.request)
            answer = await self._ask_home(home, claim, 2 * self._settings.timing.record_limit)
        if answer is None:
            return self._refuse(call, Reason.RECORDS_UNREACHABLE, f"hall {home}, which keeps the key, can't be reached")
        if answer.result == "granted":
            return None
        if answer.result == "taken" and answer.record is not None:
            return read_record(answer.record, self._clock.now())
        if answer.result == "full":
            return self._refuse(call, Reason.RECORDS_FULL, "the idempotency records are full")
        return self._refuse(call, Reason.RECORDS_UNREACHABLE, "too few holders of the key can be reached")

    async def _put_all(self, put: RecordPut) -> RecordAnswer:
        """Take a key on a majority of its holders in this hall; what was taken in vain is freed."""
        holders = self._holder.list_holders(put.key)
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
            return read_record(answer.record, self._clock.now())
        return None

    async def _wait_for(self, watch: RecordWatch, seconds: float) -> RecordAnswer | None:
        """Ask all holders to answer when a record is settled, and take the first answer."""
        holders = self._holder.list_holders(watch.key)
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

    def keep(
        self, call: Call, outcome: Answered, headers: Sequence[tuple[str, str]], body: bytes | None
    ) -> defer.Deferred[None]:
        """Keep an answer for repeats of its key; fires once most holders have it, or after ``KEEP_LIMIT``."""
        return self._tell_end(call, make_kept(outcome, headers, body, self._settings.limits.answer_bytes))

    def drop(self, call: Call) -> None:
        """Free a key, because its request is proved not to have run."""
        self._tell_end(call, None)

    def _tell_end(self, call: Call, answer: StoredResponse | None) -> defer.Deferred[None]:
        assert call.key is not None
        wire = write_answer(answer) if answer is not None else None
        home = self.find_home(call.key)
        if home == self._mesh.hall:
            return self._tell_holders(RecordEnd(call.key, call.request, wire))
        return self._await_most([defer.ensureDeferred(self._tell_home(home, RemoteEnd(call.key, call.request, wire)))])

    def _tell_holders(self, end: RecordEnd) -> defer.Deferred[None]:
        told = [defer.ensureDeferred(self._tell(holder, end)) for holder in self._holder.list_holders(end.key)]
        return self._await_most(told)

    def _await_most(self, told: list[defer.Deferred[None]]) -> defer.Deferred[None]:
        """Return what fires once most of some have ended, or after ``KEEP_LIMIT``."""
        done: defer.Deferred[None] = defer.Deferred()
        left = len(told) // 2 + 1

        def fire() -> None:
            if not done.called:
                done.callback(None)

        def note_end(_: None) -> None:
            nonlocal left
            left -= 1
            if left <= 0:
                fire()

        for one in told:
            one.addCallback(note_end)
        if not done.called:
            self._clock.call_later(KEEP_LIMIT, fire)
        return done

    async def _tell(self, holder: VmName, end: RecordEnd) -> None:
        """Tell a holder until it says that it knows; a holder that never does answers ``Unknown``, which is safe."""
        for _ in range(TELL_TRIES):
            if await self._mesh.ask(holder, end, self._settings.timing.record_limit) is not None:
                return
            await sleep(self._clock, TELL_PAUSE)

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
            await sleep(self._clock, TELL_PAUSE)

    async def _take_remote_claim(self, hello: Hello, claim: RemoteClaim) -> RecordAnswer:
        put = RecordPut(self._holder.name_epoch(), claim.key, claim.digest, hello.vm, hello.boot, claim.request)
        return await self._put_all(put)

    async def _take_remote_watch(self, _: Hello, watch: RemoteWatch) -> RecordAnswer | None:
        return await self._wait_for(RecordWatch(watch.key, watch.request), min(watch.seconds, WATCH_LIMIT))

    def _take_remote_end(self, _: Hello, end: RemoteEnd) -> defer.Deferred[Done]:
        return self._tell_holders(RecordEnd(end.key, end.request, end.answer)).addCallback(lambda _: Done())

"""The record store compared with a dictionary model, and concurrent claims on unreliable holders."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from beamhatch.decide.idempotency import KeyGranted, KeyTaken, RecordState, RecordStore, StoredResponse, StoreFull
from beamhatch.ids import Boot, RecordKey, RequestId, VmName

KEYS = st.sampled_from([RecordKey(f"w/{n}") for n in range(4)])
REQUESTS = st.sampled_from([RequestId(f"r{n}") for n in range(6)])
RETENTION = 100.0


class StoreMachine(RuleBasedStateMachine):
    """Records keys, outcomes, removals and lost owners in any order, and advances the clock."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = RecordStore(max_records=3, max_bytes=10_000, retention=RETENTION)
        self.naive: dict[RecordKey, tuple[RequestId, RecordState, float]] = {}

    @rule(key=KEYS, request=REQUESTS)
    def put(self, key: RecordKey, request: RequestId) -> None:
        result = self.store.put(key, "d", VmName("vm"), Boot(1), request, self.now)
        known = self.naive.get(key)
        if known is not None and (self.now - known[2] < RETENTION or known[1] is RecordState.RECORDED):
            mine = known[:2] == (request, RecordState.RECORDED)
            assert isinstance(result, KeyGranted if mine else KeyTaken)
        elif isinstance(result, KeyGranted):
            self.naive[key] = (request, RecordState.RECORDED, self.now)
        else:
            assert isinstance(result, StoreFull)
            assert len(self.store.records) == 3

    @rule(key=KEYS, request=REQUESTS, size=st.integers(0, 12_000))
    def end(self, key: RecordKey, request: RequestId, size: int) -> None:
        answer = StoredResponse("answered", "answered", "", 200, (), b"x" * size)
        ended = self.store.complete(key, request, answer)
        known = self.naive.get(key)
        if ended is not None:
            assert known is not None
            assert known[0] == request
            self.naive[key] = (request, RecordState.ENDED, known[2])

    @rule(key=KEYS, request=REQUESTS)
    def drop(self, key: RecordKey, request: RequestId) -> None:
        if self.store.drop(key, request):
            assert self.naive.pop(key)[0] == request

    @rule()
    def lose_owner(self) -> None:
        for record in self.store.mark_owner_lost(VmName("vm"), Boot(1)):
            request, _, written = self.naive[record.key]
            self.naive[record.key] = (request, RecordState.LOST, written)

    @rule(seconds=st.floats(1, 60))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def it_holds_what_it_must_and_counts_its_bytes(self) -> None:
        for key, (request, state, written) in self.naive.items():
            if self.now - written < RETENTION or state is RecordState.RECORDED:
                assert self.store.records[key].request == request
                assert self.store.records[key].state is state
        assert self.store.bytes_held == sum(record.size for record in self.store.records.values())
        assert self.store.bytes_held <= 10_000 + 400


TestStore = StoreMachine.TestCase


class ClaimMachine(RuleBasedStateMachine):
    """Requests claim the same keys on a majority of three holders.

    Holders may be unreachable, or record a key although their reply is lost.
    """

    def __init__(self) -> None:
        super().__init__()
        self.holders = [RecordStore(100, 100_000, RETENTION) for _ in range(3)]
        self.winners: dict[str, set[str]] = {}
        self.count = 0

    @rule(
        key=st.sampled_from(["a", "b"]),
        lost=st.lists(st.integers(0, 2), max_size=2),
        late=st.booleans(),
    )
    def claim(self, key: str, lost: list[int], late: bool) -> None:
        self.count += 1
        request = RequestId(f"r{self.count}")
        granted = []
        for index, holder in enumerate(self.holders):
            if index in lost and not late:
                continue
            result = holder.put(RecordKey(key), "d", VmName("vm"), Boot(1), request, 0.0)
            if index not in lost and isinstance(result, KeyGranted):
                granted.append(index)
        if len(granted) >= 2:
            self.winners.setdefault(key, set()).add(request)
            return
        for index, holder in enumerate(self.holders):
            if index not in lost:
                holder.drop(RecordKey(key), request)

    @invariant()
    def a_key_has_one_winner(self) -> None:
        assert all(len(requests) == 1 for requests in self.winners.values())


TestClaim = ClaimMachine.TestCase

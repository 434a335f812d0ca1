"""What workspaces get of decode memory beside one that sends many times its usual: a played load on one VM's line."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

import pytest

from beamhatch.relay.requests.memory_queue import Claim, MemoryQueue
from beamhatch.relay.requests.workspace_scheduler import (
    MAX_LEAD_TOKENS,
    DeficitRoundRobinScheduler,
    FifoScheduler,
    StartTimeFairScheduler,
    WorkspaceScheduler,
)
from beamhatch.relay.workspaces.workspace import WorkspaceName

if TYPE_CHECKING:
    from collections.abc import Iterator

SLOTS = 10
RESIDENCE_S = 2.0
"""Seconds for which a place is held."""
USUAL_RATE_PER_S = 1.0
"""Requests a second of each workspace: four of them ask 0.8 of what the places bear."""
ON_TIME_S = 0.5
MAX_WAIT_S = 3.0
DURATION_S = 300.0
HOT = WorkspaceName("hot")
OTHERS = [WorkspaceName(f"w{number}") for number in range(3)]


@dataclass
class LoadSimulation:
    """One VM, its places and its line, for some minutes."""

    order: WorkspaceScheduler
    rates: dict[WorkspaceName, float]
    seed: int = 1
    asked: Counter[WorkspaceName] = field(default_factory=Counter)
    served: Counter[WorkspaceName] = field(default_factory=Counter)
    in_time: Counter[WorkspaceName] = field(default_factory=Counter)
    priorities: dict[WorkspaceName, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.line: MemoryQueue[tuple[Claim, float]] = MemoryQueue(self.order)
        self.random = random.Random(self.seed)
        self.numbers: Iterator[int] = count()
        self.free = SLOTS
        self.events: list[tuple[float, int, WorkspaceName | None]] = []

    def run(self) -> LoadSimulation:
        """Play it."""
        for workspace in self.rates:
            self._plan_next(workspace, 0.0)
        while self.events[0][0] < DURATION_S:
            now, _, asking = heapq.heappop(self.events)
            if asking is None:
                self.free += 1
                self.line.record_freed(now)
            else:
                self._plan_next(asking, now)
                self._arrive(asking, now)
            self._serve_waiting(now)
        return self

    def count_others(self) -> float:
        """Return the share of the other workspaces' requests that were served in time."""
        return sum(self.in_time[one] for one in OTHERS) / sum(self.asked[one] for one in OTHERS)

    def _plan_next(self, workspace: WorkspaceName, now: float) -> None:
        self._push(now + self.random.expovariate(self.rates[workspace]), workspace)

    def _push(self, at: float, workspace: WorkspaceName | None) -> None:
        heapq.heappush(self.events, (at, next(self.numbers), workspace))

    def _arrive(self, workspace: WorkspaceName, now: float) -> None:
        claim = Claim(workspace, self.priorities.get(workspace, 1), int(self.random.lognormvariate(8.0, 0.5)))
        self.asked[workspace] += 1
        waiter = claim, now
        if self.free and not self.line.has_on_time(now):
            self._serve(waiter, now)
            return
        if not self.line.has_room(ON_TIME_S, now):
            displaced = self.line.find_displaced(claim, now)
            if displaced is None:
                return
            self.line.leave(displaced)
        self.line.join(waiter, now + ON_TIME_S, now + MAX_WAIT_S, now, claim=claim)

    def _serve_waiting(self, now: float) -> None:
        while self.free and len(self.line):
            first, *ending = self.line.list_due(now)
            self.line.leave(first)
            self._serve(first, now)
            for waiter in ending:
                self.line.leave(waiter)

    def _serve(self, waiter: tuple[Claim, float], now: float) -> None:
        claim, arrived = waiter
        assert claim.workspace is not None
        self.free -= 1
        self.line.record_served(claim, now)
        self._push(now + self.random.uniform(0.5, 1.5) * RESIDENCE_S, None)
        self.served[claim.workspace] += 1
        self.in_time[claim.workspace] += now < arrived + ON_TIME_S


def simulate(kind: type[WorkspaceScheduler], times: float, seed: int = 1, **priorities: int) -> LoadSimulation:
    rates = {HOT: times * USUAL_RATE_PER_S, **dict.fromkeys(OTHERS, USUAL_RATE_PER_S)}
    return LoadSimulation(
        kind(), rates, seed, priorities={WorkspaceName(name): rank for name, rank in priorities.items()}
    ).run()


SCHEDULERS: list[type[WorkspaceScheduler]] = [FifoScheduler, StartTimeFairScheduler, DeficitRoundRobinScheduler]


@pytest.mark.parametrize(("times", "least"), [(2.0, 0.8), (4.0, 0.75), (8.0, 0.7)])
def test_a_workspace_beyond_its_usual_costs_the_others_little(times: float, least: float) -> None:
    assert simulate(StartTimeFairScheduler, times).count_others() > least


@pytest.mark.parametrize("times", [4.0, 8.0])
def test_first_come_first_served_and_rounds_leave_the_others_less(times: float) -> None:
    shares = [simulate(kind, times).count_others() for kind in SCHEDULERS]
    assert shares[1] > shares[0] + 0.1
    assert shares[1] > shares[2] + 0.05


@pytest.mark.parametrize("times", [1.0, 2.0, 4.0, 8.0])
def test_as_many_are_served_whatever_the_order(times: float) -> None:
    served = [simulate(kind, times).served.total() for kind in SCHEDULERS]
    assert min(served) > 0.93 * max(served)


@pytest.mark.parametrize("times", [1.0, 2.0, 4.0, 8.0])
def test_no_workspace_is_served_less_than_a_quarter_as_often_as_all(times: float) -> None:
    for seed in range(3):
        played = simulate(StartTimeFairScheduler, times, seed)
        of_all = played.served.total() / played.asked.total()
        assert all(played.served[one] / played.asked[one] > of_all / 4 for one in (HOT, *OTHERS))


def test_a_surge_is_not_paid_for_longer_than_it_lasted() -> None:
    order = StartTimeFairScheduler()
    for number in range(400):
        order.record_served(HOT, 3000, number / 100)
        if number % 20 == 0:
            order.record_served(OTHERS[0], 3000, number / 100)
    assert order.compute_lead(HOT, OTHERS[0], 4.0) == MAX_LEAD_TOKENS
    order.record_served(OTHERS[0], int(MAX_LEAD_TOKENS) + 1, 4.1)
    assert order.rank([HOT, OTHERS[0]], 4.1) == [HOT, OTHERS[0]]


def test_a_workspace_that_was_silent_has_saved_up_no_turns() -> None:
    order = StartTimeFairScheduler()
    order.record_served(OTHERS[0], 3000, 0.0)
    for number in range(20):
        order.record_served(HOT, 3000, number / 4)
    order.record_served(OTHERS[0], 100, 5.0)
    assert order.rank([OTHERS[0], HOT], 5.0) == [HOT, OTHERS[0]]


def test_accounts_are_forgotten_behind_their_last_request() -> None:
    for order in (StartTimeFairScheduler(), DeficitRoundRobinScheduler()):
        for number in range(1000):
            order.record_served(WorkspaceName(f"w{number}"), 100, number * 1.0)
        assert len(order) < 10


def test_rounds_go_through_all_that_wait() -> None:
    order = DeficitRoundRobinScheduler()
    turns = []
    for _ in range(6):
        first = order.rank(OTHERS, 0.0)[0]
        turns.append(first)
        order.record_served(first, 3000, 0.0)
    assert sorted(turns[:3], key=str) == OTHERS
    assert turns[:3] == turns[3:]


def test_the_lower_number_of_priority_goes_first_among_those_that_can_be_in_time() -> None:
    line: MemoryQueue[str] = MemoryQueue(StartTimeFairScheduler())
    line.join("low", 1.0, 3.0, 0.0, claim=Claim(OTHERS[0], 2, 100))
    line.join("high", 1.0, 3.0, 0.1, claim=Claim(OTHERS[1], 1, 100))
    line.join("late", 0.0, 3.0, 0.1, claim=Claim(OTHERS[2], 0, 100))
    assert line.list_due(0.2) == ["high"]
    line.leave("high")
    assert line.list_due(0.2) == ["low"]


def test_owed_requests_go_first_within_their_workspace_only() -> None:
    line: MemoryQueue[str] = MemoryQueue(StartTimeFairScheduler())
    line.record_served(Claim(OTHERS[0], 1, 100), 0.0)
    line.record_served(Claim(HOT, 1, 3000), 0.0)
    line.join("hot late", 0.0, 3.0, 0.0, claim=Claim(HOT, 1, 100))
    line.join("hot owed", 0.0, 3.0, 0.1, precedes_late=True, claim=Claim(HOT, 1, 100))
    line.join("other late", 0.0, 3.0, 0.2, claim=Claim(OTHERS[0], 1, 100))
    for name in ("other late", "hot owed", "hot late"):
        assert line.list_due(0.3) == [name]
        line.leave(name)


def test_requests_without_a_workspace_go_as_they_came() -> None:
    line: MemoryQueue[int] = MemoryQueue(StartTimeFairScheduler())
    for number in range(4):
        line.join(number, 1.0, 3.0, number / 10, claim=Claim(tokens=1000))
        line.record_served(Claim(tokens=5000), number / 10)
    assert line.find_displaced(Claim(tokens=10), 0.5) is None
    for number in range(4):
        assert line.list_due(0.5) == [number]
        line.leave(number)


def test_a_waiting_request_gives_way_to_a_workspace_that_was_served_far_less() -> None:
    line: MemoryQueue[str] = MemoryQueue(StartTimeFairScheduler())
    line.record_served(Claim(OTHERS[0], 1, 100), 0.0)
    line.record_served(Claim(HOT, 1, 5000), 0.0)
    line.join("hot", 1.0, 3.0, 0.1, claim=Claim(HOT, 1, 3000))
    assert line.find_displaced(Claim(HOT, 1, 1000), 0.2) is None
    assert line.find_displaced(Claim(OTHERS[0], 1, 3000), 0.2) is None
    assert line.find_displaced(Claim(OTHERS[0], 2, 1000), 0.2) is None
    assert line.find_displaced(Claim(OTHERS[0], 1, 1000), 0.2) == "hot"

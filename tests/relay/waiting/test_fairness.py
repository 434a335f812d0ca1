"""Workspaces are served fairly from the memory queue while one of them sends far more than usual."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

import pytest

from beamhatch.relay.waiting.fair_order import (
    MAX_LEAD_TOKENS,
    DeficitRoundRobinScheduler,
    FifoScheduler,
    StartTimeFairScheduler,
    WorkspaceScheduler,
)
from beamhatch.relay.waiting.line import Claim, MemoryQueue
from beamhatch.relay.workspaces.workspace import WorkspaceName

if TYPE_CHECKING:
    from collections.abc import Iterator

SLOTS = 10
RESIDENCE_S = 2.0
"""Mean time for which a slot is held."""
USUAL_RATE_PER_S = 1.0
"""Usual load of each workspace; four of them use 0.8 of the slots' capacity."""
ON_TIME_S = 0.5
MAX_WAIT_S = 3.0
DURATION_S = 300.0
HOT = WorkspaceName("hot")
OTHERS = [WorkspaceName(f"w{number}") for number in range(3)]


@dataclass
class LoadSimulation:
    """A simulation of the load on one VM's slots and memory queue."""

    scheduler: WorkspaceScheduler
    rates: dict[WorkspaceName, float]
    seed: int = 1
    requested: Counter[WorkspaceName] = field(default_factory=Counter)
    served: Counter[WorkspaceName] = field(default_factory=Counter)
    on_time: Counter[WorkspaceName] = field(default_factory=Counter)
    priorities: dict[WorkspaceName, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.queue: MemoryQueue[tuple[Claim, float]] = MemoryQueue(self.scheduler)
        self.random = random.Random(self.seed)
        self.numbers: Iterator[int] = count()
        self.free_slots = SLOTS
        self.events: list[tuple[float, int, WorkspaceName | None]] = []

    def run(self) -> LoadSimulation:
        """Process events up to the end of the simulation."""
        for workspace in self.rates:
            self._schedule_arrival(workspace, 0.0)
        while self.events[0][0] < DURATION_S:
            now, _, arriving = heapq.heappop(self.events)
            if arriving is None:
                self.free_slots += 1
                self.queue.record_freed(now)
            else:
                self._schedule_arrival(arriving, now)
                self._arrive(arriving, now)
            self._serve_queue(now)
        return self

    def compute_on_time_share_of_others(self) -> float:
        """Return the share of the other workspaces' requests that were served on time."""
        return sum(self.on_time[one] for one in OTHERS) / sum(self.requested[one] for one in OTHERS)

    def _schedule_arrival(self, workspace: WorkspaceName, now: float) -> None:
        self._push(now + self.random.expovariate(self.rates[workspace]), workspace)

    def _push(self, at: float, workspace: WorkspaceName | None) -> None:
        heapq.heappush(self.events, (at, next(self.numbers), workspace))

    def _arrive(self, workspace: WorkspaceName, now: float) -> None:
        claim = Claim(workspace, self.priorities.get(workspace, 1), int(self.random.lognormvariate(8.0, 0.5)))
        self.requested[workspace] += 1
        waiter = claim, now
        if self.free_slots and not self.queue.has_on_time(now):
            self._serve(waiter, now)
            return
        if not self.queue.has_room(ON_TIME_S, now):
            displaced = self.queue.find_displaced(claim, now)
            if displaced is None:
                return
            self.queue.remove(displaced)
        self.queue.add(waiter, now + ON_TIME_S, now + MAX_WAIT_S, now, claim=claim)

    def _serve_queue(self, now: float) -> None:
        while self.free_slots and len(self.queue):
            first, *expired = self.queue.list_due(now)
            self.queue.remove(first)
            self._serve(first, now)
            for waiter in expired:
                self.queue.remove(waiter)

    def _serve(self, waiter: tuple[Claim, float], now: float) -> None:
        claim, arrived = waiter
        assert claim.workspace is not None
        self.free_slots -= 1
        self.queue.record_served(claim, now)
        self._push(now + self.random.uniform(0.5, 1.5) * RESIDENCE_S, None)
        self.served[claim.workspace] += 1
        self.on_time[claim.workspace] += now < arrived + ON_TIME_S


def simulate(kind: type[WorkspaceScheduler], load_factor: float, seed: int = 1, **priorities: int) -> LoadSimulation:
    rates = {HOT: load_factor * USUAL_RATE_PER_S, **dict.fromkeys(OTHERS, USUAL_RATE_PER_S)}
    return LoadSimulation(
        kind(), rates, seed, priorities={WorkspaceName(name): rank for name, rank in priorities.items()}
    ).run()


SCHEDULERS: list[type[WorkspaceScheduler]] = [FifoScheduler, StartTimeFairScheduler, DeficitRoundRobinScheduler]


@pytest.mark.parametrize(("load_factor", "min_share"), [(2.0, 0.8), (4.0, 0.75), (8.0, 0.7)])
def test_overloading_workspace_barely_delays_the_others(load_factor: float, min_share: float) -> None:
    assert simulate(StartTimeFairScheduler, load_factor).compute_on_time_share_of_others() > min_share


@pytest.mark.parametrize("load_factor", [4.0, 8.0])
def test_fifo_and_round_robin_delay_the_others_more(load_factor: float) -> None:
    shares = [simulate(kind, load_factor).compute_on_time_share_of_others() for kind in SCHEDULERS]
    assert shares[1] > shares[0] + 0.1
    assert shares[1] > shares[2] + 0.05


@pytest.mark.parametrize("load_factor", [1.0, 2.0, 4.0, 8.0])
def test_throughput_hardly_depends_on_the_scheduler(load_factor: float) -> None:
    served = [simulate(kind, load_factor).served.total() for kind in SCHEDULERS]
    assert min(served) > 0.93 * max(served)


@pytest.mark.parametrize("load_factor", [1.0, 2.0, 4.0, 8.0])
def test_each_workspace_is_served_at_least_a_quarter_as_often_as_the_average(load_factor: float) -> None:
    for seed in range(3):
        simulation = simulate(StartTimeFairScheduler, load_factor, seed)
        average = simulation.served.total() / simulation.requested.total()
        assert all(simulation.served[one] / simulation.requested[one] > average / 4 for one in (HOT, *OTHERS))


def test_the_lead_of_a_workspace_after_a_burst_is_limited() -> None:
    scheduler = StartTimeFairScheduler()
    for number in range(400):
        scheduler.record_served(HOT, 3000, number / 100)
        if number % 20 == 0:
            scheduler.record_served(OTHERS[0], 3000, number / 100)
    assert scheduler.compute_lead(HOT, OTHERS[0], 4.0) == MAX_LEAD_TOKENS
    scheduler.record_served(OTHERS[0], int(MAX_LEAD_TOKENS) + 1, 4.1)
    assert scheduler.rank([HOT, OTHERS[0]], 4.1) == [HOT, OTHERS[0]]


def test_an_idle_workspace_gains_no_precedence() -> None:
    scheduler = StartTimeFairScheduler()
    scheduler.record_served(OTHERS[0], 3000, 0.0)
    for number in range(20):
        scheduler.record_served(HOT, 3000, number / 4)
    scheduler.record_served(OTHERS[0], 100, 5.0)
    assert scheduler.rank([OTHERS[0], HOT], 5.0) == [HOT, OTHERS[0]]


def test_idle_accounts_are_deleted() -> None:
    for scheduler in (StartTimeFairScheduler(), DeficitRoundRobinScheduler()):
        for number in range(1000):
            scheduler.record_served(WorkspaceName(f"w{number}"), 100, number * 1.0)
        assert len(scheduler) < 10


def test_round_robin_serves_all_waiting_workspaces_in_turn() -> None:
    scheduler = DeficitRoundRobinScheduler()
    served = []
    for _ in range(6):
        first = scheduler.rank(OTHERS, 0.0)[0]
        served.append(first)
        scheduler.record_served(first, 3000, 0.0)
    assert sorted(served[:3], key=str) == OTHERS
    assert served[:3] == served[3:]


def test_the_lower_priority_number_goes_first_among_requests_on_time() -> None:
    queue: MemoryQueue[str] = MemoryQueue(StartTimeFairScheduler())
    queue.add("low", 1.0, 3.0, 0.0, claim=Claim(OTHERS[0], 2, 100))
    queue.add("high", 1.0, 3.0, 0.1, claim=Claim(OTHERS[1], 1, 100))
    queue.add("late", 0.0, 3.0, 0.1, claim=Claim(OTHERS[2], 0, 100))
    assert queue.list_due(0.2) == ["high"]
    queue.remove("high")
    assert queue.list_due(0.2) == ["low"]


def test_late_requests_with_precedence_go_first_only_within_their_workspace() -> None:
    queue: MemoryQueue[str] = MemoryQueue(StartTimeFairScheduler())
    queue.record_served(Claim(OTHERS[0], 1, 100), 0.0)
    queue.record_served(Claim(HOT, 1, 3000), 0.0)
    queue.add("hot late", 0.0, 3.0, 0.0, claim=Claim(HOT, 1, 100))
    queue.add("hot late with precedence", 0.0, 3.0, 0.1, late_with_precedence=True, claim=Claim(HOT, 1, 100))
    queue.add("other late", 0.0, 3.0, 0.2, claim=Claim(OTHERS[0], 1, 100))
    for name in ("other late", "hot late with precedence", "hot late"):
        assert queue.list_due(0.3) == [name]
        queue.remove(name)


def test_requests_without_a_workspace_are_served_in_order_of_arrival() -> None:
    queue: MemoryQueue[int] = MemoryQueue(StartTimeFairScheduler())
    for number in range(4):
        queue.add(number, 1.0, 3.0, number / 10, claim=Claim(tokens=1000))
        queue.record_served(Claim(tokens=5000), number / 10)
    assert queue.find_displaced(Claim(tokens=10), 0.5) is None
    for number in range(4):
        assert queue.list_due(0.5) == [number]
        queue.remove(number)


def test_a_waiting_request_is_displaced_by_a_workspace_that_was_served_far_less() -> None:
    queue: MemoryQueue[str] = MemoryQueue(StartTimeFairScheduler())
    queue.record_served(Claim(OTHERS[0], 1, 100), 0.0)
    queue.record_served(Claim(HOT, 1, 5000), 0.0)
    queue.add("hot", 1.0, 3.0, 0.1, claim=Claim(HOT, 1, 3000))
    assert queue.find_displaced(Claim(HOT, 1, 1000), 0.2) is None
    assert queue.find_displaced(Claim(OTHERS[0], 1, 3000), 0.2) is None
    assert queue.find_displaced(Claim(OTHERS[0], 2, 1000), 0.2) is None
    assert queue.find_displaced(Claim(OTHERS[0], 1, 1000), 0.2) == "hot"

"""Small fakes around the real decision code, on a clock that jumps from event to event.

The request aggregate, the pools and the policies are the ones that the daemon runs. Only the engines, the links and
the callers are made up here.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from beamhatch.decide.call import Priority
from beamhatch.decide.effect import (
    CancelRun,
    ChooseDecode,
    ChooseFirst,
    FinishRequest,
    ReleasePlacement,
    StartDecode,
    StartPrefill,
)
from beamhatch.decide.fact import (
    CallerDisconnected,
    DecodeChosen,
    DecodeStarted,
    FirstChosen,
    PlacementFailed,
    PrefillCompleted,
    RequestValidated,
    ResponseCompleted,
    Stage,
    UpstreamFailed,
    UpstreamRefused,
)
from beamhatch.decide.fleet import Fleet
from beamhatch.decide.ledger import LoadSnapshot, UpstreamConfig, VmLoad
from beamhatch.decide.outcome import Answered, Failed, NotRun, Outcome, Unknown
from beamhatch.decide.policy.api import ResourceNeed
from beamhatch.decide.policy.make import make_policy
from beamhatch.decide.policy.reserving import BLOCK_TOKENS
from beamhatch.decide.pool import HandoffDecision, Pool, StartDecision
from beamhatch.decide.request import Request, RequestTerms
from beamhatch.ids import HallName, RequestId, UpstreamName, WorkspaceName

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

EXPORT_LIFE = 3.0
FIRST_FRAME_LIMIT = 1.0
REPORT_PERIOD = 0.25
EXPIRE_PERIOD = 0.1
SHARE_PERIOD = 0.03


class Events:
    """A clock that jumps to the next event."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = itertools.count()

    def at(self, seconds: float, function: Callable[..., None], *arguments: Any) -> None:
        """Call a function after some seconds."""
        heapq.heappush(self._heap, (self.now + seconds, next(self._numbers), function, arguments))

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self._heap)
            function(*arguments)


@dataclass(slots=True)
class Asked:
    """One request of the load, drawn ahead so that every variant gets the same."""

    number: int
    at: float
    prompt: int
    limit: int
    """The caller's token limit."""
    output: int
    """What the answer will have."""
    target: float
    priority: Priority
    blocks: tuple[int, ...]
    leaves: float | None = None


@dataclass(slots=True)
class FakeEngine:
    """A prefill or decode engine."""

    facts: UpstreamConfig
    pace: float
    alive: bool = True
    busy_until: float = 0.0
    held: int = 0
    jobs: int = 0
    runs: dict[str, int] = field(default_factory=dict)
    cache: dict[int, float] = field(default_factory=dict)
    transfers: int = 0
    history: list[tuple[float, int, int]] = field(default_factory=list)

    def find_cached(self, blocks: tuple[int, ...]) -> int:
        """Return how many prompt tokens are cached."""
        known = 0
        for block in blocks:
            if block not in self.cached_now():
                break
            known += BLOCK_TOKENS
        return known

    def cached_now(self) -> dict[int, float]:
        """Return the blocks in the cache."""
        return self.cache


@dataclass(slots=True)
class Result:
    """How one request went."""

    asked: Asked
    outcome: Outcome | None = None
    first_token: float | None = None
    ended: float | None = None
    answers: int = 0


@dataclass(slots=True)
class World:
    """All engines and entry VMs of one run."""

    events: Events
    engines: dict[UpstreamName, FakeEngine]
    rng: random.Random
    lag: float
    stall_share: float = 0.0
    gap_share: float = 0.0
    cut_hall: str | None = None
    shares: bool = True
    """Whether the entry VMs tell each other what they have."""
    prefilled: int = 0
    wasted: int = 0
    doubled: int = 0
    results: list[Result] = field(default_factory=list)

    def reaches(self, hall: str, engine: FakeEngine) -> bool:
        """Tell whether a hall reaches an engine now."""
        return hall == engine.facts.hall or self.cut_hall not in (hall, engine.facts.hall)


class FakeVm:
    """One entry VM: a real pool, and the requests that its callers sent."""

    def __init__(self, world: World, hall: str, algorithm: str, clairvoyant: bool, one_way: float) -> None:
        self.world = world
        self.hall = hall
        self.clairvoyant = clairvoyant
        self.one_way = one_way
        self.policy = make_policy(algorithm)
        fleet = Fleet(HallName(hall), max_report_age=3.0 + world.lag)
        fleet.set_upstreams([engine.facts for engine in world.engines.values()])
        self.pool = Pool(fleet, lambda need: self.policy, max_queue_length=2000)
        self.tasks: dict[RequestId, Task] = {}
        self._seen: dict[UpstreamName, int] = {}
        self.world.events.at(0.0, self.read_reports)
        self.world.events.at(world.rng.random() * SHARE_PERIOD, self.share)
        self.world.events.at(0.05, self.expire)

    def read_reports(self) -> None:
        """Read each engine's lagging report."""
        now = self.world.events.now
        for name, engine in self.world.engines.items():
            if not engine.alive or not self.world.reaches(self.hall, engine):
                continue
            at = now - self.world.lag
            old = [entry for entry in engine.history if entry[0] <= at] or [(at, 0, 0)]
            _, held, jobs = old[-1]
            self.pool.fleet.apply_report(name, LoadSnapshot(at, held, engine.facts.capacity_tokens, jobs))
        self.carry(self.pool.dispatch_waiting(now))
        self.world.events.at(REPORT_PERIOD, self.read_reports)

    def share(self) -> None:
        """Tell the other VMs what this one has at each engine, in batches, as the daemon does."""
        changed = self.pool.fleet.pop_changed_loads()
        for vm in vms_of(self.world) if changed and self.world.shares else ():
            if vm is not self and self.world.cut_hall not in (vm.hall, self.hall):
                self.world.events.at(self.one_way, vm.take_shares, f"vm-{id(self)}", changed)
        self.world.events.at(SHARE_PERIOD, self.share)

    def take_shares(self, vm: str, shares: dict[UpstreamName, VmLoad]) -> None:
        """Take in what another VM has."""
        for name, share in shares.items():
            self.pool.fleet.apply_vm_load(name, vm, share, self.world.events.now)
        self.carry(self.pool.dispatch_waiting(self.world.events.now))

    def learn_blocks(self, name: UpstreamName, blocks: tuple[int, ...]) -> None:
        """Take in late cache events, with gaps."""
        if self.world.rng.random() < self.world.gap_share:
            self.pool.fleet.drop_blocks(name)
            return
        for block in blocks:
            self.pool.fleet.record_block(name, block, stored=True, now=self.world.events.now)

    def expire(self) -> None:
        """Give up what waited for too long."""
        self.carry(self.pool.expire(self.world.events.now))
        self.world.events.at(EXPIRE_PERIOD, self.expire)

    def submit(self, asked: Asked) -> None:
        """Take in a request."""
        task = Task(self, asked)
        self.tasks[task.need.request] = task
        self.world.results.append(task.result)
        task.feed(RequestValidated())
        if asked.leaves is not None:
            self.world.events.at(asked.leaves, task.feed, CallerDisconnected())

    def carry(self, decisions: list[Any]) -> None:
        """Carry decisions to their requests."""
        for decision in decisions:
            task = self.tasks.get(decision.request)
            if task is None:
                continue
            if isinstance(decision, StartDecision):
                task.feed(FirstChosen(decision.upstream))
            elif isinstance(decision, HandoffDecision):
                task.feed(DecodeChosen(decision.upstream))
            else:
                task.feed(PlacementFailed(decision.reason, decision.detail, decision.retry_after))


class Task:
    """One request: the real aggregate, with effects on fake engines."""

    def __init__(self, vm: FakeVm, asked: Asked) -> None:
        self.vm = vm
        self.world = vm.world
        self.asked = asked
        self.result = Result(asked)
        request = RequestId(f"r{asked.number}")
        self.request = Request(RequestTerms(request, streamed=True))
        self.need = ResourceNeed(
            request=request,
            workspace=WorkspaceName("w"),
            prompt_tokens=asked.prompt,
            output_tokens=asked.output if vm.clairvoyant else asked.limit,
            arrival_time=self.world.events.now,
            priority=asked.priority,
            first_token_target=asked.target,
            blocks=asked.blocks,
        )
        self._exported: float | None = None
        self._facts: list[Any] = []
        self._feeding = False

    def feed(self, fact: Any) -> None:
        """Bring in a fact and carry out what follows."""
        self._facts.append(fact)
        if self._feeding:
            return
        self._feeding = True
        while self._facts:
            for effect in self.request.handle(self._facts.pop(0)):
                self._do(effect)
        self._feeding = False

    def _do(self, effect: Any) -> None:
        now = self.world.events.now
        pool = self.vm.pool
        if isinstance(effect, ChooseFirst):
            self.need.exclude = effect.exclude
            self.vm.carry(pool.request_start(self.need, now))
        elif isinstance(effect, ChooseDecode):
            self.vm.carry(pool.request_handoff(self.need.request, effect.exclude, now))
        elif isinstance(effect, ReleasePlacement):
            self.vm.carry(pool.release(self.need.request, now))
        elif isinstance(effect, StartPrefill):
            self._prefill(effect)
        elif isinstance(effect, StartDecode):
            self._decode(effect)
        elif isinstance(effect, CancelRun):
            self._cancel(effect.run, effect.upstream)
        elif isinstance(effect, FinishRequest):
            self._finish(effect.outcome)

    # --- prefill ---------------------------------------------------------------------------------------------------

    def _prefill(self, effect: StartPrefill) -> None:
        engine = self.world.engines[effect.upstream]
        events = self.world.events
        if not engine.alive or not self.world.reaches(self.vm.hall, engine):
            events.at(self.vm.one_way, self.feed, UpstreamRefused(Stage.PREFILL, "gone", True))
            return
        cached = min(self.asked.prompt - 1, engine.find_cached(self.asked.blocks))
        work = self.asked.prompt - cached
        self.world.prefilled += work
        engine.jobs += 1
        engine.held += self.asked.prompt
        engine.runs[effect.run] = self.asked.prompt
        note(engine, events.now)
        engine.busy_until = max(events.now, engine.busy_until) + work / engine.facts.prefill_rate
        wait = engine.busy_until - events.now + 2 * self._distance(engine)
        events.at(wait, self._end_prefill, effect, work)

    def _end_prefill(self, effect: StartPrefill, work: int) -> None:
        engine = self.world.engines[effect.upstream]
        engine.jobs -= 1
        note(engine, self.world.events.now)
        for block in self.asked.blocks:
            engine.cache[block] = self.world.events.now
        for vm in vms_of(self.world):
            self.world.events.at(0.2, vm.learn_blocks, effect.upstream, self.asked.blocks)
        if effect.run not in engine.runs:
            self.world.wasted += work
            return
        self._exported = self.world.events.now
        self._work = work
        self.feed(PrefillCompleted())

    # --- decode ----------------------------------------------------------------------------------------------------

    def _decode(self, effect: StartDecode) -> None:
        engine = self.world.engines[effect.upstream]
        events = self.world.events
        trip = self._distance(engine)
        need = self.asked.prompt + self.asked.limit
        if self.vm.clairvoyant:
            need = self.asked.prompt + self.asked.output
        if not engine.alive or not self.world.reaches(self.vm.hall, engine):
            events.at(trip, self.feed, UpstreamRefused(Stage.DECODE, "gone", True))
            return
        if self._exported is None or events.now - self._exported > EXPORT_LIFE:
            self.world.wasted += self._work
            events.at(trip, self.feed, UpstreamRefused(Stage.DECODE, "export lost", True, export_lost=True))
            return
        if engine.held + need > engine.facts.capacity_tokens:
            events.at(2 * trip, self.feed, UpstreamRefused(Stage.DECODE, "full", True))
            return
        engine.held += need
        engine.jobs += 1
        engine.runs[effect.run] = need
        note(engine, events.now)
        engine.transfers += 1
        seconds = self.asked.prompt / (engine.facts.link_rate / engine.transfers)
        if self.world.rng.random() < self.world.stall_share:
            events.at(FIRST_FRAME_LIMIT, self._stall, effect)
            return
        events.at(seconds + 2 * trip, self._first_token, effect)

    def _stall(self, effect: StartDecode) -> None:
        self.world.engines[effect.upstream].transfers -= 1
        self.feed(UpstreamFailed(Stage.DECODE, "stalled", True))

    def _first_token(self, effect: StartDecode) -> None:
        engine = self.world.engines[effect.upstream]
        engine.transfers -= 1
        if effect.run not in engine.runs:
            return
        if self.result.first_token is None:
            self.result.first_token = self.world.events.now - self.asked.at
        self.vm.pool.record_transfer_end(self.need.request)
        self._exported = None
        self.feed(DecodeStarted())
        self.world.events.at(self.asked.output * engine.pace, self._end_decode, effect)

    def _end_decode(self, effect: StartDecode) -> None:
        engine = self.world.engines[effect.upstream]
        if effect.run not in engine.runs:
            return
        free(engine, effect.run, self.world.events.now)
        self.vm.pool.fleet.workload.record_output(self.asked.output, self.asked.output * engine.pace)
        self.feed(ResponseCompleted())

    # --- ends ------------------------------------------------------------------------------------------------------

    def _cancel(self, run: str, name: UpstreamName) -> None:
        free(self.world.engines[name], run, self.world.events.now)

    def _finish(self, outcome: Outcome) -> None:
        self.result.answers += 1
        self.result.outcome = outcome
        self.result.ended = self.world.events.now
        if self._exported is not None and not isinstance(outcome, Answered):
            self.world.wasted += self._work
        self.vm.tasks.pop(self.need.request, None)

    def break_stream(self) -> None:
        """Lose the engine: resumes fail too, so the request goes on as the aggregate says."""
        for _ in range(3):
            self.feed(UpstreamFailed(Stage.DECODE, "the engine died", True))

    def _distance(self, engine: FakeEngine) -> float:
        return 0.0001 if engine.facts.hall == self.vm.hall else self.vm.one_way


_VMS: dict[int, list[FakeVm]] = {}


def vms_of(world: World) -> list[FakeVm]:
    """Return the entry VMs of a world."""
    return _VMS.setdefault(id(world), [])


def note(engine: FakeEngine, now: float) -> None:
    """Enter an engine's load into its history, which the reports are read from."""
    engine.history.append((now, engine.held, engine.jobs))
    if len(engine.history) > 4000:
        del engine.history[:2000]


def free(engine: FakeEngine, run: str, now: float) -> None:
    """Let an engine go of a run."""
    held = engine.runs.pop(run, None)
    if held is None:
        return
    engine.held -= held
    if engine.facts.role == "decode":
        engine.jobs -= 1
    note(engine, now)


def kill(world: World, name: UpstreamName) -> None:
    """Let a decode engine die with all its runs."""
    engine = world.engines[name]
    engine.alive = False
    for vm in vms_of(world):
        for task in list(vm.tasks.values()):
            if task.request.decode == name and name in task.request.open_runs.values():
                task.break_stream()
    engine.runs.clear()
    engine.held = 0


def describe(outcome: Outcome | None) -> str:
    """Return the word for how a request ended; ``lost`` where it never did."""
    if outcome is None:
        return "lost"
    return {Answered: "answered", NotRun: "not_run", Failed: "failed", Unknown: "unknown"}[type(outcome)]

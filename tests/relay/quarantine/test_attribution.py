"""Attribution of crashes to requests."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from beamhatch.relay.model import Fingerprint, UpstreamId
from beamhatch.relay.quarantine.attribution import (
    MIN_CRASHES,
    MIN_UNEXPLAINED_CRASHES,
    Attribution,
    CountAttribution,
    CoverAttribution,
)
from beamhatch.relay.quarantine.ends import UpstreamCrash

CRASHING = Fingerprint(b"deadly")
BOTH = (CountAttribution(), CoverAttribution())


def make_crash(number: int, at: float, **run_durations: float) -> UpstreamCrash:
    runs = {Fingerprint(name.encode()): seconds for name, seconds in run_durations.items()}
    return UpstreamCrash(UpstreamId(f"engine-{number}"), at, runs)


def test_request_is_attributed_after_three_crashes() -> None:
    crashes = [make_crash(number, 10.0 + number, deadly=0.1) for number in range(3)]
    for attribution in BOTH:
        assert attribution.find_causes(crashes[:2]) == {}
        assert attribution.find_causes(crashes) == {CRASHING: 3}


def test_simultaneous_crashes_are_not_attributed_to_requests() -> None:
    together = [make_crash(number, 10.0 + 0.01 * number, request=0.05) for number in range(5)]
    for attribution in BOTH:
        assert attribution.find_causes(together) == {}


def test_co_running_requests_are_released_once_crashes_are_explained() -> None:
    beside = {1: {"a": 0.4}, 2: {"a": 0.7, "b": 2.0}, 3: {"a": 1.0, "b": 0.3}, 4: {"b": 0.2}}
    crashes = [make_crash(number, 10.0 + number, deadly=0.1, **others) for number, others in beside.items()]
    assert set(CountAttribution().find_causes(crashes)) == {CRASHING, Fingerprint(b"a"), Fingerprint(b"b")}
    assert CoverAttribution().find_causes(crashes) == {CRASHING: 4}


def test_tie_is_broken_by_shortest_runs() -> None:
    crashes = [make_crash(number, 10.0 + number, deadly=0.12, beside=0.3 + number) for number in range(3)]
    assert CoverAttribution().find_causes(crashes) == {CRASHING: 3}


def test_two_crash_inducing_requests_are_both_found() -> None:
    crashes = [
        make_crash(number, 10.0 + number, deadly=0.1, **({"other": 0.5} if number == 2 else {})) for number in range(3)
    ]
    crashes += [make_crash(number, 20.0 + number, other=0.1) for number in range(3)]
    assert set(CoverAttribution().find_causes(crashes)) == {CRASHING, Fingerprint(b"other")}


@settings(max_examples=60)
@given(st.lists(st.sets(st.sampled_from("abcdef")), max_size=12))
def test_each_cause_has_enough_crashes_not_explained_by_others(requests_by_crash: list[set[str]]) -> None:
    crashes = [
        make_crash(number, float(number), **dict.fromkeys(sorted(one), 0.1))
        for number, one in enumerate(requests_by_crash)
    ]
    causes = CoverAttribution().find_causes(crashes)
    assert all(count >= MIN_CRASHES for count in causes.values())
    assert MIN_UNEXPLAINED_CRASHES * len(causes) <= len(crashes)
    assert set(causes) <= set(CountAttribution().find_causes(crashes))


# --- simulated crashes ------------------------------------------------------------------------------------------------

ENGINES = 9
RESTART_TIME_S = 3.0
STREAM_TIME_S = 2.2
STREAMS_PER_S = 9.0
CRASH_DELAY_S = 0.12
SIMULATION_TIME_S = 16.0
TRIES = 4
"""Maximum number of runs of one stream: two engines for each of two attempts of its caller."""


@dataclass
class CrashSimulation:
    """Simulation of engines that run streams and, in bursts, a request that crashes each engine that runs it."""

    seed: int
    crashes: list[UpstreamCrash] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Run the simulation."""
        self._random = random.Random(self.seed)
        self._available_from = dict.fromkeys(range(ENGINES), 0.0)
        self._runs: dict[int, dict[Fingerprint, float]] = {number: {} for number in range(ENGINES)}
        self._tries: dict[Fingerprint, int] = {}
        self._waiting: list[Fingerprint] = []
        self._scheduled_crashes: list[tuple[float, int]] = []
        now = 0.0
        crashing_request_times = [
            3.5 * burst + 0.15 * one + self._random.uniform(0, 0.1) for burst in range(5) for one in range(4)
        ]
        while now < SIMULATION_TIME_S:
            now += 0.02
            for number in [number for at, number in self._scheduled_crashes if at <= now]:
                self._crash_engine(number, now)
            self._scheduled_crashes = [(at, number) for at, number in self._scheduled_crashes if at > now]
            if self._random.random() < STREAMS_PER_S * 0.02:
                self._waiting.append(Fingerprint(self._random.randbytes(8)))
            while crashing_request_times and crashing_request_times[0] <= now:
                crashing_request_times.pop(0)
                chosen = self._start_run(CRASHING, now)
                if chosen is not None:
                    self._scheduled_crashes.append((now + CRASH_DELAY_S, chosen))
            waiting, self._waiting = self._waiting, []
            for one in waiting:
                if self._start_run(one, now) is None:
                    self._waiting.append(one)
            for runs in self._runs.values():
                for done in [
                    name for name, started_at in runs.items() if name != CRASHING and now - started_at > STREAM_TIME_S
                ]:
                    del runs[done]

    def _start_run(self, fingerprint: Fingerprint, now: float) -> int | None:
        up = [number for number, at in self._available_from.items() if now >= at]
        if not up:
            return None
        number = self._random.choice(up)
        self._runs[number][fingerprint] = now
        return number

    def _crash_engine(self, number: int, now: float) -> None:
        if now < self._available_from[number]:
            return
        self._available_from[number] = now + RESTART_TIME_S * self._random.uniform(0.8, 1.2)
        runs, self._runs[number] = self._runs[number], {}
        run_durations = {name: now - started_at for name, started_at in runs.items()}
        self.crashes.append(UpstreamCrash(UpstreamId(f"engine-{number}-{len(self.crashes)}"), now, run_durations))
        for name in runs:
            self._tries[name] = self._tries.get(name, 0) + 1
            if name != CRASHING and self._tries[name] < TRIES:
                self._waiting.append(name)

    def count_co_running(self, attribution: Attribution) -> tuple[int, int]:
        """Return the number of co-running streams that were ever taken as causes, and the number that broke."""
        attributed: set[Fingerprint] = set()
        for count in range(1, len(self.crashes) + 1):
            attributed |= set(attribution.find_causes(self.crashes[:count]))
        return len(attributed - {CRASHING}), len(
            {name for one in self.crashes for name in one.run_durations} - {CRASHING}
        )


def test_in_a_storm_the_deadly_request_is_held_and_next_to_nobody_beside_it() -> None:
    simulations = [CrashSimulation(seed) for seed in range(60)]
    assert all(CRASHING in CoverAttribution().find_causes(simulation.crashes) for simulation in simulations)
    counted = [simulation.count_co_running(CountAttribution()) for simulation in simulations]
    covered = [simulation.count_co_running(CoverAttribution()) for simulation in simulations]
    broken = sum(count for _, count in covered)
    assert sum(count for count, _ in counted) >= 40
    assert sum(count for count, _ in covered) <= 0.002 * broken

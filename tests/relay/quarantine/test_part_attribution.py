"""Attribution of crashes to parts of prompts."""

from __future__ import annotations

import random

import pytest

from beamhatch.relay.model import Fingerprint, UpstreamId
from beamhatch.relay.quarantine.crash_index import CrashIndex
from beamhatch.relay.quarantine.digests import DIGEST_BYTES, combine
from beamhatch.relay.quarantine.ends import BrokenRun, Prompt, UpstreamCrash
from beamhatch.relay.quarantine.part_attribution import OBSERVATION_S, PartAttribution
from beamhatch.relay.quarantine.part_successes import PartSuccesses


def digest(name: str) -> Fingerprint:
    return Fingerprint(name.encode().ljust(DIGEST_BYTES, b"_"))


SERVICE = digest("service")
DEADLY = digest("deadly")
SHARED = digest("shared")


def make_run(
    request: str, *unproven: str, proven: tuple[str, ...] = (), ms: int = 100, workspace: str | None = None
) -> BrokenRun:
    owner = None if workspace is None else digest(workspace)
    parts = [tuple(map(digest, names)) for names in (proven, unproven)]
    return BrokenRun(digest(request), ms, Prompt(SERVICE, parts[0], parts[1], workspace=owner))


class Crashes:
    """Crashes as a VM knows them, with successes of parts."""

    def __init__(self) -> None:
        self.successes = PartSuccesses()
        self.index = CrashIndex()
        self.all: list[UpstreamCrash] = []

    def add(self, at: float, *runs: BrokenRun, version: str = "v1") -> None:
        crash = UpstreamCrash(UpstreamId(f"engine-{len(self.all)}"), at, version=version)
        assert all(crash.add(run) for run in runs)
        self.all.append(crash)
        for run in runs:
            self.index.add(crash, crash.list_parts_of(run.fingerprint))

    def succeed(self, part: str, at: float, version: str = "v1") -> None:
        self.successes.record(digest(part), version, at)
        for crash in self.all if part == "service" else ():
            if crash.version == version and crash.at < at < crash.recovered_at:
                crash.recovered_at = at

    def find(self, now: float) -> dict[Fingerprint, int]:
        found = PartAttribution(self.successes, self.index).find_causes(self.all, now)
        return {fingerprint: cause.crash_count for fingerprint, cause in found.causes.items()}


def test_unproven_part_of_different_requests_is_the_cause_at_once() -> None:
    crashes = Crashes()
    for number in range(3):
        assert crashes.find(10.0 + number) == {}
        crashes.add(10.0 + number, make_run(f"r{number}", "deadly", proven=(f"p{number}",)))
    assert crashes.find(12.1) == {DEADLY: 3}


def test_crashes_of_one_request_are_not_attributed_to_its_parts() -> None:
    crashes = Crashes()
    for number in range(6):
        crashes.add(10.0 + number, make_run("same", "deadly"), make_run(f"beside{number}", f"rare{number}"))
    assert crashes.find(60.0) == {}


def test_request_that_is_sent_again_and_another_one_reveal_their_common_part() -> None:
    crashes = Crashes()
    for number in range(4):
        crashes.add(10.0 + 0.2 * number, make_run("first", "deadly", "a"))
    assert crashes.find(10.7) == {}
    crashes.add(11.0, make_run("second", "deadly", "b"))
    assert crashes.find(11.1) == {DEADLY: 5}


def test_shared_part_that_succeeds_after_each_crash_is_never_the_cause() -> None:
    crashes = Crashes()
    for number in range(12):
        crashes.add(10.0 + number, make_run(f"r{number}", proven=("shared",)))
        crashes.succeed("shared", 10.1 + number)
        crashes.succeed("service", 10.1 + number)
    assert crashes.find(40.0) == {}


def test_success_of_a_run_that_began_before_the_crash_refutes_nothing() -> None:
    crashes = Crashes()
    for number in range(3):
        crashes.add(10.0 + number, make_run(f"r{number}", "deadly"))
    crashes.succeed("deadly", 9.9)
    crashes.succeed("service", 12.5)
    assert crashes.find(20.0) == {}, "proven now, so it takes more crashes"
    crashes.add(13.0, make_run("r3", "deadly"))
    assert crashes.find(20.0) == {DEADLY: 4}


def test_success_at_another_version_refutes_nothing() -> None:
    crashes = Crashes()
    for number in range(4):
        crashes.add(10.0 + number, make_run(f"r{number}", proven=("deadly",)), version="v2")
        crashes.succeed("deadly", 10.5 + number, "v1")
        crashes.succeed("service", 10.5 + number, "v2")
    assert crashes.find(20.0) == {DEADLY: 4}


def test_proven_part_is_the_cause_only_once_a_success_would_be_known() -> None:
    crashes = Crashes()
    for number in range(5):
        crashes.add(10.0 + 0.1 * number, make_run(f"r{number}", proven=("deadly",)))
    crashes.succeed("service", 11.0)
    assert crashes.find(11.0 + OBSERVATION_S - 0.1) == {}
    assert crashes.find(11.0 + OBSERVATION_S + 0.1) == {DEADLY: 5}


def test_shared_part_is_not_held_in_the_moment_in_which_another_one_succeeds_first() -> None:
    crashes = Crashes()
    for number in range(12):
        crashes.add(10.0 + 0.005 * number, make_run(f"r{number}", proven=("shared",), ms=500))
    crashes.succeed("service", 13.1)
    assert crashes.find(14.4) == {}
    crashes.succeed("shared", 13.2)
    assert crashes.find(20.0) == {}


def test_nothing_is_the_cause_while_no_request_of_the_service_succeeds() -> None:
    crashes = Crashes()
    for number in range(12):
        crashes.add(10.0 + number, make_run(f"r{number}", proven=("shared",), ms=500))
    assert crashes.find(40.0) == {}


def test_success_at_another_version_tells_nothing_of_a_part_that_all_requests_share() -> None:
    crashes = Crashes()
    for number in range(8):
        crashes.add(10.0 + 0.5 * number, make_run(f"r{number}", proven=("shared",)), version=f"v{1 + number % 2}")
        for part in ("shared", "service"):
            crashes.succeed(part, 10.1 + 0.5 * number, "v2")
    crashes.add(14.5, make_run("last", proven=("shared",)), version="v2")
    assert crashes.find(20.0) == {}


def test_short_runs_tell_the_cause_where_no_run_lives_long_enough_to_succeed() -> None:
    crashes = Crashes()
    for number in range(8):
        at = 10.0 + 0.4 * number
        crashes.add(
            at,
            make_run(f"r{number}", proven=("deadly", f"p{number}"), ms=60),
            make_run(f"s{number}", proven=("shared",), ms=300),
        )
    assert crashes.find(14.0) == {DEADLY: 8}


def test_simultaneous_crashes_are_attributed_only_without_a_later_success() -> None:
    crashes = Crashes()
    for number in range(5):
        crashes.add(10.0 + 0.005 * number, make_run(f"r{number}", "deadly"))
    assert crashes.find(11.0) == {}
    assert crashes.find(10.1 + OBSERVATION_S) == {DEADLY: 5}
    crashes.succeed("deadly", 10.5)
    assert crashes.find(10.1 + OBSERVATION_S) == {}


def test_two_parts_are_both_found() -> None:
    crashes = Crashes()
    for number in range(3):
        crashes.add(10.0 + 2 * number, make_run(f"r{number}", "deadly", f"a{number}"))
        crashes.add(11.0 + 2 * number, make_run(f"q{number}", "fatal", f"b{number}"))
    assert crashes.find(20.0) == {DEADLY: 3, digest("fatal"): 3}


def test_parts_that_stand_together_always_are_held_together_only() -> None:
    crashes = Crashes()
    for number in range(3):
        crashes.add(10.0 + number, make_run(f"r{number}", "deadly", "companion", f"a{number}"))
    assert crashes.find(20.0) == {combine([DEADLY, digest("companion")]): 3}
    crashes.add(14.0, make_run("r3", "deadly"))
    assert crashes.find(20.0) == {DEADLY: 4}


def test_part_is_held_for_the_only_workspace_that_crashed_upstreams_with_it() -> None:
    crashes = Crashes()
    for number in range(3):
        crashes.add(10.0 + number, make_run(f"r{number}", "deadly", workspace="alpha"))
    assert crashes.find(20.0) == {combine([DEADLY, digest("alpha")]): 3}
    crashes.add(14.0, make_run("r3", "deadly", workspace="beta"))
    assert crashes.find(20.0) == {DEADLY: 4}


@pytest.mark.parametrize("seed", range(20))
def test_part_is_found_among_drawn_ones_and_no_other_is_held(seed: int) -> None:
    rng = random.Random(seed)
    crashes = Crashes()
    common = [f"c{number}" for number in range(8)]
    for name in (*common, "service"):
        crashes.succeed(name, 5.0)
    at = 10.0
    for number in range(12):
        at += rng.uniform(0.05, 1.5)
        runs = [make_run(f"d{number}", "deadly", proven=tuple(rng.sample(common, 3)), ms=rng.randint(40, 150))]
        for other in range(rng.randint(0, 6)):
            rare = (f"x{rng.randrange(50)}",)
            runs.append(
                make_run(f"s{number}-{other}", *rare, proven=tuple(rng.sample(common, 2)), ms=rng.randint(20, 2000))
            )
        crashes.add(at, *runs)
        for name in common:
            crashes.succeed(name, at - 1.0)
    assert crashes.find(at + 0.3) == {DEADLY: 12}

"""Attribute crashes of upstreams to parts of prompts that different requests have in common.

A crash interrupts all requests on the upstream, so it names the parts of all their prompts. The part that caused
several crashes is told from others by the crashes that it was part of and by successes: a part that many requests share
soon succeeds on another upstream, one that crashes upstreams never does.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.quarantine.attribution import MIN_CRASHES, MIN_UNEXPLAINED_CRASHES, number_moments
from beamhatch.relay.quarantine.digests import MAX_COMBINED, combine

if TYPE_CHECKING:
    from collections.abc import Sequence

    from beamhatch.relay.model import Fingerprint
    from beamhatch.relay.quarantine.crash_index import CrashIndex
    from beamhatch.relay.quarantine.ends import BrokenRun, Prompt, UpstreamCrash
    from beamhatch.relay.quarantine.part_successes import PartSuccesses

MIN_REQUESTS = 2
"""Minimum number of different requests with a part; crashes of a single request are attributed to that request."""

MIN_CRASHES_OF_PROVEN = 4
"""Minimum number of crashes for a part that was used without a crash before."""

OBSERVATION_S = 2.2
"""Time in seconds after the first crash of a part in which a success may show that it is not the cause.

A stream that begins right after the crash has responded for ``MIN_RESPONSE_S`` by then, and peers have been told. It is
skipped for an unproven part that was part of enough crashes at different times.
"""

LONGER_RUN_FACTOR = 2.0
"""Factor by which a run without a part must last longer than all runs with it to suggest that the part is the cause."""

MAX_COMPARED_CRASHES = 32
"""Maximum number of crashes whose runs are compared."""


@dataclass(frozen=True, slots=True)
class PartCause:
    """A combination of properties that crashes are attributed to."""

    crash_count: int
    last_at: float
    """Time of the last crash, on the monotonic clock."""


@dataclass(slots=True)
class PartCauses:
    """Result of an attribution."""

    causes: dict[Fingerprint, PartCause] = field(default_factory=dict)
    """Causes by the fingerprint of the combination."""
    explained: set[int] = field(default_factory=set)
    """Indices of the crashes that they explain."""


@dataclass(slots=True)
class _Suspect:
    """A part, with the runs of crashes that are not refuted by a later success of the part."""

    part: Fingerprint
    runs: list[tuple[int, BrokenRun, Prompt]] = field(default_factory=list)
    """Index of the crash, the run, and the prompt of the run."""

    @property
    def crashes(self) -> set[int]:
        """Return the indices of the crashes."""
        return {index for index, _, _ in self.runs}

    @property
    def is_due_to_one_request(self) -> bool:
        """Return whether one request was part of all the crashes, so that the part needs not be the cause."""
        by_request: defaultdict[Fingerprint, set[int]] = defaultdict(set)
        for index, run, _ in self.runs:
            by_request[run.fingerprint].add(index)
        return len(by_request) < MIN_REQUESTS or max(map(len, by_request.values())) == len(self.crashes)

    def compute_mean_duration(self) -> float:
        """Return the mean over the crashes of the shortest run with the part, in milliseconds."""
        shortest: dict[int, int] = {}
        for index, run, _ in self.runs:
            shortest[index] = min(run.duration_ms, shortest.get(index, run.duration_ms))
        return sum(shortest.values()) / len(shortest)


class PartAttribution:
    """Attribution by a greedy set cover of the crashes, with unproven parts before others."""

    def __init__(self, successes: PartSuccesses, index: CrashIndex) -> None:
        self._successes = successes
        self._index = index

    def find_causes(self, crashes: Sequence[UpstreamCrash], now: float) -> PartCauses:
        """Return the combinations of parts that caused the crashes, which must be ordered by time."""
        result = PartCauses()
        suspects = self._list_suspects(crashes)
        if not suspects:
            return result
        moments = number_moments(crashes)
        unproven = [one for one in suspects if self._is_unproven(one)]
        ready = [
            one
            for one in unproven
            if len({moments[index] for index in one.crashes}) >= MIN_CRASHES or _is_observed(one, crashes, now)
        ]
        self._cover(ready, crashes, result, MIN_UNEXPLAINED_CRASHES)
        proven = [one for one in suspects if one not in unproven and self._is_contrasted(one, crashes, now)]
        self._cover(proven, crashes, result, MIN_CRASHES)
        return result

    def list_unrefuted(self, parts: Sequence[Fingerprint], crashes: Sequence[UpstreamCrash]) -> set[int]:
        """Return the indices of the crashes that no later success of one of the parts refutes."""
        return {
            index
            for index, crash in enumerate(crashes)
            if not any(self._successes.has_since(part, crash.version, crash.at) for part in parts)
        }

    def list_suspicious(self) -> set[Fingerprint]:
        """Return the parts and services whose next success is news to peers."""
        return {
            part for part in self._index.repeated if len(self._list_unrefuted_crashes(part)) >= MIN_UNEXPLAINED_CRASHES
        }

    def _list_unrefuted_crashes(self, part: Fingerprint) -> list[UpstreamCrash]:
        return [
            crash for crash in self._index.get(part) if not self._successes.has_since(part, crash.version, crash.at)
        ]

    def _list_suspects(self, crashes: Sequence[UpstreamCrash]) -> list[_Suspect]:
        """Return the parts with enough crashes that no success refutes, over enough requests."""
        suspects = {
            part: _Suspect(part)
            for part in self._index.repeated
            if len(self._list_unrefuted_crashes(part)) >= MIN_CRASHES
        }
        for index, crash in enumerate(crashes) if suspects else ():
            for run, prompt in crash.list_runs_with_prompt():
                for part in prompt.parts:
                    if part in suspects and not self._successes.has_since(part, crash.version, crash.at):
                        suspects[part].runs.append((index, run, prompt))
        return [one for one in suspects.values() if one.runs and not one.is_due_to_one_request]

    def _is_unproven(self, suspect: _Suspect) -> bool:
        """Return whether a part is known to be without a success at a VM, and no VM is known to have had one."""
        prompts = [prompt for _, _, prompt in suspect.runs]
        return (
            not self._successes.has_any(suspect.part)
            and any(suspect.part in prompt.unproven for prompt in prompts)
            and not any(suspect.part in prompt.proven for prompt in prompts)
        )

    def _is_contrasted(self, suspect: _Suspect, crashes: Sequence[UpstreamCrash], now: float) -> bool:
        """Return whether other requests of the service fared better since the first crash of a part.

        If none does, nothing distinguishes the part.
        """
        if len(suspect.crashes) < MIN_CRASHES_OF_PROVEN or not _is_observed(suspect, crashes, now):
            return False
        # A success of the service after a crash that no success of the part refutes was one without the part. The part
        # has had time to succeed since.
        latest = now - OBSERVATION_S
        others_succeeded = any(crashes[index].recovered_at <= latest for index in suspect.crashes)
        return others_succeeded or _has_shorter_runs(suspect, crashes)

    def _cover(
        self, suspects: list[_Suspect], crashes: Sequence[UpstreamCrash], result: PartCauses, min_unexplained: int
    ) -> None:
        """Add the suspects to the result that explain the most crashes, one after the other."""
        left = {one.part: (one, one.crashes - result.explained) for one in suspects}
        while left := {part: found for part, found in left.items() if len(found[1]) >= min_unexplained}:
            # On a tie, prefer the shortest mean run: a part that crashes upstreams has short runs.
            best, _ = min(
                left.values(), key=lambda found: (-len(found[1]), found[0].compute_mean_duration(), found[0].part)
            )
            explained = best.crashes
            last_at = max(crashes[index].at for index in explained)
            cause = PartCause(len(explained), last_at)
            result.causes[self._combine_with_companions(best, crashes)] = cause
            result.explained |= explained
            left = {part: (one, unexplained - explained) for part, (one, unexplained) in left.items()}

    def _combine_with_companions(self, suspect: _Suspect, crashes: Sequence[UpstreamCrash]) -> Fingerprint:
        """Return the combination of a part with what all its runs have in common.

        Crashes can't tell these properties apart, and the fewest requests have all of them.
        """
        prompts = [prompt for _, _, prompt in suspect.runs]
        common = set(prompts[0].parts).intersection(*(prompt.parts for prompt in prompts)) - {suspect.part}
        companions = [
            part
            for part in common
            if len(self.list_unrefuted([part], crashes) & suspect.crashes) == len(suspect.crashes)
        ]
        workspaces = {prompt.workspace for prompt in prompts}
        if len(workspaces) == 1 and None not in workspaces:
            companions = [*(one for one in workspaces if one is not None), *companions]
        unproven = set(prompts[0].unproven)
        companions.sort(key=lambda one: (one not in workspaces, one not in unproven, one))
        return combine([suspect.part, *companions[: MAX_COMBINED - 1]])


def _is_observed(suspect: _Suspect, crashes: Sequence[UpstreamCrash], now: float) -> bool:
    """Return whether a success after the first crash of a part would be known by now."""
    return now - min(crashes[index].at for index in suspect.crashes) >= OBSERVATION_S


def _has_shorter_runs(suspect: _Suspect, crashes: Sequence[UpstreamCrash]) -> bool:
    """Return whether upstreams crash soon after any run with a part begins, and run others for longer before.

    Runs that began before the first crash of the part are left out, and so are all but the newest crashes.
    """
    first = max(0, len(crashes) - MAX_COMPARED_CRASHES)
    since = min(crashes[index].at for index in suspect.crashes)
    longest_ms = 0
    with_part: set[int] = set()
    others: list[tuple[int, int]] = []
    for index, crash in enumerate(crashes[first:]):
        for run, prompt in crash.list_runs_with_prompt():
            if crash.at - run.duration_ms / 1000 <= since:
                continue
            if suspect.part in prompt.parts:
                with_part.add(index)
                longest_ms = max(longest_ms, run.duration_ms)
            else:
                others.append((index, run.duration_ms))
    longer = {index for index, duration_ms in others if duration_ms > LONGER_RUN_FACTOR * longest_ms}
    return min(len(with_part), len(longer)) >= MIN_CRASHES

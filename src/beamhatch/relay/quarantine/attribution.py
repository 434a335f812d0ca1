"""Attribute crashes of upstreams to the requests that caused them.

When an upstream crashes, all requests that run on it fail. The request that caused the crash is distinguished from the
co-running ones by the other crashes that each of them was part of.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence, Set

    from beamhatch.relay.model import Fingerprint
    from beamhatch.relay.quarantine.ends import UpstreamCrash

MIN_CRASHES = 3
"""Minimum number of crashes for a request to be taken as their cause.

With a minimum of two, a stream that ran beside a crash-inducing request twice would be quarantined, too.
"""

MIN_UNEXPLAINED_CRASHES = 2
"""Minimum number of these crashes that are not explained by a request selected before.

Lower than ``MIN_CRASHES``, as two crash-inducing requests may run on the same upstream when it crashes.
"""

SAME_CAUSE_WINDOW_S = 0.05
"""Crashes within this time of the first one, in seconds, count as one.

They have a common cause such as a power loss. A retried request takes longer than this to crash the next upstream.
Upstreams that lose power together crash within milliseconds; a retry takes 0.1 s or more.
"""

Causes = dict["Fingerprint", int]
"""The requests taken as causes, with the number of crashes that each was part of."""


class Attribution(ABC):
    """Algorithm that finds the requests that caused a sequence of crashes."""

    @abstractmethod
    def find_causes(self, crashes: Sequence[UpstreamCrash], explained: Set[int] = frozenset()) -> Causes:
        """Return the requests that caused the crashes, which must be ordered by time.

        :param explained: indices of crashes that have another cause
        """


class CountAttribution(Attribution):
    """Attribution to every request that was part of enough crashes, whether or not another request explains them."""

    def find_causes(self, crashes: Sequence[UpstreamCrash], explained: Set[int] = frozenset()) -> Causes:
        """Return all requests that were part of at least ``MIN_CRASHES`` crashes."""
        groups, _ = _group_crashes(crashes)
        return {fingerprint: len(indices) for fingerprint, indices in groups.items() if len(indices) >= MIN_CRASHES}


class CoverAttribution(Attribution):
    """Attribution by a greedy set cover of the crashes.

    Selects the request that was part of the most crashes, then the one that was part of the most remaining crashes, and
    so on. A crash of a selected request no longer counts in the selection of others.
    """

    def find_causes(self, crashes: Sequence[UpstreamCrash], explained: Set[int] = frozenset()) -> Causes:
        """Return the requests that the greedy cover selects."""
        groups, total_durations = _group_crashes(crashes)
        moments = number_moments(crashes)
        explained_moments = {moments[index] for index in explained}
        min_unexplained = MIN_UNEXPLAINED_CRASHES if explained else MIN_CRASHES
        unexplained = {
            one: set(indices) - explained_moments for one, indices in groups.items() if len(indices) >= MIN_CRASHES
        }
        unexplained = {one: indices for one, indices in unexplained.items() if len(indices) >= min_unexplained}
        causes: Causes = {}
        while unexplained:
            # On a tie, prefer the shortest mean run: a crash-inducing request has short runs.
            best = min(
                unexplained,
                key=lambda one: (-len(unexplained[one]), total_durations[one] / len(groups[one]), one),
            )
            explained = unexplained.pop(best)
            causes[best] = len(groups[best])
            remaining = {one: indices - explained for one, indices in unexplained.items()}
            unexplained = {
                one: indices for one, indices in remaining.items() if len(indices) >= MIN_UNEXPLAINED_CRASHES
            }
        return causes


def number_moments(crashes: Iterable[UpstreamCrash]) -> list[int]:
    """Return the number of each crash's moment; those within ``SAME_CAUSE_WINDOW_S`` after a first one share it."""
    moments: list[int] = []
    moment = -1
    moment_start = float("-inf")
    for crash in crashes:
        if crash.at - moment_start >= SAME_CAUSE_WINDOW_S:
            moment += 1
            moment_start = crash.at
        moments.append(moment)
    return moments


def _group_crashes(
    crashes: Sequence[UpstreamCrash],
) -> tuple[Mapping[Fingerprint, set[int]], Mapping[Fingerprint, float]]:
    """Return the moments of the crashes that each request was part of, and the total seconds that it ran in them."""
    groups: defaultdict[Fingerprint, set[int]] = defaultdict(set)
    total_durations: defaultdict[Fingerprint, float] = defaultdict(float)
    for crash, moment in zip(crashes, number_moments(crashes), strict=True):
        for fingerprint, seconds in crash.run_durations.items():
            groups[fingerprint].add(moment)
            total_durations[fingerprint] += seconds
    return groups, total_durations

"""Attribute crashes of upstreams to the requests that caused them.

Every request that runs on an upstream breaks when it crashes. The cause is told apart from co-running requests by the
other crashes that each was part of.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from beamhatch.relay.model import Fingerprint
    from beamhatch.relay.quarantine.ends import UpstreamCrash

MIN_CRASHES = 3
"""Minimum number of crashes for a request to be taken as their cause.

Two would also quarantine a stream that ran beside a crash-inducing request twice.
"""

MIN_UNEXPLAINED_CRASHES = 2
"""Minimum number of these crashes that no other request explains.

Two crash-inducing requests may run on the same upstream when it crashes.
"""

SAME_CAUSE_WINDOW_S = 0.05
"""Crashes that start within this time of each other have one cause, such as a power loss.

A request that crashes upstreams one after the other needs longer to be processed in between.
"""

Causes = dict["Fingerprint", int]
"""The requests taken as causes, with the number of crashes that each was part of."""


class Attribution(ABC):
    """Finds the requests that caused a sequence of crashes."""

    @abstractmethod
    def find_causes(self, crashes: Iterable[UpstreamCrash]) -> Causes:
        """Return the requests that explain enough of the crashes, which must be ordered by time."""


class CountAttribution(Attribution):
    """Attribution to every request that was part of enough crashes, regardless of co-running requests."""

    def find_causes(self, crashes: Iterable[UpstreamCrash]) -> Causes:
        """Return all requests that were part of at least ``MIN_CRASHES`` crashes."""
        groups, _ = _group_crashes(crashes)
        return {found: len(moments) for found, moments in groups.items() if len(moments) >= MIN_CRASHES}


class CoverAttribution(Attribution):
    """Attribution by a greedy set cover of the crashes.

    Selects the request that explains the most crashes, then the one that explains the most of those left. A crash that
    is explained counts against no other request.
    """

    def find_causes(self, crashes: Iterable[UpstreamCrash]) -> Causes:
        """Return the requests that the greedy cover selects."""
        groups, total_durations = _group_crashes(crashes)
        unexplained = {found: set(moments) for found, moments in groups.items() if len(moments) >= MIN_CRASHES}
        causes: Causes = {}
        while unexplained:
            # On a tie, prefer the shortest mean run: a crash-inducing request has short runs.
            best = min(
                unexplained,
                key=lambda found: (-len(unexplained[found]), total_durations[found] / len(groups[found]), found),
            )
            explained = unexplained.pop(best)
            causes[best] = len(groups[best])
            remaining = {found: moments - explained for found, moments in unexplained.items()}
            unexplained = {found: rest for found, rest in remaining.items() if len(rest) >= MIN_UNEXPLAINED_CRASHES}
        return causes


def _group_crashes(
    crashes: Iterable[UpstreamCrash],
) -> tuple[Mapping[Fingerprint, set[int]], Mapping[Fingerprint, float]]:
    """Return the crash groups that each request was part of, and the total seconds that it ran.

    Crashes within ``SAME_CAUSE_WINDOW_S`` form one group, identified by its index.
    """
    groups: defaultdict[Fingerprint, set[int]] = defaultdict(set)
    total_durations: defaultdict[Fingerprint, float] = defaultdict(float)
    group = -1
    group_start = float("-inf")
    for crash in crashes:
        if crash.at - group_start >= SAME_CAUSE_WINDOW_S:
            group += 1
            group_start = crash.at
        for fingerprint, seconds in crash.run_durations.items():
            groups[fingerprint].add(group)
            total_durations[fingerprint] += seconds
    return groups, total_durations

"""Tell a peer in another hall only what it was not told yet, and put together what such a peer tells.

Bytes between halls and regions are priced, those within a hall are not. A connection brings all that is sent on it, in
order, or ends; so each end knows what the other one was told, and a beat that has nothing new is a sign of life of some
bytes. With a connection both ends forget, and the first beat on the next one has everything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.fleet.gossip_message import Beat, DemandReport

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from beamhatch.relay.engines.changing import ChangeNews
    from beamhatch.relay.fleet.evacuations import Evacuation
    from beamhatch.relay.fleet.membership import Member
    from beamhatch.relay.model import Incarnation

DEMAND_CHANGE = 0.25
"""Share by which a figure of a report has to change to be told: the sum over tens of VMs is nearer than that."""

LEAST_TOLD_FIGURE = 0.2
"""What a figure has to change by at the least, in its unit, is that share of this: 0.05 waits or seconds."""

FAULT_CHANGE = 0.1
"""How far an upstream's share of faults has to rise to be told at once; both ends let it fade alike."""

REPEAT_TIME = 2.0
"""Seconds behind which faults and changes of engines that last are told again: the receiver may not have had the
upstream's entry, or have forgotten."""

SIGN_OF_LIFE = Beat()
"""A beat that tells nothing new."""


@dataclass(slots=True)
class HeardWords:
    """What a peer told on one connection so far."""

    version: int = 0
    revision: int = 0
    adds_up: bool = False
    """Whether the peer adds up what its hall tells."""
    demands: dict[str, DemandReport] = field(default_factory=dict)
    reading: dict[str, int] = field(default_factory=dict)

    def take(self, beat: Beat) -> None:
        """Take in the news of a beat."""
        if beat.version is not None:
            self.version = beat.version
        if beat.revision is not None:
            self.revision = beat.revision
        if beat.adds_up is not None:
            self.adds_up = beat.adds_up
        if beat.reading is not None:
            self.reading = beat.reading
        self.demands.update(beat.demands)


@dataclass(slots=True)
class ToldWords:
    """What a peer was told on one connection so far."""

    _version: int | None = None
    _revision: int | None = None
    _adds_up: bool | None = None
    _reading: dict[str, int] | None = None
    _demands: dict[str, DemandReport] = field(default_factory=dict)
    _faulty: dict[str, tuple[float, float]] = field(default_factory=dict)
    """Share and time by upstream."""
    _changing: dict[str, tuple[ChangeNews, float]] = field(default_factory=dict)
    _evacuations: dict[str, int] | None = None
    """Revision by hall; None before any were told."""
    departures: set[Incarnation] = field(default_factory=set)
    """Lives of upstreams that leave of which both ends know."""
    mentioned: set[str] = field(default_factory=set)
    """Addresses of the VMs that it was told of, or told of itself."""

    def note_mentioned(self, members: Iterable[Member]) -> None:
        """Note that both ends know of some VMs."""
        self.mentioned.update(member.address for member in members)

    def pick_news(self, whole: Beat, now: float) -> Beat:
        """Return the part of a beat that the peer was not told yet, and take it as told."""
        evacuations = self._pick_evacuations(whole)
        news = Beat(
            None if whole.version == self._version else whole.version,
            None if whole.revision == self._revision else whole.revision,
            {name: report for name, report in whole.demands.items() if _differs(report, self._demands.get(name))},
            {name: share for name, share in whole.faulty.items() if self._is_fault_news(name, share, now)},
            {name: change for name, change in whole.changing.items() if self._is_change_news(name, change, now)},
            self.pick_reading(whole.reading or {}),
            whole.readings,
            evacuations,
            0 if evacuations is None else whole.evacuations_as_of,
            adds_up=None if whole.adds_up == self._adds_up else whole.adds_up,
        )
        self._version, self._revision, self._adds_up = whole.version, whole.revision, whole.adds_up
        self._demands.update(news.demands)
        self._faulty = {name: told for name, told in self._faulty.items() if now - told[1] < REPEAT_TIME}
        self._faulty.update({name: (share, now) for name, share in news.faulty.items()})
        self._changing = {name: told for name, told in self._changing.items() if name in whole.changing}
        self._changing.update({name: (change, now) for name, change in news.changing.items()})
        return news

    def pick_reading(self, reading: Mapping[str, int]) -> dict[str, int] | None:
        """Return what engines have to read where the peer was told otherwise, else None; it is taken as told."""
        if reading == (self._reading or {}):
            return None
        self._reading = dict(reading)
        return self._reading

    def forget_evacuations(self) -> None:
        """Tell all evacuations in the next beat, whatever was told."""
        self._evacuations = None

    def _is_fault_news(self, upstream: str, share: float, now: float) -> bool:
        told = self._faulty.get(upstream)
        return told is None or share >= told[0] + FAULT_CHANGE or now - told[1] >= REPEAT_TIME

    def _is_change_news(self, upstream: str, change: ChangeNews, now: float) -> bool:
        told = self._changing.get(upstream)
        if told is None or now - told[1] >= REPEAT_TIME:
            return True
        return (told[0].phase, told[0].certain) != (change.phase, change.certain)

    def _pick_evacuations(self, whole: Beat) -> list[Evacuation] | None:
        """Return all evacuations where any is news: what is told is of all halls, so that one that lacks has ended."""
        if whole.evacuations is None:
            return None
        told, self._evacuations = self._evacuations, {one.hall: one.revision for one in whole.evacuations}
        return None if told == self._evacuations else whole.evacuations


def _differs(report: DemandReport, told: DemandReport | None) -> bool:
    """Tell whether a report differs from what was told by more than the receiver can do without."""
    if told is None:
        return True
    pairs = zip(msgspec.structs.astuple(report), msgspec.structs.astuple(told), strict=True)
    return any(_is_change(value, before) for value, before in pairs)


def _is_change(value: float, before: float) -> bool:
    largest = max(abs(value), abs(before))
    return abs(value - before) > DEMAND_CHANGE * max(largest, LEAST_TOLD_FIGURE)

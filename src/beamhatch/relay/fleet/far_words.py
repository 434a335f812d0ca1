"""Per-connection state by which heartbeats between halls are reduced to what changed since the last one.

Traffic between halls and regions costs money. A connection delivers messages in order or closes, so the sender knows
what the receiver has. Both ends drop this state with the connection; the first heartbeat on a new one is complete.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.fleet.gossip_message import CarryingState, DemandReport, Heartbeat

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from beamhatch.relay.engines.changing import PhaseChangeUpdate
    from beamhatch.relay.fleet.evacuations import Evacuation
    from beamhatch.relay.fleet.membership import Member
    from beamhatch.relay.model import Incarnation

MIN_DEMAND_CHANGE = 0.25
"""Minimum relative change of a figure in a demand report for the report to be sent again."""

MIN_DEMAND_BASE = 0.2
"""Minimum denominator of a relative change, so that small changes of values close to zero are not sent."""

MIN_FAILURE_RATE_RISE = 0.1
"""Rise of an upstream's failure rate at which it is sent again at once.

A fall is not sent, because the receiver lets the rate decay over time.
"""

RESEND_INTERVAL_S = 2.0
"""Seconds after which failure rates and engine phase changes that persist are sent again.

The receiver lets failure rates decay, and ignores phase changes of engines that it does not know yet.
"""

EMPTY_HEARTBEAT = Heartbeat()
"""A heartbeat without changes."""


@dataclass(slots=True)
class ReceivedState:
    """The state received from a peer on one connection."""

    version: int = 0
    revision: int = 0
    is_aggregator: bool = False
    """Whether the peer aggregates the reports of its hall."""
    demands: dict[str, DemandReport] = field(default_factory=dict)
    prefill_backlog: dict[str, int] = field(default_factory=dict)
    carrying: CarryingState = field(default_factory=CarryingState)
    sheds: bool = False
    """Whether the peer refuses connections of callers because it is overloaded."""

    def apply(self, heartbeat: Heartbeat) -> None:
        """Apply the changes in a heartbeat."""
        if heartbeat.version is not None:
            self.version = heartbeat.version
        if heartbeat.revision is not None:
            self.revision = heartbeat.revision
        if heartbeat.adds_up is not None:
            self.is_aggregator = heartbeat.adds_up
        if heartbeat.reading is not None:
            self.prefill_backlog = heartbeat.reading
        if heartbeat.carrying is not None:
            self.carrying = heartbeat.carrying
        self.sheds = heartbeat.sheds
        self.demands.update(heartbeat.demands)


@dataclass(slots=True)
class SentState:
    """The state that a peer has, as sent to it or received from it on one connection."""

    _version: int | None = None
    _revision: int | None = None
    _is_aggregator: bool | None = None
    _carrying: CarryingState | None = None
    _prefill_backlog: dict[str, int] | None = None
    _demands: dict[str, DemandReport] = field(default_factory=dict)
    _failure_rates: dict[str, tuple[float, float]] = field(default_factory=dict)
    """Failure rate and time of sending, by upstream."""
    _phase_changes: dict[str, tuple[PhaseChangeUpdate, float]] = field(default_factory=dict)
    _evacuations: dict[str, int] | None = None
    """Revision by hall, as last sent; None if the next heartbeat is to include all evacuations."""
    departures: set[Incarnation] = field(default_factory=set)
    """Incarnations of departing upstreams that were sent to the peer or received from it."""
    known_addresses: set[str] = field(default_factory=set)
    """Addresses of the members that both ends know."""

    def record_known(self, members: Iterable[Member]) -> None:
        """Record members that both ends know."""
        self.known_addresses.update(member.address for member in members)

    def select_changes(self, heartbeat: Heartbeat, now: float) -> Heartbeat:
        """Reduce a heartbeat to what the peer does not have yet, and record that as sent."""
        evacuations = self._select_evacuations(heartbeat)
        changes = Heartbeat(
            None if heartbeat.version == self._version else heartbeat.version,
            None if heartbeat.revision == self._revision else heartbeat.revision,
            {name: report for name, report in heartbeat.demands.items() if _differs(report, self._demands.get(name))},
            {name: rate for name, rate in heartbeat.faulty.items() if self._is_failure_rate_due(name, rate, now)},
            {
                name: change
                for name, change in heartbeat.changing.items()
                if self._is_phase_change_due(name, change, now)
            },
            self.select_backlog(heartbeat.reading or {}),
            heartbeat.readings,
            evacuations,
            0 if evacuations is None else heartbeat.evacuations_as_of,
            adds_up=None if heartbeat.adds_up == self._is_aggregator else heartbeat.adds_up,
            carrying=None if heartbeat.carrying == self._carrying else heartbeat.carrying,
        )
        self._carrying = heartbeat.carrying
        self._version, self._revision, self._is_aggregator = heartbeat.version, heartbeat.revision, heartbeat.adds_up
        self._demands.update(changes.demands)
        self._failure_rates = {
            name: sent for name, sent in self._failure_rates.items() if now - sent[1] < RESEND_INTERVAL_S
        }
        self._failure_rates.update({name: (rate, now) for name, rate in changes.faulty.items()})
        self._phase_changes = {name: sent for name, sent in self._phase_changes.items() if name in heartbeat.changing}
        self._phase_changes.update({name: (change, now) for name, change in changes.changing.items()})
        return changes

    def select_backlog(self, backlog: Mapping[str, int]) -> dict[str, int] | None:
        """Return the prefill backlog and record it as sent, or return None if it is unchanged."""
        if backlog == (self._prefill_backlog or {}):
            return None
        self._prefill_backlog = dict(backlog)
        return self._prefill_backlog

    def reset_evacuations(self) -> None:
        """Have the next heartbeat include all evacuations."""
        self._evacuations = None

    def _is_failure_rate_due(self, upstream: str, rate: float, now: float) -> bool:
        sent = self._failure_rates.get(upstream)
        return sent is None or rate >= sent[0] + MIN_FAILURE_RATE_RISE or now - sent[1] >= RESEND_INTERVAL_S

    def _is_phase_change_due(self, upstream: str, change: PhaseChangeUpdate, now: float) -> bool:
        sent = self._phase_changes.get(upstream)
        if sent is None or now - sent[1] >= RESEND_INTERVAL_S:
            return True
        return (sent[0].phase, sent[0].confirmed) != (change.phase, change.confirmed)

    def _select_evacuations(self, heartbeat: Heartbeat) -> list[Evacuation] | None:
        """Return all evacuations if any changed, else None.

        The list is complete, because the receiver ends evacuations that are missing from it.
        """
        if heartbeat.evacuations is None:
            return None
        sent, self._evacuations = self._evacuations, {one.hall: one.revision for one in heartbeat.evacuations}
        return None if sent == self._evacuations else heartbeat.evacuations


def _differs(report: DemandReport, sent: DemandReport | None) -> bool:
    """Return whether a report differs enough from the last one that was sent to be sent again."""
    if sent is None:
        return True
    pairs = zip(msgspec.structs.astuple(report), msgspec.structs.astuple(sent), strict=True)
    return any(_has_changed_enough(value, before) for value, before in pairs)


def _has_changed_enough(value: float, before: float) -> bool:
    largest = max(abs(value), abs(before))
    return abs(value - before) > MIN_DEMAND_CHANGE * max(largest, MIN_DEMAND_BASE)

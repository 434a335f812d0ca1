"""Exchanges rate limits and request counts with peers.

Each VM sends its own changes to all peers at once. All VMs forward limits, which seldom change; only the VMs that
aggregate the usage of their hall forward counts, so traffic grows with the number of VMs rather than with the number of
connections.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from beamhatch.relay.fleet.gossip_message import MAX_LIMITS, LimitUpdate

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from beamhatch.clock import Clock
    from beamhatch.relay.fleet.peer_connection import PeerConnection
    from beamhatch.relay.limits.words import LimitState, RequestCount
    from beamhatch.relay.upstreams.announcements import Announcements

MIN_BATCH_DELAY_S = 0.005
"""Minimum seconds for which updates are collected into one message.

Less than the delay of a message between regions.
"""

MAX_BATCH_DELAY_S = 0.25
"""Maximum seconds for which updates are collected into one message."""

BATCH_DELAY_PER_ITEM_S = 0.003
"""Seconds of delay per item of the previous message, which bounds the bandwidth of a connection."""


class _ReceivedUpdate(NamedTuple):
    """The new items in an update from a peer."""

    source: PeerConnection
    states: list[LimitState]
    counts: list[RequestCount]


class LimitGossip:
    """Sender and receiver of limit updates on one VM."""

    def __init__(self, clock: Clock, announcements: Announcements) -> None:
        self._clock = clock
        self._announcements = announcements
        self._limits = announcements.limits
        self._to_forward: list[_ReceivedUpdate] = []
        """Updates to forward with the next message."""
        self._is_scheduled = False
        self._delay = MIN_BATCH_DELAY_S
        self.list_connections: Callable[[], Iterable[PeerConnection]] = list
        """Returns the established connections to peers."""
        self.forwards_counts: Callable[[], bool] = lambda: True
        """Returns whether this VM forwards the counts of others."""
        self._limits.on_update = self.schedule_send

    def schedule_send(self) -> None:
        """Schedule a message to peers unless one is scheduled already."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self._clock.call_later(self._delay, self._send)

    def send_all(self, connection: PeerConnection) -> None:
        """Send the known limits to a new peer."""
        states = self._limits.list_states(self._clock.now())[-MAX_LIMITS:]
        if states:
            connection.send(LimitUpdate(states))

    def handle_update(self, connection: PeerConnection, message: LimitUpdate) -> None:
        """Apply an update from a peer and forward what is new."""
        now = self._clock.now()
        source = f"peer {connection.vm}"
        received_states = message.words[:MAX_LIMITS]
        states = [state for state in received_states if self._announcements.apply_limit_state(state, source)]
        applied = (self._limits.apply_count(one, now) for one in message.spent[:MAX_LIMITS])
        counts = [one for one in applied if one is not None]
        if not self.forwards_counts():
            counts = []
        if states or counts:
            self._to_forward.append(_ReceivedUpdate(connection, states, counts))
            self.schedule_send()

    def _send(self) -> None:
        self._is_scheduled = False
        own_states, own_counts = self._limits.drain_pending()
        received, self._to_forward = self._to_forward, []
        items = len(own_states) + len(own_counts) + sum(len(one.states) + len(one.counts) for one in received)
        self._delay = min(MAX_BATCH_DELAY_S, max(MIN_BATCH_DELAY_S, items * BATCH_DELAY_PER_ITEM_S))
        for connection in self.list_connections():
            others = [one for one in received if one.source is not connection]
            states = [*own_states, *(state for one in others for state in one.states)]
            counts = [*own_counts, *(count for one in others for count in one.counts)]
            if not connection.is_aggregator:
                counts = [
                    count for count in counts if self._limits.may_be_sender(count.incarnation_key, connection.address)
                ]
            for start in range(0, max(len(states), len(counts)), MAX_LIMITS):
                batch = slice(start, start + MAX_LIMITS)
                connection.send(LimitUpdate(states[batch], counts[batch]))

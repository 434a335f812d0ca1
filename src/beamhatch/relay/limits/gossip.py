"""Tell peers which limits upstreams name, and what was sent by them.

Each VM tells at once what it has heard or sent itself. Limits, which seldom change, are handed on by all, and what was
sent by those that add up what their hall tells: each VM has a connection to two of these, and they have some to those
of other halls. So the others know of a request within some hops, and its bytes grow with the VMs and not with their
connections.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from beamhatch.relay.fleet.gossip_message import MOST_TOLD_LIMITS, LimitNews

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from beamhatch.clock import Clock
    from beamhatch.relay.fleet.peer_connection import PeerConnection
    from beamhatch.relay.limits.messages import LimitState, RequestCount
    from beamhatch.relay.upstreams.announcements import Announcements

MIN_BATCH_DELAY_S = 0.005
"""Seconds in which what is news is put into one message: less than a message travels between regions."""

MAX_BATCH_DELAY_S = 0.25
"""Seconds for which news are put together at the most."""

BATCH_DELAY_PER_ITEM_S = 0.003
"""Seconds for which they are put together for each one of the last message: 5 KB a second on a connection or so."""


class _ReceivedUpdate(NamedTuple):
    """What a peer told, and was news here."""

    source: PeerConnection
    states: list[LimitState]
    counts: list[RequestCount]


class LimitGossip:
    """What one VM says and hears of limits."""

    def __init__(self, clock: Clock, announcements: Announcements) -> None:
        self._clock = clock
        self._announcements = announcements
        self._limits = announcements.limits
        self._to_forward: list[_ReceivedUpdate] = []
        """What is to be handed on."""
        self._is_scheduled = False
        self._delay = MIN_BATCH_DELAY_S
        self.list_connections: Callable[[], Iterable[PeerConnection]] = list
        """Returns the connections to peers that are up."""
        self.forwards_counts: Callable[[], bool] = lambda: True
        """Tells whether this VM hands on what others have sent."""
        self._limits.on_update = self.schedule_send

    def schedule_send(self) -> None:
        """Tell peers what has become known."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self._clock.call_later(self._delay, self._send)

    def send_all(self, connection: PeerConnection) -> None:
        """Tell a peer that was met all limits that are known."""
        states = self._limits.list_states(self._clock.now())[-MOST_TOLD_LIMITS:]
        if states:
            connection.tell(LimitNews(states))

    def handle_update(self, connection: PeerConnection, message: LimitNews) -> None:
        """Take in what a peer tells, and hand on what is news."""
        now = self._clock.now()
        source = f"peer {connection.vm}"
        received_states = message.words[:MOST_TOLD_LIMITS]
        states = [word for word in received_states if self._announcements.take_limit_word(word, source)]
        applied = (self._limits.apply_count(one, now) for one in message.spent[:MOST_TOLD_LIMITS])
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
            states = [*own_states, *(word for one in others for word in one.states)]
            counts = [*own_counts, *(count for one in others for count in one.counts)]
            if not connection.adds_up:
                counts = [
                    count for count in counts if self._limits.may_be_sender(count.incarnation_key, connection.address)
                ]
            for start in range(0, max(len(states), len(counts)), MOST_TOLD_LIMITS):
                batch = slice(start, start + MOST_TOLD_LIMITS)
                connection.tell(LimitNews(states[batch], counts[batch]))

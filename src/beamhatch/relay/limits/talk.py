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
    from beamhatch.relay.limits.words import LimitWord, Spent
    from beamhatch.relay.upstreams.announcements import Announcements

BATCH_DELAY = 0.005
"""Seconds in which what is news is put into one message: less than a message travels between regions."""

MOST_BATCH_DELAY = 0.25
"""Seconds for which news are put together at the most."""

ITEM_TIME = 0.003
"""Seconds for which they are put together for each one of the last message: 5 KB a second on a connection or so."""


class _Heard(NamedTuple):
    """What a peer told, and was news here."""

    source: PeerConnection
    words: list[LimitWord]
    spent: list[Spent]


class LimitTalk:
    """What one VM says and hears of limits."""

    def __init__(self, clock: Clock, announcements: Announcements) -> None:
        self._clock = clock
        self._announcements = announcements
        self._limits = announcements.limits
        self._heard: list[_Heard] = []
        """What is to be handed on."""
        self._is_due = False
        self._delay = BATCH_DELAY
        self.list_connections: Callable[[], Iterable[PeerConnection]] = list
        """Returns the connections to peers that are up."""
        self.hands_on: Callable[[], bool] = lambda: True
        """Tells whether this VM hands on what others have sent."""
        self._limits.on_news = self.tell_soon

    def tell_soon(self) -> None:
        """Tell peers what has become known."""
        if not self._is_due:
            self._is_due = True
            self._clock.call_later(self._delay, self._tell)

    def tell_all(self, connection: PeerConnection) -> None:
        """Tell a peer that was met all limits that are known."""
        words = self._limits.list_words(self._clock.now())[-MOST_TOLD_LIMITS:]
        if words:
            connection.tell(LimitNews(words))

    def take(self, connection: PeerConnection, message: LimitNews) -> None:
        """Take in what a peer tells, and hand on what is news."""
        now = self._clock.now()
        source = f"peer {connection.vm}"
        told = message.words[:MOST_TOLD_LIMITS]
        words = [word for word in told if self._announcements.apply_limit_state(word, source)]
        taken = (self._limits.take_spent(one, now) for one in message.spent[:MOST_TOLD_LIMITS])
        spent = [one for one in taken if one is not None]
        if not self.hands_on():
            spent = []
        if words or spent:
            self._heard.append(_Heard(connection, words, spent))
            self.tell_soon()

    def _tell(self) -> None:
        self._is_due = False
        words, spent = self._limits.take_untold()
        heard, self._heard = self._heard, []
        items = len(words) + len(spent) + sum(len(one.words) + len(one.spent) for one in heard)
        self._delay = min(MOST_BATCH_DELAY, max(BATCH_DELAY, items * ITEM_TIME))
        for connection in self.list_connections():
            others = [one for one in heard if one.source is not connection]
            here = [*words, *(word for one in others for word in one.words)]
            sent = [*spent, *(count for one in others for count in one.spent)]
            if not connection.adds_up:
                sent = [count for count in sent if self._limits.has_part(count.life, connection.address)]
            for start in range(0, max(len(here), len(sent)), MOST_TOLD_LIMITS):
                part = slice(start, start + MOST_TOLD_LIMITS)
                connection.tell(LimitNews(here[part], sent[part]))

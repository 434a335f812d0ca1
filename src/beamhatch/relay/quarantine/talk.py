"""What this VM sees, hears and says of requests that end upstreams.

Each VM tells its peers what it saw of an end; these tell theirs what is news to them. So all VMs that can reach each
other know the same, whichever VM a request came to. A peer that is met is told everything, behind a restart or a cut.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.fleet.gossip_message import QuarantineUpdate
from beamhatch.relay.fleet.throttle import Throttle
from beamhatch.relay.quarantine.detection import LEAST_RUN, EndDetection
from beamhatch.relay.quarantine.ends import SAME_END, EndNews
from beamhatch.relay.quarantine.quarantine import HOLD_TIME, ClearNews, HoldNews

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence, Set

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.fleet.peer_connection import PeerConnection
    from beamhatch.relay.model import Address, Fingerprint, Upstream
    from beamhatch.relay.quarantine.quarantine import Hold, Quarantine
    from beamhatch.relay.upstreams.http_client import Connection

TELL_GAP = 0.1
"""Seconds between two words to each peer: at 300 VMs an end takes a few of them, and not one for each stream."""

ATTRIBUTE_DELAY = 0.3
"""Seconds behind news of an end in which the parts of other VMs come in, before it is attributed.

News cross four VMs at the most; who stood beside the request that ended the upstream is known by then.
"""

TOLD_ENDS = 2
"""Ends of a request from which on its good end is told at once.

Most that stood beside once are streams that nobody asks for again: telling each would cost more than the ends. Whoever
knows of a good end says so when the request is named again, so that no three ends add up with a good end between them.
"""

MOST_TOLD_ENDS = 64
"""Ends that a peer is told of when it is met, the newest: 60 KB at the most."""

MOST_LOGGED = 8
"""Upstreams that one line names."""

Item = EndNews | ClearNews | HoldNews


@dataclass(frozen=True, slots=True)
class _Untold:
    item: Item
    source: PeerConnection | None
    """The connection on which it was told to this VM; None where it is this VM's own."""
    since: float


@dataclass(frozen=True, slots=True)
class TalkNeeds:
    """What the talk needs of the VM."""

    clock: Clock
    journal: Journal
    tally: Tally
    quarantine: Quarantine
    list_open: Callable[[Address], Set[Connection]]
    """Returns the connections to an upstream that are open."""
    end_waits: Callable[[Fingerprint], None]
    """Has all who wait with a request that is held be told so."""


class QuarantineTalk:
    """Keeps the quarantine of one VM, and what is said of it."""

    def __init__(self, needs: TalkNeeds) -> None:
        self._clock = needs.clock
        self._journal = needs.journal
        self._tally = needs.tally
        self.quarantine = needs.quarantine
        self._end_waits = needs.end_waits
        self.list_connections: Callable[[], Iterable[PeerConnection]] = list
        """Returns the connections to peers that are up."""
        self.hall = ""
        """The hall of this VM."""
        self.hands_on: Callable[[], bool] = lambda: True
        """Tells whether this VM hands on what peers tell: it watches the store, and all of its hall talk to it."""
        self.on_hold: Callable[[Fingerprint, bool], None] = lambda fingerprint, first: None
        """Called with a request that is held by ends that this VM saw itself, and whether it saw the last of them."""
        self.on_clear: Callable[[Fingerprint], None] = lambda fingerprint: None
        """Called with a request that came to a good end here, and whose quarantine the store keeps."""
        self._detection = EndDetection(needs.clock, needs.list_open, self._note_end)
        self._words = Throttle(needs.clock, TELL_GAP, self._tell)
        self._untold: list[_Untold] = []
        self._own: dict[Fingerprint, float] = {}
        """When a run of each request broke here last at an upstream's end."""
        self._pending = False

    # --- what this VM sees -------------------------------------------------------------------------------------------

    def note_broken(self, upstream: Upstream, fingerprint: Fingerprint, ran: float, *, begun: bool) -> None:
        """Note that the connection of a run has ended before its answer.

        :param begun: whether the upstream had begun to answer; where it never does before it is done, time must tell
        """
        if not begun and ran < LEAST_RUN:
            return
        if self.quarantine.is_good(fingerprint, self._clock.now()):
            self._tally.count("quarantine_excused_total")
            return
        self._detection.note_broken(upstream, fingerprint, ran)

    def note_good(self, fingerprint: Fingerprint) -> None:
        """Note that a run came to a good end."""
        now = self._clock.now()
        kept = self.quarantine.is_told(fingerprint, now)
        clearing = self.quarantine.note_good(fingerprint, now)
        if clearing is None:
            return
        if clearing.was_held:
            self._report_clear(fingerprint, "a run here came to a good end")
        if clearing.was_held or clearing.ends >= TOLD_ENDS:
            self._say(ClearNews(fingerprint, 0.0), None)
        if kept:
            self.on_clear(fingerprint)

    def note_held(self, fingerprint: Fingerprint) -> None:
        """Note that the store keeps the quarantine of a request from now on."""
        self._take_hold(HoldNews(fingerprint, 0.0, HOLD_TIME), None)

    def take_kept(self, kept: Sequence[Fingerprint]) -> None:
        """Take in all requests whose quarantine the store keeps.

        The store does not say since when, so what was cleared within the time of its lease stays cleared.
        """
        for fingerprint in kept:
            self._take_hold(HoldNews(fingerprint, HOLD_TIME, HOLD_TIME), None)
        self.quarantine.end_told_but(kept)

    def restore_kept(self, kept: Sequence[Fingerprint], first: bool) -> None:
        """Take in which quarantines a restored store keeps, and have it keep those in force.

        The backup tells nothing of quarantines that began or ended after it, so a missing key ends none.

        :param first: whether this VM writes at once, and not only where others have not
        """
        now = self._clock.now()
        for fingerprint in self.quarantine.note_missing(kept, now):
            self.on_hold(fingerprint, first)
        for fingerprint in self.quarantine.list_cleared_among(kept, now):
            self.on_clear(fingerprint)
        for fingerprint in kept:
            self._take_hold(HoldNews(fingerprint, HOLD_TIME, HOLD_TIME), None)

    def _note_end(self, news: EndNews) -> None:
        now = self._clock.now()
        self._tally.count("upstream_ends_total")
        self._journal.write("QUARANTINE", "upstream ended", upstream=news.upstream, runs=len(news.runs))
        for run in news.runs:
            self._own[run.fingerprint] = now
        self._take_end(news, None)

    # --- what peers tell ---------------------------------------------------------------------------------------------

    def take(self, connection: PeerConnection, message: QuarantineUpdate) -> None:
        """Take in what a peer tells."""
        for cleared in message.cleared:
            self._take_clear(cleared, connection)
        for hold in message.holds:
            self._take_hold(hold, connection)
        for end in message.ends:
            self._take_end(end, connection)

    def tell_all(self, connection: PeerConnection) -> None:
        """Tell a peer that was met all there is."""
        now = self._clock.now()
        ends = [end.tell(now) for end in list(self.quarantine.ends)[-MOST_TOLD_ENDS:]]
        holds = self.quarantine.list_told(now)
        if ends or holds:
            connection.send(QuarantineUpdate(ends, [], holds))

    def _take_end(self, news: EndNews, source: PeerConnection | None) -> None:
        now = self._clock.now()
        fresh = self.quarantine.take_end(news, now)
        if fresh is None:
            return
        self._say(fresh, source)
        for cleared in self.quarantine.list_cleared(fresh, now):
            self._say(cleared, None)
        if not self._pending:
            self._pending = True
            self._clock.call_later(ATTRIBUTE_DELAY, self._attribute)

    def _take_clear(self, news: ClearNews, source: PeerConnection) -> None:
        now = self._clock.now()
        was_held = self.quarantine.find_hold(news.fingerprint, now) is not None
        if self.quarantine.clear(news.fingerprint, now - news.age):
            self._say(news, source)
        if was_held and self.quarantine.find_hold(news.fingerprint, now) is None:
            self._report_clear(news.fingerprint, f"peer {source.vm}")

    def _take_hold(self, news: HoldNews, source: PeerConnection | None) -> None:
        now = self._clock.now()
        if self.quarantine.take_hold(news, now):
            hold = self.quarantine.find_hold(news.fingerprint, now)
            self._report_hold(news.fingerprint, hold, "the store" if source is None else f"peer {source.vm}")
            self._end_waits(news.fingerprint)
            self._say(news, source)

    # --- what is made of it ------------------------------------------------------------------------------------------

    def _attribute(self) -> None:
        self._pending = False
        now = self._clock.now()
        for fingerprint in self.quarantine.attribute(now):
            self._report_hold(fingerprint, self.quarantine.find_hold(fingerprint, now), "ends")
            self._end_waits(fingerprint)
            own = self._own.get(fingerprint)
            if own is not None:
                self.on_hold(fingerprint, now - own < 2 * ATTRIBUTE_DELAY)
        self._own = {found: at for found, at in self._own.items() if self.quarantine.ends.count(found)}

    def _report_hold(self, fingerprint: Fingerprint, hold: Hold | None, source: str) -> None:
        upstreams = [end.upstream for end in self.quarantine.ends if fingerprint in end.runs]
        self._tally.count("quarantines_total", "begun")
        self._journal.write(
            "QUARANTINE",
            "begun",
            fingerprint=fingerprint.hex(),
            ends=0 if hold is None else hold.ends,
            upstreams=upstreams[-MOST_LOGGED:],
            seconds=0 if hold is None else round(hold.until - self._clock.now(), 1),
            source=source,
        )

    def _report_clear(self, fingerprint: Fingerprint, source: str) -> None:
        self._tally.count("quarantines_total", "cleared")
        self._journal.write("QUARANTINE", "cleared", fingerprint=fingerprint.hex(), source=source)

    # --- words -------------------------------------------------------------------------------------------------------

    def _say(self, item: Item, source: PeerConnection | None) -> None:
        self._untold.append(_Untold(item, source, self._clock.now()))
        self._words.request()

    def _tell(self) -> None:
        untold, self._untold = self._untold, []
        now = self._clock.now()
        hands_on = self.hands_on()
        for connection in self.list_connections():
            items = [
                _age(one.item, now - one.since)
                for one in untold
                if one.source is not connection and (hands_on or self._is_owed(connection, one.source))
            ]
            if items:
                connection.send(_make_message(items))

    def _is_owed(self, connection: PeerConnection, source: PeerConnection | None) -> bool:
        """Tell whether this VM tells a peer something although others hand on: its own, and from afar to the near.

        While all VMs handed everything on, 74 of them sent 10 KB each for the end of an engine with 64 streams.
        """
        return source is None or (source.hall != self.hall and connection.hall == self.hall)


def _age(item: Item, seconds: float) -> Item:
    """Return an item as it is told some seconds after it was taken in."""
    aged = msgspec.structs.replace(item, age=round(item.age + seconds, 3))
    return msgspec.structs.replace(aged, left=item.left - seconds) if isinstance(item, HoldNews) else aged


def _make_message(items: list[Item]) -> QuarantineUpdate:
    return QuarantineUpdate(
        _join_ends(item for item in items if isinstance(item, EndNews)),
        [item for item in items if isinstance(item, ClearNews)],
        [item for item in items if isinstance(item, HoldNews)],
    )


def _join_ends(news: Iterable[EndNews]) -> list[EndNews]:
    """Return news with the parts of each end joined: each part of its own has 45 bytes, of which a run has 14."""
    joined: dict[str, EndNews] = {}
    apart = []
    for one in news:
        first = joined.setdefault(one.upstream, one)
        if abs(first.age - one.age) >= SAME_END:
            apart.append(one)
        elif first is not one:
            joined[one.upstream] = EndNews(first.upstream, first.age, [*first.runs, *one.runs])
    return [*joined.values(), *apart]

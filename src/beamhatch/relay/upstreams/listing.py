"""The listing aggregate: which upstreams there are, as told by the store and by peers, whichever is newer.

Each entry carries the store's revision of its last change. Whoever tells it, the higher revision wins, so the order in
which news arrive does not matter, and no belief goes back.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from beamhatch.relay.model import ServiceName, Upstream, UpstreamId
from beamhatch.relay.upstreams.departures import Departures

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from beamhatch.relay.model import Incarnation

GONE_GRACE_SHARE = 0.85
"""Share of the time behind the end of its entry, in which an upstream may still be sent requests, that is used."""

DRAIN_TIME = 2.0
"""Seconds of that time where the settings do not tell it."""

RETURN_TIME = 5.0
"""Seconds for which an upstream whose entry went without notice is expected back.

It had been silent for some seconds before its entry went; one that crashed or was cut off is mostly back by then.
"""

TOMBSTONE_LIFE = 120.0
"""Seconds for which it is remembered that an upstream is gone: longer than old news travel."""


@dataclass(frozen=True, slots=True)
class Entry:
    """The newest news of one upstream; ``upstream`` is None where its entry is gone."""

    id: UpstreamId
    revision: int
    upstream: Upstream | None
    readable: bool = True
    """False where something else stands in its place: it is not even expected back."""


@dataclass(slots=True)
class _Known:
    entry: Entry
    last: Upstream | None
    """What was listed last, also after the entry is gone."""
    changed_at: float
    first_at: float
    """When it was heard of first."""
    cold_until: float = 0.0
    """Until when it is cold, in monotonic seconds."""

    def show(self, now: float) -> Entry:
        """Return the entry, with the time for which the upstream is still cold as it is now."""
        upstream = self.entry.upstream
        if upstream is None or not upstream.cold_left:
            return self.entry
        return replace(self.entry, upstream=replace(upstream, cold_left=max(0.0, self.cold_until - now)))

    def succeeds(self, other: _Known) -> bool:
        """Tell whether this may be another one, started anew: in its hall, and not known before it fell silent."""
        assert self.last is not None
        assert other.last is not None
        newer = self.first_at > max(other.first_at, other.changed_at - RETURN_TIME)
        return newer and self.last.hall == other.last.hall


@dataclass(slots=True)
class Listing:
    """All upstreams by id."""

    newest: int = 0
    """The highest revision among the entries."""
    gone_grace: float = GONE_GRACE_SHARE * DRAIN_TIME
    """Seconds for which upstreams whose entries went without notice may still be used.

    Entries also go when the store loses the leases of upstreams that are well; these are back about 2 s later.
    """
    complete: bool = False
    """True once a whole list has been taken in."""
    latest_cold: float = 0.0
    """Until when any upstream was said to be cold at the most, in monotonic seconds."""
    departures: Departures = field(default_factory=Departures)
    """The lives that are known to leave: they don't come back, whatever their entries say."""
    _known: dict[UpstreamId, _Known] = field(default_factory=dict)
    _listed: dict[ServiceName, list[Upstream]] = field(default_factory=dict)
    """What ``list_usable`` returned since the last change, where it does not depend on the time."""

    def take(self, entry: Entry, now: float) -> bool:
        """Take in news of one upstream; return whether they changed what is believed."""
        known = self._known.get(entry.id)
        if known is not None and known.entry.revision >= entry.revision:
            return False
        self.newest = max(self.newest, entry.revision)
        self._listed.clear()
        if known is None:
            known = self._known[entry.id] = _Known(entry, entry.upstream, now, now)
        else:
            known.changed_at = now if _differs(known.entry, entry) else known.changed_at
            known.entry = entry
            known.last = entry.upstream or known.last
        if entry.upstream is not None:
            known.cold_until = now + entry.upstream.cold_left
            self.latest_cold = max(self.latest_cold, known.cold_until)
            if entry.upstream.draining:
                self.departures.take(entry.upstream.incarnation, now, by_store=True)
        return True

    def note_leaving(self, life: Incarnation, now: float) -> bool:
        """Take in that an upstream leaves, by another word than its entry; return whether that is news."""
        self._listed.clear()
        return self.departures.take(life, now)

    def is_leaving(self, upstream: Upstream) -> bool:
        """Tell whether an upstream leaves."""
        return self.departures.may_have(upstream.id) and self.departures.has(upstream.incarnation)

    def _may_last(self, known: _Known) -> bool:
        """Tell whether it may be used, or expected back, as long as its entry is not gone for long."""
        return known.last is not None and known.entry.readable and not self.is_leaving(known.last)

    def take_whole(self, entries: Iterable[Entry], revision: int, now: float) -> list[Entry]:
        """Take in a whole list as of a revision; what it lacks is gone. Return the news."""
        listed = list(entries)
        names = {entry.id for entry in listed}
        gone = [
            Entry(known.entry.id, revision, None)
            for known in self._known.values()
            if known.entry.upstream is not None and known.entry.id not in names and known.entry.revision <= revision
        ]
        self.complete = True
        return [entry for entry in [*listed, *gone] if self.take(entry, now)]

    def pass_over_gone(self, entries: Iterable[Entry]) -> list[Entry]:
        """Return those of some entries that a copy of the store may tell rightly: not the lives that are gone since."""
        return [entry for entry in entries if not self._is_gone(entry)]

    def _is_gone(self, entry: Entry) -> bool:
        known = self._known.get(entry.id)
        if known is None or known.last is None or known.entry.upstream is not None or entry.upstream is None:
            return False
        return known.last.is_same_incarnation(entry.upstream)

    def list_since(self, revision: int, now: float) -> list[Entry]:
        """Return the news behind a revision as they are handed on now, oldest first."""
        entries = [known.show(now) for known in self._known.values() if known.entry.revision > revision]
        return sorted(entries, key=lambda entry: entry.revision)

    def list_usable(self, service: ServiceName, now: float) -> list[Upstream]:
        """Return the upstreams of a service that may get new work.

        Those whose entries went a moment ago are among them where they are no fewer than the others: so many at once
        lapsed, and are about to come back.
        """
        known_list = self._listed.get(service)
        if known_list is not None:
            return known_list
        listed = []
        going = []
        for known in self._known.values():
            upstream = known.last
            if upstream is None or upstream.service != service or not self._may_last(known):
                continue
            if known.entry.upstream is not None:
                listed.append(upstream)
            elif now - known.changed_at < self.gone_grace:
                going.append(upstream)
        if not going:
            self._listed[service] = listed
        return [*listed, *going] if len(going) >= len(listed) else listed

    def list_leaving(self, service: ServiceName) -> list[Upstream]:
        """Return the upstreams of a service that are listed still, and leave."""
        listed = (known.entry.upstream for known in self._known.values())
        return [one for one in listed if one is not None and one.service == service and self.is_leaving(one)]

    def list_lasting(self, service: ServiceName, now: float, silent: Collection[UpstreamId] = ()) -> list[Upstream]:
        """Return the upstreams of a service that are there for some time.

        Those that are leaving are not; those whose entries went without notice are for a while, as most come back. One
        that restarts does so in its hall under its id or another, so each that is new there stands for one that went.

        :param silent: those that do not answer; their entries may still be listed for some heartbeats
        """
        listed = []
        awaited = []
        for known in self._known.values():
            if known.last is None or known.last.service != service or not self._may_last(known):
                continue
            if known.entry.upstream is not None and known.entry.id not in silent:
                listed.append(known)
            elif known.entry.upstream is not None or now - known.changed_at < RETURN_TIME:
                awaited.append(known)
        spare = list(listed)
        lasting = [known.last for known in listed if known.last is not None]
        for known in awaited:
            successor = next((one for one in spare if one.succeeds(known)), None)
            if successor is not None:
                spare.remove(successor)
            elif known.last is not None:
                lasting.append(known.last)
        return lasting

    def count_left(self, service: ServiceName) -> int:
        """Return how many upstreams of a service have said that they leave, as far as they are remembered."""
        last = (known.last for known in self._known.values())
        return sum(one is not None and one.service == service and self.is_leaving(one) for one in last)

    def find_cold_until(self, upstream: UpstreamId) -> float:
        """Return until when an upstream is cold, in monotonic seconds; a time that is over where it is warm."""
        known = self._known.get(upstream)
        return 0.0 if known is None else known.cold_until

    def find_last(self, upstream: UpstreamId) -> Upstream | None:
        """Return what was listed last of an upstream, also after its entry is gone."""
        known = self._known.get(upstream)
        return None if known is None else known.last

    def find(self, upstream: UpstreamId) -> Upstream | None:
        """Return an upstream that is listed."""
        known = self._known.get(upstream)
        return None if known is None else known.entry.upstream

    def find_oldest(self) -> int:
        """Return the lowest revision among the entries that are listed, 0 where none is."""
        return min(
            (known.entry.revision for known in self._known.values() if known.entry.upstream is not None), default=0
        )

    def list_ids(self) -> set[UpstreamId]:
        """Return the ids of all upstreams, gone ones as long as they are remembered."""
        return set(self._known)

    def forget_old(self, now: float) -> None:
        """Drop entries that went long ago."""
        old = [
            name
            for name, known in self._known.items()
            if known.entry.upstream is None and now - known.changed_at > TOMBSTONE_LIFE
        ]
        for name in old:
            del self._known[name]
        self.departures.forget_old(self._known, now - TOMBSTONE_LIFE)


def _differs(before: Entry, after: Entry) -> bool:
    if before.upstream is None or after.upstream is None:
        return before.upstream is not after.upstream
    same = replace(before.upstream, draining=after.upstream.draining, cold_left=after.upstream.cold_left)
    return same != after.upstream

"""Listing of all upstreams, merged from the updates of the store and of peers.

Each entry carries the store's revision of its last change. The higher revision wins, whatever its source, so the order
of updates does not matter and an entry never reverts to an older state.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from beamhatch.relay.model import ServiceName, Upstream, UpstreamId
from beamhatch.relay.streams.versions import VersionHistory
from beamhatch.relay.upstreams.departures import Departures

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from beamhatch.relay.model import Address, Incarnation

GONE_GRACE_SHARE = 0.85
"""Share of the drain time for which an upstream whose entry was removed is still used."""

DEFAULT_DRAIN_S = 2.0
"""Drain time if the settings give none: how long an upstream accepts requests after its entry was removed."""

RETURN_TIMEOUT_S = 5.0
"""Time for which an upstream whose entry was removed without a departure is expected back.

Entries expire only after some seconds without heartbeats, so most upstreams that crashed or were cut off are back by
then.
"""

TOMBSTONE_TTL_S = 120.0
"""Time for which removed entries are kept, longer than outdated updates circulate."""


@dataclass(frozen=True, slots=True)
class Entry:
    """State of one upstream at a revision; ``upstream`` is None if its entry was removed."""

    id: UpstreamId
    revision: int
    upstream: Upstream | None
    readable: bool = True
    """False if the stored entry can't be parsed; the upstream is then not expected back."""

    def describe(self) -> str:
        """Return the log event for a change to this state."""
        if self.upstream is None:
            return "gone"
        return "draining" if self.upstream.draining else "listed"

    def get_log_fields(self) -> dict[str, object]:
        """Return the log fields that tell which upstream it is, and which software answers where."""
        fields: dict[str, object] = {"upstream": self.id, "revision": self.revision}
        if self.upstream is not None:
            fields |= {"software": self.upstream.version, "address": str(self.upstream.address)}
        return fields


@dataclass(slots=True)
class _Record:
    entry: Entry
    last_upstream: Upstream | None
    """The last listed state, also after the entry was removed."""
    changed_at: float
    first_seen_at: float
    """Monotonic seconds of the first update."""
    cold_until: float = 0.0
    """Monotonic seconds until which the upstream is cold."""

    def get_entry(self, now: float) -> Entry:
        """Return the entry with the remaining cold time as of now."""
        upstream = self.entry.upstream
        if upstream is None or not upstream.cold_left:
            return self.entry
        return replace(self.entry, upstream=replace(upstream, cold_left=max(0.0, self.cold_until - now)))

    def may_replace(self, other: _Record) -> bool:
        """Return whether this may be the other upstream, restarted under another id.

        It must be in the same hall and first seen later, at most ``RETURN_TIMEOUT_S`` before the other's last change.
        """
        assert self.last_upstream is not None
        assert other.last_upstream is not None
        newer = self.first_seen_at > max(other.first_seen_at, other.changed_at - RETURN_TIMEOUT_S)
        return newer and self.last_upstream.hall == other.last_upstream.hall


@dataclass(slots=True)
class Listing:
    """All upstreams, by id."""

    newest_revision: int = 0
    """The highest revision of any update."""
    gone_grace_s: float = GONE_GRACE_SHARE * DEFAULT_DRAIN_S
    """Time for which upstreams whose entries were removed without a departure may still be used.

    Entries of healthy upstreams disappear for a short time if the store loses their leases.
    """
    complete: bool = False
    """True once a full snapshot was applied."""
    latest_cold_until: float = 0.0
    """Monotonic seconds until which any upstream may be cold."""
    departures: Departures = field(default_factory=Departures)
    """Departing incarnations, which are never used again, whatever their entries say."""
    versions: VersionHistory = field(default_factory=VersionHistory)
    """Software versions of the upstreams."""
    _complete_as_of: int = 0
    """The highest revision of a snapshot; upstreams that were not listed as of then do not exist."""
    _records: dict[UpstreamId, _Record] = field(default_factory=dict)
    _by_address: dict[Address, Upstream] | None = None
    """Index for ``find_at``, built when it is needed; None after each change."""
    _addresses: list[Address] | None = None
    """Cached result of ``list_addresses``; None after each change."""
    _listed: dict[ServiceName, list[Upstream]] = field(default_factory=dict)
    """Cached results of ``list_usable`` that do not depend on the time; cleared by each change."""

    def apply(self, entry: Entry, now: float) -> bool:
        """Apply an update of one upstream; return False if it is not newer than what is known of the upstream."""
        if entry.revision <= self._complete_as_of and self.get(entry.id) is None:
            return False  # removed before the last snapshot
        return self._apply(entry, now)

    def _apply(self, entry: Entry, now: float) -> bool:
        known = self._records.get(entry.id)
        if known is not None and known.entry.revision >= entry.revision:
            return False
        self.newest_revision = max(self.newest_revision, entry.revision)
        self._listed.clear()
        self._by_address = self._addresses = None
        self.versions.record(entry.id, entry.upstream, now)
        if known is None:
            known = self._records[entry.id] = _Record(entry, entry.upstream, now, now)
        else:
            known.changed_at = now if _differs(known.entry, entry) else known.changed_at
            known.entry = entry
            known.last_upstream = entry.upstream or known.last_upstream
        if entry.upstream is not None:
            known.cold_until = now + entry.upstream.cold_left
            self.latest_cold_until = max(self.latest_cold_until, known.cold_until)
            if entry.upstream.draining:
                self.departures.record(entry.upstream.incarnation, now, by_store=True)
        return True

    def record_departure(self, life: Incarnation, now: float) -> bool:
        """Record a departure that the upstream's entry does not show; return whether it was unknown."""
        self._listed.clear()
        return self.departures.record(life, now)

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether the upstream is departing."""
        return self.departures.has_upstream(upstream.id) and self.departures.has(upstream.incarnation)

    def _is_usable(self, known: _Record) -> bool:
        """Return whether the upstream may be used, or be expected back if its entry was removed."""
        return known.last_upstream is not None and known.entry.readable and not self.is_leaving(known.last_upstream)

    def apply_snapshot(self, entries: Iterable[Entry], revision: int, now: float) -> list[Entry]:
        """Apply a full list as of a revision, removing entries that it lacks; return the entries that changed."""
        listed = list(entries)
        names = {entry.id for entry in listed}
        gone = [
            Entry(known.entry.id, revision, None)
            for known in self._records.values()
            if known.entry.upstream is not None and known.entry.id not in names and known.entry.revision <= revision
        ]
        self.complete = True
        self._complete_as_of = max(self._complete_as_of, revision)
        return [entry for entry in [*listed, *gone] if self._apply(entry, now)]

    def exclude_gone(self, entries: Iterable[Entry]) -> list[Entry]:
        """Return the entries without incarnations that are known as removed, which an outdated copy may still list."""
        return [entry for entry in entries if not self._is_gone(entry)]

    def _is_gone(self, entry: Entry) -> bool:
        known = self._records.get(entry.id)
        if known is None or known.last_upstream is None or known.entry.upstream is not None or entry.upstream is None:
            return False
        return known.last_upstream.is_same_incarnation(entry.upstream)

    def list_since(self, revision: int, now: float) -> list[Entry]:
        """Return the entries changed after a revision, oldest first, with current cold times."""
        entries = [known.get_entry(now) for known in self._records.values() if known.entry.revision > revision]
        return sorted(entries, key=lambda entry: entry.revision)

    def list_usable(self, service: ServiceName, now: float) -> list[Upstream]:
        """Return the upstreams of a service that may be sent new requests.

        Upstreams whose entries were just removed are included if they are at least as many as the listed ones: so many
        removals at once mean that leases expired, not that the upstreams are gone.
        """
        known_list = self._listed.get(service)
        if known_list is not None:
            return known_list
        listed = []
        recently_gone = []
        for known in self._records.values():
            upstream = known.last_upstream
            if upstream is None or upstream.service != service or not self._is_usable(known):
                continue
            if known.entry.upstream is not None:
                listed.append(upstream)
            elif now - known.changed_at < self.gone_grace_s:
                recently_gone.append(upstream)
        if not recently_gone:
            self._listed[service] = listed
        return [*listed, *recently_gone] if len(recently_gone) >= len(listed) else listed

    def list_leaving(self, service: ServiceName) -> list[Upstream]:
        """Return the upstreams of a service that are still listed but departing."""
        listed = (known.entry.upstream for known in self._records.values())
        return [one for one in listed if one is not None and one.service == service and self.is_leaving(one)]

    def list_expected(
        self, service: ServiceName, now: float, unresponsive: Collection[UpstreamId] = ()
    ) -> list[Upstream]:
        """Return the upstreams of a service that can be counted on: listed, or expected back soon.

        Departing upstreams are left out. An upstream may restart in its hall under another id, so each new upstream
        there replaces one that is expected back.

        :param unresponsive: upstreams that do not answer, whose entries may not have expired yet
        """
        listed = []
        unlisted = []
        for known in self._records.values():
            if known.last_upstream is None or known.last_upstream.service != service or not self._is_usable(known):
                continue
            if known.entry.upstream is not None and known.entry.id not in unresponsive:
                listed.append(known)
            elif known.entry.upstream is not None or now - known.changed_at < RETURN_TIMEOUT_S:
                unlisted.append(known)
        spare = list(listed)
        expected = [known.last_upstream for known in listed if known.last_upstream is not None]
        for known in unlisted:
            successor = next((one for one in spare if one.may_replace(known)), None)
            if successor is not None:
                spare.remove(successor)
            elif known.last_upstream is not None:
                expected.append(known.last_upstream)
        return expected

    def count_departed(self, service: ServiceName) -> int:
        """Return the number of departing upstreams of a service, among those still remembered."""
        last = (known.last_upstream for known in self._records.values())
        return sum(one is not None and one.service == service and self.is_leaving(one) for one in last)

    def get_cold_until(self, upstream: UpstreamId) -> float:
        """Return the monotonic seconds until which an upstream is cold; a time in the past if it is warm."""
        known = self._records.get(upstream)
        return 0.0 if known is None else known.cold_until

    def get_last_listed(self, upstream: UpstreamId) -> Upstream | None:
        """Return the last listed state of an upstream, also after its entry was removed."""
        known = self._records.get(upstream)
        return None if known is None else known.last_upstream

    def find_at(self, address: Address) -> Upstream | None:
        """Return the upstream last listed at an address, also after its entry was removed; None if there is none."""
        return self._index_addresses().get(address)

    def list_addresses(self) -> Collection[Address]:
        """Return the addresses of the upstreams that are listed."""
        if self._addresses is None:
            listed = (known.entry.upstream for known in self._records.values())
            self._addresses = [one.address for one in listed if one is not None]
        return self._addresses

    def _index_addresses(self) -> dict[Address, Upstream]:
        if self._by_address is None:
            known = sorted(self._records.values(), key=lambda one: one.entry.revision)
            self._by_address = {one.last_upstream.address: one.last_upstream for one in known if one.last_upstream}
        return self._by_address

    def get(self, upstream: UpstreamId) -> Upstream | None:
        """Return an upstream, or None if it is not listed."""
        known = self._records.get(upstream)
        return None if known is None else known.entry.upstream

    def get_oldest_revision(self) -> int:
        """Return the lowest revision of a listed entry, or 0 if none is listed."""
        return min(
            (known.entry.revision for known in self._records.values() if known.entry.upstream is not None), default=0
        )

    def list_ids(self) -> set[UpstreamId]:
        """Return the ids of all upstreams, including removed ones still remembered."""
        return set(self._records)

    def drop_expired(self, now: float) -> None:
        """Drop entries and departures that were removed long ago."""
        old = [
            name
            for name, known in self._records.items()
            if known.entry.upstream is None and now - known.changed_at > TOMBSTONE_TTL_S
        ]
        for name in old:
            del self._records[name]
            self._by_address = None
        self.departures.drop_expired(self._records, now - TOMBSTONE_TTL_S)


def _differs(before: Entry, after: Entry) -> bool:
    if before.upstream is None or after.upstream is None:
        return before.upstream is not after.upstream
    same = replace(before.upstream, draining=after.upstream.draining, cold_left=after.upstream.cold_left)
    return same != after.upstream

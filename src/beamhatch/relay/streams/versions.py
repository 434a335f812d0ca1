"""Software versions that the upstreams of each service run, or ran until recently."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from beamhatch.relay.model import ServiceName, SoftwareVersion, Upstream, UpstreamId

VersionsByService = dict["ServiceName", frozenset["SoftwareVersion"]]
"""Versions of each service that are listed, or were until recently."""

VERSION_RETENTION_S = 120.0
"""Seconds for which a version counts after its last upstream was removed; streams that it began end within them."""

ONLY_VERSION_S = 1.0
"""Seconds after which the only listed version of a service counts as its only one; a listing may come in parts."""


def _ignore(service: ServiceName) -> None:
    """Do nothing."""


@dataclass(slots=True)
class VersionHistory:
    """The versions of each service that this VM knows of."""

    on_several: Callable[[ServiceName], None] = _ignore
    """Called when a service is found to have more than one version."""
    complete_at: float = float("inf")
    """Monotonic seconds from which no other version can have begun a stream that still goes on, as far as known."""
    _listed: dict[UpstreamId, tuple[ServiceName, SoftwareVersion]] = field(default_factory=dict)
    _counts: defaultdict[ServiceName, Counter[SoftwareVersion]] = field(default_factory=lambda: defaultdict(Counter))
    """Number of listed upstreams of each version."""
    _ended_at: defaultdict[ServiceName, dict[SoftwareVersion, float]] = field(default_factory=lambda: defaultdict(dict))
    """Monotonic seconds at which the last upstream of a version was removed."""
    _reported_at: dict[ServiceName, float] = field(default_factory=dict)
    """Monotonic seconds at which a peer last reported that a service has several versions."""
    _recorded: dict[ServiceName, set[SoftwareVersion]] = field(default_factory=dict)
    """Listed versions that the store has a record of, as last read or written, or that were the only one."""
    _began_at: dict[ServiceName, float] = field(default_factory=dict)
    """Monotonic seconds at which the first version of each service was listed."""

    def record(self, upstream: UpstreamId, listed: Upstream | None, now: float) -> None:
        """Record the newest listed state of an upstream, None once its entry was removed."""
        before = self._listed.get(upstream)
        after = None if listed is None else (listed.service, listed.version)
        if before == after:
            return
        service = after[0] if after is not None else None
        had_several = service is not None and self.has_several(service, now)
        if before is not None:
            self._remove(before, now)
            del self._listed[upstream]
        if after is not None:
            self._listed[upstream] = after
            self._note_only_version(after[0], now)
            self._counts[after[0]][after[1]] += 1
            if not had_several and self.has_several(after[0], now):
                self.on_several(after[0])

    def _note_only_version(self, service: ServiceName, now: float) -> None:
        """Take a version that is the only one of its service so far for recorded, as nothing else began its streams.

        Versions that are listed at about the same time are told apart by the record alone.
        """
        versions = self.list_recent(service, now)
        began_at = self._began_at.setdefault(service, now)
        if len(versions) == 1 and now - began_at > ONLY_VERSION_S:
            self._recorded.setdefault(service, set()).update(versions)

    def _remove(self, before: tuple[ServiceName, SoftwareVersion], now: float) -> None:
        service, version = before
        counts = self._counts[service]
        counts[version] -= 1
        if not counts[version]:
            del counts[version]
            self._ended_at[service][version] = now
            self._recorded.get(service, set()).discard(version)

    def record_reported(self, service: ServiceName, now: float) -> None:
        """Record that a peer lists several versions of a service that this VM lists too."""
        if service not in self._counts:
            return
        had_several = self.has_several(service, now)
        self._reported_at[service] = now
        if not had_several:
            self.on_several(service)

    def record_stored(self, service: ServiceName, versions: Iterable[SoftwareVersion], now: float) -> None:
        """Record versions that a service had when they were last recorded in the store."""
        had_several = self.has_several(service, now)
        listed = self._counts.get(service, ())
        for version in versions:
            if version not in listed:
                self._ended_at[service].setdefault(version, now)
        if not had_several and self.has_several(service, now):
            self.on_several(service)

    def confirm_recorded(self, versions: Mapping[ServiceName, frozenset[SoftwareVersion]]) -> None:
        """Replace what the store is known to have a record of.

        Versions that are not listed are left out: their record may be gone by the time that they are listed again.
        """
        self._recorded = {
            service: {one for one in found if one in self._counts.get(service, ())}
            for service, found in versions.items()
        }

    def list_unrecorded(self, service: ServiceName) -> set[SoftwareVersion]:
        """Return the listed versions of a service that the store is not known to have a record of.

        A version that is listed alone needs none: nothing else can have begun a stream that has no record.
        """
        counts = self._counts.get(service, Counter())
        return set(counts) - self._recorded.get(service, set()) if len(counts) > 1 else set()

    def count_unrecorded(self) -> int:
        """Return the number of versions of all services that the store is not known to have a record of."""
        return sum(len(self.list_unrecorded(service)) for service in self._counts)

    def is_complete(self, now: float) -> bool:
        """Return whether no other version can have begun a stream that still goes on."""
        return now >= self.complete_at

    def list_all(self, now: float) -> VersionsByService:
        """Return the versions of all services that are listed, or were within the retention time."""
        found = {service: frozenset(self.list_recent(service, now)) for service in self._list_services()}
        return {service: versions for service, versions in found.items() if versions}

    def list_with_several(self, now: float) -> set[ServiceName]:
        """Return the services that have several versions, by this VM's listing or by a peer's."""
        return {service for service in self._list_services() if self.has_several(service, now)}

    def _list_services(self) -> set[ServiceName]:
        return {*self._counts, *self._ended_at}

    def list_recent(self, service: ServiceName, now: float) -> set[SoftwareVersion]:
        """Return the versions of a service that are listed, or were within the retention time."""
        ended = self._ended_at.get(service)
        recent = set(self._counts[service]) if service in self._counts else set()
        if ended:
            for version in [one for one, at in ended.items() if now - at > VERSION_RETENTION_S]:
                del ended[version]
            recent.update(ended)
        return recent

    def lists_several(self, service: ServiceName, now: float) -> bool:
        """Return whether this VM's own listing has several versions of a service, or had until recently."""
        return len(self.list_recent(service, now)) > 1

    def has_several(self, service: ServiceName, now: float) -> bool:
        """Return whether a service has several versions, by this VM's listing or by a peer's."""
        reported_at = self._reported_at.get(service)
        is_reported = reported_at is not None and now - reported_at <= VERSION_RETENTION_S
        return is_reported or self.lists_several(service, now)

"""Interface of what the store keeps about streams, so that it outlives all VMs. A platform adapter implements it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from beamhatch.relay.model import ServiceName, SoftwareVersion
    from beamhatch.relay.store_results import StoreUnavailable
    from beamhatch.relay.streams.records import StreamKey
    from beamhatch.relay.streams.versions import VersionsByService


@dataclass(frozen=True, slots=True)
class StoredVersions:
    """The versions of all services, as recorded in the store."""

    versions: Mapping[ServiceName, frozenset[SoftwareVersion]]
    is_complete: bool
    """Whether no other version may have begun a stream that still goes on, as of the time of writing."""
    revision: int
    """Revision at which they were written; 0 if the store has none."""
    may_be_lost: bool = False
    """Whether the store has none but was restored from a backup."""


@dataclass(frozen=True, slots=True)
class VersionsChanged:
    """Result of a write of versions that another VM has changed in the meantime; nothing was written."""


@dataclass(frozen=True, slots=True)
class OpenStreams:
    """Open streams of one service that the same version began."""

    service: ServiceName
    version: SoftwareVersion
    keys: Sequence[StreamKey]
    lifetime_s: float
    """Seconds for which the caller of any of them may still resume it."""


class StreamStore(ABC):
    """The part of the store that keeps versions and open streams. Each call is billed."""

    @property
    @abstractmethod
    def generation(self) -> int:
        """Return a number that increases with each restore; what was written before a restore may be lost."""

    @abstractmethod
    async def read_versions(self) -> StoredVersions | StoreUnavailable:
        """Return the recorded versions of all services."""

    @abstractmethod
    async def write_versions(
        self, versions: VersionsByService, *, is_complete: bool, replaces: StoredVersions
    ) -> StoredVersions | VersionsChanged | StoreUnavailable:
        """Record the versions of all services.

        :param replaces: the record as last read; nothing is written if it has changed since
        """

    @abstractmethod
    async def read_streams(self) -> list[OpenStreams] | StoreUnavailable:
        """Return the open streams of all VMs that run, or ended within the last ``STREAMS_LIFETIME_S``."""

    @abstractmethod
    async def write_streams(self, streams: Sequence[OpenStreams]) -> StoreUnavailable | None:
        """Record the open streams of this VM in place of those recorded before."""


STREAMS_LIFETIME_S = 120.0
"""Seconds for which open streams stay recorded after their VM has ended."""

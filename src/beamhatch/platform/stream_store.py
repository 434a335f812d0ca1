"""Versions of services in the platform's store."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

import msgspec

from beamhatch.platform.epochs import get_epoch, get_revision, make_position
from beamhatch.platform.store_client import ChangeResponse, decode
from beamhatch.relay.api import StoreUnavailable
from beamhatch.relay.model import ServiceName, SoftwareVersion
from beamhatch.relay.streams.api import (
    StoredVersions,
    StreamStore,
    VersionsByService,
    VersionsChanged,
)

if TYPE_CHECKING:
    from beamhatch.platform.store_client import Item, StoreClient

VERSIONS_KEY = "beamhatch-streams/versions"


class _VersionsDocument(msgspec.Struct, array_like=True):
    epoch: int
    """Epoch of the store in which it was written. A backup may bring back a record of an earlier one."""
    is_complete: bool
    versions: dict[str, list[str]]


class PlatformStreamStore(StreamStore):
    """The part of the platform's store that keeps versions."""

    def __init__(self, calls: StoreClient) -> None:
        self._calls = calls

    @property
    def generation(self) -> int:
        """Return the store's newest epoch."""
        return self._calls.epochs.epoch or 0

    async def read_versions(self) -> StoredVersions | StoreUnavailable:
        """Return the recorded versions; they count as incomplete if a restore may have brought back an older record."""
        found = await self._calls.read_all(VERSIONS_KEY)
        if isinstance(found, StoreUnavailable):
            return found
        item = next((one for one in found.events if one.tls_key == VERSIONS_KEY), None)
        if item is None:
            return StoredVersions({}, is_complete=False, revision=0, may_be_lost=self._calls.epochs.was_restored)
        document = _decode_versions(item)
        if document is None:
            return StoredVersions({}, is_complete=False, revision=item.revision)
        versions = {
            ServiceName(service): frozenset(SoftwareVersion(one) for one in named)
            for service, named in document.versions.items()
        }
        is_complete = document.is_complete and document.epoch == get_epoch(item.revision)
        return StoredVersions(versions, is_complete, item.revision)

    async def write_versions(
        self, versions: VersionsByService, *, is_complete: bool, replaces: StoredVersions
    ) -> StoredVersions | VersionsChanged | StoreUnavailable:
        """Record the versions of all services, unless the record has changed."""
        named: dict[str, list[str]] = {service: [*sorted(found)] for service, found in versions.items()}
        document = _VersionsDocument(get_epoch(replaces.revision) or self.generation, is_complete, named)
        change = {
            "if_revision": [{"tls_key": VERSIONS_KEY, "revision": get_revision(replaces.revision)}],
            "put": [{"tls_key": VERSIONS_KEY, "value": _encode(document), "lease": 0}],
            "remove": [],
        }
        response = await self._calls.post("kv-txn", change)
        if isinstance(response, str):
            return StoreUnavailable(response)
        if response.head.status == 412:
            return VersionsChanged()
        changed = decode(response, ChangeResponse)
        if isinstance(changed, StoreUnavailable):
            return changed
        epoch = self._calls.record_epoch(response)
        if epoch != document.epoch:
            return VersionsChanged()
        return StoredVersions(versions, is_complete, make_position(epoch, changed.revision))


def _encode(value: object) -> str:
    return base64.b64encode(msgspec.msgpack.encode(value)).decode()


def _decode_versions(item: Item) -> _VersionsDocument | None:
    """Return the record of the versions, or None if it can't be read."""
    try:
        return msgspec.msgpack.decode(item.raw or b"", type=_VersionsDocument)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None

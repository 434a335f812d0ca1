"""Versions of services and open streams in the platform's store."""

from __future__ import annotations

import base64
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from beamhatch.platform.epochs import get_epoch, get_revision, make_position
from beamhatch.platform.store_client import ChangeResponse, LeaseResponse, decode
from beamhatch.relay.model import ServiceName, SoftwareVersion
from beamhatch.relay.store_results import StoreUnavailable
from beamhatch.relay.streams.api import STREAMS_LIFETIME_S, OpenStreams, StoredVersions, StreamStore, VersionsChanged
from beamhatch.relay.streams.records import STREAM_KEY_BYTES, StreamKey
from beamhatch.relay.streams.versions import VersionsByService

if TYPE_CHECKING:
    from collections.abc import Sequence

    from beamhatch.clock import Clock
    from beamhatch.platform.store_client import Item, StoreClient

VERSIONS_KEY = "beamhatch-streams/versions"
OPEN_PREFIX = "beamhatch-streams/open/"
"""Prefix of keys with the open streams of one process of a VM, which is named by a random number."""

PROCESS_BYTES = 8
RENEWAL_INTERVAL_S = STREAMS_LIFETIME_S / 4
"""Seconds after which the lease of the open streams is renewed; at most four thirds of that pass without writing."""


class _VersionsDocument(msgspec.Struct, array_like=True):
    epoch: int
    """Epoch of the store in which it was written. A backup may bring back a record of an earlier one."""
    is_complete: bool
    versions: dict[str, list[str]]


class _StreamGroup(msgspec.Struct, array_like=True):
    service: str
    version: str
    lifetime_s: float
    keys: bytes
    """Keys of ``STREAM_KEY_BYTES`` each."""


@dataclass(frozen=True, slots=True)
class _LeaseExpired:
    """Result of a write under a lease that the store does not have."""


class PlatformStreamStore(StreamStore):
    """The part of the platform's store that keeps versions and open streams."""

    def __init__(self, calls: StoreClient, clock: Clock) -> None:
        self._calls = calls
        self._clock = clock
        self._key = f"{OPEN_PREFIX}{secrets.token_hex(PROCESS_BYTES)}"
        self._lease: int | None = None
        self._renewed_at = 0.0

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

    async def read_streams(self) -> list[OpenStreams] | StoreUnavailable:
        """Return the open streams of all VMs."""
        found = await self._calls.read_all(OPEN_PREFIX)
        if isinstance(found, StoreUnavailable):
            return found
        return [_make_streams(group) for item in found.events for group in _decode_groups(item)]

    async def write_streams(self, streams: Sequence[OpenStreams]) -> StoreUnavailable | None:
        """Record the open streams of this VM under a lease, which outlives the VM by ``STREAMS_LIFETIME_S``."""
        groups = [_StreamGroup(one.service, one.version, one.lifetime_s, b"".join(one.keys)) for one in streams]
        value = _encode(groups)
        failure = await self._write_open(value)
        if isinstance(failure, _LeaseExpired):
            self._lease = None
            failure = await self._write_open(value)
        return StoreUnavailable("the new lease has expired") if isinstance(failure, _LeaseExpired) else failure

    async def _write_open(self, value: str) -> _LeaseExpired | StoreUnavailable | None:
        lease = await self._ensure_lease()
        if isinstance(lease, StoreUnavailable):
            return lease
        put = {"tls_key": self._key, "value": value, "lease": lease}
        response = await self._calls.post("kv-txn", {"if_revision": [], "put": [put], "remove": []})
        if isinstance(response, str):
            return StoreUnavailable(response)
        self._calls.record_epoch(response)
        if response.head.status == 404:
            return _LeaseExpired()
        changed = decode(response, ChangeResponse)
        return changed if isinstance(changed, StoreUnavailable) else None

    async def _ensure_lease(self) -> int | StoreUnavailable:
        """Return a lease that does not expire soon."""
        now = self._clock.now()
        if self._lease is not None and now - self._renewed_at < RENEWAL_INTERVAL_S:
            return self._lease
        if self._lease is not None:
            response = await self._calls.post(f"kv-keep/{self._lease}", {})
            if isinstance(response, str) or response.head.status not in (200, 404):
                return StoreUnavailable(response if isinstance(response, str) else f"status {response.head.status}")
            if response.head.status == 200:
                self._renewed_at = now
                return self._lease
        granted = decode(await self._calls.post("kv-lease", {"ttl_ms": int(STREAMS_LIFETIME_S * 1000)}), LeaseResponse)
        if isinstance(granted, StoreUnavailable):
            return granted
        self._lease, self._renewed_at = granted.lease, now
        return granted.lease


def _encode(value: object) -> str:
    return base64.b64encode(msgspec.msgpack.encode(value)).decode()


def _decode_versions(item: Item) -> _VersionsDocument | None:
    """Return the record of the versions, or None if it can't be read."""
    try:
        return msgspec.msgpack.decode(item.raw or b"", type=_VersionsDocument)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def _decode_groups(item: Item) -> list[_StreamGroup]:
    """Return the streams of one VM, none if they can't be read."""
    try:
        return msgspec.msgpack.decode(item.raw or b"", type=list[_StreamGroup])
    except (msgspec.DecodeError, msgspec.ValidationError):
        return []


def _make_streams(group: _StreamGroup) -> OpenStreams:
    whole = len(group.keys) // STREAM_KEY_BYTES * STREAM_KEY_BYTES
    keys = [StreamKey(group.keys[start : start + STREAM_KEY_BYTES]) for start in range(0, whole, STREAM_KEY_BYTES)]
    return OpenStreams(ServiceName(group.service), SoftwareVersion(group.version), keys, group.lifetime_s)

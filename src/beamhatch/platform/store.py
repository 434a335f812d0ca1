"""HTTP client of the platform's store: configuration, upstreams' entries, leadership and quarantines.

Revisions of the store are converted to positions, which also order changes across restores (see ``epochs``).
"""

from __future__ import annotations

import base64
from dataclasses import replace
from typing import TYPE_CHECKING

from beamhatch.platform.epochs import get_epoch, get_revision, make_position
from beamhatch.platform.store_client import (
    ChangeResponse,
    EventsResponse,
    Item,
    LeaseResponse,
    RangeResponse,
    StoreClient,
    decode,
)
from beamhatch.platform.stream_store import PlatformStreamStore
from beamhatch.relay.api import (
    DirectiveUpdate,
    Document,
    LeadershipClaim,
    LeadershipState,
    LeadershipTaken,
    ListingUpdate,
    Store,
)
from beamhatch.relay.fleet.evacuations import Evacuation
from beamhatch.relay.model import Fingerprint, UpstreamId
from beamhatch.relay.quarantine.digests import DIGEST_BYTES
from beamhatch.relay.store_results import RevisionExpired, StoreUnavailable

if TYPE_CHECKING:
    from beamhatch.clock import Clock
    from beamhatch.platform.documents import PlatformDocuments
    from beamhatch.relay.model import Address
    from beamhatch.relay.requests.response import BufferedResponse
    from beamhatch.relay.streams.api import StreamStore
    from beamhatch.relay.upstreams.http_client import HttpClient
    from beamhatch.relay.upstreams.listing import Entry

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = f"{OPERATOR_PREFIX}config"
EVACUATION_PREFIX = f"{OPERATOR_PREFIX}evacuate/"
"""Prefix of keys that mark halls as evacuated. Their values are ignored."""

MAX_HALL_NAME_LENGTH = 100
"""In characters. Longer names are ignored, as each heartbeat to a peer would repeat them."""

UPSTREAM_PREFIX = "servers/"
ROUTER_PREFIX = "beamhatch/"
LEADER_KEY = f"{ROUTER_PREFIX}leader"
LAST_ORDER_KEY = f"{ROUTER_PREFIX}order"
QUARANTINE_PREFIX = f"{ROUTER_PREFIX}quarantine/"
"""Prefix of keys that mark fingerprints as quarantined. Their values are ignored."""

HEX_DIGITS = frozenset("0123456789abcdef")


class PlatformStore(Store):
    """HTTP client of the store."""

    def __init__(self, client: HttpClient, clock: Clock, address: Address, documents: PlatformDocuments) -> None:
        self._clock = clock
        self._documents = documents
        self._calls = StoreClient(client, clock, address, documents.journal)
        self._streams = PlatformStreamStore(self._calls, clock)
        self._leadership_at = 0
        """Position of the last read of the leadership, 0 before the first."""
        self._unsettled_prefixes: set[str] = set()
        """Prefixes whose lists were read too soon after a restore to be complete."""
        self._read_prefixes: set[str] = set()
        """Prefixes whose lists were read at least once."""

    @property
    def streams(self) -> StreamStore:
        """Return the part that keeps the versions of services and open streams."""
        return self._streams

    async def read_directives(self, known: int) -> DirectiveUpdate | StoreUnavailable:
        """Return the current configuration and all evacuated halls."""
        items = await self._calls.read_all(OPERATOR_PREFIX)
        if isinstance(items, StoreUnavailable):
            return items
        return replace(self._make_directives(items), authoritative=self._record_list_read(OPERATOR_PREFIX, known))

    async def watch_directives(
        self, after: int, wait: float, margin: float
    ) -> DirectiveUpdate | StoreUnavailable | RevisionExpired:
        """Return the operators' changes after a position."""
        events = await self._watch_prefix(OPERATOR_PREFIX, after, wait, margin)
        if not isinstance(events, EventsResponse):
            return events
        settled = OPERATOR_PREFIX not in self._unsettled_prefixes and not self._calls.epochs.may_have_been_restored(
            self._clock.now()
        )
        return replace(self._make_directives(events), authoritative=settled)

    def _make_directives(self, events: EventsResponse) -> DirectiveUpdate:
        documents = [item for item in events.events if item.tls_key == CONFIGURATION_KEY and not item.gone]
        evacuations = [
            Evacuation(item.tls_key.removeprefix(EVACUATION_PREFIX), item.revision, not item.gone)
            for item in events.events
            if item.tls_key.startswith(EVACUATION_PREFIX)
            and 0 < len(item.tls_key) - len(EVACUATION_PREFIX) <= MAX_HALL_NAME_LENGTH
        ]
        return DirectiveUpdate(self._make_document(documents[-1]) if documents else None, evacuations, events.at)

    async def read_listing(self, known: int) -> ListingUpdate | StoreUnavailable:
        """Return the entries of all upstreams."""
        items = await self._calls.read_all(UPSTREAM_PREFIX)
        if isinstance(items, StoreUnavailable):
            return items
        entries = [self._make_entry(item) for item in items.events]
        return ListingUpdate(entries, items.at, authoritative=self._record_list_read(UPSTREAM_PREFIX, known))

    def _record_list_read(self, prefix: str, known: int) -> bool:
        """Record that a list was read; return whether it is complete, so that missing keys were removed.

        An incomplete list is read again later.

        :param known: position of the oldest update received from peers, 0 if there are none
        """
        now = self._clock.now()
        if known:
            self._calls.epochs.record_peer_epoch(get_epoch(known), now)
        settled = self._calls.epochs.is_settled(now)
        if settled:
            self._unsettled_prefixes.discard(prefix)
        else:
            self._unsettled_prefixes.add(prefix)
        is_complete = known > 0 or prefix in self._read_prefixes or not self._calls.epochs.may_have_been_restored(now)
        self._read_prefixes.add(prefix)
        return settled and is_complete

    async def watch_listing(
        self, after: int, wait: float, margin: float
    ) -> ListingUpdate | StoreUnavailable | RevisionExpired:
        """Return changes of upstreams' entries after a position."""
        events = await self._watch_prefix(UPSTREAM_PREFIX, after, wait, margin)
        if not isinstance(events, EventsResponse):
            return events
        return ListingUpdate([self._make_entry(item) for item in events.events], events.at)

    async def store_quarantine(self, fingerprint: Fingerprint, seconds: float) -> StoreUnavailable | None:
        """Write the key of a quarantined fingerprint with its own lease, unless it exists."""
        lease = decode(await self._calls.post("kv-lease", {"ttl_ms": int(seconds * 1000)}), LeaseResponse)
        if isinstance(lease, StoreUnavailable):
            return lease
        key = f"{QUARANTINE_PREFIX}{fingerprint.hex()}"
        change = {
            "if_revision": [{"tls_key": key, "revision": 0}],
            "put": [{"tls_key": key, "value": "", "lease": lease.lease}],
            "remove": [],
        }
        return _get_write_failure(await self._calls.post("kv-txn", change))

    async def delete_quarantine(self, fingerprint: Fingerprint) -> StoreUnavailable | None:
        """Remove the key of a quarantined fingerprint."""
        change = {"if_revision": [], "put": [], "remove": [f"{QUARANTINE_PREFIX}{fingerprint.hex()}"]}
        return _get_write_failure(await self._calls.post("kv-txn", change))

    async def read_leadership(self) -> LeadershipState | StoreUnavailable:
        """Return whether there is a leader, the last order and the quarantined fingerprints."""
        page = self._calls.decode_items(
            await self._calls.get("kv-range", {"path_prefix": ROUTER_PREFIX}), RangeResponse
        )
        if isinstance(page, StoreUnavailable):
            return page
        before, self._leadership_at = self._leadership_at, page.at
        items = {item.tls_key: item for item in page.items}
        order = items.get(LAST_ORDER_KEY)
        restored = 0 < get_epoch(before) < get_epoch(page.at) or not self._calls.epochs.is_settled(self._clock.now())
        return LeadershipState(
            has_leader=LEADER_KEY in items,
            last_order=0 if order is None else order.revision,
            revision=page.at,
            order="" if order is None else (order.raw or b"").decode(),
            quarantined=[found for found in map(_parse_quarantine_key, items) if found is not None],
            restored=restored,
            order_may_be_lost=order is None and (restored or (not before and self._calls.epochs.was_restored)),
        )

    async def watch_leadership(self, after: int, wait: float, margin: float) -> bool | StoreUnavailable:
        """Wait for a change after a position; return False if there was none within ``wait`` seconds."""
        events = await self._watch_prefix(ROUTER_PREFIX, after, wait, margin)
        if isinstance(events, StoreUnavailable):
            return events
        return isinstance(events, RevisionExpired) or bool(events.events)

    async def claim_leadership(
        self, holder: str, lifetime: float, seen: LeadershipState
    ) -> LeadershipClaim | LeadershipTaken | StoreUnavailable:
        """Claim the leadership, provided that nobody holds it and the last order and epoch are those in ``seen``."""
        lease = decode(await self._calls.post("kv-lease", {"ttl_ms": int(lifetime * 1000)}), LeaseResponse)
        if isinstance(lease, StoreUnavailable):
            return lease
        value = base64.b64encode(holder.encode()).decode()
        change = {
            "if_revision": [
                {"tls_key": LEADER_KEY, "revision": 0},
                {"tls_key": LAST_ORDER_KEY, "revision": get_revision(seen.last_order)},
            ],
            "put": [{"tls_key": LEADER_KEY, "value": value, "lease": lease.lease}],
            "remove": [],
        }
        response = await self._calls.post("kv-txn", change)
        if isinstance(response, str):
            return StoreUnavailable(response)
        if response.head.status == 412:
            return LeadershipTaken()
        changed = decode(response, ChangeResponse)
        if isinstance(changed, StoreUnavailable):
            return changed
        epoch = self._calls.record_epoch(response)
        return (
            LeadershipClaim(lease.lease, make_position(epoch, changed.revision))
            if epoch == get_epoch(seen.revision)
            else LeadershipTaken()
        )

    async def renew_leadership(self, claim: LeadershipClaim, timeout: float) -> bool | StoreUnavailable:
        """Renew the lease of a claim; return whether the claim is still valid."""
        response = await self._calls.post(f"kv-keep/{claim.lease}", {}, timeout)
        if isinstance(response, str):
            return StoreUnavailable(response)
        if response.head.status in (200, 404):
            return response.head.status == 200 and self._calls.record_epoch(response) == get_epoch(claim.revision)
        return StoreUnavailable(f"status {response.head.status}")

    async def record_order(self, claim: LeadershipClaim, order: str) -> bool | StoreUnavailable:
        """Store an order, provided that the claim is still valid; return whether it was stored."""
        change = {
            "if_revision": [{"tls_key": LEADER_KEY, "revision": get_revision(claim.revision)}],
            "put": [{"tls_key": LAST_ORDER_KEY, "value": base64.b64encode(order.encode()).decode(), "lease": 0}],
            "remove": [],
        }
        response = await self._calls.post("kv-txn", change)
        if isinstance(response, str):
            return StoreUnavailable(response)
        if response.head.status in (200, 412):
            # after a restore, another VM's claim may have the same revision
            return response.head.status == 200 and self._calls.record_epoch(response) == get_epoch(claim.revision)
        return StoreUnavailable(f"status {response.head.status}")

    async def _watch_prefix(
        self, prefix: str, after: int, wait: float, margin: float
    ) -> EventsResponse | StoreUnavailable | RevisionExpired:
        """Wait for changes after a position.

        ``RevisionExpired`` means that the list must be read again: the store no longer has the history, the position is
        of another epoch, or the last list was read too soon after a restore.
        """
        now = self._clock.now()
        if prefix in self._unsettled_prefixes:
            if self._calls.epochs.is_settled(now):
                return RevisionExpired()
            wait = min(wait, self._calls.epochs.settled_at - now)
        if get_epoch(after) != (self._calls.epochs.epoch or 0):
            return RevisionExpired()
        query = {"path_prefix": prefix, "after": str(get_revision(after)), "wait_ms": str(int(wait * 1000))}
        response = await self._calls.get("kv-watch", query, wait + margin)
        if not isinstance(response, str) and response.head.status == 410:
            return RevisionExpired()
        events = self._calls.decode_items(response, EventsResponse)
        return (
            RevisionExpired()
            if isinstance(events, EventsResponse) and get_epoch(events.at) != get_epoch(after)
            else events
        )

    def _make_document(self, item: Item) -> Document | None:
        raw = item.raw
        table = None if raw is None else self._documents.read_configuration(raw)
        return None if raw is None or table is None else Document(raw, table)

    def _make_entry(self, item: Item) -> Entry:
        return self._documents.read_entry(
            UpstreamId(item.tls_key.removeprefix(UPSTREAM_PREFIX)), item.revision, item.raw
        )


def _parse_quarantine_key(key: str) -> Fingerprint | None:
    """Return the quarantined fingerprint of a key, or None for other keys."""
    name = key.removeprefix(QUARANTINE_PREFIX)
    if not name or len(name) % (2 * DIGEST_BYTES) or not set(name) <= HEX_DIGITS:
        return None
    return Fingerprint(bytes.fromhex(name))


def _get_write_failure(response: BufferedResponse | str) -> StoreUnavailable | None:
    """Return the error if a change may have failed; status 412 means that another VM has already made it."""
    if isinstance(response, str):
        return StoreUnavailable(response)
    return None if response.head.status in (200, 412) else StoreUnavailable(f"status {response.head.status}")

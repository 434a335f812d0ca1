"""The platform's store: reads and watches of the operators' configuration and of the upstreams' entries."""

from __future__ import annotations

import base64
from dataclasses import replace
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import urlencode

import msgspec

from beamhatch.platform.epochs import EpochWatch, find_epoch, find_revision, make_position, read_epoch
from beamhatch.relay.api import (
    DirectiveUpdate,
    Document,
    LeadershipClaim,
    LeadershipState,
    LeadershipTaken,
    ListingUpdate,
    RevisionExpired,
    Store,
    StoreUnavailable,
)
from beamhatch.relay.fleet.evacuations import Evacuation
from beamhatch.relay.model import Fingerprint, UpstreamId
from beamhatch.relay.requests.fingerprint import FINGERPRINT_BYTES
from beamhatch.relay.upstreams.http_client import Call
from beamhatch.relay.upstreams.http_fetch import fetch

if TYPE_CHECKING:
    from beamhatch.clock import Clock
    from beamhatch.platform.documents import PlatformDocuments
    from beamhatch.platform.epochs import Epoch
    from beamhatch.relay.model import Address
    from beamhatch.relay.requests.answer import WholeAnswer
    from beamhatch.relay.upstreams.http_client import HttpClient
    from beamhatch.relay.upstreams.listing import Entry

OPERATORS = "op/"
CONFIGURATION = f"{OPERATORS}config"
EVACUATIONS = f"{OPERATORS}evacuate/"
"""A key of a hall is there as long as the hall is emptied; its value says nothing."""

LONGEST_HALL_NAME = 100
"""Characters: what is longer names no hall, and would stand in each beat to a peer."""

UPSTREAMS = "servers/"
OWN = "beamhatch/"
LEADER = f"{OWN}leader"
LAST_ORDER = f"{OWN}order"
QUARANTINE = f"{OWN}quarantine/"
"""A key of a fingerprint is there as long as its quarantine is kept; its value says nothing."""

HEX_DIGITS = frozenset("0123456789abcdef")

READ_TIMEOUT = 2.0
"""Seconds for one call: 500 times what an answer takes when the store is well."""

WATCH_MARGIN = 2.0
"""Seconds beyond its wait after which a watch is taken as lost."""


Read = TypeVar("Read", bound=msgspec.Struct)


class _Item(msgspec.Struct):
    tls_key: str
    revision: int
    value: str = ""
    gone: bool = False
    at: int = 0

    @property
    def raw(self) -> bytes | None:
        """Return the value, or None where the key is gone."""
        return None if self.gone else msgspec.json.decode(b'"' + self.value.encode() + b'"', type=bytes)


class _Range(msgspec.Struct):
    items: list[_Item]
    more: bool
    at: int
    """Behind ``_ask``, this and the items' revisions are positions."""


class _Lease(msgspec.Struct):
    lease: int


class _Changed(msgspec.Struct):
    revision: int


class _Events(msgspec.Struct):
    events: list[_Item]
    at: int


Listed = TypeVar("Listed", _Range, _Events)


class PlatformStore(Store):
    """Speaks to the store over HTTP."""

    def __init__(self, client: HttpClient, clock: Clock, address: Address, documents: PlatformDocuments) -> None:
        self._client = client
        self._clock = clock
        self._address = address
        self._documents = documents
        self._epochs = EpochWatch()
        self._leadership_at = 0
        """The position of the last look at who leads, 0 before the first."""
        self._unsettled: set[str] = set()
        """Prefixes whose lists were read before they were complete again."""
        self._read: set[str] = set()
        """Prefixes whose lists were read at all."""

    async def read_directives(self, known: int) -> DirectiveUpdate | StoreUnavailable:
        """Return the configuration in force, and all halls that are emptied."""
        items = await self._read_all(OPERATORS)
        if isinstance(items, StoreUnavailable):
            return items
        return replace(self._make_directives(items), authoritative=self._note_read(OPERATORS, known))

    async def watch_directives(self, after: int, wait: float) -> DirectiveUpdate | StoreUnavailable | RevisionExpired:
        """Return what the operators changed behind a revision."""
        events = await self._watch(OPERATORS, after, wait)
        if not isinstance(events, _Events):
            return events
        settled = OPERATORS not in self._unsettled and not self._epochs.may_be_restored(self._clock.now())
        return replace(self._make_directives(events), authoritative=settled)

    def _make_directives(self, events: _Events) -> DirectiveUpdate:
        documents = [item for item in events.events if item.tls_key == CONFIGURATION and not item.gone]
        evacuations = [
            Evacuation(item.tls_key.removeprefix(EVACUATIONS), item.revision, not item.gone)
            for item in events.events
            if item.tls_key.startswith(EVACUATIONS) and 0 < len(item.tls_key) - len(EVACUATIONS) <= LONGEST_HALL_NAME
        ]
        return DirectiveUpdate(self._read_document(documents[-1]) if documents else None, evacuations, events.at)

    async def read_listing(self, known: int) -> ListingUpdate | StoreUnavailable:
        """Return all upstreams."""
        items = await self._read_all(UPSTREAMS)
        if isinstance(items, StoreUnavailable):
            return items
        entries = [self._make_entry(item) for item in items.events]
        return ListingUpdate(entries, items.at, authoritative=self._note_read(UPSTREAMS, known))

    def _note_read(self, prefix: str, known: int) -> bool:
        """Note that a list was read; return whether what it lacks is gone, else it is read again later.

        :param known: the position of the oldest news that this VM has from peers, 0 where there are none
        """
        now = self._clock.now()
        if known:
            self._epochs.note_known(find_epoch(known), now)
        settled = self._epochs.is_settled(now)
        if settled:
            self._unsettled.discard(prefix)
        else:
            self._unsettled.add(prefix)
        is_complete = known > 0 or prefix in self._read or not self._epochs.may_be_restored(now)
        self._read.add(prefix)
        return settled and is_complete

    async def watch_listing(self, after: int, wait: float) -> ListingUpdate | StoreUnavailable | RevisionExpired:
        """Return changes of upstreams behind a revision."""
        events = await self._watch(UPSTREAMS, after, wait)
        if not isinstance(events, _Events):
            return events
        return ListingUpdate([self._make_entry(item) for item in events.events], events.at)

    async def _read_all(self, prefix: str) -> _Events | StoreUnavailable:
        """Return all items with a prefix, as of the first page; a watch from there tells what changed meanwhile."""
        items: list[_Item] = []
        at = None
        query = {"path_prefix": prefix}
        while True:
            page = self._place(await self._get("kv-range", query), _Range)
            if isinstance(page, StoreUnavailable):
                return page
            at = page.at if at is None else at
            if find_epoch(page.at) != find_epoch(at):
                return StoreUnavailable("the store was restored between two pages")
            items += page.items
            if not page.more or not page.items:
                return _Events(items, at)
            query["after"] = page.items[-1].tls_key

    async def store_quarantine(self, fingerprint: Fingerprint, seconds: float) -> StoreUnavailable | None:
        """Write the key of a fingerprint under a lease of its own, unless it is there."""
        lease = _decode(await self._post("kv-lease", {"ttl_ms": int(seconds * 1000)}), _Lease)
        if isinstance(lease, StoreUnavailable):
            return lease
        key = f"{QUARANTINE}{fingerprint.hex()}"
        change = {
            "if_revision": [{"tls_key": key, "revision": 0}],
            "put": [{"tls_key": key, "value": "", "lease": lease.lease}],
            "remove": [],
        }
        return _find_loss(await self._post("kv-txn", change))

    async def delete_quarantine(self, fingerprint: Fingerprint) -> StoreUnavailable | None:
        """Remove the key of a fingerprint."""
        change = {"if_revision": [], "put": [], "remove": [f"{QUARANTINE}{fingerprint.hex()}"]}
        return _find_loss(await self._post("kv-txn", change))

    async def read_leadership(self) -> LeadershipState | StoreUnavailable:
        """Return who leads, what the last order was, and which requests are held."""
        page = self._place(await self._get("kv-range", {"path_prefix": OWN}), _Range)
        if isinstance(page, StoreUnavailable):
            return page
        before, self._leadership_at = self._leadership_at, page.at
        items = {item.tls_key: item for item in page.items}
        order = items.get(LAST_ORDER)
        restored = 0 < find_epoch(before) < find_epoch(page.at) or not self._epochs.is_settled(self._clock.now())
        return LeadershipState(
            has_leader=LEADER in items,
            last_order=0 if order is None else order.revision,
            revision=page.at,
            order="" if order is None else (order.raw or b"").decode(),
            quarantined=[found for found in map(_read_fingerprint, items) if found is not None],
            restored=restored,
            order_may_be_lost=order is None and (restored or (not before and self._epochs.was_restored)),
        )

    async def watch_leadership(self, after: int, wait: float) -> bool | StoreUnavailable:
        """Return True as soon as something changed behind a revision."""
        events = await self._watch(OWN, after, wait)
        if isinstance(events, StoreUnavailable):
            return events
        return isinstance(events, RevisionExpired) or bool(events.events)

    async def claim_leadership(
        self, holder: str, lifetime: float, seen: LeadershipState
    ) -> LeadershipClaim | LeadershipTaken | StoreUnavailable:
        """Claim the leadership on the condition that all is as it was seen."""
        lease = _decode(await self._post("kv-lease", {"ttl_ms": int(lifetime * 1000)}), _Lease)
        if isinstance(lease, StoreUnavailable):
            return lease
        value = base64.b64encode(holder.encode()).decode()
        change = {
            "if_revision": [
                {"tls_key": LEADER, "revision": 0},
                {"tls_key": LAST_ORDER, "revision": find_revision(seen.last_order)},
            ],
            "put": [{"tls_key": LEADER, "value": value, "lease": lease.lease}],
            "remove": [],
        }
        answer = await self._post("kv-txn", change)
        if isinstance(answer, str):
            return StoreUnavailable(answer)
        if answer.head.status == 412:
            return LeadershipTaken()
        changed = _decode(answer, _Changed)
        if isinstance(changed, StoreUnavailable):
            return changed
        epoch = self._note_epoch(answer)
        return (
            LeadershipClaim(lease.lease, make_position(epoch, changed.revision))
            if epoch == find_epoch(seen.revision)
            else LeadershipTaken()
        )

    async def renew_leadership(self, claim: LeadershipClaim, timeout: float) -> bool | StoreUnavailable:
        """Renew the lease of a claim."""
        answer = await self._post(f"kv-keep/{claim.lease}", {}, timeout)
        if isinstance(answer, str):
            return StoreUnavailable(answer)
        if answer.head.status in (200, 404):
            return answer.head.status == 200 and self._note_epoch(answer) == find_epoch(claim.revision)
        return StoreUnavailable(f"status {answer.head.status}")

    async def record_order(self, claim: LeadershipClaim, order: str) -> bool | StoreUnavailable:
        """Write an order down on the condition that the claim stands."""
        change = {
            "if_revision": [{"tls_key": LEADER, "revision": find_revision(claim.revision)}],
            "put": [{"tls_key": LAST_ORDER, "value": base64.b64encode(order.encode()).decode(), "lease": 0}],
            "remove": [],
        }
        answer = await self._post("kv-txn", change)
        if isinstance(answer, str):
            return StoreUnavailable(answer)
        if answer.head.status in (200, 412):
            # after a restore, the revision may be that of another VM's claim
            return answer.head.status == 200 and self._note_epoch(answer) == find_epoch(claim.revision)
        return StoreUnavailable(f"status {answer.head.status}")

    async def _watch(self, prefix: str, after: int, wait: float) -> _Events | StoreUnavailable | RevisionExpired:
        """Wait for changes behind a position: none of an earlier epoch, and not beyond the time to read again."""
        now = self._clock.now()
        if prefix in self._unsettled:
            if self._epochs.is_settled(now):
                return RevisionExpired()
            wait = min(wait, self._epochs.settled_at - now)
        if find_epoch(after) != (self._epochs.epoch or 0):
            return RevisionExpired()
        query = {"path_prefix": prefix, "after": str(find_revision(after)), "wait_ms": str(int(wait * 1000))}
        answer = await self._get("kv-watch", query, wait + WATCH_MARGIN)
        if not isinstance(answer, str) and answer.head.status == 410:
            return RevisionExpired()
        events = self._place(answer, _Events)
        return (
            RevisionExpired() if isinstance(events, _Events) and find_epoch(events.at) != find_epoch(after) else events
        )

    def _note_epoch(self, answer: WholeAnswer) -> Epoch:
        """Take in the epoch that an answer tells, and return it."""
        epoch = read_epoch(answer.head.headers)
        before = self._epochs.epoch
        if self._epochs.take(epoch, self._clock.now()):
            self._documents.journal.write("STORE", "restored from a backup", epoch=epoch, before=before)
        return epoch

    def _place(self, answer: WholeAnswer | str, wanted: type[Listed]) -> Listed | StoreUnavailable:
        """Return the items of an answer, with positions in place of revisions."""
        if isinstance(answer, str):
            return StoreUnavailable(answer)
        found = _decode(answer, wanted)
        if isinstance(found, StoreUnavailable):
            return found
        epoch = self._note_epoch(answer)
        found.at = make_position(epoch, found.at)
        for item in found.items if isinstance(found, _Range) else found.events:
            item.revision = make_position(epoch, item.revision)
        return found

    async def _post(self, name: str, body: object, timeout: float = READ_TIMEOUT) -> WholeAnswer | str:
        headers = [("Host", str(self._address)), ("Content-Type", "application/json")]
        call = Call("POST", f"/api/{name}", headers, msgspec.json.encode(body))
        return await fetch(self._client, self._clock, self._address, call, timeout)

    async def _get(self, name: str, query: dict[str, str], timeout: float = READ_TIMEOUT) -> WholeAnswer | str:
        call = Call("GET", f"/api/{name}?{urlencode(query)}", [("Host", str(self._address))])
        return await fetch(self._client, self._clock, self._address, call, timeout)

    def _read_document(self, item: _Item) -> Document | None:
        raw = item.raw
        table = None if raw is None else self._documents.read_configuration(raw)
        return None if raw is None or table is None else Document(raw, table)

    def _make_entry(self, item: _Item) -> Entry:
        return self._documents.read_entry(UpstreamId(item.tls_key.removeprefix(UPSTREAMS)), item.revision, item.raw)


def _read_fingerprint(key: str) -> Fingerprint | None:
    """Return the fingerprint whose quarantine a key keeps, or None where it is another key."""
    name = key.removeprefix(QUARANTINE)
    if len(name) != 2 * FINGERPRINT_BYTES or not set(name) <= HEX_DIGITS:
        return None
    return Fingerprint(bytes.fromhex(name))


def _find_loss(answer: WholeAnswer | str) -> StoreUnavailable | None:
    """Return whether a change may not have been made; where its condition did not hold, another VM has made it."""
    if isinstance(answer, str):
        return StoreUnavailable(answer)
    return None if answer.head.status in (200, 412) else StoreUnavailable(f"status {answer.head.status}")


def _decode(answer: WholeAnswer | str, wanted: type[Read]) -> Read | StoreUnavailable:
    if isinstance(answer, str):
        return StoreUnavailable(answer)
    if answer.head.status != 200:
        return StoreUnavailable(f"status {answer.head.status}")
    try:
        return msgspec.json.decode(answer.body, type=wanted)
    except (msgspec.DecodeError, msgspec.ValidationError) as problem:
        return StoreUnavailable(f"unreadable answer: {problem}")

"""Calls to the platform's store, and the decoding of its answers.

Revisions of the store are converted to positions, which also order changes across restores (see ``epochs``).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar
from urllib.parse import urlencode

import msgspec

from beamhatch.platform.epochs import EpochTracker, get_epoch, make_position, read_epoch
from beamhatch.relay.store_results import StoreUnavailable
from beamhatch.relay.upstreams.call import Call
from beamhatch.relay.upstreams.http_fetch import fetch

if TYPE_CHECKING:
    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.platform.epochs import Epoch
    from beamhatch.relay.model import Address
    from beamhatch.relay.requests.response import BufferedResponse
    from beamhatch.relay.upstreams.http_client import HttpClient

CALL_TIMEOUT_S = 2.0
"""Far more than the few milliseconds in which the store usually answers."""

Decoded = TypeVar("Decoded", bound=msgspec.Struct)


class Item(msgspec.Struct):
    """One key of the store: its value, or that it was removed."""

    tls_key: str
    revision: int
    value: str = ""
    gone: bool = False
    at: int = 0

    @property
    def raw(self) -> bytes | None:
        """Return the decoded value, or None if the key was removed."""
        return None if self.gone else msgspec.json.decode(b'"' + self.value.encode() + b'"', type=bytes)


class RangeResponse(msgspec.Struct):
    """A page of a list."""

    items: list[Item]
    more: bool
    at: int
    """A revision as received; ``StoreClient.decode_items`` replaces it and the items' revisions by positions."""


class LeaseResponse(msgspec.Struct):
    """A lease that was granted."""

    lease: int


class ChangeResponse(msgspec.Struct):
    """The revision of a change that was made."""

    revision: int


class EventsResponse(msgspec.Struct):
    """Changes up to a revision, or a whole list as of one."""

    events: list[Item]
    at: int


ItemsResponse = TypeVar("ItemsResponse", RangeResponse, EventsResponse)


class StoreClient:
    """HTTP client of the store, shared by all that one VM keeps there."""

    def __init__(self, client: HttpClient, clock: Clock, address: Address, journal: Journal) -> None:
        self._client = client
        self._clock = clock
        self._address = address
        self._journal = journal
        self.epochs = EpochTracker()

    async def read_all(self, prefix: str) -> EventsResponse | StoreUnavailable:
        """Return all items with a prefix, as of the first page; a watch from there returns later changes."""
        items: list[Item] = []
        at = None
        query = {"path_prefix": prefix}
        while True:
            page = self.decode_items(await self.get("kv-range", query), RangeResponse)
            if isinstance(page, StoreUnavailable):
                return page
            at = page.at if at is None else at
            if get_epoch(page.at) != get_epoch(at):
                return StoreUnavailable("the store was restored between two pages of a list")
            items += page.items
            if not page.more or not page.items:
                return EventsResponse(items, at)
            query["after"] = page.items[-1].tls_key

    def record_epoch(self, response: BufferedResponse) -> Epoch:
        """Record and return the epoch of a response."""
        epoch = read_epoch(response.head.headers)
        before = self.epochs.epoch
        if self.epochs.record(epoch, self._clock.now()):
            self._journal.write("STORE", "restored from a backup", epoch=epoch, before=before)
        return epoch

    def decode_items(
        self, response: BufferedResponse | str, wanted: type[ItemsResponse]
    ) -> ItemsResponse | StoreUnavailable:
        """Decode a response with items, and replace its revisions by positions."""
        if isinstance(response, str):
            return StoreUnavailable(response)
        found = decode(response, wanted)
        if isinstance(found, StoreUnavailable):
            return found
        epoch = self.record_epoch(response)
        found.at = make_position(epoch, found.at)
        for item in found.items if isinstance(found, RangeResponse) else found.events:
            item.revision = make_position(epoch, item.revision)
        return found

    async def post(self, name: str, body: object, timeout: float = CALL_TIMEOUT_S) -> BufferedResponse | str:
        """Send a call with a body; return its answer, or the error as text."""
        headers = [("Host", str(self._address)), ("Content-Type", "application/json")]
        call = Call("POST", f"/api/{name}", headers, msgspec.json.encode(body))
        return await fetch(self._client, self._clock, self._address, call, timeout)

    async def get(self, name: str, query: dict[str, str], timeout: float = CALL_TIMEOUT_S) -> BufferedResponse | str:
        """Send a call without a body; return its answer, or the error as text."""
        call = Call("GET", f"/api/{name}?{urlencode(query)}", [("Host", str(self._address))])
        return await fetch(self._client, self._clock, self._address, call, timeout)


def decode(response: BufferedResponse | str, wanted: type[Decoded]) -> Decoded | StoreUnavailable:
    """Return the body of an answer with status 200."""
    if isinstance(response, str):
        return StoreUnavailable(response)
    if response.head.status != 200:
        return StoreUnavailable(f"status {response.head.status}")
    try:
        return msgspec.json.decode(response.body, type=wanted)
    except (msgspec.DecodeError, msgspec.ValidationError) as problem:
        return StoreUnavailable(f"invalid response: {problem}")

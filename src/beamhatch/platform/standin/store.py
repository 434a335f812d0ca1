"""Stand-in for the platform's store: revisions, ranges, watches, leases, transactions, restores and faults."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING, Any

from beamhatch.platform.standin.base import StandIn, read_query, send_json
from beamhatch.relay.callers.http_server import IncomingRequest, RequestHandler, Responder

if TYPE_CHECKING:
    from beamhatch.clock import Clock
    from beamhatch.relay.model import Address


class StoreFault(Enum):
    """Injected faults of the store."""

    NONE = "none"
    UNAVAILABLE = "busy"
    """Respond with 503 to all requests."""
    UNRESPONSIVE = "silent"
    """Ignore all requests."""
    READ_ONLY = "read-only"
    """Respond with 503 to transactions."""
    RESPONSE_LOST = "lost"
    """Process requests without responding."""


@dataclass(slots=True)
class _Item:
    value: bytes
    revision: int
    created_revision: int
    lease: int


@dataclass(frozen=True, slots=True)
class StoreBackup:
    """A snapshot of the store without leased keys."""

    revision: int
    items: dict[str, _Item]


@dataclass(slots=True)
class _Watch:
    prefix: str
    after: int
    responder: Responder


class StandInStore(StandIn):
    """An in-memory store."""

    def __init__(self, clock: Clock, address: Address) -> None:
        super().__init__(clock, address)
        self.fault = StoreFault.NONE
        self.calls = 0
        """Number of requests so far, including rejected ones."""
        self.renewals = 0
        """Number of requests among ``calls`` that renew a lease."""
        self.quiet_watches = 0
        """Number of watches among ``calls`` that ended as nothing had changed."""
        self.revision = 0
        self.epoch = 1
        """Incremented by each restore from a backup."""
        self._items: dict[str, _Item] = {}
        self._history: list[tuple[int, str, bytes | None]] = []
        self._history_start = 0
        self._watches: list[_Watch] = []
        self._lease_timers: dict[int, Any] = {}
        self._lease_ttls: dict[int, float] = {}

    # --- changes by operators and upstreams --------------------------------------------------------------------------

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write a value, as is if it is bytes, else as JSON; return the revision."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self._items.get(key)
        self._items[key] = _Item(raw, self.revision, known.created_revision if known else self.revision, lease)
        self._record_change(key, raw)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._record_change(key, None)

    def get_newest_revision(self, prefix: str) -> int:
        """Return the highest revision of the existing keys with a prefix, 0 if there are none."""
        return max((item.revision for key, item in self._items.items() if key.startswith(prefix)), default=0)

    def discard_history(self) -> None:
        """Discard the history of changes and abort all watches."""
        self._history.clear()
        self._history_start = self.revision
        watches, self._watches = self._watches, []
        for watch in watches:
            watch.responder.abort()

    def make_backup(self) -> StoreBackup:
        """Return a backup of all keys without a lease."""
        return StoreBackup(self.revision, {key: replace(item) for key, item in self._items.items() if not item.lease})

    def restore(self, backup: StoreBackup) -> None:
        """Restore a backup: later changes and all leases are lost, and revisions are assigned again."""
        for timer in self._lease_timers.values():
            if timer.active():
                timer.cancel()
        self._lease_timers.clear()
        self._items = {key: replace(item) for key, item in backup.items.items()}
        self.revision = backup.revision
        self.epoch += 1
        self._history.clear()
        self._history_start = self.revision
        self.abort_connections()
        self._watches.clear()

    def _send_response(self, responder: Responder, status: int, value: object) -> None:
        send_json(responder, status, value, ("Store-Era", str(self.epoch)))

    def _record_change(self, key: str, value: bytes | None) -> None:
        self._history.append((self.revision, key, value))
        waiting, self._watches = self._watches, []
        for watch in waiting:
            if not self._send_watch_events(watch):
                self._watches.append(watch)

    # --- requests ----------------------------------------------------------------------------------------------------

    def serve(self, incoming: IncomingRequest, responder: Responder) -> RequestHandler | None:
        """Handle one request."""
        self.calls += 1
        if self.fault is StoreFault.UNRESPONSIVE:
            return None
        if self.fault is StoreFault.UNAVAILABLE:
            self._send_response(responder, 503, {})
            return None
        name = incoming.path.split("/")[2]
        self.renewals += name == "kv-keep"
        if self.fault is StoreFault.RESPONSE_LOST:
            responder = _DiscardingResponder()
        if name == "kv-key":
            self._serve_key(read_query(incoming)["tls_key"], responder)
        elif name == "kv-range":
            self._serve_range(read_query(incoming), responder)
        elif name == "kv-watch":
            self._serve_watch(read_query(incoming), responder)
        elif name == "kv-txn" and self.fault is StoreFault.READ_ONLY:
            self._send_response(responder, 503, {})
        elif name == "kv-txn":
            self._serve_transaction(json.loads(incoming.body), responder)
        else:
            self._serve_lease(name, incoming, responder)
        return None

    def _serve_key(self, key: str, responder: Responder) -> None:
        if key in self._items:
            self._send_response(responder, 200, {**self._describe_item(key), "at": self.revision})
        else:
            self._send_response(responder, 404, {"at": self.revision})

    def _serve_range(self, query: dict[str, str], responder: Responder) -> None:
        keys = sorted(
            key for key in self._items if key.startswith(query["path_prefix"]) and key > query.get("after", "")
        )
        page = keys[:50]
        items = [self._describe_item(key) for key in page]
        self._send_response(responder, 200, {"items": items, "more": len(page) < len(keys), "at": self.revision})

    def _serve_watch(self, query: dict[str, str], responder: Responder) -> None:
        watch = _Watch(query["path_prefix"], int(query["after"]), responder)
        if not self._history_start <= watch.after <= self.revision:
            self._send_response(responder, 410, {})
        elif not self._send_watch_events(watch):
            self._watches.append(watch)
            self.clock.call_later(int(query["wait_ms"]) / 1000, self._end_watch, watch)

    def _send_watch_events(self, watch: _Watch) -> bool:
        events = []
        for revision, key, value in self._history:
            if revision > watch.after and key.startswith(watch.prefix):
                event: dict[str, object] = {"tls_key": key, "revision": revision}
                event |= {"gone": True} if value is None else {"value": base64.b64encode(value).decode()}
                events.append(event)
        if events:
            self._send_response(watch.responder, 200, {"events": events, "at": self.revision})
        return bool(events)

    def _end_watch(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            self.quiet_watches += 1
            self._send_response(watch.responder, 200, {"events": [], "at": self.revision})

    def _serve_transaction(self, transaction: dict[str, Any], responder: Responder) -> None:
        conditions = transaction.get("if_revision", [])
        if any(self._get_revision(row["tls_key"]) != row["revision"] for row in conditions):
            items = [self._describe_item(row["tls_key"]) for row in conditions if row["tls_key"] in self._items]
            self._send_response(responder, 412, {"items": items})
            return
        if any(row.get("lease", 0) and row["lease"] not in self._lease_timers for row in transaction.get("put", [])):
            self._send_response(responder, 404, {})
            return
        for row in transaction.get("put", []):
            self.put(row["tls_key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in transaction.get("remove", []):
            self.remove(key)
        self._send_response(responder, 200, {"revision": self.revision})

    def _get_revision(self, key: str) -> int:
        return self._items[key].revision if key in self._items else 0

    def _serve_lease(self, name: str, incoming: IncomingRequest, responder: Responder) -> None:
        if name == "kv-lease":
            lease = 1000 + len(self._lease_ttls)
            self._lease_ttls[lease] = json.loads(incoming.body)["ttl_ms"] / 1000
            self._renew_lease(lease)
            self._send_response(responder, 200, {"lease": lease, "ttl_ms": int(self._lease_ttls[lease] * 1000)})
            return
        lease = int(incoming.path.rpartition("/")[2])
        if lease not in self._lease_timers:
            self._send_response(responder, 404, {})
        elif name == "kv-keep":
            self._renew_lease(lease)
            self._send_response(responder, 200, {"ttl_ms": int(self._lease_ttls[lease] * 1000)})
        else:
            self._end_lease(lease)
            self._send_response(responder, 200, {})

    def _renew_lease(self, lease: int) -> None:
        timer = self._lease_timers.get(lease)
        if timer is not None and timer.active():
            timer.cancel()
        self._lease_timers[lease] = self.clock.call_later(self._lease_ttls[lease], self._end_lease, lease)

    def _end_lease(self, lease: int) -> None:
        timer = self._lease_timers.pop(lease, None)
        if timer is not None and timer.active():
            timer.cancel()
        for key in [key for key, item in self._items.items() if item.lease == lease]:
            self.remove(key)

    def _describe_item(self, key: str) -> dict[str, object]:
        item = self._items[key]
        value = base64.b64encode(item.value).decode()
        return {
            "tls_key": key,
            "value": value,
            "revision": item.revision,
            "made": item.created_revision,
            "lease": item.lease,
        }


class _DiscardingResponder(Responder):
    """A responder that discards the response."""

    def __init__(self) -> None:
        self.begun = False

    def send_response(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        """Discard the response."""

    def abort(self) -> None:
        """Do nothing, as no response was started."""

"""A stand-in for the platform's key-value service, by a part of etcd's published v3 JSON interface.

It has compare-and-swap, leases and watches, and counts its calls. Faults can be ordered: down, slow, a reply that is
lost after the write took effect, and readers that see an old value.
"""

from __future__ import annotations

import argparse
import base64
import json
from collections import Counter
from dataclasses import dataclass
from typing import Any

from twisted.web import server

from beamhatch.standin.base import JsonRoot, announce, listen, send_json


@dataclass(slots=True)
class Entry:
    """One key."""

    value: str
    revision: int
    lease: int = 0
    before: tuple[str, int] | None = None
    """The value and revision before the last write, for readers that lag."""


class KvRoot(JsonRoot):
    """The service's paths."""

    def __init__(self, reactor: Any) -> None:
        super().__init__()
        self._reactor = reactor
        self.entries: dict[str, Entry] = {}
        self.revision = 1
        self.calls: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.down = False
        self.seconds = 0.0
        self._leases: dict[int, tuple[float, Any]] = {}
        self._watches: list[tuple[str, server.Request]] = []
        self.routes = {
            "/v3/kv/range": self._serve("range", self._range),
            "/v3/kv/put": self._serve("put", self._put),
            "/v3/kv/txn": self._serve("txn", self._transact),
            "/v3/lease/grant": self._serve("lease", self._grant),
            "/v3/lease/keepalive": self._serve("keepalive", self._keep_alive),
            "/v3/lease/revoke": self._serve("revoke", self._revoke),
            "/v3/watch": self._watch,
            "/judge": lambda request, body: {"calls": dict(self.calls), "watches": len(self._watches)},
            "/faults": self._set_faults,
        }

    def _serve(self, kind: str, work: Any) -> Any:
        def handle(request: server.Request, body: Any) -> object:
            self.calls[kind] += 1
            if self.down:
                request.transport.abortConnection()
                return server.NOT_DONE_YET
            result = work(body)
            if self._take_fault(f"down_after_{kind}"):
                self.down = True
                self.faults[f"lose_{kind}"] += 1
            if self._take_fault(f"lose_{kind}"):
                request.transport.abortConnection()
                return server.NOT_DONE_YET
            if self.seconds:
                self._reactor.callLater(self.seconds, _send_if_open, request, result)
                return server.NOT_DONE_YET
            return result

        return handle

    # --- keys ------------------------------------------------------------------------------------------------------

    def _range(self, body: Any) -> object:
        entry = self.entries.get(body["key"])
        if entry is None:
            return {"header": self._head(), "count": "0"}
        value, revision = entry.value, entry.revision
        if entry.before is not None and self._take_fault("stale_read"):
            value, revision = entry.before
        found = {"key": body["key"], "value": value, "mod_revision": str(revision)}
        return {"header": self._head(), "kvs": [found], "count": "1"}

    def _put(self, body: Any) -> object:
        self._write(body["key"], body.get("value", ""), int(body.get("lease", 0)))
        return {"header": self._head()}

    def _transact(self, body: Any) -> object:
        holds = all(self._compare(one) for one in body.get("compare", []))
        for operation in body.get("success" if holds else "failure", []):
            put = operation.get("requestPut") or operation.get("request_put")
            if put is not None:
                self._write(put["key"], put.get("value", ""), int(put.get("lease", 0)))
        return {"header": self._head(), "succeeded": holds}

    def _compare(self, compare: Any) -> bool:
        entry = self.entries.get(compare["key"])
        return (entry.revision if entry else 0) == int(compare.get("mod_revision", 0))

    def _write(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        known = self.entries.get(key)
        before = (known.value, known.revision) if known else None
        self.entries[key] = Entry(value, self.revision, lease, before)
        self._tell(key, {"type": "PUT", "kv": {"key": key, "value": value, "mod_revision": str(self.revision)}})

    def _delete(self, key: str) -> None:
        self.revision += 1
        del self.entries[key]
        self._tell(key, {"type": "DELETE", "kv": {"key": key, "mod_revision": str(self.revision)}})

    def _head(self) -> dict[str, str]:
        return {"revision": str(self.revision)}

    # --- leases ----------------------------------------------------------------------------------------------------

    def _grant(self, body: Any) -> object:
        lease = int(body.get("ID") or 0) or self.revision * 1000 + len(self._leases) + 1
        self._start_lease(lease, float(body["TTL"]))
        return {"ID": str(lease), "TTL": str(body["TTL"])}

    def _start_lease(self, lease: int, seconds: float) -> None:
        self._leases[lease] = (seconds, self._reactor.callLater(seconds, self._end_lease, lease))

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, entry in self.entries.items() if entry.lease == lease]:
            self._delete(key)

    def _keep_alive(self, body: Any) -> object:
        lease = int(body["ID"])
        found = self._leases.pop(lease, None)
        if found is None:
            return {"result": {"ID": str(lease), "TTL": "0"}}
        found[1].cancel()
        self._start_lease(lease, found[0])
        return {"result": {"ID": str(lease), "TTL": str(found[0])}}

    def _revoke(self, body: Any) -> object:
        lease = int(body["ID"])
        found = self._leases.get(lease)
        if found is not None:
            found[1].cancel()
            self._end_lease(lease)
        return {}

    # --- watches ---------------------------------------------------------------------------------------------------

    def _watch(self, request: server.Request, body: Any) -> object:
        self.calls["watch"] += 1
        if self.down:
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        create = body["create_request"]
        watch = (create["key"], request)
        self._watches.append(watch)
        request.notifyFinish().addErrback(lambda _: self._watches.remove(watch))
        request.setHeader("Content-Type", "application/json")
        request.write(json.dumps({"result": {"created": True}}).encode() + b"\n")
        entry = self.entries.get(create["key"])
        if entry is not None and entry.revision >= int(create.get("start_revision", 0)) > 0:
            kv = {"key": create["key"], "value": entry.value, "mod_revision": str(entry.revision)}
            self._send_event(request, {"type": "PUT", "kv": kv})
        return server.NOT_DONE_YET

    def _tell(self, key: str, event: object) -> None:
        for watched, request in self._watches:
            if watched == key:
                self._send_event(request, event)

    def _send_event(self, request: server.Request, event: object) -> None:
        request.write(json.dumps({"result": {"events": [event]}}).encode() + b"\n")

    # --- faults ----------------------------------------------------------------------------------------------------

    def _set_faults(self, request: server.Request, body: Any) -> object:
        self.down = bool(body.pop("down", self.down))
        self.seconds = float(body.pop("seconds", self.seconds))
        self.faults.update(body)
        if self.down:
            for _, watching in list(self._watches):
                watching.transport.abortConnection()
        return {}

    def _take_fault(self, name: str) -> bool:
        if self.faults.get(name, 0) <= 0:
            return False
        self.faults[name] -= 1
        return True

    def read_value(self, key: str) -> bytes | None:
        """Return a value, for tests."""
        entry = self.entries.get(base64.b64encode(key.encode()).decode())
        return base64.b64decode(entry.value) if entry else None


def _send_if_open(request: server.Request, result: object) -> None:
    if not request._disconnected:
        send_json(request, result)


def start_kv(reactor: Any, host: str = "127.0.0.1", port: int = 0) -> tuple[KvRoot, int]:
    """Start the service in this process; return it and its port."""
    root = KvRoot(reactor)
    return root, listen(reactor, root, host, port).getHost().port


def main() -> None:
    """Run the service as a program."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser(prog="python -m beamhatch.standin.kv", description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    _, port = start_kv(reactor, port=parser.parse_args().port)
    announce("kv", port)
    reactor.run()


if __name__ == "__main__":
    main()

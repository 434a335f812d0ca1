"""The platform over HTTP: the key-value service by etcd's published v3 JSON interface, and the VM list."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any

from twisted.internet import defer
from twisted.internet.protocol import Protocol, connectionDone

from beamhatch.edge.http import HttpClient, Lost
from beamhatch.edge.store.api import Found, KeyValue, KvLost, ListedVm, Moved, Swapped, VmList

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from beamhatch.observe.metrics import Metrics

MAX_EVENT_BYTES = 4 * 1024 * 1024


class EtcdKeyValue(KeyValue):
    """A key-value service that speaks etcd's v3 JSON."""

    def __init__(self, client: HttpClient, address: str, limit: float, metrics: Metrics) -> None:
        self._client = client
        self._base = f"http://{address}"
        self._limit = limit
        self._metrics = metrics

    async def get(self, key: str) -> Found | KvLost:
        """Read one key."""
        value = await self._call("range", "/v3/kv/range", {"key": _encode(key.encode())})
        if isinstance(value, KvLost):
            return value
        found = value.get("kvs") or []
        if not found:
            return Found(None, 0)
        return Found(base64.b64decode(found[0].get("value", "")), int(found[0]["mod_revision"]))

    async def put(self, key: str, value: bytes) -> Swapped | KvLost:
        """Write one key."""
        body = {"key": _encode(key.encode()), "value": _encode(value)}
        answer = await self._call("put", "/v3/kv/put", body)
        return answer if isinstance(answer, KvLost) else Swapped()

    async def swap(self, key: str, revision: int, value: bytes) -> Swapped | Moved | KvLost:
        """Write one key in a transaction that compares its revision."""
        name = _encode(key.encode())
        compare = {"key": name, "target": "MOD", "result": "EQUAL", "mod_revision": str(revision)}
        success = {"requestPut": {"key": name, "value": _encode(value)}}
        answer = await self._call("txn", "/v3/kv/txn", {"compare": [compare], "success": [success]})
        if isinstance(answer, KvLost):
            return answer
        return Swapped() if answer.get("succeeded") else Moved()

    async def watch(self, key: str, after: int, on_event: Callable[[], None]) -> KvLost:
        """Hold a watch open until it breaks."""
        self._metrics.kv_calls.labels("watch").inc()
        body = {"create_request": {"key": _encode(key.encode()), "start_revision": str(after + 1)}}
        url = f"{self._base}/v3/watch"
        response = await self._client.open("POST", url, json.dumps(body).encode(), {"Content-Type": "application/json"})
        if isinstance(response, Lost):
            return KvLost(response.detail)
        if response.code != 200:
            return KvLost(f"the watch was answered {response.code}")
        reader = _EventReader(on_event)
        response.deliverBody(reader)
        await reader.done
        return KvLost("the watch ended")

    async def _call(self, kind: str, path: str, body: dict[str, Any]) -> dict[str, Any] | KvLost:
        self._metrics.kv_calls.labels(kind).inc()
        reply = await self._client.ask_json("POST", self._base + path, body, limit=self._limit)
        if isinstance(reply, Lost):
            return KvLost(reply.detail)
        if reply.status != 200:
            return KvLost(f"the service answered {reply.status}")
        value = reply.read_json()
        return value if isinstance(value, dict) else KvLost("the answer is no object")


class _EventReader(Protocol):
    """Reads the lines of a watch."""

    def __init__(self, on_event: Callable[[], None]) -> None:
        self.done: defer.Deferred[None] = defer.Deferred(lambda _: self._close())
        self._on_event = on_event
        self._rest = b""

    def dataReceived(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > MAX_EVENT_BYTES:
            self._close()
            return
        for line in lines:
            if b'"events"' in line:
                self._on_event()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if not self.done.called:
            self.done.callback(None)

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()


class HttpVmList(VmList):
    """A VM list at ``/vms``."""

    def __init__(self, client: HttpClient, address: str, limit: float) -> None:
        self._client = client
        self._url = f"http://{address}/vms"
        self._limit = limit

    async def read(self) -> list[ListedVm] | None:
        """Read the list."""
        reply = await self._client.ask_json("GET", self._url, limit=self._limit)
        if isinstance(reply, Lost) or reply.status != 200:
            return None
        value = reply.read_json()
        lines = value.get("vms") if isinstance(value, dict) else None
        if not isinstance(lines, list):
            return None
        return [
            ListedVm(
                name=str(line.get("name")),
                address=str(line.get("address")),
                entry=line.get("kind") == "entry",
                hall=str(line.get("hall")),
                leaving=line.get("state") == "leaving",
            )
            for line in lines
        ]


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()

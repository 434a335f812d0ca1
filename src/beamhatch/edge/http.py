"""A small HTTP client over twisted.web, shared by the adapters."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from io import BytesIO
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, error
from twisted.internet.protocol import Protocol, connectionDone
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers

if TYPE_CHECKING:
    from collections.abc import Mapping

    from twisted.python.failure import Failure
    from twisted.web.iweb import IResponse

MAX_REPLY_BYTES = 64 * 1024 * 1024
_IDLE_CONNECTIONS = 64
_IDLE_SECONDS = 30.0


class Written(Enum):
    """Whether a broken exchange may have reached the other side."""

    NO = "no"
    MAYBE = "maybe"


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole HTTP answer."""

    status: int
    headers: Headers
    body: bytes

    def read_json(self) -> Any:
        """Return the body as JSON, or an empty object where it is none."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


@dataclass(frozen=True, slots=True)
class Lost:
    """The exchange broke off."""

    detail: str
    written: Written


class HttpClient:
    """Sends requests; holds connections open between them, and never sends one twice by itself."""

    def __init__(self, reactor: Any, connect_limit: float) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = _IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = _IDLE_SECONDS
        self._pool.retryAutomatically = False
        self._agent = Agent(reactor, connectTimeout=connect_limit, pool=self._pool)
        self._fresh_agent = Agent(reactor, connectTimeout=connect_limit)

    async def open(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        *,
        fresh: bool = False,
    ) -> IResponse | Lost:
        """Send a request and return the response when its head has come.

        :param fresh: use a new connection, so that a connection that went stale can't leave it in doubt
        """
        agent = self._fresh_agent if fresh else self._agent
        producer = FileBodyProducer(BytesIO(body)) if body is not None else None
        raw = Headers({name: [value] for name, value in (headers or {}).items()})
        try:
            return await agent.request(method.encode(), url.encode(), raw, producer)
        except Exception as problem:  # every way an exchange can break is an outcome here
            return Lost(_describe(problem), _judge(problem))

    async def ask(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        *,
        limit: float,
        fresh: bool = False,
    ) -> Reply | Lost:
        """Send a request and return its whole answer.

        :param limit: seconds for all of it
        """
        exchange = defer.ensureDeferred(self._ask(method, url, body, headers, fresh=fresh))
        exchange.addTimeout(limit, self._reactor)
        try:
            return await exchange
        except defer.TimeoutError:
            return Lost(f"no answer in {limit} s", Written.MAYBE)
        except defer.CancelledError:
            return Lost("given up", Written.MAYBE)

    async def ask_json(
        self, method: str, url: str, value: object = None, *, limit: float, headers: Mapping[str, str] | None = None
    ) -> Reply | Lost:
        """Send a JSON value and return the whole answer."""
        body = None if value is None else json.dumps(value).encode()
        return await self.ask(method, url, body, {"Content-Type": "application/json", **(headers or {})}, limit=limit)

    async def _ask(
        self, method: str, url: str, body: bytes | None, headers: Mapping[str, str] | None, *, fresh: bool
    ) -> Reply | Lost:
        response = await self.open(method, url, body, headers, fresh=fresh)
        if isinstance(response, Lost):
            return response
        return await read_reply(response)

    def close(self) -> defer.Deferred[None]:
        """Close the idle connections."""
        return self._pool.closeCachedConnections()


async def read_reply(response: IResponse, limit: int = MAX_REPLY_BYTES) -> Reply | Lost:
    """Read the rest of an answer, up to a number of bytes."""
    collector = _Collector(limit)
    response.deliverBody(collector)
    whole = await collector.done
    if not whole:
        return Lost("the answer broke off", Written.MAYBE)
    return Reply(response.code, response.headers, b"".join(collector.parts))


class _Collector(Protocol):
    def __init__(self, limit: int) -> None:
        self.parts: list[bytes] = []
        self.done: defer.Deferred[bool] = defer.Deferred(self._abort)
        self._left = limit

    def dataReceived(self, data: bytes) -> None:
        self._left -= len(data)
        if self._left < 0:
            self._abort(self.done)
            return
        self.parts.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if not self.done.called:
            self.done.callback(bool(reason.check(ResponseDone)))

    def _abort(self, _: defer.Deferred[bool]) -> None:
        if self.transport is not None:
            abort = getattr(self.transport, "abortConnection", None) or self.transport.loseConnection
            abort()


def _judge(problem: Exception) -> Written:
    unsent = (error.ConnectError, error.TimeoutError, error.DNSLookupError, error.ConnectingCancelledError)
    return Written.NO if isinstance(problem, unsent) else Written.MAYBE


def _describe(problem: Exception) -> str:
    reasons = getattr(problem, "reasons", None)
    inner = reasons[0].value if reasons else problem
    return f"{type(inner).__name__}: {inner}"[:200]

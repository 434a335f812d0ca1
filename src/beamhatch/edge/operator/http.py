"""The admin API over HTTP, in JSON."""

from __future__ import annotations

import hashlib
import hmac
import json
from typing import TYPE_CHECKING, Any

from twisted.internet import defer
from twisted.web import resource, server

from beamhatch.observe.log import Part, get_log
from beamhatch.task.administration import Administration, Asker, Reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.settings.schema import Token
    from beamhatch.task.node import Node

MOST_BODY = 4 * 1024 * 1024
ANYBODY = "local"
"""Operator's name where no tokens are set, on loopback."""


class _AdminSite(server.Site):
    def log(self, request: Any) -> None:
        pass


class AdminRoot(resource.Resource):
    """Every path that operators use."""

    isLeaf = True

    def __init__(self, node: Node) -> None:
        super().__init__()
        self._node = node
        self._tokens = node.settings.admin.tokens
        self._log = get_log(Part.ADMIN)
        admin = Administration(node)
        self._reads: dict[str, Callable[[dict[str, str], Asker], Any]] = {
            "/status": lambda query, asker: admin.show_status(),
            "/upstreams": lambda query, asker: admin.list_upstreams(),
            "/requests": lambda query, asker: admin.list_requests(asker),
            "/trace": lambda query, asker: admin.show_trace(query.get("request", ""), asker),
            "/compare": lambda query, asker: admin.compare(query.get("a", ""), query.get("b", "")),
            "/config": lambda query, asker: admin.list_documents(),
            "/config/history": lambda query, asker: admin.show_history(),
            "/config/status": lambda query, asker: admin.show_config_status(),
            "/config/change": lambda query, asker: admin.find_change(query.get("id", "")),
            "/policies": lambda query, asker: admin.list_policies(),
            "/slices": lambda query, asker: admin.list_slices(),
        }
        self._writes: dict[str, Callable[[Any, Asker], Any]] = {
            "/config": admin.put_documents,
            "/policies/promote": admin.promote,
            "/policies/withdraw": admin.withdraw,
        }

    def make_site(self) -> server.Site:
        """Return the server of the admin API."""
        return _AdminSite(self, reactor=self._node.clock.reactor)

    def render(self, request: server.Request) -> int | bytes:
        """Answer one request."""
        path = request.path.decode("latin-1")
        verb = "write" if request.method == b"POST" else "read"
        asker = self._identify(request, verb)
        if isinstance(asker, Reply):
            return _send(request, asker)
        if path == "/metrics":
            request.setHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
            return self._node.metrics.render()
        if verb == "write":
            return self._write(request, path, asker)
        handler = self._reads.get(path)
        if handler is None:
            return _send(request, Reply(404, {"error": f"there is nothing at {path[:100]}"}))
        query = {name.decode(): values[0].decode() for name, values in request.args.items()}
        return _send_later(request, defer.maybeDeferred(_run, handler, query, asker))

    def _write(self, request: server.Request, path: str, asker: Asker) -> int | bytes:
        handler = self._writes.get(path)
        if handler is None:
            return _send(request, Reply(404, {"error": f"there is nothing to post to at {path[:100]}"}))
        body = request.content.read(MOST_BODY + 1) if request.content is not None else b""
        if len(body) > MOST_BODY:
            return _send(request, Reply(413, {"error": f"send at most {MOST_BODY} bytes"}))
        try:
            value = json.loads(body)
        except ValueError:
            return _send(request, Reply(400, {"error": "the body is not JSON"}))
        if not isinstance(value, dict):
            return _send(request, Reply(400, {"error": "send a JSON object"}))
        self._log.info("An operator changes something.", operator=asker.operator, path=path)
        return _send_later(request, defer.maybeDeferred(_run, handler, value, asker))

    def _identify(self, request: server.Request, verb: str) -> Asker | Reply:
        if not self._tokens:
            return Asker(request.getHeader("Beamhatch-Operator") or ANYBODY)
        given = (request.getHeader("Authorization") or "").removeprefix("Bearer ").strip()
        token = _find_token(self._tokens, given)
        if token is None:
            return Reply(401, {"error": "the token is missing or wrong"})
        if verb not in token.verbs:
            return Reply(403, {"error": f"the token does not allow to {verb}"})
        return Asker(token.operator, tuple(token.workspaces))


def _find_token(tokens: list[Token], given: str) -> Token | None:
    digest = hashlib.sha256(given.encode()).hexdigest()
    found = None
    for token in tokens:
        if hmac.compare_digest(token.digest, digest):
            found = token
    return found


def _run(handler: Callable[[Any, Asker], Any], value: Any, asker: Asker) -> Any:
    result = handler(value, asker)
    return result if isinstance(result, Reply) else defer.ensureDeferred(result)


def _send(request: server.Request, reply: Reply) -> bytes:
    request.setResponseCode(reply.status)
    request.setHeader("Content-Type", "application/json")
    return json.dumps(reply.value).encode()


def _send_later(request: server.Request, answer: defer.Deferred[Reply]) -> int:
    gone: list[bool] = []
    request.notifyFinish().addErrback(lambda _: gone.append(True))

    def send(reply: Reply) -> None:
        if not gone:
            request.write(_send(request, reply))
            request.finish()

    def fail(failure: Any) -> None:
        get_log(Part.ADMIN).error("An admin request failed.", error=failure.getErrorMessage())
        send(Reply(500, {"error": "this request failed; the log says why"}))

    answer.addCallbacks(send, fail)
    return int(server.NOT_DONE_YET)

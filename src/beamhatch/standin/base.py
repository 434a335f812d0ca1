"""What the stand-ins share: a JSON server on twisted.web."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

from twisted.web import resource, server

if TYPE_CHECKING:
    from collections.abc import Callable


class JsonRoot(resource.Resource):
    """Calls a function for each path, and sends its result as JSON."""

    isLeaf = True

    def __init__(self) -> None:
        super().__init__()
        self.routes: dict[str, Callable[[server.Request, Any], Any]] = {}
        self.fallback: Callable[[server.Request, Any], Any] | None = None

    def render(self, request: server.Request) -> int | bytes:
        """Answer one request; a function may return bytes that are JSON already, or ``NOT_DONE_YET``."""
        path = request.path.decode("latin-1")
        handler = self.routes.get(path, self.fallback)
        if handler is None:
            request.setResponseCode(404)
            return b"{}"
        result = handler(request, read_json(request))
        if result is server.NOT_DONE_YET:
            return int(server.NOT_DONE_YET)
        return result if isinstance(result, bytes) else encode_json(request, result)


def read_json(request: server.Request) -> Any:
    """Return the JSON body of a request, or an empty object."""
    body = request.content.read() if request.content is not None else b""
    try:
        return json.loads(body) if body else {}
    except ValueError:
        return {}


def encode_json(request: server.Request, value: object, status: int | None = None) -> bytes:
    """Return a value as a JSON body, with its header set."""
    if status is not None:
        request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return json.dumps(value).encode()


def send_json(request: server.Request, value: object, status: int = 200) -> int:
    """Send a JSON answer at once or later, and end."""
    request.write(encode_json(request, value, status))
    request.finish()
    return int(server.NOT_DONE_YET)


def get_argument(request: server.Request, name: str, default: str) -> str:
    """Return a value of the query."""
    raw: bytes = request.args.get(name.encode(), [default.encode()])[0]
    return raw.decode("latin-1")


class QuietSite(server.Site):
    """A server without an access log."""

    def log(self, request: Any) -> None:
        """Write nothing."""


def listen(reactor: Any, root: resource.Resource, host: str, port: int) -> Any:
    """Serve a root on an address; port 0 takes a free one."""
    return reactor.listenTCP(port, QuietSite(root), backlog=512, interface=host)


def announce(name: str, port: int) -> None:
    """Print the line by which a test or an operator learns the port of a stand-in."""
    print(f"READY {name} {port}")
    sys.stdout.flush()

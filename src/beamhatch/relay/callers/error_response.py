"""Error responses that the relay generates itself."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.relay.callers.http_server import Responder


def send_error(responder: Responder, status: int, detail: str, retry_after: float | None = None) -> None:
    """Send an error response with a JSON body.

    :param retry_after: seconds after which the caller may retry; None sends no ``Retry-After``
    """
    headers = [("Content-Type", "application/json")]
    if retry_after is not None:
        headers.append(("Retry-After", f"{retry_after:g}"))
    responder.send_response(status, headers, json.dumps({"error": detail}).encode())

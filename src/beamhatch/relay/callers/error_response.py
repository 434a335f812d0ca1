"""Errors that the relay answers itself, in place of an upstream."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.relay.callers.http_server import Responder


def send_error(responder: Responder, status: int, detail: str, retry_after: float | None = None) -> None:
    """Send an error of the relay's own.

    :param retry_after: seconds after which the caller may come back, where the request has not run
    """
    headers = [("Content-Type", "application/json")]
    if retry_after is not None:
        headers.append(("Retry-After", f"{retry_after:g}"))
    responder.send_response(status, headers, json.dumps({"error": detail}).encode())

"""Speak with the admin API of one VM."""

from __future__ import annotations

import json
import urllib.error
import urllib.parse
import urllib.request
from dataclasses import dataclass
from typing import Any


class Unreachable(Exception):  # noqa: N818 - a finding about the network
    """The admin API did not answer."""


@dataclass(frozen=True, slots=True)
class AdminReply:
    """What the admin API answered."""

    status: int
    value: Any

    @property
    def ok(self) -> bool:
        """Return whether it did what was asked."""
        return self.status == 200


class AdminClient:
    """Sends requests to one VM's admin API."""

    def __init__(self, base: str, token: str | None, limit: float = 15.0) -> None:
        self._base = base.rstrip("/")
        self._token = token
        self._limit = limit

    def get(self, path: str, **query: str) -> AdminReply:
        """Read something."""
        suffix = f"?{urllib.parse.urlencode(query)}" if query else ""
        return self._send(urllib.request.Request(f"{self._base}{path}{suffix}"))

    def post(self, path: str, value: Any) -> AdminReply:
        """Change something."""
        body = json.dumps(value).encode()
        headers = {"Content-Type": "application/json"}
        return self._send(urllib.request.Request(f"{self._base}{path}", body, headers, method="POST"))

    def _send(self, request: urllib.request.Request) -> AdminReply:
        if self._token:
            request.add_header("Authorization", f"Bearer {self._token}")
        try:
            with urllib.request.urlopen(request, timeout=self._limit) as answer:
                return AdminReply(answer.status, json.load(answer))
        except urllib.error.HTTPError as error:
            with error:
                return AdminReply(error.code, _read_error(error))
        except (OSError, ValueError) as error:
            raise Unreachable(f"{self._base} does not answer: {error}") from error


def _read_error(error: urllib.error.HTTPError) -> Any:
    try:
        return json.load(error)
    except ValueError:
        return {"error": error.reason}

"""Call the router as a caller does."""

from __future__ import annotations

import http.client
import json
import socket
from dataclasses import dataclass, field
from typing import Any

LIMIT = 30.0


@dataclass
class Answer:
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool = True

    @property
    def value(self) -> Any:
        """Return the JSON body."""
        return json.loads(self.body)

    @property
    def outcome(self) -> str:
        """Return the outcome that the router told."""
        return self.headers.get("Beamhatch-Outcome", "")

    @property
    def text(self) -> str:
        """Return the text of a completion, streamed or not."""
        if not self.body.startswith(b"id:"):
            return str(self.value["choices"][0]["text"])
        return "".join(
            choice.get("text", "") for event in read_events(self.body) for choice in event.get("choices", [])
        )


def read_events(body: bytes) -> list[dict[str, Any]]:
    """Return the JSON values of a stream of events."""
    lines = [line[6:] for line in body.split(b"\n") if line.startswith(b"data: ")]
    return [json.loads(line) for line in lines if line != b"[DONE]"]


def call(port: int, path: str, value: Any = None, method: str = "POST", **headers: str) -> Answer:
    """Send one request and return the whole answer; header names are given with underscores."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=LIMIT)
    named = {name.replace("_", "-"): text for name, text in headers.items()}
    try:
        connection.request(method, path, json.dumps(value) if value is not None else None, named)
        answer = connection.getresponse()
        whole = True
        try:
            body = answer.read()
        except http.client.IncompleteRead as error:
            body, whole = error.partial, False
        return Answer(answer.status, dict(answer.getheaders()), body, whole)
    finally:
        connection.close()


def complete(port: int, prompt: str, tokens: int = 8, *, stream: bool = False, **headers: str) -> Answer:
    """Ask for a completion."""
    value = {"model": "lm-desk", "prompt": prompt, "max_tokens": tokens, "stream": stream}
    return call(port, "/v1/completions", value, **headers)


@dataclass
class OpenCall:
    """A request whose caller can go at any moment."""

    port: int
    received: bytes = b""
    _socket: socket.socket | None = field(default=None, repr=False)

    def send(self, prompt: str, tokens: int, *, stream: bool = True, **headers: str) -> OpenCall:
        """Send a completion request."""
        fields = {"model": "lm-desk", "prompt": prompt, "max_tokens": tokens, "stream": stream}
        body = json.dumps(fields).encode()
        lines = [f"{name.replace('_', '-')}: {text}" for name, text in headers.items()]
        head = "\r\n".join(["POST /v1/completions HTTP/1.1", "Host: x", f"Content-Length: {len(body)}", *lines])
        self._socket = socket.create_connection(("127.0.0.1", self.port), timeout=LIMIT)
        self._socket.sendall(head.encode() + b"\r\n\r\n" + body)
        return self

    def read_until(self, mark: bytes) -> bytes:
        """Read until the answer holds a mark."""
        assert self._socket is not None
        while mark not in self.received:
            data = self._socket.recv(65536)
            if not data:
                break
            self.received += data
        return self.received

    def read_all(self) -> bytes:
        """Read until the connection ends."""
        assert self._socket is not None
        try:
            while data := self._socket.recv(65536):
                self.received += data
        except OSError:
            pass
        return self.received

    def close_sending(self) -> None:
        """Close the caller's own direction of the connection."""
        assert self._socket is not None
        self._socket.shutdown(socket.SHUT_WR)

    def __del__(self) -> None:
        self.leave()

    def leave(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()

"""HTTP/1.1 messages over asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True)
class Message:
    """The head of a request or a response, and the body of a request."""

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message, None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return Message(first.split(" ", 2), {name.lower(): value.strip() for name, _, value in pairs})


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a request, None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    body = await reader.readexactly(int(head.headers.get("content-length", 0)))
    return Message(head.start, head.headers, body)


def make_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


def make_chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)

"""Parsing and filtering of HTTP/1.1 headers, hop-by-hop headers above all (RFC 9110, section 7.6.1)."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.relay.api import Headers

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
FRAMING = frozenset({"content-length"})
DEFAULT_KEEP_ALIVE_S = 4.0
"""Seconds an upstream is assumed to keep an idle connection open if it sends no ``Keep-Alive`` timeout."""


def decode_headers(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Decode raw header names and values as Latin-1."""
    return [(name.decode("latin-1"), value.decode("latin-1")) for name, value in raw]


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers as bytes; the inverse of ``decode_headers``."""
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]


def strip_hop_by_hop(headers: Headers, *, keep: frozenset[str] = frozenset()) -> Headers:
    """Return the headers to forward; names in ``keep`` are forwarded even if ``Connection`` lists them."""
    connection_options = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for part in value.split(",")
        if part.strip()
    }
    dropped = HOP_BY_HOP | FRAMING | (connection_options - keep)
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def get_header(headers: Headers, name: str) -> str | None:
    """Return the first value of the header with this name, given in lower case."""
    return next((value for key, value in headers if key.lower() == name), None)


def wants_close(headers: Headers) -> bool:
    """Return whether the connection closes after this message."""
    value = get_header(headers, "connection")
    return value is not None and "close" in {part.strip().lower() for part in value.split(",")}


def parse_keep_alive_timeout(headers: Headers) -> float:
    """Return the seconds for which the peer keeps an idle connection open."""
    value = get_header(headers, "keep-alive")
    for part in (value or "").split(","):
        name, _, number = part.partition("=")
        if name.strip().lower() == "timeout" and number.strip().isdigit():
            return float(number)
    return DEFAULT_KEEP_ALIVE_S

"""The platform's headers and calls on the request's path."""

from __future__ import annotations

import math
import re

import msgspec

from beamhatch.relay.api import (
    UNREADABLE_LIMIT,
    AnnouncedLimit,
    BadRequest,
    Dialect,
    Headers,
    ResponseFacts,
    SendOptions,
)
from beamhatch.relay.choosing.standing import Load
from beamhatch.relay.model import Handle, Phase, PromptPart, RequestFacts, Reservation, Stage, Upstream
from beamhatch.relay.upstreams.http_client import Call
from beamhatch.relay.upstreams.retry_after import read_retry_after
from beamhatch.relay.workspaces.workspace import KeyDigest, digest_key

REQUEST_ID = "request-id"
DEADLINE = "deadline-ms"
LAST_EVENT = "last-event-id"
PARTS = "prompt-prefix"
TOKENS = "token-count"
GUESS = "length-hint"
"""The caller's guess of the tokens that the answer will have."""

KEY = "authorization"
KEY_SCHEME = "bearer"
WORKSPACE = "tenant"

OWN = frozenset(
    {
        DEADLINE,
        "expect-instance",
        "expect-version",
        "stage",
        "cache-source",
        "cache-backup",
        "cache-hold",
        "kv-fetch",
        "pin-ms",
        "request-priority",
    }
)
"""Headers that only the system sets; what a caller sends of them is dropped."""

OF_WORKSPACES = frozenset({KEY, WORKSPACE})
"""Headers that concern nobody but the relay where it admits requests by keys."""

LEAVING = "server-leaving"
LIMIT = "server-limit"
SAYS_SO = "1"
"""The only value by which an upstream says that it leaves; any other says nothing."""

TURNED_AWAY = frozenset({429, 503})
"""Statuses by which an upstream turns a request away; with these it may ask for rest."""

MOST_ID_BYTES = 200
"""Characters of a request id at the most: ids of the platform have 16, and logs repeat them."""


_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+", re.ASCII)


class _Prefilled(msgspec.Struct):
    """The answer to a prefill."""

    kv_handle: str


class _Held(msgspec.Struct):
    """The answer to a reservation."""

    hold: str | int


_read_held = msgspec.json.Decoder(_Held).decode
_read_prefilled = msgspec.json.Decoder(_Prefilled).decode


class PlatformDialect(Dialect):
    """Reads and writes the headers of the platform's pages."""

    def read_request(self, headers: Headers) -> RequestFacts | BadRequest:
        """Return what a caller's headers say."""
        found: dict[str, str] = {}
        keys: list[str] = []
        for name, value in headers:
            lower = name.lower()
            if lower == REQUEST_ID and lower in found:
                return BadRequest(400, "more than one Request-Id")
            if lower == KEY:
                keys.append(value)
            found[lower] = value
        request = found.get(REQUEST_ID, "")
        if not request or len(request) > MOST_ID_BYTES:
            return BadRequest(400, "no usable Request-Id")
        deadline = _read_number(found.get(DEADLINE))
        prompt, output = _read_tokens(found.get(TOKENS))
        return RequestFacts(
            id=request,
            time_left=None if deadline is None else deadline / 1000,
            last_event=_read_number(found.get(LAST_EVENT)),
            prompt_tokens=prompt,
            output_tokens=output,
            parts=_read_parts(found.get(PARTS)),
            output_estimate=_read_number(found.get(GUESS)) or 0,
            key=_read_key(keys),
        )

    def write_request(self, headers: Headers, terms: SendOptions) -> Headers:
        """Return the headers for an upstream."""
        dropped = OWN | {LAST_EVENT} if terms.last_event is not None else OWN
        if terms.strips_credentials:
            dropped |= OF_WORKSPACES
        written = [(name, value) for name, value in headers if name.lower() not in dropped]
        written.append(("Deadline-Ms", str(max(1, int(terms.time_left * 1000)))))
        written.append(("Expect-Instance", terms.expected_upstream))
        if terms.stage is Stage.PREFILL:
            written.append(("Stage", "prefill"))
        if terms.handle is not None:
            written.append(("Cache-Source", f"{terms.handle.upstream.address}/{terms.handle.id}"))
        if terms.reservation is not None and terms.reservation.id is not None:
            written.append(("Cache-Hold", terms.reservation.id))
        if terms.last_event is not None:
            written.append(("Last-Event-Id", str(terms.last_event)))
        if terms.workspace is not None:
            written.append(("Tenant", terms.workspace))
        return written

    def read_response(self, status: int, headers: Headers) -> ResponseFacts:
        """Return what an upstream's headers say."""
        found = {name.lower(): value for name, value in headers}
        return ResponseFacts(
            request_id=found.get(REQUEST_ID),
            from_upstream="response-signature" in found,
            not_run="not-executed" in found,
            encoded=found.get("content-encoding", "identity").lower() != "identity",
            load=_read_load(found.get("server-load")),
            leaving=found.get(LEAVING, "").strip() == SAYS_SO,
            backoff=read_retry_after(found.get("retry-after"), found.get("date")) if status in TURNED_AWAY else None,
            limit=_read_limit(found.get(LIMIT)),
        )

    def read_handle(self, body: bytes) -> str | None:
        """Return the id of the KV cache that was prefilled."""
        try:
            return _read_prefilled(body).kv_handle
        except (msgspec.DecodeError, msgspec.ValidationError):
            return None

    def make_release_call(self, handle: Handle) -> Call:
        """Return the call that frees a KV cache."""
        return _make_call("DELETE", f"/api/kv-handle/{handle.id}", handle.upstream)

    def make_reserve_call(self, upstream: Upstream, tokens: int, lifetime: float) -> Call:
        """Return the call that sets KV memory aside."""
        body = msgspec.json.encode({"tokens": tokens, "ttl_ms": int(lifetime * 1000)})
        return _make_call("POST", "/api/hold-take", upstream, body)

    def read_reservation(self, body: bytes) -> str | None:
        """Return the id of what was set aside."""
        try:
            return str(_read_held(body).hold)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return None

    def make_phase_change_call(self, upstream: Upstream, phase: Phase, holder: str, token: int) -> Call:
        """Return the call that has an engine play another part."""
        order = {"operation": "phase", "phase": phase.value, "holder": holder, "fencing_token": token}
        return _make_call("POST", "/api/order", upstream, msgspec.json.encode(order))

    def make_unreserve_call(self, reservation: Reservation) -> Call:
        """Return the call that gives back what was set aside."""
        return _make_call("DELETE", f"/api/hold-drop/{reservation.id}", reservation.upstream)


def _make_call(method: str, path: str, upstream: Upstream, body: bytes = b"") -> Call:
    headers = [("Host", str(upstream.address)), ("Expect-Instance", upstream.id)]
    if body:
        headers.append(("Content-Type", "application/json"))
    return Call(method, path, headers, body)


def _read_number(text: str | None) -> int | None:
    return int(text) if text is not None and text.isascii() and text.isdigit() else None


def _read_key(values: list[str]) -> KeyDigest | None:
    """Return the digest of the one key that a caller showed; several, or another scheme's, count as none."""
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(" ")
    key = key.strip()
    return digest_key(key) if key and scheme.lower() == KEY_SCHEME else None


def _read_tokens(text: str | None) -> tuple[int, int]:
    prompt, _, output = (text or "").partition(",")
    return _read_number(prompt.strip()) or 0, _read_number(output.strip()) or 0


def _read_parts(text: str | None) -> tuple[PromptPart, ...]:
    parts = []
    for word in (text or "").split(","):
        name, _, tokens = word.strip().partition(":")
        if name:
            parts.append(PromptPart(name, _read_number(tokens) or 0))
    return tuple(parts)


def _read_limit(text: str | None) -> AnnouncedLimit | None:
    """Return the limit that an upstream names; a negative number, a word or one beyond all numbers is not clear."""
    if text is None:
        return None
    word = text.strip()
    rate = float(word) if _DECIMAL.fullmatch(word) else math.inf
    return AnnouncedLimit(rate) if math.isfinite(rate) else UNREADABLE_LIMIT


def _read_load(text: str | None) -> Load | None:
    numbers = [_read_number(word.strip()) for word in (text or "").split(",")]
    if len(numbers) != 3 or None in numbers:
        return None
    running, waiting, slots = (number or 0 for number in numbers)
    return Load(running, waiting, slots)

"""HTTP headers and API calls that the platform defines for request handling."""

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
from beamhatch.relay.upstreams.call import Call
from beamhatch.relay.upstreams.retry_after import parse_retry_after
from beamhatch.relay.workspaces.workspace import KeyDigest, digest_key

REQUEST_ID_HEADER = "request-id"
DEADLINE_HEADER = "deadline-ms"
LAST_EVENT_HEADER = "last-event-id"
RESUMES_HEADER = "resumes"
PROMPT_PREFIX_HEADER = "prompt-prefix"
TOKEN_COUNT_HEADER = "token-count"
LENGTH_HINT_HEADER = "length-hint"
"""Header with the caller's estimate of the number of output tokens."""

KEY_HEADER = "authorization"
KEY_SCHEME = "bearer"
WORKSPACE_HEADER = "tenant"

INTERNAL_HEADERS = frozenset(
    {
        DEADLINE_HEADER,
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
"""Headers that only the router may set; those sent by callers are dropped."""

WORKSPACE_HEADERS = frozenset({KEY_HEADER, WORKSPACE_HEADER})
"""Headers that are not forwarded to upstreams when callers are authenticated by API key."""

LEAVING_HEADER = "server-leaving"
LIMIT_HEADER = "server-limit"
LEAVING_VALUE = "1"
"""The only value that announces a departure; all other values are ignored."""

BACKOFF_STATUSES = frozenset({429, 503})
"""Response statuses with which ``Retry-After`` requests a back-off."""

MAX_REQUEST_ID_LENGTH = 200
"""In characters. Request IDs are logged, so their length is limited."""


_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+", re.ASCII)


class _PrefillResponse(msgspec.Struct):
    """The response to a prefill request."""

    kv_handle: str


class _ReservationResponse(msgspec.Struct):
    """The response to a reservation of KV memory."""

    hold: str | int


_decode_reservation = msgspec.json.Decoder(_ReservationResponse).decode
_decode_prefill = msgspec.json.Decoder(_PrefillResponse).decode


class PlatformDialect(Dialect):
    """Translates between the platform's HTTP messages and the router's types."""

    def read_request(self, headers: Headers) -> RequestFacts | BadRequest:
        """Return the request described by a caller's headers, or why it is rejected."""
        values: dict[str, str] = {}
        keys: list[str] = []
        for name, value in headers:
            lower = name.lower()
            if lower == REQUEST_ID_HEADER and lower in values:
                return BadRequest(400, "more than one Request-Id")
            if lower == KEY_HEADER:
                keys.append(value)
            values[lower] = value
        request_id = values.get(REQUEST_ID_HEADER, "")
        if not request_id or len(request_id) > MAX_REQUEST_ID_LENGTH:
            return BadRequest(400, "no usable Request-Id")
        deadline = _parse_number(values.get(DEADLINE_HEADER))
        prompt, output = _parse_token_counts(values.get(TOKEN_COUNT_HEADER))
        return RequestFacts(
            id=request_id,
            time_left=None if deadline is None else deadline / 1000,
            last_event=_parse_number(values.get(LAST_EVENT_HEADER)),
            resumed_request=_parse_id(values.get(RESUMES_HEADER)),
            prompt_tokens=prompt,
            output_tokens=output,
            parts=_parse_prompt_parts(values.get(PROMPT_PREFIX_HEADER)),
            output_estimate=_parse_number(values.get(LENGTH_HINT_HEADER)) or 0,
            key=_parse_key(keys),
        )

    def write_request(self, headers: Headers, terms: SendOptions) -> Headers:
        """Return the headers to send to an upstream."""
        dropped = INTERNAL_HEADERS | {LAST_EVENT_HEADER} if terms.last_event is not None else INTERNAL_HEADERS
        if terms.strips_credentials:
            dropped |= WORKSPACE_HEADERS
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
        """Return the facts in the headers of an upstream's response."""
        values = {name.lower(): value for name, value in headers}
        return ResponseFacts(
            request_id=values.get(REQUEST_ID_HEADER),
            from_upstream="response-signature" in values,
            not_run="not-executed" in values,
            encoded=values.get("content-encoding", "identity").lower() != "identity",
            load=_parse_load(values.get("server-load")),
            leaving=values.get(LEAVING_HEADER, "").strip() == LEAVING_VALUE,
            backoff=parse_retry_after(values.get("retry-after"), values.get("date"))
            if status in BACKOFF_STATUSES
            else None,
            limit=_parse_limit(values.get(LIMIT_HEADER)),
        )

    def read_handle(self, body: bytes) -> str | None:
        """Return the ID of the prefilled KV cache, or None if the body is invalid."""
        try:
            return _decode_prefill(body).kv_handle
        except (msgspec.DecodeError, msgspec.ValidationError):
            return None

    def make_release_call(self, handle: Handle) -> Call:
        """Return the call that frees a KV cache."""
        return _make_call("DELETE", f"/api/kv-handle/{handle.id}", handle.upstream)

    def make_reserve_call(self, upstream: Upstream, tokens: int, lifetime: float) -> Call:
        """Return the call that reserves KV memory for ``lifetime`` seconds."""
        body = msgspec.json.encode({"tokens": tokens, "ttl_ms": int(lifetime * 1000)})
        return _make_call("POST", "/api/hold-take", upstream, body)

    def read_reservation(self, body: bytes) -> str | None:
        """Return the ID of the reservation, or None if the body is invalid."""
        try:
            return str(_decode_reservation(body).hold)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return None

    def make_phase_change_call(self, upstream: Upstream, phase: Phase, holder: str, token: int) -> Call:
        """Return the call that orders an engine to change its phase."""
        order = {"operation": "phase", "phase": phase.value, "holder": holder, "fencing_token": token}
        return _make_call("POST", "/api/order", upstream, msgspec.json.encode(order))

    def make_unreserve_call(self, reservation: Reservation) -> Call:
        """Return the call that cancels a reservation."""
        return _make_call("DELETE", f"/api/hold-drop/{reservation.id}", reservation.upstream)


def _make_call(method: str, path: str, upstream: Upstream, body: bytes = b"") -> Call:
    headers = [("Host", str(upstream.address)), ("Expect-Instance", upstream.id)]
    if body:
        headers.append(("Content-Type", "application/json"))
    return Call(method, path, headers, body)


def _parse_number(text: str | None) -> int | None:
    return int(text) if text is not None and text.isascii() and text.isdigit() else None


def _parse_id(text: str | None) -> str | None:
    """Return the id of another request, limited to the length that ids may have; None if there is none."""
    return (text or "").strip()[:MAX_REQUEST_ID_LENGTH] or None


def _parse_key(values: list[str]) -> KeyDigest | None:
    """Return the digest of the API key; None if there are several keys or the scheme is not "bearer"."""
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(" ")
    key = key.strip()
    return digest_key(key) if key and scheme.lower() == KEY_SCHEME else None


def _parse_token_counts(text: str | None) -> tuple[int, int]:
    prompt, _, output = (text or "").partition(",")
    return _parse_number(prompt.strip()) or 0, _parse_number(output.strip()) or 0


def _parse_prompt_parts(text: str | None) -> tuple[PromptPart, ...]:
    parts = []
    for item in (text or "").split(","):
        name, _, tokens = item.strip().partition(":")
        if name:
            parts.append(PromptPart(name, _parse_number(tokens) or 0))
    return tuple(parts)


def _parse_limit(text: str | None) -> AnnouncedLimit | None:
    """Return the announced limit; ``UNREADABLE_LIMIT`` if it is not a finite non-negative decimal number."""
    if text is None:
        return None
    number = text.strip()
    rate = float(number) if _DECIMAL.fullmatch(number) else math.inf
    return AnnouncedLimit(rate) if math.isfinite(rate) else UNREADABLE_LIMIT


def _parse_load(text: str | None) -> Load | None:
    numbers = [_parse_number(item.strip()) for item in (text or "").split(",")]
    if len(numbers) != 3 or None in numbers:
        return None
    running, waiting, slots = (number or 0 for number in numbers)
    return Load(running, waiting, slots)

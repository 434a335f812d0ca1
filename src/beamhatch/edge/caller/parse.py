"""Turn a caller's HTTP request into a call, or into an answer that says what is wrong with it."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from beamhatch.decide.call import PRIORITY_NAMES, Call, Priority
from beamhatch.decide.policy.reserving import BLOCK_TOKENS
from beamhatch.ids import RecordKey, WorkspaceName

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from beamhatch.ids import RequestId
    from beamhatch.settings.schema import Workspace

KEY = "idempotency-key"
WORKSPACE = "beamhatch-workspace"
PRIORITY = "beamhatch-priority"
DEADLINE = "beamhatch-deadline"
FIRST_TOKEN = "beamhatch-first-token-target"
PACE = "beamhatch-pace-target"
REPEATABLE = "beamhatch-repeatable"
DROP_IF_LATE = "beamhatch-drop-if-late"
ATTEMPT = "beamhatch-attempt"

LONGEST_KEY = 255
CHARACTERS_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 128
MOST_SECONDS = 86400.0
MOST_BLOCKS = 512
MOST_DIGITS = 6
_TRUE = ("yes", "true", "1")
_FALSE = ("no", "false", "0")


class BadRequest(Exception):  # noqa: N818 - it is a finding about the caller's text, not a fault of ours
    """The caller's request can't be used; it did not run."""

    def __init__(self, message: str, *, status: int = 400, parameter: str | None = None) -> None:
        super().__init__(message)
        self.status = status
        self.parameter = parameter


@dataclass(frozen=True, slots=True)
class RawRequest:
    """What came over HTTP."""

    method: str
    path: str
    """With its query."""
    headers: Mapping[str, str]
    """By lower-case name."""
    all_headers: list[tuple[str, str]]
    body: bytes


def parse_model_call(
    raw: RawRequest, request: RequestId, now: float, find_workspace: Callable[[Mapping[str, str]], Workspace]
) -> Call:
    """Return the call of a completion or chat completion.

    :raises BadRequest: where the caller's request can't be used
    """
    fields = _parse_json(raw.body)
    model = fields.get("model")
    if not isinstance(model, str) or not model:
        raise BadRequest("model must be the name of a model", parameter="model")
    streamed = fields.get("stream", False)
    if not isinstance(streamed, bool):
        raise BadRequest("stream must be true or false", parameter="stream")
    text = _read_prompt(raw.path, fields)
    call = _make_call(raw, request, now, find_workspace)
    call.target = model
    call.fields = fields
    call.streamed = streamed
    call.prompt_tokens = max(1, len(text) // CHARACTERS_PER_TOKEN)
    call.output_tokens = _read_output_tokens(fields)
    call.blocks = hash_blocks(model, text)
    call.labels["model"] = model
    return call


def parse_service_call(
    raw: RawRequest,
    service: str,
    path: str,
    request: RequestId,
    now: float,
    find_workspace: Callable[[Mapping[str, str]], Workspace],
) -> Call:
    """Return the call of a plain service.

    :raises BadRequest: where the caller's request can't be used
    """
    call = _make_call(raw, request, now, find_workspace)
    call.target = service
    call.service = True
    call.path = path
    call.headers = [(name, value) for name, value in raw.all_headers if not name.lower().startswith("beamhatch-")]
    call.output_tokens = 0
    call.labels["service"] = service
    return call


def hash_blocks(model: str, text: str) -> tuple[int, ...]:
    """Return the chained hashes of the whole blocks at the front of a prompt."""
    size = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    blocks: list[int] = []
    chain = model.encode()
    for start in range(0, min(len(text) // size, MOST_BLOCKS) * size, size):
        chain = hashlib.blake2b(chain + text[start : start + size].encode(), digest_size=8).digest()
        blocks.append(int.from_bytes(chain, "big") >> 1)
    return tuple(blocks)


def read_prompt(path: str, fields: Mapping[str, Any]) -> str:
    """Return the text of a prompt or of chat messages, as it is counted and hashed."""
    if path.startswith("/v1/chat/"):
        return "\n".join(f"{message.get('role')}: {_read_content(message)}" for message in fields["messages"])
    prompt = fields.get("prompt", "")
    return prompt if isinstance(prompt, str) else json.dumps(prompt)


# --- parts ------------------------------------------------------------------------------------------------------------


def _make_call(
    raw: RawRequest, request: RequestId, now: float, find_workspace: Callable[[Mapping[str, str]], Workspace]
) -> Call:
    headers = raw.headers
    workspace = find_workspace(headers)
    deadline = _read_seconds(headers, DEADLINE, workspace.deadline)
    key = _read_key(headers)
    digest = hashlib.sha256(f"{raw.method} {raw.path}\n".encode() + raw.body).hexdigest()
    return Call(
        request=request,
        workspace=WorkspaceName(workspace.name),
        target="",
        service=False,
        method=raw.method,
        path=raw.path,
        body=raw.body,
        repeatable=_read_flag(headers, REPEATABLE, workspace.repeatable),
        key=RecordKey(f"{workspace.name}/{key}") if key else None,
        attempt=_read_attempt(headers),
        digest=digest,
        identity=key or request,
        priority=_read_priority(headers, workspace.priority),
        arrival_time=now,
        deadline=None if deadline is None else now + deadline,
        first_token_target=_read_seconds(headers, FIRST_TOKEN, workspace.first_token_target) or 0,
        token_interval_target=_read_seconds(headers, PACE, workspace.pace_target) or 0,
        drop_if_late=_read_flag(headers, DROP_IF_LATE, False),
        labels={**workspace.labels, "workspace": workspace.name},
        traceparent=headers.get("traceparent"),
    )


def _parse_json(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadRequest(f"the body is not JSON: {str(error)[:100]}") from error
    if not isinstance(fields, dict):
        raise BadRequest("the body must be a JSON object")
    return fields


def _read_prompt(path: str, fields: Mapping[str, Any]) -> str:
    if path.startswith("/v1/chat/"):
        messages = fields.get("messages")
        if not isinstance(messages, list) or not messages or not all(isinstance(item, dict) for item in messages):
            raise BadRequest("messages must be a list of messages", parameter="messages")
    elif "prompt" not in fields:
        raise BadRequest("prompt is missing", parameter="prompt")
    return read_prompt(path, fields)


def _read_content(message: Mapping[str, Any]) -> str:
    content = message.get("content")
    return content if isinstance(content, str) else json.dumps(content)


def _read_output_tokens(fields: Mapping[str, Any]) -> int:
    for name in ("max_completion_tokens", "max_tokens"):
        value = fields.get(name)
        if value is None:
            continue
        if not isinstance(value, int) or isinstance(value, bool) or value < 1:
            raise BadRequest(f"{name} must be a whole number above 0", parameter=name)
        return value
    return DEFAULT_OUTPUT_TOKENS


def _read_key(headers: Mapping[str, str]) -> str | None:
    key = headers.get(KEY)
    if key is None:
        return None
    if not key or len(key) > LONGEST_KEY or not key.isprintable():
        raise BadRequest(f"Idempotency-Key must have 1 to {LONGEST_KEY} printable characters", parameter=KEY)
    return key


def _read_seconds(headers: Mapping[str, str], name: str, default: float | None) -> float | None:
    raw = headers.get(name)
    if raw is None:
        return default
    try:
        value = float(raw)
    except ValueError:
        value = -1
    if not 0 < value <= MOST_SECONDS:
        raise BadRequest(f"{name} must be a number of seconds above 0", parameter=name)
    return value


def _read_attempt(headers: Mapping[str, str]) -> int:
    raw = headers.get(ATTEMPT, "0")
    if not raw.isdigit() or len(raw) > MOST_DIGITS:
        raise BadRequest(f"{ATTEMPT} must be a whole number", parameter=ATTEMPT)
    return int(raw)


def _read_flag(headers: Mapping[str, str], name: str, default: bool) -> bool:
    raw = headers.get(name, "").lower()
    if not raw:
        return default
    if raw not in _TRUE + _FALSE:
        raise BadRequest(f"{name} must be yes or no", parameter=name)
    return raw in _TRUE


def _read_priority(headers: Mapping[str, str], default: str) -> Priority:
    raw = headers.get(PRIORITY, default)
    if raw not in PRIORITY_NAMES:
        raise BadRequest(f"{PRIORITY} must be one of {', '.join(PRIORITY_NAMES)}", parameter=PRIORITY)
    return PRIORITY_NAMES[raw]

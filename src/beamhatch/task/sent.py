"""What a caller already has of a streamed answer, kept so that it can be continued elsewhere or given again."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from beamhatch.edge.upstream.api import Sent


@dataclass(frozen=True, slots=True)
class Reading:
    """What the frames of an answer say."""

    sent: Sent
    finished: bool
    """True once the frames carry the reason why the text ended: nothing may follow it."""
    has_usage: bool


class SentFrames:
    """The frames passed on so far, as bytes; they are read only when a stream breaks."""

    def __init__(self, most_bytes: int) -> None:
        self._parts: list[bytes] = []
        self._left = most_bytes

    def add(self, data: bytes) -> None:
        """Keep frames, as long as they fit."""
        self._left -= len(data)
        if self._left >= 0:
            self._parts.append(data)
        else:
            self._parts.clear()

    @property
    def complete(self) -> bool:
        """Return whether all frames were kept."""
        return self._left >= 0

    def join(self) -> bytes:
        """Return all frames."""
        return b"".join(self._parts)

    def read(self) -> Reading | None:
        """Return what the frames say, or None where the text can't be told or has more than one choice."""
        if not self.complete:
            return None
        texts: list[str] = []
        finished = has_usage = False
        for frame in self.join().split(b"\n\n"):
            data = _find_data(frame)
            if data is None or data == b"[DONE]":
                continue
            try:
                value = json.loads(data)
            except ValueError:
                return None
            has_usage = has_usage or bool(value.get("usage"))
            for choice in value.get("choices", []):
                text = _find_text(choice)
                if text is None:
                    return None
                texts.append(text)
                finished = finished or choice.get("finish_reason") is not None
        tokens = sum(1 for text in texts if text)
        return Reading(Sent("".join(texts), tokens), finished, has_usage)


def _find_data(frame: bytes) -> bytes | None:
    for line in frame.split(b"\n"):
        if line.startswith(b"data: "):
            return line[len(b"data: ") :]
    return None


def _find_text(choice: dict[str, Any]) -> str | None:
    """Return the text of one choice, or None where it holds more than plain text of the first choice."""
    if choice.get("index", 0) != 0 or choice.get("logprobs"):
        return None
    delta = choice.get("delta")
    if delta is None:
        return str(choice.get("text") or "")
    if set(delta) - {"role", "content", "refusal"}:
        return None
    return str(delta.get("content") or "")

"""Cut an engine's event stream into whole frames and check that they are the next ones of the right run.

A frame is a server-sent event whose first line is ``id: <run>/<offset>``. The frames are passed on as the bytes they
came in; only the id line is read.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_FRAME_BYTES = 1024 * 1024
_END = b"\n\n"
DONE = b"data: [DONE]\n\n"


class FrameError(ValueError):
    """The stream can't be followed any further: a frame is missing, or one is too long."""


@dataclass(slots=True)
class Cut:
    """What came out of one piece of data."""

    frames: bytes = b""
    dropped: int = 0
    done: bool = False


class FrameCutter:
    """Follows the frames of one run."""

    def __init__(self, run: str, after: int = 0) -> None:
        self._prefix = f"id: {run}/".encode()
        self._rest = b""
        self.offset = after
        """Offset of the last frame that was passed on."""
        self._expected = b"%s%d\n" % (self._prefix, after + 1)

    def take_one(self, data: bytes) -> bool:
        """Return whether a piece is just the next frame, as nearly every one is; it is passed on as it came."""
        if self._rest or not data.startswith(self._expected) or data.find(_END) != len(data) - len(_END):
            return False
        self._advance()
        return True

    def feed(self, data: bytes) -> Cut:
        """Take a piece of the stream and return the whole frames in it.

        :raises FrameError: where the stream can't be followed
        """
        if self._rest:
            data = self._rest + data
            self._rest = b""
        cut = Cut()
        parts: list[bytes] = []
        *events, self._rest = data.split(_END)
        if len(self._rest) > MAX_FRAME_BYTES:
            raise FrameError("a frame is too long")
        for event in events:
            frame = event + _END
            if self._take(frame):
                parts.append(frame)
                cut.done = cut.done or frame.endswith(DONE)
            else:
                cut.dropped += 1
        cut.frames = b"".join(parts)
        return cut

    def _take(self, frame: bytes) -> bool:
        """Return whether a frame is the next one; a frame of before or of another run is not."""
        if not frame.startswith(self._prefix):
            return False
        start = len(self._prefix)
        number = frame[start : frame.find(b"\n", start)]
        if not number.isdigit():
            return False
        offset = int(number)
        if offset <= self.offset:
            return False
        if offset != self.offset + 1:
            raise FrameError(f"frame {self.offset + 1} is missing")
        self._advance()
        return True

    def _advance(self) -> None:
        self.offset += 1
        self._expected = b"%s%d\n" % (self._prefix, self.offset + 1)

"""What the router needs of the caller's side; HTTP stays behind this class."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.decide.outcome import Outcome


class CallerAnswer(ABC):
    """The way back to one caller."""

    @abstractmethod
    def begin_stream(self) -> None:
        """Send the head of a streamed answer."""

    @abstractmethod
    def write(self, data: bytes) -> None:
        """Send a part of a streamed answer."""

    @abstractmethod
    def send_whole(self, status: int, headers: Sequence[tuple[str, str]], body: bytes) -> None:
        """Send an answer that is not streamed, and end."""

    @abstractmethod
    def end_stream(self) -> None:
        """End a streamed answer."""

    @abstractmethod
    def fail(self, outcome: Outcome) -> None:
        """Say how it ended; behind a stream that has begun, as an error event."""

    @abstractmethod
    def watch(self, gone: Callable[[], None], pause: Callable[[], None], go_on: Callable[[], None]) -> None:
        """Have functions called when the caller is gone, is slow, and reads again."""

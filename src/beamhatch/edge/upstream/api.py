"""What the router needs of engines and plain services; the wire form stays behind these classes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence

    from beamhatch.decide.call import Call
    from beamhatch.ids import RunId


@dataclass(frozen=True, slots=True)
class Export:
    """A KV cache that a prefill engine holds for a decode engine to fetch."""

    parameters: dict[str, Any]
    """Opaque to the router: handed from one engine to the other."""
    tokens: int
    cached_tokens: int = 0
    """Prompt tokens that the engine had in its prefix cache."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """The upstream says that the request itself is wrong; nothing ran."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Refusal:
    """The upstream refused, with proof that nothing ran."""

    detail: str
    retry_after: float | None = None
    export_lost: bool = False


@dataclass(frozen=True, slots=True)
class Break:
    """The exchange broke off; it may have run."""

    detail: str


@dataclass(frozen=True, slots=True)
class Whole:
    """A whole answer that is not streamed."""

    status: int
    headers: Sequence[tuple[str, str]]
    body: bytes


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream says of itself; it lags."""

    taken: float
    """Seconds since 1970, by the upstream's clock, when the figures were true."""
    age: float
    """Seconds between that moment and the sending of the report."""
    held_tokens: int
    capacity_tokens: int
    running: int
    queued: int
    leaving: bool
    boot: int
    """Number of the upstream's start: a new one holds nothing of before."""


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix block that an engine now has, or no longer has."""

    sequence: int
    stored: bool
    block: int


class AnswerSink(ABC):
    """Takes in what a decode engine sends, in order."""

    @abstractmethod
    def take_head(self) -> None:
        """Note that the engine holds the KV cache and has begun."""

    @abstractmethod
    def take_frames(self, data: bytes, last_offset: int) -> None:
        """Take whole frames, as bytes, up to and with an offset."""

    @abstractmethod
    def take_whole(self, whole: Whole) -> None:
        """Take an answer that is not streamed, and its end."""

    @abstractmethod
    def take_end(self) -> None:
        """Note that the stream ended whole."""

    @abstractmethod
    def take_fault(self, fault: Rejection | Refusal | Break) -> None:
        """Note that the stream ended otherwise."""

    @abstractmethod
    def count_dropped(self, frames: int) -> None:
        """Count frames that were late or belonged to another run."""


class AnswerStream(ABC):
    """An answer on its way from a decode engine."""

    @abstractmethod
    def pause(self) -> None:
        """Stop reading for a while."""

    @abstractmethod
    def go_on(self) -> None:
        """Read again."""

    @abstractmethod
    def abandon(self) -> None:
        """Close the connection; the sink hears nothing more."""


class Engine(ABC):
    """A model engine, met over whatever protocol it speaks."""

    @abstractmethod
    async def prefill(
        self, call: Call, run: RunId, behind: str | None, limit: float
    ) -> Export | Rejection | Refusal | Break:
        """Prefill a prompt and hold its KV cache for export.

        :param behind: text that the caller already has and that the prompt is continued with
        :param limit: seconds
        """

    @abstractmethod
    def decode(self, call: Call, run: RunId, export: Export, sent: Sent | None, sink: AnswerSink) -> AnswerStream:
        """Fetch an export and generate; the answer goes to the sink."""

    @abstractmethod
    def resume(self, call: Call, run: RunId, after: int, sink: AnswerSink) -> AnswerStream:
        """Go on with a run's stream behind an offset."""

    @abstractmethod
    async def cancel(self, run: RunId) -> bool:
        """Have the engine let go of a run; return whether it acknowledged."""

    @abstractmethod
    async def read_load(self) -> LoadReport | None:
        """Return the engine's report, or None where it gave none."""

    @abstractmethod
    async def read_cache_events(self, after: int) -> Sequence[CacheEvent] | None:
        """Return the cache events behind a sequence number, or None where it gave none."""


@dataclass(frozen=True, slots=True)
class Sent:
    """What the caller already has of an answer that another engine is to continue."""

    text: str
    tokens: int


class Service(ABC):
    """A plain service."""

    @abstractmethod
    async def ask(self, call: Call, run: RunId, limit: float) -> Whole | Refusal | Break:
        """Send a call and return its whole answer."""

    @abstractmethod
    async def read_load(self) -> LoadReport | None:
        """Return the service's report, or None where it gave none."""

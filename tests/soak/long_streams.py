"""Streams that last for seconds, and callers who take them up again until they have them whole."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.soak.caller import Outcome
from tests.soak.promise import LEAST_RESUMED, RESUMED_SHARE

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from tests.soak.world import World

PATH = "/long/"
EVENTS = 60
"""Events of each, at 0.03 s."""

MOST_TRIES = 12
RETURN_DELAY = 0.02, 0.4
"""Seconds after which a caller comes back that was told no time, from and to."""

LONGEST_RETURN_DELAY = 1.5
"""Seconds after which a caller comes back at the latest, whatever it was told."""


@dataclass(slots=True)
class LongStream:
    """A stream over all tries of its caller."""

    events: int = 0
    """Events that the caller has."""
    began_as: str = ""
    """The request that brought the first event."""
    tries: int = 0
    """Tries at VMs that accepted the connection."""
    complete: bool = False
    broke: bool = False
    """Whether a try ended behind an event and before the last one."""


@dataclass(slots=True)
class Batch:
    """Streams that began together, shortly before all relays were killed."""

    streams: list[LongStream] = field(default_factory=list)
    kept: set[str] = field(default_factory=set)
    """Versions whose engines all stayed."""


class LongStreams:
    """All long streams of a run."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._random = world.random
        self.batches: list[Batch] = []

    def begin(self, count: int) -> Batch:
        """Have callers ask for streams."""
        batch = Batch()
        self.batches.append(batch)
        for _ in range(count):
            stream = LongStream()
            batch.streams.append(stream)
            self._ask(stream)
        return batch

    def _ask(self, stream: LongStream) -> None:
        if self._world.stopping:
            return
        extra = []
        if stream.events:
            self._world.witness.resumed += 1
            extra = [("Resumes", stream.began_as), ("Last-Event-Id", str(stream.events))]

        def prepare(outcome: Outcome) -> None:
            outcome.began_as, outcome.last_event = stream.began_as, stream.events

        def take_end(ended: Outcome | None) -> None:
            self._take_end(stream, ended)

        self._world.ask_for_stream(PATH, EVENTS, extra, prepare, take_end)

    def _take_end(self, stream: LongStream, ended: Outcome | None) -> None:
        """Take the end of a try, None if no VM accepted the connection."""
        delay = self._random.uniform(*RETURN_DELAY)
        if ended is not None:
            stream.tries += 1
            got = len(ended.events) if ended.status == 200 else 0
            if got and not stream.events:
                stream.began_as = ended.request
            stream.events += got
            stream.complete = ended.whole and ended.status == 200
            stream.broke = stream.broke or (bool(stream.events) and not stream.complete)
            told = ended.headers.get("retry-after", "")
            if told and self._random.random() < 0.5:
                delay = min(float(told), LONGEST_RETURN_DELAY)
        if not stream.complete and stream.tries < MOST_TRIES:
            self._world.clock.call_later(delay, self._ask, stream)


def list_lost(batches: Sequence[Batch], find_versions: Callable[[str], set[str]]) -> list[str]:
    """Return a line for each kill behind which too few streams went on whose version stayed.

    :param find_versions: returns the versions whose events a stream holds, by the request that began it
    """
    lines = []
    for number, batch in enumerate(batches):
        broken = [one for one in batch.streams if one.broke and find_versions(one.began_as) <= batch.kept]
        went_on = sum(one.complete for one in broken)
        if len(broken) >= LEAST_RESUMED and went_on < RESUMED_SHARE * len(broken):
            lines.append(f"{went_on} of {len(broken)} streams went on behind kill {number + 1}")
    return lines

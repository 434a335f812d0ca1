"""Tell the end of an upstream from a broken connection, by what this VM sees of it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.quarantine.ends import MOST_TOLD, BrokenRun, EndNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.relay.model import Address, Upstream, UpstreamId
    from beamhatch.relay.requests.fingerprint import Fingerprint

SETTLE_TIME = 0.02
"""Seconds in which all connections to an upstream that has ended break: they do so at once, some round trips apart."""

LEAST_RUN = 0.01
"""Seconds behind which a send that was never answered may have been begun.

Before, its connection was closed as the send crossed the close, or refused as there were too many.
"""


@dataclass(slots=True)
class _Broken:
    address: Address
    since: float
    runs: list[BrokenRun] = field(default_factory=list)


class EndDetection:
    """Collects the runs that break at an upstream, and tells of its end where most connections to it are gone."""

    def __init__(
        self, clock: Clock, count_connections: Callable[[Address], int], on_end: Callable[[EndNews], None]
    ) -> None:
        self._clock = clock
        self._count_connections = count_connections
        self._on_end = on_end
        self._broken: dict[UpstreamId, _Broken] = {}

    def note_broken(self, upstream: Upstream, fingerprint: Fingerprint, ran: float) -> None:
        """Note that the connection of a run that was begun has ended.

        :param ran: seconds that it had run
        """
        broken = self._broken.get(upstream.id)
        if broken is None:
            broken = self._broken[upstream.id] = _Broken(upstream.address, self._clock.now())
            self._clock.call_later(SETTLE_TIME, self._decide, upstream.id)
        broken.runs.append(BrokenRun(fingerprint, round(1000 * ran)))

    def _decide(self, upstream: UpstreamId) -> None:
        broken = self._broken.pop(upstream)
        if self._count_connections(broken.address) > len(broken.runs):
            return  # most last, so only some were reset; one that is not read from, as its caller is slow, tells no end
        youngest = sorted(broken.runs, key=lambda run: run.ran)[:MOST_TOLD]
        self._on_end(EndNews(upstream, round(self._clock.now() - broken.since, 3), youngest))

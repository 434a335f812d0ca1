"""Tell the end of an upstream from a broken connection, by what this VM sees of it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.quarantine.ends import MOST_TOLD, BrokenRun, EndNews

if TYPE_CHECKING:
    from collections.abc import Callable, Set

    from beamhatch.clock import Clock
    from beamhatch.relay.model import Address, Fingerprint, Upstream, UpstreamId
    from beamhatch.relay.upstreams.http_client import Connection

SETTLE_TIME = 0.02
"""Seconds in which all connections to an upstream that has ended break: they do so at once, some round trips apart."""

END_SHARE = 0.9
"""Share of the connections that were open when the first run broke, and read from, which are gone when one has ended.

An end takes all of them; a tenth is left for what a busy VM has not been told of within the settle time. Where a part
is reset, by a limit or a fault on the way, more last. What was opened since tells nothing: a proxy in front, an
upstream that is back in 5 ms, or a busy VM, has as many again by then. While these were counted, 1 of 72 ends was told.
"""

LEAST_RUN = 0.01
"""Seconds behind which a send that was never answered may have been begun.

Before, its connection was closed as the send crossed the close, or refused as there were too many.
"""


@dataclass(slots=True)
class _Broken:
    address: Address
    since: float
    before: Set[Connection]
    """Connections that were open, and read from, when the first run broke; without that run's own."""
    runs: list[BrokenRun] = field(default_factory=list)


class EndDetection:
    """Collects the runs that break at an upstream, and tells of its end where most connections to it are gone."""

    def __init__(
        self, clock: Clock, list_open: Callable[[Address], Set[Connection]], on_end: Callable[[EndNews], None]
    ) -> None:
        self._clock = clock
        self._list_open = list_open
        self._on_end = on_end
        self._broken: dict[UpstreamId, _Broken] = {}

    def note_broken(self, upstream: Upstream, fingerprint: Fingerprint, ran: float) -> None:
        """Note that the connection of a run that was begun, or may have been, has ended.

        :param ran: seconds that it had run
        """
        broken = self._broken.get(upstream.id)
        if broken is None:
            before = {one for one in self._list_open(upstream.address) if not one.paused}
            broken = self._broken[upstream.id] = _Broken(upstream.address, self._clock.now(), before)
            self._clock.call_later(SETTLE_TIME, self._decide, upstream.id)
        broken.runs.append(BrokenRun(fingerprint, round(1000 * ran)))

    def _decide(self, upstream: UpstreamId) -> None:
        broken = self._broken.pop(upstream)
        lasting = broken.before & self._list_open(broken.address)
        open_then = 1 + len(broken.before)
        if open_then - len(lasting) < END_SHARE * open_then:
            return
        youngest = sorted(broken.runs, key=lambda run: run.ran)[:MOST_TOLD]
        self._on_end(EndNews(upstream, round(self._clock.now() - broken.since, 3), youngest))

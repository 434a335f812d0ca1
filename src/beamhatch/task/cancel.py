"""Cancel runs at upstreams, again and again until each is acknowledged or its upstream is gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import defer

from beamhatch.observe.log import Part, get_log

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.edge.upstream.api import Engine
    from beamhatch.ids import RunId, UpstreamName
    from beamhatch.observe.metrics import Metrics

LONGEST_PAUSE = 5.0
MOST_TRIES = 60
"""After these the engine is taken as gone for good; its own limits free the memory."""


class Canceller:
    """Owns the cancel orders that are not acknowledged yet."""

    def __init__(
        self, clock: Clock, find_engine: Callable[[UpstreamName], Engine | None], pause: float, metrics: Metrics
    ) -> None:
        self._clock = clock
        self._find_engine = find_engine
        self._pause = pause
        self._metrics = metrics
        self._log = get_log(Part.ENGINE)
        self.open: dict[RunId, UpstreamName] = {}

    def cancel(self, run: RunId, upstream: UpstreamName) -> None:
        """Have an upstream let go of a run."""
        if run in self.open:
            return
        self.open[run] = upstream
        defer.ensureDeferred(self._try(run, upstream, 1))

    async def _try(self, run: RunId, upstream: UpstreamName, tries: int) -> None:
        engine = self._find_engine(upstream)
        if engine is None:
            self._close(run, "gone")
            return
        if await engine.cancel(run):
            self._close(run, "acknowledged")
            return
        if tries >= MOST_TRIES:
            self._log.warning("An engine never acknowledged a cancel.", run=run, upstream=upstream)
            self._close(run, "given_up")
            return
        self._metrics.cancels.labels("retried").inc()
        pause = min(LONGEST_PAUSE, self._pause * 1.5 ** (tries - 1))
        self._clock.call_later(pause, lambda: defer.ensureDeferred(self._try(run, upstream, tries + 1)))

    def _close(self, run: RunId, result: str) -> None:
        self.open.pop(run, None)
        self._metrics.cancels.labels(result).inc()

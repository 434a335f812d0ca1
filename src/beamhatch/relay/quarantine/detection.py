"""Tell the end of an upstream from a broken connection, by what this VM sees of it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.quarantine.crashes import MAX_ANNOUNCED_RUNS, BrokenRun, CrashUpdate

if TYPE_CHECKING:
    from collections.abc import Callable, Set

    from beamhatch.clock import Clock
    from beamhatch.relay.model import Address, Fingerprint, Upstream, UpstreamId
    from beamhatch.relay.upstreams.http_client import Connection

SETTLE_S = 0.02
"""Seconds in which all connections to an upstream that has ended break: they do so at once, some round trips apart."""

MIN_CLOSED_SHARE = 0.9
"""Share of the connections that were open when the first run broke, and read from, which are gone when one has ended.

An end takes all of them; a tenth is left for what a busy VM has not been told of within the settle time. Where a part
is reset, by a limit or a fault on the way, more last. What was opened since tells nothing: a proxy in front, an
upstream that is back in 5 ms, or a busy VM, has as many again by then. While these were counted, 1 of 72 ends was told.
"""

MIN_RUN_S = 0.01
"""Seconds behind which a send that was never answered may have been begun.

Before, its connection was closed as the send crossed the close, or refused as there were too many.
"""


@dataclass(slots=True)
class _PendingCrash:
    address: Address
    since: float
    open_before: Set[Connection]
    """Connections that were open, and read from, when the first run broke; without that run's own."""
    runs: list[BrokenRun] = field(default_factory=list)


class CrashDetector:
    """Collects the runs that break at an upstream, and tells of its end where most connections to it are gone."""

    def __init__(
        self,
        clock: Clock,
        list_open_connections: Callable[[Address], Set[Connection]],
        on_crash: Callable[[CrashUpdate], None],
    ) -> None:
        self._clock = clock
        self._list_open_connections = list_open_connections
        self._on_crash = on_crash
        self._pending: dict[UpstreamId, _PendingCrash] = {}

    def record_broken_run(self, upstream: Upstream, fingerprint: Fingerprint, duration: float) -> None:
        """Note that the connection of a run that was begun, or may have been, has ended.

        :param ran: seconds that it had run
        """
        pending = self._pending.get(upstream.id)
        if pending is None:
            open_before = {one for one in self._list_open_connections(upstream.address) if not one.paused}
            pending = self._pending[upstream.id] = _PendingCrash(upstream.address, self._clock.now(), open_before)
            self._clock.call_later(SETTLE_S, self._decide, upstream.id)
        pending.runs.append(BrokenRun(fingerprint, round(1000 * duration)))

    def _decide(self, upstream: UpstreamId) -> None:
        pending = self._pending.pop(upstream)
        still_open = pending.open_before & self._list_open_connections(pending.address)
        open_count = 1 + len(pending.open_before)
        if open_count - len(still_open) < MIN_CLOSED_SHARE * open_count:
            return
        shortest = sorted(pending.runs, key=lambda run: run.duration_ms)[:MAX_ANNOUNCED_RUNS]
        self._on_crash(CrashUpdate(upstream, round(self._clock.now() - pending.since, 3), shortest))

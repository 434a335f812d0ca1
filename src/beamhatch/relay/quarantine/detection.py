"""Distinguish a crash of an upstream from single broken connections."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.quarantine.ends import MAX_ANNOUNCED_RUNS, BrokenRun, CrashUpdate

if TYPE_CHECKING:
    from collections.abc import Callable, Set

    from beamhatch.clock import Clock
    from beamhatch.relay.model import Address, SoftwareVersion, Upstream, UpstreamId
    from beamhatch.relay.upstreams.http_client import Connection

SETTLE_S = 0.02
"""Time to wait after the first broken run for other connections to the upstream to close, in seconds."""

MIN_CLOSED_SHARE = 0.9
"""Minimum share of the connections open at the first broken run that must be closed for a crash.

Paused connections and those opened later are not counted. A network failure closes a smaller share. The minimum is
below 1 as this VM may not have processed all closed connections yet. A restarted upstream, or a proxy in front of it,
may have as many new connections again within milliseconds.
"""

MIN_RUN_S = 0.01
"""Minimum duration of a run without a response for it to be counted, in seconds.

If the run was shorter, the upstream may have closed the connection without reading the request.
"""


@dataclass(slots=True)
class _PendingCrash:
    address: Address
    version: SoftwareVersion
    since: float
    open_before: Set[Connection]
    """Connections that were open and not paused when the first run broke, without that run's own."""
    runs: list[BrokenRun] = field(default_factory=list)


class CrashDetector:
    """Detector of crashes, based on the share of an upstream's connections that close together."""

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

    def record_broken_run(self, upstream: Upstream, run: BrokenRun) -> None:
        """Record a run whose connection closed before the response was complete."""
        pending = self._pending.get(upstream.id)
        if pending is None:
            open_before = {one for one in self._list_open_connections(upstream.address) if not one.paused}
            pending = self._pending[upstream.id] = _PendingCrash(
                upstream.address, upstream.version, self._clock.now(), open_before
            )
            self._clock.call_later(SETTLE_S, self._report_if_crashed, upstream.id)
        pending.runs.append(run)

    def _report_if_crashed(self, upstream: UpstreamId) -> None:
        pending = self._pending.pop(upstream)
        still_open = pending.open_before & self._list_open_connections(pending.address)
        open_count = 1 + len(pending.open_before)
        if open_count - len(still_open) < MIN_CLOSED_SHARE * open_count:
            return
        shortest = sorted(pending.runs, key=lambda run: run.duration_ms)[:MAX_ANNOUNCED_RUNS]
        self._on_crash(CrashUpdate(upstream, round(self._clock.now() - pending.since, 3), shortest, pending.version))

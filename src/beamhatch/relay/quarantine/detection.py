"""Distinguish a crash of an upstream from single broken connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from beamhatch.relay.quarantine.ends import MAX_ANNOUNCED_RUNS, SAME_CRASH_WINDOW_S, BrokenRun, CrashUpdate

if TYPE_CHECKING:
    from collections.abc import Set

    from beamhatch.clock import Clock
    from beamhatch.relay.model import Upstream, UpstreamId
    from beamhatch.relay.tunnels.api import Via
    from beamhatch.relay.upstreams.connection import Connection
    from beamhatch.relay.upstreams.http_client import ConnectionTracker

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


class EndVerdict(Enum):
    """What is known about a connection whose close marked the end of a response."""

    COMPLETE = "complete"
    """The upstream goes on, so it ended the response."""
    CRASHED = "crashed"
    """The upstream crashed, so the response may be truncated."""
    UNKNOWN = "unknown"
    """No other connection to the upstream shows which one it is."""


VerdictHandler = Callable[[EndVerdict], None]


@dataclass(slots=True)
class _PendingCrash:
    upstream: Upstream
    since: float
    open_before: Set[Connection]
    """Connections that were open and not paused when the first run broke, without that run's own."""
    runs: list[BrokenRun] = field(default_factory=list)
    closed: list[_ClosedRun] = field(default_factory=list)

    def list_runs(self) -> list[BrokenRun]:
        """Return all runs."""
        return [*self.runs, *(one.run for one in self.closed)]


@dataclass(frozen=True, slots=True)
class _ClosedRun:
    """A run whose response may be complete, as only the close of its connection marks the end."""

    run: BrokenRun
    connection: Connection | None
    on_verdict: VerdictHandler


@dataclass(slots=True)
class _UnconfirmedCrash:
    """Runs that only broke if another VM reports a crash, too.

    They went through a peer that may have failed itself, or their responses may be complete.
    """

    upstream: Upstream
    at: float
    runs: list[BrokenRun]


class CrashDetector:
    """Detector of crashes, based on the share of an upstream's connections that close together."""

    def __init__(self, clock: Clock, connections: ConnectionTracker, on_crash: Callable[[CrashUpdate], None]) -> None:
        self._clock = clock
        self._connections = connections
        self._on_crash = on_crash
        self._pending: dict[tuple[UpstreamId, Via | None], _PendingCrash] = {}
        self._unconfirmed: dict[UpstreamId, _UnconfirmedCrash] = {}

    def record_broken_run(self, upstream: Upstream, run: BrokenRun, via: Via | None = None) -> None:
        """Record a run whose connection closed before the response was complete.

        :param via: the peer that the connection went through; None for a direct one
        """
        self._get_pending(upstream, via).runs.append(run)

    def record_closed_run(
        self, upstream: Upstream, run: BrokenRun, connection: Connection | None, on_verdict: VerdictHandler
    ) -> None:
        """Record a run whose response ended with its direct connection, without a length or chunks."""
        self._get_pending(upstream, None).closed.append(_ClosedRun(run, connection, on_verdict))

    def confirm(self, upstream: UpstreamId, at: float) -> None:
        """Report the runs of this VM that broke if another VM reports a crash.

        :param at: monotonic time of the crash in seconds
        """
        found = self._unconfirmed.get(upstream)
        if found is not None and abs(found.at - at) < SAME_CRASH_WINDOW_S:
            del self._unconfirmed[upstream]
            self._report(found.upstream, found.at, found.runs)

    def _get_pending(self, upstream: Upstream, via: Via | None) -> _PendingCrash:
        key = upstream.id, via
        pending = self._pending.get(key)
        if pending is None:
            open_connections = self._connections.list_open(upstream.address, via)
            just_closed = self._connections.list_just_closed(upstream.address, via)
            open_before = {one for one in open_connections if not one.paused} | just_closed
            pending = self._pending[key] = _PendingCrash(upstream, self._clock.now(), open_before)
            self._clock.call_later(SETTLE_S, self._settle, key)
        return pending

    def _settle(self, key: tuple[UpstreamId, Via | None]) -> None:
        pending = self._pending.pop(key)
        via = key[1]
        still_open = pending.open_before & self._connections.list_open(pending.upstream.address, via)
        # A connection that closed at the end of a response may have done so without a crash.
        telling = pending.open_before - {one.connection for one in pending.closed}
        open_count = len(telling) + bool(pending.runs)
        if not open_count:
            verdict = EndVerdict.UNKNOWN
            self._keep_unconfirmed(pending)
        elif open_count - len(still_open) < MIN_CLOSED_SHARE * open_count:
            verdict = EndVerdict.COMPLETE
        else:
            verdict = EndVerdict.CRASHED
            self._handle_crash(pending, via)
        for one in pending.closed:
            one.on_verdict(verdict)

    def _handle_crash(self, pending: _PendingCrash, via: Via | None) -> None:
        if via is None or self._connections.has_other_tunnel(via, pending.upstream.address):
            self._report(pending.upstream, pending.since, pending.list_runs())
        else:
            self._keep_unconfirmed(pending)

    def _keep_unconfirmed(self, pending: _PendingCrash) -> None:
        upstream = pending.upstream
        self._unconfirmed[upstream.id] = _UnconfirmedCrash(upstream, pending.since, pending.list_runs())
        self._clock.call_later(SAME_CRASH_WINDOW_S, self._drop_unconfirmed, upstream.id, pending.since)

    def _drop_unconfirmed(self, upstream: UpstreamId, at: float) -> None:
        found = self._unconfirmed.get(upstream)
        if found is not None and found.at == at:
            del self._unconfirmed[upstream]

    def _report(self, upstream: Upstream, at: float, runs: list[BrokenRun]) -> None:
        shortest = sorted(runs, key=lambda run: run.duration_ms)[:MAX_ANNOUNCED_RUNS]
        self._on_crash(CrashUpdate(upstream.id, round(self._clock.now() - at, 3), shortest, upstream.version))

"""Stand-ins of upstreams that note what reaches them, and when."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.platform.standin.base import read_headers
from beamhatch.platform.standin.upstream import StandInEngine, StandInUpstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.platform.standin.upstream import Run
    from beamhatch.relay.callers.http_server import IncomingRequest, RequestHandler, Responder


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached the upstream that was meant."""

    request: str
    path: str
    instance: str
    is_prefill: bool


class Observed(StandInUpstream):
    """Tells of each request that reaches it."""

    on_arrival: Callable[[Arrival], None]
    on_read: Callable[[Arrival], None]
    active: set[str]
    """Requests that it is at work on, among all upstreams."""
    on_crash: Callable[[str], None]
    """Called when a request has ended it."""

    paused_until: float = float("-inf")
    """When the last pause ends or ended, in seconds of the clock."""

    def observe(
        self,
        on_arrival: Callable[[Arrival], None],
        on_read: Callable[[Arrival], None],
        on_crash: Callable[[str], None],
        active: set[str],
    ) -> None:
        """Say whom to tell, before it starts.

        :param on_arrival: takes what has arrived
        :param on_read: takes what is read, behind the end of a pause
        """
        self._deferred: list[IncomingRequest] = []
        self.on_arrival = on_arrival
        self.on_read = on_read
        self.on_crash = on_crash
        self.active = active

    def crash(self) -> None:
        """End with all runs; another one comes in its place."""
        for run in list(self.runs):
            run.end()
        self.on_crash(self.instance)

    def start_run(self, request: str) -> Run:
        """Begin to work on a request."""
        run = super().start_run(request)
        self.active.add(request)
        end = run.end

        def note_end() -> None:
            self.active.discard(request)
            end()

        run.end = note_end  # type: ignore[method-assign]
        return run

    def serve(self, incoming: IncomingRequest, responder: Responder) -> RequestHandler | None:
        """Note a request that is meant for this upstream, and serve it."""
        headers = read_headers(incoming)
        request = headers.get("request-id", "")
        was_deferred = any(one is incoming for one in self._deferred)
        if self.pause_left_s and not was_deferred:
            self._deferred.append(incoming)
        if request and headers.get("expect-instance", self.instance) == self.instance and self.plays(headers):
            arrival = Arrival(request, incoming.path, self.instance, headers.get("stage") == "prefill")
            if not was_deferred:
                self.on_arrival(arrival)
            if not self.pause_left_s:
                self.on_read(arrival)
        return super().serve(incoming, responder)

    def pause_for(self, seconds: float) -> None:
        """Pause, or extend a pause."""
        if seconds > self.pause_left_s:
            super().pause_for(seconds)
            self.paused_until = self.clock.now() + seconds

    def plays(self, headers: dict[str, str]) -> bool:
        """Tell whether it plays the part that a request asks for."""
        return True


class PlainReplica(Observed):
    """A replica of a plain service."""


class ModelEngine(Observed, StandInEngine):
    """A model engine."""

    phase_change_time_s = 2.0

    def plays(self, headers: dict[str, str]) -> bool:
        """Tell whether it plays the part that a request asks for."""
        return (headers.get("stage") == "prefill") == (self.phase == "prefill")

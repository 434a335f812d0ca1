"""The times by which one request has to make progress."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.relay.requests.request import RelayRequest

RESPONSE_MARGIN_S = 0.03
"""Time before the caller's deadline at which the request times out, so that the error response still arrives."""

ON_TIME_SHARE = 0.55
"""Share of the target latency within which decode memory has to be free for the response to be on time."""


class Deadlines:
    """The deadlines of one request, as monotonic times in seconds, and the timer of the last one."""

    def __init__(self, clock: Clock, request: RelayRequest, arrived_at: float, on_timeout: Callable[[], None]) -> None:
        """Create it without starting the timer.

        :param arrived_at: monotonic time in seconds at which the request arrived
        :param on_timeout: called when the request times out
        """
        self._clock = clock
        self._request = request
        self._arrived_at = arrived_at
        self._on_timeout = on_timeout
        self._timer: Any = None

    @property
    def timeout_at(self) -> float:
        """Return when the request times out, by its route and by its caller's deadline."""
        limit = self._arrived_at + self._request.terms.timeout
        time_left = self._request.facts.time_left
        if time_left is not None:
            limit = min(limit, self._arrived_at + time_left - RESPONSE_MARGIN_S)
        return limit

    @property
    def memory_wait_s(self) -> float:
        """Return the seconds from the arrival within which decode memory has to be free for a response on time."""
        return ON_TIME_SHARE * self._request.route.target_latency

    @property
    def memory_at(self) -> float:
        """Return by when decode memory has to be free for a response on time."""
        return self._arrived_at + self.memory_wait_s

    def compute_cold_wait_end(self, began_at: float | None) -> float:
        """Return up to when the request may wait for a cold upstream.

        :param began_at: monotonic time in seconds at which it began to wait, None if it does not
        """
        if self._request.response_begun and began_at is not None:
            return began_at + self._request.max_memory_wait_s
        return self.memory_at

    def start_timer(self) -> None:
        """Start the timer, or start it again with the present terms of the request."""
        self.stop_timer()
        left_s = self.timeout_at - self._clock.now()
        self._timer = self._clock.call_later(max(0.0, left_s), self._handle_timeout)

    def stop_timer(self) -> None:
        """Stop the timer if it runs."""
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _handle_timeout(self) -> None:
        self._timer = None
        self._on_timeout()

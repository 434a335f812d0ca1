"""Keep the attempts at silent upstreams open while another upstream is sought for their request.

A silent upstream may be sound and go on. Its attempt is kept as a fallback, without a timeout, until another upstream
responds. Whichever responds first serves the request, and the others are cancelled.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from beamhatch.clock import Clock
    from beamhatch.relay.requests.request import RelayRequest
    from beamhatch.relay.upstreams.attempt import Attempt

SEARCH_INTERVAL_S = 0.3
"""Time after which another upstream is sought again if none was found."""

HANDOVER_TIMEOUT_S = 0.25
"""Time for which the fallback of a stream is kept after the stream was sent to another upstream.

After it, the fallback could work on the stream at the same time for longer than allowed.
"""


class Failover:
    """The fallbacks of one request."""

    def __init__(self, clock: Clock, request: RelayRequest) -> None:
        self._clock = clock
        self._request = request
        self._fallbacks: list[Attempt] = []
        self._timer: Any = None
        """Timer of the handover, during which the fallbacks are not read."""

    @property
    def active(self) -> bool:
        """Return whether there is a fallback."""
        return bool(self._fallbacks)

    @property
    def hall(self) -> str | None:
        """Return the hall of the first fallback's upstream, or None without a fallback."""
        return self._fallbacks[0].upstream.hall if self._fallbacks else None

    def add(self, attempt: Attempt) -> None:
        """Keep an attempt at a silent upstream as a fallback."""
        self._fallbacks.append(attempt)
        self._request.begin_search(attempt.upstream.id)

    def remove(self, attempt: Attempt) -> bool:
        """Remove a fallback, and return whether the attempt was one."""
        if attempt not in self._fallbacks:
            return False
        self._fallbacks.remove(attempt)
        self._request.silent_upstreams.discard(attempt.upstream.id)
        return True

    def pop_last(self) -> Attempt:
        """Remove and return the fallback that was added last."""
        attempt = self._fallbacks[-1]
        self.remove(attempt)
        return attempt

    def suspend(self) -> None:
        """Stop reading from the fallbacks, and cancel them unless they are resumed in time."""
        if not self._fallbacks or self._timer is not None:
            return
        for attempt in self._fallbacks:
            attempt.pause()
        self._timer = self._clock.call_later(HANDOVER_TIMEOUT_S, self.cancel)

    def resume(self) -> None:
        """Read from the fallbacks again, as the other upstream did not take the request."""
        if self._timer is None:
            return
        self._stop_timer()
        for attempt in list(self._fallbacks):
            attempt.resume_reading()

    def cancel(self) -> None:
        """Cancel all fallbacks."""
        self._stop_timer()
        for attempt in list(self._fallbacks):
            self.remove(attempt)
            attempt.cancel()

    def _stop_timer(self) -> None:
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

"""Keep the attempts at silent upstreams open while another upstream is sought for their request.

A silent upstream may be sound and go on. Its attempt is kept as a fallback, without a timeout, until another upstream
responds. Whichever responds first serves the request, and the others are cancelled. While a stream is handed over to
another upstream, which may respond at any moment, a fallback that responds waits a little for that one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from beamhatch.clock import Clock
    from beamhatch.relay.model import Handle
    from beamhatch.relay.requests.request import RelayRequest
    from beamhatch.relay.upstreams.attempt import Attempt

SEARCH_INTERVAL_S = 0.3
"""Time after which another upstream is sought again if none was found."""

HANDOVER_GRACE_S = 0.1
"""Time for which a fallback that responds waits for the upstream that the stream was sent to.

Upstreams often go on at the same moment. If both worked on the stream, the one that began it would have to stop soon.
"""

HANDOVER_LIMIT_S = 0.3
"""Time for which a fallback is kept behind a handover if its engine works on other streams.

Such an engine is slow rather than silent, and two engines may not work on one stream for longer.
"""


class Failover:
    """The fallbacks of one request."""

    def __init__(self, clock: Clock, request: RelayRequest) -> None:
        self._clock = clock
        self._request = request
        self._fallbacks: list[Attempt] = []
        self._in_handover = False
        """Whether the stream was sent to another upstream that has not responded yet."""
        self._grace_timer: Any = None
        self._limit_timer: Any = None

    @property
    def active(self) -> bool:
        """Return whether there is a fallback."""
        return bool(self._fallbacks)

    @property
    def hall(self) -> str | None:
        """Return the hall of the first fallback's upstream, or None without a fallback."""
        return self._fallbacks[0].upstream.hall if self._fallbacks else None

    def list_handles(self) -> list[Handle | None]:
        """Return the handles of KV caches that the fallbacks' upstreams may still fetch."""
        return [attempt.send.handle for attempt in self._fallbacks]

    def add(self, attempt: Attempt) -> None:
        """Keep an attempt at a silent upstream as a fallback."""
        self._fallbacks.append(attempt)
        self._request.begin_search(attempt.upstream.id)

    def remove(self, attempt: Attempt) -> bool:
        """Remove a fallback, and return whether the attempt was one."""
        if attempt not in self._fallbacks:
            return False
        self._fallbacks.remove(attempt)
        self._request.obstacles.silent.discard(attempt.upstream.id)
        return True

    def pop_last(self) -> Attempt:
        """Remove and return the fallback that was added last, which continues with what it held back."""
        attempt = self._fallbacks[-1]
        self.remove(attempt)
        self._clock.call_later(0.0, attempt.release_held)
        return attempt

    def begin_handover(self) -> None:
        """Record that the stream was sent to another upstream."""
        self._in_handover = bool(self._fallbacks)
        if self._in_handover:
            self._limit_timer = self._clock.call_later(HANDOVER_LIMIT_S, self._cancel_slow)

    def _cancel_slow(self) -> None:
        for attempt in list(self._fallbacks):
            if attempt.is_upstream_active():
                self.remove(attempt)
                attempt.cancel()

    def end_handover(self) -> None:
        """Let fallbacks continue at once, as the other upstream did not take the stream or does not respond."""
        self._in_handover = False
        self._stop_timers()
        for attempt in list(self._fallbacks):
            attempt.release_held()

    def admits(self, attempt: Attempt) -> bool:
        """Return whether an attempt that responds may continue the stream now; if not, it is released later."""
        if not self._in_handover or attempt not in self._fallbacks:
            return True
        if self._grace_timer is None:
            self._grace_timer = self._clock.call_later(HANDOVER_GRACE_S, self.end_handover)
        return False

    def cancel(self) -> None:
        """Cancel all fallbacks."""
        self._in_handover = False
        self._stop_timers()
        for attempt in list(self._fallbacks):
            self.remove(attempt)
            attempt.cancel()

    def _stop_timers(self) -> None:
        for timer in (self._grace_timer, self._limit_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self._grace_timer = self._limit_timer = None

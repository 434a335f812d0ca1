"""Attempt to send a request to a plain service."""

from __future__ import annotations

from beamhatch.relay.requests.response import NOT_RUN_STATUSES, BufferedResponse
from beamhatch.relay.upstreams.attempt import Attempt
from beamhatch.relay.upstreams.call import CallFailure

MAX_BODY_BYTES = 1024 * 1024
"""Maximum size of the body of a buffered response."""

MIN_TIMEOUT_S = 0.25
"""Lower bound of the timeout.

Four times the mean latency of typical plain services.
"""

TIMEOUT_FACTOR = 4.0
"""Timeout as a multiple of the upstream's mean latency."""


class PlainAttempt(Attempt):
    """Attempt at a plain service; the response is buffered until it is complete."""

    def get_max_body_bytes(self) -> int | None:
        """Return the maximum size of a response, which is buffered."""
        return MAX_BODY_BYTES

    def handle_end(self) -> None:
        """Forward the response, or let the exchange try another upstream."""
        assert self.head is not None
        assert self.facts is not None
        status = self.head.status
        if self.has_not_run():
            self.handle_not_run()
            return
        answer = BufferedResponse(self.head, bytes(self.body))
        if 200 <= status < 300 and (not self.facts.from_upstream or self.facts.encoded):
            self.handle_failure(CallFailure.MALFORMED, "response is unsigned or encoded")
        elif status >= 500 or status in NOT_RUN_STATUSES:
            self.exchange.keep_upstream_failure(answer)
            self.handle_failure(CallFailure.MALFORMED, f"upstream failed with status {status}")
        elif status < 300 and self.head.ends_with_connection and not self.body:
            # A response that is meant to be empty says so: the upstream stopped behind its head.
            self.handle_failure(CallFailure.BROKEN, "the connection ended before the body")
        else:
            if status < 300:
                self._responded_at = self._started_at
            self.conclude(lambda: self.exchange.send_response(answer))

    def get_timeout(self) -> float:
        """Return the timeout: a multiple of the upstream's mean latency."""
        return max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * self.stats.latency)

    def may_abandon(self) -> bool:
        """Return whether the request may run again."""
        return not self._sent or self.request.may_leave

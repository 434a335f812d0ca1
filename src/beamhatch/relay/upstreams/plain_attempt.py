"""Have a plain service answer a whole request."""

from __future__ import annotations

from beamhatch.relay.requests.answer import PROMISES, WholeAnswer
from beamhatch.relay.upstreams.attempt import Attempt
from beamhatch.relay.upstreams.http_client import CallFailure

MAX_BODY_BYTES = 1024 * 1024
"""Bytes of an answer that are held until it is whole."""

MIN_TIMEOUT_S = 0.25
"""Seconds: four times what plain services took in the mean on the measured deployments."""

TIMEOUT_FACTOR = 4.0
"""Times the upstream's mean that an answer may take before the upstream is taken to be silent."""


class PlainAttempt(Attempt):
    """Has a plain service answer the whole request; the answer is held until it is whole."""

    def handle_data(self, data: bytes) -> None:
        """Take a part of the answer."""
        self.body += data
        if len(self.body) > MAX_BODY_BYTES:
            self.fail("the answer is too long")

    def handle_end(self) -> None:
        """Pass the answer on, or go on elsewhere."""
        assert self.head is not None
        assert self.facts is not None
        status = self.head.status
        if self.has_not_run():
            self.handle_not_run()
            return
        answer = WholeAnswer(self.head, bytes(self.body))
        if 200 <= status < 300 and (not self.facts.signed or self.facts.encoded):
            self.handle_failure(CallFailure.MALFORMED, "the answer does not bear the upstream's signature")
        elif status >= 500 or status in PROMISES:
            self.exchange.keep_failure(answer)
            self.handle_failure(CallFailure.MALFORMED, f"the upstream failed with {status}")
        else:
            self.succeed()
            self.exchange.pass_on(answer)

    def get_timeout(self) -> float:
        """Return the patience: some times what this upstream takes at present."""
        return max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * self.stats.latency)

    def may_abandon(self) -> bool:
        """Tell whether the request may run again."""
        return not self._sent or self.request.may_run_again

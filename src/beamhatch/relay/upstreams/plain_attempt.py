"""Have a plain service answer a whole request."""

from __future__ import annotations

from beamhatch.relay.requests.answer import PROMISES, WholeAnswer
from beamhatch.relay.upstreams.attempt import Attempt
from beamhatch.relay.upstreams.http_client import Fault

MOST_HELD_BYTES = 1024 * 1024
"""Bytes of an answer that are held until it is whole."""

SHORTEST_PATIENCE = 0.25
"""Seconds: four times what plain services took in the mean on the measured deployments."""

PATIENCE_FACTOR = 4.0
"""Times the upstream's mean that an answer may take before the upstream is taken to be silent."""


class PlainAttempt(Attempt):
    """Has a plain service answer the whole request; the answer is held until it is whole."""

    def take_data(self, data: bytes) -> None:
        """Take a part of the answer."""
        self.body += data
        if len(self.body) > MOST_HELD_BYTES:
            self.fail("the answer is too long")

    def take_end(self) -> None:
        """Pass the answer on, or go on elsewhere."""
        assert self.head is not None
        assert self.facts is not None
        status = self.head.status
        if self.has_not_run():
            self.take_not_run()
            return
        answer = WholeAnswer(self.head, bytes(self.body))
        if 200 <= status < 300 and (not self.facts.from_upstream or self.facts.encoded):
            self.take_fault(Fault.MALFORMED, "the answer does not bear the upstream's signature")
        elif status >= 500 or status in PROMISES:
            self.exchange.keep_failure(answer)
            self.take_fault(Fault.MALFORMED, f"the upstream failed with {status}")
        else:
            self.succeed()
            self.exchange.pass_on(answer)

    def get_patience(self) -> float:
        """Return the patience: some times what this upstream takes at present."""
        return max(SHORTEST_PATIENCE, PATIENCE_FACTOR * self.standing.latency)

    def may_abandon(self) -> bool:
        """Tell whether the request may run again."""
        return not self._sent or self.request.may_run_again

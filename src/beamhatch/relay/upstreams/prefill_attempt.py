"""Attempt to have a prefill engine process a prompt."""

from __future__ import annotations

from beamhatch.relay.mechanism import Mechanism
from beamhatch.relay.model import Handle
from beamhatch.relay.upstreams.attempt import Attempt
from beamhatch.relay.upstreams.call import CallFailure

MIN_TIMEOUT_S = 0.6
"""Lower bound of the timeout.

Four times what a prompt takes at an engine that is not busy.
"""

TIMEOUT_FACTOR = 4.0
"""Timeout as a multiple of the engine's mean latency."""

SLOWEST_PREFILL_FACTOR = 2.0
"""Timeout as a multiple of the slowest recent prefill at any engine.

A VM that rarely uses an engine can't tell from that engine's own responses whether it is busy or unresponsive.
"""

MAX_PREFILL_WAIT_S = 3.0
"""Time after which a prefill is sent elsewhere even if the engine completes others meanwhile."""


class PrefillAttempt(Attempt):
    """Attempt at a prefill engine, which processes the prompt and holds its KV cache."""

    def handle_end(self) -> None:
        """Record the handle of the KV cache, and let the exchange go on to a decode engine."""
        assert self.head is not None
        if self.has_not_run():
            self.handle_not_run()
            return
        handle = self.core.dialect.read_handle(bytes(self.body)) if self.head.status == 200 else None
        if handle is None:
            self.handle_failure(CallFailure.MALFORMED, f"prefill failed with status {self.head.status}")
            return
        self.succeed()
        now = self.core.clock.now()
        self.core.get_prefill_times(self.request.service.name).record(now - self._started_at, now)
        self._record_prefill(self.core.prefill_models.get_prefill(self.request.service.name))
        self.request.record_prefilled(Handle(handle, self.send.upstream, now))
        self.exchange.replan_after(self)

    def handle_rejection(self, now: float) -> None:
        """Count the rejection, which is an arrival at the service."""
        self.request.retries.record_prompt_rejected(self.core.get_retry_budget(self.request.service.name), now)

    def get_timeout(self) -> float:
        """Return the timeout, from the engine's mean latency and the slowest recent prefill at any engine."""
        by_engine = TIMEOUT_FACTOR * self.stats.latency
        if Mechanism.PREFILL_TIMES in self.core.disabled:
            return max(MIN_TIMEOUT_S, by_engine)
        slowest = self.core.get_prefill_times(self.request.service.name).get_longest(self.core.clock.now())
        return max(MIN_TIMEOUT_S, by_engine, SLOWEST_PREFILL_FACTOR * slowest)

    def may_abandon(self) -> bool:
        """Return whether the prefill may be sent elsewhere: not if the engine is only busy, up to a maximum wait."""
        alive = self.stats.responded_at > self._started_at
        waited = self.core.clock.now() - self._started_at
        return not alive or waited > MAX_PREFILL_WAIT_S

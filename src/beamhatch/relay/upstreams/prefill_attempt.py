"""Have a prefill engine read the prompt."""

from __future__ import annotations

from beamhatch.relay.mechanism import Mechanism
from beamhatch.relay.model import Handle
from beamhatch.relay.upstreams.attempt import Attempt
from beamhatch.relay.upstreams.http_client import CallFailure

MAX_BODY_BYTES = 64 * 1024
"""Bytes of an answer to a prefill at the most; it has less than a hundred."""

MIN_TIMEOUT_S = 0.6
"""Seconds: four times what a prompt takes at an engine that is not busy."""

TIMEOUT_FACTOR = 4.0
"""Times the engine's mean that a prompt may take before the engine is taken to be silent."""

SLOWEST_PREFILL_FACTOR = 2.0
"""Times the slowest prompt of late, at any engine, that this one may take.

A VM of a large fleet has one prompt at an engine in some seconds: by that engine's own answers it can not tell one that
is busy from one that is silent. On a day of bursts, 150 of 194 prompts were given up at the shortest patience, and
read anew elsewhere at the worst moment.
"""

MAX_PREFILL_WAIT_S = 3.0
"""Seconds for which a prompt waits at an engine that reads others meanwhile."""


class PrefillAttempt(Attempt):
    """Has an engine read the prompt and hold its KV cache."""

    def handle_data(self, data: bytes) -> None:
        """Take a part of the answer."""
        self.body += data
        if len(self.body) > MAX_BODY_BYTES:
            self.fail("the answer to a prefill is too long")

    def handle_end(self) -> None:
        """Go on to a decode engine."""
        assert self.head is not None
        if self.has_not_run():
            self.handle_not_run()
            return
        handle = self.core.dialect.read_handle(bytes(self.body)) if self.head.status == 200 else None
        if handle is None:
            self.handle_failure(CallFailure.MALFORMED, f"status {self.head.status} to a prefill")
            return
        self.succeed()
        now = self.core.clock.now()
        self.core.find_read_times(self.request.service.name).note(now - self._started_at, now)
        self._record_prefill(self.core.paces.get_reading(self.request.service.name))
        self.request.note_prefilled(Handle(handle, self.send.upstream, now))
        self.exchange.go_on_elsewhere(self)

    def get_timeout(self) -> float:
        """Return the patience: some times what this engine takes at present, or any engine at the worst."""
        by_engine = TIMEOUT_FACTOR * self.stats.latency
        if Mechanism.READ_TIMES in self.core.without:
            return max(MIN_TIMEOUT_S, by_engine)
        slowest = self.core.find_read_times(self.request.service.name).find_slowest(self.core.clock.now())
        return max(MIN_TIMEOUT_S, by_engine, SLOWEST_PREFILL_FACTOR * slowest)

    def may_abandon(self) -> bool:
        """Tell whether a prefill, which runs nothing, may go elsewhere: not where the engine just has much to read."""
        alive = self.stats.succeeded_at > self._started_at
        waited = self.core.clock.now() - self._started_at
        return not alive or waited > MAX_PREFILL_WAIT_S

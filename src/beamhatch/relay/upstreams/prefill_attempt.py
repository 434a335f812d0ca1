"""Have a prefill engine read the prompt."""

from __future__ import annotations

from beamhatch.relay.mechanism import Mechanism
from beamhatch.relay.model import Handle
from beamhatch.relay.upstreams.attempt import Attempt
from beamhatch.relay.upstreams.http_client import Fault

MOST_BODY_BYTES = 64 * 1024
"""Bytes of an answer to a prefill at the most; it has less than a hundred."""

SHORTEST_PATIENCE = 0.6
"""Seconds: four times what a prompt takes at an engine that is not busy."""

PATIENCE_FACTOR = 4.0
"""Times the engine's mean that a prompt may take before the engine is taken to be silent."""

SLOWEST_FACTOR = 2.0
"""Times the slowest prompt of late, at any engine, that this one may take.

A VM of a large fleet has one prompt at an engine in some seconds: by that engine's own answers it can not tell one that
is busy from one that is silent. On a day of bursts, 150 of 194 prompts were given up at the shortest patience, and
read anew elsewhere at the worst moment.
"""

LONGEST_PREFILL = 3.0
"""Seconds for which a prompt waits at an engine that reads others meanwhile."""


class PrefillAttempt(Attempt):
    """Has an engine read the prompt and hold its KV cache."""

    def take_data(self, data: bytes) -> None:
        """Take a part of the answer."""
        self.body += data
        if len(self.body) > MOST_BODY_BYTES:
            self.fail("the answer to a prefill is too long")

    def take_end(self) -> None:
        """Go on to a decode engine."""
        assert self.head is not None
        if self.has_not_run():
            self.take_not_run()
            return
        handle = self.core.dialect.read_handle(bytes(self.body)) if self.head.status == 200 else None
        if handle is None:
            self.take_fault(Fault.MALFORMED, f"status {self.head.status} to a prefill")
            return
        self.succeed()
        now = self.core.clock.now()
        self.core.get_prefill_times(self.request.service.name).note(now - self._started_at, now)
        self._note_reading(self.core.prefill_models.get_reading(self.request.service.name))
        self.request.note_prefilled(Handle(handle, self.send.upstream, now))
        self.exchange.go_on_elsewhere(self)

    def get_patience(self) -> float:
        """Return the patience: some times what this engine takes at present, or any engine at the worst."""
        by_engine = PATIENCE_FACTOR * self.standing.latency
        if Mechanism.PREFILL_TIMES in self.core.disabled:
            return max(SHORTEST_PATIENCE, by_engine)
        slowest = self.core.get_prefill_times(self.request.service.name).find_slowest(self.core.clock.now())
        return max(SHORTEST_PATIENCE, by_engine, SLOWEST_FACTOR * slowest)

    def may_abandon(self) -> bool:
        """Tell whether a prefill, which runs nothing, may go elsewhere: not where the engine just has much to read."""
        alive = self.standing.succeeded_at > self._started_at
        waited = self.core.clock.now() - self._started_at
        return not alive or waited > LONGEST_PREFILL

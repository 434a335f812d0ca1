"""Have a decode engine answer by a stream of events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.model import Stage
from beamhatch.relay.requests.answer import WholeAnswer
from beamhatch.relay.upstreams.attempt import Attempt
from beamhatch.relay.upstreams.events import EventChecker, StreamError
from beamhatch.relay.upstreams.http_client import Fault

if TYPE_CHECKING:
    from beamhatch.relay.requests.exchange import RelayExchange
    from beamhatch.relay.requests.request import Send
    from beamhatch.relay.upstreams.http_client import Head

FIRST_EVENT_PATIENCE = 1.33
"""Times the target latency until the first event of an engine that has the prompt's KV cache."""

WHOLE_PATIENCE = 2.8
"""Times the target latency until the first event of an engine that has to read the prompt."""

GAP_PATIENCE = 3.3
"""Times the target pause between two events after which the engine is taken to be silent."""

SHORTEST_PATIENCE = 0.6
"""Seconds."""

LAPSE_PAUSE = 3.0
"""Seconds for which a prefill engine whose handles lapsed is passed over."""


class StreamAttempt(Attempt):
    """Has an engine answer by a stream of events, which are passed on as they come."""

    def __init__(self, exchange: RelayExchange, send: Send) -> None:
        super().__init__(exchange, send)
        self._events = EventChecker(self.request.last_event)
        self._events_at: float | None = None
        """When the last events came from this engine, in monotonic seconds."""

    def take_head(self, head: Head) -> None:
        """Take the head; a stream's is passed on with its first event."""
        super().take_head(head)
        if self._streams and self.send.handle is not None:
            self.request.note_handle_spent()

    def take_data(self, data: bytes) -> None:
        """Pass whole events on."""
        if not self._streams:
            self.body += data
            return
        try:
            events = self._events.feed(data)
        except StreamError as problem:
            self.fail(str(problem))
            return
        if events.data:
            self._pass_on(events.data, events.last)

    def take_end(self) -> None:
        """End the answer, or go on elsewhere."""
        if self.has_not_run():
            self.take_not_run()
        elif not self._streams:
            self._take_failure()
        elif not self._events.is_whole or not self.exchange.request.begun:
            self.take_fault(Fault.BROKEN, "the stream ended inside an event")
        else:
            self.succeed()
            self._note_stream()
            self.exchange.end_answer()

    def _note_stream(self) -> None:
        """Learn how long the answer became."""
        service = self.request.service
        if service.engine is not None and self.request.last_event:
            tokens = self.request.last_event * service.engine.tokens_per_event
            self.core.record_output_length(service.name, self.request.facts, tokens)

    def note_turned_away(self, now: float) -> None:
        """Take in that an engine could not have the KV cache."""
        if self.send.handle is not None and self.request.landings_failed:
            holder = self.core.stats.get(self.send.handle.upstream.id)
            holder.lapsed_until = now + LAPSE_PAUSE

    def get_patience(self) -> float:
        """Return the patience with an engine that has to read the prompt, or has it."""
        route = self.request.route
        if self.request.begun:
            return max(SHORTEST_PATIENCE, GAP_PATIENCE * route.target_event_interval)
        times = WHOLE_PATIENCE if self.send.stage is Stage.WHOLE else FIRST_EVENT_PATIENCE
        return max(SHORTEST_PATIENCE, times * route.target_latency)

    def may_abandon(self) -> bool:
        """Tell whether the stream may be taken up elsewhere."""
        return not self._sent or self.request.may_run_again

    @property
    def _streams(self) -> bool:
        assert self.head is not None
        assert self.facts is not None
        return self.head.status == 200 and self.facts.from_upstream and not self.facts.encoded

    def _pass_on(self, data: bytes, last: int | None) -> None:
        assert self.head is not None
        if self._unread:
            self._note_reading(self.core.prefill_models.get_whole(self.request.service.name))
            self._end_reading()
        if not self.request.begun:
            self.exchange.begin_answer(self.head)
        self._note_pace(last)
        self.request.note_event(last)
        self.exchange.pass_events(data)
        self._wait(self.get_patience())

    def _note_pace(self, last: int | None) -> None:
        """Learn how fast tokens come, from each event behind the engine's first."""
        now = self.core.clock.now()
        before, self._events_at = self._events_at, now
        service = self.request.service
        if service.engine is None or last is None:
            return
        demand = self.core.get_demand(service.name)
        if before is None:
            self.exchange.note_first_event()
        else:
            events = last - (self.request.last_event or 0)
            demand.note_tokens(events * service.engine.tokens_per_event, now - before, now)

    def _take_failure(self) -> None:
        assert self.head is not None
        status = self.head.status
        if 300 <= status < 500:
            self.succeed()
            self.exchange.pass_on(WholeAnswer(self.head, bytes(self.body)))
            return
        if status >= 500:
            self.exchange.keep_failure(WholeAnswer(self.head, bytes(self.body)))
        self.take_fault(Fault.MALFORMED, f"the upstream failed with {status}")

"""Attempt to have a decode engine answer with a stream of events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.model import Stage
from beamhatch.relay.quarantine.part_successes import MIN_RESPONSE_S
from beamhatch.relay.requests.release import release_reservation
from beamhatch.relay.requests.response import NOT_RUN_STATUSES, BufferedResponse
from beamhatch.relay.upstreams.announcements import MISDIRECTED
from beamhatch.relay.upstreams.attempt import Attempt
from beamhatch.relay.upstreams.call import CallFailure
from beamhatch.relay.upstreams.events import EventChecker, StreamError

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.requests.request import Send
    from beamhatch.relay.upstreams.api import AttemptOwner
    from beamhatch.relay.upstreams.call import ResponseHead

FIRST_EVENT_TIMEOUT_FACTOR = 1.33
"""Timeout until the first event, as a multiple of the target latency, if the engine gets the prompt's KV cache."""

DECODE_PREFILL_TIMEOUT_FACTOR = 2.8
"""Timeout until the first event, as a multiple of the target latency, if the engine processes the prompt itself."""

EVENT_GAP_TIMEOUT_FACTOR = 3.3
"""Timeout between two events, as a multiple of the target time between events."""

MIN_TIMEOUT_S = 0.6
"""Lower bound of the timeouts."""

EVENTS_PER_TOKEN = 4
"""Events that an engine may send for each token of output; usual ones send at most one."""

EXTRA_EVENTS = 64
"""Events that it may send in addition."""

LAPSED_HANDLE_PAUSE_S = 3.0
"""Time for which a prefill engine is avoided after one of its KV cache handles expired."""


class StreamAttempt(Attempt):
    """Attempt at a decode engine, whose events are forwarded as they arrive."""

    def __init__(self, exchange: AttemptOwner, send: Send) -> None:
        super().__init__(exchange, send)
        self._events = EventChecker(self.request.last_event, self._compute_max_events())
        self._last_event_at: float | None = None
        """Monotonic seconds of the last events from this engine."""
        self._parts_succeeded = False
        self._is_flowing = False
        """Whether the stream is counted among those of its engine that go on."""
        self._early_comments = b""
        """Comments that arrived before this attempt continued the stream."""
        self._held: list[Callable[[], None]] = []
        """What to do with the parts of the response that arrived before this attempt may continue the stream."""

    def _compute_max_events(self) -> int | None:
        """Return the number of events that a stream may have, None if the caller tells no number of tokens."""
        tokens = self.request.facts.output_tokens
        return None if not tokens else EVENTS_PER_TOKEN * tokens + EXTRA_EVENTS

    def handle_head(self, head: ResponseHead) -> None:
        """Apply the head; that of a stream is forwarded with the first event."""
        super().handle_head(head)
        if self._is_stream and self.send.handle is not None and self.request.handle is self.send.handle:
            self.request.drop_handle()

    def is_success(self) -> bool:
        """Return whether the response is a stream."""
        return self.head is not None and self._is_stream

    def get_max_body_bytes(self) -> int | None:
        """Return the maximum size of an error response; a stream is bounded event by event."""
        return None if self.is_success() else super().get_max_body_bytes()

    def handle_data(self, data: bytes) -> None:
        """Forward complete events, or buffer the body of an error response."""
        if not self._is_stream:
            super().handle_data(data)
            return
        try:
            events = self._events.feed(data)
        except StreamError as problem:
            self.fail(str(problem))
            return
        if events.has_events:
            self._do_when_admitted(lambda: self._forward_events(events.data, events.last_id))
        elif events.data:
            self._do_when_admitted(lambda: self._forward_comments(events.data))

    def _do_when_admitted(self, action: Callable[[], None]) -> None:
        """Do something at once, or as soon as this attempt may continue the stream."""
        if self._held or not self.exchange.admits(self):
            self._held.append(action)
        else:
            action()

    def release_held(self) -> None:
        """Continue with what was held back of the response."""
        held, self._held = self._held, []
        for action in held:
            if not self._ended:
                action()

    def handle_end(self) -> None:
        """End the response, or let the exchange try another upstream."""
        self._do_when_admitted(self._handle_whole_response)

    def _handle_whole_response(self) -> None:
        if self.has_not_run():
            self.handle_not_run()
        elif not self._is_stream:
            self._handle_error_response()
        elif not self._events.is_complete or not self.exchange.request.response_begun:
            self.handle_failure(CallFailure.BROKEN, "stream ended inside an event or before the first one")
        else:
            self.exchange.settle_on(self)
            self.conclude(self._end_stream)

    def pause(self) -> None:
        """Stop reading the response, and stop the timeout."""
        self._count_as_flowing(is_flowing=False)
        super().pause()

    def resume(self) -> None:
        """Resume reading the response, and restart the timeout."""
        if self._last_event_at is not None and not self._ended:
            self._count_as_flowing(is_flowing=True)
        super().resume()

    def _end(self) -> None:
        self._count_as_flowing(is_flowing=False)
        super()._end()

    def _count_as_flowing(self, *, is_flowing: bool) -> None:
        """Count the stream among those of its engine that have begun and are read, or no longer."""
        if is_flowing:
            self.stats.record_event(self.core.clock.now())
        if is_flowing != self._is_flowing:
            self._is_flowing = is_flowing
            self.stats.streams += 1 if is_flowing else -1

    def _end_stream(self) -> None:
        if self._early_comments:
            self.exchange.send_comments(self._early_comments)
        self._record_output_length()
        self.exchange.end_stream()

    def _record_output_length(self) -> None:
        """Record the length of the output."""
        service = self.request.service
        if service.engine is not None and self.request.last_event:
            tokens = self.request.last_event * service.engine.tokens_per_event
            self.core.record_output_length(service.name, self.request.facts, tokens)

    def handle_rejection(self, now: float) -> None:
        """Release the memory that was reserved, and avoid a prefill engine for a while whose KV cache had expired."""
        assert self.head is not None
        if self.send.reservation is not None and self.head.status != MISDIRECTED:
            release_reservation(self.core, self.send.reservation, self.exchange.write_log)
        if self.send.handle is not None and self.request.handoffs_exhausted:
            holder = self.core.stats.get(self.send.handle.upstream.id)
            holder.drops_caches_until = now + LAPSED_HANDLE_PAUSE_S

    def get_timeout(self) -> float:
        """Return the timeout until the first event or between events."""
        route = self.request.route
        if self.request.response_begun:
            return max(MIN_TIMEOUT_S, EVENT_GAP_TIMEOUT_FACTOR * route.target_event_interval)
        times = DECODE_PREFILL_TIMEOUT_FACTOR if self.send.stage is Stage.WHOLE else FIRST_EVENT_TIMEOUT_FACTOR
        return max(MIN_TIMEOUT_S, times * route.target_latency)

    def may_abandon(self) -> bool:
        """Return whether the stream may be resumed at another engine."""
        return not self._sent or self.request.may_leave

    @property
    def _is_stream(self) -> bool:
        assert self.head is not None
        assert self.facts is not None
        return self.head.status == 200 and self.facts.from_upstream and not self.facts.encoded

    def _forward_events(self, data: bytes, last: int | None) -> None:
        assert self.head is not None
        self.exchange.settle_on(self)
        self.record_response_after_silence()
        self._count_as_flowing(is_flowing=True)
        if self._pending_prefill_tokens:
            self._record_prefill(self.core.prefill_models.get_decode(self.request.service.name))
            self._end_prefill()
        if not self.request.response_begun:
            self.exchange.begin_stream(self.head, self.send.upstream.version)
        self._record_token_rate(last)
        self.request.record_event(last, self.send.upstream.version)
        self._restart_timer(self.get_timeout())
        comments, self._early_comments = self._early_comments, b""
        self.exchange.send_events(comments + data)
        self._record_progress()

    def _forward_comments(self, data: bytes) -> None:
        """Forward comments and blank lines, which are no progress of the stream."""
        if self.request.response_begun and not self.exchange.is_searching:
            self.exchange.send_comments(data)
        else:
            self._early_comments += data

    def _record_progress(self) -> None:
        """Record once that the engine goes on responding, which shows that the prompt does not crash it."""
        now = self.core.clock.now()
        if self._responded_at is None:
            self._responded_at = now
        elif not self._parts_succeeded and now - self._responded_at >= MIN_RESPONSE_S:
            self._parts_succeeded = True
            self._record_parts_success()

    def _record_token_rate(self, last: int | None) -> None:
        """Record the token rate, from each event after the engine's first."""
        now = self.core.clock.now()
        before, self._last_event_at = self._last_event_at, now
        service = self.request.service
        if service.engine is None or last is None:
            return
        demand = self.core.get_demand(service.name)
        if before is None:
            self.exchange.record_first_event()
        else:
            events = last - (self.request.last_event or 0)
            demand.record_tokens(events * service.engine.tokens_per_event, now - before, now)

    def _handle_error_response(self) -> None:
        assert self.head is not None
        status = self.head.status
        if 300 <= status < 500 and status not in NOT_RUN_STATUSES:
            self.succeed()
            self.exchange.send_response(BufferedResponse(self.head, bytes(self.body)))
            return
        if status >= 500 or status in NOT_RUN_STATUSES:
            self.exchange.keep_upstream_failure(BufferedResponse(self.head, bytes(self.body)))
        self.handle_failure(CallFailure.MALFORMED, f"upstream failed with status {status}")

"""Send the response of one request to its caller, and record how long it took."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.callers.error_response import send_error
from beamhatch.relay.callers.headers import strip_hop_by_hop
from beamhatch.relay.overload.costs import CHUNK_BYTES, HEAD_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.callers.http_server import Responder
    from beamhatch.relay.model import RouteKind
    from beamhatch.relay.overload.costs import RequestCost
    from beamhatch.relay.requests.response import BufferedResponse
    from beamhatch.relay.upstreams.call import ResponseHead


class CallerResponse:
    """The response to one caller."""

    def __init__(
        self,
        clock: Clock,
        tally: Tally,
        responder: Responder,
        cost: RequestCost,
        arrived_at: float,
        kind: RouteKind,
        write_log: Callable[..., None],
    ) -> None:
        """Create it with nothing sent.

        :param arrived_at: monotonic time in seconds at which the request arrived
        :param write_log: writes a log event about the request
        """
        self._clock = clock
        self._tally = tally
        self._responder = responder
        self._cost = cost
        self._arrived_at = arrived_at
        self._kind = kind
        self._write_log = write_log
        self._first_event_s = 0.0
        """Seconds from the request's arrival to the first event of its stream."""
        self.last_events_at: float | None = None
        """Monotonic time in seconds at which events were last sent."""
        self._max_event_gap_s = 0.0

    @property
    def started(self) -> bool:
        """Return whether any part of it was sent."""
        return self._responder.started

    def compute_elapsed_s(self) -> float:
        """Return the seconds since the request arrived."""
        return round(self._clock.now() - self._arrived_at, 4)

    def record_outcome(self, label: str) -> None:
        """Count the request, and the time that it took."""
        self._tally.count("requests_total", label)
        self._tally.note_latency("request", self._kind.value, self.compute_elapsed_s())

    def send(self, response: BufferedResponse) -> None:
        """Send a buffered upstream response."""
        self._write_log("answered", status=response.head.status, seconds=self.compute_elapsed_s())
        self.record_outcome(f"upstream_{response.head.status // 100}xx")
        self._cost.record_response(HEAD_BYTES + len(response.body))
        self._cost.record_answered()
        self._responder.send_response(response.head.status, strip_hop_by_hop(response.head.headers), response.body)

    def begin_stream(self, head: ResponseHead) -> None:
        """Send the status and headers of a stream."""
        self._first_event_s = self.compute_elapsed_s()
        self._tally.note_latency("first_event", self._kind.value, self._first_event_s)
        self._responder.send_head(head.status, strip_hop_by_hop(head.headers))

    def send_events(self, data: bytes) -> None:
        """Send complete events."""
        now = self._clock.now()
        if self.last_events_at is not None:
            self._max_event_gap_s = max(self._max_event_gap_s, now - self.last_events_at)
        self.last_events_at = now
        self.send_comments(data)

    def send_comments(self, data: bytes) -> None:
        """Send data of a stream that is no event."""
        self._cost.record_response(CHUNK_BYTES + len(data))
        self._responder.write(data)

    def end_stream(self, last_event: int | None) -> None:
        """End a complete stream."""
        self._write_log(
            "answered",
            status=200,
            last_event=last_event,
            seconds=self.compute_elapsed_s(),
            first_event=self._first_event_s,
            longest_gap=round(self._max_event_gap_s, 3),
        )
        self.record_outcome("upstream_2xx")
        self._cost.record_answered()
        self._responder.end()

    def send_error(self, status: int, reason: str, retry_after_s: float | None) -> None:
        """Send an error of the relay, or break off a response that was begun."""
        if self._responder.started:
            self._responder.abort()
        else:
            send_error(self._responder, status, reason, retry_after_s)

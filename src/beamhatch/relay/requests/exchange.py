"""Serve one request: carry out the steps that :class:`RelayRequest` plans, and relay the response to the caller."""

from __future__ import annotations

import math
import random
from dataclasses import asdict, replace
from typing import TYPE_CHECKING, Any

from beamhatch.relay.api import SendOptions
from beamhatch.relay.callers.error_response import send_error
from beamhatch.relay.callers.headers import strip_hop_by_hop
from beamhatch.relay.callers.http_server import RequestHandler
from beamhatch.relay.choosing.eligibility import Obstacle
from beamhatch.relay.choosing.lack import compute_retry_delay
from beamhatch.relay.mechanism import Mechanism
from beamhatch.relay.model import Phase, Reservation, RouteKind, RouteName, Stage
from beamhatch.relay.overload.costs import CHUNK_BYTES, HEAD_BYTES
from beamhatch.relay.requests.failover import SEARCH_INTERVAL_S, Failover
from beamhatch.relay.requests.line import Claim
from beamhatch.relay.requests.memory_lines import QueuedRequest, QueueKey, QueueOptions
from beamhatch.relay.requests.refusal import make_quarantine_refusal
from beamhatch.relay.requests.release import send_release
from beamhatch.relay.requests.request import Fail, Refuse, RelayRequest, Reserve, Send, Step, Wait
from beamhatch.relay.requests.response import MAY_HAVE_RUN_STATUS, NOT_RUN_STATUSES, TIMEOUT_STATUS, BufferedResponse
from beamhatch.relay.requests.retry_times import (
    REGION_RETRY_AFTER_S,
    compute_memory_delay,
    compute_usual_delay,
    limit_delay,
    round_delay,
)
from beamhatch.relay.requests.send_log import describe_send, record_distance
from beamhatch.relay.streams.origins import PendingLookup
from beamhatch.relay.upstreams.attempt import Attempt
from beamhatch.relay.upstreams.http_client import Call
from beamhatch.relay.upstreams.plain_attempt import PlainAttempt
from beamhatch.relay.upstreams.prefill_attempt import PrefillAttempt
from beamhatch.relay.upstreams.reserve_attempt import ReserveAttempt
from beamhatch.relay.upstreams.stream_attempt import StreamAttempt

if TYPE_CHECKING:
    from collections.abc import Sequence

    from beamhatch.relay.callers.http_server import IncomingRequest, Responder
    from beamhatch.relay.choosing.eligibility import SendPermit
    from beamhatch.relay.core import Core
    from beamhatch.relay.model import (
        Handle,
        Incarnation,
        Regions,
        RequestFacts,
        Route,
        RoutingTable,
        Service,
        SoftwareVersion,
        Upstream,
    )
    from beamhatch.relay.quarantine.digests import RequestDigests
    from beamhatch.relay.requests.line import MemoryQueue
    from beamhatch.relay.streams.lookup import Origin
    from beamhatch.relay.upstreams.http_client import ResponseHead
    from beamhatch.relay.workspaces.admission import Admitted

RESPONSE_MARGIN_S = 0.03
"""Time before the caller's deadline at which the request times out, so that the error response still arrives."""

MIN_SEND_TIME_S = 0.02
"""Minimum time before the deadline for a send to start; with less, the request times out."""

ON_TIME_SHARE = 0.55
"""Share of the target latency within which decode memory has to be free for the response to be on time."""

FIRST_EVENT_SHARE = 0.9
"""Share of the target latency up to which a predicted first event is on time; the rest is a margin for errors."""

MIN_COLD_WAIT_S = 0.02
"""Minimum wait for a cold upstream, which bounds how often a waiting request is planned again."""

COLD_MARGIN_S = 0.002
"""Delay added to the wait for a cold upstream, since timers may fire slightly early."""

MAX_IDLE_S = 1.0
"""Maximum idle time of a reused connection for a send that may not be repeated."""


class RelayExchange(RequestHandler, QueuedRequest):
    """The handler of one caller's request."""

    def __init__(
        self,
        core: Core,
        incoming: IncomingRequest,
        responder: Responder,
        facts: RequestFacts,
        route: Route,
        service: Service,
        admitted: Admitted,
        digests: RequestDigests,
        regions: Regions = None,
    ) -> None:
        self.core = core
        self._admitted = admitted
        on_time_until = incoming.arrived_at + FIRST_EVENT_SHARE * route.target_latency
        if Mechanism.DECODE_PREFILL in core.disabled:
            on_time_until = float("inf")
        self.request = RelayRequest(
            facts,
            route,
            service,
            reserved_output_tokens=0
            if service.engine is None
            else core.get_output_lengths(service.name).compute_reserve_tokens(facts),
            reserves_memory=Mechanism.RESERVATIONS not in core.disabled,
            on_time_until=on_time_until,
            regions=regions,
            body_bytes=len(incoming.body),
        )
        self._claim = Claim(
            admitted.workspace, admitted.priority, facts.prompt_tokens + self.request.reserved_output_tokens
        )
        self.digests = digests
        self._incoming = incoming
        self._responder = responder
        self._forwarded_headers = strip_hop_by_hop(incoming.headers)
        self._attempt: Attempt | ReserveAttempt | None = None
        self._failover = Failover(core.clock, self.request)
        self._lookup: PendingLookup | None = None
        """Search for the version that began the stream, if the caller resumes one."""
        self._in_queue = False
        self._permit: SendPermit | None = None
        """Permit to send to the cold or limited engine that has reserved, or is asked to reserve, memory."""
        self._cold_wait_began_at: float | None = None
        """Monotonic time in seconds at which the request began to wait for a cold upstream."""
        self._replan_timer: Any = None
        self._search_obstacle: str | None = None
        """Why no upstream can take the stream at the moment; None while one has it."""
        self._memory_acquired_at: float | None = None
        """Monotonic time in seconds at which the request got decode memory."""
        is_retry = Mechanism.CALLER_RETRIES not in core.disabled and core.caller_retries.is_retry(
            route, facts.time_left
        )
        self._is_caller_retry = is_retry
        self._deadline_timer: Any = None
        self._upstream_failure: BufferedResponse | None = None
        self._first_event_s = 0.0
        """Seconds from the request's arrival to the first event of its stream."""
        self._last_events_at: float | None = None
        self._max_event_gap_s = 0.0
        self._ended = False
        self._cost = core.costs.begin(RouteName(route.name), len(incoming.body), core.clock.now())

    # --- steps -------------------------------------------------------------------------------------------------------

    def start(self) -> None:
        """Start the deadline timer, and carry out the first step."""
        self._start_deadline_timer()
        if self._ended:
            return
        if self.request.facts.resumes_stream and self.request.route.kind is RouteKind.STREAMING:
            self._find_origin()
        else:
            self._begin()

    def _find_origin(self) -> None:
        """Find out which version began the stream that the caller resumes."""
        facts = self.request.facts
        self.write_log("resumes a stream", began_as=facts.resumed_request, last_event=facts.last_event)
        found = self.core.origins.look_up(facts.resumed_request, self.request.service.name, self._apply_origin)
        if isinstance(found, PendingLookup):
            self._lookup = found
        else:
            self._apply_origin(found)

    def _apply_origin(self, origin: Origin) -> None:
        """Continue the stream at the version that began it, or refuse the request if that can't be."""
        self._lookup = None
        self.core.tally.count("stream_origins_total", origin.label)
        self.write_log("origin", found=origin.label, seconds=self.compute_elapsed_s(), **asdict(origin))
        refusal = self.request.apply_origin(origin)
        if refusal is None:
            self._begin()
        else:
            self._give_up(refusal)

    def _begin(self) -> None:
        if self.request.split and self._queue.has_on_time(self.core.clock.now()) and self._list_usable():
            self._wait_for_memory()
        else:
            self.advance()

    def advance(self) -> None:
        """Carry out the next step, unless one is under way."""
        if self._ended or self._attempt is not None or self._lookup is not None:
            return
        self._stop_replan_timer()
        self._execute(self._plan(self.core.clock.now()))

    def _plan(self, now: float) -> Step:
        request = self.request
        service = request.service.name
        entry = self.core.quarantine.find_entry(self.digests, now)
        if entry is not None:  # an attempt under way continues: if it succeeds, the request leaves quarantine
            self.core.tally.count("quarantine_refusals_total")
            return request.refuse_quarantined(make_quarantine_refusal(entry, now))
        self._release_unusable()
        usable = self._list_usable()
        can_respond = any(one.phase is not Phase.PREFILL for one in usable)
        can_proceed = can_respond or request.reservation is not None
        shortage = None if can_proceed else self.core.detect_shortage(service, request.regions, request.version)
        if shortage is not None and request.may_have_run:
            is_temporary = shortage.obstacle in (Obstacle.RESTING, Obstacle.LIMITED)
            return Fail(f"nothing may be sent to any upstream: {shortage.obstacle.value}", is_temporary=is_temporary)
        if shortage is not None:
            self.core.tally.count("shut_total", shortage.obstacle.name.lower())
            self.core.get_demand(service).discard_last_prompt(request.facts.prompt_tokens)
            if shortage.obstacle is Obstacle.LIMITED:
                retry_after_s = self.core.reserve_retry_slot(service, shortage)
            else:
                retry_after_s = compute_retry_delay(shortage.wait, random.random(), is_retry=self._is_caller_retry)
            step = request.refuse_unavailable(
                f"nothing may be sent to any upstream: {shortage.obstacle.value}", retry_after_s
            )
        else:
            vm_count = max(self.core.vm_count, self.core.recent_vm_count)
            step = request.plan(usable, self.core.chooser, self.core.get_retry_budget(service), vm_count, now)
        if isinstance(step, Refuse) and not step.memory_full and request.regions is not None:
            return self._refuse_in_regions(step, request.regions)
        return step

    @property
    def _queue(self) -> MemoryQueue[QueuedRequest]:
        """Return the queue for decode memory that this request uses."""
        return self.core.memory_queues.get(*self._queue_key)

    @property
    def _queue_key(self) -> QueueKey:
        return QueueKey(self.request.service.name, self.request.regions, self.request.version)

    def _list_usable(self) -> list[Upstream]:
        request = self.request
        is_retry = self._is_caller_retry or request.may_have_run
        return self.core.list_usable(request.service.name, request.regions, request.version, is_retry=is_retry)

    def _refuse_in_regions(self, step: Refuse, regions: Regions) -> Refuse:
        """Return the refusal, with another reason and retry-after time if the allowed regions exclude upstreams."""
        obstacles = self.core.count_obstacles(self.request.service.name, regions)
        if not obstacles[Obstacle.REGION] or obstacles[Obstacle.COLD]:
            return step
        self.core.tally.count("residency_refusals_total", "not_now")
        self.write_log(
            "kept in its regions",
            regions=sorted(regions or ()),
            **{obstacle.name.lower(): count for obstacle, count in obstacles.items()},
        )
        return replace(step, reason=f"{step.reason} in the allowed regions", retry_after_s=REGION_RETRY_AFTER_S)

    def _release_unusable(self) -> None:
        """Release the KV cache and the reservation if their upstream may no longer be used for the request.

        A plan uses an existing reservation without checking its upstream again. Without this check, a stream could
        begin in a hall that was evacuated in the meantime. A reservation at a cold or limited engine stays usable with
        its permit. A KV cache in an evacuated hall stays usable, but not one outside the allowed regions.
        """
        request = self.request
        handle, reservation = request.handle, request.reservation
        if handle is not None and self.core.has_restarted(handle.upstream):
            request.drop_handle()
        elif handle is not None and not self.core.eligibility.is_in_regions(handle.upstream, request.regions):
            send_release(self.core, handle.upstream, self.core.dialect.make_release_call(handle), self.write_log)
            request.drop_handle()
        if reservation is None:
            self._drop_permit()
            return
        if self.core.has_restarted(reservation.upstream):
            self._drop_permit()
            request.abandon_reservation()
            self.write_log("memory given up", to=reservation.upstream.id, obstacle="started again")
            return
        obstacle = self._find_reservation_obstacle(reservation)
        if obstacle is None:
            return
        self._drop_permit()
        request.abandon_reservation()
        self.write_log("memory given up", to=reservation.upstream.id, obstacle=obstacle)
        self._release_reservation(reservation)

    def _find_reservation_obstacle(self, reservation: Reservation) -> str | None:
        """Return why reserved memory may not be used any more, or None if it may."""
        request = self.request
        obstacle = self.core.get_obstacle(reservation.upstream, request.service.name, request.regions)
        has_room = self._permit is not None and obstacle in (Obstacle.COLD, Obstacle.LIMITED)
        if obstacle is not None and not has_room:
            return obstacle.name.lower()
        if self.core.phase_changes.is_confirmed(reservation.upstream.id, self.core.clock.now()):
            return "changing"
        silent = self.core.chooser.list_silent([reservation.upstream], self.core.clock.now())
        return "silent" if silent and self._failover.active else None

    def withdraw_from(self, incarnation: Incarnation) -> None:
        """Cancel an attempt at an upstream that accepts no more requests, if it is not sent yet, and plan again."""
        if self._attempt is not None and self._attempt.upstream.incarnation == incarnation:
            self.replan_unless_sent()

    def replan_unless_sent(self) -> None:
        """Plan again, cancelling an attempt that is not sent yet."""
        attempt = self._attempt
        if attempt is not None and not attempt.sent:
            self.write_log("taken back", to=attempt.upstream.id)
            self._stop_attempt()
        self.advance()

    def _drop_permit(self) -> None:
        permit, self._permit = self._permit, None
        if permit is not None:
            permit.drop(self.core.clock.now())

    def _execute(self, step: Step) -> None:
        if isinstance(step, Refuse | Fail) and self._failover.active:
            self._return_to_fallback()
        elif isinstance(step, Send):
            if step.reservation is None:
                self._record_distance(step.upstream)
            self._send(step, self.core.clock.now())
        elif isinstance(step, Reserve):
            self._record_distance(step.upstream)
            self._reserve(step)
        elif isinstance(step, Wait):
            self._wait_for_memory()
        else:
            self._wait_or_end(step)

    def _record_distance(self, upstream: Upstream) -> None:
        distances = self.core.chooser.distances
        record_distance(distances, self.core.tally, self.request, upstream, self._list_usable, self.write_log)

    def _send(self, send: Send, now: float) -> None:
        if self.deadline - now < MIN_SEND_TIME_S:
            self._handle_timeout()
            return
        request = self.request
        stats = self.core.stats.get(send.upstream.id)
        self.write_log(
            "sent",
            revision=self.core.listing.newest_revision,
            version=self.core.version,
            **describe_send(request, self.digests, send, stats, now),
            **self.core.announcements.describe_limit(send.upstream.incarnation),
        )
        relation = request.get_continuation(send)
        if relation is not None:
            self.core.tally.count("streams_continued_total", relation)
        if request.split and send.stage is not Stage.PREFILL:
            self.record_memory_acquired()
        self._cold_wait_began_at = None
        attempt = self._make_attempt(send)
        if send.reservation is not None:
            attempt.permit, self._permit = self._permit, None
        if attempt.permit is None:
            attempt.permit = self.core.eligibility.acquire_permit(send.upstream, request.service.cold, now)
        self._attempt = attempt
        max_idle_s = 1e9 if request.route.idempotent or send.stage is Stage.PREFILL else MAX_IDLE_S
        self._cost.record_call()
        attempt.start(self._make_call(send, now), max_idle_s)

    def _wait_for_memory(self) -> None:
        """Queue for decode memory, or refuse the request at once if the queue is full."""
        now = self.core.clock.now()
        max_wait_s = self.request.route.target_latency * ON_TIME_SHARE
        queue = self._queue
        if Mechanism.MEMORY_QUEUE in self.core.disabled and not self.request.response_begun:
            self._execute(self.request.refuse_memory_full())
            return
        if not self._in_queue and not self._failover.active:
            self.core.get_demand(self.request.service.name).record_wait(now)
        was_delayed = self.request.reservation_lost or self.request.may_have_run or self._cold_wait_began_at is not None
        late_with_precedence = self._is_caller_retry or self.request.response_begun or was_delayed
        if not self._in_queue and not late_with_precedence and not queue.has_room(max_wait_s, now):
            displaced = queue.find_displaced(self._claim, now)
            if displaced is not None and displaced.has_attempt:
                displaced = None  # its reservation may be about to succeed
            self.write_log(
                "line is full",
                waiting=len(queue),
                freed_per_second=queue.compute_freed_rate(now),
                workspace=self._claim.workspace,
                goes_before=displaced is not None,
            )
            if displaced is None:
                self._execute(self.request.refuse_memory_full())
                return
            displaced.handle_displaced(self._claim)
        if not self._in_queue:
            self._in_queue = True
            self.request.record_waiting(now)
            self.write_log(
                "waits",
                waiting=len(queue),
                freed_per_second=queue.compute_freed_rate(now),
                workspace=self._claim.workspace,
            )
        options = QueueOptions(
            self._memory_deadline, now + self.request.max_memory_wait_s, late_with_precedence, self._claim
        )
        self.core.memory_queues.enqueue(self, self._queue_key, options)

    @property
    def has_attempt(self) -> bool:
        """Return whether a call to an upstream is under way for the request."""
        return self._attempt is not None

    def handle_displaced(self, claim: Claim) -> None:
        """Refuse this request in favour of one of a workspace that was served less."""
        self.core.tally.count("line_displaced_total")
        self.write_log("gives way", workspace=self._claim.workspace, to=claim.workspace)
        self._execute(self.request.refuse_memory_full())

    def _reserve(self, step: Reserve) -> None:
        self._drop_permit()
        now = self.core.clock.now()
        self._permit = self.core.eligibility.acquire_permit(step.upstream, self.request.service.cold, now)
        if self.core.eligibility.limits.get_rate(step.upstream.incarnation) is not None:
            self._reserve_by_permit(step)
            return
        attempt = ReserveAttempt(self, step)
        self._attempt = attempt
        attempt.start(self.core.dialect.make_reserve_call(step.upstream, step.tokens, step.lifetime_s))

    def _reserve_by_permit(self, step: Reserve) -> None:
        """Skip the reservation at an engine that announces a request limit, since a call counts against that limit.

        Such an engine gets few requests and usually has free memory; otherwise it refuses the stream.
        """
        self.leave_queue()
        self.record_memory_acquired()
        self.request.record_reserved(Reservation(None, step.upstream, math.inf))
        self.advance()

    def _make_attempt(self, send: Send) -> Attempt:
        if send.stage is Stage.PREFILL:
            return PrefillAttempt(self, send)
        if self.request.route.kind is RouteKind.STREAMING:
            return StreamAttempt(self, send)
        return PlainAttempt(self, send)

    def _make_call(self, send: Send, now: float) -> Call:
        last_event = self.request.last_event if self.request.route.resumable else self.request.facts.last_event
        terms = SendOptions(
            stage=send.stage,
            expected_upstream=send.upstream.id,
            time_left=self.deadline - now,
            handle=send.handle,
            reservation=send.reservation,
            last_event=last_event,
            strips_credentials=self._admitted.keyed,
            workspace=self._admitted.workspace,
        )
        headers = self.core.dialect.write_request(self._forwarded_headers, terms)
        return Call(self._incoming.method, self._incoming.target, headers, self._incoming.body)

    @property
    def deadline(self) -> float:
        """Return the monotonic time in seconds at which the request times out."""
        limit = self._incoming.arrived_at + self.request.route.timeout
        time_left = self.request.facts.time_left
        if time_left is not None:
            limit = min(limit, self._incoming.arrived_at + time_left - RESPONSE_MARGIN_S)
        return limit

    # --- responses ---------------------------------------------------------------------------------------------------

    def send_response(self, response: BufferedResponse) -> None:
        """Send a buffered upstream response to the caller."""
        self.write_log("answered", status=response.head.status, seconds=self.compute_elapsed_s())
        self._record_outcome(f"upstream_{response.head.status // 100}xx")
        self._cost.record_response(HEAD_BYTES + len(response.body))
        self._cost.record_answered()
        self._responder.send_response(response.head.status, strip_hop_by_hop(response.head.headers), response.body)
        self._end()

    def begin_stream(self, head: ResponseHead, version: SoftwareVersion) -> None:
        """Send the status and headers of a stream to the caller.

        :param version: software version of the upstream that sends the stream
        """
        lifetime_s = self.request.lifetime_s - self.compute_elapsed_s()
        self.core.origins.record_begun(
            self.request.facts.stream_id, self.request.service.name, version, max(0.0, lifetime_s)
        )
        self._first_event_s = self.compute_elapsed_s()
        self.core.tally.note_latency("first_event", self.request.route.kind.value, self._first_event_s)
        self._responder.send_head(head.status, strip_hop_by_hop(head.headers))

    def send_events(self, data: bytes) -> None:
        """Send complete events to the caller."""
        now = self.core.clock.now()
        if self._last_events_at is not None:
            self._max_event_gap_s = max(self._max_event_gap_s, now - self._last_events_at)
        self._last_events_at = now
        self._cost.record_response(CHUNK_BYTES + len(data))
        self._responder.write(data)

    def send_comments(self, data: bytes) -> None:
        """Send comments and blank lines between two events to the caller."""
        self._cost.record_response(CHUNK_BYTES + len(data))
        self._responder.write(data)

    def end_stream(self) -> None:
        """End a complete stream to the caller."""
        self.write_log(
            "answered",
            status=200,
            last_event=self.request.last_event,
            seconds=self.compute_elapsed_s(),
            first_event=self._first_event_s,
            longest_gap=round(self._max_event_gap_s, 3),
        )
        self._record_outcome("upstream_2xx")
        self._cost.record_answered()
        self.core.origins.discard(self.request.facts.stream_id)
        self._responder.end()
        self._end()

    def keep_upstream_failure(self, response: BufferedResponse) -> None:
        """Keep an upstream's error response for the caller in case no other upstream succeeds.

        If the request is not idempotent, a response whose status says that it has not run is not kept, since another
        upstream may have run it.
        """
        if self.request.route.idempotent or response.head.status not in NOT_RUN_STATUSES:
            self._upstream_failure = response

    def _wait_or_end(self, step: Refuse | Fail) -> None:
        """Wait for a cold upstream if one will have room in time; otherwise end the request."""
        wait = self._get_cold_wait(step)
        if wait is None:
            if step.no_upstream and self.request.awaits_late_memory and self._time_left_for_memory > 0:
                self._schedule_replan(self._time_left_for_memory)
            elif self._may_search_on(step):
                self._search_obstacle = step.reason
                self.request.forget_obstacles()
                self._schedule_replan(SEARCH_INTERVAL_S)
            else:
                self._give_up(step)
            return
        now = self.core.clock.now()
        is_first = self._cold_wait_began_at is None
        if is_first:
            self._cold_wait_began_at = now
        if now + wait < self._compute_cold_deadline():
            if is_first:
                self.core.tally.count("cold_waits_total")
                self.write_log("waits for a cold upstream", seconds=round(wait, 3))
            self._schedule_replan(max(wait, MIN_COLD_WAIT_S) + COLD_MARGIN_S)
            return
        self.core.tally.count("cold_refusals_total")
        if isinstance(step, Fail):
            self._fail(step)
            return
        usual_delay = compute_usual_delay(self.request.route.target_latency) if self.core.vm_count > 1 else wait
        # The retry may reach another VM, which may have room earlier.
        delay = limit_delay(min(wait, usual_delay), self.deadline - now)
        self._end_with_error(503, "its upstreams are cold", round_delay(delay))

    def _may_search_on(self, step: Refuse | Fail) -> bool:
        """Return whether to go on seeking an upstream for a stream that may have run, until its caller disconnects."""
        if not isinstance(step, Fail) or self.request.route.kind is not RouteKind.STREAMING:
            return False
        if not step.is_temporary and not (step.no_upstream and self._is_any_withheld()):
            return False
        since = self._incoming.arrived_at if self._last_events_at is None else self._last_events_at
        return self.core.clock.now() < since + self.request.max_memory_wait_s

    def _is_any_withheld(self) -> bool:
        """Return whether an upstream is not sent requests only because of its back-off or limit."""
        obstacles = self.core.count_obstacles(self.request.service.name, self.request.regions)
        return bool(obstacles[Obstacle.RESTING] or obstacles[Obstacle.LIMITED])

    def _schedule_replan(self, seconds: float) -> None:
        """Carry out the next step after some seconds, outside the queue so that others there are not blocked."""
        self.leave_queue()
        self._stop_replan_timer()
        self._replan_timer = self.core.clock.call_later(seconds, self.advance)

    def _get_cold_wait(self, step: Refuse | Fail) -> float | None:
        """Return the seconds until a cold upstream has room, or None if none could serve the request."""
        if not step.no_upstream or (isinstance(step, Refuse) and step.retry_after_s is not None):
            return None
        request = self.request
        return self.core.compute_cold_wait(request.service.name, request.regions, request.version, request.tried)

    def _give_up(self, step: Refuse | Fail) -> None:
        if isinstance(step, Fail):
            self._fail(step)
        elif step.is_final:
            self._end_with_error(503, step.reason, None)
        elif step.retry_after_is_minimum:
            self._end_with_error(503, step.reason, step.retry_after_s)
        else:
            self._refuse(step.reason, memory_full=step.memory_full, retry_after_s=step.retry_after_s)

    @property
    def _time_left_for_memory(self) -> float:
        """Return the seconds for which the request may wait for decode memory and be on time."""
        return self._memory_deadline - self.core.clock.now()

    @property
    def _memory_deadline(self) -> float:
        """Return the monotonic time in seconds by which decode memory has to be free for a response on time."""
        return self._incoming.arrived_at + ON_TIME_SHARE * self.request.route.target_latency

    def _compute_cold_deadline(self) -> float:
        """Return the monotonic time up to which the request may wait for a cold upstream."""
        if self.request.response_begun and self._cold_wait_began_at is not None:
            return self._cold_wait_began_at + self.request.max_memory_wait_s
        return self._memory_deadline

    def _stop_replan_timer(self) -> None:
        timer, self._replan_timer = self._replan_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _refuse(self, reason: str, *, memory_full: bool = False, retry_after_s: float | None = None) -> None:
        now = self.core.clock.now()
        if memory_full and retry_after_s is None:
            residence_s = self.core.get_demand(self.request.service.name).estimate_residence(now)
            retry_after_s = compute_memory_delay(residence_s, random.uniform(-1.0, 1.0))
        if retry_after_s is None:
            delay = compute_usual_delay(self.request.route.target_latency)
        else:
            delay = limit_delay(retry_after_s, self.deadline - now)
        self._end_with_error(503, reason, round_delay(delay))

    def _fail(self, step: Fail) -> None:
        if self._upstream_failure is not None and not self._responder.started:
            self.send_response(self._upstream_failure)
        else:
            self._end_with_error(MAY_HAVE_RUN_STATUS, step.reason, None)

    def _handle_timeout(self) -> None:
        self._deadline_timer = None
        if self.request.may_have_run:
            self._end_with_error(TIMEOUT_STATUS, self._search_obstacle or "the time is over", None)
        else:
            self._refuse("the time is over")

    def _end_with_error(self, status: int, reason: str, retry_after_s: float | None) -> None:
        if self._ended:
            return
        self.write_log(
            "broken off" if self._responder.started else "given up",
            status=status,
            reason=reason,
            doubt=self.request.may_have_run,
            sends=self.request.sends,
            seconds=self.compute_elapsed_s(),
            after=self.request.last_setback.value,
            last_event=self.request.last_event,
            **self.core.describe_unresponsive(self.request.service.name),
            **self.core.reach.describe(),
        )
        if self._responder.started:
            self.core.tally.count("streams_broken_off_total", self.request.last_setback.value)
        self._record_outcome(f"own_{status}")
        self._stop_attempt()
        if self._responder.started:
            self._responder.abort()
        else:
            send_error(self._responder, status, reason, retry_after_s)
        self._end()

    def abort(self, reason: str) -> None:
        """End the request at once with an error response, because the VM shuts down."""
        if self.request.may_have_run:
            self._end_with_error(MAY_HAVE_RUN_STATUS, reason, None)
        else:
            self._refuse(reason)

    def _end(self) -> None:
        self._ended = True
        self._cost.end(self.core.clock.now())
        self._stop_deadline_timer()
        self._stop_replan_timer()
        self._stop_attempt()
        self._failover.cancel()
        if self._lookup is not None:
            self.core.origins.cancel(self._lookup)
        self._drop_permit()
        self.leave_queue()
        if self._memory_acquired_at is not None:
            self.core.get_demand(self.request.service.name).end_stream(self._memory_acquired_at, self.core.clock.now())
        self._release_held()
        if not self.request.may_have_run:
            self.core.admission.refund(self._admitted, self.core.clock.now())
        self.core.exchanges.discard(self)

    def _record_outcome(self, label: str) -> None:
        self.core.tally.count("requests_total", label)
        self.core.tally.note_latency("request", self.request.route.kind.value, self.compute_elapsed_s())

    def _stop_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel()

    def _release_held(self, *, except_handles: Sequence[Handle | None] = ()) -> None:
        """Release the KV cache and the reservation that the request does not need any more.

        :param except_handles: handles of KV caches that upstreams may still fetch
        """
        request = self.request
        if request.handle is not None and request.handle not in except_handles:
            call = self.core.dialect.make_release_call(request.handle)
            send_release(self.core, request.handle.upstream, call, self.write_log)
            request.drop_handle()
        if request.reservation is not None:
            self._release_reservation(request.reservation)
            request.reservation = None

    def _release_reservation(self, reservation: Reservation) -> None:
        if reservation.id is not None:
            call = self.core.dialect.make_unreserve_call(reservation)
            send_release(self.core, reservation.upstream, call, self.write_log)

    # --- callbacks of attempts ---------------------------------------------------------------------------------------

    def replan_after(self, attempt: Attempt | ReserveAttempt) -> None:
        """Plan the next step after an attempt that did not complete the request."""
        if self._attempt is attempt:
            self._attempt = None
            self._failover.end_handover()
        elif isinstance(attempt, Attempt):
            self._remove_fallback(attempt)
            if self._in_queue:
                return  # the queue decides when the request asks for memory
        self.advance()

    def _remove_fallback(self, attempt: Attempt) -> None:
        if self._failover.remove(attempt) and not self._failover.active:
            self.request.return_retries(self.core.get_retry_budget(self.request.service.name))

    def seek_alternative(self, attempt: Attempt) -> None:
        """Seek another upstream as the attempt's is silent; the attempt goes on if that one responds first."""
        self._failover.end_handover()
        if self._attempt is not attempt:
            return
        self._attempt = None
        self._failover.add(attempt)
        self.advance()

    def handle_request_sent(self, attempt: Attempt) -> None:
        """Record that the request is being sent."""
        self._search_obstacle = None
        if self.request.route.kind is RouteKind.STREAMING and attempt.send.stage is not Stage.PREFILL:
            self._failover.begin_handover()

    def admits(self, attempt: Attempt) -> bool:
        """Return whether an attempt that responds may continue the stream now; if not, it is released later."""
        return self._failover.admits(attempt)

    @property
    def is_searching(self) -> bool:
        """Return whether another upstream is sought, or was found and has not responded."""
        return self._failover.active

    def settle_on(self, attempt: Attempt) -> None:
        """Continue a stream with an attempt whose upstream responds, and cancel all others."""
        if not self._failover.active:
            return
        if self._failover.remove(attempt):
            self._stop_attempt()
            self._end_search(attempt)
            self._attempt = attempt
        else:
            self.request.end_search(self.core.get_retry_budget(self.request.service.name))
            self.core.tally.count("silences_ended_total", "replaced")
        self._failover.cancel()

    def accept_late_reservation(self, reservation: Reservation) -> bool:
        """Use memory that an engine granted late, and return True, unless the request does not need it."""
        attempt = self._attempt
        is_idle = attempt is None or isinstance(attempt, ReserveAttempt)
        if self._ended or not is_idle or self.request.reservation is not None:
            return False
        if not self.core.eligibility.is_in_regions(reservation.upstream, self.request.regions):
            return False
        self._stop_attempt()
        self._drop_permit()  # it is for the engine that was asked last
        self.leave_queue()
        self.record_memory_acquired()
        self.request.record_reserved(reservation)
        self.write_log("reserved", to=reservation.upstream.id, late=True)
        self.advance()
        return True

    def handle_late_rejection(self, upstream: Upstream) -> None:
        """Record that an engine rejected a reservation late, and plan again if the request waits for that."""
        if self._awaits_late_response and self.core.eligibility.is_in_regions(upstream, self.request.regions):
            self.request.record_full(upstream.id)
            self.advance()

    def handle_late_failure(self, upstream: Upstream) -> None:
        """Record that a reservation will not be answered any more, and plan again if the request waits for that."""
        if self._awaits_late_response:
            self.request.record_reserve_lost(upstream.id)
            self.advance()

    @property
    def _awaits_late_response(self) -> bool:
        has_step = self._attempt is not None or self._in_queue or self.request.reservation is not None
        return not self._ended and not has_step

    def _return_to_fallback(self) -> None:
        """Wait for the silent upstream, as no other one can take the request now, and seek again later."""
        attempt = self._failover.pop_last()
        self._end_search(attempt)
        self._attempt = attempt
        attempt.wait_again(SEARCH_INTERVAL_S)

    def _end_search(self, attempt: Attempt) -> None:
        """Release what was acquired to replace an attempt."""
        self.leave_queue()
        self._stop_replan_timer()
        self._drop_permit()
        self.request.end_search(self.core.get_retry_budget(self.request.service.name))
        self._release_held(except_handles=[attempt.send.handle, *self._failover.list_handles()])

    def write_log(self, event: str, **fields: object) -> None:
        """Write a log event about this request."""
        self.core.journal.write("RELAY", event, request=self.request.facts.id, route=self.request.route.name, **fields)

    def leave_queue(self) -> None:
        """Remove the request from the queue for decode memory, if it waits there."""
        if self._in_queue:
            self._in_queue = False
            self._queue.remove(self)

    def record_memory_acquired(self) -> None:
        """Record that the request holds decode memory from now on, until its end."""
        if self._memory_acquired_at is None:
            self._memory_acquired_at = self.core.clock.now()
            self.core.get_demand(self.request.service.name).begin_stream(self._memory_acquired_at)
            self.core.memory_queues.get(self.request.service.name).record_served(self._claim, self._memory_acquired_at)
            if not self.request.list_full_upstreams():
                self.core.memory_queues.record_granted(self._queue_key)

    def record_first_event(self) -> None:
        """Record how long decode memory was held before the first event, when that event arrives."""
        if self._memory_acquired_at is not None and not self.request.response_begun:
            seconds = self.core.clock.now() - self._memory_acquired_at
            self.core.get_demand(self.request.service.name).record_first_event(seconds)

    @property
    def hall(self) -> str | None:
        """Return the hall of the upstream that the request may run at, or is sent to; None without one."""
        if self._failover.active:
            return self._failover.hall
        return None if self._attempt is None else self._attempt.upstream.hall

    def compute_elapsed_s(self) -> float:
        """Return the seconds since the request arrived."""
        return round(self.core.clock.now() - self._incoming.arrived_at, 4)

    # --- events from the caller and configuration changes ------------------------------------------------------------

    def handle_caller_lost(self) -> None:
        """Stop all work for a caller that disconnected."""
        if self._ended:
            return
        self.write_log("caller gone", begun=self._responder.started, seconds=self.compute_elapsed_s())
        self._record_outcome("caller_gone")
        self._end()

    def pause(self) -> None:
        """Pause reading from the upstream while the caller reads too slowly."""
        if self._attempt is not None:
            self._attempt.pause()

    def resume(self) -> None:
        """Resume reading from the upstream."""
        if self._attempt is not None:
            self._attempt.resume()

    def apply_table(self, table: RoutingTable) -> None:
        """Apply the timeouts and regions of a new configuration to this request."""
        route = table.find_route(self._incoming.host, self._incoming.path)
        if route is None or self._ended:
            return
        self._apply_regions(
            table.get_allowed_regions(route, self._admitted.workspace, self.request.regions), table.version
        )
        if self._ended or route.timeout == self.request.route.timeout:
            return
        self.write_log("timeout changed", timeout=route.timeout, version=table.version)
        self.request.apply_route(route)
        self._start_deadline_timer()

    def _apply_regions(self, regions: Regions, version: int) -> None:
        """Apply changed regions: release memory held outside them; a send made already completes on its upstream."""
        if regions == self.request.regions:
            return
        self.write_log("regions changed", regions=None if regions is None else sorted(regions), version=version)
        needs_plan = self._in_queue
        self.leave_queue()
        self.request.apply_regions(regions)
        if self._is_connecting_outside_regions(regions):
            self._stop_attempt()
            needs_plan = True
        if self._attempt is None or self._is_prefilling:
            self._release_unusable()  # otherwise an attempt may be using the memory: the plan after it does this
        if needs_plan:
            self.advance()

    @property
    def _is_prefilling(self) -> bool:
        """Return whether a prefill is under way, during which the reservation is not in use."""
        return isinstance(self._attempt, Attempt) and self._attempt.send.stage is Stage.PREFILL

    def _is_connecting_outside_regions(self, regions: Regions) -> bool:
        """Return whether a send to an upstream outside the allowed regions waits for its connection."""
        attempt = self._attempt
        if not isinstance(attempt, Attempt) or attempt.sent:
            return False
        return not self.core.eligibility.is_in_regions(attempt.send.upstream, regions)

    def _start_deadline_timer(self) -> None:
        self._stop_deadline_timer()
        left = self.deadline - self.core.clock.now()
        self._deadline_timer = self.core.clock.call_later(max(0.0, left), self._handle_timeout)

    def _stop_deadline_timer(self) -> None:
        timer, self._deadline_timer = self._deadline_timer, None
        if timer is not None and timer.active():
            timer.cancel()

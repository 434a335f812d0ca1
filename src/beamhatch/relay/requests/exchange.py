"""Serve one request: carry out the steps that :class:`RelayRequest` plans, and relay the response to the caller."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, Any

from beamhatch.relay.mechanism import Mechanism
from beamhatch.relay.model import Reservation, RouteKind, RouteName, Stage
from beamhatch.relay.requests.api import OpenRequest
from beamhatch.relay.requests.caller_response import CallerResponse
from beamhatch.relay.requests.deadlines import Deadlines
from beamhatch.relay.requests.ending import RefusalTerms, make_refusal
from beamhatch.relay.requests.failover import SEARCH_INTERVAL_S, Failover
from beamhatch.relay.requests.held_memory import HeldMemory
from beamhatch.relay.requests.origin_search import OriginSearch
from beamhatch.relay.requests.planner import Planner
from beamhatch.relay.requests.request import Fail, Refuse, RelayRequest, Reserve, Send, Step, Wait
from beamhatch.relay.requests.response import MAY_HAVE_RUN_STATUS, NOT_RUN_STATUSES, TIMEOUT_STATUS, BufferedResponse
from beamhatch.relay.requests.send_log import describe_send, record_distance
from beamhatch.relay.requests.terms import list_changes, restrict_terms
from beamhatch.relay.requests.unserved import (
    REFUSED_STATUS,
    Circumstances,
    End,
    RefuseAsCold,
    SearchOn,
    WaitForCold,
    WaitForMemory,
    decide_unserved,
)
from beamhatch.relay.requests.upstream_calls import UpstreamCalls
from beamhatch.relay.upstreams.api import AttemptOwner
from beamhatch.relay.upstreams.attempt import Attempt
from beamhatch.relay.upstreams.connection import Correlation
from beamhatch.relay.upstreams.reserve_attempt import ReserveAttempt
from beamhatch.relay.waiting.line import Claim
from beamhatch.relay.waiting.memory_lines import QueuedRequest
from beamhatch.relay.waiting.queue_place import QueuePlace, QueueTerms

if TYPE_CHECKING:
    from collections.abc import Sequence

    from beamhatch.relay.core import Core
    from beamhatch.relay.model import Handle, Incarnation, Regions, RoutingTable, SoftwareVersion, Upstream
    from beamhatch.relay.requests.api import NewRequest
    from beamhatch.relay.requests.terms import RequestTerms
    from beamhatch.relay.upstreams.call import ResponseHead

MIN_SEND_TIME_S = 0.02
"""Minimum time before the deadline for a send to start; with less, the request times out."""

FIRST_EVENT_SHARE = 0.9
"""Share of the target latency up to which a predicted first event is on time; the rest is a margin for errors."""

MAX_IDLE_S = 1.0
"""Maximum idle time of a reused connection for a send that may not be repeated."""


class RelayExchange(OpenRequest, QueuedRequest, AttemptOwner):
    """The handler of one caller's request."""

    def __init__(self, core: Core, new: NewRequest) -> None:
        self.core = core
        self.digests = new.digests
        self.correlation = Correlation()
        self._admitted = new.admitted
        self._incoming = new.incoming
        self.request = _make_request(core, new)
        self._calls = UpstreamCalls(core, new, self.request)
        self._deadlines = Deadlines(core.clock, self.request, new.incoming.arrived_at, self._handle_timeout)
        self._is_caller_retry = core.caller_retries.is_retry(new.route, new.facts.time_left)
        self._cost = core.costs.begin(RouteName(new.route.name), len(new.incoming.body), core.clock.now())
        self._response = CallerResponse(
            core.clock,
            core.tally,
            new.responder,
            self._cost,
            new.incoming.arrived_at,
            new.route.kind,
            self.write_log,
        )
        tokens = new.facts.prompt_tokens + self.request.reserved_output_tokens
        claim = Claim(new.admitted.workspace, new.admitted.priority, tokens)
        self._place = QueuePlace(core, self.request, claim, self, self.write_log)
        self._held = HeldMemory(core, self.request, self.write_log)
        self._planner = Planner(core, self.request, self.digests, self.write_log, is_caller_retry=self._is_caller_retry)
        self._failover = Failover(core.clock, self.request)
        self._attempt: Attempt | ReserveAttempt | None = None
        self._origin_search = OriginSearch(
            core, self.request, self._response.compute_elapsed_s, self.write_log, self._handle_origin
        )
        self._cold_wait_began_at: float | None = None
        """Monotonic time in seconds at which the request began to wait for a cold upstream."""
        self._replan_timer: Any = None
        self._search_obstacle: str | None = None
        """Why no upstream can take the stream at the moment; None while one has it."""
        self._upstream_failure: BufferedResponse | None = None
        self._ended = False

    # --- steps -------------------------------------------------------------------------------------------------------

    def start(self) -> None:
        """Start the deadline timer, and carry out the first step."""
        self._deadlines.start_timer()
        if self._ended:
            return
        if self.request.facts.resumes_stream and self.request.route.kind is RouteKind.STREAMING:
            self._origin_search.start()
        else:
            self._begin()

    def _handle_origin(self, refusal: Refuse | Fail | None) -> None:
        """Continue the stream at the version that began it, or refuse the request if that can't be."""
        if refusal is None:
            self._begin()
        else:
            self._give_up(refusal)

    def _begin(self) -> None:
        if self.request.split and self._place.has_others_on_time(self.core.clock.now()) and self._planner.list_usable():
            self._wait_for_memory()
        else:
            self.advance()

    def advance(self) -> None:
        """Carry out the next step, unless one is under way."""
        if self._ended or self._attempt is not None or self._origin_search.is_active:
            return
        self._stop_replan_timer()
        self._execute(self._plan(self.core.clock.now()))

    def _plan(self, now: float) -> Step:
        quarantined = self._planner.find_quarantine(now)
        if quarantined is not None:  # an attempt under way continues: if it succeeds, the request leaves quarantine
            return quarantined
        self._held.release_unusable(is_searching=self._failover.active)
        return self._planner.plan(now)

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
        record_distance(distances, self.core.tally, self.request, upstream, self._planner.list_usable, self.write_log)

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
        if request.possible_runs and send.stage is not Stage.PREFILL:
            self.core.tally.count("sends_beside_possible_runs_total", request.route.label)
        relation = request.get_continuation(send)
        if relation is not None:
            self.core.tally.count("streams_continued_total", relation)
        if request.split and send.stage is not Stage.PREFILL:
            self._place.record_acquired()
        self._cold_wait_began_at = None
        attempt = self._calls.make_attempt(self, send)
        if send.reservation is not None:
            attempt.permit = self._held.take_permit()
        if attempt.permit is None:
            cold = self.core.get_cold_terms(request.service.name)
            attempt.permit = self.core.eligibility.acquire_permit(send.upstream, cold, now)
        self._attempt = attempt
        max_idle_s = 1e9 if request.terms.may_repeat or send.stage is Stage.PREFILL else MAX_IDLE_S
        self._cost.record_call()
        attempt.start(self._calls.make_call(send, self.deadline - now), max_idle_s)

    def _wait_for_memory(self) -> None:
        """Queue for decode memory, or refuse the request at once if the queue is full."""
        request = self.request
        if Mechanism.MEMORY_QUEUE in self.core.disabled and not request.response_begun:
            self._execute(request.refuse_memory_full())
            return
        was_delayed = request.reservation_lost or request.may_have_run or self._cold_wait_began_at is not None
        terms = QueueTerms(
            deadline=self._deadlines.memory_at,
            has_precedence=self._is_caller_retry or request.response_begun or was_delayed,
            is_new_wait=not self._failover.active,
        )
        if not self._place.enter(terms, self._deadlines.memory_wait_s):
            self._execute(request.refuse_memory_full())

    @property
    def has_attempt(self) -> bool:
        """Return whether a call to an upstream is under way for the request."""
        return self._attempt is not None

    def handle_displaced(self, claim: Claim) -> None:
        """Refuse this request in favour of one of a workspace that was served less."""
        self._place.record_displaced(claim)
        self._execute(self.request.refuse_memory_full())

    def _reserve(self, step: Reserve) -> None:
        self._held.acquire_permit(step.upstream)
        if self.core.eligibility.limits.get_rate(step.upstream.incarnation) is not None:
            self._reserve_by_permit(step)
            return
        attempt = ReserveAttempt(self, step)
        self._attempt = attempt
        attempt.start(self._calls.make_reserve_call(step))

    def _reserve_by_permit(self, step: Reserve) -> None:
        """Skip the reservation at an engine that announces a request limit, since a call counts against that limit.

        Such an engine gets few requests and usually has free memory; otherwise it refuses the stream.
        """
        self.handle_reserved(Reservation(None, step.upstream, math.inf))
        self.advance()

    @property
    def deadline(self) -> float:
        """Return the monotonic time in seconds at which the request times out."""
        return self._deadlines.timeout_at

    # --- responses ---------------------------------------------------------------------------------------------------

    def send_response(self, response: BufferedResponse) -> None:
        """Send a buffered upstream response to the caller."""
        self._response.send(response)
        self._end()

    def begin_stream(self, head: ResponseHead, version: SoftwareVersion) -> None:
        """Send the status and headers of a stream to the caller.

        :param version: software version of the upstream that sends the stream
        """
        facts = self.request.facts
        lifetime_s = max(0.0, self.request.lifetime_s - self._response.compute_elapsed_s())
        self.core.origins.record_begun(facts.stream_id, self.request.service.name, version, lifetime_s)
        self._response.begin_stream(head)

    def send_events(self, data: bytes) -> None:
        """Send complete events to the caller."""
        self._response.send_events(data)

    def send_comments(self, data: bytes) -> None:
        """Send comments and blank lines between two events to the caller."""
        self._response.send_comments(data)

    def end_stream(self) -> None:
        """End a complete stream to the caller."""
        self.core.origins.discard(self.request.facts.stream_id)
        self._response.end_stream(self.request.last_event)
        self._end()

    def keep_upstream_failure(self, response: BufferedResponse) -> None:
        """Keep an upstream's error response for the caller in case no other upstream succeeds.

        If the request is not idempotent, a response whose status says that it has not run is not kept, since another
        upstream may have run it.
        """
        if self._may_forward(response):
            self._upstream_failure = response

    def _may_forward(self, response: BufferedResponse) -> bool:
        """Return whether the status of an upstream's error response promises nothing that may be wrong."""
        return self.request.terms.may_repeat or response.head.status not in NOT_RUN_STATUSES

    def _wait_or_end(self, step: Refuse | Fail) -> None:
        """Wait until an upstream may take the request, or end it."""
        now = self.core.clock.now()
        cold_wait_s = self._planner.compute_cold_wait(step)
        is_first_wait = cold_wait_s is not None and self._cold_wait_began_at is None
        if is_first_wait:
            self._cold_wait_began_at = now
        circumstances = Circumstances(
            cold_wait_s=cold_wait_s,
            cold_time_left_s=self._deadlines.compute_cold_wait_end(self._cold_wait_began_at) - now,
            memory_time_left_s=self._deadlines.memory_at - now,
            awaits_late_memory=self.request.awaits_late_memory,
            may_search=self._may_search_on(step),
            time_left_s=self.deadline - now,
            target_latency_s=self.request.route.target_latency,
            is_only_vm=self.core.vm_count <= 1,
        )
        match decide_unserved(step, circumstances):
            case WaitForCold() as wait:
                if is_first_wait:
                    self.core.tally.count("cold_waits_total")
                    self.write_log("waits for a cold upstream", seconds=round(wait.wait_s, 3))
                self._schedule_replan(wait.after_s)
            case WaitForMemory(after_s=seconds):
                self._schedule_replan(seconds)
            case SearchOn() as search:
                self._search_obstacle = search.obstacle
                self.request.obstacles.forget()
                self._schedule_replan(search.after_s)
            case RefuseAsCold(retry_after_s=seconds):
                self.core.tally.count("cold_refusals_total")
                self._end_with_error(REFUSED_STATUS, "its upstreams are cold", seconds)
            case End(is_cold=is_cold):
                if is_cold:
                    self.core.tally.count("cold_refusals_total")
                self._give_up(step)

    def _may_search_on(self, step: Refuse | Fail) -> bool:
        """Return whether to go on seeking an upstream for a stream that may have run, until its caller disconnects."""
        if not isinstance(step, Fail) or self.request.route.kind is not RouteKind.STREAMING:
            return False
        if not step.is_temporary and not (step.no_upstream and self._planner.is_any_withheld()):
            return False
        last = self._response.last_events_at
        since = self._incoming.arrived_at if last is None else last
        return self.core.clock.now() < since + self.request.max_memory_wait_s

    def _schedule_replan(self, seconds: float) -> None:
        """Carry out the next step after some seconds, outside the queue so that others there are not blocked."""
        self._place.leave()
        self._stop_replan_timer()
        self._replan_timer = self.core.clock.call_later(seconds, self.advance)

    def _give_up(self, step: Refuse | Fail) -> None:
        if isinstance(step, Fail):
            self._fail(step)
        else:
            self._refuse(step)

    def _stop_replan_timer(self) -> None:
        timer, self._replan_timer = self._replan_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _refuse(self, step: Refuse) -> None:
        now = self.core.clock.now()
        demand = self.core.get_demand(self.request.service.name)
        terms = RefusalTerms(
            self.request.route.target_latency,
            self.deadline - now,
            lambda: demand.estimate_residence(now),
            lambda: random.uniform(-1.0, 1.0),
        )
        error = make_refusal(step, terms)
        self._end_with_error(error.status, error.reason, error.retry_after_s)

    def _fail(self, step: Fail) -> None:
        failure = self._upstream_failure
        if failure is not None and self._may_forward(failure) and not self._response.started:
            self.send_response(failure)
        else:
            self._end_with_error(MAY_HAVE_RUN_STATUS, step.reason, None)

    def _handle_timeout(self) -> None:
        if self.request.may_have_run:
            self._end_with_error(TIMEOUT_STATUS, self._search_obstacle or "the time is over", None)
        else:
            self._refuse(Refuse("the time is over"))

    def _end_with_error(self, status: int, reason: str, retry_after_s: float | None) -> None:
        if self._ended:
            return
        self.write_log(
            "broken off" if self._response.started else "given up",
            status=status,
            reason=reason,
            doubt=self.request.may_have_run,
            sends=self.request.sends,
            seconds=self._response.compute_elapsed_s(),
            after=self.request.last_setback.value,
            last_event=self.request.last_event,
            **self.core.describe_unresponsive(self.request.service.name),
            **self.core.reach.describe(),
        )
        if self._response.started:
            self.core.tally.count("streams_broken_off_total", self.request.last_setback.value)
        self._response.record_outcome(f"own_{status}")
        self._stop_attempt()
        self._response.send_error(status, reason, retry_after_s)
        self._end()

    def abort(self, reason: str) -> None:
        """End the request at once with an error response, because the VM shuts down."""
        if self.request.may_have_run:
            self._end_with_error(MAY_HAVE_RUN_STATUS, reason, None)
        else:
            self._refuse(Refuse(reason))

    def _end(self) -> None:
        self._ended = True
        self._cost.end(self.core.clock.now())
        self._deadlines.stop_timer()
        self._stop_replan_timer()
        self._stop_attempt()
        self._failover.cancel()
        self._origin_search.cancel()
        self._held.drop_permit()
        self._place.end()
        self._release_held()
        if not self.request.may_have_run:
            self.core.admission.refund(self._admitted, self.core.clock.now())
        self.core.exchanges.discard(self)

    def _stop_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel()

    def _release_held(self, *, except_handles: Sequence[Handle | None] = ()) -> None:
        """Release the KV cache and the reservation that the request does not need any more."""
        self._held.release(except_handles=except_handles)

    # --- callbacks of attempts ---------------------------------------------------------------------------------------

    def replan_after(self, attempt: Attempt | ReserveAttempt) -> None:
        """Plan the next step after an attempt that did not complete the request."""
        if self._attempt is attempt:
            self._attempt = None
            self._failover.end_handover()
        elif isinstance(attempt, Attempt):
            self._remove_fallback(attempt)
            if self._place.is_waiting:
                return  # the queue decides when the request asks for memory
        self.advance()

    def _remove_fallback(self, attempt: Attempt) -> None:
        if self._failover.remove(attempt) and not self._failover.active:
            self.request.retries.return_granted(self.core.get_retry_budget(self.request.service.name))

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
        if not self._may_use(reservation.upstream):
            return False
        self._stop_attempt()
        self._held.drop_permit()  # it is for the engine that was asked last
        self.handle_reserved(reservation)
        self.write_log("reserved", to=reservation.upstream.id, late=True)
        self.advance()
        return True

    def handle_late_rejection(self, upstream: Upstream) -> None:
        """Record that an engine rejected a reservation late, and plan again if the request waits for that."""
        if not self._awaits_late_response:
            return
        if self._may_use(upstream):
            self.request.obstacles.record_full(upstream.id)
        else:
            self.request.obstacles.record_reserve_lost(upstream.id)
        self.advance()

    def handle_late_failure(self, upstream: Upstream) -> None:
        """Record that a reservation will not be answered any more, and plan again if the request waits for that."""
        if self._awaits_late_response:
            self.request.obstacles.record_reserve_lost(upstream.id)
            self.advance()

    def _may_use(self, upstream: Upstream) -> bool:
        """Return whether the stream may go on at an upstream that was asked for memory some time ago."""
        in_regions = self.core.eligibility.is_in_regions(upstream, self.request.regions)
        return in_regions and upstream.may_serve(self.request.version)

    @property
    def _awaits_late_response(self) -> bool:
        has_step = self._attempt is not None or self._place.is_waiting or self.request.reservation is not None
        return not self._ended and not has_step

    def _return_to_fallback(self) -> None:
        """Wait for the silent upstream, as no other one can take the request now, and seek again later."""
        attempt = self._failover.pop_last()
        self._end_search(attempt)
        self._attempt = attempt
        attempt.wait_again(SEARCH_INTERVAL_S)

    def _end_search(self, attempt: Attempt) -> None:
        """Release what was acquired to replace an attempt."""
        self._place.leave()
        self._stop_replan_timer()
        self._held.drop_permit()
        self.request.end_search(self.core.get_retry_budget(self.request.service.name))
        self._release_held(except_handles=[attempt.send.handle, *self._failover.list_handles()])

    def write_log(self, event: str, **fields: object) -> None:
        """Write a log event about this request."""
        self.core.journal.write("RELAY", event, request=self.request.facts.id, route=self.request.route.name, **fields)

    def handle_reserved(self, reservation: Reservation) -> None:
        """Record that an engine has reserved memory for the request."""
        self._place.leave()
        self._place.record_acquired()
        self.request.record_reserved(reservation)

    def record_first_event(self) -> None:
        """Record how long decode memory was held before the first event, when that event arrives."""
        self._place.record_first_event()

    @property
    def hall(self) -> str | None:
        """Return the hall of the upstream that the request may run at, or is sent to; None without one."""
        if self._failover.active:
            return self._failover.hall
        return None if self._attempt is None else self._attempt.upstream.hall

    # --- events from the caller and configuration changes ------------------------------------------------------------

    def handle_caller_lost(self) -> None:
        """Stop all work for a caller that disconnected."""
        if self._ended:
            return
        self.write_log("caller gone", begun=self._response.started, seconds=self._response.compute_elapsed_s())
        self._response.record_outcome("caller_gone")
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
        """Apply the terms of a new configuration to this request."""
        if self._ended:
            return
        request = self.request
        before = request.terms
        terms = restrict_terms(before, request.route, table, self._incoming.path, self._admitted.workspace)
        for event, fields in list_changes(before, terms):
            self.write_log(
                event,
                **fields,
                admitted_kind=request.route.label,
                possible_runs=request.possible_runs,
                version=table.version,
            )
        if terms.regions != before.regions:
            self._apply_in_regions(terms)
        else:
            request.apply_terms(terms)
        if terms.timeout != before.timeout and not self._ended:
            self._deadlines.start_timer()
        if request.may_have_run and not request.may_run_again:
            self._withdraw_repeat()

    def _withdraw_repeat(self) -> None:
        """Stop preparing another run of a request that may not run again."""
        attempt = self._attempt
        prepares = isinstance(attempt, ReserveAttempt) or self._is_prefilling
        if attempt is not None and (prepares or not attempt.sent):
            self._stop_attempt()
        self.advance()

    def _apply_in_regions(self, terms: RequestTerms) -> None:
        """Apply changed regions: release memory held outside them; a send made already completes on its upstream."""
        needs_plan = self._place.is_waiting
        self._place.leave()
        self.request.apply_terms(terms)
        if self._is_connecting_outside_regions(terms.regions):
            self._stop_attempt()
            needs_plan = True
        if self._attempt is None or self._is_prefilling:
            # Otherwise an attempt may be using the memory; the plan after it does this.
            self._held.release_unusable(is_searching=self._failover.active)
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


def _make_request(core: Core, new: NewRequest) -> RelayRequest:
    """Return the state of a new request."""
    on_time_until = new.incoming.arrived_at + FIRST_EVENT_SHARE * new.route.target_latency
    if Mechanism.DECODE_PREFILL in core.disabled:
        on_time_until = float("inf")
    lengths = core.get_output_lengths(new.service.name)
    return RelayRequest(
        new.facts,
        new.route,
        new.service,
        new.regions,
        reserved_output_tokens=0 if new.service.engine is None else lengths.compute_reserve_tokens(new.facts),
        reserves_memory=Mechanism.RESERVATIONS not in core.disabled,
        on_time_until=on_time_until,
        body_bytes=len(new.incoming.body),
    )

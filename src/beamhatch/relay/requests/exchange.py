"""Serve one request: carry out what the request aggregate decides, and pass the answer on."""

from __future__ import annotations

import math
import random
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from beamhatch.relay.api import SendOptions
from beamhatch.relay.callers.headers import strip_hop_by_hop
from beamhatch.relay.callers.http_server import RequestHandler
from beamhatch.relay.callers.own_answer import send_error
from beamhatch.relay.choosing.eligibility import Obstacle
from beamhatch.relay.choosing.lack import spread_return
from beamhatch.relay.choosing.spill import SpillReason, find_reason
from beamhatch.relay.mechanism import Mechanism
from beamhatch.relay.model import Phase, Reservation, RouteKind, Stage
from beamhatch.relay.requests.answer import PROMISES, WholeAnswer
from beamhatch.relay.requests.line import Claim
from beamhatch.relay.requests.memory_lines import LineKey, PlaceTerms, Waiter
from beamhatch.relay.requests.request import Fail, Refuse, RelayRequest, Reserve, Send, Step, Wait
from beamhatch.relay.topology import Distance
from beamhatch.relay.upstreams.announcements import AnnouncementSink
from beamhatch.relay.upstreams.attempt import Attempt
from beamhatch.relay.upstreams.http_client import Call
from beamhatch.relay.upstreams.plain_attempt import PlainAttempt
from beamhatch.relay.upstreams.prefill_attempt import PrefillAttempt
from beamhatch.relay.upstreams.reserve_attempt import ReserveAttempt
from beamhatch.relay.upstreams.stream_attempt import StreamAttempt

if TYPE_CHECKING:
    from beamhatch.relay.callers.http_server import IncomingRequest, Responder
    from beamhatch.relay.choosing.eligibility import SendPermit
    from beamhatch.relay.core import Core
    from beamhatch.relay.model import (
        Fingerprint,
        Incarnation,
        Regions,
        RequestFacts,
        Route,
        RoutingTable,
        Service,
        Upstream,
    )
    from beamhatch.relay.requests.line import Line
    from beamhatch.relay.upstreams.http_client import Head
    from beamhatch.relay.workspaces.admission import Admitted

ANSWER_MARGIN = 0.03
"""Seconds before the caller's deadline at which it is answered, so that the answer still arrives."""

LEAST_TIME = 0.02
"""Seconds below which nothing is sent any more."""

RETRY_AFTER_SHARE = 0.5
"""Share of the target latency after which a refused caller may come back."""

IN_TIME_SHARE = 0.55
"""Share of the target latency within which decode memory has to come free for an answer in time."""

FIRST_EVENT_SHARE = 0.9
"""Share of the target latency that a prediction of the first event has to keep, as some come later."""

RETRY_SPREAD = 0.3
"""Part by which the times to come back differ to both sides, so that callers that left together return one by one."""

LONGEST_RETRY_SHARE = 0.33
"""Share of the caller's time left after which it is told to come back at the latest: it would not wait for longer."""

SHORTEST_RETRY = 0.15
"""Seconds after which a caller may come back at the earliest: time for another VM to learn what this one did."""

SHORTEST_COLD_WAIT = 0.02
"""Seconds for which a request waits for a cold upstream at the least: a plan among 1,000 of them takes 1 ms."""

COLD_MARGIN = 0.002
"""Seconds behind the time at which a cold upstream should have room: the granularity of timers."""

NO_SIGNATURE_STATUS = 502
"""Status of an own failure behind a send that may have run: it promises nothing."""

TIMED_OUT_STATUS = 504
"""Status of a request that may have run and whose time is over."""

REGION_RETRY = 1.0
"""Seconds after which a caller may come back where no upstream in an allowed region can serve it.

An upstream restarts in 2 s, and a caller comes back for a third of the time it has left: about 4 s of 14 s.
"""

HELD = "each upstream that began to run it has ended"
"""Why a request in quarantine is refused."""

FRESH_IDLE = 1.0
"""Seconds that a kept connection may have been idle for a request that may not be sent twice."""


class RelayExchange(RequestHandler, Waiter):
    """One request under way."""

    def __init__(
        self,
        core: Core,
        incoming: IncomingRequest,
        responder: Responder,
        facts: RequestFacts,
        route: Route,
        service: Service,
        admitted: Admitted,
        fingerprint: Fingerprint,
        regions: Regions = None,
    ) -> None:
        self.core = core
        self._admitted = admitted
        late_at = incoming.arrived + FIRST_EVENT_SHARE * route.target_latency
        if Mechanism.DECODE_PREFILL in core.disabled:
            late_at = float("inf")
        self.request = RelayRequest(
            facts,
            route,
            service,
            answer_room=0 if service.engine is None else core.get_output_lengths(service.name).find_room(facts),
            reserves=Mechanism.RESERVATIONS not in core.disabled,
            late_at=late_at,
            regions=regions,
            body_bytes=len(incoming.body),
        )
        self._claim = Claim(admitted.workspace, admitted.priority, facts.prompt_tokens + self.request.answer_room)
        self.fingerprint = fingerprint
        self._incoming = incoming
        self._responder = responder
        self._passed_on = strip_hop_by_hop(incoming.headers)
        self._attempt: Attempt | ReserveAttempt | None = None
        self._in_line = False
        self._permit: SendPermit | None = None
        """Room for the stream at an engine that is cold or names a limit, and has set memory aside or is asked to."""
        self._cold_since: float | None = None
        """When the request began to wait for room at a cold upstream, in monotonic seconds."""
        self._cold_timer: Any = None
        self._memory_since: float | None = None
        """When the request got decode memory, in monotonic seconds."""
        self._returns = core.is_caller_retry(route, facts.time_left)
        self._timer: Any = None
        self._failure: WholeAnswer | None = None
        self._first_event = 0.0
        """Seconds from the request's arrival to the first event of its stream."""
        self._events_at: float | None = None
        self._longest_gap = 0.0
        self._ended = False

    # --- the way through ---------------------------------------------------------------------------------------------

    def start(self) -> None:
        """Begin."""
        self._set_timer()
        if self._ended:
            return
        if self.request.split and self._line.has_fresh(self.core.clock.now()) and self._list_usable():
            self._wait_in_line()
        else:
            self.advance()

    def advance(self) -> None:
        """Carry out the next step, unless one is under way."""
        if self._ended or self._attempt is not None:
            return
        self._stop_cold_timer()
        self._carry_out(self._plan(self.core.clock.now()))

    def _plan(self, now: float) -> Step:
        request = self.request
        service = request.service.name
        hold = self.core.quarantine.find_hold(self.fingerprint, now)
        if hold is not None:  # its run under way goes on: what comes to a good end clears it
            self.core.tally.count("quarantine_refusals_total")
            wait = math.ceil(hold.until - now)
            return Fail(HELD) if request.doubt else Refuse(HELD, retry_after=wait, earlier_is_vain=True)
        self._let_go_of_shut()
        usable = self._list_usable()
        answering = any(one.phase is not Phase.PREFILL for one in usable)
        may_go_on = answering or request.reservation is not None
        lack = None if may_go_on else self.core.detect_shortage(service, request.regions)
        if lack is not None:
            self.core.tally.count("shut_total", lack.obstacle.name.lower())
            self.core.get_demand(service).drop_prompt(request.facts.prompt_tokens)
            if lack.obstacle is Obstacle.LIMITED:
                back = self.core.reserve_retry_slot(service, lack)
            else:
                back = spread_return(lack.wait, random.random(), owed=self._returns)
            step = request.refuse_shut(f"nothing may be sent to any upstream: {lack.obstacle.value}", back)
        else:
            vms = max(self.core.vm_count, self.core.recent_vm_count)
            step = request.plan(usable, self.core.chooser, self.core.get_retry_budget(service), vms, now)
        if isinstance(step, Refuse) and not step.full and request.regions is not None:
            return self._explain_by_regions(step, request.regions)
        return step

    @property
    def _line(self) -> Line[Waiter]:
        """Return the line in which it waits, where it has to."""
        return self.core.memory_queues.find(self.request.service.name, self.request.regions)

    def _list_usable(self) -> list[Upstream]:
        owed = self._returns or self.request.doubt
        return self.core.list_usable(self.request.service.name, self.request.regions, is_retry=owed)

    def _explain_by_regions(self, step: Refuse, regions: Regions) -> Refuse:
        """Return a refusal as it is told where upstreams in other regions might have served the request."""
        obstacles = self.core.count_obstacles(self.request.service.name, regions)
        if not obstacles[Obstacle.REGION] or obstacles[Obstacle.COLD]:
            return step
        self.core.tally.count("residency_refusals_total", "not_now")
        self.write_log(
            "kept in its regions",
            regions=sorted(regions or ()),
            **{obstacle.name.lower(): count for obstacle, count in obstacles.items()},
        )
        return replace(step, reason=f"{step.reason} in the allowed regions", retry_after=REGION_RETRY)

    def _let_go_of_shut(self) -> None:
        """Give back what engines hold for the request where nothing may be sent for it any more.

        A plan takes memory that is set aside without choosing anew. Without this, prompts that were read before
        their decode engine's hall was emptied still had their streams begin there. A permit keeps room at an engine
        that is cold. A KV cache may leave an emptied hall, but no region that the request is bound to.
        """
        request = self.request
        handle, held = request.handle, request.reservation
        if handle is not None and self.core.has_restarted(handle.upstream):
            request.note_handle_spent()
        elif handle is not None and not self.core.eligibility.lies_in(handle.upstream, request.regions):
            self._call(handle.upstream, self.core.dialect.make_release_call(handle))
            request.note_handle_spent()
        if held is None:
            self._drop_permit()
            return
        if self.core.has_restarted(held.upstream):
            self._drop_permit()
            request.give_up_reservation()
            self.write_log("memory given up", to=held.upstream.id, obstacle="started again")
            return
        obstacle = self.core.get_obstacle(held.upstream, request.service.name, request.regions)
        has_room = self._permit is not None and obstacle in (Obstacle.COLD, Obstacle.LIMITED)
        if obstacle is None or has_room:
            return
        self._drop_permit()
        request.give_up_reservation()
        self.write_log("memory given up", to=held.upstream.id, obstacle=obstacle.name.lower())
        self._free_memory(held)

    def withdraw_from(self, life: Incarnation) -> None:
        """Send what has not gone out elsewhere, as an upstream wants no more."""
        attempt = self._attempt
        if attempt is None or attempt.sent or attempt.upstream.incarnation != life:
            return
        self.write_log("taken back", to=life.id)
        self._stop_attempt()
        self.advance()

    def _drop_permit(self) -> None:
        permit, self._permit = self._permit, None
        if permit is not None:
            permit.drop(self.core.clock.now())

    def _carry_out(self, step: Step) -> None:
        if isinstance(step, Send):
            if step.reservation is None:
                self._note_distance(step.upstream)
            self._send(step, self.core.clock.now())
        elif isinstance(step, Reserve):
            self._note_distance(step.upstream)
            self._reserve(step)
        elif isinstance(step, Wait):
            self._wait_in_line()
        else:
            self._wait_or_end(step)

    def _note_distance(self, upstream: Upstream) -> None:
        """Count how far an upstream is that was chosen, and tell why one in another region was."""
        distances = self.core.chooser.distances
        distance = distances.measure(upstream.hall)
        self.core.tally.count("choices_by_distance_total", distance.name.lower())
        if distance is not Distance.OTHER_REGION:
            return

        def is_near(hall: str) -> bool:
            return distances.measure(hall) is not Distance.OTHER_REGION

        reservation = self.request.reservation
        if upstream.phase is Phase.PREFILL and reservation is not None and not is_near(reservation.upstream.hall):
            reason = SpillReason.PAIR
        else:
            reason = find_reason(self._list_usable(), upstream.phase, self.request.list_full(), is_near)
        self.core.tally.count("spills_total", reason.name.lower())
        self.write_log("spilled", to=upstream.id, hall=upstream.hall, phase=upstream.phase.value, reason=reason.value)

    def _send(self, send: Send, now: float) -> None:
        if self.limit - now < LEAST_TIME:
            self._run_out()
            return
        request = self.request
        standing = self.core.stats.get(send.upstream.id)
        self.write_log(
            "sent",
            fingerprint=self.fingerprint.hex(),
            stage=send.stage.value,
            to=send.upstream.id,
            revision=self.core.listing.newest,
            version=self.core.version,
            running=standing.running,
            others=round(standing.count_others(now), 1),
            faults=round(standing.get_faults(now), 2),
            **self.core.announcements.describe_limit(send.upstream.incarnation),
        )
        if request.split and send.stage is not Stage.PREFILL:
            self.note_memory()
        self._cold_since = None
        attempt = self._make_attempt(send)
        if send.reservation is not None:
            attempt.permit, self._permit = self._permit, None
        if attempt.permit is None:
            attempt.permit = self.core.eligibility.take_permit(send.upstream, request.service.cold, now)
        self._attempt = attempt
        most_idle = 1e9 if request.route.idempotent or send.stage is Stage.PREFILL else FRESH_IDLE
        attempt.start(self._make_call(send, now), most_idle)

    def _wait_in_line(self) -> None:
        """Wait for decode memory behind those that came before, or give up at once where too many wait."""
        now = self.core.clock.now()
        in_time = self.request.route.target_latency * IN_TIME_SHARE
        line = self._line
        if Mechanism.MEMORY_QUEUE in self.core.disabled and not self.request.begun:
            self._carry_out(self.request.refuse_full())
            return
        if not self._in_line:
            self.core.get_demand(self.request.service.name).note_wait(now)
        began_to_wait = self.request.displaced or self.request.doubt or self._cold_since is not None
        owed = self._returns or self.request.begun or began_to_wait
        if not self._in_line and not owed and not line.has_room(in_time, now):
            displaced = line.find_displaced(self._claim, now)
            if displaced is not None and displaced.has_attempt:
                displaced = None  # memory may be granted to it at this moment
            self.write_log(
                "line is full",
                waiting=len(line),
                freed_per_second=line.count_rate(now),
                workspace=self._claim.workspace,
                goes_before=displaced is not None,
            )
            if displaced is None:
                self._carry_out(self.request.refuse_full())
                return
            displaced.give_way(self._claim)
        if not self._in_line:
            self._in_line = True
            self.request.note_waiting(now)
            self.write_log(
                "waits", waiting=len(line), freed_per_second=line.count_rate(now), workspace=self._claim.workspace
            )
        late_at = self._incoming.arrived + in_time
        place = PlaceTerms(late_at, now + self.request.longest_wait, owed, self._claim)
        self.core.memory_queues.wait(self, LineKey(self.request.service.name, self.request.regions), place)

    @property
    def has_attempt(self) -> bool:
        """Tell whether something is being asked of an upstream for the request."""
        return self._attempt is not None

    def give_way(self, claim: Claim) -> None:
        """Leave the line to a request of a workspace that was served less."""
        self.core.tally.count("line_displaced_total")
        self.write_log("gives way", workspace=self._claim.workspace, to=claim.workspace)
        self._carry_out(self.request.refuse_full())

    def _reserve(self, step: Reserve) -> None:
        self._drop_permit()
        now = self.core.clock.now()
        self._permit = self.core.eligibility.take_permit(step.upstream, self.request.service.cold, now)
        if self.core.eligibility.limits.find(step.upstream.incarnation) is not None:
            self._rely_on_permit(step)
            return
        attempt = ReserveAttempt(self, step)
        self._attempt = attempt
        attempt.start(self.core.dialect.make_reserve_call(step.upstream, step.tokens, step.lifetime))

    def _rely_on_permit(self, step: Reserve) -> None:
        """Go on without asking an engine for memory that names a limit: the call would cost one stream of two.

        It gets few requests, so it mostly has memory; where it has none it turns the stream away.
        """
        self.leave_line()
        self.note_memory()
        self.request.note_reserved(Reservation(None, step.upstream, self.limit))
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
            time_left=self.limit - now,
            handle=send.handle,
            reservation=send.reservation,
            last_event=last_event,
            strips_credentials=self._admitted.keyed,
            workspace=self._admitted.workspace,
        )
        headers = self.core.dialect.write_request(self._passed_on, terms)
        return Call(self._incoming.method, self._incoming.target, headers, self._incoming.body)

    @property
    def limit(self) -> float:
        """Return the time at which the request is given up."""
        limit = self._incoming.arrived + self.request.route.timeout
        time_left = self.request.facts.time_left
        if time_left is not None:
            limit = min(limit, self._incoming.arrived + time_left - ANSWER_MARGIN)
        return limit

    # --- ends --------------------------------------------------------------------------------------------------------

    def pass_on(self, answer: WholeAnswer) -> None:
        """Send an upstream's whole answer to the caller."""
        self.write_log("answered", status=answer.head.status, seconds=self.count_seconds())
        self._note_end(f"upstream_{answer.head.status // 100}xx")
        self._responder.send_whole(answer.head.status, strip_hop_by_hop(answer.head.headers), answer.body)
        self._end()

    def begin_answer(self, head: Head) -> None:
        """Send the head of a stream."""
        self._first_event = self.count_seconds()
        self.core.tally.note_latency("first_event", self.request.route.kind.value, self._first_event)
        self._responder.begin(head.status, strip_hop_by_hop(head.headers))

    def pass_events(self, data: bytes) -> None:
        """Send whole events."""
        now = self.core.clock.now()
        if self._events_at is not None:
            self._longest_gap = max(self._longest_gap, now - self._events_at)
        self._events_at = now
        self._responder.write(data)

    def end_answer(self) -> None:
        """Say that a stream is whole."""
        self.write_log(
            "answered",
            status=200,
            last_event=self.request.last_event,
            seconds=self.count_seconds(),
            first_event=self._first_event,
            longest_gap=round(self._longest_gap, 3),
        )
        self._note_end("upstream_2xx")
        self._responder.end()
        self._end()

    def keep_failure(self, answer: WholeAnswer) -> None:
        """Keep an upstream's own failure, for the caller in case that nobody does better."""
        if self.request.route.idempotent or answer.head.status not in PROMISES:
            self._failure = answer

    def _wait_or_end(self, step: Refuse | Fail) -> None:
        """End the request, unless a cold upstream is all that is missing and has room while that is in time."""
        wait = self._find_cold_wait(step)
        if wait is None:
            self._give_up(step)
            return
        now = self.core.clock.now()
        is_first = self._cold_since is None
        if is_first:
            self._cold_since = now
        if now + wait < self._find_cold_limit():
            if is_first:
                self.core.tally.count("cold_waits_total")
                self.write_log("waits for a cold upstream", seconds=round(wait, 3))
            self.leave_line()  # whom another upstream may serve is not held up behind it
            self._stop_cold_timer()
            self._cold_timer = self.core.clock.call_later(max(wait, SHORTEST_COLD_WAIT) + COLD_MARGIN, self.advance)
            return
        self.core.tally.count("cold_refusals_total")
        if isinstance(step, Fail):
            self._fail(step)
            return
        longest = LONGEST_RETRY_SHARE * max(0.0, self.limit - now)
        soon = RETRY_AFTER_SHARE * self.request.route.target_latency if self.core.vm_count > 1 else wait
        back = min(wait, longest, soon)  # the next try reaches another VM, which may have room before this one
        self._answer(503, "its upstreams are cold", round(max(SHORTEST_RETRY, back), 2))

    def _find_cold_wait(self, step: Refuse | Fail) -> float | None:
        """Return the seconds until a cold upstream has room, None where that would not help."""
        if not step.lacks_upstream or (isinstance(step, Refuse) and step.retry_after is not None):
            return None
        return self.core.compute_cold_wait(self.request.service.name, self.request.regions, self.request.tried)

    def _give_up(self, step: Refuse | Fail) -> None:
        if isinstance(step, Fail):
            self._fail(step)
        elif step.earlier_is_vain:
            self._answer(503, step.reason, step.retry_after)
        else:
            self._refuse(step.reason, full=step.full, retry_after=step.retry_after)

    def _find_cold_limit(self) -> float:
        """Return until when the request may wait for a cold upstream, so that its answer, or next event, is in time."""
        if self.request.begun and self._cold_since is not None:
            return self._cold_since + self.request.longest_wait
        return self._incoming.arrived + IN_TIME_SHARE * self.request.route.target_latency

    def _stop_cold_timer(self) -> None:
        timer, self._cold_timer = self._cold_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _refuse(self, reason: str, *, full: bool = False, retry_after: float | None = None) -> None:
        if retry_after is not None:
            retry_after = min(retry_after, LONGEST_RETRY_SHARE * max(0.0, self.limit - self.core.clock.now()))
        else:
            retry_after = self._predict_memory() if full else RETRY_AFTER_SHARE * self.request.route.target_latency
        self._answer(503, reason, round(max(SHORTEST_RETRY, retry_after), 2))

    def _predict_memory(self) -> float:
        """Return after how many seconds there should be decode memory: by then the streams of now have ended."""
        now = self.core.clock.now()
        residence = self.core.get_demand(self.request.service.name).find_residence(now)
        time_left = self.limit - now
        return min(residence * random.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD), LONGEST_RETRY_SHARE * time_left)

    def _fail(self, step: Fail) -> None:
        if self._failure is not None and not self._responder.begun:
            self.pass_on(self._failure)
        else:
            self._answer(NO_SIGNATURE_STATUS, step.reason, None)

    def _run_out(self) -> None:
        self._timer = None
        if self.request.doubt:
            self._answer(TIMED_OUT_STATUS, "the time is over", None)
        else:
            self._refuse("the time is over")

    def _answer(self, status: int, reason: str, retry_after: float | None) -> None:
        if self._ended:
            return
        self.write_log(
            "broken off" if self._responder.begun else "given up",
            status=status,
            reason=reason,
            doubt=self.request.doubt,
            sends=self.request.sends,
            seconds=self.count_seconds(),
        )
        self._note_end(f"own_{status}")
        self._stop_attempt()
        if self._responder.begun:
            self._responder.abort()
        else:
            send_error(self._responder, status, reason, retry_after)
        self._end()

    def cut(self, reason: str) -> None:
        """Give the request up at once, as at the end of a planned stop."""
        if self.request.doubt:
            self._answer(NO_SIGNATURE_STATUS, reason, None)
        else:
            self._refuse(reason)

    def _end(self) -> None:
        self._ended = True
        self._stop_timer()
        self._stop_cold_timer()
        self._stop_attempt()
        self._drop_permit()
        self.leave_line()
        if self._memory_since is not None:
            self.core.get_demand(self.request.service.name).end_stream(self._memory_since, self.core.clock.now())
        self._give_back()
        if not self.request.doubt:
            self.core.admission.give_back(self._admitted, self.core.clock.now())
        self.core.exchanges.discard(self)

    def _note_end(self, label: str) -> None:
        self.core.tally.count("requests_total", label)
        self.core.tally.note_latency("request", self.request.route.kind.value, self.count_seconds())

    def _stop_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel()

    def _give_back(self) -> None:
        """Free what engines hold for a request that has ended."""
        request = self.request
        if request.handle is not None:
            self._call(request.handle.upstream, self.core.dialect.make_release_call(request.handle))
            request.note_handle_spent()
        if request.reservation is not None:
            self._free_memory(request.reservation)
            request.reservation = None

    def _free_memory(self, held: Reservation) -> None:
        if held.id is not None:
            self._call(held.upstream, self.core.dialect.make_unreserve_call(held))

    def _call(self, upstream: Upstream, call: Call) -> None:
        """Give something back, unless nothing may go there now: it lapses by itself.

        Its hall may be emptied, it may rest, or have no room by its limit, in which such a call counts as any other.
        """
        eligibility = self.core.eligibility
        now = self.core.clock.now()
        resting = eligibility.rests.is_resting(upstream.incarnation, now)
        if resting or eligibility.evacuations.is_emptied(upstream.hall):
            return
        if not eligibility.limits.may_be_sent(upstream, now):
            return
        eligibility.limits.spend(upstream.incarnation, now)
        self.write_log("given back", target=call.target, to=upstream.id)
        self.core.client.open(upstream.address, call, AnnouncementSink(self.core.announcements, upstream))

    # --- what an attempt tells ---------------------------------------------------------------------------------------

    def go_on_elsewhere(self, attempt: Attempt | ReserveAttempt) -> None:
        """Plan again behind an attempt that came to nothing."""
        if self._attempt is attempt:
            self._attempt = None
        self.advance()

    def write_log(self, event: str, **fields: object) -> None:
        """Write a line about this request."""
        self.core.journal.write("RELAY", event, request=self.request.facts.id, route=self.request.route.name, **fields)

    def leave_line(self) -> None:
        """Wait no longer: there is decode memory, or the request has ended."""
        if self._in_line:
            self._in_line = False
            self._line.leave(self)

    def note_memory(self) -> None:
        """Note that the request has decode memory from now on, until its end."""
        if self._memory_since is None:
            self._memory_since = self.core.clock.now()
            self.core.get_demand(self.request.service.name).begin_stream(self._memory_since)
            self.core.memory_queues.find(self.request.service.name).note_served(self._claim, self._memory_since)

    def note_first_event(self) -> None:
        """Learn how long decode memory is held before the first event."""
        if self._memory_since is not None and not self.request.begun:
            seconds = self.core.clock.now() - self._memory_since
            self.core.get_demand(self.request.service.name).note_first_event(seconds)

    @property
    def hall(self) -> str | None:
        """Return the hall of the upstream that is at work on the request, None where none is."""
        return None if self._attempt is None else self._attempt.upstream.hall

    def count_seconds(self) -> float:
        """Return the seconds since the request arrived."""
        return round(self.core.clock.now() - self._incoming.arrived, 4)

    # --- what the caller and the operators do ------------------------------------------------------------------------

    def lose_caller(self) -> None:
        """Stop all work for a caller that is gone."""
        if self._ended:
            return
        self.write_log("caller gone", begun=self._responder.begun, seconds=self.count_seconds())
        self._note_end("caller_gone")
        self._end()

    def pause(self) -> None:
        """Hold the upstream up while the caller reads too slowly."""
        if self._attempt is not None:
            self._attempt.pause()

    def go_on(self) -> None:
        """Let the upstream go on."""
        if self._attempt is not None:
            self._attempt.go_on()

    def take_table(self, table: RoutingTable) -> None:
        """Take the times and regions of a new configuration for a request that is under way."""
        route = table.find_route(self._incoming.host, self._incoming.path)
        if route is None or self._ended:
            return
        self._take_regions(
            table.get_allowed_regions(route, self._admitted.workspace, self.request.regions), table.version
        )
        if self._ended or route.timeout == self.request.route.timeout:
            return
        self.write_log("timeout changed", timeout=route.timeout, version=table.version)
        self.request.take_route(route)
        self._set_timer()

    def _take_regions(self, regions: Regions, version: int) -> None:
        """Take new bounds: what is held elsewhere is given back, a run under way ends in place."""
        if regions == self.request.regions:
            return
        self.write_log("regions changed", regions=None if regions is None else sorted(regions), version=version)
        waited = self._in_line
        self.leave_line()
        self.request.take_regions(regions)
        if self._is_unsent_elsewhere(regions):
            self._stop_attempt()
            waited = True
        if self._attempt is None or self._reads_apart:
            self._let_go_of_shut()  # else the plan behind the attempt does it: what is held may be in use by now
        if waited:
            self.advance()

    @property
    def _reads_apart(self) -> bool:
        """Tell whether a prefill engine reads the prompt, so that nothing else that is held is in use."""
        return isinstance(self._attempt, Attempt) and self._attempt.send.stage is Stage.PREFILL

    def _is_unsent_elsewhere(self, regions: Regions) -> bool:
        """Tell whether a send to a region that is not allowed is about to be written, as its connection comes up."""
        attempt = self._attempt
        if not isinstance(attempt, Attempt) or attempt.sent:
            return False
        return not self.core.eligibility.lies_in(attempt.send.upstream, regions)

    def _set_timer(self) -> None:
        self._stop_timer()
        left = self.limit - self.core.clock.now()
        self._timer = self.core.clock.call_later(max(0.0, left), self._run_out)

    def _stop_timer(self) -> None:
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

"""Stand-ins for replicas of a plain service and for model engines, with injected faults."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

from beamhatch.ordered_set import OrderedSet
from beamhatch.platform.standin.base import StandIn, read_headers, send_json
from beamhatch.relay.callers.http_server import IncomingRequest, RequestHandler, Responder

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.relay.model import Address


NOT_EXECUTED = ("Not-Executed", "1")
"""Header of a response to a request that was not run."""


class UpstreamFault(Enum):
    """Injected faults of an upstream."""

    NONE = "none"
    SHED = "shed"
    """Reject all requests with 503 and ``Not-Executed``."""
    ERROR = "error"
    """Run requests, but respond with 500."""
    HANG = "hang"
    """Run requests without responding."""
    TRUNCATED = "cut"
    """Run requests, but abort the connection within the response."""
    UNCONFIRMED = "unproved"
    """Run requests, but respond with 503 without ``Not-Executed``."""
    UNSIGNED = "unsigned"
    """Respond with 200 without ``Response-Signature``."""
    MISMATCHED = "foreign"
    """Send a response to another request once, before the actual response."""
    SKIP = "skip"
    """Omit an event of each stream."""


@dataclass(frozen=True, slots=True)
class Order:
    """A received order to change the phase."""

    at: float
    holder: str
    token: int
    phase: str


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of an upstream caused by a request."""

    at: float
    upstream: str
    request: str
    target: str
    part: str = ""
    """The prompt part that caused it, if any."""


@dataclass(slots=True)
class Ledger:
    """A record of what all upstreams of a test received and did."""

    arrivals: Counter[str] = field(default_factory=Counter)
    """Number of sends by request ID, including rejected ones."""
    runs: Counter[str] = field(default_factory=Counter)
    """Number of runs by request ID."""
    prefilled: Counter[str] = field(default_factory=Counter)
    """Number of completed prefills by request ID."""
    cancelled: Counter[str] = field(default_factory=Counter)
    """Number of runs by request ID that ended because the caller disconnected."""
    bodies: dict[str, bytes] = field(default_factory=dict)
    headers: dict[str, dict[str, str]] = field(default_factory=dict)
    """Headers of the last send by request ID and lower-case name."""
    deadlines: list[int] = field(default_factory=list)
    """Deadline of each send in milliseconds."""
    orders: list[Order] = field(default_factory=list)
    handles: dict[str, str] = field(default_factory=dict)
    """Request ID of each KV cache by ``ADDRESS/ID``."""
    crash_inducing: set[str] = field(default_factory=set)
    """Targets of requests that crash each upstream that runs them."""
    crash_inducing_parts: dict[str, str | None] = field(default_factory=dict)
    """Prompt parts that crash each engine that starts a stream with them, with the version concerned; None for all."""
    part_sends: list[tuple[float, str]] = field(default_factory=list)
    """Arrival time in monotonic seconds of each request with a crash-inducing part, and the part."""
    crashes: list[Crash] = field(default_factory=list)
    event_versions: dict[str, dict[int, str]] = field(default_factory=dict)
    """Software version that last sent each event, by request ID and event number."""
    sends: list[tuple[float, str]] = field(default_factory=list)
    """Arrival time in monotonic seconds and target of each send."""


class Run(RequestHandler):
    """A request in progress at an upstream."""

    def __init__(self, upstream: StandInUpstream, request: str) -> None:
        self.upstream = upstream
        self.request = request
        self.timers: list[Any] = []
        self.tokens = 0
        """Tokens of KV memory in use until the run ends."""
        self.ended = False
        self.has_begun = True
        """Whether any output was made; False until then for a stream."""
        upstream.runs.add(self)

    def handle_caller_lost(self) -> None:
        """End the run and record that it was cancelled, once the upstream notices."""
        self.upstream.call_when_running(self._cancel)

    def _cancel(self) -> None:
        if not self.ended:
            self.upstream.ledger.cancelled[self.request] += 1
        self.end()

    def pause(self) -> None:
        """Do nothing, as the transport buffers writes."""

    def resume(self) -> None:
        """Do nothing, as writes are never paused."""

    def schedule(self, seconds: float, function: Any) -> None:
        """Call a function after a delay, or when a pause of the upstream ends, unless the run ends first."""

        def call() -> None:
            if self.upstream.pause_left_s:
                self.schedule(self.upstream.pause_left_s, function)
            else:
                function()

        self.timers.append(self.upstream.clock.call_later(seconds, call))

    def end(self) -> None:
        """End the run, release its memory and cancel its timers."""
        if self.ended:
            return
        self.ended = True
        self.upstream.runs.discard(self)
        self.upstream.running -= 1
        self.upstream.used_tokens -= self.tokens
        for timer in self.timers:
            if timer.active():
                timer.cancel()


class DeferredRequest(RequestHandler):
    """A request that arrived during a pause of the upstream, which reads it when the pause ends."""

    def __init__(self, upstream: StandInUpstream, incoming: IncomingRequest, responder: Responder) -> None:
        self._handler: RequestHandler | None = None
        self._is_lost = False
        self._ends = upstream.ends
        upstream.call_when_running(lambda: self._serve(upstream, incoming, responder))

    def _serve(self, upstream: StandInUpstream, incoming: IncomingRequest, responder: Responder) -> None:
        if not self._is_lost and self._ends == upstream.ends:
            self._handler = upstream.serve(incoming, responder)

    def handle_caller_lost(self) -> None:
        """Drop the request, or cancel its run."""
        self._is_lost = True
        if self._handler is not None:
            self._handler.handle_caller_lost()

    def pause(self) -> None:
        """Do nothing, as the transport buffers writes."""

    def resume(self) -> None:
        """Do nothing, as writes are never paused."""


class StandInUpstream(StandIn):
    """A replica of a plain service."""

    service_time_s = 0.05
    """Time to process one request."""
    crash_delay_s = 0.1
    """Time from the start of a crash-inducing request to the crash."""
    restart_time_s = 2.5
    """Time from a crash to the restart."""

    def __init__(self, clock: Clock, address: Address, instance: str, ledger: Ledger) -> None:
        super().__init__(clock, address)
        self.instance = instance
        self.born = int(1000 * clock.now())
        """Start time in milliseconds of the upstream's own clock, whose epoch is arbitrary."""
        self.version = "v1"
        """Software version in its entry."""
        self.runs: OrderedSet[Run] = OrderedSet()
        self._restart_timer: Any = None
        self.on_restart: Callable[[], None] = lambda: None
        """Called after a restart, to register the new incarnation."""
        self.ledger = ledger
        self.fault = UpstreamFault.NONE
        self.request_times: list[float] = []
        """Arrival time of each request in monotonic seconds."""
        self.cold_left_s = 0.0
        """Remaining cold time in its entry."""
        self.running = 0
        self.used_tokens = 0
        """Tokens of runs in progress."""
        self.call_times: list[float] = []
        """Arrival time of each call in monotonic seconds, including calls that reserve or free memory."""
        self.leaving = False
        """Whether responses announce its departure."""
        self.retry_after = ""
        """Value of ``Retry-After`` in 503 responses; empty to omit it."""
        self.limit = ""
        """Announced limit in requests per second from all VMs together; empty to announce none."""
        self.backoff_times: list[float] = []
        """When it requested a back-off, in monotonic seconds."""
        self._paused_until = 0.0
        self.ends = 0
        """Number of times that its process has ended."""

    def pause_for(self, seconds: float) -> None:
        """Process nothing for some seconds, but keep connections, runs and memory, and then continue."""
        self._paused_until = self.clock.now() + seconds

    @property
    def pause_left_s(self) -> float:
        """Return the seconds until a pause ends, 0 without one."""
        return max(0.0, self._paused_until - self.clock.now())

    def call_when_running(self, function: Callable[[], None]) -> None:
        """Call a function now, or when a pause ends."""
        if self.pause_left_s:
            self.clock.call_later(self.pause_left_s, self.call_when_running, function)
        else:
            function()

    def make_entry(self, service: str, hall: str, state: str = "ready") -> dict[str, object]:
        """Return the entry for the store."""
        return {
            "service": service,
            "address": str(self.address),
            "zone": hall,
            "version": self.version,
            "capacity": 6,
            "state": state,
            "cold_remaining_ms": 1000 * self.cold_left_s,
            "sequence": 0,
            "born": self.born,
        }

    @property
    def calls(self) -> int:
        """Return the number of calls received so far."""
        return len(self.call_times)

    def make_state_headers(self, status: int = 200) -> list[tuple[str, str]]:
        """Return the headers that announce a departure, limit or back-off, and record the time of a back-off."""
        headers = [("Server-Leaving", "1")] if self.leaving else []
        if self.limit:
            headers.append(("Server-Limit", self.limit))
        if status == 503 and self.retry_after:
            self.backoff_times.append(self.clock.now())
            headers.append(("Retry-After", self.retry_after))
        return headers

    def send_response(self, responder: Responder, status: int, value: object, *headers: tuple[str, str]) -> None:
        """Send a JSON response with the state headers."""
        send_json(responder, status, value, *headers, *self.make_state_headers(status))

    def refuse(self, responder: Responder, request: str, status: int, *headers: tuple[str, str]) -> None:
        """Reject a request, whose ID the response repeats if there is one."""
        named = (("Request-Id", request),) if request else ()
        self.send_response(responder, status, {}, *named, *headers)

    def end(self) -> None:
        """End the process with all its runs, and do not restart it."""
        if self._restart_timer is not None and self._restart_timer.active():
            self._restart_timer.cancel()
        self.ends += 1
        self._paused_until = 0.0
        self.stop()
        for run in list(self.runs):
            run.end()

    def crash(self) -> None:
        """Crash, ending all runs, and restart after ``restart_time_s``."""
        self.end()
        self._restart_timer = self.clock.call_later(self.restart_time_s, self._restart)

    def _restart(self) -> None:
        self.born = int(1000 * self.clock.now())
        self.start()
        self.on_restart()

    def crash_on_request(self, request: str, target: str, part: str = "") -> None:
        """Crash and record the request that caused it."""
        self.ledger.crashes.append(Crash(self.clock.now(), self.instance, request, target, part))
        self.crash()

    def find_crash_inducing_part(self, headers: dict[str, str]) -> str:
        """Return the part of a prompt that crashes this upstream, or an empty text; the last part never does."""
        parts = [part.strip().partition(":")[0] for part in headers.get("prompt-prefix", "").split(",")[:-1]]
        deadly = self.ledger.crash_inducing_parts
        return next((part for part in parts if part in deadly and deadly[part] in (None, self.version)), "")

    def serve(self, incoming: IncomingRequest, responder: Responder) -> RequestHandler | None:
        """Handle one request."""
        if self.pause_left_s:
            return DeferredRequest(self, incoming, responder)
        self.call_times.append(self.clock.now())
        headers = read_headers(incoming)
        request = headers.get("request-id", "")
        if headers.get("expect-instance", self.instance) != self.instance:
            self.refuse(responder, request, 421, ("Instance-Id", self.instance))
            return None
        if request:
            self.ledger.arrivals[request] += 1
            self.ledger.sends.append((self.clock.now(), incoming.target))
            self.request_times.append(self.clock.now())
            self.ledger.bodies[request] = incoming.body
            self.ledger.headers[request] = headers
            self.ledger.deadlines.append(int(headers.get("deadline-ms", 0)))
            if part := self.find_crash_inducing_part(headers):
                self.ledger.part_sends.append((self.clock.now(), part))
        if self.fault is UpstreamFault.SHED:
            self.refuse(responder, request, 503, NOT_EXECUTED)
            return None
        return self.process(incoming, headers, request, responder)

    def process(
        self, incoming: IncomingRequest, headers: dict[str, str], request: str, responder: Responder
    ) -> RequestHandler | None:
        """Run a request that was not rejected."""
        run = self.start_run(request)
        if incoming.target in self.ledger.crash_inducing:
            run.schedule(self.crash_delay_s, lambda: self.crash_on_request(request, incoming.target))
            return run
        run.schedule(
            self.service_time_s,
            lambda: self._finish_run(run, responder, f"{incoming.method} {incoming.target} ".encode()),
        )
        return run

    def start_run(self, request: str) -> Run:
        """Start and count a run."""
        self.ledger.runs[request] += 1
        self.running += 1
        return Run(self, request)

    def make_response_headers(self, request: str) -> list[tuple[str, str]]:
        """Return the headers of a response to a request that was run."""
        headers = [("Request-Id", request), ("Server-Load", f"{self.running},0,6")]
        if self.fault is not UpstreamFault.UNSIGNED:
            headers.append(("Response-Signature", f"{self.instance}.{request}"))
        return headers + self.make_state_headers()

    def _finish_run(self, run: Run, responder: Responder, text: bytes) -> None:
        if self.fault is UpstreamFault.HANG:
            return
        run.end()
        status = {UpstreamFault.ERROR: 500, UpstreamFault.UNCONFIRMED: 503}.get(self.fault, 200)
        body = text + run.request.encode()
        if self.fault is UpstreamFault.TRUNCATED:
            responder.send_head(200, self.make_response_headers(run.request))
            responder.write(body[:4])
            responder.abort()
            return
        if self.fault is UpstreamFault.MISMATCHED:
            self.fault = UpstreamFault.NONE
            responder.send_unsolicited(200, [("Request-Id", "another"), ("Response-Signature", "x")], b"not yours")
        responder.send_response(status, self.make_response_headers(run.request), body)


class StandInEngine(StandInUpstream):
    """A prefill or decode engine with KV memory counted in tokens."""

    event_interval_s = 0.03
    """Interval between events of a stream."""
    prefill_rate = 50_000.0
    """Prompt tokens per second."""
    prefills_serially = False
    """Whether prompts are processed one at a time, by decode engines at half the prefill rate."""
    handle_ttl_s = 0.5
    answers_calls_while_paused = False
    """Whether calls that reserve or release memory are answered during a pause."""
    reservation_delay_s = 0.0
    """Delay of the response to a reservation."""
    padding_bytes = 0
    """Padding added to each event."""
    transfer_time_s = 0.0
    """Time to fetch a KV cache from another engine."""
    phase_change_time_s = 6.0
    """Duration of an ordered phase change once all runs have ended."""

    def __init__(
        self, clock: Clock, address: Address, instance: str, ledger: Ledger, phase: str, kv_tokens: int = 60_000
    ) -> None:
        super().__init__(clock, address, instance, ledger)
        self.phase = phase
        self.kv_tokens = kv_tokens
        self.reserved_tokens: dict[str, int] = {}
        """Reserved tokens by reservation ID."""
        self.cut_after: int | None = None
        """Number of the last event before streams are truncated; None to complete them."""
        self.on_phase_change: Callable[[], None] = lambda: None
        """Called after an ordered phase change."""
        self.drops_next_order = False
        """Whether the next order gets no response; ``apply_dropped_order`` applies it later."""
        self._dropped_order: str | None = None
        self.pending_phase: str | None = None
        """Phase to change to once all runs have ended; new requests are rejected until the change is done."""
        self._phase_timer: Any = None
        self._last_id = 0
        self._prefill_end = 0.0

    events_before_crash = 0
    """Number of events of a crash-inducing request that are sent before the crash."""
    responds_before_crash = True
    """Whether the response to a crash-inducing request starts before the crash."""

    def crash(self) -> None:
        """Crash, discarding all reservations and a pending phase change."""
        self.reserved_tokens.clear()
        self.pending_phase = None
        if self._phase_timer is not None and self._phase_timer.active():
            self._phase_timer.cancel()
        super().crash()

    def make_entry(self, service: str, hall: str, state: str = "ready") -> dict[str, object]:
        """Return the entry for the store."""
        return {**super().make_entry(service, hall, state), "phase": self.phase, "capacity": 128, "models": []}

    def serve(self, incoming: IncomingRequest, responder: Responder) -> RequestHandler | None:
        """Handle a request or an API call."""
        is_call = incoming.path.startswith("/api/")
        if self.pause_left_s and not (is_call and self.answers_calls_while_paused):
            return DeferredRequest(self, incoming, responder)
        if not is_call:
            return super().serve(incoming, responder)
        self.call_times.append(self.clock.now())
        name, _, rest = incoming.path.removeprefix("/api/").partition("/")
        if name == "hold-take":
            self._reserve(json.loads(incoming.body), responder)
        elif name == "hold-drop":
            self._release(rest)
            self.send_response(responder, 200, {})
        elif name == "order":
            order = json.loads(incoming.body)
            self.ledger.orders.append(Order(self.clock.now(), order["holder"], order["fencing_token"], order["phase"]))
            self._handle_order(order["phase"], responder)
        elif name == "kv-handle":
            self.ledger.handles.pop(f"{self.address}/{rest}", None)
            self.send_response(responder, 200, {})
        else:
            self.send_response(responder, 404, {})
        return None

    def apply_dropped_order(self) -> None:
        """Apply the order that got no response."""
        assert self._dropped_order is not None
        self.pending_phase, self._dropped_order = self._dropped_order, None
        self._wait_until_idle()

    def _handle_order(self, phase: str, responder: Responder) -> None:
        if self.drops_next_order:
            self.drops_next_order = False
            self._dropped_order = phase
            return
        if self.pending_phase is not None:
            self.send_response(responder, 409, {})
            return
        self.pending_phase = phase
        self.send_response(responder, 202, {})
        self._wait_until_idle()

    def _wait_until_idle(self) -> None:
        if self.running:
            self._phase_timer = self.clock.call_later(0.05, self._wait_until_idle)
        else:
            self._phase_timer = self.clock.call_later(self.phase_change_time_s, self._change_phase)

    def _change_phase(self) -> None:
        assert self.pending_phase is not None
        self.phase, self.pending_phase = self.pending_phase, None
        self.on_phase_change()

    @property
    def free_tokens(self) -> int:
        """Return the number of tokens neither used nor reserved."""
        return self.kv_tokens - self.used_tokens - sum(self.reserved_tokens.values())

    def _reserve(self, asked: dict[str, int], responder: Responder) -> None:
        if self.fault is UpstreamFault.HANG:
            return
        if asked["tokens"] > self.free_tokens:
            self.send_response(responder, 503, {}, NOT_EXECUTED)
            return
        self._last_id += 1
        hold = f"h{self._last_id}"
        self.reserved_tokens[hold] = asked["tokens"]
        self.clock.call_later(asked["ttl_ms"] / 1000, self._release, hold)
        self.clock.call_later(
            self.reservation_delay_s,
            self._call_when_answering,
            lambda: self.send_response(responder, 200, {"hold": hold}),
        )

    def _call_when_answering(self, function: Callable[[], None]) -> None:
        if self.answers_calls_while_paused:
            function()
        else:
            self.call_when_running(function)

    def _release(self, hold: str) -> None:
        self.reserved_tokens.pop(hold, None)

    def process(
        self, incoming: IncomingRequest, headers: dict[str, str], request: str, responder: Responder
    ) -> RequestHandler | None:
        """Prefill a prompt or stream output."""
        if self.pending_phase is not None:
            self.refuse(responder, request, 503, NOT_EXECUTED)
            return None
        prompt, output = (int(word) for word in headers["token-count"].split(","))
        if (headers.get("stage") == "prefill") != (self.phase == "prefill"):
            self.refuse(responder, request, 421)
            return None
        if self.phase == "prefill":
            return self._prefill(request, prompt, responder)
        source = headers.get("cache-source")
        if source is not None and self.ledger.handles.pop(source, None) != request:
            self.refuse(responder, request, 503, NOT_EXECUTED)
            return None
        self._release(headers.get("cache-hold", ""))
        if prompt > self.free_tokens:
            self.refuse(responder, request, 503, NOT_EXECUTED)
            return None
        first = self.event_interval_s if source is None else self.event_interval_s + self.transfer_time_s
        if source is None and self.prefills_serially:
            first += self._schedule_prefill(2 * prompt / self.prefill_rate)
        part = self.find_crash_inducing_part(headers)
        if part or incoming.target in self.ledger.crash_inducing:
            run = self.start_run(request)
            if self.responds_before_crash:
                responder.send_head(200, [("Content-Type", "text/event-stream"), *self.make_response_headers(request)])
                begun = int(headers.get("last-event-id", 0)) + 1
                for number in range(begun, begun + self.events_before_crash):
                    responder.write(f"id: {number}\ndata: {request}-{number}\n\n".encode())
            run.schedule(self.crash_delay_s, lambda: self.crash_on_request(request, incoming.target, part))
            return run
        return self._stream(request, prompt, output, int(headers.get("last-event-id", 0)), first, responder)

    def _prefill(self, request: str, prompt: int, responder: Responder) -> RequestHandler:
        self.running += 1
        run = Run(self, request)

        def end() -> None:
            if self.fault is UpstreamFault.HANG:
                return
            run.end()
            self.ledger.prefilled[request] += 1
            self._last_id += 1
            handle = f"k{self._last_id}"
            key = f"{self.address}/{handle}"
            self.ledger.handles[key] = request
            self.clock.call_later(self.handle_ttl_s, self.ledger.handles.pop, key, None)
            self.send_response(
                responder, 200, {"kv_handle": handle, "tokens": prompt, "version": 1}, ("Request-Id", request)
            )

        run.schedule(self._schedule_prefill(prompt / self.prefill_rate), end)
        return run

    def _schedule_prefill(self, seconds: float) -> float:
        """Return the seconds until a prefill that takes ``seconds`` will end."""
        if not self.prefills_serially:
            return seconds
        now = self.clock.now()
        self._prefill_end = max(now, self._prefill_end) + seconds
        return self._prefill_end - now

    def _stream(
        self, request: str, prompt: int, events: int, after: int, first: float, responder: Responder
    ) -> RequestHandler:
        run = self.start_run(request)
        run.has_begun = False
        run.tokens = prompt
        self.used_tokens += prompt
        number = after

        def step() -> None:
            nonlocal number
            if self.fault is UpstreamFault.HANG:
                return
            number += 1
            run.has_begun = True
            if number == after + 1:
                responder.send_head(200, [("Content-Type", "text/event-stream"), *self.make_response_headers(request)])
            if self.fault is UpstreamFault.SKIP and number == after + 3:
                number += 1
            if self.cut_after is not None and number > self.cut_after:
                responder.write(f"id: {number}\nda".encode())
                run.end()
                responder.abort()
                return
            self.ledger.event_versions.setdefault(request, {})[number] = self.version
            padding = "." * self.padding_bytes
            responder.write(f"id: {number}\ndata: {self.version}/{request}-{number}{padding}\n\n".encode())
            if number >= events:
                run.end()
                responder.end()
            else:
                run.schedule(self.event_interval_s, step)

        run.schedule(first, step)
        return run

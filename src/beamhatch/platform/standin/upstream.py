"""Stand-ins of a plain service and of a model engine, with the faults that upstreams show."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

from beamhatch.platform.standin.base import StandIn, read_headers, send_json
from beamhatch.relay.callers.http_server import IncomingRequest, RequestHandler, Responder

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.relay.model import Address


class UpstreamFault(Enum):
    """What is wrong with an upstream."""

    NONE = "none"
    SHED = "shed"
    """It turns all requests away, with proof."""
    ERROR = "error"
    """It runs requests, and answers 500."""
    HANG = "hang"
    """It runs requests, and answers nothing."""
    TRUNCATED = "cut"
    """It runs requests, and resets the connection inside the answer."""
    UNCONFIRMED = "unproved"
    """It answers 503 without proof that it has not run the request."""
    UNSIGNED = "unsigned"
    """It answers 200 without its signature."""
    MISMATCHED = "foreign"
    """It sends an answer to another request first."""
    SKIP = "skip"
    """It leaves an event of its stream out."""


@dataclass(frozen=True, slots=True)
class Order:
    """An order to play another part, as it arrived."""

    at: float
    holder: str
    token: int
    phase: str


@dataclass(frozen=True, slots=True)
class Crash:
    """The end of an upstream by a request that it ran."""

    at: float
    upstream: str
    request: str
    target: str


@dataclass(slots=True)
class Ledger:
    """What the upstreams of one test did, together."""

    arrivals: Counter[str] = field(default_factory=Counter)
    """Sends by request, those that were turned away included."""
    runs: Counter[str] = field(default_factory=Counter)
    """Runs by request."""
    prefilled: Counter[str] = field(default_factory=Counter)
    """Prompts read, by request."""
    cancelled: Counter[str] = field(default_factory=Counter)
    """Runs that ended as their caller went away."""
    bodies: dict[str, bytes] = field(default_factory=dict)
    headers: dict[str, dict[str, str]] = field(default_factory=dict)
    """Headers of the last send of each request, by their names in lower case."""
    deadlines: list[int] = field(default_factory=list)
    """The milliseconds that each send was given."""
    orders: list[Order] = field(default_factory=list)
    handles: dict[str, str] = field(default_factory=dict)
    """The request of each KV cache that is held, by ``ADDRESS/ID``."""
    crash_inducing: set[str] = field(default_factory=set)
    """Targets of requests that end each upstream that begins to run them."""
    crashes: list[Crash] = field(default_factory=list)
    sends: list[tuple[float, str]] = field(default_factory=list)
    """When each send arrived, and its target."""


class Run(RequestHandler):
    """A run under way."""

    def __init__(self, upstream: StandInUpstream, request: str) -> None:
        self.upstream = upstream
        self.request = request
        self.timers: list[Any] = []
        self.tokens = 0
        """KV memory that is used until the run ends."""
        self.ended = False
        upstream.runs.add(self)

    def lose_caller(self) -> None:
        """Stop the work."""
        if not self.ended:
            self.upstream.ledger.cancelled[self.request] += 1
        self.end()

    def pause(self) -> None:
        """Go on: the transport holds what is written."""

    def go_on(self) -> None:
        """Go on."""

    def schedule(self, seconds: float, function: Any) -> None:
        """Do something unless the run has ended by then."""
        self.timers.append(self.upstream.clock.call_later(seconds, function))

    def end(self) -> None:
        """End the run."""
        if self.ended:
            return
        self.ended = True
        self.upstream.runs.discard(self)
        self.upstream.running -= 1
        self.upstream.used_tokens -= self.tokens
        for timer in self.timers:
            if timer.active():
                timer.cancel()


class StandInUpstream(StandIn):
    """A plain service's replica."""

    service_time_s = 0.05
    """Seconds of one request."""
    crash_delay_s = 0.1
    """Seconds behind its begin at which a deadly request ends the upstream."""
    restart_time_s = 2.5
    """Seconds behind its end after which it is back."""

    def __init__(self, clock: Clock, address: Address, instance: str, ledger: Ledger) -> None:
        super().__init__(clock, address)
        self.instance = instance
        self.born = int(1000 * clock.now())
        """When it started, in milliseconds of its clock, whose zero is nobody's business."""
        self.runs: set[Run] = set()
        self.on_restart: Callable[[], None] = lambda: None
        """Called when it is back after a crash, to list it."""
        self.ledger = ledger
        self.fault = UpstreamFault.NONE
        self.request_times: list[float] = []
        """When each request came, in monotonic seconds."""
        self.cold_left_s = 0.0
        """Seconds for which its entry says that it is cold."""
        self.running = 0
        self.used_tokens = 0
        """Tokens of runs under way."""
        self.call_times: list[float] = []
        """When each call reached it, also those about memory, in monotonic seconds."""
        self.leaving = False
        """It says in all its answers that it leaves."""
        self.retry_after = ""
        """What it asks of who is turned away: a ``Retry-After``; nothing where it is empty."""
        self.limit = ""
        """What it says that it takes a second from all VMs together; it names none where it is empty."""
        self.backoff_times: list[float] = []
        """When it asked for rest, in monotonic seconds."""

    def make_entry(self, service: str, hall: str, state: str = "ready") -> dict[str, object]:
        """Return its entry in the store."""
        return {
            "service": service,
            "address": str(self.address),
            "zone": hall,
            "version": "v1",
            "capacity": 6,
            "state": state,
            "cold_remaining_ms": 1000 * self.cold_left_s,
            "sequence": 0,
            "born": self.born,
        }

    @property
    def calls(self) -> int:
        """Return how many calls reached it so far."""
        return len(self.call_times)

    def make_state_headers(self, status: int = 200) -> list[tuple[str, str]]:
        """Return the headers by which it tells of itself in an answer."""
        words = [("Server-Leaving", "1")] if self.leaving else []
        if self.limit:
            words.append(("Server-Limit", self.limit))
        if status == 503 and self.retry_after:
            self.backoff_times.append(self.clock.now())
            words.append(("Retry-After", self.retry_after))
        return words

    def send_response(self, responder: Responder, status: int, value: object, *headers: tuple[str, str]) -> None:
        """Send a JSON answer."""
        send_json(responder, status, value, *headers, *self.make_state_headers(status))

    def crash(self) -> None:
        """End at once with all runs, and come back in a while with nothing of before."""
        self.stop()
        for run in list(self.runs):
            run.end()
        self.clock.call_later(self.restart_time_s, self._restart)

    def _restart(self) -> None:
        self.born = int(1000 * self.clock.now())
        self.start()
        self.on_restart()

    def crash_on_request(self, request: str, target: str) -> None:
        """End at once, by a request that it ran."""
        self.ledger.crashes.append(Crash(self.clock.now(), self.instance, request, target))
        self.crash()

    def serve(self, incoming: IncomingRequest, responder: Responder) -> RequestHandler | None:
        """Serve one request."""
        self.call_times.append(self.clock.now())
        headers = read_headers(incoming)
        request = headers.get("request-id", "")
        if headers.get("expect-instance", self.instance) != self.instance:
            self.send_response(responder, 421, {}, ("Instance-Id", self.instance))
            return None
        if request:
            self.ledger.arrivals[request] += 1
            self.ledger.sends.append((self.clock.now(), incoming.target))
            self.request_times.append(self.clock.now())
            self.ledger.bodies[request] = incoming.body
            self.ledger.headers[request] = headers
            self.ledger.deadlines.append(int(headers.get("deadline-ms", 0)))
        if self.fault is UpstreamFault.SHED:
            self.send_response(responder, 503, {}, ("Not-Executed", "1"))
            return None
        return self.process(incoming, headers, request, responder)

    def process(
        self, incoming: IncomingRequest, headers: dict[str, str], request: str, responder: Responder
    ) -> RequestHandler | None:
        """Run one request."""
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
        """Count a run."""
        self.ledger.runs[request] += 1
        self.running += 1
        return Run(self, request)

    def make_response_headers(self, request: str) -> list[tuple[str, str]]:
        """Return the headers of an own answer."""
        signed = [("Request-Id", request), ("Server-Load", f"{self.running},0,6")]
        if self.fault is not UpstreamFault.UNSIGNED:
            signed.append(("Response-Signature", f"{self.instance}.{request}"))
        return signed + self.make_state_headers()

    def _finish_run(self, run: Run, responder: Responder, text: bytes) -> None:
        if self.fault is UpstreamFault.HANG:
            return
        run.end()
        status = {UpstreamFault.ERROR: 500, UpstreamFault.UNCONFIRMED: 503}.get(self.fault, 200)
        body = text + run.request.encode()
        if self.fault is UpstreamFault.TRUNCATED:
            responder.begin(200, self.make_response_headers(run.request))
            responder.write(body[:4])
            responder.abort()
            return
        if self.fault is UpstreamFault.MISMATCHED:
            self.fault = UpstreamFault.NONE
            responder.interject(200, [("Request-Id", "another"), ("Response-Signature", "x")], b"not yours")
        responder.send_whole(status, self.make_response_headers(run.request), body)


class StandInEngine(StandInUpstream):
    """A model engine, for prefill or decode, with KV memory that it counts in tokens."""

    event_interval_s = 0.03
    """Seconds between two events."""
    prefill_rate = 50_000.0
    """Prompt tokens a second."""
    prefills_serially = False
    """It reads one prompt after the other, also as a decode engine, which does so at half the pace."""
    handle_ttl_s = 0.5
    reservation_delay_s = 0.0
    """Seconds that an answer about memory takes."""
    padding_bytes = 0
    """Bytes that each event is padded by."""
    transfer_time_s = 0.0
    """Seconds that it takes to fetch a prompt's KV cache from another engine."""
    phase_change_time_s = 6.0
    """Seconds behind the end of its runs that an ordered change of its part takes."""

    def __init__(
        self, clock: Clock, address: Address, instance: str, ledger: Ledger, phase: str, kv_tokens: int = 60_000
    ) -> None:
        super().__init__(clock, address, instance, ledger)
        self.phase = phase
        self.kv_tokens = kv_tokens
        self.reserved_tokens: dict[str, int] = {}
        """Tokens set aside, by the id of the reservation."""
        self.cut_after: int | None = None
        """Events after which streams break inside the next one."""
        self.on_phase_change: Callable[[], None] = lambda: None
        """Called when an ordered change of its part is done."""
        self.drops_next_order = False
        """It leaves the next order unanswered; ``take_lost_order`` carries it out late."""
        self._dropped_order: str | None = None
        self.pending_phase: str | None = None
        """The part that it is to play once its runs have ended; until then it turns new requests away."""
        self._last_id = 0
        self._prefill_end = 0.0

    responds_before_crash = True
    """Whether it has begun to answer a deadly request when that ends it."""

    def crash(self) -> None:
        """End at once, with all that it holds."""
        self.reserved_tokens.clear()
        self.pending_phase = None
        super().crash()

    def make_entry(self, service: str, hall: str, state: str = "ready") -> dict[str, object]:
        """Return its entry in the store."""
        return {**super().make_entry(service, hall, state), "phase": self.phase, "capacity": 128, "models": []}

    def serve(self, incoming: IncomingRequest, responder: Responder) -> RequestHandler | None:
        """Serve a request, or a call about memory."""
        if not incoming.path.startswith("/api/"):
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
        """Carry the order out that was left unanswered."""
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
            self.clock.call_later(0.05, self._wait_until_idle)
        else:
            self.clock.call_later(self.phase_change_time_s, self._change_phase)

    def _change_phase(self) -> None:
        assert self.pending_phase is not None
        self.phase, self.pending_phase = self.pending_phase, None
        self.on_phase_change()

    @property
    def free_tokens(self) -> int:
        """Return the tokens that are neither used nor set aside."""
        return self.kv_tokens - self.used_tokens - sum(self.reserved_tokens.values())

    def _reserve(self, asked: dict[str, int], responder: Responder) -> None:
        if self.fault is UpstreamFault.HANG:
            return
        if asked["tokens"] > self.free_tokens:
            self.send_response(responder, 503, {}, ("Not-Executed", "1"))
            return
        self._last_id += 1
        hold = f"h{self._last_id}"
        self.reserved_tokens[hold] = asked["tokens"]
        self.clock.call_later(asked["ttl_ms"] / 1000, self._release, hold)
        self.clock.call_later(self.reservation_delay_s, self.send_response, responder, 200, {"hold": hold})

    def _release(self, hold: str) -> None:
        self.reserved_tokens.pop(hold, None)

    def process(
        self, incoming: IncomingRequest, headers: dict[str, str], request: str, responder: Responder
    ) -> RequestHandler | None:
        """Read a prompt, or stream an answer."""
        if self.pending_phase is not None:
            self.send_response(responder, 503, {}, ("Not-Executed", "1"))
            return None
        prompt, output = (int(word) for word in headers["token-count"].split(","))
        if (headers.get("stage") == "prefill") != (self.phase == "prefill"):
            self.send_response(responder, 421, {})
            return None
        if self.phase == "prefill":
            return self._prefill(request, prompt, responder)
        source = headers.get("cache-source")
        if source is not None and self.ledger.handles.pop(source, None) != request:
            self.send_response(responder, 503, {}, ("Not-Executed", "1"))
            return None
        self._release(headers.get("cache-hold", ""))
        if prompt > self.free_tokens:
            self.send_response(responder, 503, {}, ("Not-Executed", "1"))
            return None
        first = self.event_interval_s if source is None else self.event_interval_s + self.transfer_time_s
        if source is None and self.prefills_serially:
            first += self._schedule_prefill(2 * prompt / self.prefill_rate)
        if incoming.target in self.ledger.crash_inducing:
            run = self.start_run(request)
            if self.responds_before_crash:
                responder.begin(200, [("Content-Type", "text/event-stream"), *self.make_response_headers(request)])
            run.schedule(self.crash_delay_s, lambda: self.crash_on_request(request, incoming.target))
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
        """Return the seconds until a reading of some seconds ends."""
        if not self.prefills_serially:
            return seconds
        now = self.clock.now()
        self._prefill_end = max(now, self._prefill_end) + seconds
        return self._prefill_end - now

    def _stream(
        self, request: str, prompt: int, events: int, after: int, first: float, responder: Responder
    ) -> RequestHandler:
        run = self.start_run(request)
        run.tokens = prompt
        self.used_tokens += prompt
        number = after

        def step() -> None:
            nonlocal number
            if self.fault is UpstreamFault.HANG:
                return
            number += 1
            if number == after + 1:
                responder.begin(200, [("Content-Type", "text/event-stream"), *self.make_response_headers(request)])
            if self.fault is UpstreamFault.SKIP and number == after + 3:
                number += 1
            if self.cut_after is not None and number > self.cut_after:
                responder.write(f"id: {number}\nda".encode())
                run.end()
                responder.abort()
                return
            padding = "." * self.padding_bytes
            responder.write(f"id: {number}\ndata: {request}-{number}{padding}\n\n".encode())
            if number >= events:
                run.end()
                responder.end()
            else:
                run.schedule(self.event_interval_s, step)

        run.schedule(first, step)
        return run

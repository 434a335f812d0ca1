"""A fleet whose sound upstreams fall silent for a while, and callers of all kinds of route."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from beamhatch.platform.standin.upstream import StandInEngine, UpstreamFault
from tests.support.configuration_fleet import APPLY_S, HALLS, SEEDS
from tests.support.platform import ENGINE, MODEL, PLAIN, ROUTES, Caller, make_configuration, make_request, make_route
from tests.support.silence_upstreams import RecordingPlatform, RecordingUpstream

if TYPE_CHECKING:
    from beamhatch.relay.daemon import Daemon

PATHS = ("/safe", "/unsafe", "/stream", "/stream", "/resumable", "/resumable")
PATIENCES_S = (4.0, 8.0, 14.0)
"""Seconds until callers' deadlines."""

TIMEOUTS_MS = (9_000, 12_000, 14_000)
"""Timeouts of routes that operators choose."""

EVENTS = 10, 70
"""Fewest and most events of a stream."""

LEAVING_SHARE = 0.1
"""Share of the callers that leave before their answer is complete."""

STEP_S = 0.02
"""Interval at which callers and upstreams are looked at."""

GRACE_S = 8.0
"""Seconds that a planned stop of a VM may take."""

NOTICE_S = 0.5
"""Seconds for which callers still come to a VM that is told to stop."""

MAX_DRAIN_S = 20.0
"""Seconds after which an upstream that leaves ends, whatever it still runs."""


@dataclass(eq=False)
class Call:
    """A request of a caller."""

    request: str
    vm: str
    life: Daemon
    """The VM's process that took it."""
    path: str
    tokens: int
    """Number of events that a stream has."""
    patience_s: float
    sent_at: float
    caller: Caller
    ended_at: float | None = None
    left: bool = False
    """Whether the caller left before the end."""

    @property
    def streams(self) -> bool:
        """Return whether it asks for a stream of events."""
        return self.path.startswith(("/stream", "/resumable"))

    @property
    def may_repeat(self) -> bool:
        """Return whether it may run more than once."""
        return self.path.startswith(("/safe", "/resumable"))


@dataclass(frozen=True, slots=True)
class Line:
    """A line that a VM wrote about a request."""

    at: float
    vm: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        """Return one line of text."""
        shown = {name: value for name, value in self.fields.items() if name not in ("part", "event", "request")}
        return f"{self.at:9.3f} {self.vm} {self.fields['event']}: {shown}"


@dataclass
class SilenceFleet:
    """VMs and upstreams in three halls, and the requests that callers sent."""

    size: int
    seed: int
    varies_engines: bool = False
    """Whether engines read prompts one at a time and more slowly, need time to fetch KV caches, and in half of the
    fleets answer calls that reserve memory while they are silent."""
    platform: RecordingPlatform = field(default_factory=RecordingPlatform)
    calls: list[Call] = field(default_factory=list)
    lines: dict[str, list[Line]] = field(default_factory=dict)
    """What the VMs wrote, by request."""
    timeouts: list[tuple[float, float]] = field(default_factory=list)
    """Time of each configuration, and the seconds after which its routes time out."""
    stops: dict[Daemon, float] = field(default_factory=dict)
    """When each VM's process was told to stop."""

    def __post_init__(self) -> None:
        """Start the VMs and have them meet."""
        random.seed(self.seed)  # the relay draws from the module's generator
        self.rng = random.Random(self.seed)
        self.network = self.platform.network
        self.halls = {f"vm{number}": HALLS[number % 3] for number in range(self.size)}
        self._version = 0
        self._added_routes = 0
        self._number = 0
        self._engine_terms = {**ENGINE, "hold_ms": self.rng.choice([2000, 8000])}
        self._answers_calls = self.varies_engines and self.rng.random() < 0.5
        self._versions = self.rng.choice([("v1",), ("v1", "v2")])
        self.configure(14_000)
        for _ in range(self.rng.randint(2, 4)):
            self.add("plain")
        for _ in range(self.rng.randint(1, 4)):
            self.add("prefill")
        for _ in range(self.rng.randint(2, 6)):
            self.add("decode")
        for vm in self.halls:
            self.start_vm(vm)
        self.network.run_until(lambda: all(vm.core.ready for vm in self.platform.vms.values()))
        self.network.run(2.0)

    @property
    def now(self) -> float:
        """Return the network's time in seconds."""
        return self.network.rightNow

    # --- upstreams ---------------------------------------------------------------------------------------------------

    def list_upstreams(self, *kinds: str) -> list[RecordingUpstream]:
        """Return the upstreams whose names begin with one of some kinds."""
        found = [one for name, one in self.platform.upstreams.items() if name.startswith(kinds)]
        return [one for one in found if isinstance(one, RecordingUpstream)]

    def list_engines(self) -> list[StandInEngine]:
        """Return the engines."""
        return [one for one in self.platform.upstreams.values() if isinstance(one, StandInEngine)]

    def add(self, kind: str, version: str | None = None) -> None:
        """Start and list an upstream."""
        self._number += 1
        name, hall = f"{kind}-{self._number}", HALLS[self._number % 3]
        if kind == "plain":
            self.platform.add_plain(name, hall)
        else:
            engine = self.platform.add_engine(name, kind, hall=hall, version=version or self.rng.choice(self._versions))
            if self.varies_engines:
                engine.prefills_serially = self.rng.random() < 0.5
                engine.prefill_rate = self.rng.choice([50_000.0, 20_000.0, 10_000.0])
                engine.transfer_time_s = self.rng.choice([0.0, 0.1, 0.25])
                engine.reservation_delay_s = self.rng.choice([0.0, 0.0, 0.05])
                engine.answers_calls_while_paused = self._answers_calls

    def hang(self, upstream: RecordingUpstream) -> None:
        """Have an upstream hang for good; some seconds later it is gone, and another one is there."""
        upstream.hang()
        self.network.callLater(4.0, self._replace, upstream.instance)

    def _replace(self, name: str) -> None:
        upstream = self.platform.upstreams.get(name)
        if upstream is not None:
            self.platform.remove(name)
            self.add(name.partition("-")[0], upstream.version)

    def release(self, upstream: RecordingUpstream) -> None:
        """Have another upstream take the place of one, which leaves and ends once it has nothing to do."""
        self.add(upstream.instance.partition("-")[0], upstream.version)
        self.platform.drain(upstream.instance)
        self.network.callLater(3.0, self._end_drained, upstream, self.now + MAX_DRAIN_S)

    def _end_drained(self, upstream: RecordingUpstream, latest: float) -> None:
        if self.platform.upstreams.get(upstream.instance) is not upstream:
            return
        if self.now >= latest or not (upstream.runs or upstream.pause_left_s):
            self.platform.remove(upstream.instance)
        else:
            self.network.callLater(0.1, self._end_drained, upstream, latest)

    def fill(self, engine: StandInEngine, seconds: float) -> None:
        """Use up the free memory of an engine for some time."""
        tokens = engine.free_tokens
        engine.used_tokens += tokens
        self.network.callLater(seconds, self._empty, engine, tokens)

    def _empty(self, engine: StandInEngine, tokens: int) -> None:
        engine.used_tokens -= tokens

    def refuse(self, upstream: RecordingUpstream, seconds: float) -> None:
        """Have an upstream refuse all requests for some time."""
        if upstream.fault is UpstreamFault.NONE:
            upstream.fault = UpstreamFault.SHED
            self.network.callLater(seconds, self._accept, upstream)

    def _accept(self, upstream: RecordingUpstream) -> None:
        if upstream.fault is UpstreamFault.SHED:
            upstream.fault = UpstreamFault.NONE

    # --- VMs and configurations --------------------------------------------------------------------------------------

    def configure(self, timeout_ms: int | None = None, *, adds_route: bool = False) -> None:
        """Write a configuration.

        :param timeout_ms: timeout of all routes; that of the configuration before if left out
        """
        self._version += 1
        self._added_routes += adds_route
        seconds = self.timeouts[-1][1] if timeout_ms is None else timeout_ms / 1000
        self.timeouts.append((self.now, seconds))
        routes = [{**route, "timeout_ms": round(1000 * seconds)} for route in ROUTES]
        for number in range(self._added_routes):
            routes.append(make_route(f"/added-{number}/", "streaming", MODEL, resumable=True))
        written = make_configuration(self._version, routes)
        engine = {"name": MODEL, "max_conns": 600, "engine": self._engine_terms}
        written["services"] = [{"name": PLAIN, "max_conns": 100}, engine]
        self.platform.store.put("op/config", written)

    def start_vm(self, vm: str) -> None:
        """Start a VM, and keep what it writes about requests."""
        self.platform.add_vm(vm, SEEDS, self.halls[vm])
        journal = self.platform.journals[vm]
        write = journal.write

        def keep(part: str, event: str, **fields: object) -> None:
            write(part, event, **fields)
            request = fields.get("request")
            if isinstance(request, str):
                kept = Line(self.now, vm, {"part": part, "event": event, **fields})
                self.lines.setdefault(request, []).append(kept)

        journal.write = keep  # type: ignore[method-assign]

    def list_serving(self) -> list[str]:
        """Return the VMs that were not told to stop."""
        return [name for name, vm in self.platform.vms.items() if vm not in self.stops]

    def stop(self, vm: str) -> None:
        """Stop a VM as planned, and start it again."""
        process = self.platform.vms[vm]
        self.stops[process] = self.now
        process.stop()
        self.network.callLater(GRACE_S + 0.5, self._start_again, vm)

    def _start_again(self, vm: str) -> None:
        self.network.kill(vm)
        del self.platform.vms[vm]
        self.start_vm(vm)

    # --- callers -----------------------------------------------------------------------------------------------------

    def list_taking(self) -> list[str]:
        """Return the VMs that callers come to."""
        return [name for name, vm in self.platform.vms.items() if self.now <= self.stops.get(vm, self.now) + NOTICE_S]

    def send(self) -> None:
        """Send a request to a VM, on a connection of its own."""
        vm = self.rng.choice(self.list_taking())
        life = self.platform.vms[vm]
        request = f"r{len(self.calls)}"
        path = f"{self.rng.choice(PATHS)}/{request}"
        tokens, patience = self.rng.randint(*EVENTS), self.rng.choice(PATIENCES_S)
        leaves_after = self.rng.uniform(0.0, 2.0) if self.rng.random() < LEAVING_SHARE else None
        caller = self.platform.connect(vm)
        if caller.transport is None:  # the VM accepts no connection any more
            return
        headers = {"Deadline-Ms": f"{patience * 1000:.0f}", "Token-Count": f"5000,{tokens}"}
        caller.send(make_request(path, request, headers=headers))
        call = Call(request, vm, life, path, tokens, patience, self.now, caller)
        self.calls.append(call)
        if leaves_after is not None:
            self.network.callLater(leaves_after, self._leave, call)

    def _leave(self, call: Call) -> None:
        if call.ended_at is None and not call.caller.closed and not call.caller.whole:
            call.left = True
            call.ended_at = self.now
            call.caller.leave()

    def note_ends(self) -> None:
        """Note which requests have ended, and close their connections."""
        for call in self.calls:
            if call.ended_at is None and (call.caller.closed or call.caller.whole):
                call.ended_at = self.now
                if not call.caller.closed:
                    call.caller.leave()

    def get_time_left(self, call: Call, now: float) -> float:
        """Return the seconds until a request's caller goes, or its route times out by any configuration since."""
        in_force = [seconds for at, seconds in self.timeouts if at <= now]
        first = next(index for index in reversed(range(len(in_force))) if self.timeouts[index][0] <= call.sent_at)
        # a VM may not have had the newest configuration as the request came
        seconds = min([call.patience_s, *in_force[max(0, first - 1) :]])
        return call.sent_at + seconds - now

    def compute_latest_end(self, call: Call) -> float:
        """Return when a request must have ended, by its caller's time and the configurations that came meanwhile."""
        until = [at for at, _ in self.timeouts[1:]] + [float("inf")]
        ends = [
            (max(at + APPLY_S, call.sent_at + min(call.patience_s, seconds)), end)
            for (at, seconds), end in zip(self.timeouts, until, strict=True)
            if end > call.sent_at
        ]
        return next(latest for latest, end in ends if latest < end)

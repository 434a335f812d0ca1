"""The platform around the relays, in the soak's own process: a store, upstreams, links between, and callers."""

from __future__ import annotations

import random
import re
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.platform.standin.store import StandInStore
from beamhatch.platform.standin.upstream import Ledger, UpstreamFault
from beamhatch.relay.model import Address
from beamhatch.standin.link import Link, open_link
from tests.soak import long_streams
from tests.soak.caller import CONNECT_TIMEOUT, HOST, PATIENCE, CallerConnection, CallerFactory, Outcome
from tests.soak.long_streams import LongStreams
from tests.soak.net import Net
from tests.soak.promise import COLD_RATE, COLD_TIME, GONE_BOUND, ROUTE_TIMEOUT, TOUCH_TIME, Promise
from tests.soak.rejections import Rejections
from tests.soak.routes import Layout, RouteFamily
from tests.soak.upstreams import Arrival, ModelEngine, PlainReplica
from tests.soak.vm import CALLER_PORT, PEER_PORT, READY_PORT, VmProcess
from tests.soak.witness import STREAM_EVENTS, Asked, RouteTerms, UpstreamFacts, VmFacts, Witness

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from pathlib import Path

    from beamhatch.clock import Clock

HALLS = {"west-a": "west", "west-b": "west", "east-a": "east"}
"""Halls and the region of each."""

PLAIN = "accounts"
MODEL = "models"
VERSIONS = "v1", "v2"
"""Software versions of the upstreams, in turn."""

ENGINES_A_HALL = ("prefill", "decode", "decode")
DESK_ENGINES = {"west-a": ("prefill", "decode"), "west-b": ("decode",), "east-a": ("prefill", "decode")}
"""Phases of the engines of an order desk, by hall."""

DESK_RATES = {"/stream/": 5.2, "/unsafe/": 7.3, "/safe/": 4.0}
"""Requests a second of an order desk's callers together, by route."""

CALLERS_A_VM = 6
PAUSE = 0.03, 0.25
"""Seconds between two requests of a caller, from and to."""

LEAVES_EARLY = 0.06
"""Share of requests whose caller leaves before the end."""

READY_INTERVAL = 0.5
"""Seconds between two times that a VM is asked whether it is ready; two misses take it out."""

FAMILIES = (RouteFamily("/letters/", PLAIN), RouteFamily("/talks/", MODEL, streams=True))
"""Routes that change while requests are open."""

PATHS = ("/safe/", "/unsafe/", "/stream/", "/resumable/", "/west/", *(family.path for family in FAMILIES))
ROUTES = {
    "/safe/": RouteTerms(),
    "/unsafe/": RouteTerms(repeatable=False),
    "/stream/": RouteTerms(streams=True, repeatable=False),
    "/resumable/": RouteTerms(streams=True),
    long_streams.PATH: RouteTerms(streams=True, events=long_streams.EVENTS),
    "/west/": RouteTerms(regions=frozenset({"west"})),
    **{family.path: RouteTerms(streams=family.streams, changes=True) for family in FAMILIES},
}


@dataclass(slots=True)
class Placed:
    """An upstream and where it is."""

    upstream: PlainReplica | ModelEngine
    service: str
    hall: str
    phase: str


class World:
    """Everything but the relays' processes, which it knows by name."""

    def __init__(
        self,
        clock: Clock,
        folder: Path,
        seed: int,
        vms: int,
        mutant: str,
        link_mbps: float = 100.0,
        software: Sequence[str] = VERSIONS,
    ) -> None:
        """Create the store and the VMs' settings.

        :param link_mbps: rate of the VMs' links in their settings; nothing limits the loopback to it
        :param software: versions of the upstreams, in turn
        """
        self._link_mbps = link_mbps
        self._software = software
        self.clock = clock
        self.started = clock.now()
        self.random = random.Random(seed)
        self._net = Net(seed)
        self.net = self._net.prefix
        """Loopback addresses of this run alone."""
        self.ledger = Ledger()
        self.witness = Witness(self.ledger, dict(ROUTES))
        self.store = StandInStore(clock, Address(f"{self.net}.0.1", 0))
        self.store.start()
        self.upstream_link = Link(clock.reactor)
        self.upstream_link.on_undelivered = self._take_undelivered
        self._instances: dict[str, str] = {}
        """Ids of all upstreams so far, by the address at which they listen behind the link."""
        self.store_links: dict[str, Link] = {}
        self.placed: dict[str, Placed] = {}
        self.active: set[str] = set()
        """Requests that upstreams are at work on."""
        self.version = 0
        self.layouts = [Layout.LONG_ONCE for _ in FAMILIES]
        self._number = 0
        self.stopping = False
        self.long_streams = LongStreams(self)
        self.rejections = Rejections(seed)
        self.vms = [self._make_vm(folder, number, vms, mutant) for number in range(vms)]
        self.rotation: Counter[str] = Counter()
        """Times in a row that each VM was not ready; one with less than two gets connections."""
        self.asked_count = 0
        self.open_callers = 0
        self.on_crash: Callable[[str], None] = lambda name: None
        """Called with an upstream that a request has ended, to bring another one."""

    def now(self) -> float:
        """Return the seconds of the run."""
        return self.clock.now() - self.started

    def _make_vm(self, folder: Path, number: int, vms: int, mutant: str) -> VmProcess:
        name = f"vm{number}"
        ips = [f"{self.net}.1.{other + 1}" for other in range(vms)]
        link = self.store_links[name] = Link(self.clock.reactor)
        port = open_link(self.clock.reactor, link, f"{self.net}.2.{number + 1}:0", str(self.store.address))
        hall = list(HALLS)[number % len(HALLS)]
        seeds = [f"{ip}:{PEER_PORT}" for ip in ips[:3]]
        self.witness.vms[name] = VmFacts()
        store = f"{self.net}.2.{number + 1}:{port}"
        return VmProcess(folder, name, ips[number], hall, HALLS, seeds, store, mutant, self._link_mbps)

    def find_vm(self, name: str) -> VmProcess:
        """Return a VM by its name."""
        return next(vm for vm in self.vms if vm.name == name)

    # --- upstreams and configurations --------------------------------------------------------------------------------

    def fill(self) -> None:
        """Write the first configuration, and start all upstreams."""
        self.configure()
        for hall in HALLS:
            self.add_upstream(PLAIN, hall)
            self.add_engines(hall)

    def add_engines(self, hall: str, software: str = "") -> None:
        """Start the engines of a hall.

        :param software: their version; the usual ones if left out
        """
        for phase in ENGINES_A_HALL:
            self.add_upstream(MODEL, hall, phase, software=software)

    def add_upstream(self, service: str, hall: str, phase: str = "", *, cold: bool = False, software: str = "") -> None:
        """Start and list an upstream, under an id of its own."""
        self._number += 1
        name = f"i-{self._number}"
        address = Address(f"{self.net}.3.1", 0)
        upstream: PlainReplica | ModelEngine
        if service == PLAIN:
            upstream = PlainReplica(self.clock, address, name, self.ledger)
        else:
            upstream = ModelEngine(self.clock, address, name, self.ledger, phase)
            upstream.on_phase_change = lambda: self.list_upstream(name)
        upstream.version = software or self._software[self._number % len(self._software)]
        upstream.observe(self._take_arrival, self._take_read, self._take_crash, self.active)
        self.rejections.add(upstream)
        upstream.start()
        self._instances[str(upstream.address)] = name
        host = f"{self.net}.4.1"
        port = open_link(self.clock.reactor, self.upstream_link, f"{host}:0", str(upstream.address))
        upstream.address = Address(host, port)  # what others know of it, also in the names of KV caches
        self.placed[name] = Placed(upstream, service, hall, phase)
        self.witness.upstreams[name] = UpstreamFacts(hall, HALLS[hall])
        self.list_upstream(name, cold=cold)

    def list_upstream(self, name: str, *, cold: bool = False, state: str = "ready") -> None:
        """Have an upstream write its entry."""
        placed = self.placed.get(name)
        if placed is None:
            return
        entry = placed.upstream.make_entry(placed.service, placed.hall, state)
        facts = self.witness.upstreams[name]
        if cold:
            facts.cold_until = self.now() + COLD_TIME
        if facts.cold_until > self.now():
            entry["cold_remaining_ms"] = round((facts.cold_until - self.now()) * 1000)
        self.store.put(f"servers/{name}", entry)

    def remove_upstream(self, name: str) -> Placed:
        """Have an upstream crash; return what it was."""
        placed = self.placed.pop(name)
        placed.upstream.end()
        self.witness.harms.begin(name, self.now())
        self.store.remove(f"servers/{name}")
        return placed

    def configure(self) -> None:
        """Write the next configuration: with a route of its own, and without that of the one before."""
        self.version += 1
        self.write_configuration()
        now = self.witness.acknowledged[self.version] = self.now()
        pairs = zip(FAMILIES, self.layouts, strict=True)
        self.witness.repeats.record(now, frozenset(one.path for one, layout in pairs if layout.may_repeat))

    def change_routes(self, layouts: list[Layout]) -> None:
        """Write the next configuration, with other routes for paths of open requests."""
        self.layouts = layouts
        self.configure()

    def write_configuration(self) -> None:
        """Write the newest configuration, again where it was written before."""
        routes = [
            _make_route("/safe/", "safe", PLAIN),
            _make_route("/unsafe/", "unsafe", PLAIN),
            _make_route("/stream/", "streaming", MODEL, max_attempts=1),
            _make_route("/resumable/", "streaming", MODEL, resumable=True),
            _make_route(long_streams.PATH, "streaming", MODEL, resumable=True),
            _make_route("/west/", "safe", PLAIN, allowed_regions=["west"]),
            _make_route(f"/v{self.version}/", "safe", PLAIN),
        ]
        for family, layout in zip(FAMILIES, self.layouts, strict=True):
            routes += family.list_routes(layout, _make_route)
        engine = {"capacity": 128, "kv_capacity": 60_000, "kv_ttl_s": 0.5, "hold_ms": 2000, "reconfig_s": 2}
        cold = {"cold_start_s": COLD_TIME, "cold_per_s": COLD_RATE}
        services = [{"name": PLAIN, **cold}, {"name": MODEL, "engine": engine, **cold}]
        document = {"version": self.version, "routes": routes, "services": services, "limits": {}}
        self.store.put("op/config", document)

    def _take_crash(self, name: str) -> None:
        crash = self.ledger.crashes[-1]
        self.witness.take_crash(crash.part or crash.target, self.now())
        self.on_crash(name)

    def _take_arrival(self, arrival: Arrival) -> None:
        self.witness.take_arrival(
            arrival.request, arrival.path, arrival.instance, self.now(), is_prefill=arrival.is_prefill
        )
        if not arrival.is_prefill:
            self.witness.reached.setdefault(arrival.request, set()).add(arrival.instance)

    def _take_undelivered(self, address: str, data: bytes) -> None:
        """Note the requests that were sent to an upstream that has ended."""
        for request in re.findall(rb"(?im)^request-id: *([^\r\n]+)", data):
            self.witness.reached.setdefault(request.decode(), set()).add(self._instances[address])

    def _take_read(self, arrival: Arrival) -> None:
        placed = self.placed.get(arrival.instance)
        if placed is not None and placed.upstream.fault is UpstreamFault.SHED and placed.upstream.retry_after:
            self.witness.take_rest(arrival.request, arrival.instance, float(placed.upstream.retry_after), self.now())

    # --- callers -----------------------------------------------------------------------------------------------------

    def watch_readiness(self) -> None:
        """Begin to ask VMs whether they are ready; until one says so it gets no connections."""
        for vm in self.vms:
            self.rotation[vm.name] = 2
            self._ask_ready(vm)

    def list_unready(self) -> list[str]:
        """Return the VMs that get no new connections."""
        return [vm.name for vm in self.vms if self.rotation[vm.name] >= 2]

    def is_ready(self) -> bool:
        """Tell whether all VMs get new connections."""
        return not self.list_unready()

    def start_callers(self) -> None:
        """Let callers come."""
        for _ in range(CALLERS_A_VM * len(self.vms)):
            self.open_callers += 1
            self._connect()

    def _ask_ready(self, vm: VmProcess) -> None:
        if self.stopping:
            return
        self.clock.call_later(READY_INTERVAL, self._ask_ready, vm)

        def take_end(outcome: Outcome) -> None:
            self.rotation[vm.name] = 0 if outcome.status == 200 else self.rotation[vm.name] + 1

        def ask(connection: CallerConnection) -> None:
            outcome = Outcome("ready", "", "/api/ready", vm.name, vm.life, self.now())
            connection.ask(outcome, [("Connection", "close")], b"")
            self.clock.call_later(READY_INTERVAL, connection.leave)

        def fail() -> None:
            self.rotation[vm.name] += 1

        factory = CallerFactory(ask, take_end, fail)
        self.clock.reactor.connectTCP(vm.ip, READY_PORT, factory, timeout=READY_INTERVAL)

    def _choose_vm(self) -> VmProcess:
        ready = [vm for vm in self.vms if self.rotation[vm.name] < 2]
        return self.random.choice(ready or self.vms)

    def _connect(self) -> None:
        if self.stopping:
            self.open_callers -= 1
            return
        vm = self._choose_vm()

        def begin(connection: CallerConnection) -> None:
            self._ask(vm, connection)

        def take_end(outcome: Outcome) -> None:
            outcome.ended_at = self.now()
            self.witness.take_outcome(outcome)
            self._note_stop(vm, outcome)
            if outcome.left:
                self.clock.call_later(GONE_BOUND, self._check_gone, outcome)
            elif outcome.route == "/resumable/" and not outcome.whole and outcome.events:
                self.clock.call_later(self.random.uniform(*PAUSE), self._resume_stream, outcome)

        def fail() -> None:
            self.clock.call_later(0.2, self._connect)

        factory = CallerFactory(begin, take_end, fail)
        self.clock.reactor.connectTCP(vm.ip, CALLER_PORT, factory, timeout=CONNECT_TIMEOUT)

    def _ask(self, vm: VmProcess, connection: CallerConnection) -> None:
        """Send one request after the other for as long as the connection is there."""
        if self.stopping or not connection.open:
            if connection.open:
                connection.leave()
            self._connect()
            return
        route = self._choose_path()
        self.asked_count += 1
        request = f"{vm.name}-{vm.life}-{self.asked_count}"
        outcome = Outcome(request, route, f"{route}x", vm.name, vm.life, self.now())
        self.witness.asked[request] = Asked(route, vm.name, vm.life, outcome.sent_at)
        headers = [("Token-Count", f"4000,{STREAM_EVENTS}"), ("Prompt-Prefix", f"aa:200,{self.asked_count:x}:3800")]
        streams = self.witness.find_terms(route).streams
        connection.ask(outcome, headers if streams else [], b"x" if route == "/unsafe/" else b"")
        if self.random.random() < LEAVES_EARLY:
            self.clock.call_later(self.random.uniform(0.0, 0.3), self._leave, connection, outcome)
        self.clock.call_later(PATIENCE, self._leave, connection, outcome)
        self._go_on(vm, connection, outcome)

    def ask_once(self, route: str, target: str, part: str = "") -> None:
        """Send one request to any VM, on a connection of its own.

        :param part: another part of its prompt
        """
        vm = self._choose_vm()
        self.asked_count += 1
        outcome = Outcome(f"once-{self.asked_count}", route, target, vm.name, vm.life, self.now())
        self._ask_alone(vm, outcome, [], f"{part}:100," if part else "")

    def _resume_stream(self, broken: Outcome) -> None:
        """Have a caller resume its stream at any VM, behind the last event that it has."""
        if self.stopping:
            return
        vm = self._choose_vm()
        self.asked_count += 1
        self.witness.resumed += 1
        outcome = Outcome(f"again-{self.asked_count}", broken.route, broken.target, vm.name, vm.life, self.now())
        outcome.began_as = broken.began_as or broken.request
        outcome.last_event = broken.events[-1]
        self._ask_alone(vm, outcome, [("Resumes", outcome.began_as), ("Last-Event-Id", str(outcome.last_event))])

    def ask_for_stream(
        self,
        route: str,
        events: int,
        extra: list[tuple[str, str]],
        prepare: Callable[[Outcome], None],
        on_end: Callable[[Outcome | None], None],
    ) -> None:
        """Ask any VM for a stream.

        :param extra: further headers
        :param prepare: completes the outcome before the request is sent
        :param on_end: called at the end, with None if the VM did not accept the connection
        """
        vm = self._choose_vm()
        self.asked_count += 1
        outcome = Outcome(f"long-{self.asked_count}", route, f"{route}x", vm.name, vm.life, self.now())
        prepare(outcome)
        self._ask_alone(vm, outcome, extra, events=events, on_end=on_end)

    def _ask_alone(
        self,
        vm: VmProcess,
        outcome: Outcome,
        extra: list[tuple[str, str]],
        parts: str = "",
        *,
        events: int = STREAM_EVENTS,
        on_end: Callable[[Outcome | None], None] = lambda ended: None,
    ) -> None:
        """Send a request on a connection of its own."""
        self.witness.asked[outcome.request] = Asked(outcome.route, vm.name, vm.life, outcome.sent_at)
        prompt = f"aa:200,{parts}{self.asked_count:x}:3800"
        headers = [("Token-Count", f"4000,{events}"), ("Prompt-Prefix", prompt), *extra]

        def ask(connection: CallerConnection) -> None:
            connection.ask(outcome, headers, b"")
            self.clock.call_later(PATIENCE, self._leave, connection, outcome)

        def take_end(ended: Outcome) -> None:
            ended.ended_at = self.now()
            self.witness.take_outcome(ended)
            on_end(ended)

        factory = CallerFactory(ask, take_end, lambda: on_end(None))
        self.clock.reactor.connectTCP(vm.ip, CALLER_PORT, factory, timeout=CONNECT_TIMEOUT)

    def _leave(self, connection: CallerConnection, outcome: Outcome) -> None:
        if not outcome.ended_at and connection.open:
            connection.leave()

    def _go_on(self, vm: VmProcess, connection: CallerConnection, outcome: Outcome) -> None:
        """Send the next request once one has ended."""
        if not outcome.ended_at:
            self.clock.call_later(0.03, self._go_on, vm, connection, outcome)
        else:
            self.clock.call_later(self.random.uniform(*PAUSE), self._ask, vm, connection)

    def _choose_path(self) -> str:
        newest = f"/v{self.version}/"
        before = f"/v{max(1, self.version - 1)}/"
        return self.random.choice([*PATHS, *PATHS, newest, before])

    def _check_gone(self, outcome: Outcome) -> None:
        """Check that nobody works for a caller that left some time ago, at a VM that nothing disturbed."""
        paused_until = self._find_pause_end(outcome.request)
        if paused_until + GONE_BOUND > self.clock.now():
            self.clock.call_later(paused_until + GONE_BOUND - self.clock.now(), self._check_gone, outcome)
            return
        since = self.witness.vms[outcome.vm].calm.since
        if outcome.request in self.active and since + TOUCH_TIME < outcome.ended_at:
            detail = f"an upstream is still at work on {outcome.request}, whose caller left"
            self.witness.break_promise(Promise.GIVEN_BACK, self.now(), detail)

    def _find_pause_end(self, request: str) -> float:
        """Return when the last pause ends of the upstreams that are at work on a request."""
        at_work = [
            one.upstream for one in self.placed.values() if any(run.request == request for run in one.upstream.runs)
        ]
        return max((one.paused_until for one in at_work), default=float("-inf"))

    def _note_stop(self, vm: VmProcess, outcome: Outcome) -> None:
        """Check that a planned stop cut nothing off, where nothing else was wrong."""
        stopping = vm.stopping_since is not None and outcome.life == vm.life
        calm = self.witness.unplanned.since + TOUCH_TIME < outcome.sent_at
        if stopping and calm and not outcome.whole and not outcome.left:
            self.witness.break_promise(
                Promise.PLANNED_STOP, outcome.ended_at, f"{outcome.request} was cut off at {vm.name}"
            )

    # --- the end -----------------------------------------------------------------------------------------------------

    def list_kept(self) -> list[str]:
        """Return what engines still hold."""
        kept = [
            f"{name} uses {one.upstream.used_tokens}" for name, one in self.placed.items() if one.upstream.used_tokens
        ]
        for name, one in self.placed.items():
            if isinstance(one.upstream, ModelEngine) and one.upstream.reserved_tokens:
                kept.append(f"{name} keeps {one.upstream.reserved_tokens} set aside")
        return kept + [f"KV cache {key} of {request}" for key, request in self.ledger.handles.items()]


class DeskWorld(World):
    """An order desk: a few engines, and callers who come at its rates, on connections of their own."""

    def fill(self) -> None:
        """Write the first configuration, and start all upstreams."""
        self.configure()
        for hall, phases in DESK_ENGINES.items():
            self.add_upstream(PLAIN, hall)
            for phase in phases:
                self.add_upstream(MODEL, hall, phase)

    def start_callers(self) -> None:
        """Let callers come."""
        for route in DESK_RATES:
            self._await_caller(route)

    def _await_caller(self, route: str) -> None:
        self.clock.call_later(self.random.expovariate(DESK_RATES[route]), self._call, route)

    def _call(self, route: str) -> None:
        if not self.stopping:
            self.ask_once(route, f"{route}x")
            self._await_caller(route)


def _make_route(prefix: str, kind: str, service: str, **changes: object) -> dict[str, object]:
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": round(1000 * ROUTE_TIMEOUT),
        "target_latency_ms": 900,
        "service": service,
        "max_attempts": 2,
        **changes,
    }

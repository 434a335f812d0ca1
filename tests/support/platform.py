"""The platform's stand-ins, the relay and callers on one paused network."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone

from beamhatch.observe.journal import Journal
from beamhatch.observe.tally import Tally
from beamhatch.platform.dialect import PlatformDialect
from beamhatch.platform.documents import PlatformDocuments
from beamhatch.platform.standin.base import StandIn, send_json
from beamhatch.platform.standin.store import StandInStore
from beamhatch.platform.standin.upstream import Ledger, StandInEngine, StandInUpstream
from beamhatch.platform.store import PlatformStore
from beamhatch.relay.daemon import Daemon, RelaySettings
from beamhatch.relay.mechanism import NONE_DISABLED, DisabledMechanisms
from beamhatch.relay.model import Address
from beamhatch.relay.overload.protection import ResourceLimits
from beamhatch.relay.retries.budget import RetryBudgetLimits
from beamhatch.relay.topology import Topology
from beamhatch.relay.upstreams.http_client import HttpClient
from beamhatch.relay.workspaces.quota import QuotaTerms
from tests.support.network import Network, PausedClock

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from beamhatch.relay.callers.http_server import IncomingRequest, RequestHandler, Responder

HOST = "desk.example"
STORE = Address("store", 1)
OTHER_DOOR = Address("store-door", 1)
PLAIN = "accounts"
MODEL = "models"


class StoreDoor(StandIn):
    """Another address of the store, at which it can turn some VMs away while it serves the others."""

    def __init__(self, clock: PausedClock, store: StandInStore) -> None:
        super().__init__(clock, OTHER_DOOR)
        self._store = store
        self.shut = False

    def serve(self, incoming: IncomingRequest, responder: Responder) -> RequestHandler | None:
        """Serve one call, or turn it away."""
        if self.shut:
            send_json(responder, 503, {})
            return None
        return self._store.serve(incoming, responder)


class MemoryJournal(Journal):
    """Keeps the lines."""

    def __init__(self, clock: PausedClock) -> None:
        super().__init__(clock)
        self.lines: list[dict[str, Any]] = []

    def write(self, part: str, event: str, **fields: object) -> None:
        """Keep one line."""
        self.lines.append({"part": part, "event": event, **fields})

    def list_events(self, request: str) -> list[str]:
        """Return what happened to a request."""
        return [line["event"] for line in self.lines if line.get("request") == request]


def make_route(prefix: str, kind: str, service: str, **changes: object) -> dict[str, object]:
    """Return a route of the operators' configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 900,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **changes,
    }


ROUTES = [
    make_route("/safe/", "safe", PLAIN, target_latency_ms=300),
    make_route("/unsafe/", "unsafe", PLAIN, target_latency_ms=300),
    make_route("/stream/", "streaming", MODEL, max_attempts=1),
    make_route("/resumable/", "streaming", MODEL, resumable=True),
]
ENGINE = {"capacity": 128, "kv_capacity": 60_000, "kv_ttl_s": 0.5, "hold_ms": 2000}
SERVICES = [{"name": PLAIN, "max_conns": 100}, {"name": MODEL, "max_conns": 600, "engine": ENGINE}]


SENT_TO = [
    ("/safe/x", "plain-0"),
    ("/unsafe/x", "plain-0"),
    ("/stream/x", "prefill-0"),
    ("/resumable/x", "prefill-0"),
    ("/stream/x", "decode-0"),
    ("/resumable/x", "decode-0"),
]
"""Each kind of route, with an upstream that its requests are sent to."""


def find_answering(target: str) -> str:
    """Return how the names of the upstreams begin that answer requests for a target."""
    return "plain" if target.startswith(("/safe", "/unsafe")) else "decode"


def make_workspace(name: str, *keys: str, rate: float = 0, burst: float = 0, **changes: object) -> dict[str, object]:
    """Return a workspace of the operators' configuration, with a quota in tokens where there is a rate."""
    return {
        "name": name,
        "api_keys": list(keys),
        "priority": 1,
        "unit": "token_stream",
        "plain_tokens": 200,
        "rate_per_s": rate,
        "burst": burst,
        **changes,
    }


def make_configuration(
    version: int,
    routes: list[dict[str, object]] | None = None,
    workspaces: list[dict[str, object]] | None = None,
) -> dict[str, object]:
    """Return a document of the operators."""
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 100_000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {
        "version": version,
        "routes": ROUTES if routes is None else routes,
        "services": SERVICES,
        "limits": limits,
        "tenants": workspaces or [],
    }


class Caller(Protocol):
    """One caller's connection: sends text, keeps what comes back."""

    def __init__(self) -> None:
        self.received = b""
        self.closed = False
        self.reset = False

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Note the end."""
        self.closed = True
        self.reset = "ConnectionLost" in repr(reason.value)

    def dataReceived(self, data: bytes) -> None:
        """Keep bytes."""
        self.received += data

    def send(self, text: bytes) -> None:
        """Send bytes."""
        self.transport.write(text)

    def leave(self) -> None:
        """Close the connection."""
        self.transport.loseConnection()

    @property
    def head(self) -> str:
        """Return the head of the first answer."""
        return self.received.partition(b"\r\n\r\n")[0].decode("latin-1")

    @property
    def status(self) -> int:
        """Return the status of the first answer, 0 where none came."""
        return int(self.received.split(b" ", 2)[1]) if b"\r\n" in self.received else 0

    @property
    def retry_after_s(self) -> float | None:
        """Return the seconds after which the first answer tells to come back, None where it does not."""
        for line in self.head.split("\r\n"):
            if line.lower().startswith("retry-after:"):
                return float(line.partition(":")[2])
        return None

    @property
    def whole(self) -> bool:
        """Tell whether the first answer has its end."""
        head, _, body = self.received.partition(b"\r\n\r\n")
        if b"chunked" in head.lower():
            return body.endswith(b"0\r\n\r\n")
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                return len(body) >= int(line.split(b":")[1])
        return False

    @property
    def body(self) -> bytes:
        """Return the body of the first answer, without chunks."""
        head, _, body = self.received.partition(b"\r\n\r\n")
        if b"chunked" not in head.lower():
            return body
        joined = b""
        while body:
            size, _, rest = body.partition(b"\r\n")
            joined += rest[: int(size, 16)]
            body = rest[int(size, 16) + 2 :]
        return joined

    @property
    def events(self) -> list[int]:
        """Return the ids of the events that came."""
        return [int(line[4:]) for line in self.body.split(b"\n") if line.startswith(b"id: ")]


class _CallerFactory(ClientFactory):
    noisy = False

    def __init__(self, caller: Caller) -> None:
        self._caller = caller

    def buildProtocol(self, _: Any) -> Caller:
        return self._caller


def make_request(path: str, request: str, *, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Return a request as bytes."""
    fields = {"Host": HOST, "Request-Id": request, "Deadline-Ms": "14000", **(headers or {})}
    if path.startswith(("/stream", "/resumable")):
        fields.setdefault("Token-Count", "5000,10")
        fields.setdefault("Prompt-Prefix", f"aa:200,{request}:4800")
    method = "POST" if body else "GET"
    if body:
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode() + body


@dataclass
class Platform:
    """Everything on one paused network."""

    network: Network = field(default_factory=Network)
    ledger: Ledger = field(default_factory=Ledger)
    upstreams: dict[str, StandInUpstream] = field(default_factory=dict)
    halls: dict[str, str] = field(default_factory=dict)
    """The hall of each upstream; it may be set before the upstream is added."""
    vms: dict[str, Daemon] = field(default_factory=dict)
    journals: dict[str, MemoryJournal] = field(default_factory=dict)
    places: Topology = field(default_factory=Topology)
    names_hosts: bool = False
    """Whether connections that a VM dials are known as its: needed for distances, and for cuts that hold both ways."""

    def __post_init__(self) -> None:
        """Start the store."""
        self.clock = PausedClock(self.network)
        self.store = StandInStore(self.clock, STORE)
        self.store.start()
        self.door = StoreDoor(self.clock, self.store)
        self.door.start()

    def configure(
        self,
        version: int,
        routes: list[dict[str, object]] | None = None,
        workspaces: list[dict[str, object]] | None = None,
        cold: dict[str, object] | None = None,
    ) -> None:
        """Have the operators write a configuration.

        :param cold: what upstreams of all services bear while they are cold
        """
        written = make_configuration(version, routes, workspaces)
        if cold is not None:
            written["services"] = [{**service, **cold} for service in SERVICES]
        self.store.put("op/config", written)

    def empty(self, hall: str) -> None:
        """Have the operators empty a hall."""
        self.store.put(f"op/evacuate/{hall}", b"")

    def take_back(self, hall: str) -> None:
        """Have the operators take a hall back."""
        self.store.remove(f"op/evacuate/{hall}")

    def add_plain(self, name: str, hall: str = "hall-a") -> StandInUpstream:
        """Start and list a plain service's replica."""
        upstream = StandInUpstream(self.clock, Address(f"host-{name}", 80), name, self.ledger)
        self._add(name, upstream, PLAIN, hall)
        return upstream

    def add_engine(
        self, name: str, phase: str, kv_tokens: int = 60_000, hall: str = "hall-a", version: str = "v1"
    ) -> StandInEngine:
        """Start and list an engine."""
        engine = StandInEngine(self.clock, Address(f"host-{name}", 80), name, self.ledger, phase, kv_tokens)
        engine.version = version
        self._add(name, engine, MODEL, hall)
        engine.on_phase_change = lambda: self.list_again(name)
        return engine

    def find_hall(self, upstream: str) -> str:
        """Return the hall of an upstream."""
        return self.halls.get(upstream, "hall-a")

    def list_again(self, name: str) -> None:
        """Have an upstream write its entry anew."""
        service = MODEL if isinstance(self.upstreams[name], StandInEngine) else PLAIN
        self.store.put(f"servers/{name}", self.upstreams[name].make_entry(service, self.halls[name]))

    def turn_cold(self, name: str, seconds: float) -> None:
        """Have an upstream say that it is cold for some time."""
        self.upstreams[name].cold_left_s = seconds
        self.list_again(name)

    def remove(self, name: str) -> None:
        """End an upstream for good, and remove its entry."""
        upstream = self.upstreams.pop(name)
        upstream.end()
        upstream.on_restart = _do_nothing
        if isinstance(upstream, StandInEngine):
            upstream.on_phase_change = _do_nothing
        self.store.remove(f"servers/{name}")

    def _add(self, name: str, upstream: StandInUpstream, service: str, hall: str) -> None:
        self.halls.setdefault(name, hall)
        upstream.start()
        self.upstreams[name] = upstream
        upstream.on_restart = lambda: self.list_again(name)
        self.store.put(f"servers/{name}", upstream.make_entry(service, self.halls[name]))

    def drain(self, name: str) -> None:
        """Have an upstream say that it leaves."""
        service = MODEL if isinstance(self.upstreams[name], StandInEngine) else PLAIN
        self.store.put(f"servers/{name}", self.upstreams[name].make_entry(service, self.halls[name], "draining"))

    def add_vm(
        self,
        name: str = "vm1",
        seeds: list[str] | None = None,
        hall: str = "hall-a",
        without: DisabledMechanisms = NONE_DISABLED,
        quota: QuotaTerms | None = None,
        places: Topology | None = None,
        store: Address = STORE,
        clock: PausedClock | None = None,
        link_mbit_per_s: float = 0.0,
    ) -> Daemon:
        """Start a VM's relay.

        :param clock: its own, where that may differ from the network's
        :param link_mbit_per_s: rate of its link that it is told; 0 for none
        """
        settings = RelaySettings(
            vm=name,
            hall=hall,
            caller_address=Address(name, 8000),
            ready_address=Address(name, 8001),
            ready_path="/api/ready",
            store_address=store,
            grace=8.0,
            retry_budget=RetryBudgetLimits(0.2, 56, 10),
            quota=quota or QuotaTerms(),
            peer_address=Address(name, 8002),
            tunnel_address=Address(name, 8003),
            record_address=Address(name, 8003),
            seeds=seeds or [],
            is_first_start=True,
            topology=places or self.places,
            disabled=without,
            limits=ResourceLimits(link_mbit_per_s=link_mbit_per_s),
        )
        journal = self.journals[name] = MemoryJournal(self.clock)
        documents = PlatformDocuments(journal)
        if clock is None:
            clock = PausedClock(self.network.at(name)) if self.names_hosts else self.clock
        client = PlatformStore(HttpClient(clock), clock, store, documents)
        daemon = Daemon(settings, clock, journal, Tally(), PlatformDialect(), documents, client)
        self.vms[name] = daemon
        daemon.start()
        return daemon

    def connect(self, vm: str = "vm1", port: int = 8000) -> Caller:
        """Open a caller's connection."""
        caller = Caller()
        self.network.connectTCP(vm, port, _CallerFactory(caller))
        self.network.run(0.01)
        return caller

    def call(self, path: str, request: str, *, vm: str = "vm1", **options: Any) -> Caller:
        """Send a request on a connection of its own."""
        caller = self.connect(vm)
        caller.send(make_request(path, request, **options))
        return caller

    def finish(self, caller: Caller, limit: float = 20.0) -> Caller:
        """Wait for the whole answer, or for the end of the connection."""
        self.network.run_until(lambda: caller.closed or caller.whole, limit)
        return caller

    def is_ready(self, vm: str = "vm1") -> bool:
        """Ask a VM whether it is ready, as the platform does."""
        caller = self.connect(vm, 8001)
        caller.send(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        self.network.run(0.05)
        return caller.status == 200


def _do_nothing() -> None:
    pass


def make_platform(
    *, plain: int = 2, prefill: int = 2, decode: int = 2, without: DisabledMechanisms = NONE_DISABLED
) -> Platform:
    """Return a platform with one VM that is ready."""
    platform = Platform()
    platform.configure(1)
    for number in range(plain):
        platform.add_plain(f"plain-{number}")
    for number in range(prefill):
        platform.add_engine(f"prefill-{number}", "prefill")
    for number in range(decode):
        platform.add_engine(f"decode-{number}", "decode")
    platform.add_vm(without=without)
    platform.network.run_until(platform.is_ready)
    return platform


def read_json(caller: Caller) -> Any:
    """Return the body as JSON."""
    return json.loads(caller.body)

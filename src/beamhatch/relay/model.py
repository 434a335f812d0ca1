"""Data model of the relay: routes, services, upstreams, requests and limits on callers."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, NewType

from beamhatch.relay.topology import RegionName
from beamhatch.relay.workspaces.workspace import KeyDigest, Workspace, WorkspaceName

UpstreamId = NewType("UpstreamId", str)
"""Id of an upstream; an upstream may keep it over a restart, see ``Incarnation``."""

RouteName = NewType("RouteName", str)
"""Name of a route in the configuration."""

ServiceName = NewType("ServiceName", str)
"""Name of a service, a set of interchangeable upstreams."""

SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of an upstream's software, an opaque text without an order."""

Fingerprint = NewType("Fingerprint", bytes)
"""Digest of a request that stays the same on retries, or of properties that requests share; it reveals neither."""

Regions = frozenset[RegionName] | None
"""Regions in which requests may be served and their data cached and stored; None for any region."""


def intersect_regions(first: Regions, second: Regions) -> Regions:
    """Return the regions that both arguments allow."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


class RouteKind(Enum):
    """How many times a request of a route may run."""

    SAFE = "safe"
    """Any number of times."""
    UNSAFE = "unsafe"
    """At most once."""
    STREAMING = "streaming"
    """Response is a stream of events; at most once, unless the route is resumable."""


class Phase(Enum):
    """Phase of request processing that an upstream serves."""

    PLAIN = "plain"
    """Upstream of a service without engines; it serves entire requests."""
    PREFILL = "prefill"
    DECODE = "decode"


class Stage(Enum):
    """Stage of a request that is sent to an upstream."""

    WHOLE = "whole"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class Address:
    """Host and port of a listening socket."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the form ``HOST:PORT``."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Service with its weight in the traffic split of a route."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Mapping of requests to services, with the terms of their handling. Times are in seconds."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    weighted_services: tuple[WeightedService, ...]
    timeout: float
    target_latency: float
    max_attempts: int = 1
    resumable: bool = False
    target_event_interval: float = 0.3
    """Longest interval between two events of a stream that counts as on time."""
    caller_event_timeout: float = 3.6
    """Seconds without an event after which a caller closes a stream."""
    public: bool = False
    """Whether requests need no API key."""
    regions: Regions = None
    """Regions in which its requests may be served."""
    priority: int = 0
    """Priority of its requests, 0 is highest; that of their workspace takes precedence."""

    @property
    def label(self) -> str:
        """Return the kind as a metric label and log field; resumable streams are told from others."""
        return "resumable" if self.kind is RouteKind.STREAMING and self.resumable else self.kind.value

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAMING and self.resumable)

    def choose_service(self, identity: str) -> ServiceName:
        """Return the service for a request, the same one for the same identity."""
        if len(self.weighted_services) == 1:
            return self.weighted_services[0].service
        total = sum(share.weight for share in self.weighted_services)
        point = hash_to_fraction(identity) * total
        for share in self.weighted_services:
            point -= share.weight
            if point < 0:
                return share.service
        return self.weighted_services[-1].service


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Parameters of the engines of a service."""

    slots: int
    kv_tokens: int
    handle_ttl: float
    """Seconds for which a prefill engine keeps a KV cache for the decode engine."""
    reservation_ttl: float = 0.0
    """Seconds for which an engine keeps a reservation; 0 if it takes none."""
    phase_change_time: float = 6.0
    """Seconds that an idle engine needs to change its phase."""
    tokens_per_event: int = 1
    """Tokens in one event of a stream; the last event may have fewer."""
    kv_bytes_per_token: float = 0.0
    """Size of the KV cache of one token; 0 if unknown."""
    link_bytes_per_s: float = 0.0
    """Bandwidth between two engines of the same hall; 0 if unknown."""


@dataclass(frozen=True, slots=True)
class ColdTerms:
    """Limit on requests to an upstream that is cold, which it is for some time after its start."""

    duration: float
    """Seconds for which it is cold after a start."""
    rate: float
    """Requests per second that it can take from all VMs together."""


@dataclass(frozen=True, slots=True)
class Service:
    """Service; ``engine`` is None for a plain one, ``cold`` is None if cold upstreams need no limit."""

    name: ServiceName
    engine: EngineSpec | None = None
    cold: ColdTerms | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of callers' requests (bytes) and on their connections' timing (seconds)."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the operators' configuration, with indexes for look-up."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, Service]
    limits: CallerLimits = CallerLimits()
    by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict, compare=False)
    """Routes of each host, longest prefix first."""
    workspaces: tuple[Workspace, ...] = ()
    """Workspaces whose requests are accepted; if there are none, requests need no API key."""
    by_key: dict[KeyDigest, Workspace] = field(default_factory=dict, compare=False, repr=False)
    by_name: dict[WorkspaceName, Workspace] = field(default_factory=dict, compare=False, repr=False)

    @property
    def has_quotas(self) -> bool:
        """Return whether any workspace has a quota."""
        return any(workspace.quota is not None for workspace in self.workspaces)

    def get_workspace(self, key: KeyDigest | None) -> Workspace | None:
        """Return the workspace of an API key, or None."""
        return None if key is None else self.by_key.get(key)

    def get_allowed_regions(self, route: Route, workspace: WorkspaceName | None, fallback: Regions = None) -> Regions:
        """Return the regions that both the route and the workspace of a request allow.

        :param fallback: allowed regions of a workspace that is not in this table, so that its removal allows no more
        """
        if workspace is None:
            return route.regions
        found = self.by_name.get(workspace)
        return intersect_regions(route.regions, fallback if found is None else found.regions)

    def list_named_regions(self) -> set[RegionName]:
        """Return all regions that are named by routes and workspaces."""
        bounds = [*(route.regions for route in self.routes), *(one.regions for one in self.workspaces)]
        return {region for bound in bounds if bound is not None for region in bound}

    def get_route(self, host: str, prefix: str) -> Route | None:
        """Return the route of a host with exactly this prefix, or None."""
        return next((route for route in self.by_host.get(host, ()) if route.prefix == prefix), None)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path (without query), or None."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def make_routing_table(
    version: int,
    routes: list[Route],
    services: list[Service],
    limits: CallerLimits,
    workspaces: tuple[Workspace, ...] = (),
) -> RoutingTable:
    """Return a routing table with its indexes."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(found, key=lambda route: len(route.prefix), reverse=True)) for host, found in by_host.items()
    }
    by_key = {key: workspace for workspace in workspaces for key in workspace.keys}
    by_name = {workspace.name: workspace for workspace in workspaces}
    by_service = {service.name: service for service in services}
    return RoutingTable(version, tuple(routes), by_service, limits, ordered, workspaces, by_key, by_name)


class Incarnation(NamedTuple):
    """One run of an upstream's process."""

    id: UpstreamId
    born: int
    """Start in Unix milliseconds by the upstream's clock, 0 if unknown.

    Used as an identifier only: another value under the same id is a restarted process, which has lost all its state.
    """


@dataclass(frozen=True, slots=True)
class Upstream:
    """Upstream as listed in the store."""

    id: UpstreamId
    service: ServiceName
    address: Address
    hall: str
    draining: bool
    phase: Phase
    slots: int
    cold_left: float = 0.0
    """Seconds for which it stays cold, counted from when this was received."""
    born: int = 0
    """See ``Incarnation``."""
    version: SoftwareVersion = SoftwareVersion("")
    """Upstreams of a service may run several versions of the software, which can't continue each other's streams."""

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation of the upstream."""
        return Incarnation(self.id, self.born)

    def may_serve(self, version: SoftwareVersion | None) -> bool:
        """Return whether it may serve a stream that a version has begun; None for a stream that has not begun.

        Prefill engines may serve any stream, as they send no events.
        """
        return version is None or self.phase is Phase.PREFILL or self.version == version

    def is_same_incarnation(self, other: Upstream) -> bool:
        """Return whether another entry is of the same incarnation."""
        return self.incarnation == other.incarnation


@dataclass(frozen=True, slots=True)
class Handle:
    """Handle of a prefilled KV cache that an engine keeps until a decode engine fetches it."""

    id: str
    upstream: Upstream
    created_at: float
    """Monotonic seconds."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """Slot and KV memory of a decode engine that are reserved for one request."""

    id: str | None
    """None if the engine was not asked, and only its announced rate limit is accounted for."""
    upstream: Upstream
    expires_at: float
    """Monotonic seconds."""


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt; the same id means the same tokens."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Properties that a caller states of a request."""

    id: str
    time_left: float | None
    """Seconds until the caller's deadline."""
    last_event: int | None = None
    """Number of the last event of a stream that the caller has received."""
    prompt_tokens: int = 0
    output_tokens: int = 0
    """Maximum number of tokens to generate."""
    parts: tuple[PromptPart, ...] = ()
    output_estimate: int = 0
    """Number of output tokens that the caller expects; 0 if unknown."""
    key: KeyDigest | None = field(default=None, repr=False)
    """Digest of the caller's API key; None if it sent no readable one."""
    resumed_request: str | None = None
    """Id of the request with which the caller received the first event of the stream that it resumes now."""

    @property
    def resumes_stream(self) -> bool:
        """Return whether the caller already has a part of the stream."""
        return self.resumed_request is not None or bool(self.last_event)

    @property
    def stream_id(self) -> str:
        """Return the id of the request that began the stream, which is this one unless it resumes a stream."""
        return self.resumed_request or self.id

    @property
    def identity(self) -> str:
        """Return a text that stays the same on retries: the id of the prompt's last part, else the request's id."""
        return self.parts[-1].id if self.parts else self.id


def hash_to_fraction(text: str) -> float:
    """Return a number in [0, 1) that is the same for a text on every VM."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64

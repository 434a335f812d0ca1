"""What the relay routes by: routes, services, upstreams and the bounds on callers."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, NewType

from beamhatch.relay.places import RegionName
from beamhatch.relay.workspaces.workspace import KeyDigest, Workspace, WorkspaceName

UpstreamId = NewType("UpstreamId", str)
"""Identity of one start of an upstream; a restarted upstream has another one."""

ServiceName = NewType("ServiceName", str)
"""Name of a service, a set of upstreams that can stand in for each other."""

Fingerprint = NewType("Fingerprint", bytes)
"""What is the same for a request that is sent again: a digest, from which neither body nor caller can be read."""

Regions = frozenset[RegionName] | None
"""The regions in which something may be served, cached and kept; None where it may be in any."""


def intersect_regions(first: Regions, second: Regions) -> Regions:
    """Return the regions that two bounds both allow."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


class RouteKind(Enum):
    """How often a request of a route may run."""

    SAFE = "safe"
    """Any number of times."""
    UNSAFE = "unsafe"
    """Once at the most."""
    STREAMING = "streaming"
    """Answered by a stream of events; once at the most, unless the route is resumable."""


class Phase(Enum):
    """The part that an upstream plays."""

    PLAIN = "plain"
    """A plain service: it answers whole requests."""
    PREFILL = "prefill"
    DECODE = "decode"


class Stage(Enum):
    """The kind of work that an upstream is sent."""

    WHOLE = "whole"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class Address:
    """Where an upstream listens."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the form ``HOST:PORT``."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """The weight of one service among those that a route is split over."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which service, and what may be done with them. Times are in seconds."""

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
    """The longest pause between two events of a stream in time."""
    caller_event_timeout: float = 3.6
    """Seconds without an event after which a caller leaves a stream."""
    public: bool = False
    """True where requests need no key."""
    regions: Regions = None
    """Where its requests may be served."""
    priority: int = 0
    """The rank of its requests, 0 for the highest, where their workspace has none."""

    @property
    def idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAMING and self.resumable)

    def choose_service(self, identity: str) -> ServiceName:
        """Return the service for a request; the same identity always gets the same one."""
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
    """What is known of the engines of a service."""

    slots: int
    kv_tokens: int
    handle_ttl: float
    """Seconds for which a prefilled KV cache is kept for a decode engine."""
    reservation_ttl: float = 0.0
    """Seconds for which an engine sets memory aside for a request to come; 0 where it does not."""
    phase_change_time: float = 6.0
    """Seconds that an idle engine needs to change its part."""
    tokens_per_event: int = 1
    """Tokens of one event of a stream; its last one may have fewer."""
    kv_bytes_per_token: float = 0.0
    """Bytes of the KV cache of one token; 0 where it is not told."""
    link_bytes_per_s: float = 0.0
    """Bytes a second that an engine's link carries to another one of its hall; 0 where it is not told."""


@dataclass(frozen=True, slots=True)
class ColdTerms:
    """What an upstream of a service bears while it is cold, as it is for some time behind its start."""

    duration: float
    """Seconds for which it stays cold behind a start."""
    rate: float
    """Requests a second that it bears, from all VMs together."""


@dataclass(frozen=True, slots=True)
class Service:
    """A service; ``engine`` is None for a plain one, ``cold`` where its upstreams bear as much when they are cold."""

    name: ServiceName
    engine: EngineSpec | None = None
    cold: ColdTerms | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller sends (bytes), and on how long it takes or idles (seconds)."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, Service]
    limits: CallerLimits = CallerLimits()
    by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict, compare=False)
    """Routes of each host, longest prefix first."""
    workspaces: tuple[Workspace, ...] = ()
    """Whose requests are taken; where there are none, requests need no key."""
    by_key: dict[KeyDigest, Workspace] = field(default_factory=dict, compare=False, repr=False)
    by_name: dict[WorkspaceName, Workspace] = field(default_factory=dict, compare=False, repr=False)

    @property
    def has_quotas(self) -> bool:
        """Tell whether the work of any workspace is limited."""
        return any(workspace.quota is not None for workspace in self.workspaces)

    def get_workspace(self, key: KeyDigest | None) -> Workspace | None:
        """Return the workspace that has a key, or None."""
        return None if key is None else self.by_key.get(key)

    def get_allowed_regions(self, route: Route, workspace: WorkspaceName | None, fallback: Regions = None) -> Regions:
        """Return where a request may be served: in the regions that its route and its workspace both allow.

        :param before: what holds for a workspace that is not in this table: its absence must not widen anything
        """
        if workspace is None:
            return route.regions
        found = self.by_name.get(workspace)
        return intersect_regions(route.regions, fallback if found is None else found.regions)

    def list_named_regions(self) -> set[RegionName]:
        """Return all regions that routes and workspaces name."""
        bounds = [*(route.regions for route in self.routes), *(one.regions for one in self.workspaces)]
        return {region for bound in bounds if bound is not None for region in bound}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path (without query), or None."""
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
    """Return a table with its routes in the order in which they are tried, and its workspaces by their keys."""
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
    """One start of an upstream."""

    id: UpstreamId
    started_at_ms: int
    """When it started, in Unix milliseconds by its own clock; 0 where it does not tell.

    It names a life, and is no time: another number under the same id is another start, which holds nothing of before.
    """


@dataclass(frozen=True, slots=True)
class Upstream:
    """What an upstream's listing says of it."""

    id: UpstreamId
    service: ServiceName
    address: Address
    hall: str
    draining: bool
    phase: Phase
    slots: int
    cold_left: float = 0.0
    """Seconds for which it stays cold, counted from when this was told."""
    started_at_ms: int = 0
    """See ``Incarnation``."""

    @property
    def incarnation(self) -> Incarnation:
        """Return which start of the upstream it is."""
        return Incarnation(self.id, self.started_at_ms)

    def is_same_incarnation(self, other: Upstream) -> bool:
        """Tell whether two entries are of one start of an upstream."""
        return self.incarnation == other.incarnation


@dataclass(frozen=True, slots=True)
class Handle:
    """A prefilled KV cache that an engine holds until a decode engine takes it."""

    id: str
    upstream: Upstream
    created_at: float
    """Monotonic seconds."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """A slot and KV memory that a decode engine has set aside for one request."""

    id: str | None
    """None where it was not asked, and only room by the limit that it names is kept."""
    upstream: Upstream
    expires_at: float
    """Monotonic seconds."""


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; the same id means the same tokens."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What a request says of itself."""

    id: str
    time_left: float | None
    """Seconds that the caller will wait."""
    last_event: int | None = None
    """The last event that the caller already has of a stream."""
    prompt_tokens: int = 0
    output_tokens: int = 0
    """The most tokens that will be made."""
    parts: tuple[PromptPart, ...] = ()
    output_estimate: int = 0
    """The tokens that the caller expects of the answer; 0 where it does not say."""
    key: KeyDigest | None = field(default=None, repr=False)
    """Of the key that the caller showed; None where it showed none that can be read."""

    @property
    def identity(self) -> str:
        """Return what stays the same when the caller asks again: the last part of the prompt, else the id."""
        return self.parts[-1].id if self.parts else self.id


def hash_to_fraction(text: str) -> float:
    """Return a number from 0 up to 1 that is the same for the same text on every VM."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64

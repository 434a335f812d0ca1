"""The platform's documents: the operators' configuration and the entries of upstreams."""

from __future__ import annotations

import re
from enum import Enum
from ipaddress import ip_address
from typing import TYPE_CHECKING, Annotated

import msgspec

from beamhatch.relay.api import Documents
from beamhatch.relay.model import (
    Address,
    CallerLimits,
    ColdTerms,
    EngineSpec,
    Phase,
    Regions,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    ServiceName,
    Upstream,
    UpstreamId,
    WeightedService,
    make_routing_table,
)
from beamhatch.relay.topology import RegionName
from beamhatch.relay.upstreams.listing import Entry
from beamhatch.relay.workspaces.workspace import Quota, QuotaUnit, Workspace, WorkspaceName, digest_key

if TYPE_CHECKING:
    from beamhatch.observe.journal import Journal


MOST_NAME = 200
"""Characters of a name in an entry at the most: the limit that the store's pages set for keys."""

MOST_SLOTS = 65_535
"""Requests at once: one caller has no more connections to an address, by the number of its ports. Engines have 128."""

LARGEST_WHOLE = 2**53 - 1
"""The largest number that all who read JSON read alike (RFC 8259, section 6). As milliseconds it is 285,000 years."""

LONGEST_HOST = 253
"""Characters of a host's name at the most (RFC 1035, section 2.3.4, written out)."""

_HOST_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?(\.[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?)*")
"""Labels of letters, digits and inner hyphens (RFC 1123, section 2.1)."""

LONGEST_COLD_MS = 86_400_000
"""Milliseconds: a day. Upstreams of the measured deployments are cold for 25 s at the most."""


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float
    service: str = ""
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    resumable: bool = False
    target_gap_ms: float = 300
    public: bool = False
    allowed_regions: list[str] | None = None
    priority: int = 0


class _Engine(msgspec.Struct):
    capacity: int = 1
    kv_capacity: int = 1
    kv_ttl_s: float = 0.5
    hold_ms: float = 0
    reconfig_s: float = 6.0
    stride: int = 1
    """Tokens of one event."""
    token_kv_bytes: float = 0
    link_mbps: float = 0


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None
    cold_start_s: float = 0
    cold_per_s: float = 0
    """0 where a replica bears as much when it is cold."""


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct):
    """A workspace."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = ""
    """What ``rate_per_s`` and ``burst`` count: requests, or tokens where the name begins so."""
    plain_tokens: int = 1
    """Tokens that a request counts which does not tell its own."""
    rate_per_s: float = 0
    """0 where there is no limit."""
    burst: float = 0
    allowed_regions: list[str] | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] = []


class _State(Enum):
    READY = "ready"
    DRAINING = "draining"


class _Server(msgspec.Struct):
    """An upstream's entry. What lacks any of these, or has them otherwise, was written by somebody else."""

    service: Annotated[str, msgspec.Meta(min_length=1, max_length=MOST_NAME)]
    address: str
    zone: Annotated[str, msgspec.Meta(max_length=MOST_NAME)]
    version: Annotated[str, msgspec.Meta(max_length=MOST_NAME)]
    capacity: Annotated[int, msgspec.Meta(ge=1, le=MOST_SLOTS)]
    state: _State
    cold_remaining_ms: Annotated[float, msgspec.Meta(le=LONGEST_COLD_MS)]
    """Below 0 where it has been warm for some time."""
    sequence: Annotated[int, msgspec.Meta(ge=0, le=LARGEST_WHOLE)]
    """Counts the upstream's own words; it starts anew with each life, so nothing is ordered by it."""
    born: Annotated[int, msgspec.Meta(ge=0, le=LARGEST_WHOLE)] = 0
    phase: str = ""


BYTES_PER_MBIT = 125_000
"""Bytes a second of 1 Mbit/s, by definition; link rates are written in Mbit/s."""

TOKEN_UNITS = "token"
"""How the units begin that count tokens; all others count requests."""

_read_configuration = msgspec.json.Decoder(_Configuration).decode
_read_server = msgspec.json.Decoder(_Server).decode
_PROBLEMS = (msgspec.DecodeError, msgspec.ValidationError, ValueError, RecursionError)


class PlatformDocuments(Documents):
    """Reads the documents as the platform's pages have them; writes a line on those that can't be read."""

    def __init__(self, journal: Journal) -> None:
        self.journal = journal

    def read_configuration(self, raw: bytes) -> RoutingTable | None:
        """Return the operators' configuration, or None where it can't be read."""
        try:
            read = _read_configuration(raw)
            routes = [_make_route(route) for route in read.routes]
        except _PROBLEMS as problem:
            self.journal.write("CONFIG", "unreadable", bytes=len(raw), detail=str(problem))
            return None
        unbound = [route.name for route in read.routes if route.allowed_regions == []]
        unbound += [tenant.name for tenant in read.tenants if tenant.allowed_regions == []]
        if unbound:
            self.journal.write("CONFIG", "empty list of regions taken as none", names=unbound, version=read.version)
        services = [_make_service(service) for service in read.services]
        workspaces = tuple(_make_workspace(tenant) for tenant in read.tenants)
        return make_routing_table(read.version, routes, services, _make_limits(read.limits), workspaces)

    def read_entry(self, upstream: UpstreamId, revision: int, raw: bytes | None) -> Entry:
        """Return an upstream's entry; one that is gone, or can't be read, has no upstream.

        Others may write there too: what is no upstream's entry names none to use, and takes nothing from the rest.
        """
        if raw is None:
            return Entry(upstream, revision, None)
        try:
            found = _read_upstream(upstream, raw)
        except _PROBLEMS as problem:
            self.journal.write("LISTING", "unreadable", upstream=upstream, revision=revision, detail=str(problem))
            return Entry(upstream, revision, None, readable=False)
        return Entry(upstream, revision, found)


def _read_upstream(upstream: UpstreamId, raw: bytes) -> Upstream:
    read = _read_server(raw)
    return Upstream(
        id=upstream,
        service=ServiceName(read.service),
        address=_read_address(read.address),
        hall=read.zone,
        draining=read.state is _State.DRAINING,
        phase=Phase(read.phase) if read.phase else Phase.PLAIN,
        slots=read.capacity,
        cold_left=max(0.0, read.cold_remaining_ms / 1000),
        started_at_ms=read.born,
    )


def _read_address(text: str) -> Address:
    """Return an address.

    :raises ValueError: where it has no host or no port
    """
    host, _, port = text.rpartition(":")
    if not _is_host(host) or not port.isascii() or not port.isdigit() or not 0 < int(port[:6]) < 65536:
        raise ValueError(f"{text[:100]!r} is no address")
    return Address(host, int(port))


def _is_host(text: str) -> bool:
    """Tell whether a text is an IP address, or may be a host's name; one that ends in a number is no name."""
    try:
        ip_address(text)
    except ValueError:
        last = text.rpartition(".")[2]
        return len(text) <= LONGEST_HOST and _HOST_NAME.fullmatch(text) is not None and not last.isdigit()
    return True


def _read_regions(names: list[str] | None) -> Regions:
    """Return the regions that a document names; an empty list, as none at all, leaves all of them."""
    return frozenset(RegionName(name) for name in names) if names else None


def _make_route(read: _Route) -> Route:
    shares = tuple(
        WeightedService(ServiceName(split.service), split.weight) for split in read.traffic_split if split.weight > 0
    )
    return Route(
        name=read.name,
        host=read.host.lower(),
        prefix=read.path_prefix,
        kind=RouteKind(read.route_type),
        weighted_services=shares or (WeightedService(ServiceName(read.service), 1.0),),
        timeout=read.timeout_ms / 1000,
        target_latency=read.target_latency_ms / 1000,
        max_attempts=read.max_attempts,
        resumable=read.resumable,
        target_event_interval=read.target_gap_ms / 1000,
        caller_event_timeout=max(2.0, 4 * read.target_latency_ms / 1000, 8 * read.target_gap_ms / 1000),
        public=read.public,
        regions=_read_regions(read.allowed_regions),
        priority=read.priority,
    )


def _make_workspace(read: _Tenant) -> Workspace:
    quota = None
    if read.rate_per_s > 0:
        unit = QuotaUnit.TOKEN if read.unit.startswith(TOKEN_UNITS) else QuotaUnit.REQUEST
        quota = Quota(unit, read.rate_per_s, read.burst, read.plain_tokens)
    return Workspace(
        name=WorkspaceName(read.name),
        keys=tuple(digest_key(key) for key in read.api_keys),
        priority=read.priority,
        quota=quota,
        regions=_read_regions(read.allowed_regions),
    )


def _make_service(read: _Service) -> Service:
    engine = None
    if read.engine is not None:
        engine = EngineSpec(
            slots=read.engine.capacity,
            kv_tokens=read.engine.kv_capacity,
            handle_ttl=read.engine.kv_ttl_s,
            reservation_ttl=read.engine.hold_ms / 1000,
            phase_change_time=read.engine.reconfig_s,
            tokens_per_event=read.engine.stride,
            kv_bytes_per_token=read.engine.token_kv_bytes,
            link_bytes_per_s=read.engine.link_mbps * BYTES_PER_MBIT,
        )
    cold = ColdTerms(read.cold_start_s, read.cold_per_s) if read.cold_per_s > 0 else None
    return Service(ServiceName(read.name), engine, cold)


def _make_limits(read: _Limits) -> CallerLimits:
    return CallerLimits(
        read.max_header_bytes, read.max_body_bytes, read.header_timeout_ms / 1000, read.idle_timeout_ms / 1000
    )

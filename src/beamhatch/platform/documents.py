"""Decoding of the platform's documents: the operators' configuration and the entries of upstreams."""

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
    SoftwareVersion,
    Upstream,
    UpstreamId,
    WeightedService,
    make_routing_table,
)
from beamhatch.relay.overload.meter import BYTES_PER_MBIT
from beamhatch.relay.topology import RegionName
from beamhatch.relay.upstreams.listing import Entry
from beamhatch.relay.workspaces.workspace import Quota, QuotaUnit, Workspace, WorkspaceName, digest_key

if TYPE_CHECKING:
    from beamhatch.observe.journal import Journal


MAX_NAME_LENGTH = 200
"""In characters: the store's limit for keys."""

MAX_SLOTS = 65_535
"""Concurrent requests: one client cannot open more connections to an address than it has TCP ports."""

MAX_SAFE_INTEGER = 2**53 - 1
"""The largest integer that all JSON implementations represent exactly (RFC 8259, section 6)."""

MAX_HOST_NAME_LENGTH = 253
"""In characters, without the trailing dot (RFC 1035, section 2.3.4)."""

_HOST_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?(\.[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?)*")
"""Labels of letters, digits and inner hyphens (RFC 1123, section 2.1)."""

MAX_COLD_MS = 86_400_000
"""One day.

Far more than upstreams stay cold.
"""


class _TrafficSplit(msgspec.Struct):
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
    traffic_split: list[_TrafficSplit] = []
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
    """Tokens per event."""
    token_kv_bytes: float = 0
    link_mbps: float = 0


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None
    cold_start_s: float = 0
    cold_per_s: float = 0
    """Requests per second that a cold replica can serve; 0 if it is not limited."""


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
    """Unit of ``rate_per_s`` and ``burst``: tokens if it starts with ``TOKEN_UNIT_PREFIX``, otherwise requests."""
    plain_tokens: int = 1
    """Tokens charged for a request without token counts."""
    rate_per_s: float = 0
    """0 for no limit."""
    burst: float = 0
    allowed_regions: list[str] | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] = []


class _UpstreamState(Enum):
    READY = "ready"
    DRAINING = "draining"


class _UpstreamEntry(msgspec.Struct):
    """An upstream's entry in the store. The constraints reject values that are not upstream entries."""

    service: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
    address: str
    zone: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    version: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    capacity: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: _UpstreamState
    cold_remaining_ms: Annotated[float, msgspec.Meta(le=MAX_COLD_MS)]
    """Negative once the upstream is warm."""
    sequence: Annotated[int, msgspec.Meta(ge=0, le=MAX_SAFE_INTEGER)]
    """The upstream's own update counter. It restarts with each incarnation, so it is not used for ordering."""
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_SAFE_INTEGER)] = 0
    phase: str = ""


TOKEN_UNIT_PREFIX = "token"
"""Units with this prefix count tokens; all others count requests."""

_decode_configuration = msgspec.json.Decoder(_Configuration).decode
_decode_upstream_entry = msgspec.json.Decoder(_UpstreamEntry).decode
_DECODING_ERRORS = (msgspec.DecodeError, msgspec.ValidationError, ValueError, RecursionError)


class PlatformDocuments(Documents):
    """Decodes the platform's documents and logs those that are invalid."""

    def __init__(self, journal: Journal) -> None:
        self.journal = journal

    def read_configuration(self, raw: bytes) -> RoutingTable | None:
        """Return the operators' configuration, or None if it is invalid."""
        try:
            configuration = _decode_configuration(raw)
            routes = [_make_route(route) for route in configuration.routes]
        except _DECODING_ERRORS as problem:
            self.journal.write("CONFIG", "unreadable", bytes=len(raw), detail=str(problem))
            return None
        unbound = [route.name for route in configuration.routes if route.allowed_regions == []]
        unbound += [tenant.name for tenant in configuration.tenants if tenant.allowed_regions == []]
        if unbound:
            self.journal.write(
                "CONFIG", "empty list of regions taken as none", names=unbound, version=configuration.version
            )
        services = [_make_service(service) for service in configuration.services]
        workspaces = tuple(_make_workspace(tenant) for tenant in configuration.tenants)
        return make_routing_table(
            configuration.version, routes, services, _make_limits(configuration.limits), workspaces
        )

    def read_entry(self, upstream: UpstreamId, revision: int, raw: bytes | None) -> Entry:
        """Return an upstream's entry, without an upstream if the entry was removed or is invalid.

        Other programs may write under the same prefix: an invalid entry must not affect the other entries.
        """
        if raw is None:
            return Entry(upstream, revision, None)
        try:
            found = _make_upstream(upstream, raw)
        except _DECODING_ERRORS as problem:
            self.journal.write("LISTING", "unreadable", upstream=upstream, revision=revision, detail=str(problem))
            return Entry(upstream, revision, None, readable=False)
        return Entry(upstream, revision, found)


def _make_upstream(upstream: UpstreamId, raw: bytes) -> Upstream:
    entry = _decode_upstream_entry(raw)
    return Upstream(
        id=upstream,
        service=ServiceName(entry.service),
        address=_parse_address(entry.address),
        hall=entry.zone,
        draining=entry.state is _UpstreamState.DRAINING,
        phase=Phase(entry.phase) if entry.phase else Phase.PLAIN,
        slots=entry.capacity,
        cold_left=max(0.0, entry.cold_remaining_ms / 1000),
        born=entry.born,
        version=SoftwareVersion(entry.version),
    )


def _parse_address(text: str) -> Address:
    """Return the address in ``host:port`` form.

    :raises ValueError: if the host or the port is missing or invalid
    """
    host, _, port = text.rpartition(":")
    if not _is_host(host) or not port.isascii() or not port.isdigit() or not 0 < int(port[:6]) < 65536:
        raise ValueError(f"{text[:100]!r} is not a valid host:port address")
    return Address(host, int(port))


def _is_host(text: str) -> bool:
    """Return whether the text is an IP address or a valid host name, whose last label must not be a number."""
    try:
        ip_address(text)
    except ValueError:
        last = text.rpartition(".")[2]
        return len(text) <= MAX_HOST_NAME_LENGTH and _HOST_NAME.fullmatch(text) is not None and not last.isdigit()
    return True


def _make_regions(names: list[str] | None) -> Regions:
    """Return the allowed regions, or None for all regions if the list is empty or missing."""
    return frozenset(RegionName(name) for name in names) if names else None


def _make_route(config: _Route) -> Route:
    shares = tuple(
        WeightedService(ServiceName(split.service), split.weight) for split in config.traffic_split if split.weight > 0
    )
    return Route(
        name=config.name,
        host=config.host.lower(),
        prefix=config.path_prefix,
        kind=RouteKind(config.route_type),
        weighted_services=shares or (WeightedService(ServiceName(config.service), 1.0),),
        timeout=config.timeout_ms / 1000,
        target_latency=config.target_latency_ms / 1000,
        max_attempts=config.max_attempts,
        resumable=config.resumable,
        target_event_interval=config.target_gap_ms / 1000,
        caller_event_timeout=max(2.0, 4 * config.target_latency_ms / 1000, 8 * config.target_gap_ms / 1000),
        public=config.public,
        regions=_make_regions(config.allowed_regions),
        priority=config.priority,
    )


def _make_workspace(tenant: _Tenant) -> Workspace:
    quota = None
    if tenant.rate_per_s > 0:
        unit = QuotaUnit.TOKEN if tenant.unit.startswith(TOKEN_UNIT_PREFIX) else QuotaUnit.REQUEST
        quota = Quota(unit, tenant.rate_per_s, tenant.burst, tenant.plain_tokens)
    return Workspace(
        name=WorkspaceName(tenant.name),
        keys=tuple(digest_key(key) for key in tenant.api_keys),
        priority=tenant.priority,
        quota=quota,
        regions=_make_regions(tenant.allowed_regions),
    )


def _make_service(config: _Service) -> Service:
    engine = None
    if config.engine is not None:
        engine = EngineSpec(
            slots=config.engine.capacity,
            kv_tokens=config.engine.kv_capacity,
            handle_ttl=config.engine.kv_ttl_s,
            reservation_ttl=config.engine.hold_ms / 1000,
            phase_change_time=config.engine.reconfig_s,
            tokens_per_event=config.engine.stride,
            kv_bytes_per_token=config.engine.token_kv_bytes,
            link_bytes_per_s=config.engine.link_mbps * BYTES_PER_MBIT,
        )
    cold = ColdTerms(config.cold_start_s, config.cold_per_s) if config.cold_per_s > 0 else None
    return Service(ServiceName(config.name), engine, cold)


def _make_limits(config: _Limits) -> CallerLimits:
    return CallerLimits(
        config.max_header_bytes, config.max_body_bytes, config.header_timeout_ms / 1000, config.idle_timeout_ms / 1000
    )

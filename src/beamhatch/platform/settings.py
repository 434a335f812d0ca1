"""Reading of the TOML settings file that the platform writes for each process."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from beamhatch.relay.daemon import RelaySettings
from beamhatch.relay.mechanism import NONE_DISABLED, DisabledMechanisms
from beamhatch.relay.model import Address
from beamhatch.relay.overload.protection import ResourceLimits
from beamhatch.relay.retries.budget import RetryBudgetLimits
from beamhatch.relay.topology import RegionName, Topology
from beamhatch.relay.workspaces.quota import QuotaTerms

READY_PATH = "/api/ready"
METRICS_PORT = 9464
"""TCP port of the metrics endpoint; must match ``deploy/system.toml``."""

METRICS_PATH = "/metrics"
BYTES_PER_MB = 1_000_000
FILE_DESCRIPTORS = 200
"""Descriptors of a process that the platform keeps for files."""

DEFAULT_GRACE_S = 8.0
"""Shutdown grace period if the settings define none."""


class SettingsError(ValueError):
    """An unreadable or invalid settings file."""


class _Listen(msgspec.Struct):
    frontend: str
    ready: str
    control: str = ""


class _Bounds(msgspec.Struct):
    grace_s: float = DEFAULT_GRACE_S
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    retry_slack: float = 50
    lease_ms: float = 3000
    drain_timeout_ms: float = 2000
    config_apply_ms: float = 2000
    quota_window_s: float = 8
    quota_overage: float = 0.1
    quota_slack: float = 0
    cold_overage: float = 1.0
    cold_slack: float = 0.0


class _Limits(msgspec.Struct):
    link_mbps: float = 0.0
    memory_mb: int = 0
    max_fds: int = 0


class _Provider(msgspec.Struct):
    address: str


class _Settings(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    provider: _Provider
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    seeds: list[str] = []
    bootstrap: bool = False
    """Whether the whole system starts for the first time."""
    zones: dict[str, str] = {}
    """Regions by hall."""
    limits: _Limits = msgspec.field(default_factory=_Limits)
    port_range: list[int] = []
    """First and last of the ports that are free for what VMs say to each other."""


def read_settings(path: str, without: DisabledMechanisms = NONE_DISABLED) -> RelaySettings:
    """Return the settings in a file, with the given mechanisms disabled.

    :raises SettingsError: if the file is unreadable or invalid
    """
    try:
        config = msgspec.convert(tomllib.loads(Path(path).read_text()), _Settings, strict=False)
        return _make_settings(config, without)
    except (OSError, ValueError, msgspec.ValidationError) as problem:
        raise SettingsError(f"{path}: {problem}") from None


def _make_settings(config: _Settings, without: DisabledMechanisms) -> RelaySettings:
    bounds = config.bounds
    return RelaySettings(
        vm=config.node_name,
        hall=config.zone,
        caller_address=_parse_address(config.listen.frontend),
        ready_address=_parse_address(config.listen.ready),
        ready_path=READY_PATH,
        store_address=_parse_address(config.provider.address),
        grace=bounds.grace_s,
        retry_budget=RetryBudgetLimits(bounds.retry_budget_ratio, bounds.retry_slack, bounds.budget_window_s),
        quota=QuotaTerms(bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack),
        peer_address=_parse_address(config.listen.control) if config.listen.control else None,
        tunnel_address=Address(config.ip, config.port_range[0]) if config.port_range else None,
        record_address=Address(config.ip, config.port_range[0]) if config.port_range else None,
        seeds=config.seeds,
        is_first_start=config.bootstrap,
        topology=Topology({hall: RegionName(region) for hall, region in config.zones.items()}),
        cold_overage=bounds.cold_overage,
        cold_slack=bounds.cold_slack,
        handover_time=bounds.lease_ms / 1000,
        drain_time=bounds.drain_timeout_ms / 1000,
        apply_time=bounds.config_apply_ms / 1000,
        limits=ResourceLimits(
            link_mbit_per_s=config.limits.link_mbps,
            memory_bytes=config.limits.memory_mb * BYTES_PER_MB,
            descriptors=max(0, config.limits.max_fds - FILE_DESCRIPTORS),
        ),
        disabled=without,
        metrics_address=Address(config.ip, METRICS_PORT),
        metrics_path=METRICS_PATH,
    )


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))

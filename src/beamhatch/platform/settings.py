"""The settings file that the platform writes for each process (TOML)."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from beamhatch.relay.daemon import RelaySettings
from beamhatch.relay.mechanism import NONE_DISABLED, DisabledMechanisms
from beamhatch.relay.model import Address
from beamhatch.relay.requests.budget import BudgetTerms
from beamhatch.relay.topology import RegionName, Topology
from beamhatch.relay.workspaces.quota import QuotaTerms

READY_PATH = "/api/ready"
METRICS_PORT = 9464
"""TCP port of the figures; ``deploy/system.toml`` names the same."""

METRICS_PATH = "/metrics"
DEFAULT_GRACE = 8.0
"""Seconds for a planned stop where the settings name none, as in the platform's example."""


class SettingsError(ValueError):
    """A settings file that can't be used; the text says where and why."""


class _Listen(msgspec.Struct):
    frontend: str
    ready: str
    control: str = ""


class _Bounds(msgspec.Struct):
    grace_s: float = DEFAULT_GRACE
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    retry_slack: float = 50
    lease_ms: float = 3000
    drain_timeout_ms: float = 2000
    quota_window_s: float = 8
    quota_overage: float = 0.1
    quota_slack: float = 0
    cold_overage: float = 1.0
    cold_slack: float = 0.0


class _Limits(msgspec.Struct):
    link_mbps: float = 0.0


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
    zones: dict[str, str] = {}
    """The region of each hall."""
    limits: _Limits = msgspec.field(default_factory=_Limits)


def read_settings(path: str, without: DisabledMechanisms = NONE_DISABLED) -> RelaySettings:
    """Return the settings in a file, for a relay that leaves some mechanisms out.

    :raises SettingsError: where the file can't be read, or lacks something
    """
    try:
        read = msgspec.convert(tomllib.loads(Path(path).read_text()), _Settings, strict=False)
        return _make_settings(read, without)
    except (OSError, ValueError, msgspec.ValidationError) as problem:
        raise SettingsError(f"{path}: {problem}") from None


def _make_settings(read: _Settings, without: DisabledMechanisms) -> RelaySettings:
    bounds = read.bounds
    return RelaySettings(
        vm=read.node_name,
        hall=read.zone,
        caller_address=_read_address(read.listen.frontend),
        ready_address=_read_address(read.listen.ready),
        ready_path=READY_PATH,
        store_address=_read_address(read.provider.address),
        grace=bounds.grace_s,
        retry_budget=BudgetTerms(bounds.retry_budget_ratio, bounds.retry_slack, bounds.budget_window_s),
        quota=QuotaTerms(bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack),
        peer_address=_read_address(read.listen.control) if read.listen.control else None,
        seeds=read.seeds,
        topology=Topology({hall: RegionName(region) for hall, region in read.zones.items()}),
        cold_overage=bounds.cold_overage,
        cold_slack=bounds.cold_slack,
        handover_time=bounds.lease_ms / 1000,
        drain_time=bounds.drain_timeout_ms / 1000,
        link_mbit_per_s=read.limits.link_mbps,
        disabled=without,
        metrics_address=Address(read.ip, METRICS_PORT),
        metrics_path=METRICS_PATH,
    )


def _read_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))

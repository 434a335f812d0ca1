"""What the streams of all VMs together ask of the engines, from what the VMs tell each other."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.balancing import Pressure
from beamhatch.relay.gossip_message import DemandReport

if TYPE_CHECKING:
    from collections.abc import Mapping

    from beamhatch.relay.model import ServiceName

REPORT_LIFE = 1.8
"""Seconds for which another VM's report is believed."""


@dataclass(frozen=True, slots=True)
class _Heard:
    reports: Mapping[str, DemandReport]
    at: float


@dataclass(slots=True)
class FleetDemand:
    """The newest report of each VM that this one has a connection to."""

    _heard: dict[str, _Heard] = field(default_factory=dict)

    def take(self, vm: str, reports: Mapping[str, DemandReport], now: float) -> None:
        """Take in another VM's report."""
        self._heard[vm] = _Heard(reports, now)

    def forget_old(self, now: float) -> None:
        """Drop reports that are no longer believed."""
        self._heard = {vm: heard for vm, heard in self._heard.items() if now - heard.at < REPORT_LIFE}

    def find_pressure(self, service: ServiceName, own: DemandReport, vms: int, now: float) -> Pressure:
        """Return what all VMs ask of a service; those that were not heard are taken to ask as much as the others.

        :param own: what this VM's own streams ask
        :param vms: how many VMs there are
        """
        self.forget_old(now)
        reports = [own, *(heard.reports.get(service, DemandReport()) for heard in self._heard.values())]
        scale = max(1.0, vms / len(reports))
        prompt_rate = sum(report.prompt_rate for report in reports)
        wait_rate = sum(report.wait_rate for report in reports)
        weighted = sum(report.prompt_rate * report.memory_seconds for report in reports)
        memory_seconds = weighted / prompt_rate if prompt_rate else own.memory_seconds
        return Pressure(scale * prompt_rate, scale * wait_rate, memory_seconds)

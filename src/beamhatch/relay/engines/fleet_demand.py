"""What the streams of all VMs together ask of the engines, from what the VMs tell each other."""

from __future__ import annotations

from collections.abc import Mapping
from statistics import median
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.pace import PRIOR_RATE, WHOLE_SHARE
from beamhatch.relay.engines.balancing import Pressure
from beamhatch.relay.engines.throughput import EngineFigures
from beamhatch.relay.fleet.gossip_message import DemandReport
from beamhatch.relay.fleet.peer_words import PeerWords

if TYPE_CHECKING:
    from collections.abc import Sequence

    from beamhatch.relay.model import EngineSpec, ServiceName


class FleetDemand(PeerWords[Mapping[str, DemandReport]]):
    """The newest report of each VM that this one has a connection to, by service."""

    __slots__ = ()

    def find_pressure(
        self, service: ServiceName, engine: EngineSpec, own: DemandReport, vms: int, now: float
    ) -> Pressure:
        """Return what all VMs ask of a service; those that were not heard are taken to ask as much as the others.

        :param own: what this VM's own streams ask
        :param vms: how many VMs there are
        """
        reports = [own, *(told.get(service, DemandReport()) for told in self.list_values(now))]
        scale = max(1.0, vms / len(reports))
        prompt_rate = scale * sum(report.prompt_rate for report in reports)
        wait_rate = scale * sum(report.wait_rate for report in reports)
        return Pressure(prompt_rate, wait_rate, _find_figures(engine, reports))


def _find_figures(engine: EngineSpec, reports: Sequence[DemandReport]) -> EngineFigures:
    """Return what is known of the engines and of streams: means by traffic, and what most VMs found of the engines."""
    weights = [report.prompt_rate for report in reports]
    total = sum(weights)
    if not total:
        weights, total = [1.0] * len(reports), float(len(reports))
    weighed = list(zip(weights, reports, strict=True))
    read_rates = [report.read_rate for report in reports if report.read_rate]
    read_rate = median(read_rates) if read_rates else PRIOR_RATE
    whole_rates = [report.whole_rate for report in reports if report.whole_rate]
    return EngineFigures(
        kv_tokens=engine.kv_tokens,
        prompt=sum(weight * report.prompt for weight, report in weighed) / total,
        answer=sum(weight * report.answer for weight, report in weighed) / total,
        residence=max(0.001, sum(weight * report.residence for weight, report in weighed) / total),
        read_rate=read_rate,
        whole_rate=median(whole_rates) if whole_rates else WHOLE_SHARE * read_rate,
    )

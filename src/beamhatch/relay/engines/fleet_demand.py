"""Demand of all VMs on the engines, computed from the demand reports that VMs send each other."""

from __future__ import annotations

from collections.abc import Mapping
from statistics import median
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.pace import DECODE_RATE_FACTOR, DEFAULT_TOKENS_PER_S
from beamhatch.relay.engines.balancing import ServiceDemand
from beamhatch.relay.engines.throughput import CapacityParameters
from beamhatch.relay.fleet.gossip_message import DemandReport
from beamhatch.relay.fleet.peer_words import PeerValues

if TYPE_CHECKING:
    from collections.abc import Sequence

    from beamhatch.relay.model import EngineSpec, ServiceName


class FleetDemand(PeerValues[Mapping[str, DemandReport]]):
    """The latest demand report of each connected VM, by service."""

    __slots__ = ()

    def compute_service_demand(
        self, service: ServiceName, engine: EngineSpec, own: DemandReport, vm_count: int, now: float
    ) -> ServiceDemand:
        """Return the demand of all VMs on a service, extrapolated to VMs without a report.

        :param own: this VM's own report
        :param vm_count: number of VMs, including this one
        """
        reports = [own, *(by_service.get(service, DemandReport()) for by_service in self.list_values(now))]
        scale = max(1.0, vm_count / len(reports))
        prompt_rate = scale * sum(report.prompt_rate for report in reports)
        wait_rate = scale * sum(report.wait_rate for report in reports)
        return ServiceDemand(prompt_rate, wait_rate, _compute_parameters(engine, reports))


def _compute_parameters(engine: EngineSpec, reports: Sequence[DemandReport]) -> CapacityParameters:
    """Return means of the reported parameters, weighted by prompt rate, and medians of the prefill rates."""
    weights = [report.prompt_rate for report in reports]
    total = sum(weights)
    if not total:
        weights, total = [1.0] * len(reports), float(len(reports))
    weighted = list(zip(weights, reports, strict=True))
    prefill_rates = [report.prefill_rate for report in reports if report.prefill_rate]
    prefill_rate = median(prefill_rates) if prefill_rates else DEFAULT_TOKENS_PER_S
    local_prefill_rates = [report.decode_prefill_rate for report in reports if report.decode_prefill_rate]
    return CapacityParameters(
        kv_tokens=engine.kv_tokens,
        prompt_tokens=sum(weight * report.mean_prompt_tokens for weight, report in weighted) / total,
        answer_tokens=sum(weight * report.mean_answer_tokens for weight, report in weighted) / total,
        residence_s=max(0.001, sum(weight * report.mean_residence_s for weight, report in weighted) / total),
        prefill_rate=prefill_rate,
        local_prefill_rate=median(local_prefill_rates) if local_prefill_rates else DECODE_RATE_FACTOR * prefill_rate,
    )

"""Record in the log and in metrics where requests are sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.choosing.spill import SpillReason, get_spill_reason
from beamhatch.relay.model import Phase
from beamhatch.relay.topology import Distance

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.observe.tally import Tally
    from beamhatch.relay.choosing.distance import DistanceCosts
    from beamhatch.relay.choosing.standing import UpstreamStats
    from beamhatch.relay.model import Upstream
    from beamhatch.relay.quarantine.digests import RequestDigests
    from beamhatch.relay.requests.request import RelayRequest, Send


def describe_send(
    request: RelayRequest, digests: RequestDigests, send: Send, stats: UpstreamStats, now: float
) -> dict[str, object]:
    """Return fields of the log line for a send.

    :param stats: statistics of the upstream
    """
    return {
        **digests.describe(),
        "stage": send.stage.value,
        "to": send.upstream.id,
        "software": send.upstream.version,
        "running": stats.running,
        "others": round(stats.estimate_other_requests(now), 1),
        "faults": round(stats.get_failure_rate(now), 2),
        "may_repeat": request.terms.may_repeat,
        "possible_runs": request.possible_runs,
        **request.describe_continuation(send),
    }


def record_distance(
    distances: DistanceCosts,
    tally: Tally,
    request: RelayRequest,
    chosen: Upstream,
    list_usable: Callable[[], Sequence[Upstream]],
    write_log: Callable[..., None],
) -> None:
    """Count the distance of the chosen upstream, and log why one in another region was chosen."""
    distance = distances.get_distance(chosen.hall)
    tally.count("choices_by_distance_total", distance.name.lower())
    if distance is not Distance.OTHER_REGION:
        return

    def is_near(hall: str) -> bool:
        return distances.get_distance(hall) is not Distance.OTHER_REGION

    reservation = request.reservation
    if chosen.phase is Phase.PREFILL and reservation is not None and not is_near(reservation.upstream.hall):
        reason = SpillReason.PAIR
    else:
        reason = get_spill_reason(list_usable(), chosen.phase, request.obstacles.full, is_near)
    tally.count("spills_total", reason.name.lower())
    write_log("spilled", to=chosen.id, hall=chosen.hall, phase=chosen.phase.value, reason=reason.value)

"""Record how far away the upstreams are that requests are sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.choosing.spill import SpillReason, get_spill_reason
from beamhatch.relay.model import Phase
from beamhatch.relay.topology import Distance

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.relay.core import Core
    from beamhatch.relay.model import Upstream
    from beamhatch.relay.requests.request import RelayRequest


def record_distance(
    core: Core,
    request: RelayRequest,
    chosen: Upstream,
    list_usable: Callable[[], Sequence[Upstream]],
    write_log: Callable[..., None],
) -> None:
    """Count the distance of the chosen upstream, and log why one in another region was chosen."""
    distances = core.chooser.distances
    distance = distances.get_distance(chosen.hall)
    core.tally.count("choices_by_distance_total", distance.name.lower())
    if distance is not Distance.OTHER_REGION:
        return

    def is_near(hall: str) -> bool:
        return distances.get_distance(hall) is not Distance.OTHER_REGION

    reservation = request.reservation
    if chosen.phase is Phase.PREFILL and reservation is not None and not is_near(reservation.upstream.hall):
        reason = SpillReason.PAIR
    else:
        reason = get_spill_reason(list_usable(), chosen.phase, request.list_full_upstreams(), is_near)
    core.tally.count("spills_total", reason.name.lower())
    write_log("spilled", to=chosen.id, hall=chosen.hall, phase=chosen.phase.value, reason=reason.value)

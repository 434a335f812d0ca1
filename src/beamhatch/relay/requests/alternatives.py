"""Whether a request at a silent upstream could be sent to another one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.model import Phase
from beamhatch.relay.requests.request import MAX_SENDS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.relay.model import Upstream
    from beamhatch.relay.requests.budget import RetryBudget
    from beamhatch.relay.requests.request import RelayRequest


def acquire_alternative(
    request: RelayRequest, current: Upstream, usable: Iterable[Upstream], budget: RetryBudget, vm_count: int, now: float
) -> bool:
    """Return whether a request that may have run can be sent to another upstream; if so, count that as a retry.

    :param current: the upstream that the request is at
    :param usable: the upstreams that the request may be sent to
    """
    if not request.may_run_again or request.sends >= MAX_SENDS:
        return False
    tried = request.tried | {current.id}
    if not any(one.id not in tried and one.phase is not Phase.PREFILL for one in usable):
        return False
    return request.acquire_retries(budget, vm_count, now)

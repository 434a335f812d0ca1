"""Describe in the log how a request is sent to an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.relay.core import Core
    from beamhatch.relay.quarantine.digests import RequestDigests
    from beamhatch.relay.requests.request import RelayRequest, Send


def describe_send(
    core: Core, request: RelayRequest, digests: RequestDigests, send: Send, now: float
) -> dict[str, object]:
    """Return the fields of the log line for a send."""
    standing = core.stats.get(send.upstream.id)
    return {
        **digests.describe(),
        "stage": send.stage.value,
        "to": send.upstream.id,
        "software": send.upstream.version,
        "revision": core.listing.newest_revision,
        "version": core.version,
        "running": standing.running,
        "others": round(standing.estimate_other_requests(now), 1),
        "faults": round(standing.get_failure_rate(now), 2),
        **core.announcements.describe_limit(send.upstream.incarnation),
        **request.describe_continuation(send),
    }

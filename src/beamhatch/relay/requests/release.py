"""Release of KV caches and reservations that a request no longer needs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.upstreams.announcements import AnnouncementSink

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.core import Core
    from beamhatch.relay.model import Reservation, Upstream
    from beamhatch.relay.upstreams.call import Call

RELEASE_TIMEOUT_S = 2.0
"""Time after which the connection of a release is closed; the memory expires at about the same time."""


def send_release(core: Core, upstream: Upstream, call: Call, write_log: Callable[..., None]) -> None:
    """Send a release to an upstream if it may receive calls now; otherwise let the held memory expire there.

    Nothing is sent if the upstream's hall is evacuated, or if the upstream backs off or is at its limit. A release
    counts against the limit like any other call.

    :param write_log: writes a log event about the request
    """
    eligibility = core.eligibility
    now = core.clock.now()
    backs_off = eligibility.backoffs.is_active(upstream.incarnation, now)
    if backs_off or eligibility.evacuations.is_evacuated(upstream.hall):
        return
    if not eligibility.limits.may_send_to(upstream, now):
        return
    eligibility.limits.record_request(upstream.incarnation, now)
    write_log("given back", target=call.target, to=upstream.id)
    sink = AnnouncementSink(core.announcements, upstream)
    sink.limit_time(core.client.open(upstream.address, call, sink), RELEASE_TIMEOUT_S)


def release_reservation(core: Core, reservation: Reservation, write_log: Callable[..., None]) -> None:
    """Send the release of reserved memory, if any was reserved."""
    if reservation.id is not None:
        send_release(core, reservation.upstream, core.dialect.make_unreserve_call(reservation), write_log)

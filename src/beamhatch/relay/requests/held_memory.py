"""The KV cache, the reserved memory and the permit that one request holds at upstreams, and their release."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.choosing.eligibility import Obstacle
from beamhatch.relay.requests.release import release_reservation, send_release

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.relay.choosing.eligibility import SendPermit
    from beamhatch.relay.core import Core
    from beamhatch.relay.model import Handle, Reservation, Upstream
    from beamhatch.relay.requests.request import RelayRequest


class HeldMemory:
    """What one request holds at upstreams."""

    def __init__(self, core: Core, request: RelayRequest, write_log: Callable[..., None]) -> None:
        self._core = core
        self._request = request
        self._write_log = write_log
        self._permit: SendPermit | None = None
        """Permit to send to the cold or limited engine that has reserved, or is asked to reserve, memory."""

    def acquire_permit(self, upstream: Upstream) -> None:
        """Replace the permit by one for another engine, if that needs one."""
        self.drop_permit()
        cold = self._core.get_cold_terms(self._request.service.name)
        self._permit = self._core.eligibility.acquire_permit(upstream, cold, self._core.clock.now())

    def take_permit(self) -> SendPermit | None:
        """Return the permit, which is the receiver's from now on."""
        permit, self._permit = self._permit, None
        return permit

    def drop_permit(self) -> None:
        """Return the permit unused."""
        permit = self.take_permit()
        if permit is not None:
            permit.drop(self._core.clock.now())

    def release_unusable(self, *, is_searching: bool) -> None:
        """Release the KV cache and the reservation if their upstream may no longer be used for the request.

        A plan uses an existing reservation without checking its upstream again. Without this check, a stream could
        begin in a hall that was evacuated in the meantime. A reservation at a cold or limited engine stays usable with
        its permit. A KV cache in an evacuated hall stays usable, but not one outside the allowed regions.

        :param is_searching: whether another upstream is sought, so that silent engines are not waited for
        """
        request = self._request
        handle, reservation = request.handle, request.reservation
        if handle is not None and self._core.has_restarted(handle.upstream):
            request.drop_handle()
        elif handle is not None and not self._core.eligibility.is_in_regions(handle.upstream, request.regions):
            self._release_handle(handle)
        if reservation is None:
            self.drop_permit()
            return
        if self._core.has_restarted(reservation.upstream):
            self._give_up(reservation, "started again")
            return
        obstacle = self._find_obstacle(reservation, is_searching=is_searching)
        if obstacle is not None:
            self._give_up(reservation, obstacle)
            release_reservation(self._core, reservation, self._write_log)

    def _give_up(self, reservation: Reservation, obstacle: str) -> None:
        self.drop_permit()
        self._request.abandon_reservation()
        self._write_log("memory given up", to=reservation.upstream.id, obstacle=obstacle)

    def _find_obstacle(self, reservation: Reservation, *, is_searching: bool) -> str | None:
        """Return why reserved memory may not be used any more, or None if it may."""
        request = self._request
        if not reservation.upstream.may_serve(request.version):
            return Obstacle.VERSION.name.lower()
        obstacle = self._core.get_obstacle(reservation.upstream, request.service.name, request.regions)
        has_room = self._permit is not None and obstacle in (Obstacle.COLD, Obstacle.LIMITED)
        if obstacle is not None and not has_room:
            return obstacle.name.lower()
        now = self._core.clock.now()
        if self._core.phase_changes.is_confirmed(reservation.upstream.id, now):
            return "changing"
        silent = self._core.chooser.list_silent([reservation.upstream], now)
        return "silent" if silent and is_searching else None

    def release(self, *, except_handles: Sequence[Handle | None] = ()) -> None:
        """Release the KV cache and the reservation that the request does not need any more.

        :param except_handles: handles of KV caches that upstreams may still fetch
        """
        request = self._request
        if request.handle is not None and request.handle not in except_handles:
            self._release_handle(request.handle)
        if request.reservation is not None:
            release_reservation(self._core, request.reservation, self._write_log)
            request.reservation = None

    def _release_handle(self, handle: Handle) -> None:
        send_release(self._core, handle.upstream, self._core.dialect.make_release_call(handle), self._write_log)
        self._request.drop_handle()

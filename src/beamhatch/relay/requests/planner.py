"""Plan the next step of one request, given what the VM knows of upstreams."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.eligibility import Obstacle
from beamhatch.relay.choosing.lack import Shortage, compute_retry_delay
from beamhatch.relay.model import Phase, RouteKind
from beamhatch.relay.requests.refusal import make_quarantine_refusal
from beamhatch.relay.requests.request import Fail, Refuse, Step
from beamhatch.relay.retries.retry_times import REGION_RETRY_AFTER_S
from beamhatch.relay.streams.starting import exclude_unrecorded

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.core import Core
    from beamhatch.relay.model import Regions, Upstream, UpstreamId
    from beamhatch.relay.quarantine.digests import RequestDigests
    from beamhatch.relay.requests.request import RelayRequest


class Planner:
    """The planner of one request's steps."""

    def __init__(
        self,
        core: Core,
        request: RelayRequest,
        digests: RequestDigests,
        write_log: Callable[..., None],
        *,
        is_caller_retry: bool,
    ) -> None:
        """Create a planner.

        :param is_caller_retry: whether the caller was refused before
        """
        self._core = core
        self._request = request
        self._digests = digests
        self._write_log = write_log
        self._is_caller_retry = is_caller_retry

    def find_quarantine(self, now: float) -> Step | None:
        """Return how the request ends if it is in quarantine, or None."""
        entry = self._core.quarantine.find_entry(self._digests, now)
        if entry is None:
            return None
        self._core.tally.count("quarantine_refusals_total")
        return self._request.refuse_quarantined(make_quarantine_refusal(entry, now))

    def plan(self, now: float) -> Step:
        """Return the next step of a request that is not in quarantine."""
        request, core = self._request, self._core
        usable = self.list_usable()
        can_proceed = request.reservation is not None or any(one.phase is not Phase.PREFILL for one in usable)
        shortage = None if can_proceed else core.detect_shortage(request.service.name, request.regions, request.version)
        if shortage is not None:
            step = self._end_by_shortage(shortage)
        else:
            vm_count = max(core.vm_count, core.recent_vm_count)
            step = request.plan(usable, core.chooser, core.get_retry_budget(request.service.name), vm_count, now)
        if isinstance(step, Refuse) and not step.memory_full and request.regions is not None:
            return self._refuse_in_regions(step, request.regions)
        return step

    def _end_by_shortage(self, shortage: Shortage) -> Step:
        """Return how the request ends as nothing may be sent to any upstream."""
        request, core = self._request, self._core
        reason = f"nothing may be sent to any upstream: {shortage.obstacle.value}"
        if request.may_have_run:
            return Fail(reason, is_temporary=shortage.obstacle in (Obstacle.RESTING, Obstacle.LIMITED))
        service = request.service.name
        core.tally.count("shut_total", shortage.obstacle.name.lower())
        core.get_demand(service).discard_last_prompt(request.facts.prompt_tokens)
        if shortage.obstacle is Obstacle.LIMITED:
            retry_after_s = core.reserve_retry_slot(service, shortage)
        else:
            retry_after_s = compute_retry_delay(shortage.wait, random.random(), is_retry=self._is_caller_retry)
        return request.refuse_unavailable(reason, retry_after_s)

    def list_usable(self) -> list[Upstream]:
        """Return the upstreams that may be sent the request."""
        request, core = self._request, self._core
        is_retry = self._is_caller_retry or request.may_have_run
        usable = core.list_usable(request.service.name, request.regions, request.version, is_retry=is_retry)
        begins_stream = request.version is None and request.route.kind is RouteKind.STREAMING
        if not begins_stream or not request.route.resumable:
            return usable
        unrecorded = core.listing.versions.list_unrecorded(request.service.name)
        return exclude_unrecorded(usable, unrecorded, self._list_unavailable)

    def _list_unavailable(self) -> set[UpstreamId]:
        """Return the upstreams that do not respond to this request, or to others at present."""
        return self._request.obstacles.unavailable | self._core.stats.list_unresponsive(self._core.clock.now())

    def _refuse_in_regions(self, step: Refuse, regions: Regions) -> Refuse:
        """Return the refusal, with another reason and retry-after time if the allowed regions exclude upstreams."""
        obstacles = self._core.count_obstacles(self._request.service.name, regions)
        if not obstacles[Obstacle.REGION] or obstacles[Obstacle.COLD]:
            return step
        self._core.tally.count("residency_refusals_total", "not_now")
        self._write_log(
            "kept in its regions",
            regions=sorted(regions or ()),
            **{obstacle.name.lower(): count for obstacle, count in obstacles.items()},
        )
        return replace(step, reason=f"{step.reason} in the allowed regions", retry_after_s=REGION_RETRY_AFTER_S)

    def is_any_withheld(self) -> bool:
        """Return whether an upstream is not sent requests only because of its back-off or limit."""
        obstacles = self._core.count_obstacles(self._request.service.name, self._request.regions)
        return bool(obstacles[Obstacle.RESTING] or obstacles[Obstacle.LIMITED])

    def compute_cold_wait(self, step: Refuse | Fail) -> float | None:
        """Return the seconds until a cold upstream has room, or None if none could serve the request."""
        if not step.no_upstream or (isinstance(step, Refuse) and step.retry_after_s is not None):
            return None
        request = self._request
        return self._core.compute_cold_wait(
            request.service.name, request.regions, request.version, request.obstacles.tried
        )

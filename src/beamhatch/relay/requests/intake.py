"""Decide whether a caller's request is served, and start its exchange."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.api import BadRequest
from beamhatch.relay.callers.error_response import send_error
from beamhatch.relay.quarantine.digests import RequestDigests, compute_digests
from beamhatch.relay.quarantine.fingerprint import compute_fingerprint
from beamhatch.relay.requests.api import NewRequest
from beamhatch.relay.requests.refusal import (
    OUTDATED_RETRY_S,
    Refusal,
    make_admission_refusal,
    make_quarantine_refusal,
)
from beamhatch.relay.retries.retry_times import REGION_RETRY_AFTER_S
from beamhatch.relay.workspaces.admission import Admitted

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.callers.http_server import IncomingRequest, RequestHandler, Responder
    from beamhatch.relay.core import Core
    from beamhatch.relay.model import RequestFacts
    from beamhatch.relay.requests.api import OpenRequest
    from beamhatch.relay.topology import RegionName

STOPPING_RETRY_S = 0.15
"""Retry-After of a VM that is shutting down; the caller reaches another one."""

UNREADY_RETRY_S = 1.0
"""Retry-After of a VM that has no usable configuration yet."""


class RequestIntake:
    """The requests that arrive at one VM, until each has an exchange or is refused."""

    def __init__(self, core: Core, make_exchange: Callable[[Core, NewRequest], OpenRequest]) -> None:
        self._core = core
        self._make_exchange = make_exchange

    def serve(self, incoming: IncomingRequest, responder: Responder) -> RequestHandler | None:
        """Start the exchange of a caller's request, or refuse it and return None."""
        core = self._core
        facts = core.dialect.read_request(incoming.headers)
        if isinstance(facts, BadRequest):
            self._refuse(responder, Refusal(facts.status, facts.detail), "")
            return None
        new = self._admit(incoming, responder, facts)
        if isinstance(new, Refusal):
            self._refuse(responder, new, facts.id)
            return None
        core.get_retry_budget(new.service.name).record_request(core.clock.now())
        if new.service.engine is not None:
            answer = core.get_output_lengths(new.service.name).compute_mean_tokens(facts)
            core.get_demand(new.service.name).record_prompt(facts.prompt_tokens, answer, core.clock.now())
        exchange = self._make_exchange(core, new)
        core.exchanges.add(exchange)
        exchange.start()
        return exchange

    def _admit(self, incoming: IncomingRequest, responder: Responder, facts: RequestFacts) -> NewRequest | Refusal:
        """Return the request with its destination, or why it is refused."""
        core = self._core
        if core.stopping:
            return Refusal(503, "this VM stops", STOPPING_RETRY_S)
        table = core.table
        if table is None or not core.ready:
            return Refusal(503, "no configuration is known yet", UNREADY_RETRY_S)
        route = table.find_route(incoming.host, incoming.path)
        if route is None:
            return self._refuse_unknown_route(table.version)
        service = table.services.get(route.choose_service(facts.identity))
        if service is None:
            return Refusal(503, "the route's service is not configured", UNREADY_RETRY_S)
        decision = core.admission.decide(facts, route, table, core.clock.now())
        if not isinstance(decision, Admitted):
            return make_admission_refusal(decision, table.version)
        regions = table.get_allowed_regions(route, decision.workspace)
        refusal = None if regions is None else self._refuse_by_regions(regions, table.version)
        fingerprint = compute_fingerprint(incoming, decision.workspace)
        digests = compute_digests(fingerprint, facts, service.name, decision.workspace)
        refusal = refusal or self._refuse_quarantined(digests)
        if refusal is not None:
            core.admission.refund(decision, core.clock.now())
        return refusal or NewRequest(incoming, responder, facts, route, service, decision, digests, regions)

    def _refuse_unknown_route(self, version: int) -> Refusal:
        """Return the refusal of a request without a route, which a caller may retry if a newer version may have one."""
        if self._core.admission.may_be_outdated():
            return Refusal(503, f"no route, by version {version}, and there may be a newer one", OUTDATED_RETRY_S)
        return Refusal(404, f"no route, by version {version}")

    def _refuse_quarantined(self, digests: RequestDigests) -> Refusal | None:
        """Return the refusal of a request in quarantine, or None if it is not in quarantine."""
        now = self._core.clock.now()
        entry = self._core.quarantine.find_entry(digests, now)
        if entry is None:
            return None
        self._core.tally.count("quarantine_refusals_total")
        return make_quarantine_refusal(entry, now)

    def _refuse_by_regions(self, regions: frozenset[RegionName], version: int) -> Refusal | None:
        """Return the refusal of a request that no hall may serve, or None if one may.

        Responds with 403 only if this VM certainly has the newest configuration and only a change of it would help;
        otherwise with 503, so that a caller retries a request that a newer version allows.
        """
        if regions and self._core.topology.has_hall_in(regions):
            return None
        if regions:
            self._core.tally.count("residency_refusals_total", "no_hall")
            named = ", ".join(sorted(regions))
            return Refusal(503, f"the settings place no hall in an allowed region ({named})", REGION_RETRY_AFTER_S)
        detail = f"route and workspace allow no region in common, by version {version}"
        if self._core.admission.may_be_outdated():
            self._core.tally.count("residency_refusals_total", "maybe_never")
            return Refusal(503, f"{detail}, and there may be a newer one", OUTDATED_RETRY_S)
        self._core.tally.count("residency_refusals_total", "never")
        return Refusal(403, detail)

    def record_bad_request(self, status: int, detail: str) -> None:
        """Count and log a malformed request."""
        self._core.tally.count("requests_total", f"bad_{status}")
        self._core.journal.write("CALLER", "bad request", status=status, detail=detail)

    def _refuse(self, responder: Responder, refusal: Refusal, request: str) -> None:
        version = None if self._core.table is None else self._core.table.version
        self._core.tally.count("requests_total", f"own_{refusal.status}")
        self._core.journal.write(
            "RELAY", "refused", request=request, status=refusal.status, reason=refusal.detail, version=version
        )
        send_error(responder, refusal.status, refusal.detail, refusal.retry_after)

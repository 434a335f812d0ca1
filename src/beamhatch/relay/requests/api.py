"""Interfaces between the requests of one VM and the state that they share."""

from __future__ import annotations

from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.relay.callers.http_server import RequestHandler

if TYPE_CHECKING:
    from beamhatch.relay.callers.http_server import IncomingRequest, Responder
    from beamhatch.relay.model import Incarnation, Regions, RequestFacts, Route, RoutingTable, Service
    from beamhatch.relay.quarantine.digests import RequestDigests
    from beamhatch.relay.requests.request import RelayRequest
    from beamhatch.relay.workspaces.admission import Admitted


@dataclass(frozen=True, slots=True)
class NewRequest:
    """A caller's request that was admitted, with what the configuration says of it."""

    incoming: IncomingRequest
    responder: Responder
    facts: RequestFacts
    route: Route
    service: Service
    admitted: Admitted
    digests: RequestDigests
    regions: Regions = None
    """Regions that may serve it; None for any."""


class OpenRequest(RequestHandler):
    """A request that is being served."""

    request: RelayRequest
    digests: RequestDigests

    @property
    @abstractmethod
    def hall(self) -> str | None:
        """Return the hall of the upstream that the request may run at, or is sent to; None without one."""

    @abstractmethod
    def start(self) -> None:
        """Carry out the first step."""

    @abstractmethod
    def withdraw_from(self, incarnation: Incarnation) -> None:
        """Cancel an attempt at an upstream that accepts no more requests, if it is not sent yet, and plan again."""

    @abstractmethod
    def replan_unless_sent(self) -> None:
        """Plan again, cancelling an attempt that is not sent yet."""

    @abstractmethod
    def apply_table(self, table: RoutingTable) -> None:
        """Apply the terms of a new configuration to this request."""

    @abstractmethod
    def abort(self, reason: str) -> None:
        """End the request at once with an error response, because the VM shuts down."""

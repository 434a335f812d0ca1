"""Bytes that requests put on the VM's link, learned for each route."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.relay.overload.meter import LinkBytes, estimate_wire_bytes

if TYPE_CHECKING:
    from beamhatch.relay.model import RouteName
    from beamhatch.relay.overload.link import LinkBudget

HEAD_BYTES = 400
"""Typical size of the head of a request or response."""

CHUNK_BYTES = 8
"""Framing of a chunk of a response."""

LEARNING_WEIGHT = 0.1
"""Weight of the newest request in what is learned of its route."""

INITIAL_RESPONSE_BYTES = 2048.0
MAX_ROUTES = 4096
"""Number of routes for which costs are kept."""


@dataclass(frozen=True, slots=True)
class _RouteCost:
    response_bytes: float = INITIAL_RESPONSE_BYTES
    """Bytes on the link of a response, in each direction."""
    calls: float = 1.0
    """Calls to upstreams that carry the request's body."""

    def learn(self, response_bytes: float, calls: float) -> _RouteCost:
        return _RouteCost(
            self.response_bytes + LEARNING_WEIGHT * (response_bytes - self.response_bytes),
            self.calls + LEARNING_WEIGHT * (calls - self.calls),
        )


class RequestCosts:
    """Expected costs by route, and the commitment of costs to the budget of the link."""

    def __init__(self, budget: LinkBudget) -> None:
        self.budget = budget
        self._by_route: dict[RouteName, _RouteCost] = {}

    def begin(self, route: RouteName, body_bytes: int, now: float) -> RequestCost:
        """Commit the expected cost of a request that has been read."""
        request_bytes = estimate_wire_bytes(body_bytes + HEAD_BYTES)
        learned = self._by_route.get(route, _RouteCost())
        expected = LinkBytes(
            request_bytes + learned.response_bytes, request_bytes * learned.calls + learned.response_bytes
        )
        self.budget.replace_reserved(expected, now)
        return RequestCost(self, route, request_bytes, expected)

    def learn(self, route: RouteName, response_bytes: int, calls: int) -> None:
        """Learn from a request that was answered by an upstream."""
        learned = self._by_route.get(route)
        if learned is not None:
            self._by_route[route] = learned.learn(response_bytes, calls)
        elif len(self._by_route) < MAX_ROUTES:
            self._by_route[route] = _RouteCost(response_bytes, calls)


class RequestCost:
    """Bytes that one request has put on the link so far."""

    def __init__(self, costs: RequestCosts, route: RouteName, request_bytes: int, expected: LinkBytes) -> None:
        self._costs = costs
        self._route = route
        self._request_bytes = request_bytes
        self._expected = expected
        self._calls = 0
        self._response_bytes = 0
        self._answered = False

    def record_call(self) -> None:
        """Count a call that carries the request to an upstream."""
        self._calls += 1

    def record_response(self, payload: int) -> None:
        """Count data of the response that is passed on at once."""
        self._response_bytes += estimate_wire_bytes(payload)

    def record_answered(self) -> None:
        """Record that a whole response of an upstream is passed on, from which the route's cost can be learned."""
        self._answered = True

    def end(self, now: float) -> None:
        """Correct the commitment."""
        actual = LinkBytes(
            self._request_bytes + self._response_bytes, self._request_bytes * self._calls + self._response_bytes
        )
        self._costs.budget.commit(actual - self._expected, now)
        if self._answered:
            self._costs.learn(self._route, self._response_bytes, self._calls)

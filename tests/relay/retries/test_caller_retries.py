"""Recognition of callers that retry."""

from __future__ import annotations

from beamhatch.relay.model import Route, RouteKind
from beamhatch.relay.retries.caller_retries import CallerRetries

ROUTE = Route("r", "host", "/", RouteKind.SAFE, (), 5.0, 0.9)


def test_caller_with_clearly_less_time_than_others_retries() -> None:
    retries = CallerRetries()
    assert not retries.is_retry(ROUTE, 10.0)
    assert not retries.is_retry(ROUTE, 9.5)
    assert retries.is_retry(ROUTE, 8.0)
    assert not retries.is_retry(ROUTE, None)


def test_nothing_is_taken_for_a_retry_while_disabled() -> None:
    retries = CallerRetries(enabled=False)
    assert not retries.is_retry(ROUTE, 10.0)
    assert not retries.is_retry(ROUTE, 1.0)

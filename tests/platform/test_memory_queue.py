"""Requests that wait for decode memory on one VM."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from beamhatch.platform.standin.upstream import StandInEngine
from tests.support.platform import Caller, Platform, make_platform

if TYPE_CHECKING:
    from beamhatch.relay.callers.http_server import Responder

PLENTY = 10_000_000
"""More memory tokens than all requests of a test need."""


@pytest.mark.parametrize("seed", range(3))
def test_requests_are_not_refused_for_a_shortage_of_memory_that_is_over(seed: int) -> None:
    random.seed(seed)  # the relay draws from the module's generator
    platform = make_platform(prefill=4, decode=4)
    engines = [one for one in platform.upstreams.values() if isinstance(one, StandInEngine)]
    for engine in engines:
        engine.kv_tokens = PLENTY
    calls = [_send_stream(platform, f"usual-{number}", 0.19) for number in range(25)]
    for engine in engines:
        engine.used_tokens += PLENTY
    for number in range(20):
        _send_stream(platform, f"short-{number}", 0.0)
    for engine in engines:
        engine.used_tokens -= PLENTY
    for number in range(10):
        _send_stream(platform, f"soon-{number}", 0.0)
    calls += [_send_stream(platform, f"crowd-{number}", 0.0) for number in range(100)]
    platform.network.run(6.0)
    assert [one.status for one in calls] == [200] * len(calls)


def _send_stream(platform: Platform, request: str, pause_s: float) -> Caller:
    """Send a request whose stream takes 2.4 s, and let some time pass."""
    caller = platform.call("/stream/x", request, headers={"Token-Count": "5000,80"})
    platform.network.run(pause_s)
    return caller


def test_memory_that_is_granted_too_late_is_not_held_for_nobody() -> None:
    platform = make_platform(prefill=1, decode=1)
    engine = platform.upstreams["decode-0"]
    assert isinstance(engine, StandInEngine)
    engine.reservation_delay_s = 0.7
    _send_stream(platform, "slow", 0.8)
    engine.reservation_delay_s = 0.0
    platform.network.run(0.1)
    assert not engine.reserved_tokens


def test_memory_that_is_granted_late_is_used_by_a_request_that_can_still_be_on_time() -> None:
    platform = make_platform(prefill=1, decode=1)
    engine = platform.upstreams["decode-0"]
    assert isinstance(engine, StandInEngine)
    engine.reservation_delay_s = 0.3
    caller = _send_stream(platform, "slow", 0.5)
    assert not engine.reserved_tokens
    assert platform.finish(caller).status == 200


def test_memory_granted_by_two_engines_late_is_used_once_and_released_once() -> None:
    platform = make_platform(prefill=1, decode=2)
    engines = [platform.upstreams["decode-0"], platform.upstreams["decode-1"]]
    for engine in engines:
        assert isinstance(engine, StandInEngine)
        engine.reservation_delay_s = 0.3
    caller = _send_stream(platform, "slow", 0.6)
    assert not any(engine.reserved_tokens for engine in engines if isinstance(engine, StandInEngine))
    assert platform.finish(caller).status == 200
    assert platform.ledger.runs["slow"] == 1


def test_memory_is_released_though_its_grant_arrives_in_parts_too_late(monkeypatch: pytest.MonkeyPatch) -> None:
    platform = make_platform(prefill=1, decode=1)
    engine = platform.upstreams["decode-0"]
    assert isinstance(engine, StandInEngine)

    def reserve(asked: dict[str, int], responder: Responder) -> None:
        engine.reserved_tokens["h1"] = asked["tokens"]
        responder.send_head(200, [("Content-Type", "application/json")])
        platform.clock.call_later(0.7, responder.write, b'{"hold":"h1"}')
        platform.clock.call_later(0.7, responder.end)

    monkeypatch.setattr(engine, "_reserve", reserve)
    _send_stream(platform, "slow", 0.6)
    assert engine.reserved_tokens
    monkeypatch.undo()
    platform.network.run(0.2)
    assert not engine.reserved_tokens

"""Tests that throttled calls are at least the minimum interval apart."""

from __future__ import annotations

import itertools

from beamhatch.relay.fleet.throttle import Throttle
from tests.support.network import Network, PausedClock

MIN_INTERVAL_S = 0.1


def make_throttle() -> tuple[Network, Throttle, list[float]]:
    network = Network()
    calls: list[float] = []
    clock = PausedClock(network)
    return network, Throttle(clock, MIN_INTERVAL_S, lambda: calls.append(clock.now())), calls


def test_first_request_is_executed_at_once() -> None:
    network, throttle, calls = make_throttle()
    throttle.request()
    network.run(0.01)
    assert len(calls) == 1


def test_repeated_requests_are_executed_once_per_interval() -> None:
    network, throttle, calls = make_throttle()
    for _ in range(100):
        throttle.request()
        network.run(0.01)
    network.run(MIN_INTERVAL_S)
    assert 9 <= len(calls) <= 11
    assert all(after - before >= MIN_INTERVAL_S - 1e-6 for before, after in itertools.pairwise(calls))


def test_recorded_call_delays_the_next_one_by_the_interval() -> None:
    network, throttle, calls = make_throttle()
    started = network.seconds()
    throttle.record_call()
    throttle.request()
    network.run(0.5)
    assert len(calls) == 1
    assert calls[0] - started >= MIN_INTERVAL_S - 1e-6

"""Things that are not done more often than they are worth."""

from __future__ import annotations

import itertools

from beamhatch.relay.fleet.throttle import Throttle
from tests.support.network import Network, PausedClock

GAP = 0.1


def make_throttle() -> tuple[Network, Throttle, list[float]]:
    network = Network()
    calls: list[float] = []
    clock = PausedClock(network)
    return network, Throttle(clock, GAP, lambda: calls.append(clock.now())), calls


def test_what_is_asked_for_first_is_done_at_once() -> None:
    network, throttle, calls = make_throttle()
    throttle.request()
    network.run(0.01)
    assert len(calls) == 1


def test_what_is_asked_for_often_is_done_once_a_gap() -> None:
    network, throttle, calls = make_throttle()
    for _ in range(100):
        throttle.request()
        network.run(0.01)
    network.run(GAP)
    assert 9 <= len(calls) <= 11
    assert all(after - before >= GAP - 1e-6 for before, after in itertools.pairwise(calls))


def test_what_others_did_just_now_is_not_done_again_before_a_gap() -> None:
    network, throttle, calls = make_throttle()
    started = network.seconds()
    throttle.record_call()
    throttle.request()
    network.run(0.5)
    assert len(calls) == 1
    assert calls[0] - started >= GAP - 1e-6

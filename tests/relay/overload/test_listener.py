"""Tests of the listening socket of callers."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.error import CannotListenError

from beamhatch.observe.tally import Tally
from beamhatch.relay.overload.api import ResourceName
from beamhatch.relay.overload.counted import CountedResource
from beamhatch.relay.overload.gate import ConnectionGate
from beamhatch.relay.overload.listener import CHECK_INTERVAL_S, MAX_CLOSED_S, CallerListener
from tests.support.network import Network, PausedClock
from tests.support.platform import MemoryJournal


class _Port:
    def __init__(self, bench: _Bench) -> None:
        self._bench = bench

    def stopListening(self) -> None:
        self._bench.is_open = False


class _Bench:
    """A listener, and one resource that a test exhausts."""

    def __init__(self) -> None:
        self.network = Network()
        clock = PausedClock(self.network)
        self.used = 0
        self.is_open = False
        self.fails = False
        self.journal = MemoryJournal(clock)
        gate = ConnectionGate([CountedResource(ResourceName.MEMORY, 100, lambda: self.used)])
        self.listener = CallerListener(clock, self.journal, Tally(), gate, self._listen)
        self.listener.start()

    def _listen(self) -> Any:
        if self.fails:
            raise CannotListenError("vm", 8000, OSError("in use"))
        self.is_open = True
        return _Port(self)


@pytest.fixture
def bench() -> _Bench:
    return _Bench()


def test_the_socket_is_closed_while_a_resource_is_exhausted(bench: _Bench) -> None:
    bench.used = 100
    bench.listener.handle_accepted()
    assert not bench.is_open
    bench.used = 0
    bench.network.run(2 * CHECK_INTERVAL_S)
    assert bench.is_open


def test_the_socket_stays_closed_until_the_old_one_is_gone(bench: _Bench) -> None:
    bench.used = 100
    bench.listener.handle_accepted()
    bench.used = 0
    bench.listener.check()
    assert not bench.is_open


def test_a_connection_is_accepted_now_and_then_while_a_resource_is_exhausted(bench: _Bench) -> None:
    bench.used = 100
    bench.listener.handle_accepted()
    bench.network.run(MAX_CLOSED_S + 2 * CHECK_INTERVAL_S)
    assert bench.is_open
    bench.listener.check()
    assert bench.is_open
    bench.listener.handle_accepted()
    assert not bench.is_open


def test_an_address_in_use_is_tried_again(bench: _Bench) -> None:
    bench.used = 100
    bench.listener.handle_accepted()
    bench.used = 0
    bench.fails = True
    bench.network.run(0.3)
    assert not bench.is_open
    bench.fails = False
    bench.network.run(2 * CHECK_INTERVAL_S)
    assert bench.is_open


def test_a_stopped_listener_stays_closed(bench: _Bench) -> None:
    bench.used = 100
    bench.listener.handle_accepted()
    bench.listener.stop()
    bench.used = 0
    bench.network.run(1.0)
    assert not bench.is_open


def test_the_begin_and_the_end_are_logged_once(bench: _Bench) -> None:
    bench.used = 100
    for _ in range(5):
        bench.listener.handle_accepted()
        bench.network.run(0.1)
    bench.used = 0
    bench.network.run(1.5)
    bench.listener.check()
    assert [line["event"] for line in bench.journal.lines] == ["begun", "ended"]

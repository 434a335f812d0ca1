"""The end of an upstream is told from a connection that broke."""

from __future__ import annotations

import pytest

from beamhatch.relay.model import Address, Fingerprint, Phase, ServiceName, Upstream, UpstreamId
from beamhatch.relay.quarantine.crashes import MAX_ANNOUNCED_RUNS, CrashUpdate
from beamhatch.relay.quarantine.detection import SETTLE_S, CrashDetector
from beamhatch.relay.upstreams.http_client import Connection
from tests.support.network import Network, PausedClock

ENGINE = Upstream(UpstreamId("e"), ServiceName("s"), Address("host", 1), "a", False, Phase.DECODE, 8)


class Wire(Connection):
    """A connection of which it matters only whether it is open and read from."""

    def __init__(self, *, paused: bool = False) -> None:
        self.paused = paused


class Watch:
    """What a detection told."""

    def __init__(self, connections: int = 0) -> None:
        self.network = Network()
        self.open = {Wire() for _ in range(connections)}
        self.told: list[CrashUpdate] = []
        self.detection = CrashDetector(PausedClock(self.network), lambda _: frozenset(self.open), self.told.append)

    def break_runs(self, count: int) -> None:
        """Break the connections of some runs one after the other; more than there are open were known to nobody."""
        for number in range(count):
            if self.open:
                self.open.pop()
            self.detection.record_broken_run(ENGINE, Fingerprint(bytes([number])), 0.1 * number)


def test_all_that_break_at_once_are_one_end_told_once() -> None:
    watch = Watch(3)
    watch.break_runs(3)
    watch.network.advance(SETTLE_S / 2)
    assert not watch.told
    watch.network.advance(SETTLE_S)
    (news,) = watch.told
    assert [run.duration_ms for run in news.runs] == [0, 100, 200]
    assert news.age >= SETTLE_S


@pytest.mark.parametrize(("connections", "broken"), [(5, 2), (64, 1), (64, 32), (64, 48), (64, 57), (2, 1)])
def test_where_some_connections_last_nothing_has_ended(connections: int, broken: int) -> None:
    watch = Watch(connections)
    watch.break_runs(broken)
    watch.network.advance(1.0)
    assert not watch.told


@pytest.mark.parametrize("connections", [1, 3, 64])
def test_what_was_opened_since_hides_no_end(connections: int) -> None:
    watch = Watch(connections)
    watch.break_runs(connections)
    watch.open |= {Wire() for _ in range(100)}
    watch.network.advance(1.0)
    assert len(watch.told) == 1


def test_idle_connections_tell_too() -> None:
    watch = Watch(10)
    watch.break_runs(1)
    watch.open.clear()
    watch.network.advance(1.0)
    assert len(watch.told) == 1


def test_a_connection_that_is_not_read_from_hides_no_end() -> None:
    watch = Watch(2)
    read = list(watch.open)
    watch.open.add(Wire(paused=True))
    for number, one in enumerate(read):
        watch.open.remove(one)
        watch.detection.record_broken_run(ENGINE, Fingerprint(bytes([number])), 0.1)
    watch.network.advance(1.0)
    assert len(watch.told) == 1


def test_of_many_runs_the_youngest_are_told() -> None:
    watch = Watch(3 * MAX_ANNOUNCED_RUNS)
    watch.break_runs(3 * MAX_ANNOUNCED_RUNS)
    watch.network.advance(1.0)
    assert [run.fingerprint[0] for run in watch.told[0].runs] == list(range(MAX_ANNOUNCED_RUNS))

"""Detection of crashes by broken connections."""

from __future__ import annotations

import pytest

from beamhatch.relay.model import Address, Fingerprint, Phase, ServiceName, Upstream, UpstreamId
from beamhatch.relay.quarantine.detection import SETTLE_S, CrashDetector
from beamhatch.relay.quarantine.ends import MAX_ANNOUNCED_RUNS, BrokenRun, CrashUpdate
from beamhatch.relay.upstreams.http_client import Connection
from tests.support.network import Network, PausedClock

ENGINE = Upstream(UpstreamId("e"), ServiceName("s"), Address("host", 1), "a", False, Phase.DECODE, 8)


class FakeConnection(Connection):
    """Connection without I/O, open while it is in ``DetectorHarness.open``."""

    def __init__(self, *, paused: bool = False) -> None:
        self.paused = paused


class DetectorHarness:
    """Crash detector with a paused clock, and the updates that it reported."""

    def __init__(self, connections: int = 0) -> None:
        self.network = Network()
        self.open = {FakeConnection() for _ in range(connections)}
        self.reported: list[CrashUpdate] = []
        self.detector = CrashDetector(PausedClock(self.network), lambda _: frozenset(self.open), self.reported.append)

    def break_runs(self, count: int) -> None:
        """Record ``count`` broken runs, closing one open connection for each while there are any."""
        for number in range(count):
            if self.open:
                self.open.pop()
            self.detector.record_broken_run(ENGINE, BrokenRun(Fingerprint(bytes([number])), 100 * number))


def test_runs_that_break_at_once_are_reported_as_one_crash() -> None:
    harness = DetectorHarness(3)
    harness.break_runs(3)
    harness.network.advance(SETTLE_S / 2)
    assert not harness.reported
    harness.network.advance(SETTLE_S)
    (update,) = harness.reported
    assert [run.duration_ms for run in update.runs] == [0, 100, 200]
    assert update.age >= SETTLE_S


@pytest.mark.parametrize(("connections", "broken"), [(5, 2), (64, 1), (64, 32), (64, 48), (64, 57), (2, 1)])
def test_no_crash_is_reported_while_some_connections_stay_open(connections: int, broken: int) -> None:
    harness = DetectorHarness(connections)
    harness.break_runs(broken)
    harness.network.advance(1.0)
    assert not harness.reported


@pytest.mark.parametrize("connections", [1, 3, 64])
def test_connections_opened_after_a_crash_do_not_hide_it(connections: int) -> None:
    harness = DetectorHarness(connections)
    harness.break_runs(connections)
    harness.open |= {FakeConnection() for _ in range(100)}
    harness.network.advance(1.0)
    assert len(harness.reported) == 1


def test_closed_idle_connections_count_as_crash() -> None:
    harness = DetectorHarness(10)
    harness.break_runs(1)
    harness.open.clear()
    harness.network.advance(1.0)
    assert len(harness.reported) == 1


def test_paused_connection_does_not_hide_crash() -> None:
    harness = DetectorHarness(2)
    active = list(harness.open)
    harness.open.add(FakeConnection(paused=True))
    for number, one in enumerate(active):
        harness.open.remove(one)
        harness.detector.record_broken_run(ENGINE, BrokenRun(Fingerprint(bytes([number])), 100))
    harness.network.advance(1.0)
    assert len(harness.reported) == 1


def test_only_the_shortest_of_many_runs_are_reported() -> None:
    harness = DetectorHarness(3 * MAX_ANNOUNCED_RUNS)
    harness.break_runs(3 * MAX_ANNOUNCED_RUNS)
    harness.network.advance(1.0)
    assert [run.fingerprint[0] for run in harness.reported[0].runs] == list(range(MAX_ANNOUNCED_RUNS))

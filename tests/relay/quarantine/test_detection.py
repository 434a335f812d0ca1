"""Detection of crashes by broken connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from beamhatch.relay.model import Address, Fingerprint, Phase, ServiceName, Upstream, UpstreamId
from beamhatch.relay.quarantine.detection import SETTLE_S, CrashDetector, EndVerdict
from beamhatch.relay.quarantine.ends import MAX_ANNOUNCED_RUNS, BrokenRun, CrashUpdate
from beamhatch.relay.tunnels.api import Via
from beamhatch.relay.upstreams.connection import Connection
from beamhatch.relay.upstreams.http_client import ConnectionTracker
from tests.support.network import Network, PausedClock

if TYPE_CHECKING:
    from collections.abc import Set

ENGINE = Upstream(UpstreamId("e"), ServiceName("s"), Address("host", 1), "a", False, Phase.DECODE, 8)


class FakeConnection(Connection):
    """Connection without I/O, open while it is in ``DetectorHarness.open``."""

    def __init__(self, *, paused: bool = False) -> None:
        self.paused = paused


class DetectorHarness(ConnectionTracker):
    """Crash detector with a paused clock, and the updates that it reported."""

    def __init__(self, connections: int = 0) -> None:
        self.network = Network()
        self.open = {FakeConnection() for _ in range(connections)}
        self.tunnels: set[FakeConnection] = set()
        self.proxy_is_used = False
        """Whether a tunnel to another upstream is open through the same peer."""
        self.reported: list[CrashUpdate] = []
        self.detector = CrashDetector(PausedClock(self.network), self, self.reported.append)

    def list_open(self, address: Address, via: Via | None) -> Set[Connection]:
        return frozenset(self.open if via is None else self.tunnels)

    def list_just_closed(self, address: Address, via: Via | None) -> Set[Connection]:
        return frozenset()

    def has_other_tunnel(self, via: Via, address: Address) -> bool:
        return self.proxy_is_used

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


# --- tunnels ----------------------------------------------------------------------------------------------------------

VIA = Via(Address("peer", 3), "a")


def test_run_that_breaks_through_a_working_peer_is_reported() -> None:
    harness = DetectorHarness()
    harness.proxy_is_used = True
    harness.detector.record_broken_run(ENGINE, BrokenRun(Fingerprint(b"r"), 100), VIA)
    harness.network.advance(1.0)
    assert len(harness.reported) == 1


def test_run_that_breaks_through_a_peer_that_may_have_failed_is_reported_only_with_a_crash_seen_elsewhere() -> None:
    for confirmed in (False, True):
        harness = DetectorHarness()
        harness.detector.record_broken_run(ENGINE, BrokenRun(Fingerprint(b"r"), 100), VIA)
        harness.network.advance(0.2)
        assert not harness.reported
        if not confirmed:
            harness.network.advance(5.0)
        harness.detector.confirm(ENGINE.id, harness.network.rightNow - 0.1)
        assert len(harness.reported) == confirmed
        harness.detector.confirm(ENGINE.id, harness.network.rightNow)
        assert len(harness.reported) == confirmed


def test_run_that_breaks_through_a_peer_is_not_reported_while_others_to_the_upstream_stay_open() -> None:
    harness = DetectorHarness()
    harness.proxy_is_used = True
    harness.tunnels = {FakeConnection()}
    harness.detector.record_broken_run(ENGINE, BrokenRun(Fingerprint(b"r"), 100), VIA)
    harness.network.advance(1.0)
    assert not harness.reported


# --- responses that end with their connection -------------------------------------------------------------------------


def end_run(harness: DetectorHarness) -> list[EndVerdict]:
    """Record a run whose connection closed at the end of its response; return where its verdict will be."""
    verdicts: list[EndVerdict] = []
    connection = FakeConnection()
    harness.detector.record_closed_run(ENGINE, BrokenRun(Fingerprint(b"closed"), 100), connection, verdicts.append)
    return verdicts


def test_response_that_ends_with_its_connection_is_complete_while_others_stay_open() -> None:
    harness = DetectorHarness(1)
    verdicts = end_run(harness)
    assert not verdicts
    harness.network.advance(1.0)
    assert verdicts == [EndVerdict.COMPLETE]
    assert not harness.reported


def test_response_that_ends_as_all_connections_close_is_part_of_a_crash() -> None:
    harness = DetectorHarness(3)
    verdicts = end_run(harness)
    harness.open.clear()
    harness.network.advance(1.0)
    assert verdicts == [EndVerdict.CRASHED]
    assert [run.fingerprint for run in harness.reported[0].runs] == [b"closed"]


def test_end_of_the_only_connection_tells_nothing() -> None:
    harness = DetectorHarness()
    verdicts = end_run(harness)
    harness.network.advance(1.0)
    assert verdicts == [EndVerdict.UNKNOWN]
    assert not harness.reported


def test_responses_that_end_with_all_connections_at_once_tell_nothing() -> None:
    harness = DetectorHarness(4)
    verdicts: list[EndVerdict] = []
    for connection in list(harness.open):
        harness.open.discard(connection)
        run = BrokenRun(Fingerprint(b"closed"), 100)
        harness.detector.record_closed_run(ENGINE, run, connection, verdicts.append)
    harness.network.advance(1.0)
    assert verdicts == [EndVerdict.UNKNOWN] * 4
    assert not harness.reported


def test_reset_beside_responses_that_end_with_their_connections_is_no_crash_of_others() -> None:
    harness = DetectorHarness(3)
    harness.break_runs(1)
    closing = harness.open.pop()
    harness.detector.record_closed_run(ENGINE, BrokenRun(Fingerprint(b"closed"), 100), closing, lambda _: None)
    harness.network.advance(1.0)
    assert not harness.reported


def test_response_that_ended_with_its_connection_is_part_of_a_crash_seen_elsewhere() -> None:
    harness = DetectorHarness()
    end_run(harness)
    harness.network.advance(0.1)
    harness.detector.confirm(ENGINE.id, harness.network.rightNow)
    assert [run.fingerprint for run in harness.reported[0].runs] == [b"closed"]

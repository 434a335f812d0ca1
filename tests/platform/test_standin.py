"""The stand-ins of upstreams: what ends with their processes."""

from __future__ import annotations

from beamhatch.platform.standin.upstream import StandInEngine
from tests.support.platform import make_platform


def test_an_engine_that_crashes_while_it_changes_its_phase_keeps_its_phase() -> None:
    platform = make_platform(decode=1)
    engine = platform.upstreams["decode-0"]
    assert isinstance(engine, StandInEngine)
    engine.pending_phase = "prefill"
    engine._wait_until_idle()
    platform.network.run(1.0)
    engine.crash()
    platform.network.run(8.0)
    assert engine.phase == "decode"


def test_what_waited_for_the_end_of_a_pause_is_gone_with_the_process() -> None:
    platform = make_platform(decode=1)
    engine = platform.upstreams["decode-0"]
    engine.pause_for(4.0)
    caller = platform.connect("host-decode-0", 80)
    caller.send(b"GET /stream/x HTTP/1.1\r\nHost: x\r\nRequest-Id: q1\r\nToken-Count: 10,10\r\nStage: whole\r\n\r\n")
    platform.network.run(0.5)
    engine.crash()
    platform.network.run(5.0)
    assert not platform.ledger.runs["q1"]
    assert not engine.pause_left_s

"""Streams that break while the engines of their service run several versions of the software."""

from __future__ import annotations

import pytest

from tests.support.pauses import EVENTS, fill
from tests.support.platform import make_platform
from tests.support.version_disturbances import Disturbance
from tests.support.version_fleet import VersionFleet
from tests.support.version_spell import VersionSpell

MIXED_ALLOWED = 2
"""Streams that may hold events from two versions, over a whole day and all VMs."""

FEWEST_RESUMED = 12
"""Resumed streams below which the share of those that went on is not judged."""

GOES_ON_SHARE = 0.5
"""Smallest share of the streams resumed that must go on, relative to the share of new streams that begin."""

PROMPT_END_S = 0.2
"""Seconds within which a response that can't go on has to end."""

STILL_GONE_S = 1.0
"""Seconds after a crash in which the engine is not back yet."""


def keeps_bounds(fleet: VersionFleet) -> bool:
    """Return whether streams were kept apart by version, and enough of them went on."""
    went_on, resumed = fleet.count_resumed()
    begun, asked = fleet.count_begun()
    goes_on = resumed < FEWEST_RESUMED or went_on * asked >= GOES_ON_SHARE * begun * resumed
    return len(fleet.list_mixed()) <= MIXED_ALLOWED and goes_on


def describe(fleet: VersionFleet) -> str:
    return f"mixed {fleet.list_mixed()}, resumed {fleet.count_resumed()}, begun {fleet.count_begun()}"


def test_a_stream_goes_on_at_another_version_within_one_answer() -> None:
    fleet = VersionFleet(size=1, engines=4)
    for _ in range(4):
        fleet.begin_streams(6, "vm0")
        max(fleet.list_decode_engines(), key=lambda one: len(one.runs)).crash()
        fleet.run(8.0)
    assert not fleet.list_mixed()
    assert all(one.is_complete for one in fleet.streams)
    lines = [line for line in fleet.platform.journals["vm0"].lines if line["event"] in ("broken off", "given up")]
    assert {line["reason"] for line in lines} <= {"the budget for repeated sends is spent"}


def test_a_stream_waits_for_an_engine_of_a_version_that_none_runs_any_more() -> None:
    fleet = VersionFleet(size=1, engines=2)
    (stream,) = fleet.begin_streams(1, "vm0")
    max(fleet.list_decode_engines(), key=lambda one: len(one.runs)).crash()
    began = fleet.now
    fleet.platform.network.run_until(lambda: stream.tries[0].caller.closed)
    assert fleet.now - began < PROMPT_END_S
    fleet.run(STILL_GONE_S)
    refused = stream.tries[1]
    assert refused.caller.status == 503
    assert refused.caller.received.endswith(b"\r\n\r\n") or refused.caller.whole
    assert not fleet.list_mixed()


def test_a_stream_goes_on_at_another_version_at_a_vm_that_did_not_see_it_begin() -> None:
    fleet = VersionFleet()
    fleet.begin_streams(24, "vm0", "vm1")
    fleet.kill("vm0", None)
    fleet.kill("vm1", None)
    fleet.run(8.0)
    assert not fleet.list_mixed()
    went_on, resumed = fleet.count_resumed()
    assert resumed >= FEWEST_RESUMED
    assert went_on >= 0.9 * resumed, describe(fleet)


@pytest.mark.parametrize(
    ("disturbance", "size"),
    [*((one, 6) for one in Disturbance), (Disturbance.HALVES, 9), (Disturbance.HALLS, 9)],
    ids=lambda one: one.value if isinstance(one, Disturbance) else str(one),
)
def test_streams_go_on_at_another_version_or_not_at_all(disturbance: Disturbance, size: int) -> None:
    fleet = VersionFleet(size)
    disturbance.play(fleet)
    assert keeps_bounds(fleet), describe(fleet)


def test_a_stream_goes_on_at_another_version_as_its_caller_crosses_a_cut_between_halls() -> None:
    fleet = VersionFleet()
    fleet.begin_streams(12, "vm0", "vm3")
    for vm in ("vm1", "vm2", "vm4", "vm5"):
        fleet.platform.network.cut_between("vm0", vm)
        fleet.platform.network.cut_between("vm3", vm)
    fleet.begin_streams(12, "vm0", "vm3")
    fleet.kill("vm0", None)
    fleet.kill("vm3", None)
    fleet.run(8.0)
    assert not fleet.list_mixed()
    assert fleet.count_resumed()[0] >= 12  # streams that began before the cut


@pytest.mark.parametrize("seed", [0, 1])
def test_streams_go_on_at_another_version_as_disruptions_overlap(seed: int) -> None:
    spell = VersionSpell(seed)
    broken = spell.play()
    assert not broken, "\n".join([*broken, *spell.lines])


def test_a_stream_goes_on_at_another_version_whose_engine_grants_memory_late() -> None:
    platform = make_platform(prefill=1, decode=0)
    first = platform.add_engine("decode-first", "decode", version="v1")
    full = platform.add_engine("decode-full", "decode", version="v1")
    late = platform.add_engine("decode-late", "decode", version="v2")
    platform.network.run(11.0)
    fill(full)
    late.pause_for(1.0)
    headers = {"Token-Count": f"5000,{EVENTS}"}
    callers = [platform.call("/resumable/x", f"q{number}", headers=headers) for number in range(8)]
    lines = platform.journals["vm1"].lines
    platform.network.run_until(lambda: len(platform.ledger.event_versions) == len(callers))
    assert any(line["event"] == "not reserved" and line["to"] == late.instance for line in lines)
    first.restart_time_s = 60.0
    first.crash()
    for caller in callers:
        platform.finish(caller)
    assert {len(set(events.values())) for events in platform.ledger.event_versions.values()} == {1}

"""An upstream that starts again under the id that it had holds and knows nothing of before."""

from __future__ import annotations

import pytest

from beamhatch.platform.standin.upstream import StandInEngine, UpstreamFault
from beamhatch.relay.engines.changing import PhaseChangeUpdate
from beamhatch.relay.model import Phase, UpstreamId
from tests.support.platform import MODEL, PLAIN, Platform, make_platform

ONLY = UpstreamId("plain-0")


def serve(platform: Platform, path: str, request: str) -> int:
    return platform.finish(platform.call(path, request)).status


def start_again(platform: Platform, name: str) -> None:
    """End an upstream, and have it back at once under its id."""
    upstream = platform.upstreams[name]
    upstream.restart_time_s = 0.1
    upstream.crash()
    platform.network.run(0.5)


def test_one_that_left_is_used_again_once_it_is_back_in_another_life() -> None:
    platform = make_platform(plain=1)
    platform.drain("plain-0")
    platform.network.run(0.5)
    assert serve(platform, "/safe/x", "q1") == 503
    start_again(platform, "plain-0")
    assert serve(platform, "/safe/x", "q2") == 200


def test_an_old_entry_of_one_that_leaves_brings_nothing_back() -> None:
    platform = make_platform(plain=1)
    entry = platform.upstreams["plain-0"].make_entry(PLAIN, "hall-a")
    platform.drain("plain-0")
    platform.network.run(0.1)
    platform.store.put("servers/plain-0", entry)
    platform.network.run(0.1)
    assert serve(platform, "/safe/x", "q1") == 503


def test_faults_and_silence_of_an_earlier_life_are_not_held_against_it() -> None:
    platform = make_platform(plain=1)
    platform.upstreams["plain-0"].fault = UpstreamFault.ERROR
    for number in range(6):
        serve(platform, "/safe/x", f"q{number}")
    platform.upstreams["plain-0"].stop()
    for number in range(4):
        serve(platform, "/safe/x", f"r{number}")
    standing = platform.vms["vm1"].core.stats.get(ONLY)
    now = platform.clock.now()
    assert standing.should_skip(now)
    platform.upstreams["plain-0"].fault = UpstreamFault.NONE
    start_again(platform, "plain-0")
    now = platform.clock.now()
    assert not standing.should_skip(now)
    assert standing.get_failure_rate(now) == 0.0
    assert standing.latency == 0.0
    assert serve(platform, "/safe/x", "last") == 200


def test_work_under_way_is_still_counted_once_where_it_ends_behind_the_new_start() -> None:
    platform = make_platform(plain=1)
    platform.upstreams["plain-0"].service_time_s = 0.3
    caller = platform.call("/unsafe/x", "q1")
    platform.network.run(0.1)
    entry = platform.upstreams["plain-0"].make_entry(PLAIN, "hall-a")
    platform.store.put("servers/plain-0", {**entry, "born": int(str(entry["born"])) + 1})
    platform.finish(caller)
    assert platform.vms["vm1"].core.stats.get(ONLY).running == 0


def test_an_engine_that_was_to_change_its_part_is_used_in_the_part_that_it_starts_with() -> None:
    platform = make_platform(prefill=1, decode=1)
    core = platform.vms["vm1"].core
    core.apply_phase_change(UpstreamId("decode-0"), PhaseChangeUpdate(Phase.PREFILL, 15.0, confirmed=True), "a test")
    assert serve(platform, "/resumable/x", "q1") == 503
    start_again(platform, "decode-0")
    assert serve(platform, "/resumable/x", "q2") == 200


def test_a_peers_word_on_a_change_of_an_earlier_life_holds_nothing_up() -> None:
    platform = make_platform(prefill=1, decode=1)
    platform.add_vm("vm2", ["vm1:8002"], "hall-b")
    platform.network.run(2.0)
    for vm in platform.vms.values():
        vm.core.apply_phase_change(
            UpstreamId("decode-0"), PhaseChangeUpdate(Phase.PREFILL, 15.0, confirmed=True), "a test"
        )
    platform.network.run(1.0)
    start_again(platform, "decode-0")
    platform.network.run(2.0)
    assert serve(platform, "/resumable/x", "q2") == 200


@pytest.mark.parametrize("name", ["decode-0", "prefill-0"])
def test_what_was_held_in_an_earlier_life_is_not_relied_on(name: str) -> None:
    """Memory that was set aside, and a prompt's KV cache, are asked for anew and not sent for where they were."""
    platform = make_platform(prefill=1, decode=1)
    engine = platform.upstreams["prefill-0"]
    assert isinstance(engine, StandInEngine)
    engine.prefill_rate = 10_000.0
    caller = platform.call("/resumable/x", "q1")
    platform.network.run(0.3)
    exchange = next(iter(platform.vms["vm1"].core.exchanges))
    assert exchange.request.reservation is not None
    entry = platform.upstreams[name].make_entry(MODEL, "hall-a")
    held = platform.upstreams[name]
    assert isinstance(held, StandInEngine)
    held.reserved_tokens.clear()
    platform.store.put(f"servers/{name}", {**entry, "born": int(str(entry["born"])) + 1})
    platform.finish(caller)
    assert caller.status == 200
    events = platform.journals["vm1"].list_events("q1")
    if name == "decode-0":
        assert "memory given up" in events
        assert events.count("reserved") == 2


def test_counts_that_start_anew_are_no_older_news() -> None:
    platform = make_platform(plain=1)
    entry = platform.upstreams["plain-0"].make_entry(PLAIN, "hall-a")
    platform.store.put("servers/plain-0", {**entry, "sequence": 900})
    platform.network.run(0.5)
    later = {**entry, "sequence": 0, "born": int(str(entry["born"])) + 5, "state": "draining"}
    platform.store.put("servers/plain-0", later)
    platform.network.run(0.5)
    assert serve(platform, "/safe/x", "q1") == 503

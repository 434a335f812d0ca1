"""Tests of the chooser of upstreams."""

from __future__ import annotations

from beamhatch.relay.choosing.chooser import SAMPLE_SIZE, LeastCostChooser, RequestRequirements
from beamhatch.relay.choosing.standing import PROBE_INTERVAL_S, UNREACHABLE_THRESHOLD, Load, UpstreamStatsRegistry
from beamhatch.relay.model import Address, Handle, Phase, ServiceName, Upstream, UpstreamId

REQUIREMENTS = RequestRequirements("p1", 5000, 6000)
KV_TOKENS = 60_000
NOW = 100.0


def make_upstream(name: str, phase: Phase, hall: str = "a") -> Upstream:
    return Upstream(UpstreamId(name), ServiceName("s"), Address(name, 1), hall, False, phase, 6)


def make_chooser() -> tuple[LeastCostChooser, UpstreamStatsRegistry]:
    registry = UpstreamStatsRegistry()
    return LeastCostChooser(registry, "a"), registry


def test_the_same_prompt_goes_to_the_same_engine_on_every_vm() -> None:
    engines = [make_upstream(f"u{number}", Phase.PREFILL) for number in range(4)]
    chosen = {make_chooser()[0].choose_prefill(engines, REQUIREMENTS, set(), NOW) for _ in range(5)}
    assert len(chosen) == 1


def test_a_queue_outweighs_cache_affinity() -> None:
    chooser, registry = make_chooser()
    engines = [make_upstream(f"u{number}", Phase.PREFILL) for number in range(4)]
    preferred = chooser.choose_prefill(engines, REQUIREMENTS, set(), NOW)
    assert preferred is not None
    for _ in range(3):
        registry.get(preferred.id).record_start(5000, NOW)
    assert chooser.choose_prefill(engines, REQUIREMENTS, set(), NOW) != preferred


def test_the_decode_engine_is_in_the_hall_of_the_kv_cache_unless_it_is_busier() -> None:
    chooser, registry = make_chooser()
    beside_cache, other = make_upstream("near", Phase.DECODE, "b"), make_upstream("far", Phase.DECODE, "a")
    handle = Handle("k", make_upstream("p", Phase.PREFILL, "b"), NOW)
    assert (
        chooser.choose_decode([other, beside_cache], REQUIREMENTS, set(), NOW, handle=handle, kv_tokens=KV_TOKENS)
        == beside_cache
    )
    for _ in range(4):
        registry.get(beside_cache.id).record_start(6000, NOW)
    assert (
        chooser.choose_decode([other, beside_cache], REQUIREMENTS, set(), NOW, handle=handle, kv_tokens=KV_TOKENS)
        == other
    )


def test_failures_outweigh_load_until_they_expire() -> None:
    chooser, registry = make_chooser()
    good, bad = make_upstream("good", Phase.PLAIN), make_upstream("bad", Phase.PLAIN)
    registry.get(good.id).record_load(Load(6, 2, 6), NOW)
    registry.get(bad.id).record_no_response(NOW)
    assert chooser.choose_plain([bad, good], set(), NOW) == good
    assert chooser.choose_plain([bad], set(), NOW) == bad
    assert chooser.choose_plain([bad, good], {good.id}, NOW) == bad
    assert chooser.choose_plain([bad], {bad.id}, NOW) is None
    registry.get(bad.id).record_misdirected(NOW)
    assert chooser.choose_plain([bad], set(), NOW) is None
    assert chooser.choose_plain([bad], set(), NOW + 60) == bad


def test_an_unresponsive_replica_that_is_due_for_a_probe_goes_before_one_that_is_not() -> None:
    chooser, registry = make_chooser()
    due, asked = make_upstream("due", Phase.PLAIN), make_upstream("asked", Phase.PLAIN)
    registry.get(due.id).record_load(Load(6, 2, 6), NOW)
    for replica, sent_at in ((due, NOW - PROBE_INTERVAL_S), (asked, NOW - 0.1)):
        stats = registry.get(replica.id)
        stats.sent_at = sent_at
        for _ in range(UNREACHABLE_THRESHOLD):
            stats.record_no_response(NOW)
    chosen = chooser.choose_plain([asked, due], set(), NOW)
    assert chosen == due
    assert not chooser.should_skip(due, NOW)


def test_failure_rates_reported_by_peers_expire() -> None:
    chooser, registry = make_chooser()
    reported, other = make_upstream("reported", Phase.PLAIN), make_upstream("other", Phase.PLAIN)
    registry.get(other.id).record_start(0, NOW)
    registry.get(reported.id).apply_peer_failure_rate(0.5, NOW)
    assert chooser.choose_plain([reported, other], set(), NOW) == other
    assert chooser.choose_plain([reported, other], set(), NOW + 40) == reported
    assert registry.get_own_failure_rates(0.1, NOW) == {}


def test_a_choice_among_thousands_examines_a_sample() -> None:
    chooser, registry = make_chooser()
    phases = (Phase.PREFILL, Phase.DECODE, Phase.DECODE)
    engines = [make_upstream(f"u{number}", phases[number % 3]) for number in range(6900)]
    assert chooser.choose_prefill(engines, REQUIREMENTS, set(), NOW) is not None
    assert chooser.choose_decode(engines, REQUIREMENTS, set(), NOW, handle=None, kv_tokens=KV_TOKENS) is not None
    assert len(registry._stats) <= 2 * SAMPLE_SIZE


def test_the_only_engine_of_a_phase_is_found_among_thousands() -> None:
    chooser, _ = make_chooser()
    engines = [make_upstream(f"u{number}", Phase.DECODE) for number in range(2000)] + [
        make_upstream("only", Phase.PREFILL)
    ]
    assert chooser.choose_prefill(engines, REQUIREMENTS, set(), NOW) == engines[-1]


def test_a_new_stream_begins_where_streams_go_on() -> None:
    chooser, registry = make_chooser()
    engines = [make_upstream("stopped", Phase.DECODE), make_upstream("busy", Phase.DECODE)]
    for _ in range(3):
        registry.get(engines[1].id).record_start(5000, NOW)
    for engine, last_event_at in zip(engines, (NOW - 0.6, NOW - 0.1), strict=True):
        registry.get(engine.id).streams = 1
        registry.get(engine.id).record_event(last_event_at)
    assert chooser.list_silent(engines, NOW) == {"stopped"}
    chosen = chooser.choose_decode(engines, REQUIREMENTS, set(), NOW, handle=None, kv_tokens=KV_TOKENS)
    assert chosen is engines[1]


def test_an_engine_without_streams_is_not_silent() -> None:
    chooser, registry = make_chooser()
    engine = make_upstream("idle", Phase.DECODE)
    registry.get(engine.id).record_event(NOW - 60.0)
    assert not chooser.list_silent([engine], NOW)

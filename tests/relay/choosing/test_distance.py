"""What distance costs."""

from __future__ import annotations

import pytest

from beamhatch.relay.choosing.chooser import LeastCost, Need
from beamhatch.relay.choosing.distance import EVENT_BYTES, PLAIN_BYTES, UNTOLD_CACHE, Distances, find_cache
from beamhatch.relay.choosing.standing import Standings
from beamhatch.relay.mechanism import Mechanism
from beamhatch.relay.model import Address, EngineSpec, Handle, Phase, ServiceName, Upstream, UpstreamId
from beamhatch.relay.topology import RegionName, Topology

WEST, EAST = RegionName("west"), RegionName("east")
PLACES = Topology({"a": WEST, "b": WEST, "c": EAST})
HALLS = ("a", "b", "c")
LARGE = EngineSpec(64, 44_907, 0.5, kv_bytes_per_token=163_840, link_bytes_per_s=1300e9 / 8)
SMALL = EngineSpec(16, 45_026, 0.5, kv_bytes_per_token=18_432, link_bytes_per_s=280e9 / 8)
NOW = 100.0
KV = 60_000


def make(name: str, phase: Phase, hall: str) -> Upstream:
    return Upstream(UpstreamId(name), ServiceName("s"), Address(name, 1), hall, False, phase, 16)


def make_need(engine: EngineSpec, decode_hall: str = "") -> Need:
    return Need("p", 5000, 5068, cache=find_cache(engine, 5000), answer_bytes=68 * EVENT_BYTES, decode_hall=decode_hall)


@pytest.mark.parametrize(("engine", "costs"), [(LARGE, (5.0, 26.5, 99.6)), (SMALL, (2.6, 7.1, 31.9))])
def test_one_formula_weighs_caches_of_all_sizes(engine: EngineSpec, costs: tuple[float, ...]) -> None:
    cache = find_cache(engine, 5000)
    found = [1000 * Distances("a", PLACES).count_move("a", hall, cache) for hall in HALLS]
    assert found == pytest.approx(costs, abs=0.05)


@pytest.mark.parametrize(("size", "costs"), [(68 * EVENT_BYTES, (0.5, 16.3, 70.9)), (PLAIN_BYTES, (0.5, 4.0, 34.0))])
def test_ways_cost_round_trips_and_the_bytes_that_cross(size: int, costs: tuple[float, ...]) -> None:
    found = [1000 * Distances("a", PLACES).count_way(hall, size) for hall in HALLS]
    assert found == pytest.approx(costs, abs=0.05)


@pytest.mark.parametrize("engine", [EngineSpec(1, 1, 0.5), EngineSpec(1, 1, 0.5, kv_bytes_per_token=9.0)])
def test_what_is_not_told_has_a_prior(engine: EngineSpec) -> None:
    assert find_cache(engine, 5000) is UNTOLD_CACHE


def count_prompts_until_far(engine: EngineSpec, near: str, far: str) -> int:
    """Return how many prompts have to wait at a near prefill engine until a far one is chosen."""
    standings = Standings()
    chooser = LeastCost(standings, "a", without=frozenset({Mechanism.CACHE_AFFINITY}), places=PLACES)
    engines = [make("near", Phase.PREFILL, near), make("far", Phase.PREFILL, far)]
    for number in range(10):
        if chooser.choose_prefill(engines, make_need(engine, "a"), set(), NOW) is engines[1]:
            return number
        standings.get(engines[0].id).begin(500, NOW)
    return 10


def test_a_large_cache_keeps_engines_together_that_a_small_one_does_not() -> None:
    assert count_prompts_until_far(LARGE, "a", "b") > count_prompts_until_far(SMALL, "a", "b") > 0
    assert count_prompts_until_far(LARGE, "a", "c") > count_prompts_until_far(LARGE, "a", "b")


def test_a_prompt_is_read_in_the_region_whose_decode_engine_has_memory_for_it() -> None:
    chooser = LeastCost(Standings(), "a", without=frozenset({Mechanism.CACHE_AFFINITY}), places=PLACES)
    engines = [make("west", Phase.PREFILL, "a"), make("east", Phase.PREFILL, "c")]
    assert chooser.choose_prefill(engines, make_need(LARGE), set(), NOW) is engines[0]
    assert chooser.choose_prefill(engines, make_need(LARGE, "c"), set(), NOW) is engines[1]


def test_a_stream_comes_from_the_callers_hall_and_a_cache_goes_to_its_own() -> None:
    chooser = LeastCost(Standings(), "a", places=PLACES)
    near, far = make("near", Phase.DECODE, "a"), make("far", Phase.DECODE, "b")
    engines = [far, near]
    assert chooser.choose_decode(engines, make_need(SMALL), set(), NOW, handle=None, kv_tokens=KV) is near
    handle = Handle("k", make("p", Phase.PREFILL, "b"), NOW)
    assert chooser.choose_decode(engines, make_need(SMALL), set(), NOW, handle=handle, kv_tokens=KV) is near
    assert chooser.choose_decode(engines, make_need(LARGE), set(), NOW, handle=handle, kv_tokens=KV) is far


def test_distance_costs_nothing_where_it_is_left_out() -> None:
    distances = Distances("a", PLACES, counts=False)
    assert distances.count_way("c", 1e6) == distances.count_move("a", "c", find_cache(LARGE, 5000)) == 0.0

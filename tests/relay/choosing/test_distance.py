"""Tests of the costs of distance."""

from __future__ import annotations

import pytest

from beamhatch.relay.choosing.chooser import LeastCostChooser, RequestRequirements
from beamhatch.relay.choosing.distance import (
    EVENT_BYTES,
    PLAIN_REQUEST_BYTES,
    UNKNOWN_CACHE_TRANSFER,
    DistanceCosts,
    compute_cache_transfer,
)
from beamhatch.relay.choosing.standing import UpstreamStatsRegistry
from beamhatch.relay.mechanism import Mechanism
from beamhatch.relay.model import Address, EngineSpec, Handle, Phase, ServiceName, Upstream, UpstreamId
from beamhatch.relay.topology import RegionName, Topology

WEST, EAST = RegionName("west"), RegionName("east")
PLACES = Topology({"a": WEST, "b": WEST, "c": EAST})
HALLS = ("a", "b", "c")
LARGE = EngineSpec(64, 44_907, 0.5, kv_bytes_per_token=163_840, link_bytes_per_s=1300e9 / 8)
SMALL = EngineSpec(16, 45_026, 0.5, kv_bytes_per_token=18_432, link_bytes_per_s=280e9 / 8)
NOW = 100.0
KV_TOKENS = 60_000


def make_upstream(name: str, phase: Phase, hall: str) -> Upstream:
    return Upstream(UpstreamId(name), ServiceName("s"), Address(name, 1), hall, False, phase, 16)


def make_requirements(engine: EngineSpec, decode_hall: str = "") -> RequestRequirements:
    return RequestRequirements(
        "p",
        5000,
        5068,
        cache=compute_cache_transfer(engine, 5000),
        response_bytes=68 * EVENT_BYTES,
        decode_hall=decode_hall,
    )


@pytest.mark.parametrize(("engine", "costs"), [(LARGE, (5.0, 26.5, 99.6)), (SMALL, (2.6, 7.1, 31.9))])
def test_transfer_cost_grows_with_cache_size_and_distance(engine: EngineSpec, costs: tuple[float, ...]) -> None:
    cache = compute_cache_transfer(engine, 5000)
    found = [1000 * DistanceCosts("a", PLACES).compute_transfer_cost("a", hall, cache) for hall in HALLS]
    assert found == pytest.approx(costs, abs=0.05)


@pytest.mark.parametrize(
    ("size", "costs"), [(68 * EVENT_BYTES, (0.5, 16.3, 70.9)), (PLAIN_REQUEST_BYTES, (0.5, 4.0, 34.0))]
)
def test_requests_cost_round_trips_and_the_bytes_sent_between_halls(size: int, costs: tuple[float, ...]) -> None:
    found = [1000 * DistanceCosts("a", PLACES).compute_request_cost(hall, size) for hall in HALLS]
    assert found == pytest.approx(costs, abs=0.05)


@pytest.mark.parametrize("engine", [EngineSpec(1, 1, 0.5), EngineSpec(1, 1, 0.5, kv_bytes_per_token=9.0)])
def test_a_cache_of_unknown_size_or_link_rate_has_a_default_transfer(engine: EngineSpec) -> None:
    assert compute_cache_transfer(engine, 5000) is UNKNOWN_CACHE_TRANSFER


def count_prompts_until_far(engine: EngineSpec, near: str, far: str) -> int:
    """Return the number of prompts queued at a near prefill engine when a far one is chosen."""
    registry = UpstreamStatsRegistry()
    chooser = LeastCostChooser(registry, "a", without=frozenset({Mechanism.CACHE_AFFINITY}), places=PLACES)
    engines = [make_upstream("near", Phase.PREFILL, near), make_upstream("far", Phase.PREFILL, far)]
    for number in range(10):
        if chooser.choose_prefill(engines, make_requirements(engine, "a"), set(), NOW) is engines[1]:
            return number
        registry.get(engines[0].id).record_start(500, NOW)
    return 10


def test_prefill_stays_closer_to_decode_for_a_large_cache_than_for_a_small_one() -> None:
    assert count_prompts_until_far(LARGE, "a", "b") > count_prompts_until_far(SMALL, "a", "b") > 0
    assert count_prompts_until_far(LARGE, "a", "c") > count_prompts_until_far(LARGE, "a", "b")


def test_prefill_is_in_the_region_of_the_decode_engine() -> None:
    chooser = LeastCostChooser(
        UpstreamStatsRegistry(), "a", without=frozenset({Mechanism.CACHE_AFFINITY}), places=PLACES
    )
    engines = [make_upstream("west", Phase.PREFILL, "a"), make_upstream("east", Phase.PREFILL, "c")]
    assert chooser.choose_prefill(engines, make_requirements(LARGE), set(), NOW) is engines[0]
    assert chooser.choose_prefill(engines, make_requirements(LARGE, "c"), set(), NOW) is engines[1]


def test_decode_is_near_the_caller_or_near_a_large_cache() -> None:
    chooser = LeastCostChooser(UpstreamStatsRegistry(), "a", places=PLACES)
    near, far = make_upstream("near", Phase.DECODE, "a"), make_upstream("far", Phase.DECODE, "b")
    engines = [far, near]
    assert (
        chooser.choose_decode(engines, make_requirements(SMALL), set(), NOW, handle=None, kv_tokens=KV_TOKENS) is near
    )
    handle = Handle("k", make_upstream("p", Phase.PREFILL, "b"), NOW)
    assert (
        chooser.choose_decode(engines, make_requirements(SMALL), set(), NOW, handle=handle, kv_tokens=KV_TOKENS) is near
    )
    assert (
        chooser.choose_decode(engines, make_requirements(LARGE), set(), NOW, handle=handle, kv_tokens=KV_TOKENS) is far
    )


def test_disabled_distance_costs_are_zero() -> None:
    distances = DistanceCosts("a", PLACES, enabled=False)
    assert (
        distances.compute_request_cost("c", 1e6)
        == distances.compute_transfer_cost("a", "c", compute_cache_transfer(LARGE, 5000))
        == 0.0
    )

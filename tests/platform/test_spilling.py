"""Requests that go to another region, from a caller's socket, on a paused clock."""

from __future__ import annotations

import pytest

from beamhatch.platform.standin.upstream import StandInEngine
from beamhatch.relay.choosing.spill import SpillReason
from beamhatch.relay.model import UpstreamId
from beamhatch.relay.topology import RegionName, Topology
from tests.support.platform import Platform

PLACES = Topology({"hall-a": RegionName("west"), "hall-b": RegionName("west"), "hall-c": RegionName("east")})


def make_world() -> Platform:
    """Return a platform with a VM in hall-a, and engines there and in the other region."""
    platform = Platform()
    platform.configure(1)
    for hall in ("hall-a", "hall-c"):
        platform.add_plain(f"plain-{hall}", hall=hall)
        for number in range(2):
            platform.add_engine(f"prefill-{hall}-{number}", "prefill", hall=hall)
            platform.add_engine(f"decode-{hall}-{number}", "decode", hall=hall)
    platform.add_vm(places=PLACES)
    platform.network.run_until(platform.is_ready)
    return platform


def list_spills(platform: Platform, request: str) -> list[dict[str, object]]:
    lines = platform.journals["vm1"].lines
    return [line for line in lines if line.get("request") == request and line["event"] == "spilled"]


def fill_memory(platform: Platform, hall: str) -> None:
    for name, engine in platform.upstreams.items():
        if isinstance(engine, StandInEngine) and name.startswith(f"decode-{hall}"):
            engine.reserved_tokens["filled"] = 60_000


def test_what_the_region_can_bear_stays_there() -> None:
    platform = make_world()
    for number, path in enumerate(["/stream/x", "/safe/x", "/unsafe/x"] * 2):
        assert platform.finish(platform.call(path, f"q{number}")).status == 200
        assert not list_spills(platform, f"q{number}")
    assert platform.vms["vm1"].core.tally.counts["choices_by_distance_total", "other_region"] == 0


def test_a_full_region_spills_pairs_of_engines_and_says_why() -> None:
    platform = make_world()
    fill_memory(platform, "hall-a")
    assert platform.finish(platform.call("/stream/x", "q")).status == 200
    spills = list_spills(platform, "q")
    assert {line["reason"] for line in spills if line["phase"] == "decode"} == {SpillReason.TURNED_AWAY.value}
    assert {line["reason"] for line in spills if line["phase"] == "prefill"} == {SpillReason.PAIR.value}
    assert platform.vms["vm1"].core.tally.counts["spills_total", "turned_away"] > 0
    sent = {line["stage"]: line["to"] for line in platform.journals["vm1"].lines if line["event"] == "sent"}
    assert "hall-c" in sent["prefill"]
    assert "hall-c" in sent["decode"]


@pytest.mark.parametrize("path", ["/stream/x", "/safe/x"])
def test_a_region_without_upstreams_spills_and_has_its_own_back_at_once(path: str) -> None:
    platform = make_world()
    names = [name for name in platform.upstreams if "hall-a" in name]
    for name in names:
        platform.store.remove(f"servers/{name}")
    platform.network.run(3.0)
    assert platform.finish(platform.call(path, "q1")).status == 200
    reasons = {line["phase"]: line["reason"] for line in list_spills(platform, "q1")}
    assert reasons.pop("prefill", SpillReason.PAIR.value) == SpillReason.PAIR.value
    assert list(reasons.values()) == [SpillReason.NONE_NEAR.value]
    for name in names:
        platform.list_again(name)
    listing = platform.vms["vm1"].core.listing
    platform.network.run_until(lambda: all(listing.get(UpstreamId(name)) for name in names))
    assert platform.finish(platform.call(path, "q2")).status == 200
    assert not list_spills(platform, "q2")


def test_the_bytes_of_a_body_count_for_where_it_goes() -> None:
    platform = make_world()
    caller = platform.call("/stream/x", "q", body=b"x" * 300)
    platform.network.run(0.02)
    [exchange] = platform.vms["vm1"].core.exchanges
    assert exchange.request.need.body_bytes == 300
    assert platform.finish(caller).status == 200

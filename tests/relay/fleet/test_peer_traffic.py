"""Tests of the counters of traffic between VMs."""

from __future__ import annotations

from beamhatch.observe.tally import Tally
from beamhatch.relay.fleet.gossip_message import ConfigurationRequest, PrefillBacklog
from beamhatch.relay.fleet.peer_traffic import LENGTH_PREFIX_BYTES, PeerTraffic
from beamhatch.relay.topology import RegionName, Topology
from tests.support.platform import Platform

PLACES = Topology({"a": RegionName("x"), "b": RegionName("x"), "c": RegionName("y")})


def test_bytes_are_counted_by_kind_and_distance() -> None:
    tally = Tally()
    traffic = PeerTraffic(tally, "a", PLACES)
    traffic.record_sent(PrefillBacklog({}), 10, "a")
    traffic.record_sent(PrefillBacklog({}), 20, "b")
    traffic.record_sent(PrefillBacklog({}), 30, "b")
    traffic.record_sent(ConfigurationRequest(), 40, "c")
    traffic.record_sent(ConfigurationRequest(), 50, "")
    found = {label: value for (name, label), value in tally.counts.items() if name == "peer_bytes_total"}
    assert found == {
        "work same_hall": 10 + LENGTH_PREFIX_BYTES,
        "work same_region": 50 + 2 * LENGTH_PREFIX_BYTES,
        "ask_configuration other_region": 40 + LENGTH_PREFIX_BYTES,
        "ask_configuration unknown": 50 + LENGTH_PREFIX_BYTES,
    }
    assert tally.counts["peer_messages_total", "work same_region"] == 2


def test_counters_match_the_bytes_carried_between_vms() -> None:
    platform = Platform(places=PLACES, names_hosts=True)
    platform.configure(1)
    platform.add_plain("plain-0")
    for name, hall in (("vm1", "a"), ("vm2", "b"), ("vm3", "c")):
        platform.add_vm(name, ["vm1:8002"], hall)
    platform.network.run(5.0)
    for name, vm in platform.vms.items():
        counted = sum(value for (kind, _), value in vm.tally.counts.items() if kind == "peer_bytes_total")
        carried = sum(
            size for (here, there), size in platform.network.carried.items() if here == name and there in platform.vms
        )
        assert counted == carried > 0

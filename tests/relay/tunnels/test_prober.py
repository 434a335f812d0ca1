"""When upstreams that are out of reach are probed."""

from __future__ import annotations

from beamhatch.observe.tally import Tally
from beamhatch.relay.model import Address
from beamhatch.relay.tunnels.monitor import ReachMonitor
from beamhatch.relay.tunnels.prober import CHECK_PROBES, PROBE_INTERVAL_S, LinkProber
from tests.support.network import Network, PausedClock
from tests.support.platform import MemoryJournal

ADDRESSES = [Address(f"up{number}", 80) for number in range(6)]


class Bench:
    """A prober whose probes succeed at the addresses that are in reach."""

    def __init__(self) -> None:
        self.network = Network()
        clock = PausedClock(self.network)
        self.reach = ReachMonitor(clock, MemoryJournal(clock), Tally())
        self.reach.count_listed = lambda: len(ADDRESSES)
        self.in_reach: set[Address] = set()
        self.probed: list[Address] = []
        self.prober = LinkProber(clock, self.reach, lambda: ADDRESSES, self.probe)
        self.reach.on_change = lambda change, _: self.prober.handle_change(change)

    def probe(self, address: Address) -> None:
        self.probed.append(address)
        if address in self.in_reach:
            self.reach.record_connected(address)
        else:
            self.reach.record_unreachable(address)

    def cut_off(self) -> None:
        for address in ADDRESSES:
            self.reach.record_unreachable(address)
            self.reach.record_unreachable(address)


def test_a_vm_that_is_cut_off_stops_probing_once_all_upstreams_have_failed() -> None:
    bench = Bench()
    bench.cut_off()
    bench.network.run(60 * PROBE_INTERVAL_S)
    assert 40 < len(bench.probed) < 80
    assert set(bench.probed) == set(ADDRESSES)


def test_all_upstreams_are_probed_soon_after_one_is_in_reach_again() -> None:
    bench = Bench()
    bench.cut_off()
    bench.network.run(2.0)
    bench.in_reach = set(ADDRESSES)
    bench.network.run(2 * PROBE_INTERVAL_S + 0.5)
    assert not bench.reach.describe()
    probes = len(bench.probed)
    bench.network.run(10.0)
    assert len(bench.probed) == probes


def test_other_upstreams_are_probed_at_once_where_links_are_suspected() -> None:
    bench = Bench()
    bench.in_reach = set(ADDRESSES[3:])
    for address in ADDRESSES[:3]:
        bench.reach.record_unreachable(address)
    assert len(bench.probed) == CHECK_PROBES
    assert set(bench.probed) <= set(ADDRESSES[3:])
    assert not bench.reach.reachability.is_out_of_reach(ADDRESSES[3])


def test_an_upstream_that_stays_away_alone_is_probed_alone() -> None:
    bench = Bench()
    bench.in_reach = set(ADDRESSES[1:])
    bench.reach.record_unreachable(ADDRESSES[0])
    bench.reach.record_unreachable(ADDRESSES[0])
    bench.network.run(10.0)
    assert set(bench.probed) == {ADDRESSES[0]}
    assert len(bench.probed) < 30

"""Count what the VMs of a fleet tell each other, by kind and distance, and how long news take to the last VM.

``python -m benchmarks.peer_bytes --vms 74 --halls 6 --regions 3`` plays a fleet of relays, stand-ins and callers on a
paused network, and prints one JSON object: bytes a second between VMs by kind of message and distance, bytes between
callers, VMs and upstreams by distance, and the seconds until the last VM knows what was written.
"""

from __future__ import annotations

import argparse
import json
import random
from collections import Counter
from typing import TYPE_CHECKING, Any

from tests.support.network import DELAY
from tests.support.platform import PLAIN, ROUTES, Platform, make_request, make_route, make_workspace

from beamhatch.relay.topology import Distance, RegionName, Topology

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.daemon import Daemon

REGION_DELAY = 0.012
"""Seconds of a message between regions."""

SETTLE = 16.0
"""Seconds from the start of the VMs to the traffic."""

STREAM_RATE = 23.0
"""Streams a second that all callers ask for."""

PLAIN_RATE = 40.0
"""Other requests a second."""

KEYS = 16
"""Workspaces, each with one key; the first ones ask the most."""

QUOTA = 2.2
"""A workspace's quota as a multiple of what it asks in the mean: usual work is at 0.45 of it."""

PLAIN_UPSTREAMS = 8
"""Upstreams of the plain service: one leaves with each round of news."""

STREAM_TOKENS = 5_010
PLAIN_TOKENS = 200

NEWS_STEP = 0.001
"""Seconds between two looks whether the last VM knows."""

NEWS_LIMIT = 10.0
"""Seconds after which news are given up."""

DEAD_WATCHERS = 4
"""VMs that watch the store and are cut off silently just before news."""


class Site:
    """A fleet with callers."""

    def __init__(self, vms: int, halls: int, regions: int, seed: int) -> None:
        self._random = random.Random(seed)
        self.halls = [f"hall-{number}" for number in range(halls)]
        region_of = {hall: RegionName(f"region-{number * regions // halls}") for number, hall in enumerate(self.halls)}
        self.platform = Platform(places=Topology(region_of), names_hosts=True)
        self.network = self.platform.network
        self.network.find_delay = self._find_delay
        self._hall_of: dict[str, str] = {}
        self._asked = 0
        self._weights = [1 / (1 + number) for number in range(KEYS)]
        self.platform.configure(1, None, self._make_workspaces())
        for number in range(30):
            self._place(f"engine-{number}", number)
            self.platform.add_engine(f"engine-{number}", "prefill" if number % 3 == 0 else "decode")
        for number in range(PLAIN_UPSTREAMS):
            self._place(f"plain-{number}", number)
            self.platform.add_plain(f"plain-{number}")
        seeds = [f"vm{number}:8002" for number in range(3)]
        for number in range(vms):
            name = f"vm{number}"
            self._hall_of[name] = self.halls[number % halls]
            self.platform.add_vm(name, seeds, self._hall_of[name])

    @property
    def vms(self) -> list[Daemon]:
        """Return the VMs."""
        return list(self.platform.vms.values())

    def _place(self, upstream: str, number: int) -> None:
        hall = self.halls[number % len(self.halls)]
        self.platform.halls[upstream] = hall
        self._hall_of[f"host-{upstream}"] = hall

    def _make_workspaces(self) -> list[dict[str, object]]:
        units = STREAM_RATE * STREAM_TOKENS + PLAIN_RATE * PLAIN_TOKENS
        total = sum(self._weights)
        rates = [QUOTA * units * weight / total for weight in self._weights]
        return [
            make_workspace(f"desk-{number}", f"key-{number:032}", rate=rate, burst=rate)
            for number, rate in enumerate(rates)
        ]

    def find_distance(self, here: str, there: str) -> Distance:
        """Return how far two hosts are from each other; those that are in no hall are near all."""
        halls = self._hall_of.get(here), self._hall_of.get(there)
        if None in halls:
            return Distance.SAME_HALL
        return self.platform.places.get_distance(halls[0] or "", halls[1] or "")

    def _find_delay(self, here: str, there: str) -> float:
        return REGION_DELAY if self.find_distance(here, there) is Distance.OTHER_REGION else DELAY

    def run(self, seconds: float, hot: float = 1.0) -> None:
        """Let callers ask for some seconds.

        :param hot: times its usual that the largest workspace asks
        """
        end = self.network.rightNow + seconds
        step = 0.02
        while self.network.rightNow < end:
            for path, rate in (("/stream/x", STREAM_RATE), ("/safe/x", PLAIN_RATE)):
                extra = self._weights[0] / sum(self._weights) * (hot - 1)
                owed = rate * step * (1 + extra)
                while self._random.random() < owed:
                    owed -= 1
                    self._ask(path, hot)
            self.network.run(step)

    def _ask(self, path: str, hot: float) -> None:
        self._asked += 1
        weights = [self._weights[0] * hot, *self._weights[1:]]
        key = self._random.choices(range(KEYS), weights)[0]
        headers = {"Authorization": f"Bearer key-{key:032}", "Token-Count": "5000,68"}
        vm = self._random.choice(list(self.platform.vms))
        caller = self.platform.connect(vm)
        caller.send(make_request(path, f"q{self._asked}", headers=headers))

    def count_peer_bytes(self) -> Counter[str]:
        """Return the bytes that VMs told each other so far, by kind and distance."""
        total: Counter[str] = Counter()
        for vm in self.vms:
            for (name, label), value in vm.tally.counts.items():
                if name == "peer_bytes_total":
                    total[label] += value
        return total

    def count_carried(self) -> Counter[str]:
        """Return all bytes on the network so far, by distance; those of callers and of the store count as near."""
        total: Counter[str] = Counter()
        for (here, there), value in self.network.carried.items():
            total[self.find_distance(here, there).name.lower()] += value
        return total

    def time_news(self, write: Callable[[], None], knows: Callable[[Daemon], bool]) -> float | None:
        """Return the seconds from the write until the last VM knows, None where one doesn't."""
        write()
        start = self.network.rightNow
        while not all(knows(vm) for vm in self.vms):
            if self.network.rightNow > start + NEWS_LIMIT:
                return None
            self.network.advance(NEWS_STEP)
        return round(self.network.rightNow - start, 3)

    def time_all_news(self, version: int) -> dict[str, float | None]:
        """Return the seconds until the last VM knows a configuration, an evacuation and that an upstream leaves."""
        store, platform = self.platform.store, self.platform
        new_routes = [*ROUTES, make_route(f"/new{version}/", "safe", PLAIN)]
        hall, leaving = self.halls[version % len(self.halls)], f"plain-{version + 1}"
        figures = {
            "configuration": self.time_news(
                lambda: platform.configure(version, new_routes, self._make_workspaces()),
                lambda vm: vm.core.version >= version,
            ),
            "evacuation": self.time_news(
                lambda: _ignore(store.put(f"op/evacuate/{hall}", {})),
                lambda vm: vm.core.eligibility.evacuations.is_evacuated(hall),
            ),
            "leaving": self.time_news(
                lambda: platform.drain(leaving),
                lambda vm: all(one.id != leaving for one in vm.core.list_usable(PLAIN)),  # type: ignore[arg-type]
            ),
        }
        store.remove(f"op/evacuate/{hall}")
        self.network.run(1.0)
        return figures

    def kill_watchers(self, count: int) -> None:
        """Cut off some of those that watch the store; nobody is told."""
        watching = [
            name for name, vm in self.platform.vms.items() if vm._gossip is not None and vm._gossip.should_watch_store()
        ]
        for name in watching[:count]:
            self.network.cut(name)
            del self.platform.vms[name]


def _ignore(_: object) -> None:
    pass


def _find_rates(before: Counter[str], after: Counter[str], seconds: float) -> dict[str, int]:
    return {label: round((value - before[label]) / seconds) for label, value in sorted(after.items())}


def measure(vms: int, halls: int, regions: int, seconds: float, seed: int) -> dict[str, Any]:
    """Play one fleet, and return its figures."""
    site = Site(vms, halls, regions, seed)
    site.network.run(SETTLE)
    figures: dict[str, Any] = {"vms": vms, "halls": halls, "regions": regions, "seed": seed, "seconds": seconds}
    figures["start_bytes"] = dict(sorted(site.count_peer_bytes().items()))
    for phase, hot in (("usual", 1.0), ("hot", 4.0)):
        peers, carried = site.count_peer_bytes(), site.count_carried()
        site.run(seconds, hot)
        rates = _find_rates(peers, site.count_peer_bytes(), seconds)
        figures[phase] = {
            "peers_per_s": rates,
            "peers_across_per_s": sum(rate for label, rate in rates.items() if not label.endswith("same_hall")),
            "all_per_s": _find_rates(carried, site.count_carried(), seconds),
        }
    site.network.run(12.0)
    before = site.count_peer_bytes()
    figures["news"] = [site.time_all_news(version) for version in (2, 3, 4)]
    news_bytes = site.count_peer_bytes() - before
    figures["news_bytes_across"] = sum(value for label, value in news_bytes.items() if not label.endswith("same_hall"))
    site.kill_watchers(DEAD_WATCHERS)
    figures["news_watchers_dead"] = site.time_all_news(5)
    return figures


def main() -> None:
    """Play the fleet that the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, default=30)
    parser.add_argument("--halls", type=int, default=3)
    parser.add_argument("--regions", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    random.seed(options.seed)
    print(json.dumps(measure(options.vms, options.halls, options.regions, options.seconds, options.seed), indent=1))


if __name__ == "__main__":
    main()

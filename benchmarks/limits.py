"""Count how well a fleet keeps the limit that an upstream names, and what it takes.

``python -m benchmarks.limits --vms 74`` draws fleets without a network, in which all VMs keep one account together,
each has an equal part, or two by hashing have half each. Then it plays relays and stand-ins on a paused network, has
one VM hear of a limit, and callers ask all of them. One JSON object is printed.
"""

from __future__ import annotations

import argparse
import json
import random
import time
from bisect import bisect_left
from enum import Enum

from tests.support.limit_fleet import WINDOW_S, LimitFleet

from beamhatch.relay.model import Incarnation, UpstreamId
from benchmarks.quarantine import count_bytes, make_fleet

RATES = (0.2, 2.6, 20.0)
"""Limits in requests a second."""

SEEDS = (1, 2, 3)
SETTLE = 2.0
TIME = 20.0
"""Seconds behind these in which a drawn fleet is looked at."""

NEWS = 0.08
"""Seconds that what one VM tells takes to another one at the most."""

DEMAND_A_VM = 3.0
LEAST_DEMAND = 30.0
"""Requests a second that callers would have the upstream get: so many of each VM, and so many at the least."""

STEP = 0.005
PLAYED_RATE = 2.6
PLAYED_TIME = 12.0


class Way(Enum):
    """How a limit is divided."""

    SHARED = "one account together"
    EQUAL = "an equal part each"
    FEW = "two by hashing, half each"


def draw(way: Way, vms: int, rate: float, *, one_hall: bool) -> dict[str, float]:
    """Return the most of any window, and the share of the limit that is used, over some draws."""
    busiest, used = 0, []
    demand = LEAST_DEMAND if one_hall else max(LEAST_DEMAND, DEMAND_A_VM * vms)
    for seed in SEEDS:
        fleet = LimitFleet(vms, rate, seed=seed, max_delay=NEWS, shared=way is Way.SHARED)
        if way is Way.FEW:
            chosen = fleet.random.sample(fleet.vms, min(2, vms))
            for vm in fleet.vms:
                vm.known_vms, vm.reachable_share = len(chosen), float(vm in chosen)
        asked = fleet.vms[: max(1, vms // 6)] if one_hall else None
        fleet.run(SETTLE, demand, asked)
        since = fleet.now
        fleet.run(TIME, demand, asked)
        busiest = max(busiest, fleet.count_busiest_window(since))
        used.append(fleet.compute_rate(since) / rate)
    return {"busiest": busiest, "limit": round(rate * WINDOW_S, 1), "used": round(sum(used) / len(used), 2)}


def play(vms: int, halls: int) -> dict[str, object]:
    """Have one VM hear of a limit, have callers ask all VMs, and have the limit change."""
    random.seed(vms)
    platform = make_fleet(vms, halls)
    life = Incarnation(UpstreamId("decode-0"), platform.upstreams["decode-0"].born)
    known = [vm.core.announcements.limits for vm in platform.vms.values()]

    def tell(rate: float) -> float:
        now = platform.clock.now()
        known[vms // 2].apply_response(life, rate, now, now)
        platform.network.run_until(lambda: all(one.get_rate(life) == rate for one in known), 20.0)
        return round(platform.clock.now() - now, 3)

    first = tell(PLAYED_RATE)
    platform.network.run(SETTLE)
    before = count_bytes(platform, "limits")
    sent: list[float] = []
    for _ in range(round(PLAYED_TIME / STEP)):
        platform.network.run(STEP)
        now = platform.clock.now()
        for _ in range(round(random.random() + max(LEAST_DEMAND, DEMAND_A_VM * vms) * STEP - 0.5)):
            one = random.choice(known)
            if one.may_send(life, now):
                one.record_request(life, now)
                sent.append(now)
    told = [after - start for after, start in zip(count_bytes(platform, "limits"), before, strict=True)]
    return {
        "seconds_to_last_vm": first,
        "seconds_to_last_vm_changed": tell(1.0),
        "busiest": max(bisect_left(sent, at + WINDOW_S) - index for index, at in enumerate(sent)),
        "used": round(len(sent) / PLAYED_TIME / PLAYED_RATE, 2),
        "bytes_a_second_and_vm": round(sum(told) / len(told) / PLAYED_TIME),
        "bytes_a_second_at_the_busiest": round(max(told) / PLAYED_TIME),
    }


def main() -> None:
    """Draw and play one size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, default=74)
    parser.add_argument("--halls", type=int, default=6)
    chosen = parser.parse_args()
    begun = time.monotonic()
    drawn = {
        f"{way.value}, {rate} a second, callers {'in one hall' if one_hall else 'everywhere'}": draw(
            way, chosen.vms, rate, one_hall=one_hall
        )
        for way in Way
        for rate in RATES
        for one_hall in (False, True)
    }
    found = {"vms": chosen.vms, "drawn": drawn, "played": play(chosen.vms, chosen.halls)}
    print(json.dumps({**found, "seconds_played_in": round(time.monotonic() - begun)}, indent=1))


if __name__ == "__main__":
    main()

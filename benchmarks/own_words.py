"""Count what it takes a fleet to heed what upstreams say in their answers.

``python -m benchmarks.own_words --vms 74`` plays relays and stand-ins on a paused network whose store is silent, and
has one VM hear that an engine leaves. Then it draws what reaches an upstream that asks for rest, where a rest is known
to the VM that was asked and where it is told to all. One JSON object is printed.
"""

from __future__ import annotations

import argparse
import json
import random
import time

from beamhatch.platform.standin.store import StoreFault
from beamhatch.relay.choosing.rests import Backoffs
from beamhatch.relay.model import Incarnation, UpstreamId
from benchmarks.quarantine import count_bytes, make_fleet

REST = 3.0
"""Seconds that the resting upstream asks for."""

OUTAGE = 9.0
"""Seconds for which it turns all requests away."""

RATE = 3.0
"""Requests a second that each VM would send it: 30 a second, as at the size to design for, over ten upstreams."""

ROUND_TRIP = 0.002
"""Seconds until a VM has the answer."""


def play_departure(vms: int, halls: int) -> dict[str, object]:
    """Have one VM hear that an engine leaves, and wait until all know."""
    platform = make_fleet(vms, halls)
    platform.store.fault = StoreFault.UNRESPONSIVE
    platform.network.run(1.0)
    life = Incarnation(UpstreamId("decode-0"), platform.upstreams["decode-0"].born)
    daemons = list(platform.vms.values())
    hearer = daemons[len(daemons) // 2].core.announcements
    heard_at = platform.clock.now()
    hearer.apply_departure(life, "its answer")
    hearer.on_departure()
    platform.network.run_until(lambda: all(vm.core.listing.departures.has(life) for vm in daemons), 20.0)
    knows_at = platform.clock.now()
    platform.network.run(2.0)
    sent = count_bytes(platform, "departures")
    return {
        "seconds_to_last_vm": round(knows_at - heard_at, 2),
        "bytes_a_vm": round(sum(sent) / len(sent)),
        "bytes_at_the_busiest": max(sent),
    }


def draw_rests(vms: int, *, told: bool, seed: int) -> int:
    """Return how many requests reach an upstream while it turns all away.

    :param told: whether a rest that one VM is asked for holds for all
    """
    random.seed(seed)
    life = Incarnation(UpstreamId("u"), 1)
    known = [Backoffs()] * vms if told else [Backoffs() for _ in range(vms)]
    arrivals = 0
    news: list[tuple[float, Backoffs]] = []
    now = 0.0
    while now < OUTAGE:
        now += random.expovariate(RATE * vms)
        while news and news[0][0] <= now:
            asked_at, rests = news.pop(0)
            rests.record(life, REST, asked_at)
        rests = random.choice(known)
        if rests.may_send_to_incarnation(life, now):
            rests.begin_request(life, now)
            arrivals += 1
            news.append((now + ROUND_TRIP, rests))
    return arrivals


def main() -> None:
    """Play one size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, default=74)
    parser.add_argument("--halls", type=int, default=6)
    chosen = parser.parse_args()
    begun = time.monotonic()
    alone = [draw_rests(chosen.vms, told=False, seed=seed) for seed in range(20)]
    told = [draw_rests(chosen.vms, told=True, seed=seed) for seed in range(20)]
    found = {
        "vms": chosen.vms,
        **play_departure(chosen.vms, chosen.halls),
        "arrivals_in_rests_alone": sum(alone) / len(alone),
        "arrivals_in_rests_told": sum(told) / len(told),
        "arrivals_unread": round(OUTAGE * RATE * chosen.vms),
    }
    print(json.dumps({**found, "seconds_played_in": round(time.monotonic() - begun)}))


if __name__ == "__main__":
    main()

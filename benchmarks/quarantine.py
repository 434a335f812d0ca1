"""Count what it takes a fleet to keep away requests that crash engines: seconds to the last VM, and bytes.

With ``--parts``, prompts have that many shared parts, and requests that differ otherwise share the part that crashes
engines; without, one request is sent again.

``python -m benchmarks.quarantine --vms 74`` plays relays, stand-ins and callers on a paused network. Each engine that
ends has streams of as many VMs as there are, up to 64, as at the size to design for. One JSON object is printed.
"""

from __future__ import annotations

import argparse
import json
import time

from tests.support.platform import Platform

from beamhatch.relay.topology import RegionName, Topology

TARGET = "/resumable/x"
PART = "dead"
SHARED_PARTS = 30
"""Number of parts that prompts are made of."""
STREAMS = 64
ENDS = 3
REGION_DELAY = 0.012
"""Seconds of a message between regions."""


def make_fleet(vms: int, halls: int) -> Platform:
    """Return a fleet that knows itself."""
    regions = {f"hall-{number}": RegionName(f"region-{number * 3 // halls}") for number in range(halls)}
    platform = Platform(places=Topology(regions), names_hosts=True)
    hall_of = {f"vm{number}": f"hall-{number % halls}" for number in range(vms)}
    region_of = {name: regions[hall] for name, hall in hall_of.items()}

    def find_delay(here: str, there: str) -> float:
        far = here in region_of and there in region_of and region_of[here] != region_of[there]
        return REGION_DELAY if far else 0.001

    platform.network.find_delay = find_delay
    platform.configure(1)
    platform.add_engine("prefill-0", "prefill", hall="hall-0")
    for number in range(ENDS + 1):
        platform.halls[f"decode-{number}"] = f"hall-{number % halls}"
        platform.add_engine(f"decode-{number}", "decode", kv_tokens=10**9)
    for name, hall in hall_of.items():
        platform.add_vm(name, ["vm0:8002", "vm1:8002"], hall)
    platform.network.run(16.0)
    return platform


def count_bytes(platform: Platform, matter: str) -> list[int]:
    """Return the bytes that each VM has sent to others on a matter, as the kind of its messages names it."""
    counts = [vm.tally.counts for vm in platform.vms.values()]
    return [
        sum(of for (name, kind), of in one.items() if name == "peer_bytes_total" and matter in kind) for one in counts
    ]


def make_prompt(request: str, parts: int, number: int, *, deadly: bool) -> dict[str, str]:
    """Return the headers of a prompt with some of the parts that many requests share.

    :param parts: number of shared parts; 0 for the default of stand-in callers
    """
    if not parts:
        return {}
    shared = [f"{(number * 7 + one * 13) % SHARED_PARTS:04x}" for one in range(parts)]
    if deadly:
        shared[-1] = PART
    return {"Prompt-Prefix": ",".join([*(f"{one}:5" for one in shared), f"{request}:10"])}


def play(vms: int, halls: int, parts: int) -> dict[str, object]:
    """Crash three engines with full streams, and wait until all VMs keep the requests away."""
    platform = make_fleet(vms, halls)
    names = list(platform.vms)
    if parts:
        platform.ledger.crash_inducing_parts[PART] = None
    else:
        platform.ledger.crash_inducing.add(TARGET)
    for one, vm in enumerate(names):  # each VM has used the shared parts
        warm = f"warm-{one}"
        terms = {"Token-Count": "50,50", **make_prompt(warm, parts, one, deadly=False)}
        platform.call(f"/resumable/{warm}", warm, vm=vm, headers=terms)
    platform.network.run(4.0)
    number = 0
    while len(platform.ledger.crashes) < ENDS:
        number += 1
        for stream in range(STREAMS):
            name = f"own-{number}-{stream}"
            vm = names[stream * 7 % len(names)]
            platform.call(
                f"/resumable/{name}",
                name,
                vm=vm,
                headers={
                    "Token-Count": "50,400",
                    **make_prompt(name, parts, stream, deadly=False),
                },
            )
        platform.network.run(1.5)
        vm = names[number * 31 % len(names)]
        again = f"again-{number}"
        target = f"{TARGET}{number}" if parts else TARGET
        terms = {"Token-Count": "50,40", **make_prompt(again, parts, number, deadly=True)}
        platform.call(target, again, vm=vm, headers=terms)
        platform.network.run(1.0)
    third = sorted(crash.at for crash in platform.ledger.crashes)[ENDS - 1]
    platform.network.run_until(
        lambda: all(vm.core.quarantine.count(vm.clock.now()) for vm in platform.vms.values()), 20.0
    )
    sent = count_bytes(platform, "quarantine")
    runs = [sum(len(end.run_durations) for end in vm.core.quarantine.crashes) for vm in platform.vms.values()]
    return {
        "vms": vms,
        "ends": len(platform.ledger.crashes),
        "seconds_to_last_vm": round(platform.clock.now() - third, 2),
        "runs_known": [min(runs), max(runs)],
        "bytes_an_end_and_vm": round(sum(sent) / len(sent) / ENDS),
        "bytes_an_end_at_the_busiest": round(max(sent) / ENDS),
    }


def main() -> None:
    """Play one size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, default=74)
    parser.add_argument("--halls", type=int, default=6)
    parser.add_argument("--parts", type=int, default=0)
    chosen = parser.parse_args()
    begun = time.monotonic()
    found = play(chosen.vms, chosen.halls, chosen.parts)
    print(json.dumps({"parts": chosen.parts, **found, "seconds_played_in": round(time.monotonic() - begun)}))


if __name__ == "__main__":
    main()

"""Run the same seeded requests through each routing variant, and print one JSON object a line.

``python -m benchmarks.decisions --json`` runs the whole grid. Goodput is the rate of requests that met both latency
targets, as a share of the capacity. The seeds under ``--held-out`` were not used while tuning.
"""

from __future__ import annotations

import argparse
import json
import random
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

from beamhatch.decide.call import Priority
from beamhatch.decide.ledger import UpstreamConfig
from beamhatch.ids import HallName, UpstreamName
from benchmarks.fakes import _VMS, Asked, Events, FakeEngine, FakeVm, World, describe, kill, vms_of

SECONDS = 40.0
WARM_UP = 5.0
DRAIN = 30.0
SEEDS = (11, 12)
HELD_OUT = (901, 902)
LOADS = (0.5, 0.8, 1.0, 1.2, 1.5)
FLEETS = (1, 3, 8)
VARIANTS = ("naive", "two_choices", "reserve_start", "reserve_end", "predicted", "clairvoyant")
FAULTS = ("calm", "decode_death", "stalled_transfer", "callers_leaving", "lag_2s", "cache_gaps", "cut_hall")
PACE_TARGET = 0.076


@dataclass(frozen=True)
class Deployment:
    """One users' deployment."""

    name: str
    halls: tuple[str, ...]
    one_way: float
    prefills: int
    decodes: int
    prompt: tuple[int, int]
    output: tuple[int, int]
    target: float
    prefill_rate: float
    link_rate: float
    places: int
    """Requests that fit a decode engine's memory."""
    shared: float
    """Share of prompts that begin like an earlier one."""
    pace: float = 0.02

    @property
    def tokens(self) -> float:
        """Return the mean KV tokens of a request, by its caller's limit."""
        return sum(self.prompt) / 2 + sum(self.output)

    @property
    def memory(self) -> int:
        """Return the KV tokens that fit a decode engine."""
        return round(self.places * self.tokens)

    @property
    def capacity(self) -> float:
        """Return the requests a second that the slower stage can take."""
        lasts = sum(self.output) / 2 * self.pace + sum(self.prompt) / 2 / self.link_rate
        prefills = self.prefills * self.prefill_rate / (sum(self.prompt) / 2)
        return min(self.decodes * self.places / lasts, prefills)


DEPLOYMENTS = (
    Deployment(
        "tan-seng-hock", ("kl-a", "pj-b", "cj-c"), 0.0015, 2, 3, (200, 1400), (40, 200), 0.32, 20_000, 100_000, 24, 0.2
    ),
    Deployment("calorbomba", ("a", "b", "c"), 0.0005, 4, 5, (2000, 12_000), (40, 120), 1.0, 30_000, 200_000, 8, 0.5),
)


def draw_load(deployment: Deployment, load: float, seed: int, leaving: bool) -> list[Asked]:
    """Draw the requests of a run."""
    rng = random.Random(f"{deployment.name}/{load}/{seed}")
    asked: list[Asked] = []
    at = 0.0
    while at < SECONDS:
        at += rng.expovariate(deployment.capacity * load)
        prompt = rng.randint(*deployment.prompt)
        output = rng.randint(*deployment.output)
        limit = deployment.output[1] if rng.random() < 0.5 else min(deployment.output[1], output * 2)
        family = rng.randrange(12) if rng.random() < deployment.shared else 1000 + len(asked)
        blocks = tuple(hash((family, index)) for index in range(prompt // 2 // 64))
        priority = rng.choices(list(Priority), (2, 6, 2))[0]
        leaves = rng.uniform(0.05, 2.0) if leaving and rng.random() < 0.1 else None
        asked.append(Asked(len(asked), at, prompt, limit, output, deployment.target, priority, blocks, leaves))
    return asked


def make_engines(deployment: Deployment) -> dict[UpstreamName, FakeEngine]:
    """Return the engines, spread over the halls."""
    engines: dict[UpstreamName, FakeEngine] = {}
    for role, count in (("prefill", deployment.prefills), ("decode", deployment.decodes)):
        for number in range(count):
            name = UpstreamName(f"{role}-{number}")
            hall = HallName(deployment.halls[number % len(deployment.halls)])
            memory = deployment.memory if role == "decode" else 10**9
            facts = UpstreamConfig(name, "", hall, role, {}, memory, deployment.prefill_rate, deployment.link_rate)
            engines[name] = FakeEngine(facts, deployment.pace)
    return engines


def run(deployment: Deployment, variant: str, load: float, vms: int, fault: str, seed: int) -> dict[str, Any]:
    """Run one variant on one load, and return what is printed."""
    events = Events()
    world = World(events, make_engines(deployment), random.Random(seed), lag=2.0 if fault == "lag_2s" else 0.1)
    world.stall_share = 0.05 if fault == "stalled_transfer" else 0.0
    world.gap_share = 0.3 if fault == "cache_gaps" else 0.0
    algorithm = "predicted" if variant == "clairvoyant" else variant
    for number in range(vms):
        hall = deployment.halls[number % len(deployment.halls)]
        vms_of(world).append(FakeVm(world, hall, algorithm, variant == "clairvoyant", deployment.one_way))
    for asked in draw_load(deployment, load, seed, fault == "callers_leaving"):
        events.at(asked.at, vms_of(world)[asked.number % vms].submit, asked)
    if fault == "decode_death":
        events.at(SECONDS / 3, kill, world, UpstreamName("decode-0"))
    if fault == "cut_hall":
        events.at(SECONDS / 3, setattr, world, "cut_hall", deployment.halls[0])
        events.at(2 * SECONDS / 3, setattr, world, "cut_hall", None)
    events.run(SECONDS + DRAIN)
    del _VMS[id(world)]
    return measure(world, deployment, variant, load, vms, fault)


def measure(world: World, deployment: Deployment, variant: str, load: float, vms: int, fault: str) -> dict[str, Any]:
    """Return the figures of a finished run."""
    counted = [result for result in world.results if WARM_UP <= result.asked.at <= SECONDS]
    good = [
        result
        for result in counted
        if describe(result.outcome) == "answered"
        and result.first_token is not None
        and result.first_token <= deployment.target
        and deployment.pace <= PACE_TARGET
    ]
    words = [describe(result.outcome) for result in counted]
    firsts = sorted(result.first_token for result in counted if result.first_token is not None)
    return {
        "deployment": deployment.name,
        "variant": variant,
        "load": load,
        "vms": vms,
        "fault": fault,
        "goodput": round(len(good) / (SECONDS - WARM_UP) / deployment.capacity, 4),
        "wasted_prefill": round(world.wasted / max(1, world.prefilled), 4),
        "first_token_p95": round(firsts[int(len(firsts) * 0.95)], 4) if firsts else None,
        "pace_p95": deployment.pace,
        "late": sum(1 for word in words if word == "answered") - len(good),
        "lost": words.count("lost"),
        "doubled": sum(1 for result in counted if result.answers > 1),
        "not_run": words.count("not_run"),
        "failed": words.count("failed") + words.count("unknown"),
    }


def list_runs(seeds: tuple[int, ...], quick: bool) -> list[tuple[Any, ...]]:
    """Return the grid: all loads and fleets in calm, and each fault at 1.0 with three VMs."""
    runs: list[tuple[Any, ...]] = []
    for deployment in DEPLOYMENTS:
        for seed in seeds:
            for variant in VARIANTS:
                for load in (1.0, 1.5) if quick else LOADS:
                    for vms in (3,) if quick else FLEETS:
                        runs.append((deployment, variant, load, vms, "calm", seed))
                runs += [(deployment, variant, 1.0, 3, fault, seed) for fault in (() if quick else FAULTS[1:])]
    return runs


def merge(lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the means over the seeds; counts are summed."""
    groups: dict[tuple[Any, ...], list[dict[str, Any]]] = {}
    for line in lines:
        groups.setdefault(tuple(line[name] for name in ("deployment", "variant", "load", "vms", "fault")), []).append(
            line
        )
    merged = []
    for group in groups.values():
        first = dict(group[0])
        for name in ("goodput", "wasted_prefill", "first_token_p95"):
            first[name] = round(sum(line[name] or 0 for line in group) / len(group), 4)
        for name in ("late", "lost", "doubled", "not_run", "failed"):
            first[name] = sum(line[name] for line in group)
        merged.append(first)
    return merged


def main() -> None:
    """Run the grid."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="one JSON object a line; otherwise a table")
    parser.add_argument("--held-out", action="store_true", help="use the seeds that were not tuned with")
    parser.add_argument("--quick", action="store_true", help="loads 1.0 and 1.5 with three VMs only")
    options = parser.parse_args()
    runs = list_runs(HELD_OUT if options.held_out else SEEDS, options.quick)
    with ProcessPoolExecutor(4) as pool:
        lines = merge(list(pool.map(run_one, runs, chunksize=1)))
    for line in lines:
        if options.json:
            print(json.dumps(line))
        else:
            print("  ".join(str(line[name]).ljust(10) for name in line))


def run_one(arguments: tuple[Any, ...]) -> dict[str, Any]:
    """Run one cell of the grid, in a process of its own."""
    return run(*arguments)


if __name__ == "__main__":
    main()

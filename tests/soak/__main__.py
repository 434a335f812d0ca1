"""Run the soak: ``python -m tests.soak --seed N --seconds S --vms V``.

The exit code is 1 where a promise was seen broken; the lines of all relays stay in the folder that is named then.
"""

from __future__ import annotations

import argparse
import resource
import sys
import tempfile
from collections import Counter
from pathlib import Path

from tests.soak.mutants import MUTANTS
from tests.soak.run import Report, run_soak
from tests.soak.schedule import FaultKind, draw_steps
from tests.soak.world import DeskWorld, World

MOST_SHOWN = 20
"""Breaches that are printed one by one."""

MOST_FILES = 4096
"""Descriptors that a run may open: callers, links and stand-ins share one process."""


def main() -> int:
    """Run as a program."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="of the faults and of the callers")
    parser.add_argument("--seconds", type=float, default=20.0, help="for which faults strike")
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--desk", action="store_true", help="have few engines, and callers at an order desk's rates")
    parser.add_argument("--mutant", default="", choices=["", *MUTANTS], help="break a mechanism of the relays")
    parser.add_argument(
        "--fault",
        action="append",
        type=FaultKind,
        help="strike by this kind alone; may be given several times; a mutant's own kinds if left out",
    )
    parser.add_argument("--logs", type=Path, help="where the relays' lines go; a temporary folder if left out")
    asked = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(MOST_FILES, hard), hard))
    folder = asked.logs or Path(tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    mutant = MUTANTS.get(asked.mutant)
    kinds = asked.fault or ([] if mutant is None else mutant.faults)
    steps = draw_steps(asked.seed, asked.seconds, kinds)
    world_type = DeskWorld if asked.desk else World
    report = run_soak(folder, asked.seed, asked.vms, asked.seconds, steps, asked.mutant, world_type)
    _show(report, asked.seed, folder)
    return 1 if report.breaches else 0


def _show(report: Report, seed: int, folder: Path) -> None:
    for breach in report.breaches[:MOST_SHOWN]:
        print(breach)
    by_promise = Counter(breach.promise.name for breach in report.breaches)
    if by_promise:
        print(", ".join(f"{name} {count}" for name, count in by_promise.items()))
    verdict = f"broken, lines in {folder}" if report.breaches else "kept"
    share = report.served / max(1, report.outcomes - report.deadly)
    counts = (
        f"{report.faults} faults, {report.outcomes} requests ({report.deadly} deadly), {share:.3f} of the rest served, "
        f"{report.resumed} streams resumed, {report.rejected} rejections, {report.copies} repeated"
    )
    print(f"seed {seed}: {counts}, promises {verdict}")


if __name__ == "__main__":
    sys.exit(main())

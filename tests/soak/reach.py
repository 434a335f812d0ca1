"""Play spells in which VMs lose their links to upstreams: ``python -m tests.soak.reach``."""

from __future__ import annotations

import argparse
import sys

from tests.support.reach_spell import ReachSpell


def main() -> int:
    """Play spells, print those that broke a promise, and return how many did, 100 at most."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak.reach", description=__doc__)
    parser.add_argument("--seed", type=int, default=0, help="seed of the first spell")
    parser.add_argument("--count", type=int, default=10)
    parser.add_argument("--vms", type=int, default=6)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.count):
        spell = ReachSpell(seed, arguments.vms)
        broken = spell.play()
        if broken:
            failed += 1
            sys.stdout.write("\n".join([f"seed {seed}:", *broken[:8], *spell.lines, ""]))
            sys.stdout.flush()
    sys.stdout.write(f"{arguments.count} spells, {failed} broken\n")
    return min(100, failed)


if __name__ == "__main__":
    sys.exit(main())

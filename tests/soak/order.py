"""Play spells in which streams break while several software versions serve: ``python -m tests.soak.order``."""

from __future__ import annotations

import argparse
import sys

from tests.support.version_spell import VersionSpell


def main() -> int:
    """Play spells, print those that broke a promise, and return how many did, 100 at most."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak.order", description=__doc__)
    parser.add_argument("--seed", type=int, default=0, help="seed of the first spell")
    parser.add_argument("--count", type=int, default=10)
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--kills-all", action="store_true", help="also kill all VMs at once")
    arguments = parser.parse_args()
    failed = mixed = resumed = went_on = 0
    for seed in range(arguments.seed, arguments.seed + arguments.count):
        spell = VersionSpell(seed, arguments.vms, kills_all=arguments.kills_all)
        broken = spell.play()
        found = spell.fleet.list_mixed()
        mixed += len(found)
        went_on += spell.fleet.count_resumed()[0]
        resumed += spell.fleet.count_resumed()[1]
        failed += bool(broken)
        if found:
            sys.stdout.write("\n".join([f"seed {seed}: {len(found)} streams", *found[:8], *spell.lines, ""]))
            sys.stdout.flush()
    sys.stdout.write(f"{arguments.count} spells, {failed} broken, {mixed} streams of two versions, ")
    sys.stdout.write(f"{went_on} of {resumed} went on while two engines of their version served\n")
    return min(100, failed)


if __name__ == "__main__":
    sys.exit(main())

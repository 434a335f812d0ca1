"""Play spells in which sound upstreams fall silent: ``python -m tests.soak.silence --seeds 0 100``."""

from __future__ import annotations

import argparse
import sys
from collections import Counter

from tests.support.silence_spell import SilenceSpell

MOST_SHOWN = 8
"""Breaches of a spell that are printed one by one."""


def main() -> int:
    """Play spells, print those that failed a check, and return how many did, 100 at most."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak.silence", description=__doc__)
    parser.add_argument("--seeds", type=int, nargs=2, default=(0, 10), help="first seed, and the one behind the last")
    parser.add_argument("--vms", type=int, help="drawn from 1 to 6 if left out")
    parser.add_argument("--only-silences", action="store_true", help="beside them draw nothing but configurations")
    parser.add_argument("--varied", action="store_true", help="with engines of different speeds")
    parser.add_argument("--traces", type=int, default=0, help="failed requests of a spell to print the lines of")
    arguments = parser.parse_args()
    failed = played = requests = 0
    by_check: Counter[str] = Counter()
    for seed in range(*arguments.seeds):
        spell = SilenceSpell(seed, arguments.vms, arguments.only_silences, arguments.varied)
        breaches = spell.play()
        played += 1
        requests += len(spell.fleet.calls)
        if breaches:
            failed += 1
            counts = Counter(one.check.name for one in breaches)
            by_check += counts
            shown = [f"seed {seed}, {len(spell.fleet.halls)} VMs, {len(spell.fleet.calls)} requests: {dict(counts)}"]
            shown += [str(one) for one in breaches[:MOST_SHOWN]]
            for one in breaches[: arguments.traces]:
                shown += [f"  {line}" for line in spell.witness.describe(one.request)]
            sys.stdout.write("\n".join([*shown, *spell.lines, ""]))
            sys.stdout.flush()
    sys.stdout.write(f"{played} spells, {failed} broken, {requests} requests, {dict(by_check)}\n")
    return min(100, failed)


if __name__ == "__main__":
    sys.exit(main())

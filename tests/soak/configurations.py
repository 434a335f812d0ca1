"""Play spells in which two disruptions meet while configurations come: ``python -m tests.soak.configurations``."""

from __future__ import annotations

import argparse
import time

from tests.support.configuration_spell import list_pair_cases, list_single_cases, play


def main() -> int:
    """Play the spells of a part of all pairs, and return 1 where any broke a bound."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--part", type=int, default=0, help="which of the parts to play, from 0")
    parser.add_argument("--parts", type=int, default=1)
    arguments = parser.parse_args()
    cases = [*list_single_cases(), *list_pair_cases(arguments.seed)][arguments.part :: arguments.parts]
    began = time.monotonic()
    broken = 0
    for case in cases:
        outcome = play(case)
        if outcome.breaches or outcome.unserved:
            broken += 1
            print(f"{case}: {len(outcome.breaches)} breaches, first {[*map(str, outcome.breaches[:2])]}", flush=True)
            if outcome.unserved:
                print(f"{case}: the added route is not served by {outcome.unserved}", flush=True)
    print(f"{len(cases)} spells, {broken} broken, {time.monotonic() - began:.0f} s")
    return int(broken > 0)


if __name__ == "__main__":
    raise SystemExit(main())

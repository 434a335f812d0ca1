"""Print what each mechanism of the decisions is worth, from the entries that the users' bench writes into ``journal/``.

``python -m benchmarks.ablate COMMIT`` reads the entries whose reason is ``ablation of COMMIT: all in, seed N`` or
``ablation of COMMIT: without MECHANISM, seed N`` and prints a table in Markdown: a row a mechanism, a column a
deployment. A cell has the mean worth without the mechanism and the difference to the same days and seeds with all of
them, its standard error, and the number of days. Without a commit it reads the entries that name none.
"""

from __future__ import annotations

import argparse
import json
import re
from collections import defaultdict
from dataclasses import dataclass
from statistics import fmean, stdev
from typing import TYPE_CHECKING, Any

from benchmarks.played import JOURNAL

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence
    from pathlib import Path

ALL_IN = "all in"
REASON = re.compile(r"ablation(?: of (?P<commit>\w+))?: (?:without )?(?P<left_out>[a-z -]+), seed (?P<seed>\w+)$")


@dataclass(frozen=True, slots=True)
class DayKey:
    """A day that can be compared with the same one of another run."""

    site: str
    day: str
    seed: str


@dataclass(frozen=True, slots=True)
class Effect:
    """What days were worth without a mechanism, beside the same days with it."""

    worth: float
    difference: float
    """Mean of the differences, day by day; below zero where the mechanism is worth something."""
    error: float
    """Standard error of that mean, 0 where there is one day only."""
    days: int

    def format(self) -> str:
        """Return the effect as a cell of the table."""
        return f"{self.worth:.3f} ({self.difference:+.3f} ± {self.error:.3f}, {self.days})"


Worths = dict[DayKey, float]


def read_worths(entries: Iterable[Mapping[str, Any]], commit: str | None = None) -> dict[str, Worths]:
    """Return the worth of each day, by what was left out; of a day that was played again, the last one.

    :param commit: the code that is to have been played; None for entries that do not name it
    """
    worths: defaultdict[str, Worths] = defaultdict(dict)
    for entry in sorted(entries, key=lambda one: str(one["at"][0])):
        found = REASON.match(entry.get("why") or "")
        if found is None or found["commit"] != commit:
            continue
        for day in entry.get("days") or []:
            key = DayKey(entry["site"], day["name"], found["seed"])
            worths[found["left_out"]][key] = day["G"]
    return dict(worths)


def compare(worths: Worths, whole: Worths, site: str) -> Effect | None:
    """Return what the days of a deployment were worth beside those with all mechanisms, None where there are none."""
    keys = [key for key in worths if key.site == site and key in whole]
    if not keys:
        return None
    differences = [worths[key] - whole[key] for key in keys]
    error = stdev(differences) / len(keys) ** 0.5 if len(keys) > 1 else 0.0
    return Effect(fmean(worths[key] for key in keys), fmean(differences), error, len(keys))


def format_table(worths: Mapping[str, Worths]) -> str:
    """Return the table."""
    whole = worths.get(ALL_IN, {})
    sites = sorted({key.site for key in whole})
    lines = [f"| left out | {' | '.join(sites)} |", f"| {' | '.join('---' for _ in ['', *sites])} |"]
    for left_out in [ALL_IN, *sorted(set(worths) - {ALL_IN})]:
        effects = [compare(worths.get(left_out, {}), whole, site) for site in sites]
        cells = ["not played" if effect is None else effect.format() for effect in effects]
        lines.append(f"| {left_out} | {' | '.join(cells)} |")
    return "\n".join(lines)


def main(arguments: Sequence[str] | None = None, journal: Path = JOURNAL) -> int:
    """Print the table; return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.ablate", description=__doc__)
    parser.add_argument("commit", nargs="?", help="the code that was played, as the entries name it")
    asked = parser.parse_args(arguments)
    entries = [json.loads(path.read_text()) for path in sorted(journal.glob("*.json"))]
    print(format_table(read_worths(entries, asked.commit)))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())

"""Print what played days were worth, from the entries that the users' bench writes into ``journal/``.

``python -m benchmarks.played ID...`` prints one row a day of each entry whose file name ends in the id.
"""

from __future__ import annotations

import argparse
import json
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

JOURNAL = Path(__file__).parent.parent / "journal"
KB_PER_MB = 1024
HEADS = ("site", "day", "entry", "score", "worth", "served", "worst windows", "wasted", "cpu", "MB", "calls")


@dataclass(frozen=True, slots=True)
class Price:
    """What a day used of one thing, and the share of what was owed that this cost."""

    amount: float
    share: float


@dataclass(frozen=True, slots=True)
class PlayedDay:
    """One day of an entry."""

    site: str
    name: str
    entry: str
    score: float | None
    worth: float
    served: float
    """Share of what was owed that was earned."""
    worst_windows: float
    prices: dict[str, Price]
    kb_an_instance: float

    def format_row(self) -> str:
        """Return the day as a row of a table.

        ``wasted`` are 1,000 prompt tokens read for nothing, ``cpu`` is the mean share of a core, ``calls`` those to the
        store.
        """
        wasted = self._find("1,000 tokens read for nothing", "1,000 tokens prefilled for nothing")
        busy = self._find("processor seconds").amount / max(1.0, self._find("machine-seconds").amount)
        cells = [
            self.site,
            self.name,
            self.entry,
            "-" if self.score is None else f"{self.score:.2f}",
            f"{self.worth:.3f}",
            f"{self.served:.3f}",
            f"{self.worst_windows:.2f}",
            f"{wasted.amount:.0f} ({wasted.share:.3f})",
            f"{busy:.3f}",
            f"{self.kb_an_instance / KB_PER_MB:.1f}",
            f"{self._find('cloud calls').amount:.0f}",
        ]
        return f"| {' | '.join(cells)} |"

    def _find(self, *names: str) -> Price:
        found = (self.prices[name] for name in names if name in self.prices)
        return next(found, Price(0.0, 0.0))


def read_days(entry: dict[str, Any]) -> list[PlayedDay]:
    """Return the days of an entry."""
    return [_read_day(entry, day) for day in entry.get("days") or []]


def _read_day(entry: dict[str, Any], day: dict[str, Any]) -> PlayedDay:
    parts = {name: value for name, _, value in day["parts"]}
    return PlayedDay(
        site=entry["site"],
        name=day["name"],
        entry=entry["id"],
        score=day["score"],
        worth=day["G"],
        served=day["served"],
        worst_windows=parts.get("worst windows", 0.0),
        prices={name: Price(amount, share) for name, amount, share in day["prices"]},
        kb_an_instance=day["kb_an_instance"],
    )


def format_table(days: Iterable[PlayedDay]) -> str:
    """Return a table of days in Markdown."""
    lines = [f"| {' | '.join(HEADS)} |", f"| {' | '.join('---' for _ in HEADS)} |"]
    return "\n".join([*lines, *(day.format_row() for day in days)])


def main(arguments: Sequence[str] | None = None, journal: Path = JOURNAL) -> int:
    """Print the table of some entries; return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.played", description=__doc__)
    parser.add_argument("entries", nargs="+", metavar="ID", help="the last part of an entry's file name")
    asked = parser.parse_args(arguments)
    days: list[PlayedDay] = []
    for name in asked.entries:
        found = sorted(journal.glob(f"*-{name}.json"))
        if not found:
            parser.error(f"no entry {name} in {journal}")
        days += read_days(json.loads(found[0].read_text()))
    print(format_table(days))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())

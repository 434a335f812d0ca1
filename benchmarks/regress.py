"""Tell which deployments fell between their last two scores, from the entries in ``journal/``.

``python -m benchmarks.regress`` prints a row for each deployment of ``regression.json``: the mean worth of its standard
days with trouble by the newest score and by the one before of other sources, and whether its gate passed. The exit code
is 1 where one fell by more than is allowed, failed its gate, or was not scored.
"""

from __future__ import annotations

import argparse
import json
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean
from typing import TYPE_CHECKING, Any

import pyjson5

from benchmarks.played import JOURNAL

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

SETTINGS = Path(__file__).parent / "regression.json"


@dataclass(frozen=True, slots=True)
class Score:
    """One score of a deployment."""

    entry: str
    sources: str
    """Hash of the sources that were played."""
    worth: float
    """Mean of the standard days with trouble."""
    passed: bool
    """Whether each day passed its gate."""


@dataclass(frozen=True, slots=True)
class Comparison:
    """A deployment's newest score beside the one before of other sources."""

    site: str
    newest: Score | None
    before: Score | None

    def is_sound(self, allowed_fall: float) -> bool:
        """Tell whether it was scored, passed, and fell by no more than is allowed."""
        if self.newest is None or not self.newest.passed:
            return False
        return self.before is None or self.newest.worth >= self.before.worth - allowed_fall

    def format_row(self, allowed_fall: float) -> str:
        """Return the row of a table in Markdown."""
        verdict = "" if self.is_sound(allowed_fall) else "**fell, failed or not scored**"
        cells = [self.site, _format(self.before), _format(self.newest), verdict]
        return f"| {' | '.join(cells)} |"


def _format(score: Score | None) -> str:
    if score is None:
        return "not scored"
    return f"{score.worth:.3f} (`{score.entry}`, gate {'passed' if score.passed else 'failed'})"


def read_scores(entries: Iterable[Mapping[str, Any]], site: str) -> list[Score]:
    """Return the whole scores of a deployment, oldest first."""
    wanted = [one for one in entries if one.get("cmd") == "score" and one.get("site") == site and one.get("ok")]
    scores = [_read_score(one) for one in sorted(wanted, key=lambda one: str(one["at"][0]))]
    return [score for score in scores if score is not None]


def _read_score(entry: Mapping[str, Any]) -> Score | None:
    """Return a score, or None where standard days were left out or processor time was not charged."""
    days = entry.get("days") or []
    standard = [day for day in days if day.get("seed") is not None]
    troubled = [day["G"] for day in standard if day.get("slot") != "quiet"]
    if not troubled or entry.get("days_left_out") or "--no-cpu" in entry.get("argv", []):
        return None
    sources = entry["policy"][0]["sha256"]
    return Score(entry["id"], sources, fmean(troubled), all(day.get("gate") for day in days))


def compare(scores: Sequence[Score], site: str) -> Comparison:
    """Return the newest score beside the last one of other sources."""
    newest = scores[-1] if scores else None
    others = [one for one in scores if newest is not None and one.sources != newest.sources]
    return Comparison(site, newest, others[-1] if others else None)


def main(arguments: Sequence[str] | None = None, journal: Path = JOURNAL, settings: Path = SETTINGS) -> int:
    """Print the table; return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.regress", description=__doc__)
    parser.parse_args(arguments)
    asked = pyjson5.decode(settings.read_text())
    entries = [json.loads(path.read_text()) for path in sorted(journal.glob("*.json"))]
    comparisons = [compare(read_scores(entries, site), site) for site in asked["sites"]]
    print("| deployment | before | newest | verdict |\n| --- | --- | --- | --- |")
    for comparison in comparisons:
        print(comparison.format_row(asked["allowed_fall"]))
    return 0 if all(one.is_sound(asked["allowed_fall"]) for one in comparisons) else 1


if __name__ == "__main__":
    raise SystemExit(main())

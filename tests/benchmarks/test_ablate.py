"""The table of what mechanisms are worth."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest
from benchmarks.ablate import compare, main, read_worths

if TYPE_CHECKING:
    from pathlib import Path


def make_entry(why: str, worth: float, *, at: str = "10:00", day: str = "d1", site: str = "desk") -> dict[str, Any]:
    return {"why": why, "at": [at, at], "site": site, "days": [{"name": day, "G": worth}]}


ENTRIES = [
    make_entry("ablation: all in, seed 1", 0.5),
    make_entry("ablation: all in, seed 2", 0.7),
    make_entry("ablation: without whole-runs, seed 1", 0.4),
    make_entry("ablation: without whole-runs, seed 2", 0.4),
    make_entry("ablation: without whole-runs, seed 9", 0.1),
    make_entry("trial: something else, seed 1", 0.9),
    make_entry("ablation: without line, seed 1", 0.3, at="09:00"),
    make_entry("ablation: without line, seed 1", 0.6, at="11:00"),
]


def test_days_are_compared_with_the_same_days() -> None:
    worths = read_worths(ENTRIES)
    effect = compare(worths["whole-runs"], worths["all in"], "desk")
    assert effect is not None
    assert effect.days == 2
    assert effect.worth == pytest.approx(0.4)
    assert effect.difference == pytest.approx(-0.2)
    assert effect.error == pytest.approx(0.1)
    assert compare(worths["whole-runs"], worths["all in"], "elsewhere") is None


def test_of_a_day_that_was_played_again_the_last_one_counts() -> None:
    worths = read_worths(ENTRIES)
    effect = compare(worths["line"], worths["all in"], "desk")
    assert effect is not None
    assert effect.difference == pytest.approx(0.1)


def test_only_entries_of_the_asked_code_count() -> None:
    entries = [*ENTRIES, make_entry("ablation of abc1: all in, seed 1", 0.8)]
    assert read_worths(entries) == read_worths(ENTRIES)
    assert [list(days.values()) for days in read_worths(entries, "abc1").values()] == [[0.8]]


def test_prints_a_row_a_mechanism(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    for number, entry in enumerate(ENTRIES):
        (tmp_path / f"{number}.json").write_text(json.dumps(entry))
    assert main([], tmp_path) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split("|")[1].strip() for line in lines] == ["left out", "---", "all in", "line", "whole-runs"]

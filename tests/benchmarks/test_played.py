"""The table of played days."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest
from benchmarks.played import main

if TYPE_CHECKING:
    from pathlib import Path

DAY = {
    "name": "quiet-1",
    "score": 0.8471,
    "G": 0.7732,
    "served": 0.8809,
    "parts": [["whole day", 0.6, 0.8809], ["worst windows", 0.12, 0.7448]],
    "prices": [
        ["machine-seconds", 5000.0, 0.0156],
        ["processor seconds", 150.0, 0.0006],
        ["cloud calls", 553.9, 0.005],
        ["1,000 tokens prefilled for nothing", 445.9, 0.0213],
    ],
    "kb_an_instance": 25600.0,
}


def write_entry(journal: Path, days: list[dict[str, object]]) -> None:
    entry = {"id": "d2edede9", "site": "some-site", "days": days}
    (journal / "20261202T140346-d2edede9.json").write_text(json.dumps(entry))


def test_prints_a_row_for_each_day(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    write_entry(tmp_path, [DAY, {**DAY, "name": "mix", "score": None}])
    assert main(["d2edede9"], tmp_path) == 0
    rows = capsys.readouterr().out.splitlines()
    assert rows[2] == (
        "| some-site | quiet-1 | d2edede9 | 0.85 | 0.773 | 0.881 | 0.74 | 446 (0.021) | 0.030 | 25.0 | 554 |"
    )
    assert rows[3].startswith("| some-site | mix | d2edede9 | - | 0.773 |")


def test_says_which_entry_there_is_none_of(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit):
        main(["none"], tmp_path)
    assert "no entry none" in capsys.readouterr().err

"""Which deployments fell."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest
from benchmarks.regress import compare, main, read_scores

if TYPE_CHECKING:
    from pathlib import Path


def make_entry(number: int, worths: list[float], **changes: Any) -> dict[str, Any]:
    days = [
        {"name": f"trouble-{day}", "G": worth, "slot": "trouble", "seed": day, "gate": True}
        for day, worth in enumerate(worths, 1)
    ]
    quiet = {"name": "quiet-1", "G": 0.9, "slot": "quiet", "seed": 9, "gate": True}
    drawn = {"name": "fresh-1", "G": 0.1, "slot": "trouble", "seed": None, "gate": True}
    return {
        "id": f"e{number}",
        "at": [f"2026-01-0{number}", ""],
        "cmd": "score",
        "site": "desk",
        "ok": True,
        "argv": [],
        "days_left_out": 0,
        "policy": [{"sha256": f"sources-{number}"}],
        "days": [*days, quiet, drawn],
        **changes,
    }


def run(tmp_path: Path, entries: list[dict[str, Any]]) -> int:
    journal = tmp_path / "journal"
    journal.mkdir()
    for number, entry in enumerate(entries):
        (journal / f"{number}.json").write_text(json.dumps(entry))
    settings = tmp_path / "regression.json"
    settings.write_text('{"sites": ["desk"], /* users */ "allowed_fall": 0.03}')
    return main([], journal, settings)


def test_the_mean_is_of_the_standard_days_with_trouble() -> None:
    (score,) = read_scores([make_entry(1, [0.4, 0.6])], "desk")
    assert score.worth == pytest.approx(0.5)
    assert score.passed


def test_scores_that_are_not_whole_do_not_count() -> None:
    entries = [
        make_entry(1, [0.4], days_left_out=3),
        make_entry(2, [0.4], argv=["--no-cpu"]),
        make_entry(3, [0.4], ok=False),
        make_entry(4, [0.4], site="elsewhere"),
        make_entry(5, [0.4], cmd="hunt"),
    ]
    assert read_scores(entries, "desk") == []


def test_the_newest_score_is_compared_with_the_last_one_of_other_sources() -> None:
    entries = [make_entry(1, [0.3]), make_entry(2, [0.5]), make_entry(3, [0.4])]
    entries[2]["policy"] = entries[1]["policy"]
    comparison = compare(read_scores(entries, "desk"), "desk")
    assert comparison.newest is not None
    assert comparison.before is not None
    assert (comparison.newest.entry, comparison.before.entry) == ("e3", "e1")


@pytest.mark.parametrize(("newest", "code"), [(0.50, 0), (0.48, 0), (0.46, 1)])
def test_a_deployment_may_fall_by_what_is_allowed(
    newest: float, code: int, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(tmp_path, [make_entry(1, [0.5]), make_entry(2, [newest])]) == code
    assert ("fell" in capsys.readouterr().out) is bool(code)


def test_a_gate_that_failed_and_a_missing_score_are_told(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    failed = make_entry(1, [0.5])
    failed["days"][0]["gate"] = False
    assert run(tmp_path, [failed]) == 1
    assert "gate failed" in capsys.readouterr().out


def test_nothing_scored_is_told(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert run(tmp_path, []) == 1
    assert "not scored" in capsys.readouterr().out

"""The subcommands that read log lines."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest

from beamhatch.tool.run import run_tool

if TYPE_CHECKING:
    from pathlib import Path

LINES = [
    {"at": 1.0, "part": "RELAY", "event": "sent", "vm": "vm1", "request": "q1", "to": "u1", "stage": "whole"},
    {"at": 1.2, "part": "RELAY", "event": "send failed", "vm": "vm1", "request": "q1", "to": "u1", "fault": "broken"},
    {"at": 1.3, "part": "RELAY", "event": "given up", "vm": "vm1", "request": "q1", "status": 502, "reason": "x"},
    {"at": 2.0, "part": "STORE", "event": "lost", "vm": "vm2", "watch": "listing", "detail": "status 503"},
]


@pytest.fixture
def log(tmp_path: Path) -> str:
    path = tmp_path / "relay.log"
    text = ["12.5 vm1 not a line", "{broken", *(f"  1.0 vm {json.dumps(line)}" for line in LINES)]
    path.write_text("\n".join(text))
    return str(path)


def test_shows_one_request_in_order(log: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert run_tool(["logs", "request", log, "q1"]) == 0
    shown = capsys.readouterr().out
    assert [event for event in ("sent", "send failed", "given up") if event in shown] == [
        "sent",
        "send failed",
        "given up",
    ]
    assert "fault=broken" in shown
    assert "vm2" not in shown


def test_says_where_a_request_is_not_in_the_log(log: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert run_tool(["logs", "request", log, "q9"]) == 1
    assert "q9" in capsys.readouterr().err
    assert run_tool(["logs", "request", log + ".missing", "q1"]) == 2


def test_counts_what_a_calm_day_does_not_have(log: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert run_tool(["--json", "logs", "summary", log]) == 0
    rows = json.loads(capsys.readouterr().out)
    assert [(row["event"], row["of"], row["count"]) for row in rows] == [
        ("given up", "x", 1),
        ("send failed", "u1", 1),
        ("lost", "listing", 1),
    ]

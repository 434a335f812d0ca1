"""Tests of the platform's settings file."""

from __future__ import annotations

import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

from beamhatch.platform.settings import SettingsError, read_settings
from beamhatch.run import run_command

if TYPE_CHECKING:
    from pathlib import Path

TEXT = """
node_name = "frontend-a-1"
ip = "10.1.0.38"
zone = "a"
seeds = ["10.1.0.38:8144"]
something_new = { a = 1 }
[listen]
frontend = "10.1.0.38:8149"
ready = "10.1.0.38:8141"
control = "10.1.0.38:8144"
[bounds]
grace_s = 8
retry_slack = 56
new_bound = true
[provider]
address = "10.200.1.7:8142"
"""


def write(tmp_path: Path, text: str) -> str:
    path = tmp_path / "boot.toml"
    path.write_text(text)
    return str(path)


def test_unknown_settings_are_ignored(tmp_path: Path) -> None:
    settings = read_settings(write(tmp_path, TEXT))
    assert settings.vm == "frontend-a-1"
    assert settings.hall == "a"
    assert settings.grace == 8.0
    assert settings.retry_budget.slack == 56
    assert str(settings.peer_address) == "10.1.0.38:8144"


@pytest.mark.parametrize(
    ("before", "after", "named"),
    [
        ('node_name = "frontend-a-1"\n', "", "node_name"),
        ('frontend = "10.1.0.38:8149"', "frontend = 5", "frontend"),
        ('address = "10.200.1.7:8142"', 'address = "10.200.1.7"', "invalid literal"),
        ("[listen]", "[listen", "boot.toml"),
    ],
)
def test_errors_name_the_invalid_setting(tmp_path: Path, before: str, after: str, named: str) -> None:
    with pytest.raises(SettingsError, match=named):
        read_settings(write(tmp_path, TEXT.replace(before, after)))


def test_a_missing_file_exits_with_code_2(tmp_path: Path) -> None:
    environment = {"BEAMHATCH_NODE_FILE": str(tmp_path / "none.toml"), "PATH": "/usr/bin"}
    result = subprocess.run(
        [sys.executable, "-m", "beamhatch.platform"], env=environment, capture_output=True, text=True, timeout=60
    )
    assert result.returncode == 2
    assert "none.toml" in result.stderr


def test_the_check_command_validates_a_settings_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = write(tmp_path, TEXT)
    assert run_command(["check", "--platform", "--settings", path]) == 0
    write(tmp_path, TEXT.replace("grace_s = 8", 'grace_s = "soon"'))
    assert run_command(["check", "--platform", "--settings", path]) == 2
    assert "grace_s" in capsys.readouterr().err

"""Settings: every error at once, with its line, path and remedy."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from beamhatch.settings import schema
from beamhatch.settings.check import Rejected, load_settings, parse_settings
from beamhatch.settings.selector import SelectorError, parse_selector, select

GOOD = """{
  // one VM
  "vm": "kl-a-1",
  "hall": "kl-a",
  "configuration": [
    {"kind": "policy", "name": "n", "algorithm": "naive"},
    {"kind": "slice", "name": "all", "policy": "n"} /* all of it */
  ]
}"""


def read_problems(text: str) -> list[str]:
    parsed = parse_settings(text, "f")
    return [str(problem) for problem in parsed.problems] if isinstance(parsed, Rejected) else []


def test_comments_and_defaults_are_taken() -> None:
    settings = parse_settings(GOOD, "f")
    assert isinstance(settings, schema.Settings)
    assert (settings.caller.port, settings.admin.port) == (8080, 8081)


def test_all_errors_come_at_once_with_line_path_and_remedy() -> None:
    text = """{
  "vm": "a b",
  "hall": "h",
  "caller": {"prot": 1,
             "port": 70000},
  "timing": {"suspicion": -1},
  "vm": "again"
}"""
    problems = read_problems(text)
    assert len(problems) == 4
    assert any(problem.startswith("f:7: vm: stands twice") for problem in problems)
    assert any(problem.startswith("f:4: caller: unknown: prot. Known here: host, port") for problem in problems)
    assert any(problem.startswith("f:5: caller.port: ") for problem in problems)
    assert any(problem.startswith("f:6: timing.suspicion: ") for problem in problems)


@pytest.mark.parametrize(
    ("old", "new", "problem"),
    [
        ('"policy": "n"', '"policy": "x"', "f:7: configuration.1.policy: there is no policy 'x'. Use one of ['n']."),
        ('"policy": "n"', '"policy": "n", "percent": 5', "leaves traffic without a policy"),
        ('"policy": "n"', '"policy": "n", "selector": "a ~ b"', "'a ~ b' is not understood"),
        ('"naive"', '"best"', "'best' is not one of the known values"),
        ('"hall": "kl-a"', '"hall": "kl-a", "admin": {"host": "10.0.0.1"}', "Add a token, or bind 127.0.0.1."),
        ('"hall": "kl-a"', '"hall": "kl-a", "peer": {"host": "10.0.0.1"}', "Name TLS files, or set insecure."),
        ('"hall": "kl-a"', '"hall": "kl-a", "caller": {"host": "localhost"}', "is not an IP address"),
        ('"hall": "kl-a"', '"hall": "kl-a", "timing": {"pause_limit": 9}', "is not below timing.suspicion"),
        ('"hall": "kl-a",', '"hall": "kl-a"', "f:5: (top): is not JSON with comments"),
    ],
)
def test_errors_of_meaning_name_place_and_remedy(old: str, new: str, problem: str) -> None:
    assert any(problem in found for found in read_problems(GOOD.replace(old, new)))


def test_a_file_that_cannot_be_read_is_one_problem(tmp_path: Path) -> None:
    loaded = load_settings(str(tmp_path / "none.json"))
    assert isinstance(loaded, Rejected)
    assert "can't be read" in str(loaded.problems[0])


@given(st.text())
def test_no_text_is_taken_or_refused_with_an_exception(text: str) -> None:
    assert isinstance(parse_settings(text, "f"), Rejected)


def test_selectors_choose_by_labels() -> None:
    labels = {"workspace": "order-desk", "model": "lm"}
    cases = {
        "": True,
        "workspace=order-desk": True,
        "workspace!=order-desk": False,
        "workspace in (a, order-desk), model": True,
        "workspace notin (order-desk)": False,
        "!night, model": True,
        "night": False,
    }
    for text, expected in cases.items():
        assert select(parse_selector(text), labels) is expected, text
    with pytest.raises(SelectorError):
        parse_selector("a in ()")


def test_the_settings_page_names_every_setting_with_its_default() -> None:
    page = Path("docs/settings.md").read_text(encoding="utf-8")
    for kind in (
        schema.Settings, schema.Caller, schema.Admin, schema.Token, schema.Peer, schema.Platform, schema.Limits,
        schema.Timing, schema.Log, schema.Traces, schema.Tls, schema.Upstream, schema.Pool, schema.Workspace,
        schema.Policy, schema.Slice,
    ):  # fmt: skip
        section = re.search(rf"^## {kind.__name__}\n(.*?)(?=^## |\Z)", page, re.MULTILINE | re.DOTALL)
        assert section is not None, kind.__name__
        for item in msgspec.structs.fields(kind):
            row = re.search(rf"^\| `{item.name}` \| (.*?) \|", section[1], re.MULTILINE)
            assert row is not None, f"{kind.__name__}.{item.name}"
            if isinstance(item.default, str | int | float | bool):
                assert f"`{msgspec.json.encode(item.default).decode()}`" in row[1], f"{kind.__name__}.{item.name}"

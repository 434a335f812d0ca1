"""The pages: links resolve, figures are the programs', and every promise names a test that exists."""

from __future__ import annotations

import json
import re
from pathlib import Path

from benchmarks.capacity import BEGIN, END, PAGE, SLOPES, render

DOCS = [*Path("docs").rglob("*.md"), Path("README.md"), Path("CONTRIBUTING.md")]


def test_links_resolve() -> None:
    for page in DOCS:
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text(encoding="utf-8")):
            assert (page.parent / target).exists(), f"{page}: {target}"


def test_the_capacity_page_shows_the_programs_figures() -> None:
    page = PAGE.read_text(encoding="utf-8")
    shown = page.partition(BEGIN)[2].partition(END)[0].strip()
    assert shown == render(json.loads(SLOPES.read_text(encoding="utf-8")))


def test_every_promise_names_tests_that_exist() -> None:
    page = Path("docs/promises.md").read_text(encoding="utf-8")
    named = set(re.findall(r"`(tests/[\w/]+\.py)::(\w+)`", page))
    assert len(named) >= 20
    for file, test in named:
        assert f"def {test}(" in Path(file).read_text(encoding="utf-8"), f"{file}::{test}"

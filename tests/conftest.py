"""Fixtures of all tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import settings

from tests.support.hall import Hall

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60, stateful_step_count=40)
settings.load_profile("ci")


@pytest.fixture
def hall(tmp_path: Path) -> Iterator[Hall]:
    """A hall that the test starts; all its processes end with the test."""
    made = Hall(tmp_path)
    yield made
    made.close()

"""Seed what the relay draws at random, so that each run of a test is the same."""

from __future__ import annotations

import random

import pytest

SEED = 7


@pytest.fixture(autouse=True)
def _seed_random() -> None:
    random.seed(SEED)

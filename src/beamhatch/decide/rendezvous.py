"""Rendezvous hashing: VMs that know the same names compute the same ranking for a key without communication."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

Name = TypeVar("Name", bound=str)


def rank(key: str, names: Iterable[Name]) -> list[Name]:
    """Return names sorted by their rank for a key, the preferred holder first."""
    return sorted(names, key=lambda name: _score(key, name))


def _score(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()

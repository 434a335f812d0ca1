"""What peers told last: one value of each VM, believed for some seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

Value = TypeVar("Value")

TOLD_LIFE = 1.8
"""Seconds for which what a peer told is believed: three of the beats that carry it, as changes are told at once."""


@dataclass(frozen=True, slots=True)
class _Told(Generic[Value]):
    value: Value
    at: float


@dataclass(slots=True)
class PeerWords(Generic[Value]):
    """The newest value that each VM told."""

    _by_vm: dict[str, _Told[Value]] = field(default_factory=dict)

    def take(self, vm: str, value: Value, now: float) -> None:
        """Take in what a VM told."""
        self._by_vm[vm] = _Told(value, now)

    def list_values(self, now: float) -> Iterator[Value]:
        """Return what is believed."""
        return (told.value for told in self._by_vm.values() if now - told.at < TOLD_LIFE)

    def forget_old(self, now: float) -> None:
        """Drop what is no longer believed."""
        self._by_vm = {vm: told for vm, told in self._by_vm.items() if now - told.at < TOLD_LIFE}

"""What peers told last: one value of each VM, believed for some seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

Value = TypeVar("Value")

VALUE_TTL_S = 1.8
"""Seconds for which what a peer told is believed: three of the beats that carry it, as changes are told at once."""


@dataclass(frozen=True, slots=True)
class _Received(Generic[Value]):
    value: Value
    received_at: float


@dataclass(slots=True)
class PeerValues(Generic[Value]):
    """The newest value that each VM told."""

    _by_vm: dict[str, _Received[Value]] = field(default_factory=dict)

    def record(self, vm: str, value: Value, now: float) -> None:
        """Take in what a VM told."""
        self._by_vm[vm] = _Received(value, now)

    def list_values(self, now: float) -> Iterator[Value]:
        """Return what is believed."""
        return (told.value for told in self._by_vm.values() if now - told.received_at < VALUE_TTL_S)

    def drop_expired(self, now: float) -> None:
        """Drop what is no longer believed."""
        self._by_vm = {vm: told for vm, told in self._by_vm.items() if now - told.received_at < VALUE_TTL_S}

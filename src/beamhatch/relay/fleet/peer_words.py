"""The last value that each peer sent, kept for a limited time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

Value = TypeVar("Value")

VALUE_TTL_S = 1.8
"""Seconds after which a value is ignored unless it was sent again.

Covers three regular heartbeats.
"""


@dataclass(frozen=True, slots=True)
class _Received(Generic[Value]):
    value: Value
    received_at: float


@dataclass(slots=True)
class PeerValues(Generic[Value]):
    """The newest value received from each VM."""

    _by_vm: dict[str, _Received[Value]] = field(default_factory=dict)

    def record(self, vm: str, value: Value, now: float) -> None:
        """Replace the value of a VM."""
        self._by_vm[vm] = _Received(value, now)

    def list_values(self, now: float) -> Iterator[Value]:
        """Return the values that have not expired."""
        return (entry.value for entry in self._by_vm.values() if now - entry.received_at < VALUE_TTL_S)

    def drop_expired(self, now: float) -> None:
        """Remove expired values."""
        self._by_vm = {vm: entry for vm, entry in self._by_vm.items() if now - entry.received_at < VALUE_TTL_S}

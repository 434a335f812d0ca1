"""What the system needs of the platform: a key-value service, and a list of VMs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True, slots=True)
class Found:
    """A value and the revision that wrote it; revision 0 and no value say that the key is not there."""

    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Swapped:
    """The value was written."""


@dataclass(frozen=True, slots=True)
class Moved:
    """The key was at another revision; nothing was written."""


@dataclass(frozen=True, slots=True)
class KvLost:
    """No answer came; a write may have taken effect."""

    detail: str


class KeyValue(ABC):
    """The platform's key-value service. Each call counts, a waiting watch as one."""

    @abstractmethod
    async def get(self, key: str) -> Found | KvLost:
        """Return a value; it may be an older one where a reader lags."""

    @abstractmethod
    async def put(self, key: str, value: bytes) -> Swapped | KvLost:
        """Write a value whatever was there."""

    @abstractmethod
    async def swap(self, key: str, revision: int, value: bytes) -> Swapped | Moved | KvLost:
        """Write a value if the key is at a revision; revision 0 asks that it is not there."""

    @abstractmethod
    async def watch(self, key: str, after: int, on_event: Callable[[], None]) -> KvLost:
        """Call a function at each change of a key behind a revision; return when the watch broke."""


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One line of the platform's VM list."""

    name: str
    address: str
    entry: bool
    hall: str
    leaving: bool


class VmList(ABC):
    """The platform's list of live and leaving VMs; it lags."""

    @abstractmethod
    async def read(self) -> list[ListedVm] | None:
        """Return the list, or None where it can't be had."""

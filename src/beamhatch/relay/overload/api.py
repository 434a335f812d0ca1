"""Interface of the resources of a VM that limit how many connections of callers it accepts."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum


class ResourceName(Enum):
    """Resource of a VM; the values are metric labels and log fields."""

    LINK = "link"
    PROCESSOR = "processor"
    MEMORY = "memory"
    DESCRIPTORS = "descriptors"


class Resource(ABC):
    """Resource that connections of callers and their requests use."""

    name: ResourceName

    @abstractmethod
    def has_room(self, now: float, *, alone: bool) -> bool:
        """Return whether one more connection may be accepted.

        :param now: monotonic time in seconds
        :param alone: whether no other VM is known that could serve the caller instead
        """

    @abstractmethod
    def describe(self) -> dict[str, object]:
        """Return the log fields that show how much is in use."""

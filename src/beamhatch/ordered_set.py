"""A set that is iterated in the order in which its elements were added."""

from __future__ import annotations

from collections.abc import MutableSet
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

T = TypeVar("T")


class OrderedSet(MutableSet[T]):
    """A set in the order of insertion, so that what is done for each element has the same order in each run.

    The order of a built-in set of objects follows from their addresses in memory.
    """

    def __init__(self, elements: Iterable[T] = ()) -> None:
        self._elements = dict.fromkeys(elements)

    def __contains__(self, element: object) -> bool:
        return element in self._elements

    def __iter__(self) -> Iterator[T]:
        return iter(self._elements)

    def __len__(self) -> int:
        return len(self._elements)

    def add(self, element: T) -> None:
        """Add an element behind all others, unless it is there."""
        self._elements[element] = None

    def discard(self, element: T) -> None:
        """Remove an element if it is there."""
        self._elements.pop(element, None)

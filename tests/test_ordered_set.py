"""A set in the order of insertion."""

from __future__ import annotations

from beamhatch.ordered_set import OrderedSet


def test_elements_are_iterated_in_the_order_in_which_they_were_added() -> None:
    elements = [object() for _ in range(50)]
    found = OrderedSet(elements)
    found.discard(elements[3])
    found.add(elements[3])
    found.add(elements[0])
    assert list(found) == [*elements[:3], *elements[4:], elements[3]]
    assert len(found) == 50
    assert elements[7] in found


def test_discarding_an_element_that_is_not_there_changes_nothing() -> None:
    found = OrderedSet("ab")
    found.discard("c")
    assert list(found) == ["a", "b"]

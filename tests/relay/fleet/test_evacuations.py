"""Which halls are emptied, whoever tells it and in whatever order."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from beamhatch.relay.fleet.evacuations import Evacuation, Evacuations

NEWS = [Evacuation("a", revision, revision % 2 == 1) for revision in range(1, 6)]


def test_the_newest_news_win_in_whatever_order_they_come() -> None:
    evacuations = Evacuations()
    assert evacuations.take(NEWS[2], 1.0)
    assert not evacuations.take(NEWS[1], 2.0)
    assert evacuations.is_emptied("a")


@given(st.permutations(NEWS))
def test_all_orders_of_news_end_in_the_same_belief(news: list[Evacuation]) -> None:
    evacuations = Evacuations()
    for one in news:
        evacuations.take(one, 1.0)
    assert evacuations.list_news() == [NEWS[-1]]


def test_a_whole_read_ends_what_it_lacks_but_not_what_is_newer() -> None:
    evacuations = Evacuations()
    evacuations.take(Evacuation("a", 3, True), 1.0)
    evacuations.take(Evacuation("b", 9, True), 1.0)
    assert evacuations.take_whole([], 5, 2.0) == [Evacuation("a", 5, False)]
    assert evacuations.list_emptied() == ["b"]
    assert evacuations.complete
    assert evacuations.find_return("a") == 2.0

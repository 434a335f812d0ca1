"""Which halls are emptied, whoever tells it and in whatever order."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from beamhatch.relay.fleet.evacuations import MOST_UNPLACED, Evacuation, Evacuations
from beamhatch.relay.topology import RegionName, Topology

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


def test_old_news_of_a_hall_that_is_not_known_as_emptied_are_not_taken() -> None:
    evacuations = Evacuations()
    evacuations.take_whole([], 9, 1.0)
    assert not evacuations.take(Evacuation("a", 5, True), 2.0)
    assert evacuations.take_whole([Evacuation("a", 5, True)], 6, 2.0) == []
    assert evacuations.as_of == 9
    assert evacuations.take(Evacuation("a", 10, True), 3.0)


def test_ended_evacuations_are_forgotten_once_they_are_known_as_a_whole() -> None:
    evacuations = Evacuations()
    for number in range(200):
        evacuations.take(Evacuation(f"h{number}", 2 * number + 1, True), 1.0)
        evacuations.take(Evacuation(f"h{number}", 2 * number + 2, False), 1.0)
        evacuations.note_known(2 * number + 2)
    assert evacuations.list_news() == []
    assert len(evacuations._returned_at) <= MOST_UNPLACED


def test_names_that_the_settings_do_not_place_are_bounded_and_placed_ones_always_taken() -> None:
    evacuations = Evacuations(Topology({"placed": RegionName("west")}))
    for number in range(3 * MOST_UNPLACED):
        evacuations.take(Evacuation(f"odd-{number}", number + 1, True), 1.0)
    assert evacuations.take(Evacuation("placed", 1000, True), 1.0)
    assert len(evacuations.list_emptied()) == MOST_UNPLACED + 1


class Store:
    """What the operators wrote, with the revision of each change."""

    def __init__(self) -> None:
        self.revision = 0
        self.emptied: dict[str, int] = {}
        self.events: list[Evacuation] = []

    def change(self, hall: str) -> None:
        self.revision += 1
        if hall in self.emptied:
            del self.emptied[hall]
        else:
            self.emptied[hall] = self.revision
        self.events.append(Evacuation(hall, self.revision, hall in self.emptied))

    def read(self) -> list[Evacuation]:
        return [Evacuation(hall, revision, True) for hall, revision in self.emptied.items()]


STEPS = st.lists(
    st.tuples(st.sampled_from(["change", "read", "watch", "tell"]), st.integers(0, 2), st.integers(0, 2)),
    min_size=12,
    max_size=40,
)


@settings(max_examples=1000)
@given(STEPS)
def test_whoever_reads_watches_or_is_told_all_end_in_what_the_store_has(steps: list[tuple[str, int, int]]) -> None:
    store = Store()
    vms = [Evacuations() for _ in range(3)]
    for kind, one, other in steps:
        if kind == "change":
            store.change(f"h{one % 2}")
        elif kind == "read":
            vms[one].take_whole(store.read(), store.revision, 1.0)
        elif kind == "watch" and vms[one].complete:
            for news in [news for news in store.events if news.revision > vms[one].as_of]:
                vms[one].take(news, 1.0)
            vms[one].note_known(store.revision)
        elif kind == "tell" and vms[one].complete:
            vms[other].take_whole(vms[one].list_news(), vms[one].as_of, 1.0)
        for vm in vms:
            if vm.complete and vm.as_of == store.revision:
                assert set(vm.list_emptied()) == set(store.emptied)
    vms[0].take_whole(store.read(), store.revision, 1.0)
    for vm in vms[1:]:
        vm.take_whole(vms[0].list_news(), vms[0].as_of, 1.0)
        assert set(vm.list_emptied()) == set(store.emptied)


def test_a_vm_that_could_not_keep_all_news_says_so_until_it_knows_all() -> None:
    evacuations = Evacuations()
    for number in range(MOST_UNPLACED + 1):
        evacuations.take(Evacuation(f"hall-{number}", number + 1, True), 1.0)
    assert evacuations.lacks_room
    evacuations.take_whole([Evacuation("hall-0", 1, True)], 200, 2.0)
    assert not evacuations.lacks_room

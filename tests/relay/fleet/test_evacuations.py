"""Tests that all VMs arrive at the same evacuations, whatever the source and order of reports."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from beamhatch.relay.fleet.evacuations import MAX_UNCONFIGURED_HALLS, Evacuation, Evacuations
from beamhatch.relay.topology import RegionName, Topology

UPDATES = [Evacuation("a", revision, revision % 2 == 1) for revision in range(1, 6)]


def test_highest_revision_wins_in_any_order() -> None:
    evacuations = Evacuations()
    assert evacuations.apply(UPDATES[2], 1.0)
    assert not evacuations.apply(UPDATES[1], 2.0)
    assert evacuations.is_evacuated("a")


@given(st.permutations(UPDATES))
def test_updates_converge_in_any_order(updates: list[Evacuation]) -> None:
    evacuations = Evacuations()
    for one in updates:
        evacuations.apply(one, 1.0)
    assert evacuations.list_updates() == [UPDATES[-1]]


def test_snapshot_ends_missing_evacuations_but_not_newer_ones() -> None:
    evacuations = Evacuations()
    evacuations.apply(Evacuation("a", 3, True), 1.0)
    evacuations.apply(Evacuation("b", 9, True), 1.0)
    assert evacuations.apply_snapshot([], 5, 2.0) == [Evacuation("a", 5, False)]
    assert evacuations.list_evacuated() == ["b"]
    assert evacuations.complete
    assert evacuations.get_end_time("a") == 2.0


def test_outdated_report_on_an_unknown_hall_is_ignored() -> None:
    evacuations = Evacuations()
    evacuations.apply_snapshot([], 9, 1.0)
    assert not evacuations.apply(Evacuation("a", 5, True), 2.0)
    assert evacuations.apply_snapshot([Evacuation("a", 5, True)], 6, 2.0) == []
    assert evacuations.as_of == 9
    assert evacuations.apply(Evacuation("a", 10, True), 3.0)


def test_ended_evacuations_are_dropped_up_to_the_known_revision() -> None:
    evacuations = Evacuations()
    for number in range(200):
        evacuations.apply(Evacuation(f"h{number}", 2 * number + 1, True), 1.0)
        evacuations.apply(Evacuation(f"h{number}", 2 * number + 2, False), 1.0)
        evacuations.record_known_up_to(2 * number + 2)
    assert evacuations.list_updates() == []
    assert len(evacuations._ended_at) <= MAX_UNCONFIGURED_HALLS


def test_unconfigured_halls_are_bounded_and_configured_halls_always_kept() -> None:
    evacuations = Evacuations(Topology({"configured": RegionName("west")}))
    for number in range(3 * MAX_UNCONFIGURED_HALLS):
        evacuations.apply(Evacuation(f"unconfigured-{number}", number + 1, True), 1.0)
    assert evacuations.apply(Evacuation("configured", 1000, True), 1.0)
    assert len(evacuations.list_evacuated()) == MAX_UNCONFIGURED_HALLS + 1


class Store:
    """A store of evacuations, with the revision of each change."""

    def __init__(self) -> None:
        self.revision = 0
        self.evacuated: dict[str, int] = {}
        self.events: list[Evacuation] = []

    def change(self, hall: str) -> None:
        self.revision += 1
        if hall in self.evacuated:
            del self.evacuated[hall]
        else:
            self.evacuated[hall] = self.revision
        self.events.append(Evacuation(hall, self.revision, hall in self.evacuated))

    def read(self) -> list[Evacuation]:
        return [Evacuation(hall, revision, True) for hall, revision in self.evacuated.items()]


STEPS = st.lists(
    st.tuples(st.sampled_from(["change", "read", "watch", "tell"]), st.integers(0, 2), st.integers(0, 2)),
    min_size=12,
    max_size=40,
)


@settings(max_examples=1000)
@given(STEPS)
def test_vms_converge_to_the_store_by_reads_watches_and_gossip(steps: list[tuple[str, int, int]]) -> None:
    store = Store()
    vms = [Evacuations() for _ in range(3)]
    for kind, one, other in steps:
        if kind == "change":
            store.change(f"h{one % 2}")
        elif kind == "read":
            vms[one].apply_snapshot(store.read(), store.revision, 1.0)
        elif kind == "watch" and vms[one].complete:
            for news in [news for news in store.events if news.revision > vms[one].as_of]:
                vms[one].apply(news, 1.0)
            vms[one].record_known_up_to(store.revision)
        elif kind == "tell" and vms[one].complete:
            vms[other].apply_snapshot(vms[one].list_updates(), vms[one].as_of, 1.0)
        for vm in vms:
            if vm.complete and vm.as_of == store.revision:
                assert set(vm.list_evacuated()) == set(store.evacuated)
    vms[0].apply_snapshot(store.read(), store.revision, 1.0)
    for vm in vms[1:]:
        vm.apply_snapshot(vms[0].list_updates(), vms[0].as_of, 1.0)
        assert set(vm.list_evacuated()) == set(store.evacuated)


def test_overflow_is_flagged_until_the_next_snapshot() -> None:
    evacuations = Evacuations()
    for number in range(MAX_UNCONFIGURED_HALLS + 1):
        evacuations.apply(Evacuation(f"hall-{number}", number + 1, True), 1.0)
    assert evacuations.has_overflowed
    evacuations.apply_snapshot([Evacuation("hall-0", 1, True)], 200, 2.0)
    assert not evacuations.has_overflowed

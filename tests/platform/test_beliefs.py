"""Configuration, listing, peers and planned stop, against the platform's stand-ins on a paused clock."""

from __future__ import annotations

import pytest

from beamhatch.platform.standin.store import StoreFault
from beamhatch.platform.standin.upstream import UpstreamFault
from tests.support.network import Network, PausedClock
from tests.support.platform import (
    MODEL,
    PLAIN,
    ROUTES,
    MemoryJournal,
    Platform,
    make_configuration,
    make_platform,
    make_request,
    make_route,
)

NEW_ROUTE = make_route("/new/", "safe", PLAIN)


def serve(platform: Platform, path: str, request: str, vm: str = "vm1") -> int:
    return platform.finish(platform.call(path, request, vm=vm)).status


def get_version(platform: Platform, vm: str = "vm1") -> int:
    table = platform.vms[vm].core.table
    return 0 if table is None else table.version


def test_a_vm_without_a_configuration_is_not_ready_and_answers_503() -> None:
    platform = Platform()
    platform.add_plain("plain-0")
    platform.add_vm()
    platform.network.run(1.0)
    assert not platform.is_ready()
    assert serve(platform, "/safe/x", "q1") == 503
    platform.configure(1)
    platform.network.run_until(platform.is_ready, 3.0)
    assert serve(platform, "/safe/x", "q2") == 200


def test_a_new_configuration_is_in_force_at_once_and_an_older_one_never() -> None:
    platform = make_platform()
    assert serve(platform, "/new/x", "q1") == 404
    platform.configure(5, [*ROUTES, NEW_ROUTE])
    platform.network.run(0.1)
    assert serve(platform, "/new/x", "q2") == 200
    platform.configure(3)
    platform.network.run(1.0)
    assert get_version(platform) == 5


def test_a_configuration_that_cannot_be_read_changes_nothing() -> None:
    platform = make_platform()
    platform.store.put("op/config", b"{broken")
    platform.network.run(0.5)
    assert serve(platform, "/safe/x", "q1") == 200


def test_a_shorter_time_out_holds_for_requests_under_way() -> None:
    platform = make_platform(plain=1)
    platform.upstreams["plain-0"].fault = UpstreamFault.HANG
    caller = platform.call("/unsafe/x", "q1", body=b"x")
    platform.network.run(0.2)
    shorter = make_route("/unsafe/", "unsafe", PLAIN, timeout_ms=400)
    platform.configure(2, [shorter])
    platform.network.run(0.5)
    assert caller.status == 504


def test_the_history_that_the_store_forgot_is_read_anew() -> None:
    platform = make_platform()
    platform.store.fault = StoreFault.UNRESPONSIVE
    platform.network.run(1.0)
    platform.store.abort_connections()
    platform.configure(2, [*ROUTES, NEW_ROUTE])
    platform.drain("plain-0")
    platform.store.discard_history()
    platform.store.fault = StoreFault.NONE
    platform.network.run_until(lambda: get_version(platform) == 2, 10.0)
    platform.network.run(0.5)
    arrivals = platform.ledger.runs.total()
    for number in range(4):
        assert serve(platform, "/safe/x", f"q{number}") == 200
    assert platform.ledger.runs.total() == arrivals + 4
    assert platform.upstreams["plain-0"].running == 0


def test_the_store_is_asked_rarely_on_a_calm_day() -> None:
    platform = make_platform()
    store = platform.store
    before, quiet = store.calls - 0.9 * store.renewals, store.quiet_watches
    platform.network.run(60.0)
    # Two watches, which the store ends after half of the 2 s in which a change has to be known.
    quiet = store.quiet_watches - quiet
    assert quiet <= 2 * 60 / 1.0
    # The looks and the claim of a leader, and its renewals, which cost a tenth.
    assert store.calls - 0.9 * store.renewals - before - quiet <= 12


def test_a_store_that_is_down_is_not_stormed() -> None:
    platform = make_platform()
    platform.store.fault = StoreFault.UNAVAILABLE
    platform.store.abort_connections()
    before = platform.store.calls
    platform.network.run(10.0)
    assert platform.store.calls - before <= 50
    assert serve(platform, "/safe/x", "q1") == 200


def test_a_draining_upstream_gets_nothing_new_and_does_not_come_back() -> None:
    platform = make_platform()
    entry = platform.upstreams["plain-0"].make_entry(PLAIN, "hall-a")
    platform.drain("plain-0")
    platform.network.run(0.1)
    platform.store.put("servers/plain-0", entry)
    platform.network.run(0.1)
    platform.upstreams["plain-0"].stop()
    for number in range(4):
        assert serve(platform, "/unsafe/x", f"q{number}") == 200


def test_an_upstream_whose_entry_went_stands_in_only_for_a_moment() -> None:
    platform = make_platform(plain=1)
    platform.store.remove("servers/plain-0")
    platform.network.run(0.1)
    assert serve(platform, "/safe/x", "q1") == 200
    platform.network.run(1.8)  # the platform allows sends for 2 s behind the end of an entry
    assert serve(platform, "/safe/x", "q2") == 503


def test_a_listing_of_several_pages_is_read_whole() -> None:
    platform = Platform()
    platform.configure(1)
    for number in range(120):
        platform.add_plain(f"plain-{number:03}")
    vm = platform.add_vm()
    platform.network.run_until(platform.is_ready)
    from beamhatch.relay.model import ServiceName

    assert len(vm.core.listing.list_usable(ServiceName(PLAIN), platform.clock.now())) == 120


def make_two(platform: Platform) -> None:
    platform.add_vm("vm2", ["vm1:8002"])
    platform.network.run_until(lambda: platform.is_ready("vm2"))
    platform.network.run_until(lambda: platform.vms["vm1"].core.vm_count == 2)


def test_a_vm_that_the_store_turns_away_learns_from_its_peers() -> None:
    platform = make_platform()
    make_two(platform)
    # Only the watches of vm2 die: its store answers nothing from here on.
    platform.network.cut("store")
    configuration = make_configuration(2, [*ROUTES, NEW_ROUTE])
    platform.store.put("op/config", configuration)
    platform.drain("plain-0")
    platform.network.heal("store")
    vm1 = platform.vms["vm1"]
    import json

    from beamhatch.platform.documents import PlatformDocuments
    from beamhatch.relay.api import Document, ListingUpdate
    from beamhatch.relay.model import UpstreamId

    raw = json.dumps(configuration).encode()
    documents = PlatformDocuments(MemoryJournal(PausedClock(Network())))
    table = documents.read_configuration(raw)
    assert table is not None
    vm1.core.apply_document(Document(raw, table), "test")
    entry = json.dumps(platform.upstreams["plain-0"].make_entry(PLAIN, "hall-a", "draining")).encode()
    vm1.core.apply_listing(
        ListingUpdate([documents.read_entry(UpstreamId("plain-0"), 999, entry)], 999), "test", is_snapshot=False
    )
    platform.network.run(1.5)
    assert get_version(platform, "vm2") == 2
    names = {
        one.id
        for one in platform.vms["vm2"].core.listing.list_usable(table.routes[0].weighted_services[0].service, 0.0)
    }
    assert names == {"plain-1"}


def test_a_vm_that_starts_without_the_store_learns_from_its_peers() -> None:
    platform = make_platform()
    platform.network.cut("store")
    platform.add_vm("vm2", ["vm9:8002", "vm1:8002"])
    platform.network.run_until(lambda: platform.is_ready("vm2"), 6.0)
    assert serve(platform, "/stream/x", "q1", "vm2") == 200


def test_a_planned_stop_answers_what_runs_and_takes_what_still_comes() -> None:
    platform = make_platform()
    kept = platform.connect()
    kept.send(make_request("/safe/x", "q0"))
    platform.finish(kept)
    kept.received = b""
    stream = platform.call("/stream/x", "q1", headers={"Token-Count": "5000,100"})
    platform.network.run(0.5)
    platform.vms["vm1"].stop()
    assert not platform.is_ready()
    late = platform.call("/unsafe/x", "q2", body=b"x")
    kept.send(make_request("/safe/x", "q3"))
    assert platform.finish(late).status == 200
    assert platform.finish(kept).status == 200
    assert "connection: close" in kept.head.lower()
    assert platform.finish(stream).events == list(range(1, 101))
    platform.network.run_until(lambda: platform.network.stopped, 8.0)


def test_a_planned_stop_takes_nothing_any_more_that_it_may_have_no_time_for() -> None:
    platform = make_platform()
    platform.vms["vm1"].stop()
    platform.network.run(2.95)
    late = platform.call("/stream/x", "late", headers={"Token-Count": "5000,500"})
    platform.finish(late)
    assert late.status == 503
    assert "retry-after" in late.head.lower()
    assert not platform.ledger.runs["late"]


def test_a_planned_stop_ends_within_its_time_and_says_what_it_cuts() -> None:
    platform = make_platform(plain=1)
    platform.upstreams["plain-0"].fault = UpstreamFault.HANG
    caller = platform.call("/unsafe/x", "q1", body=b"x", headers={"Deadline-Ms": "60000"})
    platform.configure(2, [make_route("/unsafe/", "unsafe", PLAIN, timeout_ms=60000)])
    platform.network.run(0.1)
    platform.vms["vm1"].stop()
    platform.vms["vm1"].stop()
    platform.network.run_until(lambda: platform.network.stopped, 8.0)
    assert caller.status == 502


def test_metrics_are_served() -> None:
    platform = make_platform()
    serve(platform, "/safe/x", "q1")
    page = platform.vms["vm1"].tally.render().decode()
    assert 'beamhatch_requests_total{kind="upstream_2xx"} 1.0' in page
    assert "beamhatch_request_seconds_bucket" in page


def test_a_request_can_be_followed_in_the_log() -> None:
    platform = make_platform()
    platform.finish(platform.call("/stream/x", "q1"))
    assert platform.journals["vm1"].list_events("q1") == ["reserved", "sent", "sent", "answered"]
    assert MODEL


@pytest.mark.parametrize("silence", [0.5, 1.0, 2.5, 6.0])
def test_a_watch_that_was_lost_is_not_swallowed_again_by_a_store_that_is_still_silent(silence: float) -> None:
    platform = make_platform()
    vm = platform.vms["vm1"]
    assert vm.leadership is not None
    vm.leadership.stop()  # its frequent calls would show that the store is back
    journal = platform.journals["vm1"]
    platform.store.fault = StoreFault.UNRESPONSIVE
    platform.network.run_until(lambda: any(line["event"] == "lost" for line in journal.lines), 80.0)
    platform.network.run(silence)
    platform.store.fault = StoreFault.NONE
    platform.configure(2, [*ROUTES, NEW_ROUTE])
    platform.network.run(4.0)
    assert get_version(platform, "vm1") == 2

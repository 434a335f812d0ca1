"""Where requests may be served, from a caller's socket to the upstreams, on a paused clock."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from beamhatch.platform.standin.upstream import StandInEngine
from beamhatch.relay.model import ServiceName
from beamhatch.relay.topology import Distance, RegionName, Topology
from beamhatch.relay.workspaces.admission import Admission, Admitted
from tests.support.platform import MODEL, PLAIN, Platform, make_request, make_route, make_workspace

if TYPE_CHECKING:
    from beamhatch.relay.daemon import Daemon

EAST, WEST = RegionName("east"), RegionName("west")
PLACES = Topology({"hall-a": WEST, "hall-b": EAST})
BODY = b"what must not leave the region"

Bound = list[str] | None


def list_routes(bound: Bound) -> list[dict[str, object]]:
    return [
        make_route("/safe/", "safe", PLAIN, target_latency_ms=300, allowed_regions=bound),
        make_route("/unsafe/", "unsafe", PLAIN, target_latency_ms=300, allowed_regions=bound),
        make_route("/stream/", "streaming", MODEL, max_attempts=1, allowed_regions=bound),
        make_route("/resumable/", "streaming", MODEL, resumable=True, allowed_regions=bound),
        make_route("/free/", "streaming", MODEL),
    ]


def make_world(bound: Bound = None, workspaces: list[dict[str, object]] | None = None) -> Platform:
    """Return a platform whose VM is in the west, with upstreams of all kinds there and in the east."""
    platform = Platform()
    platform.configure(1, list_routes(bound), workspaces)
    for name, hall in (("west", "hall-a"), ("east", "hall-b")):
        platform.add_plain(f"plain-{name}", hall=hall)
        platform.add_engine(f"prefill-{name}", "prefill", hall=hall)
        platform.add_engine(f"decode-{name}", "decode", hall=hall)
    platform.add_vm(places=PLACES)
    platform.network.run_until(platform.is_ready)
    return platform


def get_engine(platform: Platform, name: str) -> StandInEngine:
    engine = platform.upstreams[name]
    assert isinstance(engine, StandInEngine)
    return engine


def list_asked(platform: Platform, request: str) -> set[str]:
    """Return the upstreams that a request, or a call about memory for it, was sent to."""
    lines = platform.journals["vm1"].lines
    return {line["to"] for line in lines if line.get("request") == request and "to" in line}


def narrow(platform: Platform, bound: Bound) -> None:
    platform.configure(2, list_routes(bound))
    platform.network.run_until(lambda: platform.vms["vm1"].core.version == 2)


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"])
def test_requests_of_all_kinds_stay_in_the_regions_of_their_route(path: str) -> None:
    platform = make_world(["east"])
    for number in range(6):
        assert platform.finish(platform.call(path, f"q{number}")).status == 200
        assert list_asked(platform, f"q{number}") <= {"plain-east", "prefill-east", "decode-east"}


@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
def test_where_route_and_workspace_have_regions_both_bind(path: str) -> None:
    workspaces = [
        make_workspace("open", "k1"),
        make_workspace("bound", "k2", allowed_regions=["east", "south"]),
        make_workspace("apart", "k3", allowed_regions=["south"]),
    ]
    platform = make_world(["east", "west"], workspaces)
    for key, asked in (("k1", "west"), ("k2", "east")):
        caller = platform.finish(platform.call(path, f"q{key}", headers={"Authorization": f"Bearer {key}"}))
        assert caller.status == 200
        assert {name.rpartition("-")[2] for name in list_asked(platform, f"q{key}")} == {asked}
    caller = platform.finish(platform.call(path, "qk3", headers={"Authorization": "Bearer k3"}))
    assert caller.status == 403
    assert not platform.ledger.arrivals["qk3"]


def test_a_vm_that_may_be_behind_says_not_now_in_place_of_never() -> None:
    platform = make_world(["east"], [make_workspace("apart", "k", allowed_regions=["west"])])
    platform.vms["vm1"].core.admission.may_be_outdated = lambda: True
    caller = platform.finish(platform.call("/safe/x", "q", headers={"Authorization": "Bearer k"}))
    assert caller.status == 503
    assert "Retry-After: 0.3" in caller.head


class CountingAdmission(Admission):
    """Counts the units that are given back."""

    returned = 0

    def refund(self, admitted: Admitted, now: float) -> None:
        self.returned += admitted.cost
        super().refund(admitted, now)


def test_what_the_quota_was_charged_for_a_request_that_may_go_nowhere_is_given_back() -> None:
    workspaces = [make_workspace("apart", "k", rate=400, burst=400, allowed_regions=["west"])]
    platform = make_world(["east"], workspaces)
    core = platform.vms["vm1"].core
    admission = core.admission = CountingAdmission(core.admission.allocator, core.admission.may_be_outdated)
    caller = platform.finish(platform.call("/safe/x", "q", headers={"Authorization": "Bearer k"}))
    assert caller.status == 403
    assert admission.returned == 200


@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
@pytest.mark.parametrize("cause", ["drained", "emptied", "no such region", "no places"])
def test_no_upstream_in_an_allowed_region_is_told_at_once(path: str, cause: str) -> None:
    platform = make_world(["south"] if cause == "no such region" else ["east"])
    core = platform.vms["vm1"].core
    if cause == "drained":
        for kind in ("plain", "prefill", "decode"):
            platform.drain(f"{kind}-east")
    elif cause == "emptied":
        platform.store.put("op/evacuate/hall-b", {})
    elif cause == "no places":
        core.apply_topology(Topology())
    platform.network.run(1.0)
    begun = platform.clock.now()
    caller = platform.finish(platform.call(path, "q"))
    assert caller.status == 503
    assert "Retry-After: 1" in caller.head
    assert platform.clock.now() - begun < 0.1
    assert not list_asked(platform, "q")
    label = "no_hall" if cause.startswith("no ") else "not_now"
    assert core.tally.counts["residency_refusals_total", label] == 1


def test_a_refusal_by_residency_is_logged_with_what_stands_in_the_way() -> None:
    platform = make_world(["east"])
    platform.store.put("op/evacuate/hall-b", {})
    platform.network.run(1.0)
    platform.finish(platform.call("/safe/x", "q"))
    [line] = [line for line in platform.journals["vm1"].lines if line["event"] == "kept in its regions"]
    assert line["request"] == "q"
    assert (line["regions"], line["region"], line["emptied"]) == (["east"], 1, 1)


def test_without_upstreams_there_a_request_does_not_wait_behind_others() -> None:
    platform = make_world(["east"])
    fill_memory(platform, "decode-east", "decode-west")
    waiting = platform.call("/stream/x", "q1")
    platform.network.run(0.05)
    assert "waits" in platform.journals["vm1"].list_events("q1")
    caller = platform.connect()
    for kind in ("prefill", "decode"):
        platform.drain(f"{kind}-east")
    core = platform.vms["vm1"].core
    platform.network.run_until(lambda: not core.list_usable(ServiceName(MODEL), frozenset({EAST})))
    assert "given up" not in platform.journals["vm1"].list_events("q1")
    caller.send(make_request("/stream/x", "q2"))
    begun = platform.clock.now()
    assert platform.finish(caller).status == 503
    assert platform.clock.now() - begun < 0.011
    assert "kept in its regions" in platform.journals["vm1"].list_events("q2")
    assert platform.finish(waiting).status == 503


def fill_memory(platform: Platform, *names: str) -> None:
    for name in names:
        get_engine(platform, name).reserved_tokens["filled"] = 60_000


def test_who_may_run_elsewhere_is_not_held_up_by_those_whose_region_is_full() -> None:
    platform = make_world(["east"])
    fill_memory(platform, "decode-east")
    waiting = platform.call("/stream/x", "q1")
    platform.network.run(0.05)
    assert "waits" in platform.journals["vm1"].list_events("q1")
    free = platform.call("/free/x", "q2", headers={"Token-Count": "5000,10", "Prompt-Prefix": "aa:200,q2:4800"})
    assert platform.finish(free).status == 200
    assert "waits" not in platform.journals["vm1"].list_events("q2")
    get_engine(platform, "decode-east").reserved_tokens.clear()
    assert platform.finish(waiting).status == 200


def test_memory_that_comes_free_counts_in_the_lines_that_may_use_it() -> None:
    platform = make_world()
    core, service = platform.vms["vm1"].core, ServiceName(MODEL)
    lines = [core.memory_queues.get(service, bound) for bound in (None, frozenset({EAST}), frozenset({WEST}))]
    core.memory_queues.record_freed(service, "hall-b")
    assert [line.compute_freed_rate(platform.clock.now()) > 0 for line in lines] == [True, True, False]


def test_who_waits_takes_narrower_regions_at_once() -> None:
    platform = make_world()
    fill_memory(platform, "decode-west", "decode-east")
    caller = platform.call("/stream/x", "q")
    platform.network.run(0.1)
    narrow(platform, ["east"])
    get_engine(platform, "decode-west").reserved_tokens.clear()
    platform.network.run(0.5)
    assert not caller.received
    get_engine(platform, "decode-east").reserved_tokens.clear()
    assert platform.finish(caller).status == 200
    lines = platform.journals["vm1"].lines
    changed = next(number for number, line in enumerate(lines) if line["event"] == "regions changed")
    assert {line["to"] for line in lines[changed:] if "to" in line} == {"prefill-east", "decode-east"}


def test_who_waits_for_a_region_that_has_no_upstreams_is_told_at_once() -> None:
    platform = make_world()
    fill_memory(platform, "decode-west", "decode-east")
    caller = platform.call("/stream/x", "q")
    platform.network.run(0.1)
    narrow(platform, ["south"])
    begun = platform.clock.now()
    assert platform.finish(caller).status == 503
    assert platform.clock.now() - begun < 0.011


def test_who_asks_for_memory_as_its_regions_change_is_told_late() -> None:
    platform = make_world()
    fill_memory(platform, "decode-west", "decode-east")
    platform.network.find_delay = lambda here, there: 0.02 if "decode" in here + there else 0.001
    caller = platform.call("/stream/x", "q")
    narrow(platform, ["south"])
    narrowed = platform.clock.now()
    assert platform.finish(caller).status == 503
    assert platform.clock.now() - narrowed < 0.07  # connecting, asking and the answer take 0.02 s each


def test_a_running_stream_ends_in_place() -> None:
    platform = make_world()
    caller = platform.call("/stream/x", "q", headers={"Token-Count": "5000,40"})
    platform.network.run_until(lambda: b"id: 3" in caller.received)
    assert platform.ledger.runs["q"] == 1
    narrow(platform, ["east"])
    assert len(platform.finish(caller).events) == 40
    assert list_asked(platform, "q") == {"prefill-west", "decode-west"}


def test_a_stream_that_breaks_is_taken_up_in_the_regions_that_hold_by_then() -> None:
    platform = make_world()
    caller = platform.call("/resumable/x", "q", headers={"Token-Count": "5000,40"})
    platform.network.run_until(lambda: b"id: 3" in caller.received)
    narrow(platform, ["east"])
    get_engine(platform, "decode-west").cut_after = 8
    assert platform.finish(caller).events == list(range(1, 41))
    assert list_asked(platform, "q") == {"prefill-west", "decode-west", "prefill-east", "decode-east"}


def test_memory_and_kv_caches_that_are_held_elsewhere_are_given_back() -> None:
    platform = make_world()
    get_engine(platform, "prefill-west").prefill_rate = 10_000.0
    caller = platform.call("/stream/x", "q")
    held = get_engine(platform, "decode-west").reserved_tokens
    platform.network.run_until(lambda: held)
    platform.network.run(0.1)
    narrow(platform, ["east"])
    platform.network.run(0.01)
    assert not held
    assert platform.finish(caller).status == 200
    assert platform.ledger.runs["q"] == 1
    assert "decode-east" in list_asked(platform, "q")
    assert not platform.ledger.handles


def test_memory_that_is_granted_behind_the_change_is_given_back() -> None:
    platform = make_world()
    west = get_engine(platform, "decode-west")
    west.reservation_delay_s = 0.1
    caller = platform.call("/stream/x", "q")
    platform.network.run_until(lambda: west.reserved_tokens)
    narrow(platform, ["east"])
    assert west.reserved_tokens
    assert platform.finish(caller).status == 200
    assert not west.reserved_tokens
    assert not [line for line in platform.journals["vm1"].lines if line["event"] == "sent" and "west" in line["to"]]


WIDER = {
    "shorter-left": [make_route("/stream/", "streaming", MODEL, max_attempts=1)],
    "same-prefix": [make_route("/stream/x/", "streaming", MODEL, max_attempts=1)],
    "longer-above": [
        make_route("/stream/x/", "streaming", MODEL, max_attempts=1, allowed_regions=["east"]),
        make_route("/stream/x/y/", "streaming", MODEL, max_attempts=1),
    ],
}


@pytest.mark.parametrize("change", WIDER)
def test_a_request_that_waits_leaves_its_regions_as_its_path_gets_a_route_with_more(change: str) -> None:
    platform = make_world()
    narrow_route = make_route("/stream/x/", "streaming", MODEL, max_attempts=1, allowed_regions=["east"])
    platform.configure(2, [narrow_route])
    platform.network.run(0.5)
    fill_memory(platform, "decode-east")
    caller = platform.call("/stream/x/y/z", "q")
    platform.network.run(0.1)
    platform.configure(3, WIDER[change])
    platform.network.run(0.5)
    assert not caller.received
    get_engine(platform, "decode-east").reserved_tokens.clear()
    assert platform.finish(caller).status == 200
    assert list_asked(platform, "q") == {"prefill-east", "decode-east"}


def test_a_workspace_that_is_gone_from_the_configuration_keeps_its_bounds() -> None:
    platform = make_world(None, [make_workspace("bound", "k", allowed_regions=["east"])])
    fill_memory(platform, "decode-east")
    caller = platform.call("/stream/x", "q", headers={"Authorization": "Bearer k"})
    platform.network.run(0.1)
    platform.configure(2, list_routes(None), [make_workspace("other", "k2")])
    platform.network.run(0.5)
    assert not caller.received
    get_engine(platform, "decode-east").reserved_tokens.clear()
    assert platform.finish(caller).status == 200
    assert list_asked(platform, "q") == {"prefill-east", "decode-east"}


@pytest.mark.parametrize("path", ["/unsafe/x", "/stream/x"])
def test_no_body_goes_through_another_vm(path: str) -> None:
    platform = make_world(["east"])
    for number, hall in ((2, "hall-b"), (3, "hall-a")):
        platform.add_vm(f"vm{number}", seeds=["vm1:8002"], hall=hall, places=PLACES)
        platform.network.run_until(lambda: platform.is_ready(f"vm{number}"))  # noqa: B023
    received = record_deliveries(platform)
    fill_memory(platform, "decode-east")
    caller = platform.call(path, "q", body=BODY)
    platform.network.run(0.3)
    get_engine(platform, "decode-east").reserved_tokens.clear()
    assert platform.finish(caller).status == 200
    hosts = {host for host, data in received if BODY in data}
    assert hosts - {"vm1"} <= {"host-plain-east", "host-prefill-east", "host-decode-east"}
    assert {host for host, _ in received} >= {"vm2", "vm3"}


def record_deliveries(platform: Platform) -> list[tuple[str, bytes]]:
    """Return a list to which each host is added with whatever it is sent from now on."""
    received: list[tuple[str, bytes]] = []
    deliver = platform.network.deliver

    def note(sender: object, kind: str, value: object) -> None:
        if isinstance(value, bytes):
            received.append((sender.peer_host, value))  # type: ignore[attr-defined]
        deliver(sender, kind, value)  # type: ignore[arg-type]

    platform.network.deliver = note  # type: ignore[method-assign]
    return received


@pytest.mark.parametrize("bound", [None, []])
def test_no_list_and_an_empty_one_leave_all_regions(bound: Bound) -> None:
    platform = make_world(bound)
    for kind in ("plain", "prefill", "decode"):
        platform.drain(f"{kind}-west")
    platform.network.run(0.5)
    assert platform.finish(platform.call("/safe/x", "q1")).status == 200
    assert platform.finish(platform.call("/stream/x", "q2")).status == 200
    told = [line for line in platform.journals["vm1"].lines if line["event"] == "empty list of regions taken as none"]
    assert len(told) == (bound == [])


def test_an_unknown_region_beside_a_known_one_is_passed_over_and_logged() -> None:
    platform = make_world(["east", "south"])
    assert platform.finish(platform.call("/safe/x", "q")).status == 200
    [line] = [line for line in platform.journals["vm1"].lines if line["event"] == "regions without halls"]
    assert line["regions"] == ["south"]


def test_a_hall_that_the_settings_do_not_place_is_in_no_region() -> None:
    platform = make_world(["", "east"])
    platform.add_plain("plain-nowhere", hall="hall-z")
    platform.drain("plain-east")
    platform.network.run(0.5)
    assert platform.finish(platform.call("/safe/x", "q")).status == 503


def reload(daemon: Daemon, places: Topology) -> None:
    daemon.reload(replace(daemon.settings, topology=places))


def test_a_reload_places_halls_anew() -> None:
    platform = make_world(["south"])
    assert platform.finish(platform.call("/safe/x", "q1")).status == 503
    reload(platform.vms["vm1"], Topology({"hall-a": WEST, "hall-b": RegionName("south")}))
    assert platform.finish(platform.call("/safe/x", "q2")).status == 200
    assert list_asked(platform, "q2") == {"plain-east"}
    assert platform.vms["vm1"].core.chooser.distances.get_distance("hall-b") is Distance.OTHER_REGION
    reload(platform.vms["vm1"], Topology({"hall-a": WEST, "hall-b": WEST}))
    assert platform.vms["vm1"].core.chooser.distances.get_distance("hall-b") is Distance.SAME_REGION


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"])
def test_a_body_goes_through_a_vm_outside_its_regions_as_links_are_lost(path: str) -> None:
    """The VM in the west lost its links, its only peer is in the east, and the route allows the west alone."""
    platform = Platform(names_hosts=True)
    platform.configure(1, list_routes(["west"]))
    for name, hall in (("west", "hall-a"), ("east", "hall-b")):
        platform.add_plain(f"plain-{name}", hall=hall)
        platform.add_engine(f"prefill-{name}", "prefill", hall=hall)
        platform.add_engine(f"decode-{name}", "decode", hall=hall)
    platform.add_vm(places=PLACES, seeds=["vm2:8002"])
    platform.add_vm("vm2", seeds=["vm1:8002"], hall="hall-b", places=PLACES)
    platform.network.run(6.0)
    for name in platform.upstreams:
        platform.network.refuse_between("vm1", f"host-{name}")
    received = record_deliveries(platform)
    for number in range(12):
        platform.finish(platform.call(path, f"q{number}", body=BODY))
        platform.network.run(0.3)
    assert {host for host, data in received if BODY in data} <= {
        "vm1",
        *(f"host-{name}" for name in platform.upstreams if name.endswith("west")),
    }
    terms = {"Token-Count": "5000,10", "Prompt-Prefix": "aa:200,bb:4800"}
    free = [platform.finish(platform.call("/free/x", f"f{number}", headers=terms)) for number in range(4)]
    assert [caller.status for caller in free] == [200] * 4

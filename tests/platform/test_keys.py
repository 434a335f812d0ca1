"""Workspaces and their keys, as callers, upstreams and whoever reads the logs see them."""

from __future__ import annotations

import json

import pytest

from beamhatch.platform.standin.store import StoreFault
from beamhatch.platform.standin.upstream import UpstreamFault
from tests.support.platform import (
    PLAIN,
    ROUTES,
    Platform,
    make_configuration,
    make_platform,
    make_request,
    make_route,
    make_workspace,
)

KEY = "asnmgkcuyj8pjbvk9m68"
OTHER_KEY = "k7b2ex5wa5xwyhks8nbk"
NEW_KEY = "q4zzv1cwd0mhhs77p2xa"
WORKSPACES = [make_workspace("desk", KEY), make_workspace("back", OTHER_KEY)]
PUBLIC = make_route("/open/", "safe", PLAIN, public=True)


def bear(key: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {key}"}


def make_keyed_platform(vms: int = 1) -> Platform:
    platform = make_platform()
    platform.configure(2, [*ROUTES, PUBLIC], WORKSPACES)
    for number in range(2, vms + 1):
        platform.add_vm(f"vm{number}", ["vm1:8002"])
    platform.network.run(3.0)
    assert {vm.core.version for vm in platform.vms.values()} == {2}
    return platform


def ask(platform: Platform, path: str, request: str, headers: dict[str, str], vm: str = "vm1") -> int:
    return platform.finish(platform.call(path, request, vm=vm, headers=headers)).status


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"])
def test_the_upstream_is_told_the_workspace_and_not_the_key(path: str) -> None:
    platform = make_keyed_platform()
    assert ask(platform, path, "q1", {**bear(KEY), "Tenant": "back"}) == 200
    seen = platform.ledger.headers["q1"]
    assert seen["tenant"] == "desk"
    assert "authorization" not in seen


def test_each_key_is_of_its_own_workspace() -> None:
    platform = make_keyed_platform()
    assert ask(platform, "/safe/x", "q1", bear(OTHER_KEY)) == 200
    assert platform.ledger.headers["q1"]["tenant"] == "back"


@pytest.mark.parametrize(
    "value",
    [
        "",
        "Bearer",
        "Bearer ",
        f"Basic {KEY}",
        KEY,
        "Bearer unknown",
        f"Bearer {KEY}x",
        "Bearer \xe9\xff",
        "Bearer " + "x" * 12_000,
    ],
)
def test_a_request_without_a_known_key_is_answered_401_and_reaches_nobody(value: str) -> None:
    platform = make_keyed_platform()
    caller = platform.connect()
    caller.send(make_request("/safe/x", "q1", headers={"Authorization": value}).decode().encode("latin-1"))
    assert platform.finish(caller).status == 401
    assert ask(platform, "/safe/x", "q2", {}) == 401
    assert not platform.ledger.arrivals


def test_a_request_with_two_keys_is_answered_401_and_reaches_nobody() -> None:
    platform = make_keyed_platform()
    caller = platform.connect()
    text = make_request("/safe/x", "q1", headers=bear(KEY))
    caller.send(text.replace(b"\r\n\r\n", f"\r\nAuthorization: Bearer {OTHER_KEY}\r\n\r\n".encode()))
    assert platform.finish(caller).status == 401
    assert not platform.ledger.arrivals


def test_a_connection_goes_on_behind_a_wrong_key() -> None:
    platform = make_keyed_platform()
    caller = platform.connect()
    caller.send(make_request("/safe/x", "q1", headers=bear("unknown")))
    platform.network.run(0.2)
    caller.send(make_request("/safe/x", "q2", headers=bear(KEY)))
    platform.network.run(1.0)
    assert caller.received.count(b"HTTP/1.1 401") == 1
    assert caller.received.count(b"HTTP/1.1 200") == 1


def test_a_public_route_needs_no_key_and_hands_none_on() -> None:
    platform = make_keyed_platform()
    assert ask(platform, "/open/x", "q1", {}) == 200
    assert ask(platform, "/open/x", "q2", {**bear("unknown"), "Tenant": "back"}) == 200
    assert ask(platform, "/open/x", "q3", bear(KEY)) == 200
    seen = platform.ledger.headers
    assert [seen[request].get("tenant") for request in ("q1", "q2", "q3")] == [None, None, "desk"]
    assert not any("authorization" in headers for headers in seen.values())


def test_without_workspaces_the_header_is_the_upstreams_business() -> None:
    platform = make_platform()
    assert ask(platform, "/safe/x", "q1", bear(KEY)) == 200
    assert platform.ledger.headers["q1"]["authorization"] == f"Bearer {KEY}"


def test_a_withdrawn_key_is_refused_by_all_vms_at_once_and_a_stream_under_way_ends_whole() -> None:
    platform = make_keyed_platform(6)
    caller = platform.call("/stream/x", "q1", headers=bear(KEY))
    platform.network.run_until(lambda: b"id: 1" in caller.received)
    platform.configure(3, ROUTES, [make_workspace("desk", NEW_KEY), WORKSPACES[1]])
    platform.network.run(0.3)
    for number, vm in enumerate(platform.vms):
        assert ask(platform, "/safe/x", f"old-{number}", bear(KEY), vm) == 401
        assert ask(platform, "/safe/x", f"new-{number}", bear(NEW_KEY), vm) == 200
    assert platform.finish(caller).whole
    assert caller.events == list(range(1, 11))


def test_vms_that_hear_nothing_from_the_store_learn_of_a_withdrawal_from_peers() -> None:
    platform = make_keyed_platform(6)
    watching = [vm for vm in platform.vms.values() if vm._gossip is not None and vm._gossip.should_watch_store()]
    assert len(watching) == 2
    for watcher in watching[0]._watchers:
        watcher.stop()
    platform.configure(3, ROUTES, [make_workspace("desk"), WORKSPACES[1]])
    platform.network.run(1.0)
    for number, vm in enumerate(platform.vms):
        assert ask(platform, "/safe/x", f"old-{number}", bear(KEY), vm) == 401


def test_a_workspace_that_lost_all_keys_gets_one_back() -> None:
    platform = make_keyed_platform()
    platform.configure(3, ROUTES, [make_workspace("desk"), WORKSPACES[1]])
    platform.network.run(0.3)
    assert ask(platform, "/safe/x", "q1", bear(KEY)) == 401
    platform.configure(4, ROUTES, WORKSPACES)
    platform.network.run(0.3)
    assert ask(platform, "/safe/x", "q2", bear(KEY)) == 200


def test_a_vm_that_can_not_tell_whether_it_is_up_to_date_sends_an_unknown_key_elsewhere() -> None:
    platform = make_keyed_platform()
    platform.store.fault = StoreFault.UNAVAILABLE
    platform.store.discard_history()
    platform.network.run(2.0)
    caller = platform.finish(platform.call("/safe/x", "q1", headers=bear(NEW_KEY)))
    assert caller.status == 503
    assert "Retry-After" in caller.head
    assert ask(platform, "/safe/x", "q2", bear(KEY)) == 200
    assert ask(platform, "/safe/x", "q3", {}) == 401


def test_a_vm_that_lacks_what_a_peer_has_sends_an_unknown_key_elsewhere() -> None:
    platform = make_keyed_platform(2)
    gossip = platform.vms["vm2"]._gossip
    assert gossip is not None
    gossip.newest_version = 3
    assert ask(platform, "/safe/x", "q1", bear(NEW_KEY), "vm2") == 503
    assert ask(platform, "/safe/x", "q2", bear(NEW_KEY), "vm1") == 401


def test_no_key_is_written_anywhere() -> None:
    platform = make_keyed_platform(3)
    for number, key in enumerate([KEY, OTHER_KEY, NEW_KEY, "unknown-key-of-somebody"]):
        ask(platform, "/stream/x", f"s{number}", bear(key))
        ask(platform, "/safe/x", f"p{number}", bear(key))
    broken = make_configuration(3, ROUTES, [make_workspace("desk", KEY, rate="much")])  # type: ignore[arg-type]
    platform.store.put("op/config", broken)
    platform.network.run(1.0)
    written = json.dumps([journal.lines for journal in platform.journals.values()], default=repr)
    figures = b"".join(vm.tally.render() for vm in platform.vms.values()).decode()
    state = repr([vm.core.table for vm in platform.vms.values()])
    for key in [KEY, OTHER_KEY, NEW_KEY, "unknown-key-of-somebody"]:
        assert key not in written + figures + state
    assert "unreadable" in written


def test_a_spent_quota_is_answered_429_with_a_time_and_written_down() -> None:
    platform = make_platform()
    platform.configure(2, ROUTES, [make_workspace("desk", KEY, rate=500, burst=500), WORKSPACES[1]])
    platform.network.run(2.0)
    for number in range(60):
        platform.call("/safe/x", f"q{number}", headers=bear(KEY))
        platform.network.run(0.1)
    callers = {f"last-{number}": platform.call("/safe/x", f"last-{number}", headers=bear(KEY)) for number in range(6)}
    refused = [request for request, caller in callers.items() if platform.finish(caller).status == 429]
    assert len(refused) >= 3
    assert all("Retry-After" in callers[request].head for request in refused)
    assert not any(platform.ledger.arrivals[request] for request in refused)
    assert ask(platform, "/safe/x", "other", bear(OTHER_KEY)) == 200
    limited = [line for line in platform.journals["vm1"].lines if line["event"] == "limited"]
    assert limited
    assert limited[0]["workspace"] == "desk"
    assert limited[0]["asked"] > limited[0]["pace"]
    platform.network.run(20.0)
    assert [line["event"] for line in platform.journals["vm1"].lines if line["part"] == "QUOTA"][-1] == "free"


def test_a_request_that_no_upstream_ran_costs_no_quota() -> None:
    platform = make_platform(plain=1)
    platform.configure(2, ROUTES, [make_workspace("desk", KEY, rate=500, burst=500)])
    platform.network.run(2.0)
    platform.upstreams["plain-0"].fault = UpstreamFault.SHED
    for number in range(60):
        assert ask(platform, "/safe/x", f"q{number}", bear(KEY)) == 503
    platform.upstreams["plain-0"].fault = UpstreamFault.NONE
    assert ask(platform, "/safe/x", "last", bear(KEY)) == 200

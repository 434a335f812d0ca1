"""Tests of decoding the platform's documents."""

from __future__ import annotations

import json

import pytest

from beamhatch.platform.documents import PlatformDocuments
from beamhatch.relay.model import ServiceName, UpstreamId
from beamhatch.relay.upstreams.listing import Entry
from tests.support.network import Network, PausedClock
from tests.support.platform import MODEL, PLAIN, MemoryJournal, make_configuration, make_platform, make_route


def test_the_priority_of_a_route_is_read() -> None:
    routes = [make_route("/stream/", "streaming", MODEL, priority=3)]
    documents = PlatformDocuments(MemoryJournal(PausedClock(Network())))
    table = documents.read_configuration(json.dumps(make_configuration(1, routes)).encode())
    assert table is not None
    assert [route.priority for route in table.routes] == [3]


ENTRY = {
    "service": PLAIN,
    "address": "10.0.0.1:80",
    "zone": "hall-a",
    "version": "v1",
    "capacity": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 1_900_000_000_000,
}
REQUIRED = ["service", "address", "zone", "version", "capacity", "state", "cold_remaining_ms", "sequence"]
UPSTREAM = UpstreamId("i-1")


def read(raw: bytes) -> Entry:
    return PlatformDocuments(MemoryJournal(PausedClock(Network()))).read_entry(UPSTREAM, 7, raw)


def test_an_entry_is_read_with_its_start_time() -> None:
    entry = read(json.dumps(ENTRY).encode())
    assert entry.upstream is not None
    assert entry.upstream.born == 1_900_000_000_000
    assert entry.readable
    without_start = {name: value for name, value in ENTRY.items() if name != "born"}
    entry_without_start = read(json.dumps(without_start).encode())
    assert entry_without_start.upstream is not None
    assert entry_without_start.upstream.born == 0


@pytest.mark.parametrize("name", REQUIRED)
def test_an_entry_without_a_required_field_is_invalid(name: str) -> None:
    entry = read(json.dumps({field: value for field, value in ENTRY.items() if field != name}).encode())
    assert entry == Entry(UPSTREAM, 7, None, readable=False)


@pytest.mark.parametrize("name", [*REQUIRED, "born"])
@pytest.mark.parametrize("value", [None, True, [], {}, 1.5, "x", -3])
def test_an_entry_with_a_field_of_a_wrong_type_is_invalid(name: str, value: object) -> None:
    fitting = {"cold_remaining_ms": (1.5, -3), "service": ("x",), "zone": ("x",), "version": ("x",)}
    if value in fitting.get(name, ()) and not isinstance(value, bool):
        return
    assert not read(json.dumps({**ENTRY, name: value}).encode()).readable


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "resting"},
        {"address": "not a host:80"},
        {"address": "10.0.0.256:80"},
        {"address": "10.0.0:80"},
        {"address": "-host:80"},
        {"address": "host..hall:80"},
        {"address": "host/path:80"},
        {"address": "http://host:80"},
        {"address": "a" * 64 + ":80"},
        {"address": "a." * 127 + "ab:80"},
        {"address": "host:" + "9" * 5000},
        {"capacity": 65_536},
        {"sequence": 2**53},
        {"born": 2**53},
        {"service": "s" * 201},
        {"zone": "z" * 201},
        {"version": "v" * 201},
        {"phase": "dreaming"},
        {"address": "10.0.0.1"},
        {"address": ":80"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:-1"},
        {"service": ""},
        {"capacity": 0},
        {"cold_remaining_ms": 1e300},
    ],
)
def test_an_entry_with_a_value_out_of_range_is_invalid(changes: dict[str, object]) -> None:
    assert not read(json.dumps({**ENTRY, **changes}).encode()).readable


@pytest.mark.parametrize("raw", [b"", b"\x00\xff\xfe", b"null", b"[]", b"7", b'"x"', b"{", b"{}", b"[" * 10_000])
def test_bytes_that_are_not_an_entry_are_invalid(raw: bytes) -> None:
    assert not read(raw).readable


def test_invalid_entries_do_not_affect_valid_ones() -> None:
    platform = make_platform(plain=2)
    for number, raw in enumerate([b"", b"\xff\xfe\x00", b"{}", json.dumps({**ENTRY, "state": "?"}).encode()]):
        platform.store.put(f"servers/other-{number}", raw)
    platform.store.put("servers/", b"x")
    platform.store.put("servers/plain-1", b"\xff")
    platform.network.run(0.5)
    platform.add_vm("vm2", ["vm1:8002"], "hall-b")
    platform.network.run(3.0)
    for name, vm in platform.vms.items():
        assert [one.id for one in vm.core.list_usable(ServiceName(PLAIN))] == ["plain-0"], name
        assert platform.finish(platform.call("/safe/x", f"q-{name}", vm=name)).status == 200
    platform.list_again("plain-1")
    platform.network.run(0.5)
    assert len(platform.vms["vm2"].core.list_usable(ServiceName(PLAIN))) == 2


def test_no_upstream_is_used_if_all_entries_are_invalid() -> None:
    platform = make_platform(plain=2)
    for number in range(2):
        platform.store.put(f"servers/plain-{number}", b"{}")
    platform.network.run(0.3)
    assert platform.finish(platform.call("/safe/x", "q1")).status == 503
    assert not platform.ledger.arrivals


@pytest.mark.parametrize("host", ["10.0.0.1", "host-1", "a.hall-2.example", "::1", "1host"])
def test_an_entry_names_its_host_by_address_or_name(host: str) -> None:
    entry = read(json.dumps({**ENTRY, "address": f"{host}:80"}).encode())
    assert entry.upstream is not None
    assert entry.upstream.address.host == host

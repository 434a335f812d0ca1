"""Responses whose upstream stops in the middle of the head or the body, and goes on otherwise."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from beamhatch.platform.dialect import PlatformDialect
from beamhatch.platform.store_client import ChangeResponse, EventsResponse, LeaseResponse, RangeResponse, decode
from beamhatch.relay.requests.response import BufferedResponse
from beamhatch.relay.store_results import StoreUnavailable
from beamhatch.relay.upstreams.call import ResponseHead
from tests.support.cuts import Cut, Cutter
from tests.support.platform import find_answering, make_platform
from tests.support.reach_fleet import Loss, ReachFleet

if TYPE_CHECKING:
    import msgspec

    from tests.support.platform import Caller, Platform

PATHS = ("/safe/", "/unsafe/", "/stream/", "/resumable/")
NOT_RUN_STATUSES = (408, 421, 429, 503)
EVENTS = 10
MAX_HEAD_BYTES = 120
"""Upper bound of the heads of the upstreams' responses."""


def call_cut(platform: Platform, path: str, cutter: Cutter, vm: str, *, unframed: bool) -> Caller:
    """Send a request to upstreams of which each stops in its response."""
    for name, upstream in platform.upstreams.items():
        if name.startswith(find_answering(path)):
            upstream.unframed = unframed
            cutter.apply_to(upstream)
    caller = platform.call(f"{path}{cutter.limit}", f"q{cutter.limit}", vm=vm, body=b"x" if "unsafe" in path else b"")
    return platform.finish(caller)


def is_whole(caller: Caller, path: str, limit: int) -> bool:
    """Return whether a caller has the whole response."""
    if path in ("/safe/", "/unsafe/"):
        return caller.body.endswith(f" q{limit}".encode())
    return caller.events == list(range(1, EVENTS + 1))


def assert_not_passed_off(platform: Platform, caller: Caller, path: str, cutter: Cutter) -> None:
    """Check that a response that was cut off does not look complete, and that nothing ran that was refused."""
    assert cutter.cuts
    if caller.status == 200 and caller.whole:
        assert is_whole(caller, path, cutter.limit)
    if caller.status in NOT_RUN_STATUSES:
        assert not platform.ledger.runs[f"q{cutter.limit}"]


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("how", Cut)
@pytest.mark.parametrize("limit", [*range(1, MAX_HEAD_BYTES, 6), *range(MAX_HEAD_BYTES, 420, 25)])
def test_a_response_that_was_cut_off_is_passed_on_as_whole(path: str, how: Cut, limit: int) -> None:
    platform = make_platform()
    cutter = Cutter(how, limit)
    caller = call_cut(platform, path, cutter, "vm1", unframed=False)
    if cutter.cuts:
        assert_not_passed_off(platform, caller, path, cutter)
    else:
        assert is_whole(caller, path, limit)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("how", Cut)
@pytest.mark.parametrize("limit", range(1, MAX_HEAD_BYTES))
def test_a_response_without_framing_that_was_cut_before_its_body_is_passed_on(path: str, how: Cut, limit: int) -> None:
    platform = make_platform()
    cutter = Cutter(how, limit)
    caller = call_cut(platform, path, cutter, "vm1", unframed=True)
    if caller.status == 200 and caller.whole and not is_whole(caller, path, limit):
        assert how is Cut.CLOSE  # which marks the end of such a body
        assert path in ("/safe/", "/unsafe/")
        assert caller.body
    if caller.status in NOT_RUN_STATUSES:
        assert not platform.ledger.runs[f"q{limit}"]


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("limit", range(1, 90, 20))
@pytest.mark.parametrize("unframed", [False, True])
def test_a_response_that_was_cut_in_its_head_behind_a_peer_is_passed_on(path: str, limit: int, unframed: bool) -> None:
    fleet = ReachFleet(size=3, per_hall=1)
    fleet.run(1.0)
    fleet.lose(("vm0",), Loss.RESET)
    fleet.run(3.0)
    cutter = Cutter(Cut.CLOSE, limit)
    caller = call_cut(fleet.platform, path, cutter, "vm0", unframed=unframed)
    assert_not_passed_off(fleet.platform, caller, path, cutter)


@pytest.mark.parametrize(
    ("text", "wanted"),
    [
        (b'{"revision": 12}', ChangeResponse),
        (b'{"lease": 12}', LeaseResponse),
        (b'{"items": [], "more": false, "at": 12}', RangeResponse),
        (b'{"events": [], "at": 12}', EventsResponse),
    ],
)
def test_a_part_of_an_answer_of_the_store_is_taken_for_a_whole_one(text: bytes, wanted: type[msgspec.Struct]) -> None:
    head = ResponseHead(200, [])
    assert isinstance(decode(BufferedResponse(head, text), wanted), wanted)
    for length in range(len(text)):
        assert isinstance(decode(BufferedResponse(head, text[:length]), wanted), StoreUnavailable)


def test_a_part_of_a_handle_or_a_grant_is_taken_for_a_whole_one() -> None:
    dialect = PlatformDialect()
    handle, grant = b'{"kv_handle": "k12"}', b'{"hold": 12}'
    assert dialect.read_handle(handle) == "k12"
    assert dialect.read_reservation(grant) == "12"
    assert not [length for length in range(len(handle)) if dialect.read_handle(handle[:length]) is not None]
    assert not [length for length in range(len(grant)) if dialect.read_reservation(grant[:length]) is not None]

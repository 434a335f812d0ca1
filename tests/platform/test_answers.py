"""Each request that a VM has read gets an answer."""

from __future__ import annotations

import pytest

from beamhatch.platform.standin.upstream import StandInEngine
from beamhatch.relay.retries.budget import RetryBudgetLimits
from tests.support.platform import make_platform, make_request


def test_a_header_value_beyond_ascii_is_passed_on() -> None:
    platform = make_platform()
    caller = platform.connect()
    request = make_request("/safe/x", "q1", headers={"X-City": "CITY"})
    caller.send(request.replace(b"CITY", "Córdoba".encode()))
    assert platform.finish(caller).status == 200
    assert platform.ledger.headers["q1"]["x-city"].encode("latin-1") == "Córdoba".encode()


def test_an_error_answer_to_head_has_no_body() -> None:
    platform = make_platform()
    caller = platform.connect()
    for number in range(2):
        caller.received = b""
        caller.send(make_request("/nothing/", f"q{number}").replace(b"GET", b"HEAD"))
        platform.network.run(0.1)
        assert caller.status == 404
        assert "content-length" in caller.head.lower()
        assert not caller.body
    assert not caller.closed


@pytest.mark.parametrize("left_ms", [200, 79, 60, 40])
def test_a_stream_that_comes_near_its_deadline_is_answered_though_upstreams_announce_limits(left_ms: int) -> None:
    platform = make_platform()
    for upstream in platform.upstreams.values():
        upstream.limit = "300"
    for number in range(4):
        assert platform.finish(platform.call("/stream/x", f"usual-{number}")).status == 200
    caller = platform.call("/stream/x", "q", headers={"Deadline-Ms": str(left_ms)})
    assert platform.finish(caller).status in (200, 503, 504)


@pytest.mark.parametrize("decode", [1, 2], ids=["alone", "budget-spent"])
def test_a_stream_of_a_silent_upstream_is_not_cut_where_no_other_may_take_it(decode: int) -> None:
    platform = make_platform(decode=decode)
    platform.vms["vm1"].core.settings.retry_budget = RetryBudgetLimits(0.0, 0.0 if decode > 1 else 56.0, 10.0)
    for upstream in platform.upstreams.values():
        if isinstance(upstream, StandInEngine):
            upstream.event_interval_s = 1.3
    caller = platform.call("/resumable/x", "q", headers={"Token-Count": "5000,3"})
    assert platform.finish(caller).status == 200
    assert caller.events == [1, 2, 3]
    assert platform.ledger.runs["q"] == 1

"""Each request that a VM has read gets an answer."""

from __future__ import annotations

from tests.support.platform import make_platform, make_request


def test_a_header_value_beyond_ascii_is_passed_on() -> None:
    platform = make_platform()
    caller = platform.connect()
    request = make_request("/safe/x", "q1", headers={"X-City": "CITY"})
    caller.send(request.replace(b"CITY", "Córdoba".encode()))
    assert platform.finish(caller).status == 200
    assert platform.ledger.headers["q1"]["x-city"].encode("latin-1") == "Córdoba".encode()

"""Calls that are awaited, on connections that may have gone silent."""

from __future__ import annotations

from beamhatch.relay.requests.response import BufferedResponse
from beamhatch.relay.upstreams.call import Call
from beamhatch.relay.upstreams.http_client import HttpClient
from beamhatch.relay.upstreams.http_fetch import fetch
from tests.relay.upstreams.test_http_client import ADDRESS, WHOLE, RawFactory, write
from tests.support.network import Network, PausedClock

CALL = Call("GET", "/x", [("Host", "up")])
TIMEOUT_S = 0.7
SILENT = 3
"""Connections that were idle when they went silent."""


def test_one_call_after_the_other_is_lost_on_idle_connections_that_went_silent() -> None:
    network = Network()
    clock = PausedClock(network)
    client = HttpClient(clock)
    network.listenTCP(ADDRESS.port, RawFactory([write(WHOLE)] * (SILENT + 1)), interface=ADDRESS.host)
    for _ in range(SILENT):
        fetch(client, clock, ADDRESS, CALL, TIMEOUT_S)
    network.run(0.1)
    network.silence_connections()
    results: list[BufferedResponse | str] = []
    fetch(client, clock, ADDRESS, CALL, TIMEOUT_S).addCallback(results.append)
    network.run(TIMEOUT_S + 0.1)
    fetch(client, clock, ADDRESS, CALL, TIMEOUT_S).addCallback(results.append)
    network.run(0.1)
    assert [isinstance(result, BufferedResponse) for result in results] == [False, True]

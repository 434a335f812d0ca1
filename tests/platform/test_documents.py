"""What is read of the platform's documents."""

from __future__ import annotations

import json

from beamhatch.platform.documents import PlatformDocuments
from tests.support.network import Network, PausedClock
from tests.support.platform import MODEL, MemoryJournal, make_configuration, make_route


def test_the_priority_of_a_route_is_read() -> None:
    routes = [make_route("/stream/", "streaming", MODEL, priority=3)]
    documents = PlatformDocuments(MemoryJournal(PausedClock(Network())))
    table = documents.read_configuration(json.dumps(make_configuration(1, routes)).encode())
    assert table is not None
    assert [route.priority for route in table.routes] == [3]

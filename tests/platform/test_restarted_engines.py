"""Streams at engines that start again under their ids, at another version, before the listing says so."""

from __future__ import annotations

import pytest

from beamhatch.platform.standin.store import StoreFault
from tests.support.version_fleet import VersionFleet

ENGINES = 3
STREAMS = 24


@pytest.mark.parametrize(
    ("fault", "listed_after_s"),
    [(StoreFault.NONE, 0.5), (StoreFault.UNRESPONSIVE, 0.0)],
    ids=["late-entry", "no-store"],
)
def test_streams_go_on_at_an_engine_that_started_again_at_another_version_before_its_entry_changed(
    fault: StoreFault, listed_after_s: float
) -> None:
    fleet = VersionFleet(3, versions=("v1",), engines=ENGINES)
    fleet.begin_streams(STREAMS, *fleet.list_vms())
    fleet.platform.store.fault = fault
    for engine in fleet.list_decode_engines():
        engine.restart_time_s = 1.0
        engine.crash()
        engine.version = "v2"
        name = engine.instance
        engine.on_restart = lambda name=name: fleet.platform.network.callLater(  # type: ignore[misc]
            listed_after_s, fleet.platform.list_again, name
        )
    fleet.run(4.0)
    fleet.platform.store.fault = StoreFault.NONE
    fleet.finish()
    assert not fleet.list_mixed()

"""Record the open streams of a VM in the store while their service has several versions.

Peers hold the records of streams in memory, which is lost where all VMs end together.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from beamhatch.clock import sleep
from beamhatch.relay.background_task import BackgroundTask
from beamhatch.relay.streams.api import STREAMS_LIFETIME_S

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.streams.api import OpenStreams, StreamStore
    from beamhatch.relay.streams.records import StreamKey

WRITE_INTERVAL_S = 0.25
"""Minimum seconds between two writes; streams that began since the last one are lost with all VMs."""

JITTER_SHARE = 0.2
"""Share of the interval by which a write is delayed at random, so that VMs which started together write apart."""

FLEET_WRITES_PER_S = 40.0
"""Writes per second of all VMs together, a tenth of what the smallest store takes."""

REWRITE_INTERVAL_S = STREAMS_LIFETIME_S / 3
"""Seconds after which streams that are still open are recorded again, before their record expires."""


class OpenStreamWriter(BackgroundTask):
    """Writer of one VM's open streams."""

    def __init__(
        self,
        clock: Clock,
        journal: Journal,
        tally: Tally,
        store: StreamStore,
        list_streams: Callable[[], Sequence[OpenStreams]],
        count_vms: Callable[[], int],
    ) -> None:
        """Create a writer.

        :param list_streams: returns the VM's open streams whose services have several versions
        :param count_vms: returns the number of VMs that write
        """
        super().__init__(clock, restart_delay_s=WRITE_INTERVAL_S)
        self._journal = journal
        self._tally = tally
        self._store = store
        self._list_streams = list_streams
        self._count_vms = count_vms
        self._written: frozenset[StreamKey] = frozenset()
        self._written_at = float("-inf")
        self._generation = 0

    async def run(self) -> None:
        """Write from time to time while there is anything new."""
        while True:
            interval_s = max(WRITE_INTERVAL_S, self._count_vms() / FLEET_WRITES_PER_S)
            await sleep(self.clock, (1 - JITTER_SHARE) * interval_s)
            await self._write_if_needed(JITTER_SHARE * interval_s)

    async def _write_if_needed(self, max_delay_s: float) -> None:
        if not self._is_due(_list_keys(self._list_streams())):
            return
        await sleep(self.clock, random.uniform(0.0, max_delay_s))
        streams = self._list_streams()
        keys = _list_keys(streams)
        self._tally.count("stream_store_writes_total")
        failure = await self._store.write_streams(streams)
        if failure is not None:
            self._tally.count("store_failures_total", "streams")
            self._journal.write("STREAM", "not recorded in the store", streams=len(keys), detail=failure.detail)
            return
        self._written = keys
        self._written_at = self.clock.now()
        self._generation = self._store.generation

    def _is_due(self, keys: frozenset[StreamKey]) -> bool:
        if not keys:
            return False
        is_old = self.clock.now() - self._written_at > REWRITE_INTERVAL_S
        return is_old or not keys <= self._written or self._generation != self._store.generation

    def report_error(self, traceback: str) -> None:
        """Log an error that ended the writer."""
        self._journal.write("STREAM", "writer failed", error=traceback)


def _list_keys(streams: Sequence[OpenStreams]) -> frozenset[StreamKey]:
    return frozenset(key for one in streams for key in one.keys)

"""Follow the platform's VM list: which upstreams are leaving, and which dead entry VMs are no longer counted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import defer

from beamhatch.decide.rendezvous import rank
from beamhatch.edge.peer.message import Hello, VmNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.edge.store.api import VmList
    from beamhatch.task.mesh import Mesh

READERS = 2
"""VMs of a hall that read the list and tell the others."""


class VmWatch:
    """Reads the list where it is this VM's turn, and takes in what the others read."""

    def __init__(
        self,
        clock: Clock,
        mesh: Mesh,
        vm_list: VmList | None,
        period: float,
        mark_leaving: Callable[[set[str]], None],
    ) -> None:
        self._clock = clock
        self._mesh = mesh
        self._list = vm_list
        self._period = period
        self._mark_leaving = mark_leaving
        mesh.handle(VmNews, lambda hello, news: self._take(hello, news))

    def start(self) -> None:
        """Begin to read."""
        if self._list is None:
            return
        if self._mesh.vm in rank("vm-list", self._mesh.members.list_alive())[:READERS]:
            defer.ensureDeferred(self._read(self._list))
        self._clock.call_later(self._period, self.start)

    async def _read(self, vm_list: VmList) -> None:
        lines = await vm_list.read()
        if lines is None:
            return
        leaving = sorted(line.address for line in lines if line.leaving and not line.entry)
        entries = sorted(line.name for line in lines if line.entry and line.hall == self._mesh.hall)
        news = VmNews(leaving, entries)
        self._apply(news)
        for vm in self._mesh.members.list_alive():
            if vm != self._mesh.vm:
                self._mesh.cast(vm, news)

    def _take(self, _: Hello, news: VmNews) -> None:
        self._apply(news)

    def _apply(self, news: VmNews) -> None:
        self._mark_leaving(set(news.leaving))
        if self._mesh.vm not in news.entries:
            return
        for vm in self._mesh.members.list_registered():
            if vm not in news.entries:
                self._mesh.members.drop_dead(vm)

"""The entry VMs of other halls that this VM has a stream to.

They are no members: no death is concluded from them. One that has not answered a probe for a while counts as cut off,
so that what needs it is refused at once instead of waiting.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.ids import HallName, VmName

if TYPE_CHECKING:
    from beamhatch.edge.peer.message import Hello
    from beamhatch.edge.peer.stream import PeerStream

CUT_AFTER = 2.0
"""Seconds without an answer after which a VM of another hall counts as cut off."""


@dataclass(slots=True)
class _Far:
    stream: PeerStream
    hello: Hello
    answered: float


class FarVms:
    """Keeps one stream to each far VM."""

    def __init__(self) -> None:
        self._by_name: dict[VmName, _Far] = {}

    def add(self, stream: PeerStream, hello: Hello, now: float) -> None:
        """Take a stream that was greeted."""
        self._by_name[VmName(hello.vm)] = _Far(stream, hello, now)

    def remove(self, stream: PeerStream) -> None:
        """Drop a stream that is lost."""
        for name in [name for name, far in self._by_name.items() if far.stream is stream]:
            del self._by_name[name]

    def note_answer(self, stream: PeerStream, now: float) -> None:
        """Note that a probe was answered."""
        for far in self._by_name.values():
            if far.stream is stream:
                far.answered = now

    def find(self, vm: VmName) -> PeerStream | None:
        """Return the stream to a VM."""
        far = self._by_name.get(vm)
        return far.stream if far is not None else None

    def find_in(self, hall: HallName, now: float) -> list[VmName]:
        """Return the VMs of a hall that answer."""
        return sorted(
            name for name, far in self._by_name.items() if far.hello.hall == hall and now - far.answered < CUT_AFTER
        )

    def list_all(self) -> list[PeerStream]:
        """Return all streams."""
        return [far.stream for far in self._by_name.values()]

    def list_names(self) -> list[VmName]:
        """Return all VMs."""
        return list(self._by_name)

"""The task that has changes of the configuration accepted, on a paused clock and a platform of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet import defer

from beamhatch.decide.configuration import Change, ChangeNote, Head
from beamhatch.edge.store.api import Found, KeyValue, KvLost, Moved, Swapped
from beamhatch.ids import ChangeId
from beamhatch.observe.metrics import Metrics
from beamhatch.settings.check import digest_document, encode_document
from beamhatch.settings.schema import Workspace
from beamhatch.task.configuring import HEAD_KEY, Accepted, Configuring, Unavailable
from tests.support.network import Network, PausedClock

if TYPE_CHECKING:
    from collections.abc import Callable


class Mesh:
    """No peers."""

    vm = "vm-1"

    def handle(self, *_: Any) -> None:
        """Take no messages."""

    def call_on_change(self, *_: Any) -> None:
        """Tell of no changes."""

    def list_alive(self, *_: Any) -> list[str]:
        """Return nobody."""
        return []

    list_peers = list_hall = list_members = list_alive


class Platform(KeyValue):
    """A key-value service whose first answers about the head are older than what is in force."""

    def __init__(self, head: Head, old: Head, old_answers: int) -> None:
        self.items = {HEAD_KEY: (msgspec.json.encode(head), 2)}
        self.old = msgspec.json.encode(old)
        self.old_answers = old_answers

    async def get(self, key: str) -> Found | KvLost:
        if key == HEAD_KEY and self.old_answers > 0:
            self.old_answers -= 1
            return Found(self.old, 1)
        value, revision = self.items.get(key, (None, 0))
        return Found(value, revision)

    async def put(self, key: str, value: bytes) -> Swapped | KvLost:
        self.items[key] = (value, self.items.get(key, (b"", 0))[1] + 1)
        return Swapped()

    async def swap(self, key: str, revision: int, value: bytes) -> Swapped | Moved | KvLost:
        if self.items.get(key, (b"", 0))[1] != revision:
            return Moved()
        await self.put(key, value)
        return Swapped()

    async def watch(self, key: str, after: int, on_event: Callable[[], None]) -> KvLost:
        return KvLost("no watch")


def change_workspace(old_answers: int) -> object:
    """Have a change accepted by a VM that has in force what the platform's answers do not show yet."""
    network = Network()
    body = encode_document(Workspace(name="a", weight=1))
    note = ChangeNote("c1", 1, "op", 0.0, "", [])
    newer = Head(1, {"workspace/a": digest_document(body)}, [note])
    platform = Platform(newer, Head(), old_answers)
    mesh: Any = Mesh()
    configuring = Configuring(PausedClock(network), mesh, platform, 1.0, Metrics(), lambda _: None)
    configuring.adopt(newer, {digest_document(body): body})
    other = encode_document(Workspace(name="b", weight=2))
    results: list[object] = []
    done = defer.ensureDeferred(configuring.change(Change(ChangeId("c2"), "op", "", {"workspace/b": other})))
    done.addCallback(results.append)
    network.run(6.0)
    return results[0]


def test_an_answer_that_was_overtaken_on_its_way_is_read_again() -> None:
    assert change_workspace(old_answers=1) == Accepted(2)


def test_a_platform_that_goes_on_showing_an_older_configuration_is_unavailable() -> None:
    assert isinstance(change_workspace(old_answers=1000), Unavailable)

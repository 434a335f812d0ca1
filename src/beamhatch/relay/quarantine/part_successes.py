"""Latest use of prompt parts without a crash, on this VM and as reported by peers.

An upstream that crashes because of a part does so soon after it begins to respond, so a run that has responded for
``MIN_RESPONSE_S`` shows that its parts do not crash that version of the software, at least as of when it began.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.model import Fingerprint

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_RESPONSE_S = 1.0
"""Time in seconds for which a run must have responded to count as a success of its parts before it ends."""

MAX_PARTS = 8192
"""Maximum number of parts kept; the ones used least recently are dropped first."""

MAX_VERSIONS = 4
"""Maximum number of software versions kept per part."""


class PartSuccessUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Announcement that a part was used without a crash, so earlier crashes are not attributed to it."""

    part: Fingerprint
    version: str
    """Software version of the upstream."""
    age: float
    """Seconds since the upstream began to respond."""


class PartSuccesses:
    """The latest success of each part, by software version.

    Runs that began before a crash don't count for it, since a part may crash upstreams only from some time on.
    """

    def __init__(self) -> None:
        self._began_at: OrderedDict[Fingerprint, dict[str, float]] = OrderedDict()

    def record(self, part: Fingerprint, version: str, began_at: float) -> bool:
        """Record a success; return whether it is the latest one.

        :param began_at: monotonic seconds at which the upstream began to respond
        """
        by_version = self._began_at.setdefault(part, {})
        self._began_at.move_to_end(part)
        if by_version.get(version, float("-inf")) >= began_at:
            return False
        by_version[version] = began_at
        if len(by_version) > MAX_VERSIONS:
            del by_version[min(by_version, key=lambda one: by_version[one])]
        if len(self._began_at) > MAX_PARTS:
            self._began_at.popitem(last=False)
        return True

    def has_any(self, part: Fingerprint) -> bool:
        """Return whether a part was ever used without a crash."""
        return part in self._began_at

    def has_since(self, part: Fingerprint, version: str, at: float) -> bool:
        """Return whether a success of a part at some version began after a time."""
        return self._began_at.get(part, {}).get(version, float("-inf")) > at

    def list_updates(self, parts: Iterable[Fingerprint], now: float) -> list[PartSuccessUpdate]:
        """Return the successes of some parts as updates for peers."""
        return [
            PartSuccessUpdate(part, version, round(max(0.0, now - began_at), 3))
            for part in parts
            for version, began_at in self._began_at.get(part, {}).items()
        ]

"""Index of crashes by the parts of the prompts that were part of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from beamhatch.relay.model import Fingerprint
    from beamhatch.relay.quarantine.ends import UpstreamCrash


@dataclass(slots=True)
class CrashIndex:
    """The crashes that each part, or service, was part of."""

    repeated: set[Fingerprint] = field(default_factory=set)
    """Parts and services with at least two crashes."""
    _crashes: dict[Fingerprint, list[UpstreamCrash]] = field(default_factory=dict)

    def add(self, crash: UpstreamCrash, parts: Iterable[Fingerprint]) -> None:
        """Add parts that a run of a crash has."""
        for part in parts:
            found = self._crashes.setdefault(part, [])
            if not any(one is crash for one in reversed(found)):
                found.append(crash)
                if len(found) > 1:
                    self.repeated.add(part)

    def discard(self, crash: UpstreamCrash, parts: Iterable[Fingerprint]) -> None:
        """Remove a crash from the entries of some parts."""
        for part in parts:
            left = [one for one in self._crashes.get(part, ()) if one is not crash]
            if left:
                self._crashes[part] = left
            else:
                self._crashes.pop(part, None)
            if len(left) < 2:
                self.repeated.discard(part)

    def get(self, part: Fingerprint) -> Sequence[UpstreamCrash]:
        """Return the crashes of a part."""
        return self._crashes.get(part, ())

    def list_with(self, members: Sequence[Fingerprint]) -> list[UpstreamCrash]:
        """Return the crashes with a run that has all digests of a combination."""
        found = [self._crashes[member] for member in members if member in self._crashes]
        return [crash for crash in min(found, key=len, default=[]) if crash.has_run_with(members)]

"""Digests of the properties of a request that crashes of upstreams may be attributed to."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

from beamhatch.relay.model import Fingerprint, ServiceName

if TYPE_CHECKING:
    from collections.abc import Iterable, Set

    from beamhatch.relay.model import RequestFacts
    from beamhatch.relay.workspaces.workspace import WorkspaceName

DIGEST_BYTES = 8
"""Digest size; 64 bits make a collision with a quarantined digest improbable."""

MAX_PARTS = 256
"""Maximum number of prompt parts considered per request."""

MAX_COMBINED = 4
"""Maximum number of digests in a combination."""

MAX_LOGGED_PARTS = 8
"""Maximum number of prompt parts in one log line."""

CACHE_SIZE = 8192
"""Number of digests of prompt parts that are cached."""


@dataclass(frozen=True, slots=True)
class RequestDigests:
    """Digests of a request and of the properties that it may share with others."""

    request: Fingerprint
    """Digest of the entire request, see ``compute_fingerprint``."""
    service: Fingerprint
    parts: tuple[Fingerprint, ...] = ()
    """Parts of the prompt without the last one, which no other request shares."""
    workspace: Fingerprint | None = None
    """None if requests need no API key."""

    def list_members(self) -> Set[Fingerprint]:
        """Return the digests that fingerprints of quarantines may consist of."""
        own = {self.request, *self.parts}
        return own if self.workspace is None else own | {self.workspace}

    def match(self, fingerprint: Fingerprint) -> bool:
        """Return whether this is the request, or has all properties of the combination, that a fingerprint denotes."""
        return is_combined_of(fingerprint, self.list_members())

    def describe(self) -> dict[str, object]:
        """Return the fields for log lines."""
        fields: dict[str, object] = {"fingerprint": self.request.hex()}
        if self.parts:
            fields["parts"] = [part.hex() for part in self.parts[:MAX_LOGGED_PARTS]]
        return fields


def compute_digests(
    request: Fingerprint, facts: RequestFacts, service: ServiceName, workspace: WorkspaceName | None
) -> RequestDigests:
    """Return the digests of a request for a service.

    Digests of parts include the service, since the same tokens may crash one model and not another.
    """
    parts = dict.fromkeys(_digest(f"part:{service}", part.id.lower()) for part in facts.parts[: MAX_PARTS + 1][:-1])
    return RequestDigests(
        request,
        _digest("service", service),
        tuple(parts),
        None if workspace is None else _digest("workspace", workspace),
    )


def combine(members: Iterable[Fingerprint]) -> Fingerprint:
    """Return the fingerprint of a combination of properties: their sorted digests, joined."""
    return Fingerprint(b"".join(sorted(members)))


def split_combination(fingerprint: Fingerprint) -> list[Fingerprint]:
    """Return the digests in a fingerprint, which is a single one for a request."""
    return [
        Fingerprint(fingerprint[start : start + DIGEST_BYTES]) for start in range(0, len(fingerprint), DIGEST_BYTES)
    ]


def is_combined_of(fingerprint: Fingerprint, members: Set[Fingerprint]) -> bool:
    """Return whether all digests in a fingerprint are among some members."""
    return all(member in members for member in split_combination(fingerprint))


@lru_cache(CACHE_SIZE)
def _digest(kind: str, value: str) -> Fingerprint:
    return Fingerprint(hashlib.blake2b(f"{kind}:{value}".encode(), digest_size=DIGEST_BYTES).digest())

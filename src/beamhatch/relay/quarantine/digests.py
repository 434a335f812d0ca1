"""Digests of the properties of a request that crashes of upstreams may be attributed to."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

from beamhatch.relay.model import Fingerprint, ServiceName

if TYPE_CHECKING:
    from beamhatch.relay.model import RequestFacts
    from beamhatch.relay.workspaces.workspace import WorkspaceName

DIGEST_BYTES = 8
"""Digest size; 64 bits make a collision with a quarantined digest improbable."""

MAX_PARTS = 256
"""Maximum number of prompt parts considered per request."""

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


@lru_cache(CACHE_SIZE)
def _digest(kind: str, value: str) -> Fingerprint:
    return Fingerprint(hashlib.blake2b(f"{kind}:{value}".encode(), digest_size=DIGEST_BYTES).digest())

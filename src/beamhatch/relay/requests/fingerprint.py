"""Tell whether two requests ask for the same work, whatever their ids and whichever VM they reach."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from beamhatch.relay.model import Fingerprint

if TYPE_CHECKING:
    from beamhatch.relay.callers.http_server import IncomingRequest
    from beamhatch.relay.workspaces.workspace import WorkspaceName

FINGERPRINT_BYTES = 8
"""Bytes: among 18,000 requests a second, one meets any of 512 remembered fingerprints by chance in 23 million days."""


def compute_fingerprint(incoming: IncomingRequest, workspace: WorkspaceName | None) -> Fingerprint:
    """Return the fingerprint of a request: of its method, host, target, caller and body.

    A caller is its workspace: keys change, and must show nowhere. The id is left out, as each try has its own.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (incoming.method, incoming.host, incoming.target, workspace or ""):
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(incoming.body)
    return Fingerprint(digest.digest())

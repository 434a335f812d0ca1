"""Compute fingerprints of requests; equal requests of one workspace have the same fingerprint on all VMs."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from beamhatch.relay.model import Fingerprint
from beamhatch.relay.quarantine.digests import DIGEST_BYTES

if TYPE_CHECKING:
    from beamhatch.relay.callers.http_server import IncomingRequest
    from beamhatch.relay.workspaces.workspace import WorkspaceName


def compute_fingerprint(incoming: IncomingRequest, workspace: WorkspaceName | None) -> Fingerprint:
    """Return the digest of a request's method, host, target, workspace and body.

    The workspace identifies the caller, because API keys change and must not be exposed. The request id is excluded,
    because each retry has its own.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (incoming.method, incoming.host, incoming.target, workspace or ""):
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(incoming.body)
    return Fingerprint(digest.digest())

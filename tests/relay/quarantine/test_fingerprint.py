"""Retries of a request have the same fingerprint, and all other requests have different ones."""

from __future__ import annotations

import pytest

from beamhatch.relay.callers.http_server import IncomingRequest
from beamhatch.relay.quarantine.digests import DIGEST_BYTES
from beamhatch.relay.quarantine.fingerprint import compute_fingerprint
from beamhatch.relay.workspaces.workspace import WorkspaceName

ALPHA = WorkspaceName("alpha")


def make_incoming(**changes: object) -> IncomingRequest:
    fields = {
        "method": "POST",
        "target": "/a/b?c=d",
        "headers": [("Host", "desk.example"), ("Request-Id", "q1"), ("Deadline-Ms", "14000")],
        "body": b"text",
        "arrived_at": 1.0,
    }
    return IncomingRequest(**{**fields, **changes})  # type: ignore[arg-type]


def test_a_retry_has_the_same_fingerprint() -> None:
    retry = make_incoming(
        headers=[("host", "DESK.example"), ("Request-Id", "q2"), ("Deadline-Ms", "9000")], arrived_at=7.0
    )
    assert compute_fingerprint(make_incoming(), ALPHA) == compute_fingerprint(retry, ALPHA)
    assert len(compute_fingerprint(make_incoming(), ALPHA)) == DIGEST_BYTES


@pytest.mark.parametrize(
    "changes",
    [
        {"method": "GET"},
        {"target": "/a/b?c=e"},
        {"target": "/a/b"},
        {"body": b"texts"},
        {"headers": [("Host", "other.example")]},
        # The end of the target must not be taken for the workspace.
        {"target": "/a/b?c=dalpha", "body": b""},
    ],
)
def test_a_different_request_has_a_different_fingerprint(changes: dict[str, object]) -> None:
    assert compute_fingerprint(make_incoming(**changes), ALPHA) != compute_fingerprint(make_incoming(), ALPHA)


def test_the_same_request_of_another_workspace_has_a_different_fingerprint() -> None:
    fingerprints = {
        compute_fingerprint(make_incoming(), workspace) for workspace in (ALPHA, WorkspaceName("beta"), None)
    }
    assert len(fingerprints) == 3

"""Digests of requests and of the parts of their prompts."""

from __future__ import annotations

from beamhatch.relay.model import Fingerprint, PromptPart, RequestFacts, ServiceName
from beamhatch.relay.quarantine.digests import (
    DIGEST_BYTES,
    MAX_LOGGED_PARTS,
    MAX_PARTS,
    RequestDigests,
    compute_digests,
)
from beamhatch.relay.workspaces.workspace import WorkspaceName

REQUEST = Fingerprint(b"12345678")
MODELS = ServiceName("models")


def make_digests(*names: str, service: ServiceName = MODELS, workspace: str | None = None) -> RequestDigests:
    facts = RequestFacts("r", None, parts=tuple(PromptPart(name, 10) for name in names))
    return compute_digests(REQUEST, facts, service, None if workspace is None else WorkspaceName(workspace))


def test_last_part_is_left_out() -> None:
    assert make_digests("aa", "bb", "own").parts == make_digests("aa", "bb", "other").parts
    assert len(make_digests("aa", "bb", "own").parts) == 2
    assert make_digests("own").parts == make_digests().parts == ()


def test_part_that_stands_twice_counts_once_in_any_spelling() -> None:
    assert make_digests("aa", "AA", "own").parts == make_digests("aa", "own").parts


def test_part_has_another_digest_for_another_service() -> None:
    assert make_digests("aa", "own").parts != make_digests("aa", "own", service=ServiceName("other")).parts


def test_workspaces_differ_only_in_their_own_digest() -> None:
    first, second = make_digests("aa", "own", workspace="alpha"), make_digests("aa", "own", workspace="beta")
    assert first.parts == second.parts
    assert first.workspace != second.workspace
    assert make_digests("aa", "own").workspace is None


def test_number_of_parts_is_bounded() -> None:
    many = make_digests(*(f"{number:x}" for number in range(2000)), "own")
    assert len(many.parts) == MAX_PARTS
    logged = many.describe()["parts"]
    assert isinstance(logged, list)
    assert len(logged) == MAX_LOGGED_PARTS
    assert all(len(part) == 2 * DIGEST_BYTES for part in logged)


def test_request_without_shared_parts_is_logged_by_its_fingerprint_only() -> None:
    assert make_digests("own").describe() == {"fingerprint": REQUEST.hex()}

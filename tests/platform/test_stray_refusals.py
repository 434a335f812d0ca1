"""Responses on kept connections that do not name the request that waits for one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from beamhatch.platform.standin.upstream import NOT_EXECUTED
from tests.support.late_copies import REJECTIONS
from tests.support.platform import Platform, make_platform

if TYPE_CHECKING:
    from beamhatch.platform.standin.upstream import StandInUpstream
    from beamhatch.relay.api import Headers
    from beamhatch.relay.callers.http_server import IncomingRequest, RequestHandler, Responder


def send_stray(upstream: StandInUpstream, status: int, headers: Headers) -> None:
    """Have an upstream send a response without an id in the place of each that it is going to send."""
    process = upstream.process

    def process_behind_stray(
        incoming: IncomingRequest, sent: dict[str, str], request: str, responder: Responder
    ) -> RequestHandler | None:
        handler = process(incoming, sent, request, responder)
        responder.send_unsolicited(status, headers, b"{}")
        return handler

    upstream.process = process_behind_stray  # type: ignore[method-assign,assignment]


def refuse_once(upstream: StandInUpstream, refused: list[str]) -> None:
    """Have an upstream refuse a request without its id, unless another one has done so."""
    process = upstream.process

    def process_or_refuse(
        incoming: IncomingRequest, sent: dict[str, str], request: str, responder: Responder
    ) -> RequestHandler | None:
        if refused:
            return process(incoming, sent, request, responder)
        refused.append(upstream.instance)
        upstream.send_response(responder, 503, {}, NOT_EXECUTED)
        return None

    upstream.process = process_or_refuse  # type: ignore[method-assign,assignment]


def use_connections(platform: Platform, path: str) -> None:
    """Have each upstream serve a request on a connection that is kept behind it."""
    for number in range(6):
        platform.finish(platform.call(path, f"w{number}", body=b"x" if "unsafe" in path else b""))


@pytest.mark.parametrize("kind", REJECTIONS)
@pytest.mark.parametrize("path", ["/unsafe/x", "/stream/x"])
def test_a_refusal_without_an_id_on_a_kept_connection_is_taken_for_proof_and_the_request_runs_twice(
    path: str, kind: str
) -> None:
    platform = make_platform(plain=2, prefill=1, decode=2)
    use_connections(platform, path)
    for name, upstream in platform.upstreams.items():
        if not name.startswith("prefill"):
            send_stray(upstream, *REJECTIONS[kind])
    caller = platform.finish(platform.call(path, "q", body=b"x" if "unsafe" in path else b""))
    assert platform.ledger.runs["q"] == 1
    assert caller.status == 502


@pytest.mark.parametrize("path", ["/unsafe/x", "/stream/x"])
def test_a_refusal_without_an_id_is_proof_where_its_connection_is_new(path: str) -> None:
    platform = make_platform(plain=2, prefill=1, decode=2)
    refused: list[str] = []
    for name, upstream in platform.upstreams.items():
        if not name.startswith("prefill"):
            refuse_once(upstream, refused)
    caller = platform.finish(platform.call(path, "q", body=b"x" if "unsafe" in path else b""))
    assert len(refused) == 1
    assert caller.status == 200
    assert platform.ledger.runs["q"] == 1

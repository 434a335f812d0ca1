"""Answers of engines and services that are late ones to other runs."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, TypeVar

import pytest
from twisted.web.http_headers import Headers

from beamhatch.decide.call import Call
from beamhatch.edge.http import HttpClient, Reply
from beamhatch.edge.upstream.api import Break, Export, Refusal
from beamhatch.edge.upstream.http import HttpEngine, HttpService, judge_status
from beamhatch.ids import RequestId, RunId, WorkspaceName

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")
RUN = RunId("q-d1")
OTHER = "other-d1"
REFUSAL = {"error": {"code": "refused"}, "ran": False}


class FixedClient(HttpClient):
    """Client that gets the same answer to each request."""

    def __init__(self, reply: Reply) -> None:
        self._reply = reply

    async def ask(self, *_: Any, **__: Any) -> Reply:
        return self._reply


def make_reply(status: int, value: object, run: str | None) -> Reply:
    headers = Headers({} if run is None else {"X-Request-Id": [run]})
    return Reply(status, headers, json.dumps(value).encode())


def make_call(*, repeatable: bool) -> Call:
    return Call(
        RequestId("q"), WorkspaceName("w"), "lm", False, "POST", "/v1/completions", b"{}", repeatable=repeatable
    )


def run_at_once(work: Coroutine[Any, Any, T]) -> T:
    with pytest.raises(StopIteration) as ended:
        work.send(None)
    value: T = ended.value.value
    return value


@pytest.mark.parametrize("is_first", [False, True])
@pytest.mark.parametrize("run", [RUN, OTHER, None])
def test_a_late_refusal_of_another_run_is_taken_for_proof(run: str | None, is_first: bool) -> None:
    found = judge_status(make_reply(503, REFUSAL, run), RUN, is_first=is_first)
    assert isinstance(found, Refusal) == (run == RUN or (run is None and is_first))


@pytest.mark.parametrize("repeatable", [False, True])
@pytest.mark.parametrize("run", [RUN, OTHER, None])
def test_a_late_refusal_of_another_run_is_taken_for_that_of_a_service(run: str | None, repeatable: bool) -> None:
    service = HttpService(FixedClient(make_reply(503, {"ran": False}, run)), "up:1")
    found = run_at_once(service.ask(make_call(repeatable=repeatable), RUN, 1.0))
    is_proof = run == RUN or (run is None and not repeatable)
    assert isinstance(found, Refusal if is_proof else Break)


@pytest.mark.parametrize("run", [RUN, OTHER])
def test_the_export_of_another_run_is_used_for_a_request(run: str) -> None:
    answer = {"kv_transfer_params": {"export": run, "tokens": 4}}
    engine = HttpEngine(FixedClient(make_reply(200, answer, run)), "up:1")
    found = run_at_once(engine.prefill(make_call(repeatable=True), RUN, None, 1.0))
    assert isinstance(found, Export if run == RUN else Break)

"""The whole path with real processes and an official client library."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread
from typing import TYPE_CHECKING, Any

import openai
from openai.types.chat import ChatCompletionChunk

from beamhatch.standin.engine import expect_text
from tests.support.call import call, complete
from tests.support.process import wait_until

if TYPE_CHECKING:
    from openai.types.chat import ChatCompletionMessageParam

    from tests.support.hall import Hall


FIRST_TOKEN_TARGET = 120
"""Seconds: far above what any machine takes, as a router refuses requests that it can't serve within their target."""


def test_client_library_gets_a_thousand_whole_answers_each_its_own(hall: Hall) -> None:
    hall.start(vms=3)
    clients = [
        openai.OpenAI(
            base_url=f"http://127.0.0.1:{hall.ports[vm]}/v1",
            api_key="none",
            max_retries=0,
            default_headers={"Beamhatch-First-Token-Target": str(FIRST_TOKEN_TARGET)},
        )
        for vm in hall.vms
    ]

    def ask(number: int) -> bool:
        client = clients[number % 3]
        prompt = f"request {number} " * (1 + number % 40)
        kind = number % 4
        if kind == 0:
            whole = client.completions.create(model="lm-desk", prompt=prompt, max_tokens=6)
            return whole.choices[0].text == expect_text(prompt, 6) and whole.usage is not None
        if kind == 1:
            chunks = client.completions.create(model="lm-desk", prompt=prompt, max_tokens=6, stream=True)
            return "".join(chunk.choices[0].text for chunk in chunks) == expect_text(prompt, 6)
        if kind == 2:
            messages: list[ChatCompletionMessageParam] = [{"role": "user", "content": prompt}]
            chat = client.chat.completions.create(model="lm-desk", messages=messages, max_tokens=5, stream=True)
            text = "".join(
                chunk.choices[0].delta.content or "" for chunk in chat if isinstance(chunk, ChatCompletionChunk)
            )
            return bool(text == expect_text(f"user: {prompt}", 5))
        answer = call(
            hall.ports[hall.vms[number % 3]],
            f"/services/acct-svc/margin/{number}",
            {"number": number},
            Beamhatch_First_Token_Target=str(FIRST_TOKEN_TARGET),
        )
        return answer.status == 200 and answer.value["body"] == {"number": number}

    with ThreadPoolExecutor(40) as pool:
        results = list(pool.map(ask, range(1000)))
    assert results.count(True) == 1000
    hall.wait_nothing_held()


def test_models_health_and_readiness_are_shown(hall: Hall) -> None:
    hall.start(vms=1, services=0)
    port = hall.ports["vm-1"]
    assert [model["id"] for model in call(port, "/v1/models", method="GET").value["data"]] == ["lm-desk"]
    assert call(port, "/healthz", method="GET").status == 200
    assert call(port, "/readyz", method="GET").value == {"status": "ready"}


def test_unknown_parameters_usage_and_an_engines_own_rejection_pass_through(hall: Hall) -> None:
    hall.start(vms=1, services=0)
    port = hall.ports["vm-1"]
    fields = {"model": "lm-desk", "prompt": "p", "max_tokens": 2, "stream": True, "frobnicate": {"a": [1]}}
    answer = call(port, "/v1/completions", {**fields, "stream_options": {"include_usage": True}})
    assert b'"usage": {"prompt_tokens": 1, "completion_tokens": 2' in answer.body
    assert answer.body.endswith(b"data: [DONE]\n\n")
    rejected = call(port, "/v1/completions", {**fields, "temperature": 3})
    assert rejected.status == 400
    assert rejected.value["error"]["message"] == "temperature must be at most 2"
    hall.wait_nothing_held()


def test_a_trace_has_a_span_for_each_hop_under_the_callers_trace(hall: Hall) -> None:
    hall.start(vms=1, services=0)
    parent = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"
    answer = complete(hall.ports["vm-1"], "traced", 3, stream=True, traceparent=parent)
    spans = hall.admin("vm-1", f"/trace?request={answer.headers['Beamhatch-Request']}")
    assert [span["name"] for span in spans] == ["request", "queue", "prefill", "reserve", "transfer", "decode"]
    assert {span["trace"] for span in spans} == {"a" * 32}
    assert spans[0]["parent"] == "b" * 16
    assert all(span["end"] is not None for span in spans)


def test_finished_traces_go_to_a_collector(hall: Hall) -> None:
    taken: list[dict[str, Any]] = []

    class Collector(BaseHTTPRequestHandler):
        def do_POST(self) -> None:
            taken.append(json.loads(self.rfile.read(int(self.headers["Content-Length"]))))
            self.send_response(200)
            self.end_headers()

        def log_message(self, *arguments: Any) -> None:
            pass

    with ThreadingHTTPServer(("127.0.0.1", 0), Collector) as server:
        serving = Thread(target=server.serve_forever)
        serving.start()
        url = f"http://127.0.0.1:{server.server_port}/v1/traces"
        hall.start(vms=1, prefill=1, decode=1, services=0, traces={"otlp": url})
        assert complete(hall.ports["vm-1"], "traced", 2).status == 200
        wait_until(lambda: taken, "the trace arrives")
        server.shutdown()
        serving.join()
    spans = taken[0]["resourceSpans"][0]["scopeSpans"][0]["spans"]
    assert {span["name"] for span in spans} >= {"request", "prefill", "transfer", "decode"}
    assert len({span["traceId"] for span in spans}) == 1

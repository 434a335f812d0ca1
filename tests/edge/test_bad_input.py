"""Bad input: a clear 4xx in the caller's own format, nothing run, nothing held."""

from __future__ import annotations

import json
import socket
import time
from typing import TYPE_CHECKING, Any

from tests.support.call import OpenCall, call, complete
from tests.support.process import wait_until

if TYPE_CHECKING:
    from tests.support.hall import Hall

BAD: list[tuple[str, Any, dict[str, str], int, str]] = [
    ("/v1/completions", {"prompt": "p"}, {}, 400, "model"),
    ("/v1/completions", {"model": "lm-desk"}, {}, 400, "prompt"),
    ("/v1/completions", {"model": "lm-desk", "prompt": "p", "max_tokens": 0}, {}, 400, "max_tokens"),
    ("/v1/completions", {"model": "lm-desk", "prompt": "p", "stream": "yes"}, {}, 400, "stream"),
    ("/v1/completions", [1, 2], {}, 400, "object"),
    ("/v1/completions", {"model": "nobody", "prompt": "p"}, {}, 404, "nobody"),
    ("/v1/chat/completions", {"model": "lm-desk", "messages": "hi"}, {}, 400, "messages"),
    ("/services/nobody/x", {}, {}, 404, "nobody"),
    ("/nowhere", {}, {}, 404, "nowhere"),
    ("/v1/completions", {"model": "lm-desk", "prompt": "p"}, {"Beamhatch_Deadline": "soon"}, 400, "deadline"),
    ("/v1/completions", {"model": "lm-desk", "prompt": "p"}, {"Beamhatch_Priority": "top"}, 400, "priority"),
    ("/v1/completions", {"model": "lm-desk", "prompt": "p"}, {"Beamhatch_Workspace": "none"}, 404, "none"),
    ("/v1/completions", {"model": "lm-desk", "prompt": "p"}, {"Idempotency_Key": "k" * 300}, 400, "Idempotency-Key"),
]


def send_raw(port: int, data: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=10) as connection:
        connection.sendall(data)
        received = b""
        while piece := connection.recv(65536):
            received += piece
        return received


def test_each_is_refused_with_a_reason_and_runs_nothing(hall: Hall) -> None:
    limits = {"body_bytes": 20_000, "open_requests": 4}
    hall.start(vms=1, prefill=1, decode=1, services=1, limits=limits, timing={"receive_limit": 1})
    port = hall.ports["vm-1"]
    for path, value, headers, status, word in BAD:
        answer = call(port, path, value, **headers)
        assert (answer.status, answer.outcome) == (status, "not_run"), path
        assert word.lower() in json.dumps(answer.value["error"]).lower()
        assert answer.value["ran"] is False
    broken = send_raw(
        port, b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nConnection: close\r\n\r\n{{{"
    )
    assert b"400 Bad Request" in broken
    assert b'"code": "bad_request"' in broken
    announced = send_raw(port, b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999\r\n\r\n")
    assert b"413" in announced.split(b"\r\n")[0]
    grown = (
        b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1000\r\n" + b"x" * 4096
    )
    assert b"413" in send_raw(port, grown + b"\r\n5000\r\n" + b"x" * 20480 + b"\r\n").split(b"\r\n")[0]
    slow = send_raw(port, b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n{")
    assert b"408" in slow.split(b"\r\n")[0]
    assert hall.admin("vm-1", "/requests") == []
    judged = hall.judge("prefill-1")
    assert (judged["prefills"], judged["held_tokens"]) == ({}, 0)


def test_limits_of_a_workspace_and_a_vm_are_refused_at_once(hall: Hall) -> None:
    desk = {"kind": "workspace", "name": "small", "concurrency": 1, "rate": 3}
    hall.start(vms=1, prefill=1, decode=1, services=0, engine={"pace": 0.1}, documents=[desk])
    port = hall.ports["vm-1"]
    first = OpenCall(port).send("long", 200, Beamhatch_Workspace="small")
    first.read_until(b"/1\n")
    second = complete(port, "p", 2, Beamhatch_Workspace="small")
    assert (second.status, second.value["error"]["code"]) == (429, "limit_reached")
    assert int(second.headers["Retry-After"]) >= 1
    first.leave()
    wait_until(lambda: hall.admin("vm-1", "/requests") == [], "it is gone")
    codes = [complete(port, "p", 1, Beamhatch_Workspace="small").status for _ in range(6)]
    assert codes.count(429) >= 2
    assert 200 in codes


def test_a_passed_deadline_ends_the_request_and_frees_the_engine(hall: Hall) -> None:
    hall.start(vms=1, prefill=1, decode=1, services=0, engine={"pace": 0.1})
    answer = complete(hall.ports["vm-1"], "late", 300, Beamhatch_Deadline="0.5")
    assert (answer.status, answer.outcome, answer.value["error"]["code"]) == (504, "failed", "deadline")
    hall.wait_nothing_held()


def test_a_half_closed_caller_is_gone_and_frees_the_engine(hall: Hall) -> None:
    hall.start(vms=1, prefill=1, decode=1, services=0, engine={"pace": 0.1})
    caller = OpenCall(hall.ports["vm-1"]).send("half", 300)
    caller.read_until(b"/1\n")
    caller.close_sending()
    hall.wait_nothing_held()
    wait_until(lambda: hall.admin("vm-1", "/requests") == [], "it is gone")
    caller.leave()


def test_a_service_that_says_so_is_never_asked_again(hall: Hall) -> None:
    hall.service_options = {"repeatable": False}
    hall.start(vms=1, prefill=0, decode=0, services=2)
    for name in ("service-1", "service-2"):
        hall.fault(name, lose_reply=9)
    path = "/services/acct-svc/x"
    assert call(hall.ports["vm-1"], path, {}).outcome == "unknown"
    assert sum(sum(hall.judge(name)["runs"].values()) for name in ("service-1", "service-2")) == 1
    start = time.monotonic()
    allowed = call(hall.ports["vm-1"], path, {}, Beamhatch_Repeatable="yes")
    assert (allowed.status, allowed.outcome) == (503, "unknown")
    assert time.monotonic() - start < 2, "with every replica tried, the answer comes at once"
    assert sum(sum(hall.judge(name)["runs"].values()) for name in ("service-1", "service-2")) == 3

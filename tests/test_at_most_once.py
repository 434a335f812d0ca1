"""A non-repeatable request runs at most once, and nothing is answered twice. The upstreams' own counts judge."""

from __future__ import annotations

import signal
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import TYPE_CHECKING, Any

import pytest

from tests.support.call import OpenCall, call, complete
from tests.support.process import wait_until

if TYPE_CHECKING:
    from tests.support.call import Answer
    from tests.support.hall import Hall


def count(hall: Hall, key: str) -> int:
    return hall.count_runs("runs", f"order-desk/{key}")


def is_told(hall: Hall, key: str) -> bool:
    return hall.ask_service("vm-2", key).status in (200, 409, 502)


def test_a_repeat_at_another_vm_gets_the_kept_answer(hall: Hall) -> None:
    hall.start(services=2)
    answers = [hall.ask_service(vm, "k1") for vm in hall.vms]
    assert [answer.status for answer in answers] == [200, 200, 200]
    assert len({answer.body for answer in answers}) == 1
    assert count(hall, "k1") == 1


def test_two_vms_given_the_same_keys_at_once_run_each_once(hall: Hall) -> None:
    hall.start(services=2)

    def ask(number: int) -> Answer:
        return hall.ask_service(hall.vms[number % 3], f"k{number // 3}", query="?seconds=0.05")

    with ThreadPoolExecutor(30) as pool:
        answers = list(pool.map(ask, range(90)))
    for number in range(30):
        assert count(hall, f"k{number}") == 1
        trio = answers[number * 3 : number * 3 + 3]
        assert {answer.status for answer in trio} <= {200, 409}
        assert len({answer.body for answer in trio if answer.status == 200}) == 1


def test_another_body_with_the_same_key_is_refused(hall: Hall) -> None:
    hall.start(vms=2)
    assert hall.ask_service("vm-1", "k1", {"order": 1}).status == 200
    other = hall.ask_service("vm-2", "k1", {"order": 2})
    assert (other.status, other.outcome) == (422, "not_run")
    assert count(hall, "k1") == 1


def test_a_lost_reply_is_unknown_and_never_sent_again(hall: Hall) -> None:
    hall.start(services=2)
    for name in ("service-1", "service-2"):
        hall.fault(name, lose_reply=5)
    first = hall.ask_service("vm-1", "k1")
    assert (first.status, first.outcome) == (502, "unknown")
    repeat = hall.ask_service("vm-2", "k1")
    assert repeat.outcome == "unknown"
    assert count(hall, "k1") == 1


def test_a_refusal_is_not_run_and_frees_the_key(hall: Hall) -> None:
    hall.start(services=1)
    hall.fault("service-1", refuse=1)
    first = hall.ask_service("vm-1", "k1")
    assert (first.status, first.outcome, first.value["ran"]) == (503, "not_run", False)
    assert "Retry-After" in first.headers
    assert count(hall, "k1") == 0
    assert wait_until(lambda: (answer := hall.ask_service("vm-2", "k1")).status == 200 and answer, "it runs now")
    assert count(hall, "k1") == 1


@pytest.mark.parametrize("moment", ["during", "after"])
def test_a_repeat_after_the_vm_was_killed_never_runs_again(hall: Hall, moment: str) -> None:
    hall.start()
    with ThreadPoolExecutor(2) as pool:
        seconds = "1.5" if moment == "during" else "0.01"
        first = pool.submit(hall.ask_service, "vm-1", "k1", None, f"?seconds={seconds}")
        wait_until(lambda: count(hall, "k1") == 1, "the service runs it")
        if moment == "after":
            assert first.result().status == 200
        hall.programs["vm-1"].kill()
        repeat = hall.ask_service("vm-2", "k1", query=f"?seconds={seconds}")
        first.exception()
    if moment == "after":
        assert (repeat.status, repeat.outcome) == (200, "answered")
    else:
        assert repeat.outcome == "unknown"
    assert count(hall, "k1") == 1


def test_a_repeat_during_a_freeze_is_unknown_and_the_woken_vm_ends_without_an_answer(hall: Hall) -> None:
    hall.start(vms=3, services=0)
    keyed: dict[str, Any] = {"Idempotency_Key": "k1", "Beamhatch_Workspace": "order-desk"}
    caller = OpenCall(hall.ports["vm-1"]).send("p " * 300, 900, **keyed)
    caller.read_until(b"/2\n")
    frozen = hall.programs["vm-1"]
    frozen.signal(signal.SIGSTOP)
    assert complete(hall.ports["vm-2"], "p " * 300, 900, stream=True, **keyed).outcome == "unknown"
    frozen.signal(signal.SIGCONT)
    assert b"[DONE]" not in caller.read_until(b"retry_after")
    caller.leave()
    hall.wait_nothing_held()
    assert hall.count_runs("decodes", "order-desk/k1") == 1
    assert hall.count_runs("prefills", "order-desk/k1") == 1


def test_a_frozen_vm_that_wakes_does_not_dispatch_what_waited_in_it(hall: Hall) -> None:
    hall.start(vms=3, prefill=1, decode=1, services=0, engine={"capacity": 3000, "pace": 0.05})
    first = OpenCall(hall.ports["vm-1"]).send("first", 2500)
    first.read_until(b"/2\n")
    keyed: dict[str, Any] = {
        "Idempotency_Key": "k1",
        "Beamhatch_Workspace": "order-desk",
        "Beamhatch_First_Token_Target": "60",
    }
    waiting = OpenCall(hall.ports["vm-1"]).send("second", 2500, **keyed)
    wait_until(lambda: "queued" in [row["state"] for row in hall.admin("vm-1", "/requests")], "the second waits")
    frozen = hall.programs["vm-1"]
    frozen.signal(signal.SIGSTOP)
    hall.wait_nothing_held()
    frozen.signal(signal.SIGCONT)
    received = waiting.read_until(b'"ran": false')
    assert b'"outcome": "not_run"' in received
    for caller in (first, waiting):
        caller.leave()
    hall.wait_nothing_held()
    assert hall.count_runs("prefills", "order-desk/k1") == 0


def test_a_cut_hall_runs_no_key_on_both_sides(hall: Hall) -> None:
    hall.start(vms=5, services=2)
    hall.cut(["vm-1", "vm-2"])
    keys = [f"k{number}" for number in range(12)]
    jobs = [(vm, key) for key in keys for vm in ("vm-1", "vm-3")]
    with ThreadPoolExecutor(24) as pool:
        list(pool.map(lambda job: hall.ask_service(job[0], job[1]), jobs))
        wait_until(
            lambda: all(m["health"] != "alive" for m in hall.admin("vm-1", "/status")["members"][2:]), "cut seen"
        )
        late = list(pool.map(lambda job: hall.ask_service(job[0], job[1]), jobs))
    assert all(count(hall, key) <= 1 for key in keys)
    assert all(answer.outcome in ("answered", "unknown") for answer in late)
    hall.heal()
    hall.wait_formed()
    for key in keys:
        wait_until(partial(is_told, hall, key), f"{key} is told")
        assert count(hall, key) <= 1


def test_first_attempts_are_told_not_run_where_the_records_cannot_be_reached(hall: Hall) -> None:
    hall.start(vms=2, services=1)
    hall.programs["vm-2"].kill()
    marked = hall.ask_service("vm-1", "k1", Beamhatch_Attempt="1")
    assert (marked.status, marked.outcome) == (503, "not_run")
    assert "Retry-After" in marked.headers
    unmarked = hall.ask_service("vm-1", "k2")
    assert (unmarked.status, unmarked.outcome) == (503, "unknown")
    assert call(hall.ports["vm-1"], "/services/acct-svc/x", {}).status == 200
    assert count(hall, "k1") + count(hall, "k2") == 0


def test_a_full_record_memory_refuses_new_keys_and_forgets_none(hall: Hall) -> None:
    hall.start(vms=1, services=1, limits={"records": 5})
    for number in range(5):
        assert hall.ask_service("vm-1", f"k{number}").status == 200
    refused = hall.ask_service("vm-1", "one-more", Beamhatch_Attempt="1")
    assert (refused.status, refused.outcome) == (503, "not_run")
    for number in range(5):
        assert hall.ask_service("vm-1", f"k{number}").status == 200
        assert count(hall, f"k{number}") == 1


def test_a_restarted_holder_learns_the_records_before_it_grants(hall: Hall) -> None:
    hall.start(vms=3, services=1)
    keys = [f"k{number}" for number in range(10)]
    for key in keys:
        assert hall.ask_service("vm-1", key).status == 200
    for vm in ("vm-2", "vm-3"):
        hall.programs[vm].kill()
        hall.start_vm(vm)
        hall.wait_formed()
    with ThreadPoolExecutor(10) as pool:
        answers = list(pool.map(lambda key: hall.ask_service("vm-3", key), keys))
    assert {answer.status for answer in answers} == {200}
    assert all(count(hall, key) == 1 for key in keys)


def test_an_empty_holder_grants_nothing_while_one_that_knows_is_silent(hall: Hall) -> None:
    """The key is on vm-1 and vm-2; vm-2 loses its memory while vm-1 stands still, and vm-3 never knew."""
    hall.start(vms=3, services=1, timing={"suspicion": 30, "pause_limit": 20})
    hall.cut(["vm-3"])
    wait_until(lambda: hall.ask_service("vm-1", "k1").status == 200, "two holders are enough")
    hall.programs["vm-2"].kill()
    hall.programs["vm-1"].signal(signal.SIGSTOP)
    hall.heal()
    hall.start_vm("vm-2")
    told = wait_until(lambda: (answer := hall.ask_service("vm-3", "k1")).status == 503 and answer, "it is refused")
    assert told.outcome == "unknown"
    hall.programs["vm-1"].signal(signal.SIGCONT)
    hall.wait_formed()
    wait_until(lambda: hall.ask_service("vm-3", "k1").status == 200, "the kept answer comes")
    assert count(hall, "k1") == 1

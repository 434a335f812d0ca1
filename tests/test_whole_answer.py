"""A caller gets the whole answer to its own request, or an explicit error; never two texts spliced."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from beamhatch.standin.engine import expect_text
from tests.support.call import OpenCall, complete
from tests.support.process import wait_until

if TYPE_CHECKING:
    from tests.support.hall import Hall


@pytest.mark.parametrize("fault", ["foreign_frame", "repeat_frame", "break_stream", "silence_stream"])
@pytest.mark.parametrize("stream", [True, False])
def test_the_answer_is_whole_after_a_faulty_stream(hall: Hall, fault: str, stream: bool) -> None:
    hall.start(vms=1, prefill=1, decode=2, services=0, timing={"frame_limit": 0.6})
    for name in ("decode-1", "decode-2"):
        hall.fault(name, **{fault: 1})
    for number in range(3):
        prompt = f"prompt {number}"
        answer = complete(hall.ports["vm-1"], prompt, 20, stream=stream)
        assert answer.status == 200
        assert answer.text == expect_text(prompt, 20)
    hall.wait_nothing_held()


def test_a_stream_that_cannot_be_resumed_is_continued_by_another_engine(hall: Hall) -> None:
    hall.start(vms=1, prefill=1, decode=2, services=0)
    hall.fault("decode-1", break_stream=1, refuse_resume=2)
    for number in range(4):
        answer = complete(hall.ports["vm-1"], f"continued {number}", 30, stream=True)
        assert answer.text == expect_text(f"continued {number}", 30)
        assert answer.body.endswith(b"data: [DONE]\n\n")
    assert hall.judge("decode-1")["faults"] == {"break_stream": 0, "refuse_resume": 0}
    hall.wait_nothing_held()


def test_an_engine_killed_in_the_middle_is_replaced_behind_what_was_sent(hall: Hall) -> None:
    hall.start(vms=1, prefill=1, decode=2, services=0, engine={"pace": 0.05})
    caller = OpenCall(hall.ports["vm-1"]).send("killed", 40)
    caller.read_until(b"/3\n")
    rows = hall.admin("vm-1", "/requests")
    hall.programs[rows[0]["decode"]].kill()
    received = caller.read_until(b"[DONE]")
    words = [piece.split(b'"')[0].decode() for piece in received.split(b'"text": "')[1:]]
    assert "".join(words) == expect_text("killed", 40)
    caller.leave()


def test_a_non_repeatable_stream_that_is_lost_ends_with_an_explicit_error(hall: Hall) -> None:
    hall.start(vms=1, prefill=1, decode=2, services=0, engine={"pace": 0.05})
    caller = OpenCall(hall.ports["vm-1"]).send("once", 40, Idempotency_Key="k1", Beamhatch_Workspace="order-desk")
    caller.read_until(b"/3\n")
    hall.programs[hall.admin("vm-1", "/requests")[0]["decode"]].kill()
    received = caller.read_until(b"event: error")
    received = caller.read_until(b'"outcome": "failed"')
    assert b"[DONE]" not in received
    caller.leave()
    assert hall.count_runs("prefills", "order-desk/k1") == 1


def test_an_export_is_transferred_again_before_it_is_prefilled_again(hall: Hall) -> None:
    hall.start(vms=1, prefill=1, decode=2, services=0, timing={"first_frame_limit": 0.5})
    for name in ("decode-1", "decode-2"):
        hall.fault(name, stall_transfer=1)
    hall.fault("decode-2", stall_transfer=-1)
    stalled = [complete(hall.ports["vm-1"], f"stalled {number}", 5) for number in range(4)]
    assert [answer.text for answer in stalled] == [expect_text(f"stalled {number}", 5) for number in range(4)]
    assert sum(hall.judge("prefill-1")["prefills"].values()) == 4
    wait_until(lambda: hall.count_held() == 0, "nothing is held")


def test_an_export_that_expired_is_prefilled_again(hall: Hall) -> None:
    hall.start(vms=1, prefill=1, decode=1, services=0, engine={"export_life": 0.2, "link_rate": 4000})
    answer = complete(hall.ports["vm-1"], "slow link " * 200, 5)
    assert answer.outcome in ("answered", "failed")
    assert answer.outcome == "failed" or answer.text == expect_text("slow link " * 200, 5)
    assert answer.value.get("ran", True) is True
    hall.wait_nothing_held()

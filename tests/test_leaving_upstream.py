"""An upstream that is leaving gets no new work after a few seconds."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from tests.support.call import call, complete
from tests.support.process import order, wait_until

if TYPE_CHECKING:
    from tests.support.hall import Hall

FEW_SECONDS = 3.0


def list_leaving(hall: Hall, *names: str) -> list[dict[str, str]]:
    lines = [{"name": vm, "kind": "entry", "hall": "kl-a", "address": "-", "state": "live"} for vm in hall.vms]
    for name in names:
        address = f"127.0.0.1:{hall.ports[name]}"
        lines.append({"name": name, "kind": "upstream", "hall": "kl-a", "address": address, "state": "leaving"})
    return lines


def load_until_quiet(hall: Hall, name: str, kind: str) -> float:
    """Load all VMs until an upstream has seen nothing new for a second; return when it saw the last."""
    start = last_change = time.monotonic()
    last = -1
    while time.monotonic() - last_change < 1.0:
        for vm in hall.vms:
            complete(hall.ports[vm], "leaving", 2)
            call(hall.ports[vm], "/services/acct-svc/x", {})
        judged = hall.judge(name)
        seen = sum(judged[kind].values()) + judged.get("counts", {}).get("refused_leaving", 0)
        if seen != last:
            last, last_change = seen, time.monotonic()
        assert time.monotonic() - start < 20, "it never became quiet"
    return last_change - start


def test_a_lagging_list_is_enough(hall: Hall) -> None:
    hall.start(vms=3, prefill=2, decode=2, services=2, vm_list=True)
    order(hall.ports["vmlist"], "/set", {"vms": list_leaving(hall, "decode-1", "service-1")})
    assert load_until_quiet(hall, "decode-1", "decodes") < FEW_SECONDS
    assert load_until_quiet(hall, "service-1", "runs") < FEW_SECONDS
    assert complete(hall.ports["vm-1"], "still served", 2).status == 200


def test_the_upstreams_own_word_is_enough(hall: Hall) -> None:
    hall.start(vms=2, prefill=2, decode=2, services=2)
    for name in ("prefill-1", "decode-1", "service-1"):
        hall.fault(name, leaving=True)
    assert load_until_quiet(hall, "decode-1", "decodes") < FEW_SECONDS
    assert load_until_quiet(hall, "prefill-1", "prefills") < FEW_SECONDS
    assert load_until_quiet(hall, "service-1", "runs") < FEW_SECONDS
    assert complete(hall.ports["vm-1"], "still served", 2).status == 200


def test_a_vm_cut_off_from_the_list_readers_still_obeys_the_upstream(hall: Hall) -> None:
    hall.start(vms=3, prefill=1, decode=2, services=1, vm_list=True)
    hall.cut(["vm-3"])
    hall.fault("decode-1", leaving=True)
    wait_until(
        lambda: (
            [row["standing"] for row in hall.admin("vm-3", "/upstreams") if row["name"] == "decode-1"] == ["leaving"]
        ),
        "the cut VM knows",
        FEW_SECONDS,
    )


def test_an_upstream_whose_reports_stopped_gets_nothing(hall: Hall) -> None:
    hall.start(vms=1, prefill=1, decode=2, services=0, timing={"load_age_limit": 0.8})
    hall.programs["decode-1"].kill()
    for number in range(20):
        assert complete(hall.ports["vm-1"], f"after {number}", 2).status == 200

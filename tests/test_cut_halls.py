"""Halls that are cut off from each other or from the platform go on serving; what they refuse, they refuse at once."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import pytest

from tests.support.call import complete
from tests.support.process import wait_until

if TYPE_CHECKING:
    from tests.support.hall import Hall

HALLS = {"vm-1": "kl-a", "vm-2": "kl-a", "vm-3": "pj-b", "vm-4": "pj-b"}
OWN = [{"kind": "workspace", "name": "pj-desk", "home_hall": "pj-b", "repeatable": False}]
AT_ONCE = 1.0


@pytest.fixture
def halls(hall: Hall) -> Hall:
    """Two halls of two VMs."""
    return hall.start(vms=4, services=2, halls=HALLS, documents=OWN)


def count(halls: Hall, key: str, workspace: str = "order-desk") -> int:
    return halls.count_runs("runs", f"{workspace}/{key}")


def refuse_quickly(halls: Hall, vm: str, key: str, **headers: str) -> Any:
    """Return an answer that came at once and is a refusal, or None."""
    start = time.monotonic()
    answer = halls.ask_service(vm, key, **headers)
    return answer if answer.status == 503 and time.monotonic() - start < AT_ONCE else None


def test_a_key_repeated_in_another_hall_runs_once(halls: Hall) -> None:
    keys = [f"k{number}" for number in range(8)]
    for key in keys:
        wait_until(lambda key=key: halls.ask_service("vm-1", key).status == 200, f"{key} runs")  # type: ignore[misc]
    answers = [halls.ask_service("vm-3", key) for key in keys]
    assert {answer.status for answer in answers} == {200}
    assert [count(halls, key) for key in keys] == [1] * 8


def test_the_same_keys_at_both_halls_at_once_run_once(halls: Hall) -> None:
    jobs = [(vm, f"k{number}") for number in range(12) for vm in ("vm-1", "vm-3", "vm-4")]
    with ThreadPoolExecutor(36) as pool:
        answers = list(pool.map(lambda job: halls.ask_service(job[0], job[1], query="?seconds=0.05"), jobs))
    assert all(count(halls, f"k{number}") <= 1 for number in range(12))
    assert all(answer.outcome in ("answered", "unknown", "not_run") for answer in answers)
    assert sum(answer.status == 200 for answer in answers) > 12


def test_cut_halls_serve_what_they_can_and_refuse_the_rest_at_once(halls: Hall) -> None:
    halls.cut(["vm-3", "vm-4"])
    near = {"Beamhatch_Workspace": "pj-desk", "Beamhatch_Attempt": "1"}
    refused = wait_until(lambda: refuse_quickly(halls, "vm-1", "far", **near), "a far key is refused at once")
    assert refused.outcome == "not_run"
    assert "Retry-After" in refused.headers
    assert "pj-b" in refused.value["error"]["message"]
    for vm in halls.vms:
        assert complete(halls.ports[vm], f"cut {vm}", 4).status == 200
    assert halls.ask_service("vm-3", "near", **near).status == 200
    halls.heal()
    wait_until(lambda: halls.ask_service("vm-1", "near", **near).status == 200, "the kept answer comes over")
    assert count(halls, "near", "pj-desk") == 1
    assert count(halls, "far", "pj-desk") == 0


def test_a_hall_cut_off_from_the_platform_gets_the_configuration_from_the_other(halls: Hall) -> None:
    link = halls.kv_link("pj-b")
    halls.order_links([{"source": "*", "target": link, "way": way} for way in ("forward", "back")])
    change = {"documents": [{"kind": "workspace", "name": "night", "weight": 4}]}
    start = time.monotonic()
    assert halls.admin("vm-1", "/config", change)["result"] == "accepted"
    for vm in halls.vms:
        wait_until(lambda vm=vm: halls.admin(vm, "/status")["sequence"] == 1, f"in force on {vm}", 5)  # type: ignore[misc]
    assert time.monotonic() - start < 5

"""An accepted configuration is in force everywhere within seconds, and never reverts."""

from __future__ import annotations

import json
import signal
import time
import urllib.error
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import TYPE_CHECKING, Any

import pytest

from tests.support.process import order, wait_until

if TYPE_CHECKING:
    from tests.support.hall import Hall

IN_FORCE_LIMIT = 5.0


def put_workspace(hall: Hall, vm: str, name: str, weight: float, **extra: Any) -> dict[str, Any]:
    """Put one workspace; return the answer with its HTTP status."""
    value = {"documents": [{"kind": "workspace", "name": name, "weight": weight}], **extra}
    try:
        return {"status": 200, **hall.admin(vm, "/config", value)}
    except urllib.error.HTTPError as error:
        with error:
            return {"status": error.code, **json.load(error)}


def find_weight(hall: Hall, vm: str, name: str) -> float | None:
    found = hall.admin(vm, "/config")["documents"].get(f"workspace/{name}")
    return None if found is None else float(found["document"]["weight"])


def has_weight(hall: Hall, vm: str, name: str, weight: float) -> bool:
    return find_weight(hall, vm, name) == weight


def wait_in_force(hall: Hall, name: str, weight: float, vms: list[str] | None = None) -> float:
    start = time.monotonic()
    for vm in vms or hall.vms:
        wait_until(partial(has_weight, hall, vm, name, weight), f"in force on {vm}", IN_FORCE_LIMIT)
    return time.monotonic() - start


def read_sequences(hall: Hall, vms: list[str]) -> list[int]:
    return [int(hall.admin(vm, "/status")["sequence"]) for vm in vms]


def test_a_change_is_in_force_on_all_vms_and_in_the_history(hall: Hall) -> None:
    hall.start(vms=4, services=0)
    result = put_workspace(hall, "vm-2", "night", 2, reason="why", change="c1")
    assert (result["result"], result["sequence"]) == ("accepted", 1)
    wait_in_force(hall, "night", 2)
    rows = hall.admin("vm-1", "/config/status")
    assert [row["sequence"] for row in rows] == [1, 1, 1, 1]
    assert all(row["took_seconds"] < IN_FORCE_LIMIT for row in rows)
    history = hall.admin("vm-4", "/config/history")
    assert [(note["change"], note["operator"], note["reason"]) for note in history] == [("c1", "local", "why")]


def test_a_lost_reply_after_the_write_is_settled_as_accepted_once(hall: Hall) -> None:
    hall.start(vms=2, services=0)
    hall.fault("kv", lose_put=1, lose_txn=1)
    first = put_workspace(hall, "vm-1", "night", 3, change="c1")
    again = put_workspace(hall, "vm-2", "night", 3, change="c1")
    assert (first["result"], again["result"]) == ("accepted", "accepted")
    assert first["sequence"] == again["sequence"] == 1
    wait_in_force(hall, "night", 3)
    assert [note["change"] for note in hall.admin("vm-1", "/config/history")] == ["c1"]


def test_a_change_in_doubt_is_unknown_and_can_be_asked_about_later(hall: Hall) -> None:
    hall.start(vms=2, services=0)
    hall.fault("kv", down_after_txn=1)
    result = put_workspace(hall, "vm-1", "night", 3, change="c1")
    assert result["result"] == "unknown"
    hall.fault("kv", down=False)
    assert hall.admin("vm-2", "/config/change?id=c1") == {"result": "accepted", "change": "c1", "sequence": 1}
    wait_in_force(hall, "night", 3)


def test_racing_operators_one_wins_and_the_other_is_told(hall: Hall) -> None:
    hall.start(vms=3, services=0)

    def put(number: int) -> dict[str, Any]:
        return put_workspace(hall, hall.vms[number % 3], "same", number + 1, base={"workspace/same": None})

    with ThreadPoolExecutor(6) as pool:
        results = list(pool.map(put, range(6)))
    accepted = [number for number, result in enumerate(results) if result["result"] == "accepted"]
    assert len(accepted) == 1
    assert all(result["result"] == "conflict" for number, result in enumerate(results) if number not in accepted)
    wait_in_force(hall, "same", accepted[0] + 1)


def test_racing_changes_to_different_workspaces_are_all_accepted(hall: Hall) -> None:
    hall.start(vms=3, services=0)
    with ThreadPoolExecutor(6) as pool:
        results = list(pool.map(lambda n: put_workspace(hall, hall.vms[n % 3], f"w{n}", n + 1), range(6)))
    assert [result["result"] for result in results] == ["accepted"] * 6
    for number in range(6):
        wait_in_force(hall, f"w{number}", number + 1)


def test_a_platform_that_is_down_refuses_changes_and_the_rest_goes_on(hall: Hall) -> None:
    hall.start(vms=2, services=0)
    assert put_workspace(hall, "vm-1", "night", 2)["result"] == "accepted"
    wait_in_force(hall, "night", 2)
    hall.fault("kv", down=True)
    assert put_workspace(hall, "vm-1", "night", 5, change="c2")["result"] in ("unavailable", "unknown")
    hall.fault("kv", down=False)
    assert put_workspace(hall, "vm-1", "night", 5, change="c2")["result"] == "accepted"
    wait_in_force(hall, "night", 5)


def test_a_vm_that_restarts_during_an_outage_takes_the_configuration_from_its_hall(hall: Hall) -> None:
    hall.start(vms=3, services=0)
    assert put_workspace(hall, "vm-1", "night", 2)["result"] == "accepted"
    wait_in_force(hall, "night", 2)
    hall.fault("kv", down=True)
    hall.programs["vm-2"].kill()
    hall.start_vm("vm-2")
    wait_in_force(hall, "night", 2)
    wait_until(lambda: hall.admin("vm-2", "/status")["ready"], "it is ready")


def test_a_vm_with_neither_platform_nor_peers_is_not_ready_and_says_why(hall: Hall) -> None:
    hall.start(vms=2, services=0)
    hall.fault("kv", down=True)
    for vm in hall.vms:
        hall.programs[vm].kill()
    hall.start_vm("vm-1")
    status = hall.admin("vm-1", "/status")
    assert (status["ready"], status["reason"].split(":")[0]) == (False, "no configuration")
    hall.fault("kv", down=False)
    wait_until(lambda: hall.admin("vm-1", "/status")["ready"], "it is ready")


def test_a_stale_reader_never_reverts_it(hall: Hall) -> None:
    hall.start(vms=2, services=0)
    for weight in (2, 3):
        assert put_workspace(hall, "vm-1", "night", weight)["result"] == "accepted"
    wait_in_force(hall, "night", 3)
    hall.fault("kv", stale_read=20)
    seen = []
    end = time.monotonic() + 3
    while time.monotonic() < end:
        seen += read_sequences(hall, hall.vms)
    assert set(seen) == {2}
    assert hall.judge("kv")["calls"]["range"] > 2


def test_a_cut_off_vm_catches_up_and_no_sequence_ever_goes_back(hall: Hall) -> None:
    hall.start(vms=3, services=0)
    hall.fault("kv", seconds=0.05)
    hall.programs["vm-3"].signal(signal.SIGSTOP)
    for weight in range(2, 6):
        assert put_workspace(hall, "vm-1", "night", weight)["result"] == "accepted"
    hall.programs["vm-3"].signal(signal.SIGCONT)
    wait_in_force(hall, "night", 5)
    assert read_sequences(hall, hall.vms) == [4, 4, 4]


@pytest.mark.parametrize(
    ("document", "problem"),
    [
        ({"kind": "slice", "name": "s", "policy": "nobody"}, "there is no policy 'nobody'"),
        ({"kind": "workspace", "name": "w", "wieght": 1}, "unknown: wieght"),
        ({"kind": "pool", "name": "empty", "model": "m"}, "has no upstream of role"),
    ],
)
def test_an_unusable_document_is_rejected_with_the_place(hall: Hall, document: dict[str, Any], problem: str) -> None:
    hall.start(vms=1, services=0)
    with pytest.raises(urllib.error.HTTPError) as caught:
        order(hall.admin_ports["vm-1"], "/config", {"documents": [document]})
    with caught.value as error:
        assert error.code == 422
        assert problem in " ".join(json.load(error)["problems"])
    assert read_sequences(hall, ["vm-1"]) == [0]

"""A planned stop cuts off nothing in flight."""

from __future__ import annotations

import signal
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from beamhatch.standin.engine import expect_text
from tests.support.call import OpenCall, call, complete
from tests.support.process import wait_until

if TYPE_CHECKING:
    from tests.support.hall import Hall


class Balancer:
    """Sends each request to the next VM that says it is ready, as the platform's balancer would."""

    def __init__(self, hall: Hall) -> None:
        self.hall = hall
        self.ready: dict[str, bool] = dict.fromkeys(hall.vms, True)
        self._turn = 0
        self._lock = threading.Lock()

    def check(self) -> None:
        for vm in self.hall.vms:
            try:
                self.ready[vm] = call(self.hall.ports[vm], "/readyz", method="GET").status == 200
            except OSError:
                self.ready[vm] = False

    def pick(self) -> int:
        with self._lock:
            ready = [vm for vm in self.hall.vms if self.ready[vm]]
            self._turn += 1
            return self.hall.ports[ready[self._turn % len(ready)]]


def test_a_rolling_stop_of_all_vms_under_load_fails_no_request(hall: Hall) -> None:
    hall.start(vms=3, services=1)
    balancer = Balancer(hall)
    stop = threading.Event()
    failures: list[str] = []
    done: list[int] = []

    def load(worker: int) -> None:
        number = 0
        while not stop.is_set():
            number += 1
            prompt = f"load {worker} {number}"
            answer = complete(balancer.pick(), prompt, 30, stream=True)
            if answer.status != 200 or answer.text != expect_text(prompt, 30):
                failures.append(f"{answer.status} {answer.body[-300:]!r}")
            done.append(number)

    def watch() -> None:
        while not stop.is_set():
            balancer.check()
            stop.wait(0.05)

    with ThreadPoolExecutor(14) as pool:
        jobs = [pool.submit(load, worker) for worker in range(12)]
        watching = pool.submit(watch)
        for vm in hall.vms:
            hall.programs[vm].signal(signal.SIGTERM)
            assert hall.programs[vm].process.wait(timeout=20) == 0
            hall.start_vm(vm)
            hall.wait_formed()
        stop.set()
        for job in [*jobs, watching]:
            job.result()
    assert failures == []
    assert len(done) > 100
    hall.wait_nothing_held()


def test_a_stop_while_the_platform_is_down_lets_everything_end(hall: Hall) -> None:
    hall.start(vms=2, services=1, engine={"pace": 0.03})
    hall.fault("kv", down=True)
    caller = OpenCall(hall.ports["vm-1"]).send("stopping", 50)
    caller.read_until(b"/2\n")
    hall.programs["vm-1"].signal(signal.SIGTERM)
    wait_until(lambda: call(hall.ports["vm-1"], "/readyz", method="GET").status == 503, "it is not ready")
    assert caller.read_until(b"[DONE]").count(b'"text": "') == 50
    caller.leave()
    assert hall.programs["vm-1"].process.wait(timeout=10) == 0


def test_a_second_signal_cuts_and_says_what(hall: Hall) -> None:
    hall.start(vms=2, services=0, engine={"pace": 0.1})
    caller = OpenCall(hall.ports["vm-1"]).send("cut", 500)
    caller.read_until(b"/2\n")
    program = hall.programs["vm-1"]
    program.signal(signal.SIGTERM)
    wait_until(lambda: call(hall.ports["vm-1"], "/readyz", method="GET").status == 503, "it stops")
    program.signal(signal.SIGTERM)
    assert b"event: error" in caller.read_all()
    caller.leave()
    assert program.process.wait(timeout=10) == 0
    assert "Requests are cut" in program.read_log()
    hall.wait_nothing_held()


def test_a_stopped_vm_has_left_and_is_not_taken_as_dead(hall: Hall) -> None:
    hall.start(vms=3, services=0)
    hall.programs["vm-1"].signal(signal.SIGTERM)
    assert hall.programs["vm-1"].process.wait(timeout=10) == 0
    wait_until(lambda: "vm-1" not in [m["vm"] for m in hall.admin("vm-2", "/status")["members"]], "it has left")
    assert "health=dead" not in hall.programs["vm-2"].read_log()

"""Tasks that run beside the requests, on a paused clock."""

from __future__ import annotations

import pytest

from beamhatch.clock import sleep
from beamhatch.relay.background_task import BackgroundTask
from tests.support.network import Network, PausedClock

DELAY_S = 2.0


class FailingTask(BackgroundTask):
    """A task that fails a second behind each start."""

    def __init__(self) -> None:
        self.network = Network()
        super().__init__(PausedClock(self.network), DELAY_S)
        self.starts: list[float] = []
        self.errors: list[str] = []

    async def run(self) -> None:
        self.starts.append(self.clock.now())
        await sleep(self.clock, 1.0)
        raise ValueError("broken")

    def report_error(self, traceback: str) -> None:
        self.errors.append(traceback)


def test_a_task_that_fails_is_reported_and_started_again() -> None:
    task = FailingTask()
    task.start()
    task.network.run(6.5)
    begun = task.starts[0]
    assert [at - begun for at in task.starts] == pytest.approx([0.0, 3.0, 6.0], abs=0.05)
    assert len(task.errors) == 2
    assert "broken" in task.errors[0]


def test_a_task_that_is_stopped_is_not_started_again() -> None:
    for seconds in (0.5, 2.0):  # while it runs, and while it waits for its next start
        task = FailingTask()
        task.start()
        task.network.run(seconds)
        task.stop()
        task.network.run(10.0)
        assert len(task.starts) == 1


def test_a_stop_is_no_error() -> None:
    task = FailingTask()
    task.start()
    task.network.run(0.5)
    task.stop()
    assert not task.errors

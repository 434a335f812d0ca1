"""Start a program, wait until it is ready, and end it."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

READY_LIMIT = 30.0


class Program:
    """A program of this repository in a process of its own."""

    def __init__(self, module: str, arguments: Sequence[str]) -> None:
        self.log = tempfile.TemporaryFile("w+")  # noqa: SIM115 - it lives as long as the process
        command = [sys.executable, "-m", module, *arguments]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=self.log, text=True)
        self.ready: list[str] = []

    def wait_ready(self) -> list[str]:
        """Return the words of the line by which the program says that it is ready."""
        assert self.process.stdout is not None
        watchdog = threading.Timer(READY_LIMIT, self.process.kill)
        watchdog.start()
        try:
            return self._read_ready()
        finally:
            watchdog.cancel()

    def _read_ready(self) -> list[str]:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            if line.startswith("READY "):
                self.ready = line.split()[1:]
                return self.ready
        raise AssertionError(f"{self.process.args!r} ended early: {self.read_log()}")

    def read_log(self) -> str:
        """Return what the program logged."""
        self.log.seek(0)
        return self.log.read()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        os.kill(self.process.pid, number)

    def kill(self) -> None:
        """End the program as a crash would."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    def close(self) -> None:
        """End the program and its pipes."""
        self.kill()
        if self.process.stdout is not None:
            self.process.stdout.close()
        self.log.close()


def order(port: int, path: str, value: Any = None) -> Any:
    """Call a stand-in's or the admin API's JSON path, and return its answer."""
    body = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", body)
    with urllib.request.urlopen(request, timeout=10) as answer:
        return json.load(answer)


def wait_until(holds: Callable[[], Any], what: str, limit: float = 15.0) -> Any:
    """Wait until a condition holds, and return its value."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        value = holds()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"not in {limit} s: {what}")

"""The program as a process: settings read anew, stops, exit codes."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
from typing import TYPE_CHECKING, Any

import pytest

from tests.support.process import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

SETTINGS = """
node_name = "frontend-a-1"
ip = "{ip}"
zone = "a"
seeds = [{seeds}]
[listen]
frontend = "127.0.0.1:{ports[0]}"
ready = "127.0.0.1:{ports[1]}"
control = "127.0.0.1:{ports[2]}"
[bounds]
grace_s = {grace}
[provider]
address = "127.0.0.1:{ports[3]}"
"""


def find_own_address() -> str:
    """Return a loopback address of this test process alone: the port of the figures is the same for all relays."""
    own = os.getpid()
    return f"127.{own >> 16 & 255}.{own >> 8 & 255}.{own & 255 or 256 - 1}"


def find_ports(count: int) -> list[int]:
    """Return ports that are free at this moment."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Relay:
    """The relay's process, without a store to speak to."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.ports = find_ports(4)
        self.write("")
        environment = {**os.environ, "BEAMHATCH_NODE_FILE": str(path)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "beamhatch.platform"], env=environment, stdout=subprocess.PIPE, text=True
        )
        self.lines: list[dict[str, Any]] = []
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()
        self.wait_for("started")

    def write(self, seeds: str, grace: str = "2") -> None:
        """Write the settings, all at once."""
        text = SETTINGS.format(ip=find_own_address(), ports=self.ports, seeds=seeds, grace=grace)
        other = self.path.with_suffix(".new")
        other.write_text(text)
        other.rename(self.path)

    def wait_for(self, event: str, count: int = 1) -> list[dict[str, Any]]:
        """Wait until lines about an event were written."""
        found: list[dict[str, Any]] = wait_until(lambda: self._find(event, count), event)
        return found

    def _find(self, event: str, count: int) -> list[dict[str, Any]]:
        found = [line for line in self.lines if line["event"] == event]
        return found if len(found) >= count else []

    def _read(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            self.lines.append(json.loads(line))

    def close(self) -> None:
        """End the process, if it runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._reader.join()
        assert self.process.stdout is not None
        self.process.stdout.close()


@pytest.fixture
def relay(tmp_path: Path) -> Iterator[Relay]:
    made = Relay(tmp_path / "boot.toml")
    yield made
    made.close()


def test_settings_are_read_anew_upon_a_signal_and_without_one(relay: Relay) -> None:
    relay.write('"127.0.0.1:1"')
    relay.process.send_signal(signal.SIGHUP)
    assert relay.wait_for("reloaded")[-1]["seeds"] == ["127.0.0.1:1"]
    relay.write('"127.0.0.1:1", "127.0.0.1:2"')
    wait_until(
        lambda: relay.wait_for("reloaded")[-1]["seeds"] == ["127.0.0.1:1", "127.0.0.1:2"], "read without a signal"
    )


def test_settings_that_can_not_be_used_are_not_taken_and_the_line_says_why(relay: Relay) -> None:
    relay.write("", grace='"soon"')
    relay.process.send_signal(signal.SIGHUP)
    refused = relay.wait_for("settings not taken")[-1]
    assert "grace_s" in refused["detail"]
    assert str(relay.path) in refused["detail"]
    relay.write('"127.0.0.1:1"')
    relay.process.send_signal(signal.SIGHUP)
    relay.wait_for("reloaded")


@pytest.mark.parametrize("signals", [1, 3])
def test_a_planned_stop_ends_with_0_in_its_time_also_without_a_store(relay: Relay, signals: int) -> None:
    for _ in range(signals):
        relay.process.send_signal(signal.SIGTERM)
    assert relay.process.wait(timeout=20) == 0
    assert [line["event"] for line in relay.lines if line["part"] == "STOP"] == ["begun", "ended"]
    assert relay.wait_for("ended")[0]["seconds"] < 2.0


def test_a_port_that_is_taken_ends_the_program_with_code_2(relay: Relay) -> None:
    environment = {**os.environ, "BEAMHATCH_NODE_FILE": str(relay.path)}
    second = subprocess.run(
        [sys.executable, "-m", "beamhatch.platform"], env=environment, capture_output=True, text=True, timeout=60
    )
    assert second.returncode == 2
    assert "can't listen" in second.stderr


def start_loading(folder: Path) -> subprocess.Popen[str]:
    """Start a relay, and wait until it loads the first of what it needs."""
    path = folder / "boot.toml"
    ports = find_ports(4)
    path.write_text(SETTINGS.format(ip=find_own_address(), ports=ports, seeds="", grace="2"))
    process = subprocess.Popen(
        [sys.executable, "-X", "importtime", "-m", "beamhatch.platform"],
        env={**os.environ, "BEAMHATCH_NODE_FILE": str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    assert process.stderr is not None
    assert any("zope.interface" in line for line in process.stderr)  # among the first that the relay needs
    return process


def test_a_stop_signal_while_the_program_is_still_being_loaded_ends_it_with_0(tmp_path: Path) -> None:
    """A stop 0.17 s behind a start ended the process by the signal, as if it had crashed: nothing was served yet."""
    process = start_loading(tmp_path)
    process.send_signal(signal.SIGTERM)
    process.communicate(timeout=20)
    assert process.returncode == 0


def test_a_reload_signal_while_the_program_is_still_being_loaded_does_not_end_it(tmp_path: Path) -> None:
    """The settings are read behind it, so nothing is missed; handlers come up with the relay, some 0.3 s later."""
    process = start_loading(tmp_path)
    try:
        process.send_signal(signal.SIGHUP)
        assert process.stderr is not None
        drained = threading.Thread(target=process.stderr.read, daemon=True)
        drained.start()
        assert process.stdout is not None
        assert json.loads(process.stdout.readline())["event"] == "started"
    finally:
        process.kill()
        process.communicate()

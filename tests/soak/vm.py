"""One relay as a process, on a loopback address of its own."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from pathlib import Path

CALLER_PORT = 8000
READY_PORT = 8001
PEER_PORT = 8002

SETTINGS = """
node_name = "{name}"
ip = "{ip}"
zone = "{hall}"
port_range = [8003, 8010]
seeds = {seeds}
bootstrap = {bootstrap}
[zones]
{regions}
[listen]
frontend = "{ip}:8000"
ready = "{ip}:8001"
control = "{ip}:8002"
[bounds]
grace_s = 8
drain_timeout_ms = 3000
cold_overage = 1.5
cold_slack = 5
[limits]
link_mbps = {link_mbps}
[provider]
address = "{store}"
"""


class VmProcess:
    """A relay's process; it may be started many times."""

    def __init__(
        self,
        folder: Path,
        name: str,
        ip: str,
        hall: str,
        regions: Mapping[str, str],
        seeds: Sequence[str],
        store: str,
        mutant: str,
        link_mbps: float,
    ) -> None:
        self.name = name
        self.ip = ip
        self.hall = hall
        self.life = 0
        """How often it was started."""
        self.started_at = 0.0
        """When it was started last, in seconds of the run."""
        self.calm_since = 0.0
        """Since when nothing was done to it, in seconds of the run."""
        self.stopping_since: float | None = None
        self.frozen = False
        self.thawed_at = float("-inf")
        self._mutant = mutant
        self._path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        quoted = ", ".join(f'"{seed}"' for seed in seeds)
        lines = "\n".join(f'{one} = "{region}"' for one, region in regions.items())
        self._settings = {
            "name": name,
            "ip": ip,
            "hall": hall,
            "seeds": f"[{quoted}]",
            "regions": lines,
            "store": store,
            "link_mbps": link_mbps,
        }
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def runs(self) -> bool:
        """Tell whether the process is there."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code of a process that ended."""
        return None if self._process is None else self._process.poll()

    def start(self) -> None:
        """Start the process."""
        module = ["tests.soak.mutants", self._mutant] if self._mutant else ["beamhatch.platform"]
        environment = {**os.environ, "BEAMHATCH_NODE_FILE": str(self._path)}
        self._path.write_text(SETTINGS.format(**self._settings, bootstrap="false" if self.life else "true"))
        self.life += 1
        self.stopping_since = None
        self.frozen = False
        with self._log.open("ab") as log:
            self._process = subprocess.Popen([sys.executable, "-m", *module], env=environment, stdout=log, stderr=log)

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process is there."""
        if self._process is not None and self.runs:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process as a crash does, and wait for its end."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def touch(self) -> None:
        """Have the settings file look changed."""
        self._path.touch()

"""Run the router of one VM on the platform: settings, signals and exit codes."""

from __future__ import annotations

import argparse
import os
import signal
import sys
from pathlib import Path
from typing import Any

from twisted.internet import error, reactor

from beamhatch.clock import Clock
from beamhatch.observe.journal import Journal, make_nonblocking
from beamhatch.observe.tally import Tally
from beamhatch.platform.dialect import PlatformDialect
from beamhatch.platform.documents import PlatformDocuments
from beamhatch.platform.settings import SettingsError, read_settings
from beamhatch.platform.store import PlatformStore
from beamhatch.relay.daemon import Daemon, RelaySettings
from beamhatch.relay.mechanism import Mechanism
from beamhatch.relay.upstreams.http_client import HttpClient

SETTINGS_VARIABLE = "BEAMHATCH_NODE_FILE"
EXIT_FAULT = 1
"""Exit code after a fatal error."""

EXIT_USAGE = 2
"""Exit code for invalid settings or command-line arguments."""

SETTINGS_CHECK_INTERVAL_S = 1.0
"""Interval between checks of the settings file, which may change without a signal."""


class Program:
    """The router process."""

    def __init__(self, path: str, settings: RelaySettings, file_stamp: tuple[int, int]) -> None:
        """Create the router and its adapters.

        :param file_stamp: modification time and size of the settings file before it was read, so that no change is
            missed
        """
        self._path = path
        self._without = settings.disabled
        self._file_stamp = file_stamp
        self._clock = Clock(reactor)
        self._journal = Journal(self._clock, vm=settings.vm)
        documents = PlatformDocuments(self._journal)
        store = PlatformStore(HttpClient(self._clock), self._clock, settings.store_address, documents)
        self._daemon = Daemon(settings, self._clock, self._journal, Tally(), PlatformDialect(), documents, store)
        self._exit_code = 0

    def run(self) -> int:
        """Run until shutdown and return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self._call_in_reactor(self._daemon.stop))
        signal.signal(signal.SIGINT, lambda *_: self._call_in_reactor(self._daemon.stop))
        signal.signal(signal.SIGHUP, lambda *_: self._call_in_reactor(self._reload))
        runtime: Any = reactor
        runtime.callWhenRunning(self._start)
        runtime.run(installSignalHandlers=False)
        return self._exit_code

    def _start(self) -> None:
        try:
            self._daemon.start()
        except error.CannotListenError as problem:
            print(f"beamhatch: can't listen: {problem}", file=sys.stderr)
            self._exit_code = EXIT_USAGE
            self._clock.reactor.stop()
            return
        self._clock.call_later(SETTINGS_CHECK_INTERVAL_S, self._check_settings_file)

    def _check_settings_file(self) -> None:
        if _get_file_stamp(self._path) != self._file_stamp:
            self._reload()
        self._clock.call_later(SETTINGS_CHECK_INTERVAL_S, self._check_settings_file)

    def _reload(self) -> None:
        self._file_stamp = _get_file_stamp(self._path)
        try:
            settings = read_settings(self._path, self._without)
        except SettingsError as problem:
            self._journal.write("MAIN", "settings not taken", detail=str(problem))
            return
        self._daemon.reload(settings)

    def _call_in_reactor(self, function: Any) -> None:
        self._clock.reactor.callFromThread(function)


def _get_file_stamp(path: str) -> tuple[int, int]:
    try:
        status = Path(path).stat()
    except OSError:
        return 0, 0
    return status.st_mtime_ns, status.st_size


def main() -> int:
    """Run the command and return its exit code."""
    parser = argparse.ArgumentParser(prog="python -m beamhatch.platform", description=__doc__)
    parser.add_argument(
        "--without",
        action="append",
        default=[],
        metavar="MECHANISM",
        choices=[one.value for one in Mechanism],
        help="disable a mechanism, for measurements; may be repeated",
    )
    arguments = parser.parse_args()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    file_stamp = _get_file_stamp(path)
    try:
        settings = read_settings(path, frozenset(Mechanism(name) for name in arguments.without))
    except SettingsError as problem:
        print(f"beamhatch: {problem}", file=sys.stderr)
        return EXIT_USAGE
    make_nonblocking(sys.stdout.fileno())
    return Program(path, settings, file_stamp).run()

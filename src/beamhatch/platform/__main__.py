"""Run as ``python -m beamhatch.platform``."""

from __future__ import annotations

import os
import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)  # it ends a process by default, and the settings are not read yet
signal.signal(signal.SIGTERM, lambda *_: os._exit(0))  # nothing is served yet, so this is a whole planned stop

from beamhatch.platform.run import main  # noqa: E402 - loading it takes 0.3 s

sys.exit(main())

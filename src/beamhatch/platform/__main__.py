"""Run as ``python -m beamhatch.platform``."""

from __future__ import annotations

import os
import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the default action ends the process; settings are not loaded yet
signal.signal(signal.SIGTERM, lambda *_: os._exit(0))  # no requests are in progress yet, so exit at once

from beamhatch.platform.run import main  # noqa: E402 - loading it takes 0.3 s

sys.exit(main())

"""Run as ``python -m beamhatch.platform``."""

from __future__ import annotations

import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)  # it ends a process by default, and the settings are not read yet

from beamhatch.platform.run import main  # noqa: E402 - loading it takes 0.3 s

sys.exit(main())

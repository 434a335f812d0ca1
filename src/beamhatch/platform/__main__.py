"""Run as ``python -m beamhatch.platform``."""

from __future__ import annotations

import sys

from beamhatch.platform.run import main

sys.exit(main())

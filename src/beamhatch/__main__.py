"""Run the daemon by ``python -m beamhatch``."""

from __future__ import annotations

from beamhatch.run import main

if __name__ == "__main__":
    main()

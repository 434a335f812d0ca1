"""Run the operators' tool by ``python -m beamhatch.tool``."""

from __future__ import annotations

from beamhatch.tool.run import main

if __name__ == "__main__":
    main()

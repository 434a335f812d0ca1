"""Resident memory of this process."""

from __future__ import annotations

import resource
from pathlib import Path

STATM = Path("/proc/self/statm")
RESIDENT_FIELD = 1
"""Index of the resident pages in ``STATM``."""


def read_resident_bytes() -> int:
    """Return the resident memory of this process in bytes; 0 if the kernel does not tell."""
    try:
        return int(STATM.read_text().split()[RESIDENT_FIELD]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return 0

"""Results of calls to the store that brought no data."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """Failure of a call to the store: no response, an error or an invalid response."""

    detail: str


@dataclass(frozen=True, slots=True)
class RevisionExpired:
    """Answer to a watch whose start revision the store no longer has; everything must be read again."""

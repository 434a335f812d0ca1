"""Read how long an answer asks its caller to stay away (``Retry-After``, RFC 9110, section 10.2.3)."""

from __future__ import annotations

import re
from email.utils import parsedate_to_datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import datetime

MAX_RETRY_AFTER_S = 600.0
"""Seconds that are obeyed at the most, whatever is asked.

Behind them one request tells whether it still holds. A day asked by mistake would else take the upstream from a VM
until one of both restarts; a day asked in earnest costs one repeated send in ten minutes.
"""

_SECONDS = re.compile(r"[0-9]+(\.[0-9]+)?")
"""Fractions are no part of the standard, but the platform's pages have them."""


def parse_retry_after(text: str | None, date: str | None) -> float | None:
    """Return the seconds to stay away, or None where nothing that can be read is asked.

    A negative number, a word and a date that is over ask nothing. A date is read against the answer's own: the clock of
    this VM may be seconds off, and jump. Without that it is not read.

    :param date: the answer's ``Date``
    """
    if text is None:
        return None
    text = text.strip()
    asked = float(text) if _SECONDS.fullmatch(text) else _compute_seconds_until(text, date)
    return min(asked, MAX_RETRY_AFTER_S) if asked is not None and asked > 0 else None


def _compute_seconds_until(text: str, date: str | None) -> float | None:
    until = _parse_date(text)
    now = None if date is None else _parse_date(date)
    if until is None or now is None:
        return None
    try:
        return (until - now).total_seconds()
    except TypeError:  # one of them tells its zone and the other does not
        return None


def _parse_date(text: str) -> datetime | None:
    try:
        return parsedate_to_datetime(text)
    except (ValueError, IndexError, OverflowError):
        return None

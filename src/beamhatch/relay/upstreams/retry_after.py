"""Parsing of the ``Retry-After`` header (RFC 9110, section 10.2.3)."""

from __future__ import annotations

import re
from email.utils import parsedate_to_datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import datetime

MAX_RETRY_AFTER_S = 600.0
"""Upper bound of the returned time, so that a mistaken long time does not exclude an upstream until a restart.

After it, one request tests whether the back-off still holds.
"""

_SECONDS = re.compile(r"[0-9]+(\.[0-9]+)?")
"""Fractions of a second are an extension of the standard that the platform uses."""


def parse_retry_after(text: str | None, date: str | None) -> float | None:
    """Return the seconds to wait before a retry, or None if the header has no valid time in the future.

    An HTTP date is compared with the response's ``Date``, as the local clock may be wrong; without ``Date`` it is
    ignored.

    :param text: value of ``Retry-After``
    :param date: value of ``Date``
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
    except TypeError:  # only one of them has a time zone
        return None


def _parse_date(text: str) -> datetime | None:
    try:
        return parsedate_to_datetime(text)
    except (ValueError, IndexError, OverflowError):
        return None

"""What goes wrong around a rollout of another software version: all relays are killed beside it."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

NEWER_DELAY = 0.0, 0.3
"""Seconds from a freeze of one relay to the start of the new engines, from and to."""

STREAMS_DELAY = 0.2, 0.6, 1.2
"""Seconds from that to the first streams."""

KILL_DELAY = 0.8, 1.3
"""Seconds from the streams to the kill, from and to; they have events by then."""

DOWN = 0.0, 1.5
"""Seconds for which all relays are down, beside those of a restart, from and to."""

TIME = 6.0
"""Seconds that a rollout takes with its kill, and the streams that go on behind it."""


class Ending(Enum):
    """Which engines end while the relays are down."""

    NEWER = "newer"
    OLDER = "older"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class Rollout:
    """One rollout; times are in seconds from its start."""

    is_read_only: bool
    """Whether the store takes no writes up to the kill."""
    going_on: float | None
    """From 0 to 1: the one relay that does not stand still before, so that the others' ranks count; None for all."""
    newer_at: float
    streams_at: float
    killed_at: float
    down: float
    ending: Ending


def draw_rollout(choice: float) -> Rollout:
    """Return a rollout.

    :param choice: what it is drawn from
    """
    drawn = random.Random(choice)
    is_read_only = drawn.random() < 0.3
    going_on = drawn.random() if drawn.random() < 0.3 else None
    newer_at = drawn.uniform(*NEWER_DELAY)
    streams_at = newer_at + drawn.choice(STREAMS_DELAY)
    killed_at = streams_at + drawn.uniform(*KILL_DELAY)
    return Rollout(
        is_read_only, going_on, newer_at, streams_at, killed_at, drawn.uniform(*DOWN), drawn.choice(list(Ending))
    )

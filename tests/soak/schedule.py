"""What goes wrong in a run, drawn from its seed: series of faults that overlap."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


class FaultKind(Enum):
    """A fault, or an operator's work."""

    KILL = "kill"
    """A relay is killed, and started again."""
    FREEZE = "freeze"
    """A relay stands still for some seconds."""
    STOP = "stop"
    """A planned stop of a relay, which is started again behind its end."""
    RELOAD = "reload"
    """Relays are told that their settings changed."""
    HERD = "herd"
    """Most relays are killed at once."""
    STORE_SILENT = "store_silent"
    STORE_BUSY = "store_busy"
    STORE_LOST = "store_lost"
    """The store does what is asked, and gives no answer."""
    STORE_FORGETS = "store_forgets"
    STORE_RESTORED = "store_restored"
    """The store is away for a moment and is restored from an older backup, which lacks much of what was written."""
    LINK_SILENT = "link_silent"
    """What one relay and the store say to each other is lost."""
    LINK_SLOW = "link_slow"
    """All that relays and upstreams say to each other comes late."""
    LINK_BREAKS = "link_breaks"
    """All connections between relays and upstreams break."""
    CONNECTIONS_SILENT = "connections_silent"
    """All open connections of relays to the store and to upstreams let nothing through any more, while new ones work.

    It is drawn only where it is asked for, so that a seed's other faults are what they were before it came.
    """
    UPSTREAMS_PAUSE = "upstreams_pause"
    """Some or all upstreams of a kind process nothing for a while, keep what they have, and go on."""
    UPSTREAM_FAULT = "upstream_fault"
    """An upstream sheds, fails, hangs, breaks off, or sends what is no answer."""
    UPSTREAM_CRASH = "upstream_crash"
    """An upstream is gone, and comes back cold under another id."""
    UPSTREAM_LEAVES = "upstream_leaves"
    """An upstream says that it leaves, serves on for a while, and ends; another one comes."""
    UPSTREAM_SAYS_LEAVING = "upstream_says_leaving"
    """An upstream says in its answers alone that it leaves: its entry stays; it ends later, and another one comes."""
    UPSTREAM_RESTS = "upstream_rests"
    """An upstream turns requests away, and asks for rest."""
    LATE_REJECTIONS = "late_rejections"
    """All upstreams turn a share of requests and calls away, and repeat a share of these rejections later."""
    UPSTREAM_LIMITS = "upstream_limits"
    """An upstream names a limit in its answers, another one later, and none at last."""
    HALL_COLD = "hall_cold"
    """All upstreams of a hall go down, and come back together, cold."""
    EVACUATE = "evacuate"
    """A hall is emptied, and taken back later."""
    ROLLOUT = "rollout"
    """Engines of another software version come, and all relays are killed at about that time, or as others end.

    It is drawn only where it is asked for: all engines run one version before.
    """
    CONFIGURE = "configure"
    """A configuration with another route, and without the one added before."""
    ROUTES = "routes"
    """Routes come, go or change whose requests are open, and may run again by one version and not by the next."""
    DEADLY = "deadly"
    """A caller sends a request again and again that ends each upstream that begins to run it.

    It is drawn only where it is asked for: with it, there are few upstreams left for other faults to show on.
    """
    DEADLY_PART = "deadly_part"
    """Callers send requests that share only a part of their prompts, which crashes each engine that begins to write.

    It is drawn only where it is asked for, for the same reason.
    """


WEIGHTS = {
    FaultKind.KILL: 3,
    FaultKind.FREEZE: 2,
    FaultKind.STOP: 2,
    FaultKind.RELOAD: 1,
    FaultKind.HERD: 1,
    FaultKind.STORE_SILENT: 1,
    FaultKind.STORE_BUSY: 1,
    FaultKind.STORE_LOST: 1,
    FaultKind.STORE_FORGETS: 1,
    FaultKind.LINK_SILENT: 2,
    FaultKind.LINK_SLOW: 1,
    FaultKind.LINK_BREAKS: 1,
    FaultKind.UPSTREAM_FAULT: 4,
    FaultKind.UPSTREAM_CRASH: 3,
    FaultKind.UPSTREAM_LEAVES: 2,
    FaultKind.HALL_COLD: 1,
    FaultKind.EVACUATE: 2,
    FaultKind.CONFIGURE: 4,
}

OWN_WORDS = (FaultKind.UPSTREAM_SAYS_LEAVING, FaultKind.UPSTREAM_RESTS)
"""Drawn apart, so that a seed's other faults are what they were before these came."""

PLANNED = frozenset(
    {
        FaultKind.STOP,
        FaultKind.RELOAD,
        FaultKind.UPSTREAM_LEAVES,
        FaultKind.UPSTREAM_SAYS_LEAVING,
        FaultKind.EVACUATE,
        FaultKind.CONFIGURE,
        FaultKind.ROUTES,
    }
)
"""What operators do, and nothing may be lost by."""

MEAN_GAP = 1.2
"""Seconds between two faults in the mean: with faults of up to 6 s, some five overlap."""

LIMITS = (FaultKind.UPSTREAM_LIMITS,)
"""Drawn apart for the same reason."""

LIMITS_GAP = 3.0
"""Seconds between two upstreams in the mean that begin to name a limit."""

RESTORES = (FaultKind.STORE_RESTORED,)
"""Drawn apart for the same reason."""

RESTORES_GAP = 10.0
"""Seconds between two restores in the mean."""

PAUSES = (FaultKind.UPSTREAMS_PAUSE,)
"""Drawn apart for the same reason."""

PAUSES_GAP = 4.0
"""Seconds between two pauses in the mean."""

ROUTES = (FaultKind.ROUTES,)
"""Drawn apart for the same reason."""

ROUTES_GAP = 2.5
"""Seconds between two changes of routes in the mean."""

REJECTIONS = (FaultKind.LATE_REJECTIONS,)
"""Drawn apart for the same reason."""

REJECTIONS_GAP = 8.0
"""Seconds between two times in the mean at which upstreams begin to turn requests away."""

WORDS_GAP = 3.0
"""Seconds between two upstreams in the mean that leave or rest by their own word."""


@dataclass(frozen=True, slots=True)
class Step:
    """One fault."""

    at: float
    """Seconds from the start of the run."""
    kind: FaultKind
    seconds: float
    """How long it lasts."""
    pick: float
    """From 0 to 1: which of the things that it may strike."""


def draw_steps(seed: int, seconds: float, kinds: Sequence[FaultKind] = ()) -> list[Step]:
    """Return the faults of a run.

    :param kinds: what is drawn; all that strike any run where none is named
    """
    if kinds:
        return _draw(random.Random(seed), seconds, kinds, MEAN_GAP)
    steps = _draw(random.Random(seed), seconds, tuple(WEIGHTS), MEAN_GAP)
    words = _draw(random.Random(f"own words of {seed}"), seconds, OWN_WORDS, WORDS_GAP)
    limits = _draw(random.Random(f"limits of {seed}"), seconds, LIMITS, LIMITS_GAP)
    restores = _draw(random.Random(f"restores of {seed}"), seconds, RESTORES, RESTORES_GAP)
    pauses = _draw(random.Random(f"pauses of {seed}"), seconds, PAUSES, PAUSES_GAP)
    routes = _draw(random.Random(f"routes of {seed}"), seconds, ROUTES, ROUTES_GAP)
    rejections = _draw(random.Random(f"rejections of {seed}"), seconds, REJECTIONS, REJECTIONS_GAP)
    return sorted([*steps, *words, *limits, *restores, *pauses, *routes, *rejections], key=lambda step: step.at)


def _draw(drawn: random.Random, seconds: float, kinds: Sequence[FaultKind], gap: float) -> list[Step]:
    steps = []
    at = drawn.uniform(0.5, 2.0)
    while at < seconds:
        kind = drawn.choices(kinds, [WEIGHTS.get(one, 1) for one in kinds])[0]
        steps.append(Step(at, kind, drawn.uniform(0.5, 6.0), drawn.random()))
        at += drawn.expovariate(1 / gap)
    return steps

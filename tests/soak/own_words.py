"""What upstreams said of themselves to each VM, and what it did about it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from tests.soak.promise import MOST_IN_REST, REST_SLACK, WORD_BOUND, Promise


class Heard(NamedTuple):
    """An upstream and the life of a VM's process that it told something."""

    instance: str
    vm: str
    life: int


@dataclass(slots=True)
class _Rest:
    asked_at: float
    until: float
    arrived: int = 0


@dataclass(slots=True)
class OwnWords:
    """Counts what reaches upstreams in spite of what they said; all times are seconds of the run."""

    _leaving: dict[Heard, float] = field(default_factory=dict)
    _rests: dict[Heard, list[_Rest]] = field(default_factory=dict)

    def take_leaving(self, heard: Heard, now: float) -> None:
        """Take in that a VM has passed on an answer by which an upstream says that it leaves."""
        self._leaving.setdefault(heard, now)

    def take_rest(self, heard: Heard, seconds: float, now: float) -> None:
        """Take in that an upstream has turned a VM away and asked it for rest."""
        self._rests.setdefault(heard, []).append(_Rest(now, now + seconds))

    def check_arrival(self, heard: Heard, sent_at: float, calm_since: float, now: float) -> Promise | None:
        """Return which promise a request breaks that reached an upstream, None where it breaks none.

        :param sent_at: when its caller sent it
        :param calm_since: since when nothing disturbs the VM; what it was told before excuses it
        """
        told_at = self._leaving.get(heard, float("inf"))
        for rest in self._rests.get(heard, []):
            if rest.asked_at + REST_SLACK < now <= rest.until and calm_since <= rest.asked_at:
                rest.arrived += 1
                if rest.arrived > MOST_IN_REST:
                    return Promise.RESTING
        return Promise.LEAVING if sent_at > told_at + WORD_BOUND and calm_since <= told_at else None

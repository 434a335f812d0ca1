"""What upstreams said of their limits to each VM, and what they got from all of them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.soak.promise import LIMIT_CONTACT, LIMIT_OVERAGE, LIMIT_SLACK, LIMIT_TOLD, LIMIT_WINDOW

if TYPE_CHECKING:
    from tests.soak.own_words import Heard


@dataclass(slots=True)
class _Named:
    since: float
    rate: float
    """What it names in its answers now."""
    rates: list[tuple[float, float]] = field(default_factory=list)
    """Each limit that an answer has brought to a caller since, with the time."""
    arrived: deque[float] = field(default_factory=deque)

    def find_highest(self, now: float) -> float:
        """Return the highest limit that answers named in the window that ends now, or just before it."""
        begun = now - LIMIT_WINDOW - LIMIT_TOLD
        found = [rate for at, rate in self.rates if at > begun]
        before = [rate for at, rate in self.rates if at <= begun]
        return max(found + before[-1:])


@dataclass(slots=True)
class NamedLimits:
    """Counts what reaches upstreams that name limits; all times are seconds of the run."""

    _named: dict[str, _Named] = field(default_factory=dict)
    _told: dict[Heard, float] = field(default_factory=dict)

    def name(self, instance: str, rate: float | None, now: float) -> None:
        """Take in that an upstream names a limit from now on, or none."""
        if rate is None:
            self._named.pop(instance, None)
            self._told = {heard: at for heard, at in self._told.items() if heard.instance != instance}
        elif instance in self._named:
            self._named[instance].rate = rate
        else:
            self._named[instance] = _Named(now, rate)

    def take_told(self, heard: Heard, rate: float, calm_since: float, now: float) -> None:
        """Take in that a VM has passed on an answer by which an upstream names its limit.

        A limit counts once an answer has named it: an upstream that is paused names none. An answer that names an
        earlier one is late.
        """
        named = self._named.get(heard.instance)
        if named is None:
            return
        if rate == named.rate and (not named.rates or named.rates[-1][1] != rate):
            named.rates.append((now, rate))
        if self._told.get(heard, -1.0) < calm_since:
            self._told[heard] = now

    def check_arrival(self, heard: Heard, calm_since: float, now: float) -> str | None:
        """Return what is wrong with a request that reached an upstream, None where nothing is.

        :param calm_since: since when nothing disturbs the VM; what it was told before excuses it
        """
        named = self._named.get(heard.instance)
        told_at = self._told.get(heard)
        if named is None or not named.rates or told_at is None or told_at < calm_since:
            return None
        if now < named.since + LIMIT_CONTACT or now < told_at + LIMIT_TOLD:
            return None
        named.arrived.append(now)
        while named.arrived[0] <= now - LIMIT_WINDOW:
            named.arrived.popleft()
        rate = named.find_highest(now)
        if len(named.arrived) <= LIMIT_OVERAGE * rate * LIMIT_WINDOW + LIMIT_SLACK:
            return None
        return f"{heard.instance} got {len(named.arrived)} requests in {LIMIT_WINDOW} s, its limit is {rate} a second"

"""Which peer to go through to an upstream; decided without clock or socket."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.topology import Distance
from beamhatch.relay.tunnels.message import Refusal

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from beamhatch.relay.model import Address
    from beamhatch.relay.topology import Topology

UNREACHABLE_PAUSE_S = 1.0
"""Seconds for which a peer that did not reach an upstream is not asked for it again."""

UNRESPONSIVE_PAUSE_S = 2.0
"""Seconds for which a peer that did not answer is not asked for any upstream."""

REFUSED_PAUSE_S = 0.5
"""Seconds for which a peer that refused a tunnel is not asked; as long as until its next heartbeat."""

DISTANCE_COSTS = {Distance.SAME_HALL: 0.0, Distance.SAME_REGION: 1.0, Distance.OTHER_REGION: 8.0}
"""Cost of each leg by its distance, in units of a leg between halls."""

TUNNELS_PER_LEG = 16
"""Tunnels that a peer carries for which another one, one leg farther, is as good."""


OVERLOAD_COST = 4.0
"""Cost of a peer that refuses callers for its own load; it is still preferred to one in another region."""


@dataclass(frozen=True, slots=True)
class Proxy:
    """A peer that may carry tunnels."""

    address: Address
    """Where it listens for tunnels."""
    hall: str
    tunnels: int = 0
    """Tunnels that it carried when it last told."""
    is_confirmed: bool = True
    """Whether it told that it accepts tunnels; otherwise nothing is known."""
    out_of_reach: frozenset[str] = frozenset()
    """Addresses of upstreams that it told it does not reach, as text."""
    is_overloaded: bool = False
    """Whether it told that it refuses connections of callers."""


@dataclass(slots=True)
class ProxyChooser:
    """Choice of a peer by the length of the way and by load, without those that failed just now."""

    hall: str
    """Hall of this VM."""
    places: Topology
    _paused_until: dict[Address, float] = field(default_factory=dict)
    _unreachable_until: dict[tuple[Address, Address], float] = field(default_factory=dict)
    """Until when not to ask a peer for an upstream, by the addresses of both."""

    def choose(
        self, offered: Iterable[Proxy], upstream: Address, hall: str, tried: Collection[Address], now: float
    ) -> Proxy | None:
        """Return the peer to go through, or None if there is none.

        Peers that told that they accept tunnels come first. Random numbers spread VMs that choose at the same time.

        :param hall: hall of the upstream
        :param tried: peers that failed for the same connection
        """
        name = str(upstream)
        untried = (one for one in offered if one.address not in tried and name not in one.out_of_reach)
        usable = [one for one in untried if self._may_ask(one.address, upstream, now)]
        confirmed = [one for one in usable if one.is_confirmed]
        return min(confirmed or usable, key=lambda one: self._compute_cost(one, hall) + random.random(), default=None)

    def record_refused(self, proxy: Address, upstream: Address, reason: Refusal, now: float) -> None:
        """Record that a peer opened no tunnel."""
        if reason in (Refusal.UNREACHABLE, Refusal.OUT_OF_REACH, Refusal.UNKNOWN_UPSTREAM):
            self._unreachable_until[proxy, upstream] = now + UNREACHABLE_PAUSE_S
        else:
            self._paused_until[proxy] = now + REFUSED_PAUSE_S

    def record_unresponsive(self, proxy: Address, now: float) -> None:
        """Record that a peer could not be connected to, or did not answer."""
        self._paused_until[proxy] = now + UNRESPONSIVE_PAUSE_S

    def drop_expired(self, now: float) -> None:
        """Forget pauses that are over."""
        self._paused_until = {one: until for one, until in self._paused_until.items() if now < until}
        self._unreachable_until = {pair: until for pair, until in self._unreachable_until.items() if now < until}

    def _may_ask(self, proxy: Address, upstream: Address, now: float) -> bool:
        paused_until = max(self._paused_until.get(proxy, 0.0), self._unreachable_until.get((proxy, upstream), 0.0))
        return now >= paused_until

    def _compute_cost(self, proxy: Proxy, hall: str) -> float:
        legs = (self.places.get_distance(self.hall, proxy.hall), self.places.get_distance(proxy.hall, hall))
        overload = OVERLOAD_COST if proxy.is_overloaded else 0.0
        return sum(DISTANCE_COSTS[leg] for leg in legs) + proxy.tunnels / TUNNELS_PER_LEG + overload

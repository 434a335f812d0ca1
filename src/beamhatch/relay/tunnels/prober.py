"""Find out when this VM's own links lead to upstreams again.

Connections that a probe establishes are kept for later requests. No request is used as a probe.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from beamhatch.relay.tunnels.reachability import ReachChange

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from beamhatch.clock import Clock
    from beamhatch.relay.model import Address
    from beamhatch.relay.tunnels.monitor import ReachMonitor

PROBE_INTERVAL_S = 0.5
"""Seconds between two probes while the last one failed."""

RECOVERY_INTERVAL_S = 0.05
"""Seconds between two probes after one succeeded, so that few VMs connect to an upstream at the same time."""

CHECK_PROBES = 2
"""Number of other upstreams probed at once when this VM's own links are suspected."""


class LinkProber:
    """Task that probes upstreams that are out of reach."""

    def __init__(
        self,
        clock: Clock,
        reach: ReachMonitor,
        list_addresses: Callable[[], Collection[Address]],
        probe: Callable[[Address], None],
    ) -> None:
        """Create a prober.

        :param list_addresses: returns the addresses of all upstreams that are listed
        :param probe: starts a direct connection attempt, whose outcome ``reach`` observes
        """
        self._clock = clock
        self._reach = reach
        self._list_addresses = list_addresses
        self._probe = probe
        self._timer: Any = None
        self._stopped = False

    def handle_change(self, change: ReachChange) -> None:
        """Schedule the next probe after a change in what is in reach."""
        if change is ReachChange.CHECK:
            failed = self._reach.reachability.list_failed()
            self._probe_some(CHECK_PROBES, [one for one in self._list_addresses() if one not in failed])
        recovers = change in (ReachChange.REGAINED, ReachChange.RECONNECTED)
        self._schedule(RECOVERY_INTERVAL_S if recovers else PROBE_INTERVAL_S, restart=recovers)

    def stop(self) -> None:
        """Probe no more."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _schedule(self, seconds: float, *, restart: bool = False) -> None:
        if self._timer is not None and self._timer.active():
            if not restart:
                return
            self._timer.cancel()
        if not self._stopped:
            self._timer = self._clock.call_later(seconds * random.uniform(0.8, 1.2), self._tick)

    def _tick(self) -> None:
        reachability = self._reach.reachability
        listed = self._list_addresses()
        reachability.keep_only(listed)
        blocked = reachability.list_blocked()
        if not blocked and not reachability.is_cut_off:
            return
        self._schedule(PROBE_INTERVAL_S)
        self._probe_some(1, listed if reachability.is_cut_off else blocked)

    def _probe_some(self, count: int, addresses: Collection[Address]) -> None:
        """Probe addresses drawn at random."""
        for address in random.sample(list(addresses), min(count, len(addresses))):
            self._probe(address)

"""Log and count what this VM believes of its links to upstreams, and report changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.tunnels.api import DialObserver
from beamhatch.relay.tunnels.reachability import Reachability, ReachChange

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.model import Address


class ReachMonitor(DialObserver):
    """The belief of one VM about its own links, kept from its connection attempts."""

    def __init__(self, clock: Clock, journal: Journal, tally: Tally) -> None:
        self._clock = clock
        self._journal = journal
        self._tally = tally
        self.reachability = Reachability()
        self.on_change: Callable[[ReachChange, Address], None] = lambda change, address: None
        """Called with a change, and the address whose attempt caused it."""
        self.count_listed: Callable[[], int] = lambda: 0
        """Returns the number of upstreams that are listed."""
        tally.gauges["upstreams_out_of_reach"] = lambda: float(len(self.reachability.list_blocked()))
        tally.gauges["cut_off_from_upstreams"] = lambda: float(self.reachability.is_cut_off)

    def record_connected(self, address: Address) -> None:
        """Record an established direct connection."""
        self._report(self.reachability.record_connected(address), address)

    def record_connect_time(self, seconds: float) -> None:
        """Count how long a direct connection took to be established."""
        self._tally.note_latency("connect", "direct", seconds)

    def record_unreachable(self, address: Address) -> None:
        """Record a direct attempt that was refused or not answered in time."""
        self._report(self.reachability.record_unreachable(address, self.count_listed(), self._clock.now()), address)

    def describe(self) -> dict[str, object]:
        """Return the log fields of a request that failed: empty while all links work."""
        blocked = len(self.reachability.list_blocked())
        if not blocked and not self.reachability.is_cut_off:
            return {}
        return {"out_of_reach": blocked, "cut_off": self.reachability.is_cut_off}

    def _report(self, change: ReachChange, address: Address) -> None:
        if change is ReachChange.NONE:
            return
        self._tally.count("reach_changes_total", change.name.lower())
        blocked = len(self.reachability.list_blocked())
        self._journal.write("REACH", change.value, address=str(address), out_of_reach=blocked)
        self.on_change(change, address)

"""Periodic measurement of how busy the VM is: late timers, bytes on its link, callers' connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.overload.meter import LinkBytes, LinkMeter

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally

TICK_S = 0.05
"""Interval of the timer whose delay shows how busy the event loop is."""

REPORT_INTERVAL_S = 1.0
"""Interval of the log lines of a busy VM."""

BUSY_LINK_SHARE = 0.5
"""Share of the link's rate from which a VM counts as busy."""

BUSY_DELAY_S = 0.05
"""Delay of timers from which a VM counts as busy."""


class LoadMonitor:
    """Timer that measures the load, and log lines while it is high."""

    def __init__(
        self,
        clock: Clock,
        journal: Journal,
        tally: Tally,
        meter: LinkMeter,
        link_bytes_per_s: float,
        describe: Callable[[], dict[str, object]],
    ) -> None:
        """Create a monitor that is not started.

        :param link_bytes_per_s: rate of the VM's link in each direction; 0 if unknown
        :param describe: returns further fields of the log lines
        """
        self._clock = clock
        self._journal = journal
        self._tally = tally
        self._meter = meter
        self._link_bytes_per_s = link_bytes_per_s
        self._describe = describe
        self.on_tick: Callable[[float], None] = lambda delay: None
        """Called at each tick with the seconds by which it was late."""
        self.on_report: Callable[[], None] = lambda: None
        """Called at the end of each report interval."""
        self.rate = LinkBytes()
        """Bytes per second in the last report interval."""
        self._due_at = 0.0
        self._max_delay_s = 0.0
        self._reported_at = 0.0
        self._reported_total = LinkBytes()
        tally.gauges["link_received_bytes"] = lambda: float(meter.received)
        tally.gauges["link_sent_bytes"] = lambda: float(meter.sent)
        tally.gauges["link_utilization"] = self.compute_utilization

    def start(self) -> None:
        """Start the timer."""
        now = self._clock.now()
        self._reported_at = now
        self._reported_total = self._meter.total
        self._schedule(now)

    def compute_utilization(self) -> float:
        """Return the share of the link's rate that is used in its busier direction; 0 if the rate is unknown."""
        return self.rate.peak / self._link_bytes_per_s if self._link_bytes_per_s else 0.0

    def _schedule(self, now: float) -> None:
        self._due_at = now + TICK_S
        self._clock.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        now = self._clock.now()
        delay = max(0.0, now - self._due_at)
        self._tally.note_latency("loop_delay", "", delay)
        self._max_delay_s = max(self._max_delay_s, delay)
        self.on_tick(delay)
        if now - self._reported_at >= REPORT_INTERVAL_S:
            self._report(now)
        self._schedule(now)

    def _report(self, now: float) -> None:
        total = self._meter.total
        self.rate = (total - self._reported_total).scale(1 / (now - self._reported_at))
        self._reported_at, self._reported_total = now, total
        delay, self._max_delay_s = self._max_delay_s, 0.0
        self.on_report()
        if self.compute_utilization() < BUSY_LINK_SHARE and delay < BUSY_DELAY_S:
            return
        self._journal.write(
            "LOAD",
            "busy",
            received=round(self.rate.received),
            sent=round(self.rate.sent),
            link=round(self._link_bytes_per_s),
            loop_delay=round(delay, 3),
            **self._describe(),
        )

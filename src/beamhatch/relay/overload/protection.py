"""Assembly of what keeps a VM from accepting more connections of callers than its resources hold."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from beamhatch.relay.callers.http_server import ConnectionObserver
from beamhatch.relay.overload.api import ResourceName
from beamhatch.relay.overload.costs import RequestCosts
from beamhatch.relay.overload.counted import CountedResource
from beamhatch.relay.overload.gate import ConnectionGate
from beamhatch.relay.overload.link import LinkBudget
from beamhatch.relay.overload.listener import CallerListener
from beamhatch.relay.overload.memory import read_resident_bytes
from beamhatch.relay.overload.meter import BYTES_PER_MBIT, LinkBytes, LinkMeter, estimate_wire_bytes
from beamhatch.relay.overload.monitor import LoadMonitor
from beamhatch.relay.overload.processor import LoopDelay

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.callers.http_server import CallerServer


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Limits of the VM's resources; 0 where one is unknown."""

    link_mbit_per_s: float = 0.0
    """Rate of the link in each direction."""
    memory_bytes: int = 0
    descriptors: int = 0
    """Sockets that the process may have open."""

    @property
    def link_bytes_per_s(self) -> float:
        """Rate of the link in bytes per second; 0 if unknown."""
        return self.link_mbit_per_s * BYTES_PER_MBIT


class OverloadProtection(ConnectionObserver):
    """The measurement of the VM's load, and the listening socket that depends on it."""

    def __init__(
        self, clock: Clock, journal: Journal, tally: Tally, limits: ResourceLimits, *, refuses: bool = True
    ) -> None:
        """Create it without a server.

        :param refuses: whether connections are refused; otherwise the load is only measured
        """
        now = clock.now()
        self._clock = clock
        self._journal = journal
        self._tally = tally
        self._loop_delay = LoopDelay()
        self._resident_bytes = 0
        self._server: CallerServer | None = None
        self._listener: CallerListener | None = None
        self.count_sockets: Callable[[], int] = lambda: 0
        """Returns the sockets that the process has open."""
        self.meter = LinkMeter()
        self.costs = RequestCosts(LinkBudget(limits.link_bytes_per_s, now))
        self.gate = ConnectionGate(
            [
                self.costs.budget,
                self._loop_delay,
                CountedResource(ResourceName.MEMORY, limits.memory_bytes, lambda: self._resident_bytes),
                CountedResource(ResourceName.DESCRIPTORS, limits.descriptors, lambda: self.count_sockets()),
            ]
            if refuses
            else []
        )
        self.on_change: Callable[[], None] = lambda: None
        """Called when the VM begins or ends to shed connections."""
        self._monitor = LoadMonitor(clock, journal, tally, self.meter, limits.link_bytes_per_s, self._describe)
        self._monitor.on_tick = self._handle_tick
        self._monitor.on_report = self._handle_report
        tally.gauges["shedding_connections"] = lambda: float(self.is_shedding())

    def start(self, server: CallerServer, listen: Callable[[], Any]) -> CallerListener:
        """Open the listening socket of callers, and return what owns it.

        :param listen: opens the socket, and returns its port
        :raises CannotListenError: if the address is in use
        """
        self._server = server
        server.observer = self
        server.should_close = self._should_close
        self._listener = CallerListener(self._clock, self._journal, self._tally, self.gate, listen)
        self._listener.on_change = self.on_change
        self._listener.on_close = self._handle_close
        self._listener.start()
        self._monitor.start()
        return self._listener

    def is_shedding(self) -> bool:
        """Return whether connections are refused, or were a moment ago."""
        return self.gate.is_shedding(self._clock.now())

    # --- connections of callers --------------------------------------------------------------------------------------

    def handle_connected(self) -> None:
        """Reserve what the connection's request is expected to use, and stop listening if nothing is left."""
        self.costs.budget.reserve(self._clock.now())
        if self._listener is not None:
            self._listener.handle_accepted()

    def handle_request(self, *, is_first: bool, seconds: float) -> None:
        """Reserve what a later request on a connection is expected to use."""
        if is_first:
            self._tally.note_latency("first_request", "", seconds)
        else:
            self.costs.budget.reserve(self._clock.now())

    def handle_unused(self) -> None:
        """Release what was reserved for a connection that carried no request."""
        self.costs.budget.release(self._clock.now())

    def record_relayed(self, size: int) -> None:
        """Count data that this VM relays for a peer, in both directions."""
        self.meter.record_received(size)
        self.meter.record_sent(size)
        wire_bytes = estimate_wire_bytes(size)
        self.costs.budget.commit(LinkBytes(wire_bytes, wire_bytes), self._clock.now())

    def _should_close(self) -> bool:
        return self.gate.should_release_callers(self._clock.now())

    def _handle_close(self, exhausted: ResourceName) -> None:
        """Close idle connections where these use up the resource."""
        if self._server is not None and exhausted in (ResourceName.MEMORY, ResourceName.DESCRIPTORS):
            self._server.close_idle_kept()

    # --- measurement -------------------------------------------------------------------------------------------------

    def _handle_tick(self, delay: float) -> None:
        self._loop_delay.record_tick(delay)
        if self._listener is not None:
            self._listener.check()

    def _handle_report(self) -> None:
        self._resident_bytes = read_resident_bytes()

    def _describe(self) -> dict[str, object]:
        """Return the log fields of a busy VM."""
        if self._server is None:
            return {}
        serving = sum(not one.is_idle for one in self._server.connections)
        return {"connections": len(self._server.connections), "requests": serving}

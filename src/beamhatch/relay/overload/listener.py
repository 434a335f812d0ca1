"""The listening socket of callers, closed while the VM has no room for a new connection.

A closed socket refuses a connection before the caller sends its request, which costs the VM's link two small packets.
The caller knows at once that nothing was read, and may connect to another VM.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from twisted.internet.error import CannotListenError

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.overload.api import ResourceName
    from beamhatch.relay.overload.gate import ConnectionGate

CHECK_INTERVAL_S = 0.04
"""Least time for which a socket stays closed, and interval at which it may then be opened again.

The old socket is closed by the event loop, which must have run before the address is free.
"""

MAX_CLOSED_S = 0.5
"""Seconds after which one connection is accepted although a resource is exhausted.

A VM that accepted none for seconds would look dead to callers and load balancers that still send it connections.
"""


class _State(Enum):
    OPEN = "open"
    CLOSED = "closed"
    STOPPED = "stopped"


class CallerListener:
    """Task that owns the listening socket."""

    def __init__(
        self, clock: Clock, journal: Journal, tally: Tally, gate: ConnectionGate, listen: Callable[[], Any]
    ) -> None:
        """Create a listener that is not started.

        :param listen: opens the listening socket, and returns its port
        """
        self._clock = clock
        self._journal = journal
        self._tally = tally
        self._gate = gate
        self._listen = listen
        self.on_change: Callable[[], None] = lambda: None
        """Called when the VM begins or ends to shed connections."""
        self.on_close: Callable[[ResourceName], None] = lambda exhausted: None
        """Called when the socket is closed because a resource is exhausted."""
        self.port: Any = None
        """The open port, or None."""
        self._state = _State.STOPPED
        self._closed_at = 0.0
        self._must_accept = False
        """Whether the socket stays open until a connection is accepted, even if a resource is exhausted."""
        self._was_shedding = False

    def start(self) -> None:
        """Open the socket.

        :raises CannotListenError: if the address is in use
        """
        self.port = self._listen()
        self._state = _State.OPEN

    def stop(self) -> None:
        """Close the socket for good."""
        self._state = _State.STOPPED
        self._close_port()

    def handle_accepted(self) -> None:
        """Close the socket if the connection that was just accepted leaves no room for another."""
        self._must_accept = False
        self.check()

    def check(self) -> None:
        """Open or close the socket as the resources allow; called at regular intervals too."""
        if self._state is _State.STOPPED:
            return
        now = self._clock.now()
        exhausted = self._gate.find_exhausted(now)
        if self._state is _State.OPEN:
            if exhausted is not None and not self._must_accept:
                self._close(exhausted, now)
        elif self._may_reopen(exhausted, now - self._closed_at):
            self._must_accept = exhausted is not None
            self._reopen()
        self._report(exhausted, now)

    def _may_reopen(self, exhausted: ResourceName | None, closed_s: float) -> bool:
        return closed_s >= (CHECK_INTERVAL_S if exhausted is None else MAX_CLOSED_S)

    def _close(self, exhausted: ResourceName, now: float) -> None:
        self._state = _State.CLOSED
        self._closed_at = now
        self._tally.count("listener_closed_total", exhausted.value)
        self._close_port()
        self.on_close(exhausted)
        self._clock.call_later(CHECK_INTERVAL_S, self._recheck)

    def _recheck(self) -> None:
        if self._state is _State.CLOSED:
            self.check()
            if self._state is _State.CLOSED:
                self._clock.call_later(CHECK_INTERVAL_S, self._recheck)

    def _reopen(self) -> None:
        try:
            self.port = self._listen()
        except CannotListenError as problem:
            self._journal.write("OVERLOAD", "can't listen", detail=str(problem))
            return
        self._state = _State.OPEN

    def _close_port(self) -> None:
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()

    def _report(self, exhausted: ResourceName | None, now: float) -> None:
        is_shedding = self._gate.is_shedding(now)
        if is_shedding == self._was_shedding:
            return
        self._was_shedding = is_shedding
        if is_shedding and exhausted is not None:
            self._journal.write("OVERLOAD", "begun", resource=exhausted.value, **self._gate.describe())
        else:
            self._journal.write("OVERLOAD", "ended", **self._gate.describe())
        self.on_change()

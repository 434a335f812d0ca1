"""Callers: they keep using open connections, and check what they get."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import h11
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

HOST = "desk.example"
CONNECT_TIMEOUT = 1.0
"""Seconds for a connection to come up."""

PATIENCE = 8.0
"""Seconds after which a caller leaves."""


@dataclass(slots=True)
class Outcome:
    """What became of one request."""

    request: str
    route: str
    target: str
    vm: str
    life: int
    """Which start of the VM's process took it."""
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    """0 where no whole head came."""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    left: bool = False
    """True where the caller left before the end."""
    began_as: str = ""
    """The request that brought the first event of the stream, where this one resumes it."""
    last_event: int = 0
    """Number of the last event that the caller had before."""

    @property
    def events(self) -> list[int]:
        """Return the numbers of the events that came, in order."""
        return [int(number) for number in re.findall(rb"^id: (\d+)\n", self.body, re.MULTILINE)]


class CallerConnection(Protocol):
    """One connection to a VM, with one request at a time."""

    def __init__(self, on_up: Callable[[CallerConnection], None], on_end: Callable[[Outcome], None]) -> None:
        self._state = h11.Connection(h11.CLIENT)
        self._on_up = on_up
        self._on_end = on_end
        self._outcome: Outcome | None = None
        self.open = False

    def connectionMade(self) -> None:
        """Say that it is up."""
        self.open = True
        self._on_up(self)

    def ask(self, outcome: Outcome, headers: list[tuple[str, str]], body: bytes) -> None:
        """Send a request."""
        self._outcome = outcome
        method = "POST" if body else "GET"
        fields = [("Host", HOST), ("Request-Id", outcome.request), ("Deadline-Ms", str(int(PATIENCE * 1000))), *headers]
        if body:
            fields.append(("Content-Length", str(len(body))))
        sent = self._state.send(h11.Request(method=method, target=outcome.target, headers=fields)) or b""
        sent += (self._state.send(h11.Data(data=body)) or b"") if body else b""
        sent += self._state.send(h11.EndOfMessage()) or b""
        self.transport.write(sent)

    def leave(self) -> None:
        """Close the connection, whatever is under way."""
        if self._outcome is not None:
            self._outcome.left = True
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Take bytes of an answer."""
        try:
            self._state.receive_data(data)
            self._take_events()
        except h11.RemoteProtocolError:
            self.transport.abortConnection()

    def _take_events(self) -> None:
        while True:
            event = self._state.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            outcome = self._outcome
            if outcome is None:
                self.transport.abortConnection()
                return
            if isinstance(event, h11.Response):
                outcome.status = event.status_code
                outcome.headers = {name.decode().lower(): value.decode() for name, value in event.headers}
            elif isinstance(event, h11.Data):
                outcome.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                outcome.whole = True
                self._end()
                return
            else:
                return

    def _end(self) -> None:
        outcome, self._outcome = self._outcome, None
        if self._state.our_state is h11.DONE and self._state.their_state is h11.DONE:
            self._state.start_next_cycle()
        else:
            self.open = False
            self.transport.loseConnection()
        if outcome is not None:
            self._on_end(outcome)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End what was under way."""
        self.open = False
        outcome, self._outcome = self._outcome, None
        if outcome is not None:
            self._on_end(outcome)


class CallerFactory(ClientFactory):
    """Makes one connection."""

    noisy = False

    def __init__(
        self,
        on_up: Callable[[CallerConnection], None],
        on_end: Callable[[Outcome], None],
        on_failure: Callable[[], None],
    ) -> None:
        self._on_up = on_up
        self._on_end = on_end
        self._on_failure = on_failure

    def buildProtocol(self, _: Any) -> CallerConnection:
        """Return the connection."""
        return CallerConnection(self._on_up, self._on_end)

    def clientConnectionFailed(self, _: Any, __: Any) -> None:
        """Say that no connection came up."""
        self._on_failure()

"""HTTP/1.1 client for upstreams and the store, with reuse of connections.

Its failures distinguish what decides whether a call may be retried: whether anything may have been sent, and whether
the response was complete. Responses to other requests are skipped.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from typing import TYPE_CHECKING

from beamhatch.ordered_set import OrderedSet
from beamhatch.relay.overload.meter import LinkMeter
from beamhatch.relay.tunnels.api import DialReceiver, allow_any_hall, allow_no_hall
from beamhatch.relay.tunnels.direct import DirectDialer
from beamhatch.relay.upstreams.call import Call, CallFailure
from beamhatch.relay.upstreams.connection import ConnectionPool, HttpExchange, NewConnection

if TYPE_CHECKING:
    from collections.abc import Callable, Set

    from beamhatch.clock import Clock
    from beamhatch.relay.model import Address
    from beamhatch.relay.tunnels.api import Dialer, HallFilter, Via
    from beamhatch.relay.upstreams.call import ResponseSink
    from beamhatch.relay.upstreams.connection import Connection, Correlation

SWEEP_INTERVAL_S = 1.0
"""Time between sweeps that close expired idle connections."""

JUST_CLOSED_S = 0.02
"""Time for which it is known that an idle connection was closed at the other end."""

MAX_JUST_CLOSED = 64
"""Maximum number of such connections that are known."""


class _Probe(DialReceiver):
    """Opening of a connection that tells whether an upstream accepts any; it is kept for a later call."""

    is_wanted = True

    def __init__(self, client: HttpClient, address: Address, on_result: Callable[[bool], None]) -> None:
        self._client = client
        self._address = address
        self._on_result = on_result

    def build_protocol(self, via: Via | None) -> Connection:
        """Create the protocol, and report the success."""
        connection = NewConnection(self._client, self._address, via, HttpExchange(_NO_CALL, None))
        self._client.add_open(connection)
        self._on_result(True)
        return connection

    def handle_failure(self, detail: str) -> None:
        """Report the failure."""
        self._on_result(False)


_NO_CALL = Call("", "", [])
"""Placeholder for the call of a connection that is opened for later ones."""


class _Dial(DialReceiver):
    """Opening of the connection for one exchange."""

    def __init__(self, client: HttpClient, address: Address, exchange: HttpExchange, max_idle_s: float) -> None:
        self._client = client
        self._address = address
        self._exchange = exchange
        self._max_idle_s = max_idle_s

    @property
    def is_wanted(self) -> bool:
        """Return whether the exchange was not cancelled."""
        return self._exchange.sink is not None

    def build_protocol(self, via: Via | None) -> Connection:
        """Create the protocol; if the exchange was cancelled, the connection is kept for another one."""
        connection = NewConnection(self._client, self._address, via, self._exchange)
        self._client.add_open(connection)
        return connection

    def handle_failure(self, detail: str) -> None:
        """Send on an idle direct connection if there is one, or report that nothing was sent."""
        connection = None
        if self.is_wanted:
            connection = self._client.pop_idle_direct(self._address, self._max_idle_s, self._exchange)
        if connection is not None:
            connection.send(self._exchange)
        else:
            self._exchange.report_failure(CallFailure.UNREACHED, detail)


class ConnectionTracker(ABC):
    """Source of the open connections to upstreams."""

    @abstractmethod
    def list_open(self, address: Address, via: Via | None) -> Set[Connection]:
        """Return the open connections to an address that go through a peer, or the direct ones."""

    @abstractmethod
    def list_just_closed(self, address: Address, via: Via | None) -> Set[Connection]:
        """Return the idle connections to an address that were closed at the other end a moment ago."""

    @abstractmethod
    def has_other_tunnel(self, via: Via, address: Address) -> bool:
        """Return whether a connection to another address is open through a peer."""


class HttpClient(ConnectionTracker, ConnectionPool):
    """HTTP client with a pool of connections per address."""

    def __init__(
        self,
        clock: Clock,
        dialer: Dialer | None = None,
        *,
        connect_timeout: float = 0.5,
        meter: LinkMeter | None = None,
    ) -> None:
        self._clock = clock
        self.meter = meter or LinkMeter()
        self._dialer = dialer or DirectDialer(clock)
        self._connect_timeout = connect_timeout
        self._idle: dict[Address, list[Connection]] = {}
        self._just_closed: deque[tuple[float, Connection]] = deque(maxlen=MAX_JUST_CLOSED)
        """Idle connections that were closed at the other end, with the monotonic time in seconds."""
        self._open: dict[Address, OrderedSet[Connection]] = {}
        self.opened_count = 0
        """Number of connection attempts so far."""

    @property
    def open_count(self) -> int:
        """Number of established connections."""
        return sum(map(len, self._open.values()))

    def start(self) -> None:
        """Start the periodic sweep of idle connections."""
        self._clock.call_later(SWEEP_INTERVAL_S, self._sweep)

    def open(
        self,
        address: Address,
        call: Call,
        sink: ResponseSink,
        *,
        max_idle_s: float = 1e9,
        may_pass: HallFilter = allow_any_hall,
        correlation: Correlation | None = None,
    ) -> HttpExchange:
        """Send a call on the last used idle connection if it is recent enough, otherwise on a new one.

        A connection is not used again where a second response to an earlier call could not be told from the response
        to this one: it is not shared between calls of different kinds, nor by calls whose responses carry the same ID.

        :param max_idle_s: limit on the idle time; low for calls that must not be retried after a stale connection
        :param may_pass: returns whether the call may go through a peer in a hall
        :param correlation: the calls whose responses carry the same ID; None if responses carry none
        """
        exchange = HttpExchange(call, sink, correlation)
        connection = self._pop_idle(address, max_idle_s, may_pass, exchange)
        if connection is not None:
            connection.send(exchange)
            return exchange
        if correlation is not None:
            # The new connection takes its place, so that the upstream does not have to bear more of them.
            self._close_idle_if(lambda one: one.address == address and correlation.includes(one))
        self._dial(address, exchange, max_idle_s, may_pass)
        return exchange

    def warm(self, address: Address) -> None:
        """Open a direct connection without a call, and keep it for later ones."""
        exchange = HttpExchange(_NO_CALL, None)
        self._dial(address, exchange, 0.0, allow_no_hall)

    def probe(self, address: Address, on_result: Callable[[bool], None]) -> None:
        """Open a direct connection without a call, keep it, and report whether the upstream accepted it."""
        self.opened_count += 1
        self._dialer.connect(address, _Probe(self, address, on_result), self._connect_timeout, allow_no_hall)

    def _dial(self, address: Address, exchange: HttpExchange, max_idle_s: float, may_pass: HallFilter) -> None:
        self.opened_count += 1
        dial = _Dial(self, address, exchange, max_idle_s)
        self._dialer.connect(address, dial, self._connect_timeout, may_pass)

    def list_open(self, address: Address, via: Via | None) -> Set[Connection]:
        """Return the open connections to an address that go through a peer, or the direct ones."""
        return frozenset(one for one in self._open.get(address, ()) if one.via == via)

    def list_just_closed(self, address: Address, via: Via | None) -> Set[Connection]:
        """Return the idle connections to an address that were closed at the other end a moment ago."""
        since = self._clock.now() - JUST_CLOSED_S
        closed = [(at, one) for at, one in self._just_closed if at >= since]
        return frozenset(one for _, one in closed if one.address == address and one.via == via)

    def has_other_tunnel(self, via: Via, address: Address) -> bool:
        """Return whether a connection to another address is open through a peer."""
        return any(one.via == via for other, found in self._open.items() if other != address for one in found)

    def add_idle(self, connection: Connection, idle_timeout: float) -> None:
        """Add an idle connection to the pool, to expire before the peer closes it; close it if it is not kept."""
        if not self._dialer.should_keep(connection.address, connection.via):
            connection.transport.loseConnection()
            return
        now = self._clock.now()
        connection.idle_since = now
        connection.idle_until = now + max(0.0, min(idle_timeout - 1.0, idle_timeout * 0.7))
        self._idle.setdefault(connection.address, []).append(connection)

    def add_open(self, connection: Connection) -> None:
        """Add a connection to the open ones."""
        self._open.setdefault(connection.address, OrderedSet()).add(connection)

    def remove(self, connection: Connection) -> None:
        """Remove a closed connection."""
        left = self._open.get(connection.address, OrderedSet())
        left.discard(connection)
        if not left:
            self._open.pop(connection.address, None)
        if self._remove_idle(connection):
            self._just_closed.append((self._clock.now(), connection))

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.transport.loseConnection()

    def close_idle_tunnels(self, proxy: Address | None = None) -> None:
        """Close the idle connections that go through peers.

        :param proxy: the peer whose tunnels are closed, by where it listens for them; None for all
        """
        self._close_idle_if(lambda one: one.via is not None and proxy in (None, one.via.address))

    def _close_idle_if(self, concerns: Callable[[Connection], bool]) -> None:
        for connection in [one for idle in self._idle.values() for one in idle if concerns(one)]:
            self._remove_idle(connection)
            connection.transport.loseConnection()

    def _remove_idle(self, connection: Connection) -> bool:
        """Remove a connection from the idle ones, and return whether it was one."""
        idle = self._idle.get(connection.address)
        if idle is None or connection not in idle:
            return False
        idle.remove(connection)
        if not idle:
            del self._idle[connection.address]
        return True

    def _pop_idle(
        self, address: Address, max_idle_s: float, may_pass: HallFilter, exchange: HttpExchange
    ) -> Connection | None:
        max_direct_idle_s = min(max_idle_s, self._dialer.get_max_idle_s(address))
        direct = self.pop_idle_direct(address, max_direct_idle_s, exchange)
        if direct is not None:
            return direct
        return self._pop_newest(
            address, max_idle_s, exchange, lambda one: one.via is not None and may_pass(one.via.hall)
        )

    def pop_idle_direct(self, address: Address, max_idle_s: float, exchange: HttpExchange) -> Connection | None:
        """Return the direct connection that was used last and may carry a call, or None if it is idle for too long."""
        return self._pop_newest(address, max_idle_s, exchange, lambda one: one.via is None)

    def _pop_newest(
        self, address: Address, max_idle_s: float, exchange: HttpExchange, concerns: Callable[[Connection], bool]
    ) -> Connection | None:
        now = self._clock.now()
        idle: list[Connection] = self._idle.get(address, [])
        newest = next((one for one in reversed(idle) if exchange.may_use(one) and concerns(one)), None)
        if newest is None or now >= newest.idle_until or now - newest.idle_since > max_idle_s:
            return None
        self._remove_idle(newest)
        return newest

    def _sweep(self) -> None:
        now = self._clock.now()
        self._close_idle_if(lambda one: now >= one.idle_until)
        while self._just_closed and self._just_closed[0][0] < now - JUST_CLOSED_S:
            self._just_closed.popleft()
        self._clock.call_later(SWEEP_INTERVAL_S, self._sweep)

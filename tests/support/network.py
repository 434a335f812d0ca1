"""A network inside the test, on a clock that only the test advances."""

from __future__ import annotations

import random
import socket
from bisect import insort
from collections import Counter
from typing import TYPE_CHECKING, Any

from twisted.internet import error, task
from twisted.internet.address import IPv4Address
from twisted.internet.base import DelayedCall
from twisted.python.failure import Failure

from beamhatch.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

DELAY = 0.001
"""Seconds that a message takes."""

STEP = 0.005
PACKET_BYTES = 60
"""Bytes of the headers of each packet on a link that has a rate."""

PROBE_INTERVAL = 1.0
"""Seconds between two keep-alive probes."""

WINDOW = 256 * 1024
"""Bytes that wait for a reader before the writer is asked to pause."""


def _find_same_delay(_here: str, _there: str) -> float:
    return DELAY


class PausedClock(Clock):
    """The product's clock, on the network's time."""

    def now(self) -> float:
        """Return the time of the network."""
        return float(self.reactor.seconds())

    def tell_wall(self) -> float:
        """Return the same."""
        return self.now()


class SuspendableClock(PausedClock):
    """The clock of a machine that can be suspended: the time goes on, while timers stand still."""

    suspended = 0.0
    """Seconds that the timers did not count."""

    def now(self) -> float:
        """Return the time of the network with what the timers missed."""
        return super().now() + self.suspended


class _Handle:
    """Takes socket options; only keep-alive and the user timeout have an effect."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Set an option."""
        if (level, option) == (socket.SOL_SOCKET, socket.SO_KEEPALIVE):
            self._transport.keep_alive()
        elif (level, option) == (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT):
            self._transport.user_timeout_s = value / 1000

    def getsockopt(self, *_: int) -> int:
        """Return nothing of use."""
        return 0


class Transport:
    """One end of a connection."""

    def __init__(self, network: Network, host: str, peer_host: str) -> None:
        self.arrives_at = 0.0
        """When what was sent last arrives at the other end."""
        self.network = network
        self.host = host
        self.peer_host = peer_host
        self.protocol: Any = None
        self.other: Transport = self
        network.transports.append(self)
        self.connected = True
        self.disconnecting = False
        self.silent = False
        """True once nothing gets through any more, in either direction, and nobody is told."""
        self.user_timeout_s = 8.0
        """Seconds without an answer to keep-alive probes after which the connection is lost."""
        self._unanswered_s = 0.0
        self._reading = True
        self._inbox: list[tuple[str, Any]] = []
        self.waiting = 0
        """Bytes that were sent to this end and not yet read."""
        self._producer: Any = None

    # --- what protocols call -----------------------------------------------------------------------------------------

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self.connected and not self.disconnecting and data:
            self._send("data", bytes(data))
            self.other.waiting += len(data)
            if self._producer is not None and self.other.waiting > WINDOW:
                self._producer.pauseProducing()

    def writeSequence(self, parts: Iterable[bytes]) -> None:
        """Send several pieces."""
        self.write(b"".join(parts))

    def loseConnection(self) -> None:
        """Close behind what was written."""
        if self.connected and not self.disconnecting:
            self.disconnecting = True
            self._send("end", error.ConnectionDone())
            self.network.callLater(0, self._lose, error.ConnectionDone())

    def abortConnection(self) -> None:
        """Reset."""
        if self.connected:
            self._send("end", error.ConnectionLost())
            self.disconnecting = True
            self.network.callLater(0, self._lose, error.ConnectionLost())

    def pauseProducing(self) -> None:
        """Read no more."""
        self._reading = False

    def resumeProducing(self) -> None:
        """Read again."""
        self._reading = True
        self.network.callLater(0, self._drain)

    def registerProducer(self, producer: Any, _: bool) -> None:
        """Note who is asked to pause."""
        self._producer = producer

    def unregisterProducer(self) -> None:
        """Ask nobody."""
        self._producer = None

    def setTcpNoDelay(self, _: bool) -> None:
        """Ignore."""

    def getPeer(self) -> IPv4Address:
        """Return the other end's address."""
        return IPv4Address("TCP", self.peer_host, 0)

    def getHandle(self) -> _Handle:
        """Return something that takes socket options."""
        return _Handle(self)

    def keep_alive(self) -> None:
        """Probe the other end as a kernel does, which goes on while the process stands still."""
        self.network.callLater(PROBE_INTERVAL, self._probe)

    def _probe(self) -> None:
        if not self.connected:
            return
        answered = not self.silent and not self.network.is_cut(self.host, self.peer_host)
        if answered and not self.other.connected:
            self.network.run_on(self.host, self._lose, error.ConnectionLost())
            return
        self._unanswered_s = 0.0 if answered else self._unanswered_s + PROBE_INTERVAL
        if self._unanswered_s >= self.user_timeout_s:
            self.network.run_on(self.host, self._lose, error.ConnectionLost())
        else:
            self.network.callLater(PROBE_INTERVAL, self._probe)

    # --- delivery ----------------------------------------------------------------------------------------------------

    def _send(self, kind: str, value: Any) -> None:
        self.network.deliver(self, kind, value)

    def take(self, kind: str, value: Any) -> None:
        """Take in what the other end sent."""
        self._inbox.append((kind, value))
        self.network.run_on(self.host, self._drain)

    def _drain(self) -> None:
        while self._inbox and self._reading and self.connected and self.protocol is not None:
            kind, value = self._inbox.pop(0)
            if kind == "end":
                self._lose(value)
                return
            self.waiting -= len(value)
            writer = self.other._producer
            if writer is not None and self.waiting <= WINDOW // 2:
                writer.resumeProducing()
            self.protocol.dataReceived(value)

    def _lose(self, reason: Exception) -> None:
        if not self.connected:
            return
        self.connected = False
        if self.protocol is not None:  # else the host stood still and has not accepted the connection
            self.protocol.connectionLost(Failure(reason))

    def end_process(self, *, resets: bool) -> None:
        """End the connection with the process at this end, which is told nothing.

        :param resets: whether the other end is told, as by the kernel of a machine that goes on
        """
        if self.connected:
            self.connected = False
            if resets:
                self._send("end", error.ConnectionLost())


class _Port:
    def __init__(self, network: Network, key: tuple[str, int]) -> None:
        self._network = network
        self._key = key

    def getHost(self) -> IPv4Address:
        """Return where it listens."""
        return IPv4Address("TCP", *self._key)

    def stopListening(self) -> None:
        """Listen no more."""
        self._network.ports.pop(self._key, None)


class _DatagramPort:
    """A socket for datagrams, some of which are lost without anybody being told."""

    def __init__(self, network: Network, key: tuple[str, int], protocol: Any) -> None:
        self._network = network
        self._key = key
        self.protocol = protocol

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self._network.deliver_datagram(self._key, address, data)

    def stopListening(self) -> None:
        """Receive no more."""
        self._network.datagram_ports.pop(self._key, None)


class _Connector:
    def __init__(
        self, network: Network, host: str, port: int, factory: Any, timeout: float, here: str | None = None
    ) -> None:
        self.network = network
        self.here = here or network.here
        self.key = (host, port)
        self.factory = factory
        self._timeout = network.callLater(timeout, self._fail, error.TimeoutError())
        self._transport: Transport | None = None
        self._over = False
        arrives_at = network.carry(self.here, host, 0)
        network.callLater(arrives_at - network.rightNow, self._reach)

    def disconnect(self) -> None:
        """Give up."""
        if self._transport is not None:
            self._transport.loseConnection()
        else:
            self._over = True
            self._stop_timer()

    def _reach(self) -> None:
        if self._over or self.network.is_cut(self.here, self.key[0]):
            return
        server = self.network.ports.get(self.key)
        if server is None or self.network.refuses(self.here, self.key[0]):
            self._fail(error.ConnectionRefusedError())
            return
        self._stop_timer()
        self._over = True
        self._join(server)

    def _join(self, server: Any) -> None:
        near = Transport(self.network, self.here, self.key[0])
        far = Transport(self.network, self.key[0], self.here)
        near.other, far.other = far, near
        near.protocol = self.factory.buildProtocol(None)
        if near.protocol is None:
            return
        self._transport = near
        near.protocol.transport = near
        self.network.run_on(far.host, self._accept, server, far)
        self.network.run_on(self.here, near.protocol.connectionMade)

    def _accept(self, server: Any, far: Transport) -> None:
        if not far.connected:
            return
        far.protocol = server.buildProtocol(None)
        if far.protocol is None:
            far.abortConnection()
            return
        far.protocol.transport = far
        far.protocol.connectionMade()
        far.resumeProducing()

    def _fail(self, reason: Exception) -> None:
        if not self._over:
            self._over = True
            self._stop_timer()
            self.network.run_on(self.here, self.factory.clientConnectionFailed, self, Failure(reason))

    def _stop_timer(self) -> None:
        if self._timeout.active():
            self._timeout.cancel()


class Network(task.Clock):
    """A reactor whose time and connections are the test's."""

    here = "vm"

    def __init__(self) -> None:
        super().__init__()
        self.rightNow = 1000.0
        self.ports: dict[tuple[str, int], Any] = {}
        self.datagram_ports: dict[tuple[str, int], _DatagramPort] = {}
        self.datagram_loss = 0.0
        """Share of the datagrams that are lost."""
        self.largest_datagram = 0
        """Bytes of the largest datagram that was sent."""
        self._random = random.Random(0)
        self.transports: list[Transport] = []
        self.stopped = False
        self.held_up = 0.0
        """Seconds by which every tenth packet comes late, and all behind it on its connection."""
        self.find_delay: Callable[[str, str], float] = _find_same_delay
        """Returns the seconds that a message takes from one host to another."""
        self.carried: Counter[tuple[str, str]] = Counter()
        """Bytes from one host to another."""
        self._link_rates: dict[str, float] = {}
        """Bytes per second in each direction of the hosts whose links have a rate."""
        self._free_at: dict[tuple[str, bool], float] = {}
        """When all that waits at a host's link has passed it, by host and whether it is sent by that host."""
        self._held: dict[str, list[tuple[Callable[..., Any], tuple[Any, ...]]]] = {}
        """What each frozen host is to do once it goes on."""
        self._hosts: dict[str, HostNetwork] = {}
        self._cut: set[str] = set()
        self._cut_pairs: set[frozenset[str]] = set()
        self._refusing_pairs: set[frozenset[str]] = set()
        self._sent = 0

    def callLater(self, delay: float, callable: Any, *args: Any, **kw: Any) -> DelayedCall:  # noqa: A002
        """Call a function after some seconds; unlike the base class, without sorting all calls each time."""
        call = DelayedCall(self.rightNow + delay, callable, args, kw, self.calls.remove, self._sort_again, self.seconds)
        insort(self.calls, call, key=DelayedCall.getTime)
        return call

    def _sort_again(self, _: DelayedCall) -> None:
        self._sortCalls()

    def advance(self, amount: float) -> None:
        """Let time pass, and make the calls that are due."""
        self.rightNow += amount
        self._sortCalls()
        while self.calls and self.calls[0].getTime() <= self.rightNow:
            call = self.calls.pop(0)
            call.called = 1
            call.func(*call.args, **call.kw)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> _Port:
        """Listen."""
        assert (interface, port) not in self.ports
        self.ports[interface, port] = factory
        return _Port(self, (interface, port))

    def listenUDP(self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192) -> _DatagramPort:
        """Receive datagrams."""
        assert (interface, port) not in self.datagram_ports
        found = self.datagram_ports[interface, port] = _DatagramPort(self, (interface, port), protocol)
        protocol.transport = found
        return found

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30) -> _Connector:
        """Connect."""
        return _Connector(self, host, port, factory, timeout)

    def at(self, host: str) -> HostNetwork:
        """Return the network as a new process on a host sees it, whose own connections are known as its."""
        self._hosts[host] = HostNetwork(self, host)
        return self._hosts[host]

    def callFromThread(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Call soon."""
        self.callLater(0, function, *arguments)

    def stop(self) -> None:
        """Note that the program ends."""
        self.stopped = True

    # --- faults ------------------------------------------------------------------------------------------------------

    def cut(self, host: str) -> None:
        """Let nothing through to and from a host; nobody is told."""
        self._cut.add(host)

    def cut_between(self, host: str, other: str) -> None:
        """Let nothing through between two hosts; nobody is told."""
        self._cut_pairs.add(frozenset((host, other)))

    def heal(self, host: str) -> None:
        """Let messages through again; those sent meanwhile are lost."""
        self._cut.discard(host)

    def heal_between(self, host: str, other: str) -> None:
        """Let messages between two hosts through again; those sent meanwhile are lost."""
        self._cut_pairs.discard(frozenset((host, other)))

    def refuse_between(self, host: str, other: str) -> None:
        """Refuse new connections between two hosts; open ones live on."""
        self._refusing_pairs.add(frozenset((host, other)))

    def accept_between(self, host: str, other: str) -> None:
        """Accept new connections between two hosts again."""
        self._refusing_pairs.discard(frozenset((host, other)))

    def refuses(self, host: str, other: str) -> bool:
        """Tell whether new connections between two hosts are refused."""
        return frozenset((host, other)) in self._refusing_pairs

    def reset_connections(self, concerns: Callable[[Transport], bool]) -> None:
        """Reset open connections at both ends.

        :param concerns: whether a connection is among them, by either of its ends
        """
        open_ends = [transport for transport in self.transports if transport.connected]
        for transport in open_ends:
            if transport.connected and (concerns(transport) or concerns(transport.other)):
                transport.abortConnection()
                transport.other.abortConnection()

    def silence_connections(self, concerns: Callable[[Transport], bool] = lambda _: True) -> None:
        """Let nothing through on all connections that are open; new ones work.

        :param concerns: whether a connection is among them, by either of its ends
        """
        open_ends = [transport for transport in self.transports if transport.connected]
        for transport in open_ends:
            if concerns(transport) or concerns(transport.other):
                transport.silent = True

    def freeze(self, host: str) -> None:
        """Have a host stand still: its timers and what reaches it wait, its kernel accepts connections."""
        self._held.setdefault(host, [])

    def thaw(self, host: str) -> None:
        """Have a host go on, with all that came due meanwhile at once."""
        for function, arguments in self._held.pop(host, []):
            self.callLater(0, self.run_on, host, function, *arguments)

    def run_on(self, host: str, function: Callable[..., Any], *arguments: Any) -> None:
        """Call a function for a host, once it goes on where it stands still."""
        if host in self._held:
            self._held[host].append((function, arguments))
        else:
            function(*arguments)

    def kill(self, host: str, *, resets: bool = True) -> None:
        """End the process on a host, which must have been made by ``at``.

        :param resets: whether the other ends of its connections are told, as they are not where power is lost
        """
        process = self._hosts.pop(host)
        process.ended = True
        self._held.pop(host, None)
        for key in [key for key in self.ports if key[0] == host]:
            del self.ports[key]
        for key in [key for key in self.datagram_ports if key[0] == host]:
            del self.datagram_ports[key]
        for transport in self.transports:
            if transport.host == host:
                transport.end_process(resets=resets)
        for connector in process.connectors:
            connector.disconnect()
        self.transports = [one for one in self.transports if one.connected or one.other.connected]

    def is_cut(self, *hosts: str) -> bool:
        """Tell whether any of some hosts is cut off, or two of them from each other."""
        return any(host in self._cut for host in hosts) or frozenset(hosts) in self._cut_pairs

    def limit_link(self, host: str, bytes_per_s: float) -> None:
        """Give a host's link a rate in each direction, which all its connections share in the order of sending."""
        self._link_rates[host] = bytes_per_s

    def compute_queue_s(self, host: str, *, sent: bool) -> float:
        """Return the seconds until all that waits at a host's link in one direction has passed it."""
        return max(0.0, self._free_at.get((host, sent), 0.0) - self.rightNow)

    def carry(self, sender: str, receiver: str, size: int) -> float:
        """Return when a packet arrives that is sent now, behind what waits at the links of both hosts."""
        left_at = self._pass_link((sender, True), size + PACKET_BYTES, self.rightNow)
        return self._pass_link((receiver, False), size + PACKET_BYTES, left_at + self.find_delay(sender, receiver))

    def _pass_link(self, key: tuple[str, bool], size: int, at: float) -> float:
        rate = self._link_rates.get(key[0])
        if rate is None:
            return at
        self._free_at[key] = max(at, self._free_at.get(key, 0.0)) + size / rate
        return self._free_at[key]

    def deliver(self, sender: Transport, kind: str, value: Any) -> None:
        """Bring something to the other end of a connection."""
        if sender.silent or self.is_cut(sender.host, sender.peer_host):
            return
        self._sent += 1
        if kind == "data":
            self.carried[sender.host, sender.peer_host] += len(value)
        late = self.held_up if self._sent % 10 == 0 else 0.0
        size = len(value) if kind == "data" else 0
        sender.arrives_at = max(sender.arrives_at, self.carry(sender.host, sender.peer_host, size) + late)
        self.callLater(sender.arrives_at - self.rightNow, sender.other.take, kind, value)

    def deliver_datagram(self, sender: tuple[str, int], receiver: tuple[str, int], data: bytes) -> None:
        """Bring a datagram to a host, unless it is lost."""
        self.largest_datagram = max(self.largest_datagram, len(data))
        if self.is_cut(sender[0], receiver[0]) or self._random.random() < self.datagram_loss:
            return
        self.carried[sender[0], receiver[0]] += len(data)
        self.callLater(self.find_delay(sender[0], receiver[0]), self._take_datagram, sender, receiver, data)

    def _take_datagram(self, sender: tuple[str, int], receiver: tuple[str, int], data: bytes) -> None:
        found = self.datagram_ports.get(receiver)
        if found is not None:
            self.run_on(receiver[0], found.protocol.datagramReceived, data, sender)

    # --- the test's time ---------------------------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.rightNow + seconds
        while self.rightNow < end - 1e-9:
            self.advance(min(STEP, end - self.rightNow))

    def run_until(self, holds: Callable[[], Any], limit: float = 30.0) -> Any:
        """Let time pass until a condition holds, and return its value."""
        end = self.rightNow + limit
        while not (value := holds()):
            assert self.rightNow < end, f"not within {limit} s"
            self.advance(STEP)
        return value


class _HostTimer:
    """A timer of a process, which waits while its host stands still."""

    def __init__(self, host: HostNetwork, seconds: float, function: Callable[..., Any], arguments: Any) -> None:
        self._host = host
        self._function = function
        self._arguments = arguments
        self._over = False
        self._timer = host.network.callLater(seconds, host.network.run_on, host.name, self._call)

    def active(self) -> bool:
        """Return whether it is still to be called."""
        return not self._over

    def cancel(self) -> None:
        """Have it never called."""
        self._over = True
        if self._timer.active():
            self._timer.cancel()

    def _call(self) -> None:
        if not self._over and not self._host.ended:
            self._over = True
            self._function(*self._arguments)


class HostNetwork:
    """The network as one process sees it: a cut, a distance or a freeze of its host holds for its connections."""

    def __init__(self, network: Network, name: str) -> None:
        self.network = network
        self.name = name
        self.ended = False
        self.connectors: list[_Connector] = []

    def __getattr__(self, name: str) -> Any:
        """Return what the network has."""
        return getattr(self.network, name)

    def callLater(self, seconds: float, function: Callable[..., Any], *arguments: Any) -> _HostTimer:
        """Call a function after some seconds, and once the host goes on."""
        return _HostTimer(self, seconds, function, arguments)

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30) -> _Connector:
        """Connect."""
        connector = _Connector(self.network, host, port, factory, timeout, here=self.name)
        self.connectors.append(connector)
        return connector

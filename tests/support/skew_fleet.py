"""A fleet whose VMs have slow links, and callers most of whose new connections can be handed to one of the VMs."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import ClientFactory

from beamhatch.relay.overload.meter import BYTES_PER_MBIT
from tests.support.platform import Caller, Platform, make_request

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from beamhatch.relay.mechanism import DisabledMechanisms

LINK_MBIT_PER_S = 1.6
SEEDS = ["vm0:8002", "vm1:8002"]

PATIENCE_S = 5.0
"""Seconds until a caller's deadline."""

TRIES = 2
"""Tries of each request."""

STEP_S = 0.01
"""Seconds between two moments at which callers may send."""

SKEW = 0.9
"""Share of the new connections that go to one VM."""

TARGET_S = {"/safe/x": 0.3, "/unsafe/x": 0.3, "/stream/x": 0.9, "/resumable/x": 0.9}
"""Seconds within which an answer is on time, or its first event."""

PATHS = ("/safe/x", "/safe/x", "/unsafe/x", "/stream/x", "/resumable/x")
PROMPT_BYTES = 1500
OUTPUT_TOKENS = 20
EVENT_PADDING = 80


class _Connection(Caller):
    """A caller's connection that may carry one request after another."""

    def __init__(self, vm: str) -> None:
        super().__init__()
        self.vm = vm
        self.attempt: _Attempt | None = None

    def connectionMade(self) -> None:
        """Send what waits for the connection."""
        if self.attempt is not None:
            self.attempt.write()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Tell the attempt."""
        super().connectionLost(reason)
        if self.attempt is not None:
            self.attempt.handle_lost()

    def dataReceived(self, data: bytes) -> None:
        """Tell the attempt."""
        super().dataReceived(data)
        if self.attempt is not None:
            self.attempt.handle_data()


class _Factory(ClientFactory):
    noisy = False

    def __init__(self, connection: _Connection) -> None:
        self._connection = connection

    def buildProtocol(self, _: Any) -> _Connection:
        return self._connection

    def clientConnectionFailed(self, _: Any, reason: Failure) -> None:
        self._connection.closed = True
        if self._connection.attempt is not None:
            self._connection.attempt.handle_lost()


@dataclass
class Call:
    """A request of a caller, with what became of its tries."""

    path: str
    sent_at: float
    tries: list[_Attempt] = field(default_factory=list)

    @property
    def first_read(self) -> _Attempt | None:
        """The first try that a VM has read."""
        return next((one for one in self.tries if one.was_read), None)

    @property
    def is_served(self) -> bool:
        """Whether the first try that was read was answered with success."""
        return self.first_read is not None and self.first_read.is_served

    @property
    def is_on_time(self) -> bool:
        """Whether that was within the target latency, counted from the first try."""
        read = self.first_read
        return self.is_served and read is not None and read.first_at - self.sent_at <= TARGET_S[self.path]


class _Attempt:
    """One try of a request."""

    def __init__(self, fleet: SkewFleet, call: Call, connection: _Connection) -> None:
        self.fleet = fleet
        self.call = call
        self.connection = connection
        self.request = f"r{len(fleet.calls)}-{len(call.tries)}"
        self.first_at = 0.0
        """When the first byte of the answer, or of its first event, came."""
        self.is_served = False
        self.ended = False
        call.tries.append(self)
        connection.attempt = self

    @property
    def was_read(self) -> bool:
        """Whether the VM has read the request."""
        return bool(self.connection.received) or bool(
            self.fleet.platform.journals[self.connection.vm].list_events(self.request)
        )

    def write(self) -> None:
        """Send the request."""
        is_stream = self.call.path.startswith(("/stream", "/resumable"))
        left_ms = 1000 * (PATIENCE_S - (self.fleet.now - self.call.sent_at))
        headers = {"Deadline-Ms": f"{left_ms:.0f}", "Connection": "keep-alive" if self.fleet.keeps else "close"}
        if is_stream:
            headers["Token-Count"] = f"5000,{OUTPUT_TOKENS}"
        body = bytes(PROMPT_BYTES) if is_stream else b"x" if self.call.path == "/unsafe/x" else b""
        self.connection.received = b""
        self.connection.send(make_request(self.call.path, self.request, body=body, headers=headers))

    def handle_data(self) -> None:
        """Note the first byte or event, and the end."""
        if not self.first_at and (b"id: " in self.connection.received or self.connection.whole):
            self.first_at = self.fleet.now
        if self.connection.whole:
            self.is_served = self.connection.status == 200
            self._end()

    def handle_lost(self) -> None:
        """Try again at another VM if this one has not read the request."""
        if not self.ended:
            self._end()
            if not self.was_read and len(self.call.tries) < TRIES:
                self.fleet.send_again(self.call, self.connection.vm)

    def _end(self) -> None:
        self.ended = True
        connection = self.connection
        connection.attempt = None
        if not self.fleet.keeps or b"connection: close" in connection.head.lower().encode():
            if not connection.closed:
                connection.leave()
        elif not connection.closed:
            self.fleet.idle.append(connection)


@dataclass
class SkewFleet:
    """VMs of one hall with links of ``LINK_MBIT_PER_S``, and the requests that callers sent."""

    size: int = 6
    seed: int = 0
    without: DisabledMechanisms = frozenset()
    keeps: bool = False
    """Whether callers keep connections for later requests."""
    told_mbit_per_s: float = LINK_MBIT_PER_S
    """Rate of the links in the settings."""
    platform: Platform = field(default_factory=lambda: Platform(names_hosts=True))
    calls: list[Call] = field(default_factory=list)
    idle: list[_Connection] = field(default_factory=list)
    crowded: str | None = None
    """VM that most new connections go to; None while they are spread evenly."""

    def __post_init__(self) -> None:
        """Start the VMs and have them meet."""
        random.seed(self.seed)  # the relay draws from the module's generator
        self.rng = random.Random(self.seed)
        platform = self.platform
        platform.configure(1)
        for number in range(4):
            platform.add_plain(f"plain-{number}")
            platform.add_engine(f"prefill-{number}", "prefill", kv_tokens=600_000)
            engine = platform.add_engine(f"decode-{number}", "decode", kv_tokens=600_000)
            engine.padding_bytes = EVENT_PADDING
        for number in range(self.size):
            platform.add_vm(f"vm{number}", SEEDS, without=self.without, link_mbit_per_s=self.told_mbit_per_s)
            platform.network.limit_link(f"vm{number}", LINK_MBIT_PER_S * BYTES_PER_MBIT)
        platform.network.run_until(lambda: all(vm.core.ready for vm in platform.vms.values()))
        platform.network.run(4.0)

    @property
    def now(self) -> float:
        """Return the network's time in seconds."""
        return self.platform.network.rightNow

    def run(self, seconds: float, rate: float) -> float:
        """Let time pass while callers send requests, and return when it began.

        :param rate: requests per second to all VMs
        """
        begun_at = self.now
        while self.now < begun_at + seconds - 1e-9:
            expected = rate * STEP_S
            for _ in range(int(expected) + (self.rng.random() < expected % 1)):
                self._send()
            self.platform.network.run(STEP_S)
        return begun_at

    def finish(self) -> None:
        """Wait until each request has an answer, or its caller's time is over."""
        self.platform.network.run(PATIENCE_S + 1.0)

    def _send(self) -> None:
        call = Call(self.rng.choice(PATHS), self.now)
        self.calls.append(call)
        self.idle = [one for one in self.idle if not one.closed]
        if self.idle and self.rng.random() < 0.5:
            attempt = _Attempt(self, call, self.idle.pop(self.rng.randrange(len(self.idle))))
            attempt.write()
        else:
            self._connect(call, self._draw_vm())

    def send_again(self, call: Call, tried: str) -> None:
        """Try a request once more, at another VM than the one that refused it or closed the connection unread."""
        if self.now - call.sent_at < PATIENCE_S:
            self._connect(call, self.rng.choice([vm for vm in self.platform.vms if vm != tried]))

    def _draw_vm(self) -> str:
        if self.crowded is not None and self.rng.random() < SKEW:
            return self.crowded
        return self.rng.choice(list(self.platform.vms))

    def _connect(self, call: Call, vm: str) -> None:
        connection = _Connection(vm)
        _Attempt(self, call, connection)
        self.platform.network.connectTCP(vm, 8000, _Factory(connection), timeout=1.0)

    # --- what became of the requests ---------------------------------------------------------------------------------

    def list_calls(self, since: float, until: float) -> list[Call]:
        """Return the requests sent in a time that a VM has read."""
        return [one for one in self.calls if since <= one.sent_at < until and one.first_read is not None]

    def compute_served(self, since: float, until: float) -> float:
        """Return the share that was served at the first try that was read."""
        calls = self.list_calls(since, until)
        return sum(one.is_served for one in calls) / max(1, len(calls))

    def compute_on_time(self, since: float, until: float) -> float:
        """Return the share that was served on time at the first try that was read."""
        calls = self.list_calls(since, until)
        return sum(one.is_on_time for one in calls) / max(1, len(calls))

    def count_unread(self, since: float, until: float) -> int:
        """Return how many requests no VM has read at any of their tries."""
        return sum(one.first_read is None for one in self.calls if since <= one.sent_at < until)

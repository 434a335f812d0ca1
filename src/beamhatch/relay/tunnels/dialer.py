"""Connect to an upstream directly, or by way of a peer where this VM's own links do not lead there."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

from beamhatch.relay.tunnels.api import Dialer, DialReceiver, Via, allow_any_hall, allow_no_hall
from beamhatch.relay.tunnels.client import TunnelHandler, open_tunnel
from beamhatch.relay.tunnels.direct import DirectDialer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from twisted.internet.protocol import Protocol

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.model import Address
    from beamhatch.relay.tunnels.api import HallFilter
    from beamhatch.relay.tunnels.message import Refusal
    from beamhatch.relay.tunnels.monitor import ReachMonitor
    from beamhatch.relay.tunnels.proxies import Proxy, ProxyChooser

PROVEN_IDLE_S = 1.0
"""Seconds after a response for which a direct connection is taken to work although the address is out of reach."""

MAX_TUNNEL_ATTEMPTS = 2
"""Maximum number of peers asked for one connection."""


class Way(Enum):
    """Way to an upstream."""

    DIRECT = "direct"
    TUNNEL = "tunnel"


def choose_way(
    *,
    direct_tried: bool,
    tunnels_tried: int,
    out_of_reach: bool,
    is_suspect: bool,
    has_proxy: bool,
    try_direct: bool = True,
) -> Way | None:
    """Return the way to try next for a connection, or None if there is none left.

    :param direct_tried: whether a direct attempt has failed
    :param tunnels_tried: number of peers that have failed
    :param out_of_reach: whether this VM's own links are believed not to lead to the upstream
    :param is_suspect: whether a direct failure may be due to this VM's own links
    :param has_proxy: whether there is a peer to ask
    :param try_direct: whether a direct attempt is made if there is no peer to ask
    """
    may_tunnel = has_proxy and tunnels_tried < MAX_TUNNEL_ATTEMPTS
    if may_tunnel and (out_of_reach or (direct_tried and is_suspect)):
        return Way.TUNNEL
    return Way.DIRECT if try_direct and not direct_tried else None


class PathDialer(Dialer):
    """Strategy that goes through a peer where this VM's own links do not lead to an upstream."""

    def __init__(
        self, clock: Clock, journal: Journal, tally: Tally, vm: str, reach: ReachMonitor, chooser: ProxyChooser
    ) -> None:
        self.clock = clock
        self.journal = journal
        self.tally = tally
        self.vm = vm
        self.reach = reach
        self.chooser = chooser
        self.direct = DirectDialer(clock, reach)
        self.list_proxies: Callable[[], Iterable[Proxy]] = list
        """Returns the peers that may carry tunnels."""
        self.find_hall: Callable[[Address], str] = lambda address: ""
        """Returns the hall of the upstream at an address, empty if there is none."""

    def connect(
        self, address: Address, receiver: DialReceiver, timeout: float, may_pass: HallFilter = allow_any_hall
    ) -> None:
        """Connect to an address, by way of a peer if that is necessary and allowed."""
        _Dial(self, address, receiver, timeout, may_pass).start()

    def get_max_idle_s(self, address: Address) -> float:
        """Return the idle time in seconds up to which a direct connection is used before a new one is dialled."""
        return PROVEN_IDLE_S if self.reach.reachability.is_out_of_reach(address) else math.inf

    def should_keep(self, address: Address, via: Via | None) -> bool:
        """Return whether a connection is kept for later calls: not a tunnel that is no longer necessary."""
        return via is None or self.reach.reachability.is_out_of_reach(address)


class _Dial(DialReceiver):
    """The attempts to establish one connection, one after the other."""

    def __init__(
        self, dialer: PathDialer, address: Address, receiver: DialReceiver, timeout: float, may_pass: HallFilter
    ) -> None:
        self.dialer = dialer
        self.address = address
        self.receiver = receiver
        self._timeout = timeout
        self._may_pass = may_pass
        self._direct_tried = False
        self._tried: set[Address] = set()
        """Peers that were asked."""

    def start(self) -> None:
        """Make the first attempt."""
        self._try_next("there is no way to it")

    @property
    def is_wanted(self) -> bool:
        """Return whether anybody waits for the connection."""
        return self.receiver.is_wanted

    def build_protocol(self, via: Via | None) -> Protocol | None:
        """Return the protocol of the established connection."""
        self.dialer.tally.count("connections_by_way_total", (Way.TUNNEL if via else Way.DIRECT).value)
        return self.receiver.build_protocol(via)

    def handle_failure(self, detail: str) -> None:
        """Try the next way, unless nobody waits any longer."""
        if self.is_wanted:
            self._try_next(detail)
        else:
            self.receiver.handle_failure(detail)

    def _try_next(self, detail: str) -> None:
        now = self.dialer.clock.now()
        reachability = self.dialer.reach.reachability
        is_suspect = reachability.is_suspect(self.address, now)
        proxy = self._choose_proxy(now) if is_suspect else None
        must_be_direct = self._may_pass is allow_no_hall
        way = choose_way(
            direct_tried=self._direct_tried,
            tunnels_tried=len(self._tried),
            out_of_reach=reachability.is_out_of_reach(self.address),
            is_suspect=is_suspect,
            has_proxy=proxy is not None,
            try_direct=must_be_direct or not reachability.is_cut_off,  # the prober tries links that are lost
        )
        if way is Way.DIRECT:
            self._direct_tried = True
            self.dialer.direct.connect(self.address, self, self._timeout)
        elif way is Way.TUNNEL and proxy is not None:
            self._tried.add(proxy.address)
            open_tunnel(self.dialer.clock, self.dialer.vm, proxy.address, self.address, _TunnelAttempt(self, proxy))
        else:
            # the caller of connect() may not be ready for the result yet, and may connect again at once
            self.dialer.clock.call_later(0.0, self.receiver.handle_failure, detail)

    def _choose_proxy(self, now: float) -> Proxy | None:
        dialer = self.dialer
        hall = dialer.find_hall(self.address)
        allowed = [one for one in dialer.list_proxies() if self._may_pass(one.hall)]
        return dialer.chooser.choose(allowed, self.address, hall, self._tried, now)


class _TunnelAttempt(TunnelHandler):
    """Attempt to reach the upstream by way of one peer."""

    def __init__(self, dial: _Dial, proxy: Proxy) -> None:
        self._dial = dial
        self._dialer = dial.dialer
        self._via = Via(proxy.address, proxy.hall)

    def build_protocol(self) -> Protocol | None:
        """Return the protocol of the established connection."""
        self._write_log("opened")
        return self._dial.build_protocol(self._via)

    def handle_refusal(self, reason: Refusal) -> None:
        """Record the refusal, and try the next way."""
        self._write_log("refused", reason=reason.value)
        self._dialer.chooser.record_refused(self._via.address, self._dial.address, reason, self._dialer.clock.now())
        self._dial.handle_failure(f"refused by the proxy: {reason.value}")

    def handle_unresponsive(self, detail: str) -> None:
        """Record that the peer did not answer, and try the next way."""
        self._write_log("proxy unresponsive", detail=detail)
        self._dialer.chooser.record_unresponsive(self._via.address, self._dialer.clock.now())
        self._dial.handle_failure(detail)

    def _write_log(self, event: str, **fields: object) -> None:
        self._dialer.tally.count("tunnels_asked_total", event.replace(" ", "_"))
        self._dialer.journal.write("TUNNEL", event, address=str(self._dial.address), proxy=str(self._via), **fields)

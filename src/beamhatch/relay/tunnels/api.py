"""Interfaces to open a connection to an upstream, whichever way it takes."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from twisted.internet.protocol import Protocol

    from beamhatch.relay.model import Address


HallFilter = Callable[[str], bool]
"""Returns whether a connection may go through a peer in a hall."""


def allow_any_hall(_: str) -> bool:
    """Allow peers in any hall."""
    return True


def allow_no_hall(_: str) -> bool:
    """Allow direct connections only."""
    return False


@dataclass(frozen=True, slots=True)
class Via:
    """Peer that a connection goes through."""

    address: Address
    """Where it listens for tunnels."""
    hall: str

    def __str__(self) -> str:
        """Return the form ``HOST:PORT``."""
        return str(self.address)


class DialReceiver(ABC):
    """Receiver of the result of one dial; exactly one of its methods is called last."""

    @property
    @abstractmethod
    def is_wanted(self) -> bool:
        """Return whether anybody waits for the connection."""

    @abstractmethod
    def build_protocol(self, via: Via | None) -> Protocol | None:
        """Return the protocol of the established connection, or None to close it.

        :param via: the peer that the connection goes through; None for a direct one
        """

    @abstractmethod
    def handle_failure(self, detail: str) -> None:
        """Handle the failure of all attempts: no byte was sent."""


class Dialer(ABC):
    """Strategy to connect to upstreams."""

    @abstractmethod
    def connect(
        self, address: Address, receiver: DialReceiver, timeout: float, may_pass: HallFilter = allow_any_hall
    ) -> None:
        """Connect to an address.

        :param timeout: seconds for a direct attempt
        :param may_pass: returns whether the connection may go through a peer in a hall
        """

    def get_max_idle_s(self, address: Address) -> float:
        """Return the idle time in seconds up to which a direct connection is used before a new one is dialled."""
        return math.inf

    def should_keep(self, address: Address, via: Via | None) -> bool:
        """Return whether a connection is kept for later calls."""
        return True


class DialObserver(ABC):
    """Observer of the outcome of direct connection attempts."""

    @abstractmethod
    def record_connected(self, address: Address) -> None:
        """Record an established direct connection."""

    @abstractmethod
    def record_connect_time(self, seconds: float) -> None:
        """Record how long a direct connection took to be established."""

    @abstractmethod
    def record_unreachable(self, address: Address) -> None:
        """Record a direct attempt that was refused or not answered in time."""

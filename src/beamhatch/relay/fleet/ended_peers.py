"""Peers whose processes have ended, told apart from peers that are cut off.

A connection that breaks while messages arrive on it, and a new one that is refused at once, show that the process of
the peer has ended and that the network between the two VMs works.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet import error
from twisted.internet.protocol import ClientFactory, Protocol

if TYPE_CHECKING:
    from twisted.python.failure import Failure


@dataclass(slots=True)
class EndedPeers:
    """The peers of one VM whose processes have ended and have not been met again."""

    _lost: dict[str, int] = field(default_factory=dict)
    """Listing revisions of peers whose connection has just broken, by host; each is being dialled."""
    _ended: dict[str, int] = field(default_factory=dict)
    """Listing revisions of peers that have ended, by host."""

    def record_lost(self, host: str, revision: int) -> None:
        """Record that the last connection to a peer broke, shortly after a message; the peer is to be dialled now.

        :param revision: revision of the listing that the peer had, as of its last heartbeat
        """
        self._lost[host] = revision

    def record_refused(self, host: str) -> None:
        """Record that a host refused a connection."""
        revision = self._lost.pop(host, None)
        if revision is not None:
            self._ended[host] = revision

    def forget(self, host: str) -> None:
        """Record that a peer was met, or did not answer, so that it may run."""
        self._lost.pop(host, None)
        self._ended.pop(host, None)

    def keep(self, hosts: set[str]) -> None:
        """Forget all peers but those at some hosts."""
        self._lost = {host: one for host, one in self._lost.items() if host in hosts}
        self._ended = {host: one for host, one in self._ended.items() if host in hosts}

    def has_ended(self, host: str, revision: int) -> bool:
        """Return whether the peer at a host has ended, with no newer listing than that of a revision."""
        known = self._ended.get(host)
        return known is not None and known <= revision


class ProbeFactory(ClientFactory):
    """Factory of a connection that finds out whether the process of a peer has ended, and is closed at once."""

    noisy = False

    def __init__(self, peers: EndedPeers, host: str) -> None:
        self._peers = peers
        self._host = host

    def buildProtocol(self, _: Any) -> Protocol:
        """Return the protocol of a connection to a peer that runs."""
        self._peers.forget(self._host)
        return _Probe()

    def clientConnectionFailed(self, _: Any, reason: Failure) -> None:
        """Record that the peer has ended, if its host answered."""
        if reason.check(error.ConnectionRefusedError) is not None:
            self._peers.record_refused(self._host)
        else:
            self._peers.forget(self._host)


class _Probe(Protocol):
    def connectionMade(self) -> None:
        """Close the connection."""
        self.transport.abortConnection()

"""Metrics of the bytes and messages that this VM sends to peers, by message kind and distance."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.fleet.gossip_message import Message
    from beamhatch.relay.topology import Topology

LENGTH_PREFIX_BYTES = 4
"""Size of the length prefix of each message."""

UNKNOWN_DISTANCE = "unknown"
"""Distance label for a peer whose hall is not known yet."""


class PeerTraffic:
    """The counters ``peer_bytes_total`` and ``peer_messages_total``, each labelled ``KIND DISTANCE``."""

    def __init__(self, tally: Tally, hall: str, places: Topology) -> None:
        """Create the counters.

        :param hall: the hall of this VM
        """
        self._tally = tally
        self._hall = hall
        self._places = places

    def record_sent(self, message: Message, size: int, hall: str) -> None:
        """Count a sent message.

        :param size: bytes of the encoded message, without its length prefix
        :param hall: the receiver's hall, empty if unknown
        """
        distance = self._places.get_distance(self._hall, hall).name.lower() if hall else UNKNOWN_DISTANCE
        label = f"{type(message).__struct_config__.tag} {distance}"
        self._tally.add("peer_bytes_total", label, size + LENGTH_PREFIX_BYTES)
        self._tally.count("peer_messages_total", label)

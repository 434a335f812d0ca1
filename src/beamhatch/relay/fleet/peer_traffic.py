"""Count the bytes that this VM sends to others, by kind of message and by distance, for the metrics page."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.fleet.gossip_message import Message
    from beamhatch.relay.topology import Topology

LENGTH_BYTES = 4
"""Bytes of the length ahead of each message."""

UNKNOWN_PLACE = "unknown"
"""Label of the distance to a VM that has not said yet where it is."""


class PeerTraffic:
    """The counters ``peer_bytes_total`` and ``peer_messages_total``, each labelled ``KIND DISTANCE``."""

    def __init__(self, tally: Tally, hall: str, places: Topology) -> None:
        """Make one.

        :param hall: the hall of this VM
        """
        self._tally = tally
        self._hall = hall
        self._places = places

    def note_sent(self, message: Message, size: int, hall: str) -> None:
        """Count a message.

        :param size: bytes of the encoded message
        :param hall: the receiver's hall, empty where it is not known
        """
        distance = self._places.get_distance(self._hall, hall).name.lower() if hall else UNKNOWN_PLACE
        label = f"{type(message).__struct_config__.tag} {distance}"
        self._tally.add("peer_bytes_total", label, size + LENGTH_BYTES)
        self._tally.count("peer_messages_total", label)

"""Choose the VMs that keep the record of a stream, and those that are asked for it.

All VMs are placed on a ring by a hash of their address, and a stream by its key. Both choices take the VMs that follow
the stream on the ring of each hall, so they agree without being told of each other, and differ by few VMs while
members join or leave.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_right
from collections import defaultdict
from functools import lru_cache
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from beamhatch.relay.fleet.membership import Member
    from beamhatch.relay.streams.records import StreamKey

SMALL_FLEET = 12
"""Number of other VMs up to which each one keeps every record, as few losses may take most of the fleet."""

OWN_HALL_HOLDERS = 2
"""Holders in the hall of the VM where the stream began, to which its caller probably returns."""

OTHER_HALL_HOLDERS = 1
"""Holders in other halls, in case a hall is lost."""

ASKED_PER_HALL = 3
"""VMs asked in each hall, more than hold a record there, since VMs may know of different members."""

POINTS_PER_MEMBER = 8
"""Positions of a VM on the ring, which even out the number of records that VMs keep."""

POINT_BYTES = 8


@lru_cache(maxsize=4096)
def _compute_points(address: str) -> list[int]:
    digest = hashlib.blake2b(address.encode(), digest_size=POINT_BYTES * POINTS_PER_MEMBER).digest()
    starts = range(0, len(digest), POINT_BYTES)
    return [int.from_bytes(digest[start : start + POINT_BYTES], "big") for start in starts]


class _Ring:
    """Members in the order of their positions."""

    def __init__(self, members: Iterable[Member]) -> None:
        placed = sorted((point, one.address, one) for one in members for point in _compute_points(one.address))
        self._points = [point for point, _, _ in placed]
        self._members = [one for _, _, one in placed]

    def list_from(self, position: int, count: int) -> list[Member]:
        """Return the first ``count`` distinct members behind a position."""
        found: dict[str, Member] = {}
        start = bisect_right(self._points, position)
        for index in range(len(self._members)):
            if len(found) >= count:
                break
            member = self._members[(start + index) % len(self._members)]
            found.setdefault(member.address, member)
        return list(found.values())


class HolderChooser:
    """The holders of all streams among the other VMs, as one VM knows them."""

    def __init__(self, members: list[Member], own_hall: str) -> None:
        """Place the members on rings.

        :param members: the other VMs
        :param own_hall: hall of this VM
        """
        self.members = members
        by_hall: defaultdict[str, list[Member]] = defaultdict(list)
        for one in members:
            by_hall[one.hall].append(one)
        self._rings = {hall: _Ring(found) for hall, found in by_hall.items()}
        self._near = self._rings.get(own_hall, _Ring([]))
        self._far = _Ring(one for one in members if one.hall != own_hall)

    def list_holders(self, key: StreamKey) -> list[Member]:
        """Return the VMs that keep the record of a stream that began at this VM."""
        if len(self.members) <= SMALL_FLEET:
            return self.members
        position = int.from_bytes(key, "big")
        near = self._near.list_from(position, OWN_HALL_HOLDERS)
        missing = OWN_HALL_HOLDERS - len(near)
        far = self._far.list_from(position, OTHER_HALL_HOLDERS + missing)
        if len(far) < OTHER_HALL_HOLDERS:
            near = self._near.list_from(position, OWN_HALL_HOLDERS + OTHER_HALL_HOLDERS)
        return near + far

    def list_asked(self, key: StreamKey) -> list[Member]:
        """Return the VMs that are asked for the record of a stream, wherever it began."""
        if len(self.members) <= SMALL_FLEET:
            return self.members
        return list(self._iterate_asked(int.from_bytes(key, "big")))

    def _iterate_asked(self, position: int) -> Iterator[Member]:
        for ring in self._rings.values():
            yield from ring.list_from(position, ASKED_PER_HALL)

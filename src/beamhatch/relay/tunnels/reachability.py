"""Which upstreams accept connections of this VM; decided from the outcome of connection attempts.

Responses on open connections are no evidence: those may live on while a link takes no new ones.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from beamhatch.relay.model import Address

FAILURES_TO_BLOCK = 2
"""Consecutive failed attempts after which an address counts as out of reach; an upstream that restarts fails once."""

FAILURES_TO_SUSPECT = 2
"""Different addresses that failed in a row after which this VM's own links are suspected."""

FAILURES_TO_CHECK = 3
"""Different addresses that failed in a row after which others are probed, to tell a lost service from lost links."""

FAILURES_TO_CUT_OFF = 5
"""Different addresses that failed in a row after which this VM counts as cut off; fewer if fewer are listed."""

FAILURE_TTL_S = 5.0
"""Seconds after which a failed attempt is no longer part of a row."""


class ReachChange(Enum):
    """What an attempt changed in the belief about this VM's links."""

    NONE = "none"
    CHECK = "check"
    """This VM's own links are suspected, and other upstreams are to be probed."""
    LOST = "lost"
    """One more address is out of reach."""
    REGAINED = "regained"
    """An address is in reach again."""
    CUT_OFF = "cut off"
    """This VM counts as cut off from all upstreams."""
    RECONNECTED = "reconnected"
    """This VM no longer counts as cut off."""


@dataclass(slots=True)
class Reachability:
    """The addresses that refused or ignored this VM's last connection attempts."""

    is_cut_off: bool = False
    """Whether no upstream is believed to accept connections of this VM."""
    _checks: bool = False
    """Whether other upstreams were to be probed since any attempt succeeded."""
    _failures: dict[Address, int] = field(default_factory=dict)
    """Consecutive failed attempts, by address."""
    _row: dict[Address, float] = field(default_factory=dict)
    """Monotonic seconds of the last failure of each address that failed since any attempt succeeded."""

    def record_connected(self, address: Address) -> ReachChange:
        """Record an established connection."""
        was_blocked = self.is_blocked(address)
        was_cut_off, self.is_cut_off = self.is_cut_off, False
        self._failures.pop(address, None)
        self._row.clear()
        self._checks = False
        if was_cut_off:
            return ReachChange.RECONNECTED
        return ReachChange.REGAINED if was_blocked else ReachChange.NONE

    def record_unreachable(self, address: Address, listed: int, now: float) -> ReachChange:
        """Record an attempt that was refused or not answered in time.

        :param listed: number of upstreams that are listed
        """
        self._failures[address] = self._failures.get(address, 0) + 1
        self._drop_old(now)
        self._row[address] = now
        if not self.is_cut_off and len(self._row) >= min(FAILURES_TO_CUT_OFF, max(FAILURES_TO_SUSPECT, listed)):
            self.is_cut_off = True
            return ReachChange.CUT_OFF
        if not self.is_cut_off and not self._checks and len(self._row) >= FAILURES_TO_CHECK:
            self._checks = True
            return ReachChange.CHECK
        return ReachChange.LOST if self._failures[address] == FAILURES_TO_BLOCK else ReachChange.NONE

    def is_blocked(self, address: Address) -> bool:
        """Return whether an address did not accept the last connections of this VM."""
        return self._failures.get(address, 0) >= FAILURES_TO_BLOCK

    def is_out_of_reach(self, address: Address) -> bool:
        """Return whether this VM's own links are believed not to lead to an address."""
        return self.is_cut_off or self._checks or self.is_blocked(address)

    def is_suspect(self, address: Address, now: float) -> bool:
        """Return whether the last failure at an address may be due to this VM's own links."""
        self._drop_old(now)
        return self.is_out_of_reach(address) or len(self._row) >= FAILURES_TO_SUSPECT

    def list_blocked(self) -> list[Address]:
        """Return the addresses that did not accept the last connections of this VM."""
        return [address for address in self._failures if self.is_blocked(address)]

    def list_failed(self) -> list[Address]:
        """Return the addresses whose last connection attempt failed."""
        return list(self._failures)

    def keep_only(self, wanted: Collection[Address]) -> None:
        """Forget other addresses."""
        self._failures = {address: count for address, count in self._failures.items() if address in wanted}
        self._row = {address: at for address, at in self._row.items() if address in wanted}

    def _drop_old(self, now: float) -> None:
        if not self.is_cut_off:
            self._checks = self._checks and any(now - at < FAILURE_TTL_S for at in self._row.values())
            self._row = {address: at for address, at in self._row.items() if now - at < FAILURE_TTL_S}

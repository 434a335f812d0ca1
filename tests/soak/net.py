"""The loopback addresses of one run, which no other run has meanwhile."""

from __future__ import annotations

import socket

NETS = 128
"""Networks 127.64.0.0/16 to 127.191.0.0/16."""

MARK_PORT = 7997
"""Where a run listens for as long as it has a network, so that others see that it is taken."""


class NoNetError(Exception):
    """All networks are taken."""


class Net:
    """A network of this run alone: that of its seed, or the next one that is free."""

    def __init__(self, seed: int) -> None:
        """Take one.

        :raises NoNetError: where all are taken
        """
        for step in range(NETS):
            self.prefix = f"127.{64 + (seed + step) % NETS}"
            self._mark = socket.socket()
            try:
                self._mark.bind((f"{self.prefix}.0.1", MARK_PORT))
                self._mark.listen()
            except OSError:
                self._mark.close()
                continue
            return
        raise NoNetError("all networks of runs are taken")

    def give_back(self) -> None:
        """Leave it to other runs."""
        self._mark.close()

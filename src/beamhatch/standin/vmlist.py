"""A stand-in for the platform's VM list; what is set shows only after a lag."""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING, Any

from beamhatch.standin.base import JsonRoot, announce, listen

if TYPE_CHECKING:
    from twisted.web import server


class VmListRoot(JsonRoot):
    """The list, and the path that sets it."""

    def __init__(self, reactor: Any, lag: float) -> None:
        super().__init__()
        self._reactor = reactor
        self._lag = lag
        self.shown: list[dict[str, str]] = []
        self.routes = {"/vms": lambda request, body: {"vms": self.shown}, "/set": self._set}

    def _set(self, request: server.Request, body: Any) -> object:
        self._reactor.callLater(self._lag, self._show, body["vms"])
        return {}

    def _show(self, vms: list[dict[str, str]]) -> None:
        self.shown = vms


def main() -> None:
    """Run the list as a program."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser(prog="python -m beamhatch.standin.vmlist", description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--lag", type=float, default=1.0)
    options = parser.parse_args()
    listening = listen(reactor, VmListRoot(reactor, options.lag), "127.0.0.1", options.port)
    announce("vmlist", listening.getHost().port)
    reactor.run()


if __name__ == "__main__":
    main()

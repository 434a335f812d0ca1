"""Run one node until it is told to stop."""

from __future__ import annotations

import gc
import os
import signal
import sys
import traceback
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, error

from beamhatch.clock import Clock
from beamhatch.command.api import EXIT_FAULT, EXIT_OK, EXIT_USAGE
from beamhatch.observe.log import start_logs
from beamhatch.task.node import Node

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.settings.schema import Settings


def serve(settings: Settings, reactor: Any, on_ready: Callable[[Node], None] | None = None) -> int:
    """Run one node.

    The first SIGTERM or SIGINT begins a planned stop; the second cuts what is under way.

    :param on_ready: called when the node listens
    :return: the exit code
    """
    start_logs(settings.log.format, settings.log.level, vm=settings.vm, hall=settings.hall)
    node = Node(settings, Clock(reactor))
    exit_codes: list[int] = []

    def start() -> None:
        try:
            node.start()
        except error.CannotListenError as problem:
            print(
                f"beamhatchd: can't listen on {problem.interface}:{problem.port}: {problem.socketError}",
                file=sys.stderr,
            )
            exit_codes.append(EXIT_USAGE)
            reactor.stop()
            return
        except Exception:  # a fault of ours: show it, and don't stay half started
            traceback.print_exc()
            exit_codes.append(EXIT_FAULT)
            reactor.stop()
            return
        gc.collect()
        gc.freeze()  # what was loaded stays: later collections need not look through it
        print(f"READY {settings.vm} caller={node.caller_port} admin={node.admin_port} peer={node.mesh.address}")
        sys.stdout.flush()
        if on_ready is not None:
            on_ready(node)

    def take_signal(number: int, _: Any) -> None:
        reactor.callFromThread(_stop, node, reactor)

    def stop_hard() -> None:
        sys.stderr.flush()
        os._exit(EXIT_FAULT)

    node.router.stop_hard = stop_hard
    reactor.callWhenRunning(start)
    signal.signal(signal.SIGTERM, take_signal)
    signal.signal(signal.SIGINT, take_signal)
    reactor.run(installSignalHandlers=False)
    return exit_codes[0] if exit_codes else EXIT_OK


def _stop(node: Node, reactor: Any) -> None:
    if node.stopping:
        node.cut_all()
        return

    def end(_: Any) -> None:
        if reactor.running:
            reactor.stop()

    defer.ensureDeferred(node.stop()).addBoth(end)

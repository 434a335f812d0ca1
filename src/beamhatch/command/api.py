"""How subcommands of ``beamhatchd`` register themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable

    Handler = Callable[[argparse.Namespace], int]
    Adder = Callable[[argparse.ArgumentParser], None]

EXIT_OK = 0
EXIT_FAULT = 1
EXIT_USAGE = 2

COMMANDS: dict[str, tuple[str, Adder, Handler]] = {}
"""Help, arguments and handler by name."""


def register(name: str, *, help_text: str, add_arguments: Adder) -> Callable[[Handler], Handler]:
    """Register a subcommand; its handler returns the exit code."""

    def take(handler: Handler) -> Handler:
        COMMANDS[name] = (help_text, add_arguments, handler)
        return handler

    return take

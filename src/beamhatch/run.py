"""The daemon's entry: parse the command line and hand over to a subcommand."""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING

from beamhatch import __version__
from beamhatch.command import check, run, standalone
from beamhatch.command.api import COMMANDS

if TYPE_CHECKING:
    from collections.abc import Sequence

_REGISTERED = (check, run, standalone)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of ``beamhatchd``."""
    parser = argparse.ArgumentParser(prog="beamhatchd", description="Route requests across prefill and decode pools.")
    parser.add_argument("--version", action="version", version=f"beamhatchd {__version__}")
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name, (help_text, add_arguments, _) in COMMANDS.items():
        add_arguments(subparsers.add_parser(name, help=help_text, description=help_text))
    return parser


def run_command(arguments: Sequence[str]) -> int:
    """Run one subcommand and return the exit code."""
    options = make_parser().parse_args(arguments)
    _, _, handler = COMMANDS[options.command]
    return handler(options)


def main() -> None:
    """Run as a program."""
    sys.exit(run_command(sys.argv[1:]))

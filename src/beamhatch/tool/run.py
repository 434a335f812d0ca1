"""The operators' tool: parse the command line and hand over to a subcommand."""

from __future__ import annotations

import argparse
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from beamhatch import __version__
from beamhatch.tool import complete, configure, logs, look
from beamhatch.tool.api import COMMANDS, EXIT_UNREACHABLE, EXIT_USAGE, Command, complain
from beamhatch.tool.client import AdminClient, Unreachable

if TYPE_CHECKING:
    from collections.abc import Sequence

_REGISTERED = (look, configure, complete, logs)
DEFAULT_ADMIN = "http://127.0.0.1:8081"
EXIT_CODES = """\
exit codes: 0 done, 1 it did not work, 2 wrong usage or input, 3 the VM does not answer, 4 a conflict, \
5 unknown (ask by the change's id)"""


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of ``beamhatch``."""
    parser = argparse.ArgumentParser(
        prog="beamhatch", description="Operate beamhatch by its admin API.", epilog=EXIT_CODES
    )
    parser.add_argument("--version", action="version", version=f"beamhatch {__version__}")
    parser.add_argument(
        "--admin", metavar="URL", default=os.environ.get("BEAMHATCH_ADMIN", DEFAULT_ADMIN), help="or BEAMHATCH_ADMIN"
    )
    parser.add_argument(
        "--token-file", metavar="FILE", default=os.environ.get("BEAMHATCH_TOKEN_FILE"), help="or BEAMHATCH_TOKEN_FILE"
    )
    parser.add_argument("--json", action="store_true", help="print JSON instead of tables")
    subparsers = parser.add_subparsers(dest="first", required=True, metavar="COMMAND")
    groups: dict[str, Any] = {}
    for words, command in COMMANDS.items():
        if len(words) == 1:
            _add_command(subparsers, words, command)
            continue
        if words[0] not in groups:
            group = subparsers.add_parser(words[0], help=f"{words[0]} commands")
            groups[words[0]] = group.add_subparsers(dest="second", required=True, metavar="COMMAND")
        _add_command(groups[words[0]], words, command)
    return parser


def run_tool(arguments: Sequence[str]) -> int:
    """Run one subcommand and return the exit code."""
    options = make_parser().parse_args(arguments)
    token = None
    if options.token_file:
        try:
            token = Path(options.token_file).read_text(encoding="utf-8").strip()
        except OSError as error:
            complain(f"{options.token_file} can't be read: {error.strerror}")
            return EXIT_USAGE
    client = AdminClient(options.admin, token)
    try:
        return COMMANDS[options.words].handler(client, options)
    except Unreachable as error:
        complain(str(error))
        return EXIT_UNREACHABLE


def main() -> None:
    """Run as a program."""
    sys.exit(run_tool(sys.argv[1:]))


def _add_command(subparsers: Any, words: tuple[str, ...], command: Command) -> None:
    parser = subparsers.add_parser(
        words[-1],
        help=command.help_text,
        description=command.help_text,
        epilog=f"example: {command.example}",
    )
    parser.add_argument("--json", action="store_true", default=argparse.SUPPRESS, help="print JSON instead of tables")
    command.add_arguments(parser)
    parser.set_defaults(words=words)

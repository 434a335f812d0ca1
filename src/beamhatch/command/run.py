"""``beamhatchd run``: one entry VM's process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from beamhatch.command.api import EXIT_USAGE, register
from beamhatch.command.check import read_settings

if TYPE_CHECKING:
    import argparse


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options."""
    parser.add_argument("--settings", required=True, metavar="FILE", help="JSON with comments; docs/settings.md")
    add_ports(parser)


def add_ports(parser: argparse.ArgumentParser) -> None:
    """Add the options of the two ports."""
    parser.add_argument("--caller-port", type=int, metavar="PORT", help="where callers connect; 0 picks a free one")
    parser.add_argument("--admin-port", type=int, metavar="PORT", help="where operators connect; 0 picks a free one")


@register("run", help_text="run one entry VM's process", add_arguments=add_arguments)
def run(options: argparse.Namespace) -> int:
    """Run until stopped."""
    settings = read_settings(options.settings)
    if settings is None:
        return EXIT_USAGE
    if options.caller_port is not None:
        settings = replace(settings, caller=replace(settings.caller, port=options.caller_port))
    if options.admin_port is not None:
        settings = replace(settings, admin=replace(settings.admin, port=options.admin_port))
    from twisted.internet import reactor

    from beamhatch.command.serve import serve

    return serve(settings, reactor)

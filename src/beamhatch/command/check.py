"""``beamhatchd check``: check a settings file."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from beamhatch.command.api import EXIT_OK, EXIT_USAGE, register
from beamhatch.settings.check import Rejected, load_settings

if TYPE_CHECKING:
    import argparse

    from beamhatch.settings.schema import Settings


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options."""
    parser.add_argument("--settings", required=True, metavar="FILE", help="JSON with comments")
    parser.add_argument(
        "--platform", action="store_true", help="the file is the one (TOML) that the users' platform writes"
    )


@register("check", help_text="check a settings file, and list everything that is wrong", add_arguments=add_arguments)
def check(options: argparse.Namespace) -> int:
    """Check a file; exit with 0 or 2."""
    good = _is_good_on_platform(options.settings) if options.platform else read_settings(options.settings) is not None
    if not good:
        return EXIT_USAGE
    print(f"{options.settings}: good")
    return EXIT_OK


def _is_good_on_platform(path: str) -> bool:
    from beamhatch.platform.settings import SettingsError
    from beamhatch.platform.settings import read_settings as read_platform_settings

    try:
        read_platform_settings(path)
    except SettingsError as problem:
        print(problem, file=sys.stderr)
        return False
    return True


def read_settings(path: str) -> Settings | None:
    """Return the settings of a file, or print every problem."""
    loaded = load_settings(path)
    if isinstance(loaded, Rejected):
        for problem in loaded.problems:
            print(problem, file=sys.stderr)
        return None
    return loaded

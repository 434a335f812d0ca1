"""How subcommands of ``beamhatch`` register themselves, and what they share."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable, Sequence

    from beamhatch.tool.client import AdminClient

EXIT_OK = 0
EXIT_FAILED = 1
"""The VM answered that it did not work."""
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
"""No answer from the admin API."""
EXIT_CONFLICT = 4
"""A change met another one."""
EXIT_UNKNOWN = 5
"""Nobody can tell yet whether a change was accepted; ask by its id."""


@dataclass(frozen=True, slots=True)
class Command:
    """One subcommand."""

    help_text: str
    example: str
    add_arguments: Callable[[argparse.ArgumentParser], None]
    handler: Callable[[AdminClient, argparse.Namespace], int]


COMMANDS: dict[tuple[str, ...], Command] = {}
"""By the words that call it."""


def register(
    *words: str,
    help_text: str,
    example: str,
    add_arguments: Callable[[argparse.ArgumentParser], None] = lambda parser: None,
) -> Callable[[Callable[[AdminClient, argparse.Namespace], int]], Callable[[AdminClient, argparse.Namespace], int]]:
    """Register a subcommand; its handler returns the exit code."""

    def take(
        handler: Callable[[AdminClient, argparse.Namespace], int],
    ) -> Callable[[AdminClient, argparse.Namespace], int]:
        COMMANDS[words] = Command(help_text, example, add_arguments, handler)
        return handler

    return take


def show(value: Any, options: argparse.Namespace, columns: Sequence[str] = ()) -> int:
    """Print a value as JSON, or rows as a table."""
    if options.json:
        print(json.dumps(value, indent=2))
    elif isinstance(value, list):
        print_table(value, columns)
    else:
        for name, item in value.items():
            print(f"{name}: {item}")
    return EXIT_OK


def print_table(rows: Sequence[dict[str, Any]], columns: Sequence[str]) -> None:
    """Print rows under their column names."""
    names = list(columns) or (list(rows[0]) if rows else [])
    cells = [[_format(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[index]) for line in [names, *cells]) for index in range(len(names))]
    for line in [[name.upper() for name in names], *cells]:
        print("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


def complain(message: str) -> None:
    """Print an error."""
    print(f"beamhatch: {message}", file=sys.stderr)


def _format(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    if isinstance(value, dict):
        return ",".join(f"{name}={item}" for name, item in value.items())
    return str(value)

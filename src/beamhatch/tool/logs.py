"""Subcommands that read the relays' log lines: one request's way, and what happened to all, second by second."""

from __future__ import annotations

import json
import sys
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any

from beamhatch.tool.api import EXIT_FAILED, EXIT_OK, EXIT_USAGE, complain, print_table, register, show

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterable, Iterator

    from beamhatch.tool.client import AdminClient

Line = dict[str, Any]
SHOWN_APART = ("at", "vm", "part", "event", "request", "route")
QUIET = frozenset({"sent", "answered", "reserved", "listed", "met", "in force"})
"""Events of a calm day, left out of the summary."""


def read_lines(name: str) -> Iterator[Line]:
    """Return the log lines in a file, or of standard input for ``-``; what stands before the JSON is passed over."""
    text: Iterable[str] = sys.stdin if name == "-" else Path(name).read_text(encoding="utf-8").splitlines()
    for line in text:
        start = line.find('{"at"')
        if start < 0:
            continue
        try:
            yield json.loads(line[start:])
        except ValueError:
            continue


def _add_file(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", help="log lines, one JSON object each; - for standard input")


def _add_request(parser: argparse.ArgumentParser) -> None:
    _add_file(parser)
    parser.add_argument("request", help="the request's id")


@register(
    "logs",
    "request",
    help_text="all decisions that touched one request",
    example="beamhatch logs request relay.log 9c41d07be2a35f68",
    add_arguments=_add_request,
)
def show_request(_: AdminClient, options: argparse.Namespace) -> int:
    """Show one request's way through the VMs."""
    lines = _read(options.file)
    if lines is None:
        return EXIT_USAGE
    found = [line for line in lines if line.get("request") == options.request]
    if not found:
        complain(f"no line is about request {options.request}")
        return EXIT_FAILED
    if options.json:
        return show(found, options)
    rows = [
        {
            "vm": line.get("vm"),
            "at": f"{line['at']:.3f}",
            "event": line["event"],
            "inputs": {name: value for name, value in line.items() if name not in SHOWN_APART},
        }
        for line in found
    ]
    print_table(rows, ("vm", "at", "event", "inputs"))
    return EXIT_OK


@register(
    "logs",
    "summary",
    help_text="what went wrong, by VM, event and upstream",
    example="beamhatch logs summary relay.log",
    add_arguments=_add_file,
)
def show_summary(_: AdminClient, options: argparse.Namespace) -> int:
    """Count the events that a calm day does not have."""
    lines = _read(options.file)
    if lines is None:
        return EXIT_USAGE
    counts: Counter[tuple[str, str, str, str]] = Counter()
    first: dict[tuple[str, str, str, str], float] = {}
    last: dict[tuple[str, str, str, str], float] = {}
    for line in lines:
        if line["event"] in QUIET:
            continue
        key = (line.get("vm", ""), line["part"], line["event"], _name_object(line))
        counts[key] += 1
        first.setdefault(key, line["at"])
        last[key] = line["at"]
    rows = [
        {
            "vm": key[0],
            "part": key[1],
            "event": key[2],
            "of": key[3],
            "count": count,
            "from": first[key],
            "to": last[key],
        }
        for key, count in sorted(counts.items(), key=lambda item: (item[0][1], item[0][2], -item[1]))
    ]
    return show(rows, options, ("part", "event", "of", "vm", "count", "from", "to"))


def _name_object(line: Line) -> str:
    for field in ("to", "upstream", "watch", "reason"):
        if field in line:
            return str(line[field])
    return str(line.get("detail", ""))[:60]


def _read(name: str) -> list[Line] | None:
    try:
        return list(read_lines(name))
    except OSError as problem:
        complain(f"{name} can't be read: {problem.strerror}")
        return None

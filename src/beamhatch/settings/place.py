"""Find the lines of keys in JSON with comments, and keys that stand twice."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

_TOKEN = re.compile(
    r"""(?P<space>\s+|//[^\n]*|/\*.*?\*/)
      | (?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
      | (?P<mark>[{}\[\],:])
      | (?P<other>[^\s{}\[\],:"']+)""",
    re.VERBOSE | re.DOTALL,
)

Path = tuple[str | int, ...]


@dataclass(slots=True)
class _Container:
    is_list: bool
    path: Path
    seen: set[str] = field(default_factory=set)
    index: int = 0
    key: str | None = None


@dataclass(slots=True)
class Places:
    """Where each value of a text stands."""

    lines: dict[Path, int] = field(default_factory=dict)
    duplicates: list[tuple[Path, int]] = field(default_factory=list)

    def find_line(self, path: Path) -> int:
        """Return the line of the value at a path, or of the nearest one around it; lines count from 1."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


def locate(text: str) -> Places:
    """Return the places of all values in a text that a JSON5 parser has accepted."""
    places = Places(lines={(): 1})
    stack: list[_Container] = []
    line = 1
    for match in _TOKEN.finditer(text):
        token = match.group()
        if match.lastgroup != "space":
            _take_token(token, match.lastgroup == "mark", line, stack, places)
        line += token.count("\n")
    return places


def _take_token(token: str, is_mark: bool, line: int, stack: list[_Container], places: Places) -> None:
    top = stack[-1] if stack else None
    if is_mark and token in "{[":
        path = _enter_value(top, line, places)
        stack.append(_Container(is_list=token == "[", path=path))
    elif is_mark and token in "}]":
        stack.pop()
    elif is_mark and token == ",":
        _go_to_next(top)
    elif is_mark:
        return
    elif top is not None and not top.is_list and top.key is None:
        _enter_key(top, token.strip("\"'"), line, places)
    else:
        _enter_value(top, line, places)


def _enter_key(top: _Container, key: str, line: int, places: Places) -> None:
    top.key = key
    if key in top.seen:
        places.duplicates.append(((*top.path, key), line))
    top.seen.add(key)
    places.lines[(*top.path, key)] = line


def _enter_value(top: _Container | None, line: int, places: Places) -> Path:
    if top is None:
        return ()
    path = (*top.path, top.index if top.is_list else top.key or "")
    places.lines.setdefault(path, line)
    return path


def _go_to_next(top: _Container | None) -> None:
    if top is None:
        return
    top.index += 1
    top.key = None

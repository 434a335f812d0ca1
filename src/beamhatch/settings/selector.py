"""Selectors on labels, in the form that operators know: ``a=b, a!=b, a in (b, c), a notin (b), a, !a``."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class SelectorError(ValueError):
    """The text is not a selector."""


class Match(Enum):
    """How a term compares a label."""

    IN = "in"
    NOT_IN = "notin"
    PRESENT = "present"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class Term:
    """One condition on one label."""

    label: str
    match: Match
    values: frozenset[str] = frozenset()

    def fits(self, labels: Mapping[str, str]) -> bool:
        """Tell whether a set of labels meets the condition; a missing label is in no set."""
        value = labels.get(self.label)
        if self.match is Match.PRESENT:
            return value is not None
        if self.match is Match.ABSENT:
            return value is None
        if self.match is Match.IN:
            return value in self.values
        return value not in self.values


Selector = tuple[Term, ...]

_NAME = r"[A-Za-z0-9][A-Za-z0-9._/-]*"
_SET = re.compile(rf"^({_NAME})\s+(in|notin)\s*\(([^()]*)\)$")
_EQUAL = re.compile(rf"^({_NAME})\s*(==|=|!=)\s*({_NAME})$")
_PRESENCE = re.compile(rf"^(!?)\s*({_NAME})$")


def parse_selector(text: str) -> Selector:
    """Return the terms of a selector, which must all fit.

    :raises SelectorError: where a term is not understood, with the term
    """
    if not text.strip():
        return ()
    parts = re.split(r",(?![^()]*\))", text)
    return tuple(_parse_term(part.strip()) for part in parts)


def select(selector: Selector, labels: Mapping[str, str]) -> bool:
    """Tell whether labels meet all terms of a selector."""
    return all(term.fits(labels) for term in selector)


def _parse_term(text: str) -> Term:
    if found := _SET.match(text):
        values = frozenset(value.strip() for value in found[3].split(",") if value.strip())
        if not values:
            raise SelectorError(f"{text!r} names no values")
        return Term(found[1], Match.IN if found[2] == "in" else Match.NOT_IN, values)
    if found := _EQUAL.match(text):
        match = Match.NOT_IN if found[2] == "!=" else Match.IN
        return Term(found[1], match, frozenset((found[3],)))
    if found := _PRESENCE.match(text):
        return Term(found[2], Match.ABSENT if found[1] else Match.PRESENT)
    raise SelectorError(f"{text!r} is not understood")

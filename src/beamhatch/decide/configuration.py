"""The configuration aggregate: which documents are in force, and what a change makes of them.

A *head* names every document by the hash of its body, carries a sequence number that only grows, and the last changes
with their ids. A change is accepted at the moment when the platform's key-value service swaps the head. So a reply
that was lost is settled by reading: a change whose id stands in the head was accepted.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from beamhatch.ids import ChangeId, Sequence
from beamhatch.settings.check import check_documents, digest_document, encode_document, name_document
from beamhatch.settings.schema import Document, Policy, Pool, Slice, Workspace

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_HEAD_CHANGES = 100
"""Changes that the head remembers; an operator who asks later is told that it is not known any more."""


class ChangeNote(msgspec.Struct, frozen=True):
    """What is kept of an accepted change."""

    change: str
    sequence: int
    operator: str
    time: float
    """Seconds since 1970, by the VM that made the change."""
    reason: str
    documents: list[str]


class Head(msgspec.Struct, frozen=True):
    """One accepted configuration: all its documents by name and hash."""

    sequence: int = 0
    documents: dict[str, str] = {}
    changes: list[ChangeNote] = []


@dataclass(frozen=True, slots=True)
class Change:
    """What an operator asks for."""

    change: ChangeId
    operator: str
    reason: str
    put: dict[str, bytes] = field(default_factory=dict)
    """Bodies by document name."""
    remove: tuple[str, ...] = ()
    base: dict[str, str | None] = field(default_factory=dict)
    """The hashes that the operator saw, where the change depends on them; None for a document that was not there."""


@dataclass(frozen=True, slots=True)
class NextHead:
    """The head that a change would make."""

    head: Head


@dataclass(frozen=True, slots=True)
class AlreadyAccepted:
    """The change is part of the configuration."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A document that the change depends on is not as the operator saw it."""

    document: str
    expected: str | None
    found: str | None


@dataclass(frozen=True, slots=True)
class Invalid:
    """The configuration would not be usable."""

    problems: tuple[str, ...]


Plan = NextHead | AlreadyAccepted | Conflict | Invalid


@dataclass(slots=True)
class Configuration:
    """The configuration in force on one VM; its sequence never goes back."""

    head: Head = field(default_factory=Head)
    bodies: dict[str, bytes] = field(default_factory=dict)
    """By hash."""
    documents: dict[str, Document] = field(default_factory=dict)
    loaded: bool = False
    """True once a configuration came from the settings, the platform or a peer."""

    def list_missing_hashes(self, head: Head) -> list[str]:
        """Return the hashes of a head whose bodies are not here."""
        return sorted({digest for digest in head.documents.values() if digest not in self.bodies})

    def apply(self, head: Head, bodies: dict[str, bytes]) -> bool:
        """Put a configuration in force if it is newer and whole; return whether it was."""
        if self.loaded and head.sequence <= self.head.sequence:
            return False
        known = {**self.bodies, **bodies}
        if any(digest not in known for digest in head.documents.values()):
            return False
        self.documents = {name: decode_body(known[digest]) for name, digest in head.documents.items()}
        self.bodies = {digest: known[digest] for digest in head.documents.values()}
        self.head = head
        self.loaded = True
        return True

    def plan(self, change: Change, head: Head, bodies: dict[str, bytes], now: float) -> Plan:
        """Return what a change makes of a head.

        :param head: the newest head that the platform holds
        :param bodies: bodies that this configuration lacks
        """
        for note in head.changes:
            if note.change == change.change:
                return AlreadyAccepted(note.sequence)
        for name, expected in change.base.items():
            if head.documents.get(name) != expected:
                return Conflict(name, expected, head.documents.get(name))
        documents = {name: digest for name, digest in head.documents.items() if name not in change.remove}
        documents.update({name: digest_document(body) for name, body in change.put.items()})
        known = {**self.bodies, **bodies, **{digest_document(body): body for body in change.put.values()}}
        decoded = [decode_body(known[digest]) for _, digest in sorted(documents.items())]
        problems = check_documents(decoded, "configuration")
        if problems:
            return Invalid(tuple(f"{problem.path}: {problem.message}. {problem.remedy}" for problem in problems))
        sequence = head.sequence + 1
        changed_names = sorted([*change.put, *change.remove])
        note = ChangeNote(change.change, sequence, change.operator, now, change.reason, changed_names)
        return NextHead(Head(sequence, documents, [*head.changes, note][-MAX_HEAD_CHANGES:]))

    # --- reading ---------------------------------------------------------------------------------------------------

    def list_pools(self) -> list[Pool]:
        """Return all pools."""
        return [document for document in self.documents.values() if isinstance(document, Pool)]

    def list_workspaces(self) -> list[Workspace]:
        """Return all workspaces."""
        return [document for document in self.documents.values() if isinstance(document, Workspace)]

    def list_policies(self) -> list[Policy]:
        """Return all policies."""
        return [document for document in self.documents.values() if isinstance(document, Policy)]

    def list_slices(self) -> list[Slice]:
        """Return all slices, highest rank first."""
        slices = [document for document in self.documents.values() if isinstance(document, Slice)]
        return sorted(slices, key=lambda item: (-item.rank, item.name))


def make_initial_head(documents: Iterable[Document]) -> tuple[Head, dict[str, bytes]]:
    """Return the head and bodies of documents that a settings file carries; its sequence is 0."""
    bodies = {name_document(document): encode_document(document) for document in documents}
    names = {name: digest_document(body) for name, body in bodies.items()}
    return Head(Sequence(0), names), {names[name]: body for name, body in bodies.items()}


def decode_body(body: bytes) -> Document:
    """Return the document that a stored body holds."""
    return msgspec.json.decode(body, type=Document)

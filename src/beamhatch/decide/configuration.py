"""The active configuration of a VM, and the planning of changes to it.

A *head* lists all documents by the hash of their body, with an increasing sequence number and the ids of recent
changes. A change is accepted when the platform's key-value service replaces the head by compare-and-swap. After a lost
reply, reading the head tells whether the change was accepted: its id is then in the head.
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
"""Number of recent changes listed in the head; the result of an older change can no longer be looked up."""


class ChangeNote(msgspec.Struct, frozen=True):
    """The entry of an accepted change in the head."""

    change: str
    sequence: int
    operator: str
    time: float
    """Unix time in seconds, from the clock of the VM that made the change."""
    reason: str
    documents: list[str]


class Head(msgspec.Struct, frozen=True):
    """An accepted configuration: the hashes of all documents by name."""

    sequence: int = 0
    documents: dict[str, str] = {}
    changes: list[ChangeNote] = []


@dataclass(frozen=True, slots=True)
class Change:
    """A change requested by an operator."""

    change: ChangeId
    operator: str
    reason: str
    put: dict[str, bytes] = field(default_factory=dict)
    """Bodies by document name."""
    remove: tuple[str, ...] = ()
    base: dict[str, str | None] = field(default_factory=dict)
    """Expected hashes of documents that the change depends on; None for a document that must not exist."""


@dataclass(frozen=True, slots=True)
class NextHead:
    """The head that results from a change."""

    head: Head


@dataclass(frozen=True, slots=True)
class AlreadyAccepted:
    """The change is already part of the configuration."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A document that the change depends on differs from the expected one."""

    document: str
    expected: str | None
    found: str | None


@dataclass(frozen=True, slots=True)
class Invalid:
    """The resulting configuration would be invalid."""

    problems: tuple[str, ...]


Plan = NextHead | AlreadyAccepted | Conflict | Invalid


@dataclass(slots=True)
class Configuration:
    """The active configuration of one VM; its sequence number never decreases."""

    head: Head = field(default_factory=Head)
    bodies: dict[str, bytes] = field(default_factory=dict)
    """Document bodies by hash."""
    documents: dict[str, Document] = field(default_factory=dict)
    loaded: bool = False
    """True once a configuration was applied from the settings, the platform or a peer."""

    def list_missing_hashes(self, head: Head) -> list[str]:
        """Return the hashes in a head whose bodies are missing, sorted."""
        return sorted({digest for digest in head.documents.values() if digest not in self.bodies})

    def apply(self, head: Head, bodies: dict[str, bytes]) -> bool:
        """Activate a configuration if it is newer and all its bodies are known; return whether it was activated."""
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
        """Return the result of applying a change to a head.

        :param head: the newest head that the platform holds
        :param bodies: document bodies, by hash, that are missing from this configuration
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

    # --- documents -------------------------------------------------------------------------------------------------

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
    """Return the head, with sequence number 0, and the bodies of the documents in a settings file."""
    bodies = {name_document(document): encode_document(document) for document in documents}
    names = {name: digest_document(body) for name, body in bodies.items()}
    return Head(Sequence(0), names), {names[name]: body for name, body in bodies.items()}


def decode_body(body: bytes) -> Document:
    """Decode a stored document body."""
    return msgspec.json.decode(body, type=Document)

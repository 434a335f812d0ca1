"""Decide at which version a stream that a caller resumes may go on, from what this VM and its peers know."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from beamhatch.relay.model import ServiceName, SoftwareVersion

ISOLATED_RETRY_S = 1.0
"""Seconds after which a caller may come back that a VM without peers refused; it probably reaches another VM."""


@dataclass(frozen=True, slots=True)
class Begun:
    """A version of a service began the stream."""

    label: ClassVar[str] = "known"
    service: ServiceName
    version: SoftwareVersion


@dataclass(frozen=True, slots=True)
class OnlyVersion:
    """It is not recorded what began the stream, but nobody knows of more than one version of the service."""

    label: ClassVar[str] = "only_version"
    version: SoftwareVersion | None
    """The one version; None if none is known."""


@dataclass(frozen=True, slots=True)
class UnknownVersion:
    """It is not known which of several versions began the stream, or whether there are several."""

    label: ClassVar[str] = "unknown"
    silent: int = 0
    """Number of VMs that did not answer and may know it."""
    wait_s: float = 0.0
    """Seconds until this VM may know more, 0 if it will not."""

    @property
    def is_final(self) -> bool:
        """Return whether a later attempt would find out no more."""
        return not self.silent and not self.wait_s


Origin = Begun | OnlyVersion | UnknownVersion


@dataclass(slots=True)
class Knowledge:
    """What one VM knows of the versions of a service."""

    versions: set[SoftwareVersion] = field(default_factory=set)
    """Versions that are listed, or were until recently."""
    has_several: bool = False
    """Whether there are several, by its listing or a peer's."""
    is_complete: bool = False
    """Whether no other version can have begun a stream that still goes on."""


@dataclass(slots=True)
class Lookup:
    """The answers to one query. A record decides; without one the stream goes on only if there is just one version."""

    known: Knowledge
    """What this VM and those that answered know."""
    unanswered: set[str]
    """Addresses of the VMs that were asked and have not answered."""
    wait_s: float = 0.0
    """Seconds until this VM has met its peers, 0 if it has."""
    complete_wait_s: float = 0.0
    """Seconds until this VM knows all versions, 0 if it does."""
    is_isolated: bool = False
    """Whether this VM reaches neither a peer nor the store, and so may have missed a version."""
    silent_halls: dict[str, set[str]] = field(default_factory=dict)
    """Other halls of which no VM has answered, with the addresses of those that were asked there."""
    asked: int = field(init=False)
    _half_suffices: bool = field(init=False)
    """Whether this VM itself would know of a second version."""

    def __post_init__(self) -> None:
        """Count the VMs that were asked."""
        self.asked = len(self.unanswered)
        self._half_suffices = self.known.is_complete

    def add_answer(self, address: str, record: Begun | None, knowledge: Knowledge) -> Origin | None:
        """Add a VM's answer; return the origin once it is certain enough.

        All VMs are waited for, since any may hold the record; but if only one version is known, also to this VM, which
        knows all versions, the answers of half of them suffice.
        """
        self.unanswered.discard(address)
        self.silent_halls = {hall: vms for hall, vms in self.silent_halls.items() if address not in vms}
        if record is not None:
            return record
        self.add_knowledge(knowledge)
        known = self.known
        answered = self.asked - len(self.unanswered)
        if not self.unanswered or (self._half_suffices and not known.has_several and 2 * answered >= self.asked):
            return self.conclude()
        return None

    def add_knowledge(self, knowledge: Knowledge) -> None:
        """Add what another VM, or the store, knows of the service's versions."""
        known = self.known
        known.versions |= knowledge.versions
        known.has_several = known.has_several or knowledge.has_several or len(known.versions) > 1
        known.is_complete = known.is_complete or knowledge.is_complete

    def conclude(self) -> Origin:
        """Return the origin of a stream of which no record was found, after the time for answers is over.

        One version is the only one if a VM that answered, or this one, knows that there was no other.
        """
        if self.known.has_several:
            return UnknownVersion(len(self.unanswered), self.wait_s)
        if not self.known.is_complete:
            return UnknownVersion(len(self.unanswered), max(self.wait_s, self.complete_wait_s))
        if self.is_isolated and self.asked == len(self.unanswered):
            return UnknownVersion(len(self.unanswered), max(self.wait_s, ISOLATED_RETRY_S))
        return OnlyVersion(next(iter(self.known.versions), None))

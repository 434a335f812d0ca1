"""What the relay needs of a platform: its headers, its store and its documents. An adapter fills these classes in."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from beamhatch.relay.choosing.standing import Load
    from beamhatch.relay.fleet.evacuations import Evacuation
    from beamhatch.relay.model import (
        Fingerprint,
        Handle,
        Phase,
        RequestFacts,
        Reservation,
        RoutingTable,
        Stage,
        Upstream,
    )
    from beamhatch.relay.upstreams.http_client import Call
    from beamhatch.relay.upstreams.listing import Entry
    from beamhatch.relay.workspaces.workspace import WorkspaceName

Headers = list[tuple[str, str]]
"""Names and values in the order in which they are sent."""


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A request that no upstream would take, with the status to answer it by."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class SendOptions:
    """What the relay tells an upstream beside the caller's own headers."""

    stage: Stage
    expected_upstream: str
    """Id of the upstream that is meant."""
    time_left: float
    """Seconds."""
    handle: Handle | None = None
    reservation: Reservation | None = None
    last_event: int | None = None
    strips_credentials: bool = False
    """True where the caller's key and workspace are told by the relay and not by the caller's own headers."""
    workspace: WorkspaceName | None = None
    """Whose request it is."""


@dataclass(frozen=True, slots=True)
class AnnouncedLimit:
    """The limit that an upstream names in an answer."""

    rate: float | None
    """Requests a second that it takes from all VMs together; None where what it says can't be read."""


UNREADABLE_LIMIT = AnnouncedLimit(None)


@dataclass(frozen=True, slots=True)
class ResponseFacts:
    """What the head of an upstream's answer says."""

    request_id: str | None
    """Id of the request that is answered."""
    from_upstream: bool = False
    """True where an upstream vouches that the answer is its own."""
    not_run: bool = False
    """True where the upstream proves that it has not run the request."""
    encoded: bool = False
    """True where the body is not as the upstream made it."""
    load: Load | None = None
    leaving: bool = False
    """True where the upstream says that it leaves."""
    backoff: float | None = None
    """Seconds for which the upstream wants nothing from this VM; None where it asks for no rest."""
    limit: AnnouncedLimit | None = None
    """None where the upstream names no limit."""


class Dialect(ABC):
    """How requests and answers are written on the wire."""

    @abstractmethod
    def read_request(self, headers: Headers) -> RequestFacts | BadRequest:
        """Return what a caller's headers say."""

    @abstractmethod
    def write_request(self, headers: Headers, terms: SendOptions) -> Headers:
        """Return the headers for an upstream, from those of the caller that concern no single connection."""

    @abstractmethod
    def read_response(self, status: int, headers: Headers) -> ResponseFacts:
        """Return what an upstream's headers say."""

    @abstractmethod
    def read_handle(self, body: bytes) -> str | None:
        """Return the id of the KV cache that the answer to a prefill names, or None where it names none."""

    @abstractmethod
    def make_release_call(self, handle: Handle) -> Call:
        """Return the call that frees a KV cache."""

    @abstractmethod
    def make_reserve_call(self, upstream: Upstream, tokens: int, lifetime: float) -> Call:
        """Return the call that sets KV memory aside for some seconds."""

    @abstractmethod
    def read_reservation(self, body: bytes) -> str | None:
        """Return the id of what was set aside, or None where the answer names none."""

    @abstractmethod
    def make_phase_change_call(self, upstream: Upstream, phase: Phase, holder: str, token: int) -> Call:
        """Return the call that has an engine play another part.

        :param token: rises from holder to holder
        """

    @abstractmethod
    def make_unreserve_call(self, reservation: Reservation) -> Call:
        """Return the call that gives back what was set aside."""


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store gave no answer, or refused to serve this VM."""

    detail: str


@dataclass(frozen=True, slots=True)
class RevisionExpired:
    """The store no longer knows what happened since the revision."""


@dataclass(frozen=True, slots=True)
class Document:
    """The operators' configuration, as written and as read, with the revision of its change."""

    raw: bytes
    table: RoutingTable


@dataclass(frozen=True, slots=True)
class DirectiveUpdate:
    """What the operators wrote, as of a revision; ``document`` is None where it did not change or can't be read."""

    document: Document | None
    evacuations: Sequence[Evacuation]
    """Halls that are emptied, or no longer are."""
    revision: int
    authoritative: bool = True
    """False where the store was just restored, or may have been: what a list lacks may be written again."""


@dataclass(frozen=True, slots=True)
class ListingUpdate:
    """News of upstreams up to a revision."""

    entries: Sequence[Entry]
    revision: int
    authoritative: bool = True
    """False where the store was just restored, or may have been: what a list lacks may be written again."""


@dataclass(frozen=True, slots=True)
class LeadershipState:
    """Whether a VM leads, and what the last order was, as of a revision."""

    has_leader: bool
    last_order: int
    """The revision at which the last order was written down; 0 where none ever was."""
    revision: int
    order: str = ""
    """The last order, as it was written down."""
    quarantined: Sequence[Fingerprint] = ()
    """Requests whose quarantine is kept: they are read with what a few VMs watch anyway, and cost no call."""
    restored: bool = False
    """True where the store was restored since it was read last, or within seconds before."""
    order_may_be_lost: bool = False
    """True where the store has no order, and may have lost one in a restore."""


@dataclass(frozen=True, slots=True)
class LeadershipClaim:
    """The leadership is this VM's, by a claim at a revision, as long as it keeps the lease."""

    lease: int
    revision: int


@dataclass(frozen=True, slots=True)
class LeadershipTaken:
    """Another VM leads."""


class Store(ABC):
    """The platform's store, read linearizably. Each call is paid for; a waiting watch is one call."""

    @abstractmethod
    async def read_directives(self, known: int) -> DirectiveUpdate | StoreUnavailable:
        """Return the configuration in force, and all halls that are emptied.

        :param known: the revision up to which all evacuations are known by now, 0 where nobody has told
        """

    @abstractmethod
    async def watch_directives(self, after: int, wait: float) -> DirectiveUpdate | StoreUnavailable | RevisionExpired:
        """Return what the operators changed behind a revision as soon as they do, or nothing after some seconds."""

    @abstractmethod
    async def read_listing(self, known: int) -> ListingUpdate | StoreUnavailable:
        """Return all upstreams.

        :param known: the lowest revision among the entries that are known by now, 0 where there are none
        """

    @abstractmethod
    async def watch_listing(self, after: int, wait: float) -> ListingUpdate | StoreUnavailable | RevisionExpired:
        """Return changes of upstreams behind a revision as soon as there are any, or after some seconds."""

    @abstractmethod
    async def store_quarantine(self, fingerprint: Fingerprint, seconds: float) -> StoreUnavailable | None:
        """Keep the quarantine of a request for some seconds, whatever becomes of the VMs."""

    @abstractmethod
    async def delete_quarantine(self, fingerprint: Fingerprint) -> StoreUnavailable | None:
        """Keep the quarantine of a request no longer."""

    @abstractmethod
    async def read_leadership(self) -> LeadershipState | StoreUnavailable:
        """Return who leads, what the last order was, and which requests are held."""

    @abstractmethod
    async def watch_leadership(self, after: int, wait: float) -> bool | StoreUnavailable:
        """Return True as soon as something changed behind a revision, or is not known any more; False after a time."""

    @abstractmethod
    async def claim_leadership(
        self, holder: str, lifetime: float, seen: LeadershipState
    ) -> LeadershipClaim | LeadershipTaken | StoreUnavailable:
        """Claim the leadership on the condition that nobody has it, and that no order was given since it was seen."""

    @abstractmethod
    async def renew_leadership(self, claim: LeadershipClaim, timeout: float) -> bool | StoreUnavailable:
        """Renew the lease of a claim; False where it is over."""

    @abstractmethod
    async def record_order(self, claim: LeadershipClaim, order: str) -> bool | StoreUnavailable:
        """Write an order down on the condition that the claim stands; False where it does not."""


class Documents(ABC):
    """How the platform writes what peers hand on to each other."""

    @abstractmethod
    def read_configuration(self, raw: bytes) -> RoutingTable | None:
        """Return the configuration in a document, or None where it can't be read."""

"""Interfaces between the relay and a platform: headers, store and documents. A platform adapter implements them."""

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
    from beamhatch.relay.store_results import RevisionExpired, StoreUnavailable
    from beamhatch.relay.streams.api import StreamStore
    from beamhatch.relay.upstreams.call import Call
    from beamhatch.relay.upstreams.listing import Entry
    from beamhatch.relay.workspaces.workspace import WorkspaceName

Headers = list[tuple[str, str]]
"""Names and values of HTTP headers, in the order of sending."""


@dataclass(frozen=True, slots=True)
class BadRequest:
    """Rejection of a request with invalid headers, with the status of the response."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class SendOptions:
    """Values that the relay sends to an upstream in addition to the caller's headers."""

    stage: Stage
    expected_upstream: str
    """Id of the upstream that the request is intended for."""
    time_left: float
    """Seconds until the deadline."""
    handle: Handle | None = None
    reservation: Reservation | None = None
    last_event: int | None = None
    strips_credentials: bool = False
    """Whether the caller's headers for API key and workspace are dropped, since the relay sets the workspace."""
    workspace: WorkspaceName | None = None
    """Workspace of the caller."""


@dataclass(frozen=True, slots=True)
class AnnouncedLimit:
    """Rate limit that an upstream announces in a response."""

    rate: float | None
    """Requests per second that it accepts from all VMs together; None if the announcement is unreadable."""


UNREADABLE_LIMIT = AnnouncedLimit(None)


@dataclass(frozen=True, slots=True)
class ResponseFacts:
    """Properties of a response, from the headers that the upstream sent."""

    request_id: str | None
    """Id of the request that the response belongs to."""
    from_upstream: bool = False
    """Whether the response comes from the upstream itself, and not from something in front of it."""
    not_run: bool = False
    """Whether the upstream states that it has not run the request."""
    encoded: bool = False
    """Whether the body has a content encoding."""
    load: Load | None = None
    leaving: bool = False
    """Whether the upstream announces its departure."""
    backoff: float | None = None
    """Seconds for which the upstream asks this VM to send no requests; None if it does not ask."""
    limit: AnnouncedLimit | None = None
    """None if the upstream announces no limit."""


class Dialect(ABC):
    """Encoding of requests and responses on the wire."""

    @abstractmethod
    def read_request(self, headers: Headers) -> RequestFacts | BadRequest:
        """Parse a caller's headers."""

    @abstractmethod
    def write_request(self, headers: Headers, terms: SendOptions) -> Headers:
        """Return the headers for an upstream, given the end-to-end headers of the caller."""

    @abstractmethod
    def read_response(self, status: int, headers: Headers) -> ResponseFacts:
        """Parse an upstream's response headers."""

    @abstractmethod
    def read_handle(self, body: bytes) -> str | None:
        """Return the id of the KV cache in the response to a prefill, or None if it has none."""

    @abstractmethod
    def make_release_call(self, handle: Handle) -> Call:
        """Return the call that frees a KV cache."""

    @abstractmethod
    def make_reserve_call(self, upstream: Upstream, tokens: int, lifetime: float) -> Call:
        """Return the call that reserves KV memory.

        :param lifetime: seconds for which the reservation is kept
        """

    @abstractmethod
    def read_reservation(self, body: bytes) -> str | None:
        """Return the id of a reservation, or None if the response has none."""

    @abstractmethod
    def make_phase_change_call(self, upstream: Upstream, phase: Phase, holder: str, token: int) -> Call:
        """Return the call that orders an engine to change its phase.

        :param token: fencing token, which increases with each holder of the leadership
        """

    @abstractmethod
    def make_unreserve_call(self, reservation: Reservation) -> Call:
        """Return the call that cancels a reservation."""


@dataclass(frozen=True, slots=True)
class Document:
    """Operators' configuration, as raw bytes and parsed."""

    raw: bytes
    table: RoutingTable


@dataclass(frozen=True, slots=True)
class DirectiveUpdate:
    """Operators' directives as of a revision; ``document`` is None if it did not change or is unreadable."""

    document: Document | None
    evacuations: Sequence[Evacuation]
    """Halls whose evacuation has begun or ended."""
    revision: int
    authoritative: bool = True
    """False if the store was or may have been restored recently: entries that are missing may be written again."""


@dataclass(frozen=True, slots=True)
class ListingUpdate:
    """Entries of upstreams as of a revision."""

    entries: Sequence[Entry]
    revision: int
    authoritative: bool = True
    """False if the store was or may have been restored recently: entries that are missing may be written again."""


@dataclass(frozen=True, slots=True)
class LeadershipState:
    """State of the leadership and the last order, as of a revision."""

    has_leader: bool
    last_order: int
    """Revision at which the last order was recorded; 0 if there was none."""
    revision: int
    order: str = ""
    """Text of the last order, as recorded."""
    quarantined: Sequence[Fingerprint] = ()
    """Requests whose quarantine is stored; they are part of this state to save a separate call."""
    restored: bool = False
    """Whether the store was restored since the last read, or shortly before it."""
    order_may_be_lost: bool = False
    """Whether the store has no order but may have lost one in a restore."""


@dataclass(frozen=True, slots=True)
class LeadershipClaim:
    """Claim of this VM to the leadership, valid while its lease is renewed."""

    lease: int
    revision: int


@dataclass(frozen=True, slots=True)
class LeadershipTaken:
    """Result of a claim to the leadership while another VM holds it."""


class Store(ABC):
    """The platform's store, with linearizable reads. Each call is billed; a watch counts as one call."""

    @property
    @abstractmethod
    def streams(self) -> StreamStore:
        """Return the part that keeps the versions of services and open streams."""

    @abstractmethod
    async def read_directives(self, known: int) -> DirectiveUpdate | StoreUnavailable:
        """Return the current configuration, and all evacuated halls.

        :param known: revision up to which all evacuations are known to this VM, 0 if none are
        """

    @abstractmethod
    async def watch_directives(
        self, after: int, wait: float, margin: float
    ) -> DirectiveUpdate | StoreUnavailable | RevisionExpired:
        """Return the operators' changes after a revision as soon as there are any, or none after ``wait`` seconds.

        :param margin: seconds after ``wait`` within which the answer must arrive
        """

    @abstractmethod
    async def read_listing(self, known: int) -> ListingUpdate | StoreUnavailable:
        """Return all upstreams.

        :param known: lowest revision among the entries that this VM knows, 0 if it knows none
        """

    @abstractmethod
    async def watch_listing(
        self, after: int, wait: float, margin: float
    ) -> ListingUpdate | StoreUnavailable | RevisionExpired:
        """Return changes of upstreams after a revision as soon as there are any, or none after ``wait`` seconds.

        :param margin: seconds after ``wait`` within which the answer must arrive
        """

    @abstractmethod
    async def store_quarantine(self, fingerprint: Fingerprint, seconds: float) -> StoreUnavailable | None:
        """Store the quarantine of a request for some seconds, so that it outlives the VMs."""

    @abstractmethod
    async def delete_quarantine(self, fingerprint: Fingerprint) -> StoreUnavailable | None:
        """Delete the stored quarantine of a request."""

    @abstractmethod
    async def read_leadership(self) -> LeadershipState | StoreUnavailable:
        """Return whether a VM leads, the last order, and the requests whose quarantine is stored."""

    @abstractmethod
    async def watch_leadership(self, after: int, wait: float, margin: float) -> bool | StoreUnavailable:
        """Return True once the state changes after a revision or the revision expired; False after ``wait`` seconds.

        :param margin: seconds after ``wait`` within which the answer must arrive
        """

    @abstractmethod
    async def claim_leadership(
        self, holder: str, lifetime: float, seen: LeadershipState
    ) -> LeadershipClaim | LeadershipTaken | StoreUnavailable:
        """Claim the leadership on condition that no VM holds it, and no order was recorded after ``seen`` was read.

        :param lifetime: seconds until the lease expires unless it is renewed
        """

    @abstractmethod
    async def renew_leadership(self, claim: LeadershipClaim, timeout: float) -> bool | StoreUnavailable:
        """Renew the lease of a claim; return False if it has expired."""

    @abstractmethod
    async def record_order(self, claim: LeadershipClaim, order: str) -> bool | StoreUnavailable:
        """Record an order on condition that the claim is valid; return False if it is not."""


class Documents(ABC):
    """Encoding of the documents that peers forward to each other."""

    @abstractmethod
    def read_configuration(self, raw: bytes) -> RoutingTable | None:
        """Parse a configuration document; return None if it is invalid."""

"""Interface through which attempts at upstreams report to the request that they serve."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.relay.core import Core
    from beamhatch.relay.model import Reservation, SoftwareVersion, Upstream
    from beamhatch.relay.quarantine.digests import RequestDigests
    from beamhatch.relay.requests.request import RelayRequest
    from beamhatch.relay.requests.response import BufferedResponse
    from beamhatch.relay.upstreams.attempt import Attempt
    from beamhatch.relay.upstreams.call import ResponseHead
    from beamhatch.relay.upstreams.connection import Correlation
    from beamhatch.relay.upstreams.reserve_attempt import ReserveAttempt


class AttemptOwner(ABC):
    """The request that attempts are made for."""

    core: Core
    request: RelayRequest
    digests: RequestDigests
    correlation: Correlation
    """The calls of the request whose responses carry its ID."""

    @abstractmethod
    def write_log(self, event: str, **fields: object) -> None:
        """Write a log event about this request."""

    @abstractmethod
    def replan_after(self, attempt: Attempt | ReserveAttempt) -> None:
        """Plan the next step after an attempt that did not complete the request."""

    # --- sends -------------------------------------------------------------------------------------------------------

    @abstractmethod
    def handle_request_sent(self, attempt: Attempt) -> None:
        """Record that the request is being sent."""

    @abstractmethod
    def seek_alternative(self, attempt: Attempt) -> None:
        """Seek another upstream as the attempt's is silent; the attempt goes on if that one responds first."""

    @abstractmethod
    def admits(self, attempt: Attempt) -> bool:
        """Return whether an attempt that responds may continue the stream now; if not, it is released later."""

    @abstractmethod
    def settle_on(self, attempt: Attempt) -> None:
        """Continue a stream with an attempt whose upstream responds, and cancel all others."""

    @property
    @abstractmethod
    def is_searching(self) -> bool:
        """Return whether another upstream is sought, or was found and has not responded."""

    # --- responses ---------------------------------------------------------------------------------------------------

    @abstractmethod
    def send_response(self, response: BufferedResponse) -> None:
        """Send a buffered upstream response to the caller."""

    @abstractmethod
    def keep_upstream_failure(self, response: BufferedResponse) -> None:
        """Keep an upstream's error response for the caller in case no other upstream succeeds."""

    @abstractmethod
    def begin_stream(self, head: ResponseHead, version: SoftwareVersion) -> None:
        """Send the status and headers of a stream to the caller.

        :param version: software version of the upstream that sends the stream
        """

    @abstractmethod
    def send_events(self, data: bytes) -> None:
        """Send complete events to the caller."""

    @abstractmethod
    def send_comments(self, data: bytes) -> None:
        """Send comments and blank lines between two events to the caller."""

    @abstractmethod
    def end_stream(self) -> None:
        """End a complete stream to the caller."""

    @abstractmethod
    def record_first_event(self) -> None:
        """Record how long decode memory was held before the first event, when that event arrives."""

    # --- reservations ------------------------------------------------------------------------------------------------

    @abstractmethod
    def handle_reserved(self, reservation: Reservation) -> None:
        """Record that an engine has reserved memory for the request."""

    @abstractmethod
    def accept_late_reservation(self, reservation: Reservation) -> bool:
        """Use memory that an engine granted late, and return True, unless the request does not need it."""

    @abstractmethod
    def handle_late_rejection(self, upstream: Upstream) -> None:
        """Record that an engine rejected a reservation late, and plan again if the request waits for that."""

    @abstractmethod
    def handle_late_failure(self, upstream: Upstream) -> None:
        """Record that a reservation will not be answered any more, and plan again if the request waits for that."""

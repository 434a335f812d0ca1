"""Find out which software version began the stream that a caller resumes."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING

from beamhatch.relay.streams.origins import PendingLookup

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.core import Core
    from beamhatch.relay.requests.request import Fail, Refuse, RelayRequest
    from beamhatch.relay.streams.lookup import Origin


class OriginSearch:
    """The search for the origin of one request's stream."""

    def __init__(
        self,
        core: Core,
        request: RelayRequest,
        compute_elapsed_s: Callable[[], float],
        write_log: Callable[..., None],
        on_end: Callable[[Refuse | Fail | None], None],
    ) -> None:
        """Create it without starting it.

        :param compute_elapsed_s: returns the seconds since the request arrived
        :param write_log: writes a log event about the request
        :param on_end: called with None if the stream may go on, else with why not
        """
        self._core = core
        self._request = request
        self._compute_elapsed_s = compute_elapsed_s
        self._write_log = write_log
        self._on_end = on_end
        self._lookup: PendingLookup | None = None

    @property
    def is_active(self) -> bool:
        """Return whether the search has begun and not ended."""
        return self._lookup is not None

    def start(self) -> None:
        """Begin the search, which may end at once."""
        facts = self._request.facts
        self._write_log("resumes a stream", began_as=facts.resumed_request, last_event=facts.last_event)
        found = self._core.origins.look_up(facts.resumed_request, self._request.service.name, self._apply)
        if isinstance(found, PendingLookup):
            self._lookup = found
        else:
            self._apply(found)

    def cancel(self) -> None:
        """End the search without a result."""
        if self._lookup is not None:
            self._core.origins.cancel(self._lookup)

    def _apply(self, origin: Origin) -> None:
        """Hold the request to the version that began its stream."""
        self._lookup = None
        self._core.tally.count("stream_origins_total", origin.label)
        self._write_log("origin", found=origin.label, seconds=self._compute_elapsed_s(), **asdict(origin))
        self._on_end(self._request.apply_origin(origin))

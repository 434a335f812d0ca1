"""Make the calls to upstreams of one request, and the attempts that carry them out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.api import SendOptions
from beamhatch.relay.callers.headers import strip_hop_by_hop
from beamhatch.relay.model import RouteKind, Stage
from beamhatch.relay.upstreams.call import Call
from beamhatch.relay.upstreams.plain_attempt import PlainAttempt
from beamhatch.relay.upstreams.prefill_attempt import PrefillAttempt
from beamhatch.relay.upstreams.stream_attempt import StreamAttempt

if TYPE_CHECKING:
    from beamhatch.relay.core import Core
    from beamhatch.relay.requests.api import NewRequest
    from beamhatch.relay.requests.request import RelayRequest, Reserve, Send
    from beamhatch.relay.upstreams.api import AttemptOwner
    from beamhatch.relay.upstreams.attempt import Attempt


class UpstreamCalls:
    """The calls of one request, which carry what its caller sent."""

    def __init__(self, core: Core, new: NewRequest, request: RelayRequest) -> None:
        self._dialect = core.dialect
        self._admitted = new.admitted
        self._incoming = new.incoming
        self._request = request
        self._headers = strip_hop_by_hop(new.incoming.headers)

    def make_attempt(self, owner: AttemptOwner, send: Send) -> Attempt:
        """Return an attempt that is not started."""
        if send.stage is Stage.PREFILL:
            return PrefillAttempt(owner, send)
        if self._request.route.kind is RouteKind.STREAMING:
            return StreamAttempt(owner, send)
        return PlainAttempt(owner, send)

    def make_call(self, send: Send, time_left_s: float) -> Call:
        """Return the call that carries out a step.

        :param time_left_s: seconds until the request times out
        """
        request = self._request
        terms = SendOptions(
            stage=send.stage,
            expected_upstream=send.upstream.id,
            time_left=time_left_s,
            handle=send.handle,
            reservation=send.reservation,
            last_event=request.last_event if request.route.resumable else request.facts.last_event,
            strips_credentials=self._admitted.keyed,
            workspace=self._admitted.workspace,
        )
        headers = self._dialect.write_request(self._headers, terms)
        return Call(self._incoming.method, self._incoming.target, headers, self._incoming.body)

    def make_reserve_call(self, step: Reserve) -> Call:
        """Return the call that reserves decode memory."""
        return self._dialect.make_reserve_call(step.upstream, step.tokens, step.lifetime_s)

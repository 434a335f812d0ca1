"""Calls that return a complete response as a deferred, as used for the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from beamhatch.relay.requests.response import BufferedResponse
from beamhatch.relay.tunnels.api import allow_any_hall
from beamhatch.relay.upstreams.call import CallFailure, ResponseSink

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.relay.model import Address
    from beamhatch.relay.tunnels.api import HallFilter
    from beamhatch.relay.upstreams.call import Call, ResponseHead
    from beamhatch.relay.upstreams.connection import HttpExchange
    from beamhatch.relay.upstreams.http_client import HttpClient

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Maximum size of the body of a fetched response."""


class _Fetch(ResponseSink):
    def __init__(self, clock: Clock, timeout: float, handle_silence: Callable[[], None], max_body_bytes: int) -> None:
        """Create a sink.

        :param handle_silence: called if there is no response in time
        """
        self._handle_silence = handle_silence
        self._max_body_bytes = max_body_bytes
        self.done: defer.Deferred[BufferedResponse | str] = defer.Deferred(self._handle_cancel)
        self.exchange: HttpExchange | None = None
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self._timer: Any = clock.call_later(timeout, self._handle_timeout)

    def get_max_body_bytes(self) -> int | None:
        return self._max_body_bytes

    def handle_head(self, head: ResponseHead) -> None:
        self._head = head

    def handle_data(self, data: bytes) -> None:
        self._body += data

    def handle_end(self) -> None:
        assert self._head is not None
        self._finish(BufferedResponse(self._head, bytes(self._body)))

    def handle_failure(self, failure: CallFailure, detail: str) -> None:
        self._finish(f"{failure.value}: {detail}")

    def _handle_timeout(self) -> None:
        self._cancel()
        self._handle_silence()
        self._finish("no answer in time")

    def _handle_cancel(self, _: Any) -> None:
        self._cancel()
        if self._timer.active():
            self._timer.cancel()

    def _cancel(self) -> None:
        if self.exchange is not None:
            self.exchange.cancel()

    def _finish(self, result: BufferedResponse | str) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self.done.called:
            self.done.callback(result)


def fetch(
    client: HttpClient,
    clock: Clock,
    address: Address,
    call: Call,
    timeout: float,
    may_pass: HallFilter = allow_any_hall,
    *,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> defer.Deferred[BufferedResponse | str]:
    """Send a call; the deferred fires with the response, or with the error as text.

    Cancelling the deferred closes the connection. If there is no response in time, the idle connections to the address
    are closed as well: they may have stopped delivering together with this one.

    :param timeout: seconds
    :param may_pass: returns whether the call may go through a peer in a hall
    """
    sink = _Fetch(clock, timeout, lambda: client.close_idle(address), max_body_bytes)
    sink.exchange = client.open(address, call, sink, may_pass=may_pass)
    return sink.done

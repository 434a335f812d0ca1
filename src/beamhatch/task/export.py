"""Send finished traces to an OTLP collector; what can't be sent is dropped."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import defer

from beamhatch.observe.trace import Trace, encode_otlp

if TYPE_CHECKING:
    from beamhatch.edge.http import HttpClient

MOST_OPEN = 20
SEND_LIMIT = 2.0


class SpanExporter:
    """Sends traces, a few at a time."""

    def __init__(self, client: HttpClient, url: str | None, vm: str) -> None:
        self._client = client
        self._url = url
        self._vm = vm
        self._open = 0

    def export(self, trace: Trace) -> None:
        """Send one trace."""
        if self._url is not None and self._open < MOST_OPEN:
            self._open += 1
            defer.ensureDeferred(self._send(self._url, trace))

    async def _send(self, url: str, trace: Trace) -> None:
        await self._client.ask_json("POST", url, encode_otlp(trace, self._vm), limit=SEND_LIMIT)
        self._open -= 1

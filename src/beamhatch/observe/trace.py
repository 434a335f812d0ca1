"""Traces: a span for each hop, W3C trace context in and out.

A small tracer of our own keeps the resident memory of a VM at rest low: the OpenTelemetry SDK alone would take a good
part of the 64 MB. The exported form is OTLP/HTTP in JSON.
"""

from __future__ import annotations

import re
import secrets
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_TRACEPARENT = re.compile(r"^[0-9a-f]{2}-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$")


@dataclass(slots=True)
class Span:
    """One hop of one request."""

    trace: str
    span: str
    parent: str
    name: str
    start: float
    """Seconds since 1970."""
    end: float | None = None
    attributes: dict[str, str | int | float] = field(default_factory=dict)

    def to_header(self) -> str:
        """Return the W3C ``traceparent`` under which the next hop is to hang its spans."""
        return f"00-{self.trace}-{self.span}-01"


@dataclass(slots=True)
class Trace:
    """The spans of one request."""

    request: str
    spans: list[Span] = field(default_factory=list)
    sampled: bool = True


class Tracer:
    """Makes spans, and keeps the last traces for operators to look at."""

    def __init__(self, now: Callable[[], float], kept: int, sampled: float = 1.0) -> None:
        self._now = now
        self._kept = kept
        self._sampled = sampled
        self._traces: OrderedDict[str, Trace] = OrderedDict()
        self.export: Callable[[Trace], None] | None = None

    def begin(self, request: str, traceparent: str | None) -> tuple[Trace, Span]:
        """Start the trace of a request, under the caller's trace where it sent a valid one."""
        found = _TRACEPARENT.match(traceparent or "")
        trace_id, parent = (found[1], found[2]) if found else (secrets.token_hex(16), "")
        trace = Trace(request, sampled=secrets.randbelow(1_000_000) < self._sampled * 1_000_000)
        self._traces[request] = trace
        while len(self._traces) > self._kept:
            self._traces.popitem(last=False)
        return trace, self._add(trace, trace_id, parent, "request")

    def start(self, trace: Trace, name: str, **attributes: str | int | float) -> Span:
        """Start a span under the request's own one."""
        root = trace.spans[0]
        span = self._add(trace, root.trace, root.span, name)
        span.attributes.update(attributes)
        return span

    def end(self, span: Span | None, **attributes: str | int | float) -> None:
        """End a span, once."""
        if span is None or span.end is not None:
            return
        span.end = self._now()
        span.attributes.update(attributes)

    def finish(self, trace: Trace) -> None:
        """End what is still open in a trace and send it off."""
        for span in trace.spans:
            self.end(span)
        if self.export is not None and trace.sampled:
            self.export(trace)

    def find(self, request: str) -> Trace | None:
        """Return a kept trace by its request."""
        return self._traces.get(request)

    def _add(self, trace: Trace, trace_id: str, parent: str, name: str) -> Span:
        span = Span(trace_id, secrets.token_hex(8), parent, name, self._now())
        trace.spans.append(span)
        return span


def encode_otlp(trace: Trace, vm: str) -> dict[str, object]:
    """Return a trace in the JSON form of OTLP/HTTP."""
    spans = [
        {
            "traceId": span.trace,
            "spanId": span.span,
            "parentSpanId": span.parent,
            "name": span.name,
            "kind": 1,
            "startTimeUnixNano": str(int(span.start * 1e9)),
            "endTimeUnixNano": str(int((span.end or span.start) * 1e9)),
            "attributes": [
                {"key": key, "value": {"stringValue": str(value)}} for key, value in span.attributes.items()
            ],
        }
        for span in trace.spans
    ]
    resource = [
        {"key": "service.name", "value": {"stringValue": "beamhatch"}},
        {"key": "host.name", "value": {"stringValue": vm}},
    ]
    scope = {"scope": {"name": "beamhatch"}, "spans": spans}
    return {"resourceSpans": [{"resource": {"attributes": resource}, "scopeSpans": [scope]}]}

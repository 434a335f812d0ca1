"""Stand-ins that record what reached them and which of them sent each event, and a platform made of them."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from beamhatch.platform.standin.base import read_headers
from beamhatch.platform.standin.upstream import StandInEngine, StandInUpstream, UpstreamFault
from beamhatch.relay.model import Address
from tests.support.platform import MODEL, PLAIN, Platform

if TYPE_CHECKING:
    from beamhatch.clock import Clock
    from beamhatch.platform.standin.upstream import Ledger
    from beamhatch.relay.callers.http_server import IncomingRequest, RequestHandler, Responder

_EVENT_ID = re.compile(rb"id: (\d+)\ndata: ")


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an upstream, which may have been paused."""

    at: float
    request: str
    upstream: str
    is_prefill: bool


@dataclass(frozen=True, slots=True)
class Span:
    """A span of time in seconds of the network's clock."""

    begin: float
    end: float

    def overlaps(self, begin: float, end: float) -> bool:
        """Return whether it has a moment in common with another span."""
        return self.begin <= end and begin <= self.end


@dataclass(slots=True)
class Record:
    """What reached the upstreams, what they sent, and when they were paused or harmed."""

    arrivals: dict[str, list[Arrival]] = field(default_factory=dict)
    """Arrivals by request, in order."""
    senders: dict[str, dict[int, set[str]]] = field(default_factory=dict)
    """Upstreams that sent each event, by request and number of the event."""
    runners: dict[str, list[str]] = field(default_factory=dict)
    """Upstreams that began to run each request, in order."""
    versions: dict[str, str] = field(default_factory=dict)
    """Software version of each engine."""
    harms: dict[str, list[Span]] = field(default_factory=dict)
    """Spans in which each upstream crashed, hung or ended."""
    pauses: dict[str, list[Span]] = field(default_factory=dict)
    """Spans in which each upstream was silent, but sound."""

    def record_arrival(self, arrival: Arrival) -> None:
        """Record a request that reached an upstream."""
        self.arrivals.setdefault(arrival.request, []).append(arrival)

    def record_harm(self, upstream: str, begin: float, end: float) -> None:
        """Record that an upstream crashed, hung or ended."""
        self.harms.setdefault(upstream, []).append(Span(begin, end))

    def was_harmed(self, upstream: str, begin: float, end: float) -> bool:
        """Return whether an upstream crashed, hung or ended within a span."""
        return any(one.overlaps(begin, end) for one in self.harms.get(upstream, ()))

    def was_paused(self, upstream: str, begin: float, end: float) -> bool:
        """Return whether an upstream was paused within a span."""
        return any(one.overlaps(begin, end) for one in self.pauses.get(upstream, ()))


class _RecordingResponder:
    """Passes a response on, and records the events in it."""

    def __init__(self, responder: Responder, record: Record, request: str, upstream: str) -> None:
        self._responder = responder
        self._senders = record.senders.setdefault(request, {})
        self._upstream = upstream

    def __getattr__(self, name: str) -> Any:
        """Return what the responder has."""
        return getattr(self._responder, name)

    def write(self, data: bytes) -> None:
        """Record the events, and send them."""
        for number in _EVENT_ID.findall(data):
            self._senders.setdefault(int(number), set()).add(self._upstream)
        self._responder.write(data)


class RecordingUpstream(StandInUpstream):
    """A stand-in that records what reached it."""

    def __init__(self, clock: Clock, address: Address, instance: str, ledger: Ledger, *arguments: Any) -> None:
        super().__init__(clock, address, instance, ledger, *arguments)
        self.record = Record()
        self._deferred: list[IncomingRequest] = []

    def pause_for(self, seconds: float) -> None:
        """Pause, or extend a pause."""
        now = self.clock.now()
        if seconds > self.pause_left_s:
            super().pause_for(seconds)
            self.record.pauses.setdefault(self.instance, []).append(Span(now, now + seconds))

    def crash(self) -> None:
        """Crash, and record it."""
        self.record.record_harm(self.instance, self.clock.now(), self.clock.now())
        super().crash()

    def hang(self) -> None:
        """Run what comes, and answer nothing for good."""
        self.fault = UpstreamFault.HANG
        self.record.record_harm(self.instance, self.clock.now(), float("inf"))

    def serve(self, incoming: IncomingRequest, responder: Responder) -> RequestHandler | None:
        """Record a request as it arrives, and handle it."""
        was_deferred = any(one is incoming for one in self._deferred)
        if self.pause_left_s and not was_deferred:
            self._deferred.append(incoming)
        headers = read_headers(incoming)
        request = headers.get("request-id", "")
        is_meant = headers.get("expect-instance", self.instance) == self.instance
        if request and is_meant and not was_deferred:
            is_prefill = headers.get("stage") == "prefill"
            self.record.record_arrival(Arrival(self.clock.now(), request, self.instance, is_prefill))
        return super().serve(incoming, responder)

    def process(
        self, incoming: IncomingRequest, headers: dict[str, str], request: str, responder: Responder
    ) -> RequestHandler | None:
        """Run a request, and record its run and its events."""
        runs = self.ledger.runs[request]
        recording: Any = _RecordingResponder(responder, self.record, request, self.instance)
        handler = super().process(incoming, headers, request, recording)
        if self.ledger.runs[request] > runs:
            self.record.runners.setdefault(request, []).append(self.instance)
        return handler


class RecordingEngine(RecordingUpstream, StandInEngine):
    """A model engine that records what reached it."""


class RecordingPlatform(Platform):
    """A platform whose upstreams share one record."""

    def __init__(self) -> None:
        super().__init__(names_hosts=True)
        self.record = Record()

    def add_plain(self, name: str, hall: str = "hall-a") -> RecordingUpstream:
        """Start and list a plain service's replica."""
        upstream = RecordingUpstream(self.clock, Address(f"host-{name}", 80), name, self.ledger)
        upstream.record = self.record
        self._add(name, upstream, PLAIN, hall)
        return upstream

    def add_engine(
        self, name: str, phase: str, kv_tokens: int = 60_000, hall: str = "hall-a", version: str = "v1"
    ) -> RecordingEngine:
        """Start and list an engine."""
        engine = RecordingEngine(self.clock, Address(f"host-{name}", 80), name, self.ledger, phase, kv_tokens)
        engine.record, engine.version = self.record, version
        self.record.versions[name] = version
        self._add(name, engine, MODEL, hall)
        engine.on_phase_change = lambda: self.list_again(name)
        return engine

    def remove(self, name: str) -> None:
        """End an upstream for good, and remove its entry."""
        self.record.record_harm(name, self.clock.now(), self.clock.now())
        super().remove(name)

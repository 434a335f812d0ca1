"""Prometheus metrics; labels are bounded, and units stand in the names."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

SECONDS = (0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12, 10.24, 30, 60)
MAX_LABEL_VALUES = 500


class Metrics:
    """All metrics of one VM, on a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        r = self.registry
        self.requests = Counter(
            "beamhatch_requests_total", "Requests by how they ended", ["workspace", "outcome", "reason"], registry=r
        )
        self.first_token = Histogram(
            "beamhatch_first_token_seconds", "Arrival to first frame", ["policy"], buckets=SECONDS, registry=r
        )
        self.pace = Histogram(
            "beamhatch_pace_seconds", "Mean time between frames of one answer", ["policy"], buckets=SECONDS, registry=r
        )
        self.good = Counter(
            "beamhatch_good_requests_total", "Answers within both latency targets", ["policy"], registry=r
        )
        self.prefilled = Counter("beamhatch_prefilled_tokens_total", "Prompt tokens prefilled", registry=r)
        self.wasted = Counter(
            "beamhatch_wasted_prefill_tokens_total", "Prompt tokens prefilled for nothing", registry=r
        )
        self.frames = Counter("beamhatch_frames_total", "Frames passed on", registry=r)
        self.frames_dropped = Counter("beamhatch_frames_dropped_total", "Late or foreign frames dropped", registry=r)
        self.resumes = Counter("beamhatch_resumes_total", "Broken streams resumed", registry=r)
        self.cancels = Counter("beamhatch_cancels_total", "Cancel orders by how they went", ["result"], registry=r)
        self.open_requests = Gauge("beamhatch_open_requests", "Requests under way", registry=r)
        self.queued = Gauge("beamhatch_queued_requests", "Requests waiting for a place", registry=r)
        self.sequence = Gauge("beamhatch_configuration_sequence", "Configuration in force", registry=r)
        self.members = Gauge("beamhatch_members", "Entry VMs of the hall by state", ["state"], registry=r)
        self.deaths = Counter("beamhatch_member_deaths_total", "Entry VMs taken as dead", registry=r)
        self.peer_bytes = Counter("beamhatch_peer_bytes_total", "Bytes to and from peers", ["direction"], registry=r)
        self.peer_errors = Counter("beamhatch_peer_errors_total", "Peer streams closed for bad frames", registry=r)
        self.kv_calls = Counter("beamhatch_kv_calls_total", "Calls to the platform's KV", ["kind"], registry=r)
        self.records = Gauge("beamhatch_records", "Idempotency records held", registry=r)
        self.superseded = Counter("beamhatch_superseded_total", "Times this VM found that it stood still", registry=r)
        self._workspaces: set[str] = set()

    def bound_label(self, value: str) -> str:
        """Return a label value, or ``other`` once there are too many different ones."""
        if value in self._workspaces:
            return value
        if len(self._workspaces) >= MAX_LABEL_VALUES:
            return "other"
        self._workspaces.add(value)
        return value

    def render(self) -> bytes:
        """Return the page that Prometheus reads."""
        return generate_latest(self.registry)

"""The mechanisms of the relay's decisions, each of which can be left out to measure what it is worth."""

from __future__ import annotations

from enum import Enum


class Mechanism(Enum):
    """A part of how the relay decides. No promise rests on any of them alone."""

    LEARNED_PREFILL_RATES = "learned-paces"
    """How fast engines read is learned; else the prior holds."""
    LEARNED_OUTPUT_LENGTHS = "learned-room"
    """The room for an answer follows lengths and guesses; else the prior holds."""
    PEER_BACKLOG = "peer-work"
    """VMs tell each other which prompts engines have still to read."""
    DECODE_PREFILL = "whole-runs"
    """Decode engines read prompts that prefill engines would be late with."""
    PHASE_CHANGES = "orders"
    """Engines change their part."""
    RESERVATIONS = "reservations"
    """Decode memory is set aside before the prompt is read."""
    MEMORY_QUEUE = "line"
    """Requests wait for decode memory; else they are refused at once where there is none."""
    CALLER_RETRIES = "returns"
    """Callers that come back may wait although the line is full, behind those that can be in time."""
    CACHE_AFFINITY = "session-gain"
    """Prompts go to the engine that read their parts before."""
    DISTANCE_COST = "hall-cost"
    """Upstreams that are near the VM, or near the KV cache, go before others."""
    NEAR_CANDIDATES = "near-draw"
    """Of many upstreams, most of those that are weighed are near; else they are drawn from anywhere."""
    SPILL = "spill"
    """A region whose engines refuse a request is thought to be full; else refusals say nothing of other engines."""
    FAILURE_COST = "fault-cost"
    """Upstreams that failed of late cost more."""
    PEER_FAILURES = "peer-faults"
    """VMs tell each other of upstreams that fail."""
    PREFILL_TIMES = "read-times"
    """A prefill engine is waited for by what prompts took of late at all of them; else by what it took itself."""
    SHARED_QUOTAS = "shared-quotas"
    """A VM's part of a workspace's quota follows what callers ask it; else each VM has an equal part."""
    SPONSORS = "sponsors"
    """A few VMs send to each cold upstream; else each has a short turn, which breaks the bound where VMs are few."""
    FAIRNESS = "fairness"
    """Decode memory is shared fairly between workspaces; else whoever came first is next."""
    SHARED_DEPARTURES = "told-departures"
    """VMs tell each other which upstreams said that they leave; else each hears it from the upstream itself."""
    SHARED_LIMITS = "shared-limits"
    """All VMs count together what goes to an upstream that names a limit; else each VM has an equal part."""
    FEW_WATCHERS = "few-watchers"
    """Two VMs a hall watch the store for the others; else each watches."""


DisabledMechanisms = frozenset[Mechanism]
"""The mechanisms that are left out."""

NONE_DISABLED: DisabledMechanisms = frozenset()

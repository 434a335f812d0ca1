"""Mechanisms of the relay's decisions; each can be disabled to measure its effect."""

from __future__ import annotations

from enum import Enum


class Mechanism(Enum):
    """Part of the relay's decisions that can be disabled; no guarantee depends on one of them alone."""

    LEARNED_PREFILL_RATES = "learned-paces"
    """Prefill rates of engines are learned from completed prompts; otherwise the default model is used."""
    LEARNED_OUTPUT_LENGTHS = "learned-room"
    """Decode memory for the output follows observed lengths and callers' estimates; otherwise the default is used."""
    PEER_BACKLOG = "peer-work"
    """VMs send each other the prompt tokens that engines have still to process for them."""
    DECODE_PREFILL = "whole-runs"
    """Decode engines process prompts themselves when prefill engines would be late."""
    PHASE_CHANGES = "orders"
    """Engines are ordered to change between prefill and decode."""
    RESERVATIONS = "reservations"
    """Decode memory is reserved before prefill."""
    MEMORY_QUEUE = "line"
    """Requests queue for decode memory; otherwise they are refused at once when there is none."""
    CALLER_RETRIES = "returns"
    """Retries of callers may queue although the queue is full, after requests that can still be on time."""
    CACHE_AFFINITY = "session-gain"
    """Prompts prefer the engine that has processed parts of them before."""
    DISTANCE_COST = "hall-cost"
    """Upstreams near the VM, or near the KV cache, are preferred."""
    NEAR_CANDIDATES = "near-draw"
    """Where there are many upstreams, most candidates are sampled nearby; otherwise they are sampled from all."""
    SPILL = "spill"
    """A region whose engines refuse a request is considered full; otherwise a refusal concerns its engine alone."""
    FAILURE_COST = "fault-cost"
    """Upstreams that failed recently cost more."""
    PEER_FAILURES = "peer-faults"
    """VMs send each other the failures of upstreams."""
    PREFILL_TIMES = "read-times"
    """Timeouts of a prefill follow recent times of all prefill engines; otherwise those of the same engine."""
    SHARED_QUOTAS = "shared-quotas"
    """A VM's share of a workspace's quota follows its demand; otherwise all VMs have equal shares."""
    SPONSORS = "sponsors"
    """A few VMs send to each cold upstream; otherwise VMs take short turns, which exceed the bound if VMs are few."""
    FAIRNESS = "fairness"
    """Decode memory is shared fairly between workspaces; otherwise it is granted in order of arrival."""
    SHARED_DEPARTURES = "told-departures"
    """VMs send each other departures that upstreams announce; otherwise each VM learns them from the upstream."""
    SHARED_LIMITS = "shared-limits"
    """VMs count requests to an upstream with a rate limit together; otherwise each has an equal share of the limit."""
    TUNNELS = "tunnels"
    """VMs that lost their own links to upstreams connect to them by way of peers."""
    SHEDDING = "shedding"
    """Connections of callers that the VM's own resources do not hold are refused, for other VMs to take them."""
    FEW_WATCHERS = "few-watchers"
    """A few VMs of each hall watch the store for the others; otherwise each VM watches it."""


DisabledMechanisms = frozenset[Mechanism]
"""The mechanisms that are disabled."""

NONE_DISABLED: DisabledMechanisms = frozenset()

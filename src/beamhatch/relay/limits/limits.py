"""Enforces the rate limits that upstreams announce, jointly with the other VMs.

The newest state of an incarnation wins: a VM that learns of a change from the upstream itself increments the version,
and of two states with the same version the stricter wins. Responses can overtake each other, so one that withdraws or
raises a limit counts only if its request was sent after the current limit became known.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

from beamhatch.relay.limits.account import SharedBucket
from beamhatch.relay.limits.words import LimitState, Origin, RequestCount, make_incarnation_key
from beamhatch.relay.model import Incarnation, UpstreamId, hash_to_fraction

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from beamhatch.relay.limits.words import IncarnationKey
    from beamhatch.relay.model import Upstream

UNLIMITED_RATE_PER_S = 1000.0
"""Limits at or above this rate are treated as no limit.

All VMs of the largest fleet to design for send less than that to any upstream.
"""

WITHDRAWN_LIMIT_RETENTION_S = 30.0
"""Seconds for which a withdrawn limit is kept, so that older states that arrive late are ignored."""

MAX_BUCKETS = 1024
"""Number of incarnations for which buckets are kept, the newest ones; each takes up to 64 KB."""

MIN_SENDERS = 16.0
SENDERS_PER_RATE = 8.0
"""Number of VMs that may send to a limited upstream: a base number, plus a number per request per second of the limit.

Senders exchange their counts, and may overshoot the limit while counts are in transit; both grow with their number.
With too few, a limit is left unused if callers reach only few VMs.
"""

RECIPIENT_FACTOR = 1.5
"""Counts go to this multiple of the senders: a VM that knows of fewer VMs may consider itself a sender."""

ORIGIN_BITS = 32
"""Size of a random origin; if two VMs drew the same one, their requests would be undercounted."""


MAX_CACHED_POSITIONS = 65_536
"""Size of the position cache, about 8 MB."""

NO_INCARNATION = Incarnation(UpstreamId(""), 0)


def _count_one_vm() -> int:
    return 1


def _return_whole_share() -> float:
    return 1.0


def _do_nothing() -> None:
    """Do nothing."""


@dataclass(slots=True)
class LimitPermit:
    """Permission to send one request to a rate-limited upstream."""

    limits: Limits
    incarnation: Incarnation
    _held: bool = True

    def use(self, now: float) -> None:
        """Consume the permit as the request is sent."""
        self._held = False

    def drop(self, now: float) -> None:
        """Release the permit unless it was used."""
        if self._held:
            self._held = False
            self.limits.release_permit(self.incarnation, now)


@dataclass(slots=True)
class Limits:
    """The limits that this VM knows of."""

    origin: Origin = field(default_factory=lambda: Origin(random.SystemRandom().getrandbits(ORIGIN_BITS)))
    own_address: str = ""
    """Address of this VM, from which its positions are derived; stable across restarts."""
    shared: bool = True
    """Whether VMs exchange their counts; if not, each VM uses an equal part of the limit."""
    count_vms: Callable[[], int] = _count_one_vm
    """Returns the number of VMs known to this one."""
    get_reachable_share: Callable[[], float] = _return_whole_share
    """Returns the share of all VMs that are in contact with this one, itself included."""
    on_update: Callable[[], None] = _do_nothing
    """Called when there are updates to send to other VMs."""
    _buckets: dict[Incarnation, SharedBucket] = field(default_factory=dict)
    _upstream_ids: set[UpstreamId] = field(default_factory=set)
    """Upstreams that have a bucket, for a fast check: most have none."""
    _incarnations_by_key: dict[IncarnationKey, Incarnation] = field(default_factory=dict)
    _pending_counts: dict[IncarnationKey, RequestCount] = field(default_factory=dict)
    _pending_states: dict[Incarnation, LimitState] = field(default_factory=dict)

    # --- state -------------------------------------------------------------------------------------------------------

    def get_rate(self, incarnation: Incarnation) -> float | None:
        """Return the limit of an incarnation in requests per second, or None."""
        bucket = self._buckets.get(incarnation)
        return None if bucket is None else bucket.rate

    def count_limited(self) -> int:
        """Return the number of incarnations with a limit."""
        return sum(bucket.rate is not None for bucket in self._buckets.values())

    def apply_response(self, incarnation: Incarnation, rate: float | None, sent_at: float, now: float) -> bool:
        """Apply the limit in an upstream's response, None for none; return whether it changed.

        :param sent_at: when the request was sent, in monotonic seconds
        """
        if rate is not None and rate >= UNLIMITED_RATE_PER_S:
            rate = None
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            if rate is None:
                return False
            bucket = self._add_bucket(incarnation, LimitState(incarnation, 1, rate), now)
        elif bucket.rate == rate:
            return False
        else:
            if sent_at < bucket.rate_received_at and not _is_stricter(rate, bucket.rate):
                return False
            bucket.refill(self.get_reachable_share(), now)
            bucket.apply_rate(rate, bucket.version + 1, now)
        self._queue_state(incarnation, bucket)
        return True

    def apply_state(self, state: LimitState, now: float) -> bool:
        """Apply a state received from another VM; return whether it changed anything."""
        bucket = self._buckets.get(state.incarnation)
        if bucket is None:
            bucket = self._add_bucket(state.incarnation, state, now)
        else:
            is_newer = state.version > bucket.version
            is_stricter = state.version == bucket.version and _is_stricter(state.rate, bucket.rate)
            if not is_newer and not is_stricter:
                return False
            bucket.refill(self.get_reachable_share(), now)
            bucket.apply_rate(state.rate, state.version, now)
        return True

    def _add_bucket(self, incarnation: Incarnation, state: LimitState, now: float) -> SharedBucket:
        bucket = SharedBucket(state.rate, state.version, now, now, level=min(0.0, state.level))
        key = make_incarnation_key(incarnation)
        bucket.position = _compute_position(key, self.own_address)
        self._buckets[incarnation] = bucket
        self._upstream_ids.add(incarnation.id)
        self._incarnations_by_key[key] = incarnation
        if len(self._buckets) > MAX_BUCKETS:
            self._remove_bucket(next(iter(self._buckets)))
        return bucket

    def _remove_bucket(self, incarnation: Incarnation) -> None:
        del self._buckets[incarnation]
        self._rebuild_indexes()

    def _rebuild_indexes(self) -> None:
        self._upstream_ids = {life.id for life in self._buckets}
        self._incarnations_by_key = {make_incarnation_key(life): life for life in self._buckets}

    def remove_expired(self, now: float) -> None:
        """Remove limits that were withdrawn longer than ``WITHDRAWN_LIMIT_RETENTION_S`` ago."""
        for incarnation, bucket in list(self._buckets.items()):
            if bucket.rate is None and now - bucket.rate_received_at > WITHDRAWN_LIMIT_RETENTION_S:
                self._remove_bucket(incarnation)

    def remove_unlisted(self, listed: Collection[UpstreamId]) -> None:
        """Remove the limits of upstreams that are not listed."""
        if any(known not in listed for known in self._upstream_ids):
            self._buckets = {life: bucket for life, bucket in self._buckets.items() if life.id in listed}
            self._rebuild_indexes()

    # --- sending -----------------------------------------------------------------------------------------------------

    def may_send_to(self, upstream: Upstream, now: float, *, is_retry: bool = False) -> bool:
        """Return whether this VM may send one more request to an upstream."""
        return upstream.id not in self._upstream_ids or self.may_send(upstream.incarnation, now, is_retry=is_retry)

    def may_send(self, incarnation: Incarnation, now: float, *, is_retry: bool = False) -> bool:
        """Return whether this VM may send one more request to an incarnation, without acquiring it.

        :param is_retry: whether the caller was refused before
        """
        bucket = self._buckets.get(incarnation)
        if bucket is None or bucket.rate is None:
            return True
        bucket.refill(self._compute_own_share(), now)
        if not self.shared:
            return bucket.has_capacity(1, now, is_retry=is_retry)
        return self._is_sender(bucket) and bucket.has_capacity(self.count_vms(), now, is_retry=is_retry)

    def _is_sender(self, bucket: SharedBucket) -> bool:
        """Return whether this VM is one of the upstream's senders."""
        return bucket.position * self.count_vms() < _compute_senders(bucket)

    def may_be_sender(self, key: IncarnationKey, vm: str) -> bool:
        """Return whether another VM may be a sender, and so needs the counts of the others."""
        bucket = self._buckets.get(self._incarnations_by_key.get(key, NO_INCARNATION))
        vms = self.count_vms()
        if bucket is None or vms <= MIN_SENDERS:
            return True
        return _compute_position(key, vm) * vms < RECIPIENT_FACTOR * _compute_senders(bucket)

    def _compute_own_share(self) -> float:
        share = self.get_reachable_share()
        return share if self.shared else share / max(1, self.count_vms())

    def record_request(self, incarnation: Incarnation, now: float) -> bool:
        """Count a request; return whether its upstream has a limit."""
        bucket = self._buckets.get(incarnation)
        if bucket is None or bucket.rate is None:
            return False
        bucket.refill(self._compute_own_share(), now)
        total = bucket.acquire(now)
        if self.shared and total is not None:
            key = make_incarnation_key(incarnation)
            before = self._pending_counts.get(key)
            new = 1 if before is None else 1 + before.new
            self._pending_counts[key] = RequestCount(key, self.origin, total, new)
            self.on_update()
        return True

    def acquire_permit(self, incarnation: Incarnation, now: float) -> LimitPermit | None:
        """Acquire a permit for a request; return None if its upstream has no limit.

        The request is announced now rather than when it is sent, so that other VMs do not use the same capacity.
        """
        return LimitPermit(self, incarnation) if self.record_request(incarnation, now) else None

    def release_permit(self, incarnation: Incarnation, now: float) -> None:
        """Keep an unused permit for the next request of this VM."""
        bucket = self._buckets.get(incarnation)
        if bucket is not None:
            bucket.release(now)

    def get_log_fields(self, incarnation: Incarnation) -> dict[str, object]:
        """Return the log fields that explain this VM's part of a limit."""
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            return {}
        return {
            "number": bucket.version,
            "vms": self.count_vms(),
            "share": round(self.get_reachable_share(), 2),
            "sends": self._is_sender(bucket),
        }

    def compute_wait(self, incarnation: Incarnation, now: float) -> float:
        """Return the estimated seconds until an incarnation has capacity for a request of this VM."""
        bucket = self._buckets.get(incarnation)
        if bucket is None or bucket.rate is None:
            return 0.0
        share = self._compute_own_share()
        bucket.refill(share, now)
        return bucket.compute_wait(share)

    def compute_total_rate(self, incarnations: Iterable[Incarnation]) -> float:
        """Return the total rate allowed by the limits of some incarnations, ignoring those without one."""
        share = self.get_reachable_share()
        buckets = (self._buckets.get(life) for life in incarnations)
        return sum(one.compute_allowed_rate(share) for one in buckets if one is not None and one.rate is not None)

    def record_refusal(self, incarnations: Iterable[Incarnation], until: float) -> None:
        """Record that a caller was refused because of these limits, and may retry until the given time."""
        for incarnation in incarnations:
            bucket = self._buckets.get(incarnation)
            if bucket is not None:
                bucket.retries_expected_until = max(bucket.retries_expected_until, until)

    # --- gossip ------------------------------------------------------------------------------------------------------

    def apply_count(self, spent: RequestCount, now: float) -> RequestCount | None:
        """Apply a count of another VM; return it with the requests that were new to this VM, or None if none were."""
        bucket = self._buckets.get(self._incarnations_by_key.get(spent.incarnation_key, NO_INCARNATION))
        if bucket is None or spent.origin == self.origin or not self.shared:
            return None
        bucket.refill(self.get_reachable_share(), now)
        added = bucket.apply_total(spent.origin, spent.total, spent.new)
        return RequestCount(spent.incarnation_key, spent.origin, spent.total, added) if added else None

    def list_states(self, now: float) -> list[LimitState]:
        """Return the states of all limits, for a new peer."""
        share = self.get_reachable_share()
        for bucket in self._buckets.values():
            bucket.refill(share, now)
        return [_make_state(life, bucket) for life, bucket in self._buckets.items()]

    def drain_pending(self) -> tuple[list[LimitState], list[RequestCount]]:
        """Return and clear the states and counts of this VM that were not sent yet."""
        states, counts = list(self._pending_states.values()), list(self._pending_counts.values())
        self._pending_states, self._pending_counts = {}, {}
        return states, counts

    def _queue_state(self, incarnation: Incarnation, bucket: SharedBucket) -> None:
        self._pending_states[incarnation] = _make_state(incarnation, bucket)
        self.on_update()


def _compute_senders(bucket: SharedBucket) -> float:
    """Return how many VMs may send to an upstream."""
    return MIN_SENDERS + SENDERS_PER_RATE * (bucket.rate or 0.0)


@lru_cache(maxsize=MAX_CACHED_POSITIONS)
def _compute_position(key: IncarnationKey, vm: str) -> float:
    """Return the position of a VM for an upstream, which is the same on all VMs."""
    return hash_to_fraction(f"{key}/{vm}")


def _make_state(incarnation: Incarnation, bucket: SharedBucket) -> LimitState:
    return LimitState(incarnation, bucket.version, bucket.rate, round(bucket.level, 2))


def _is_stricter(rate: float | None, other: float | None) -> bool:
    """Return whether a limit is lower than another one; None is no limit."""
    return (math.inf if rate is None else rate) < (math.inf if other is None else other)

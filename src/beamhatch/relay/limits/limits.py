"""The limits that upstreams name, what this VM may send by them, and what it has to tell the others.

The newest word of an upstream holds for its life, whoever heard it: each VM that hears a change from the upstream
itself numbers it one higher than what it knew, and of two words with one number the stricter holds. Answers overtake
each other, so one that takes a limit back, or raises it, counts only where its request went out behind the word that it
takes back.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

from beamhatch.relay.limits.bucket import SharedBucket
from beamhatch.relay.limits.messages import LimitState, Origin, RequestCount, make_incarnation_key
from beamhatch.relay.model import Life, UpstreamId, hash_fraction

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from beamhatch.relay.limits.messages import IncarnationKey
    from beamhatch.relay.model import Upstream

UNLIMITED_RATE_PER_S = 1000.0
"""Requests a second from which on a limit is none: more than all VMs of the size to design for send to any upstream."""

ENDED_LIMIT_RETENTION_S = 30.0
"""Seconds for which it is remembered that a limit is over: longer than an older word travels."""

MAX_BUCKETS = 1024
"""Lives that name a limit of which this VM keeps accounts, the newest: up to 64 KB each where all VMs send there."""

MIN_SENDERS = 16.0
SENDERS_PER_RATE = 8.0
"""VMs that send to an upstream which names a limit: so many, and so many more for each request a second; all of fewer.

They need to know of each other's requests, so these cost bytes for each of them; and a fourth of them get a request
while news travel, where each gets three a second: with all of 300 that is more than an upstream bears beyond its limit.
With fewer, a limit is not used where callers are at few VMs.
"""

RECIPIENT_FACTOR = 1.5
"""Times that number of VMs are told of requests: they may know of fewer VMs, and take themselves for one of those."""

ORIGIN_BITS = 32
"""Enough that two starts of VMs hardly ever draw one number; what they sent would then be counted too low at first."""


MAX_CACHED_POSITIONS = 65_536
"""Places of VMs that are remembered, of 100 peers at 600 upstreams: 8 MB."""

NO_INCARNATION = Life(UpstreamId(""), 0)


def _count_one_vm() -> int:
    return 1


def _return_whole_share() -> float:
    return 1.0


def _do_nothing() -> None:
    """Take no notice."""


@dataclass(slots=True)
class LimitPermit:
    """Room for one request at an upstream that names a limit, from the plan until it goes out or is given up."""

    limits: Limits
    incarnation: Life
    _held: bool = True

    def use(self, now: float) -> None:
        """Use it: the request goes out now."""
        self._held = False

    def drop(self, now: float) -> None:
        """Keep the room for another request, unless it was used."""
        if self._held:
            self._held = False
            self.limits.release_permit(self.incarnation, now)


@dataclass(slots=True)
class Limits:
    """All limits that this VM knows of."""

    origin: Origin = field(default_factory=lambda: Origin(random.SystemRandom().getrandbits(ORIGIN_BITS)))
    own_address: str = ""
    """The address by which this VM's place among all is found: a restart does not change it."""
    shared: bool = True
    """Whether all VMs keep one account together; else each one keeps an equal part for itself."""
    count_vms: Callable[[], int] = _count_one_vm
    """Returns how many VMs there are, as far as this one knows."""
    get_reachable_share: Callable[[], float] = _return_whole_share
    """Returns the part of all VMs that hear of each other and of this one."""
    on_update: Callable[[], None] = _do_nothing
    """Called when there is something to tell other VMs."""
    _buckets: dict[Life, SharedBucket] = field(default_factory=dict)
    _upstream_ids: set[UpstreamId] = field(default_factory=set)
    """Whose lives these are: most upstreams name no limit, and are passed by their ids."""
    _incarnations_by_key: dict[IncarnationKey, Life] = field(default_factory=dict)
    _pending_counts: dict[IncarnationKey, RequestCount] = field(default_factory=dict)
    _pending_states: dict[Life, LimitState] = field(default_factory=dict)

    # --- what is known -----------------------------------------------------------------------------------------------

    def get_rate(self, incarnation: Life) -> float | None:
        """Return the limit of a life in requests a second, None where it names none."""
        bucket = self._buckets.get(incarnation)
        return None if bucket is None else bucket.rate

    def count_limited(self) -> int:
        """Return how many lives name one."""
        return sum(account.rate is not None for account in self._buckets.values())

    def apply_response(self, incarnation: Life, rate: float | None, sent_at: float, now: float) -> bool:
        """Take in what an answer of the upstream names, None for nothing; return whether that is news.

        :param asked_at: when the request went out that is answered
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
        """Take in what another VM knows; return whether that is news."""
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

    def _add_bucket(self, incarnation: Life, state: LimitState, now: float) -> SharedBucket:
        bucket = SharedBucket(state.rate, state.version, now, now, level=min(0.0, state.level))
        key = make_incarnation_key(incarnation)
        bucket.position = _compute_position(key, self.own_address)
        self._buckets[incarnation] = bucket
        self._upstream_ids.add(incarnation.id)
        self._incarnations_by_key[key] = incarnation
        if len(self._buckets) > MAX_BUCKETS:
            self._remove_bucket(next(iter(self._buckets)))
        return bucket

    def _remove_bucket(self, incarnation: Life) -> None:
        del self._buckets[incarnation]
        self._rebuild_indexes()

    def _rebuild_indexes(self) -> None:
        self._upstream_ids = {life.id for life in self._buckets}
        self._incarnations_by_key = {make_incarnation_key(life): life for life in self._buckets}

    def remove_expired(self, now: float) -> None:
        """Drop limits that were over long ago."""
        for incarnation, bucket in list(self._buckets.items()):
            if bucket.rate is None and now - bucket.rate_received_at > ENDED_LIMIT_RETENTION_S:
                self._remove_bucket(incarnation)

    def keep_only(self, listed: Collection[UpstreamId]) -> None:
        """Drop those of upstreams that are not known any more."""
        if any(known not in listed for known in self._upstream_ids):
            self._buckets = {life: account for life, account in self._buckets.items() if life.id in listed}
            self._rebuild_indexes()

    # --- what may be sent --------------------------------------------------------------------------------------------

    def may_send_to(self, upstream: Upstream, now: float, *, is_retry: bool = False) -> bool:
        """Tell whether an upstream may be sent one more request; see ``may_send``."""
        return upstream.id not in self._upstream_ids or self.may_send(upstream.life, now, is_retry=is_retry)

    def may_send(self, incarnation: Life, now: float, *, is_retry: bool = False) -> bool:
        """Tell whether this VM may send one more request to an upstream. It only looks.

        :param owed: whether its caller was refused before
        """
        bucket = self._buckets.get(incarnation)
        if bucket is None or bucket.rate is None:
            return True
        bucket.refill(self._compute_own_share(), now)
        if not self.shared:
            return bucket.has_capacity(1, now, is_retry=is_retry)
        return self._is_sender(bucket) and bucket.has_capacity(self.count_vms(), now, is_retry=is_retry)

    def _is_sender(self, bucket: SharedBucket) -> bool:
        """Tell whether this VM is one of those that send to an upstream."""
        return bucket.position * self.count_vms() < _compute_senders(bucket)

    def may_be_sender(self, key: IncarnationKey, vm: str) -> bool:
        """Tell whether another VM may be one of those that send to an upstream, and has to know what others sent."""
        bucket = self._buckets.get(self._incarnations_by_key.get(key, NO_INCARNATION))
        vms = self.count_vms()
        if bucket is None or vms <= MIN_SENDERS:
            return True
        return _compute_position(key, vm) * vms < RECIPIENT_FACTOR * _compute_senders(bucket)

    def _compute_own_share(self) -> float:
        share = self.get_reachable_share()
        return share if self.shared else share / max(1, self.count_vms())

    def record_request(self, incarnation: Life, now: float) -> bool:
        """Count a request; return whether its upstream names a limit."""
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

    def acquire_permit(self, incarnation: Life, now: float) -> LimitPermit | None:
        """Take room for a request that is to go out; None where its upstream names no limit.

        The others are told now: while a prompt is read elsewhere, they would else take the same room.
        """
        return LimitPermit(self, incarnation) if self.record_request(incarnation, now) else None

    def release_permit(self, incarnation: Life, now: float) -> None:
        """Keep room that was held and not used for this VM's next request."""
        bucket = self._buckets.get(incarnation)
        if bucket is not None:
            bucket.release(now)

    def describe(self, incarnation: Life) -> dict[str, object]:
        """Return what this VM's part of a limit follows from, as it is written to the log."""
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            return {}
        return {
            "number": bucket.version,
            "vms": self.count_vms(),
            "share": round(self.get_reachable_share(), 2),
            "sends": self._is_sender(bucket),
        }

    def compute_wait(self, incarnation: Life, now: float) -> float:
        """Return the seconds until a request should find room at an upstream that names a limit, where none has now."""
        bucket = self._buckets.get(incarnation)
        if bucket is None or bucket.rate is None:
            return 0.0
        share = self._compute_own_share()
        bucket.refill(share, now)
        return bucket.compute_wait(share)

    def compute_total_rate(self, incarnations: Iterable[Life]) -> float:
        """Return the requests a second that some upstreams take by their limits, those that name none left out."""
        share = self.get_reachable_share()
        buckets = (self._buckets.get(life) for life in incarnations)
        return sum(one.compute_allowed_rate(share) for one in buckets if one is not None and one.rate is not None)

    def record_refusal(self, incarnations: Iterable[Life], until: float) -> None:
        """Note that a caller was refused as these upstreams take no more, and may be back by some time."""
        for incarnation in incarnations:
            bucket = self._buckets.get(incarnation)
            if bucket is not None:
                bucket.retries_expected_until = max(bucket.retries_expected_until, until)

    # --- what VMs tell each other ------------------------------------------------------------------------------------

    def apply_count(self, spent: RequestCount, now: float) -> RequestCount | None:
        """Take in what another VM has sent; return it with what was news to this one, None where nothing was."""
        bucket = self._buckets.get(self._incarnations_by_key.get(spent.incarnation_key, NO_INCARNATION))
        if bucket is None or spent.origin == self.origin or not self.shared:
            return None
        bucket.refill(self.get_reachable_share(), now)
        added = bucket.apply_total(spent.origin, spent.total, spent.new)
        return RequestCount(spent.incarnation_key, spent.origin, spent.total, added) if added else None

    def list_states(self, now: float) -> list[LimitState]:
        """Return all that is known, for a peer that may know nothing."""
        share = self.get_reachable_share()
        for bucket in self._buckets.values():
            bucket.refill(share, now)
        return [_make_state(life, account) for life, account in self._buckets.items()]

    def drain_pending(self) -> tuple[list[LimitState], list[RequestCount]]:
        """Return what this VM has heard and sent itself since it was last asked, and take it as told."""
        states, counts = list(self._pending_states.values()), list(self._pending_counts.values())
        self._pending_states, self._pending_counts = {}, {}
        return states, counts

    def _queue_state(self, incarnation: Life, bucket: SharedBucket) -> None:
        self._pending_states[incarnation] = _make_state(incarnation, bucket)
        self.on_update()


def _compute_senders(bucket: SharedBucket) -> float:
    """Return how many VMs send to an upstream."""
    return MIN_SENDERS + SENDERS_PER_RATE * (bucket.rate or 0.0)


@lru_cache(maxsize=MAX_CACHED_POSITIONS)
def _compute_position(key: IncarnationKey, vm: str) -> float:
    """Return the place of a VM among those that send to an upstream, the same on all VMs."""
    return hash_fraction(f"{key}/{vm}")


def _make_state(incarnation: Life, bucket: SharedBucket) -> LimitState:
    return LimitState(incarnation, bucket.version, bucket.rate, round(bucket.level, 2))


def _is_stricter(rate: float | None, other: float | None) -> bool:
    """Tell whether a limit is lower than another one; None is no limit."""
    return (math.inf if rate is None else rate) < (math.inf if other is None else other)

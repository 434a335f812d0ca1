"""Gossip between VMs on crashes of upstreams and quarantines.

Each VM sends its peers the crashes that it detected, and they forward what is new to them. A newly connected peer is
sent the newest crashes and the stored quarantines.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.fleet.gossip_message import QuarantineUpdate
from beamhatch.relay.fleet.throttle import Throttle
from beamhatch.relay.model import UpstreamId
from beamhatch.relay.quarantine.detection import MIN_RUN_S, CrashDetector
from beamhatch.relay.quarantine.digests import split_combination
from beamhatch.relay.quarantine.ends import SAME_CRASH_WINDOW_S, BrokenRun, CrashUpdate
from beamhatch.relay.quarantine.part_attribution import OBSERVATION_S
from beamhatch.relay.quarantine.part_successes import PartSuccessUpdate
from beamhatch.relay.quarantine.quarantine import BASE_QUARANTINE_S, ClearUpdate, StoredQuarantineUpdate

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence, Set

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.fleet.peer_connection import PeerConnection
    from beamhatch.relay.model import Fingerprint, Upstream
    from beamhatch.relay.quarantine.detection import VerdictHandler
    from beamhatch.relay.quarantine.digests import RequestDigests
    from beamhatch.relay.quarantine.quarantine import Quarantine, QuarantineEntry
    from beamhatch.relay.tunnels.api import Via
    from beamhatch.relay.upstreams.connection import Connection
    from beamhatch.relay.upstreams.http_client import ConnectionTracker

SEND_INTERVAL_S = 0.1
"""Minimum interval between two messages to each peer, in seconds.

A crash in a large fleet thus takes a few messages, and not one for each stream.
"""

ATTRIBUTION_DELAY_S = 0.3
"""Delay from the first update on a crash to its attribution, in seconds, for updates of other VMs to arrive.

Updates cross at most four VMs.
"""

ANNOUNCE_SUCCESS_MIN_CRASHES = 2
"""Minimum number of crashes of a request for its success to be announced at once.

With fewer crashes, the success is announced only if the request is part of a later crash. This avoids messages for
streams that happened to run during a crash.
"""

MAX_ANNOUNCED_CRASHES = 64
"""Maximum number of crashes sent to a newly connected peer; the newest are chosen."""

MAX_ANNOUNCED_SUCCESSES = 512
"""Maximum number of successes of parts sent to a newly connected peer."""

MAX_LOGGED_UPSTREAMS = 8
"""Maximum number of upstreams in one log line."""

Update = CrashUpdate | ClearUpdate | StoredQuarantineUpdate | PartSuccessUpdate


@dataclass(frozen=True, slots=True)
class _Unsent:
    update: Update
    source: PeerConnection | None
    """The connection on which it was received; None for an update of this VM."""
    enqueued_at: float


@dataclass(frozen=True, slots=True)
class QuarantineGossipDependencies:
    """Dependencies of ``QuarantineGossip``."""

    clock: Clock
    journal: Journal
    tally: Tally
    quarantine: Quarantine
    connections: ConnectionTracker
    reject_waiting: Callable[[Fingerprint], None]
    """Rejects all waiting calls of a quarantined request."""


class QuarantineGossip:
    """Exchange of crashes, successes and stored quarantines with peers, applied to this VM's ``Quarantine``."""

    def __init__(self, dependencies: QuarantineGossipDependencies) -> None:
        self._clock = dependencies.clock
        self._journal = dependencies.journal
        self._tally = dependencies.tally
        self.quarantine = dependencies.quarantine
        self._reject_waiting = dependencies.reject_waiting
        self.list_connections: Callable[[], Iterable[PeerConnection]] = list
        """Returns the established connections to peers."""
        self.hall = ""
        """Hall of this VM."""
        self.forwards_updates: Callable[[], bool] = lambda: True
        """Returns whether this VM forwards updates of peers."""
        self.on_quarantined: Callable[[Fingerprint, bool], None] = lambda fingerprint, immediately: None
        """Called with a quarantined request to be stored, and whether this VM should store it without delay."""
        self.on_clear: Callable[[Fingerprint], None] = lambda fingerprint: None
        """Called with a cleared request whose quarantine must be removed from the store."""
        self._detector = CrashDetector(dependencies.clock, dependencies.connections, self._handle_crash)
        self._throttle = Throttle(dependencies.clock, SEND_INTERVAL_S, self._send_pending)
        self._unsent: list[_Unsent] = []
        self._last_local_crash: dict[Fingerprint, float] = {}
        """Time of the last crash detected by this VM that each request was part of, on the monotonic clock."""
        self._attribution_scheduled = False
        self._observation_scheduled = False
        self._suspicious: Set[Fingerprint] = frozenset()
        """Parts and services whose next success is sent to peers."""

    # --- local events -------------------------------------------------------------------------------------------------

    def record_broken_run(
        self, upstream: Upstream, digests: RequestDigests, duration: float, *, answering: bool, via: Via | None = None
    ) -> None:
        """Record that a run's connection closed before its response was complete.

        :param duration: seconds from the start of the run to the close
        :param answering: whether the upstream had started to respond; if not, runs below ``MIN_RUN_S`` are ignored
        :param via: the peer that the connection went through; None for a direct one
        """
        if not answering and duration < MIN_RUN_S:
            return
        run = self._describe_run(digests, duration)
        if run.excused:
            self._tally.count("quarantine_excused_total")
        if not run.excused or run.prompt is not None:
            self._detector.record_broken_run(upstream, run, via)

    def check_end(
        self,
        upstream: Upstream,
        digests: RequestDigests,
        duration: float,
        connection: Connection | None,
        on_verdict: VerdictHandler,
    ) -> None:
        """Determine whether an upstream crashed when a response ended that has neither a length nor chunks.

        :param connection: the connection that ended with the response
        """
        self._detector.record_closed_run(upstream, self._describe_run(digests, duration), connection, on_verdict)

    def _describe_run(self, digests: RequestDigests, duration: float) -> BrokenRun:
        excused = self.quarantine.succeeded_recently(digests.request, self._clock.now())
        prompt = self.quarantine.describe_prompt(digests)
        return BrokenRun(digests.request, round(1000 * duration), prompt, excused)

    def record_parts_success(self, upstream: Upstream, digests: RequestDigests, began_at: float) -> None:
        """Record that a run has responded for long enough to show that its parts don't crash the upstream.

        :param began_at: monotonic seconds at which the upstream began to respond
        """
        if not digests.parts:
            return
        news = []
        self.quarantine.crashes.record_recovery(digests.service, upstream.version, began_at)
        for part in (digests.service, *digests.parts):
            if part not in self._suspicious:
                self.quarantine.part_successes.record(part, upstream.version, began_at)
            elif self.quarantine.record_part_success(part, upstream.version, began_at):
                news.append(part)
        if news:
            for update in self.quarantine.part_successes.list_updates(news, self._clock.now()):
                self._enqueue(update, None)
            self._handle_part_success()

    def record_success(self, fingerprint: Fingerprint) -> None:
        """Record a success, and announce it if it clears a quarantine or several crashes."""
        now = self._clock.now()
        was_stored = self.quarantine.is_stored(fingerprint, now)
        result = self.quarantine.record_success(fingerprint, now)
        if result is None:
            return
        if result.was_quarantined:
            self._report_clear(fingerprint, "a run here came to a good end")
        if result.was_quarantined or result.crash_count >= ANNOUNCE_SUCCESS_MIN_CRASHES:
            self._enqueue(ClearUpdate(fingerprint, 0.0), None)
        if was_stored:
            self.on_clear(fingerprint)

    def record_stored(self, fingerprint: Fingerprint) -> None:
        """Record that the quarantine of a request was stored."""
        self._apply_stored_update(StoredQuarantineUpdate(fingerprint, 0.0, BASE_QUARANTINE_S), None)

    def apply_stored(self, stored: Sequence[Fingerprint]) -> None:
        """Apply the complete list of stored quarantines.

        The store does not return write times, so each quarantine is assumed to be ``BASE_QUARANTINE_S`` old, and a
        request cleared within that time stays cleared.
        """
        for fingerprint in stored:
            self._apply_stored_update(StoredQuarantineUpdate(fingerprint, BASE_QUARANTINE_S, BASE_QUARANTINE_S), None)
        self.quarantine.retain_stored(stored)

    def apply_restored(self, stored: Sequence[Fingerprint], immediately: bool) -> None:
        """Apply the quarantines of a store restored from a backup, and update the store with changes known to this VM.

        A quarantine missing from the store stays in force, as it may be newer than the backup.

        :param immediately: whether this VM writes to the store without delay
        """
        now = self._clock.now()
        for fingerprint in self.quarantine.mark_missing(stored, now):
            self.on_quarantined(fingerprint, immediately)
        for fingerprint in self.quarantine.list_cleared_among(stored, now):
            self.on_clear(fingerprint)
        for fingerprint in stored:
            self._apply_stored_update(StoredQuarantineUpdate(fingerprint, BASE_QUARANTINE_S, BASE_QUARANTINE_S), None)

    def _handle_crash(self, update: CrashUpdate) -> None:
        now = self._clock.now()
        self._tally.count("upstream_ends_total")
        self._journal.write("QUARANTINE", "upstream ended", upstream=update.upstream, runs=len(update.runs))
        for run in update.runs:
            self._last_local_crash[run.fingerprint] = now
            if run.prompt is not None:
                self._last_local_crash.update(dict.fromkeys(run.prompt.list_members(), now))
        self._apply_crash(update, None)

    # --- messages of peers --------------------------------------------------------------------------------------------

    def handle_message(self, connection: PeerConnection, message: QuarantineUpdate) -> None:
        """Apply a message of a peer."""
        for cleared in message.cleared:
            self._apply_clear(cleared, connection)
        for stored in message.holds:
            self._apply_stored_update(stored, connection)
        for crash in message.ends:
            self._apply_crash(crash, connection)
            self._detector.confirm(UpstreamId(crash.upstream), self._clock.now() - crash.age)
        for success in message.parts:
            self._apply_part_success(success, connection)

    def send_all(self, connection: PeerConnection) -> None:
        """Send a newly connected peer the known crashes and stored quarantines."""
        now = self._clock.now()
        crashes = [crash.to_update(now) for crash in list(self.quarantine.crashes)[-MAX_ANNOUNCED_CRASHES:]]
        stored = self.quarantine.list_stored(now)
        successes = self.quarantine.list_part_successes(MAX_ANNOUNCED_SUCCESSES, now)
        if crashes or stored:
            connection.send(QuarantineUpdate(crashes, [], stored, successes))

    def _apply_crash(self, update: CrashUpdate, source: PeerConnection | None) -> None:
        now = self._clock.now()
        added = self.quarantine.apply_crash(update, now)
        if added is None:
            return
        self._enqueue(added, source)
        for cleared in self.quarantine.list_clear_updates(added, now):
            self._enqueue(cleared, None)
        self._suspicious = self.quarantine.list_suspicious_parts()
        if source is not None:
            for success in self.quarantine.list_contradicting_successes(added, self._suspicious, now):
                self._enqueue(success, None)
        self._schedule_attribution()
        if not self._observation_scheduled:
            self._observation_scheduled = True
            self._clock.call_later(OBSERVATION_S + ATTRIBUTION_DELAY_S, self._attribute_observed)

    def _apply_part_success(self, update: PartSuccessUpdate, source: PeerConnection) -> None:
        began_at = self._clock.now() - update.age
        self.quarantine.crashes.record_recovery(update.part, update.version, began_at)
        if update.part not in self._suspicious:
            self.quarantine.part_successes.record(update.part, update.version, began_at)
        elif self.quarantine.record_part_success(update.part, update.version, began_at):
            self._enqueue(update, source)
            self._handle_part_success()

    def _handle_part_success(self) -> None:
        self._suspicious = self.quarantine.list_suspicious_parts()
        self._schedule_attribution()

    def _apply_clear(self, update: ClearUpdate, source: PeerConnection) -> None:
        now = self._clock.now()
        was_quarantined = self.quarantine.get_entry(update.fingerprint, now) is not None
        if self.quarantine.clear(update.fingerprint, now - update.age):
            self._enqueue(update, source)
        if was_quarantined and self.quarantine.get_entry(update.fingerprint, now) is None:
            self._report_clear(update.fingerprint, f"peer {source.vm}")

    def _apply_stored_update(self, update: StoredQuarantineUpdate, source: PeerConnection | None) -> None:
        now = self._clock.now()
        if self.quarantine.apply_stored_update(update, now):
            entry = self.quarantine.get_entry(update.fingerprint, now)
            self._report_quarantine(update.fingerprint, entry, "the store" if source is None else f"peer {source.vm}")
            self._reject_waiting(update.fingerprint)
            self._enqueue(update, source)

    # --- attribution --------------------------------------------------------------------------------------------------

    def _schedule_attribution(self) -> None:
        if not self._attribution_scheduled:
            self._attribution_scheduled = True
            self._clock.call_later(ATTRIBUTION_DELAY_S, self._attribute)

    def _attribute_observed(self) -> None:
        """Attribute again once successes after the latest crashes would be known."""
        self._observation_scheduled = False
        self._attribute()
        newest = max((crash.at for crash in self.quarantine.crashes), default=float("-inf"))
        wait = newest + OBSERVATION_S + ATTRIBUTION_DELAY_S - self._clock.now()
        if wait > 0:
            self._observation_scheduled = True
            self._clock.call_later(wait, self._attribute_observed)

    def _attribute(self) -> None:
        self._attribution_scheduled = False
        now = self._clock.now()
        before = self.quarantine.list_attributed()
        new = self.quarantine.attribute(now)
        self._retract([one for one in before if not self.quarantine.is_attributed(one)], now)
        for fingerprint in new:
            self._report_quarantine(fingerprint, self.quarantine.get_entry(fingerprint, now), "ends")
            self._reject_waiting(fingerprint)
            last_local_crash = self._get_last_local_crash(fingerprint)
            if last_local_crash is not None:
                self.on_quarantined(fingerprint, now - last_local_crash < 2 * ATTRIBUTION_DELAY_S)
        self._last_local_crash = {one: at for one, at in self._last_local_crash.items() if now - at < BASE_QUARANTINE_S}

    def _retract(self, fingerprints: Iterable[Fingerprint], now: float) -> None:
        """Withdraw quarantines that this VM had a part in and that newer updates have shown to be wrong."""
        for fingerprint in fingerprints:
            if self._get_last_local_crash(fingerprint) is None:
                continue
            self._report_clear(fingerprint, "the crashes have another cause")
            if self.quarantine.is_stored(fingerprint, now):
                self.on_clear(fingerprint)
                self.quarantine.clear(fingerprint, now)
                self._enqueue(ClearUpdate(fingerprint, 0.0), None)

    def _get_last_local_crash(self, fingerprint: Fingerprint) -> float | None:
        """Return when this VM last detected a crash with a request, or with all digests of a combination."""
        times = [self._last_local_crash.get(member) for member in split_combination(fingerprint)]
        known = [at for at in times if at is not None]
        return min(known) if len(known) == len(times) else None

    def _report_quarantine(self, fingerprint: Fingerprint, entry: QuarantineEntry | None, source: str) -> None:
        upstreams = [crash.upstream for crash in self.quarantine.crashes.list_with(fingerprint)]
        self._tally.count("quarantines_total", "begun")
        self._journal.write(
            "QUARANTINE",
            "begun",
            fingerprint=fingerprint.hex(),
            ends=0 if entry is None else entry.crash_count,
            upstreams=upstreams[-MAX_LOGGED_UPSTREAMS:],
            seconds=0 if entry is None else round(entry.until - self._clock.now(), 1),
            source=source,
        )

    def _report_clear(self, fingerprint: Fingerprint, source: str) -> None:
        self._tally.count("quarantines_total", "cleared")
        self._journal.write("QUARANTINE", "cleared", fingerprint=fingerprint.hex(), source=source)

    # --- sending ------------------------------------------------------------------------------------------------------

    def _enqueue(self, update: Update, source: PeerConnection | None) -> None:
        self._unsent.append(_Unsent(update, source, self._clock.now()))
        self._throttle.request()

    def _send_pending(self) -> None:
        unsent, self._unsent = self._unsent, []
        now = self._clock.now()
        forwards = self.forwards_updates()
        for connection in self.list_connections():
            updates = [
                _add_age(one.update, now - one.enqueued_at)
                for one in unsent
                if one.source is not connection and (forwards or self._is_sender_for(connection, one.source))
            ]
            if updates:
                connection.send(_make_message(updates))

    def _is_sender_for(self, connection: PeerConnection, source: PeerConnection | None) -> bool:
        """Return whether this VM must send an update even if it does not forward.

        These are its own updates, and those from other halls for peers in its hall.
        """
        return source is None or (source.hall != self.hall and connection.hall == self.hall)


def _add_age(update: Update, seconds: float) -> Update:
    """Return an update with the seconds that it was queued added to its age."""
    aged = msgspec.structs.replace(update, age=round(update.age + seconds, 3))
    return (
        msgspec.structs.replace(aged, remaining=update.remaining - seconds)
        if isinstance(update, StoredQuarantineUpdate)
        else aged
    )


def _make_message(updates: list[Update]) -> QuarantineUpdate:
    return QuarantineUpdate(
        _merge_crashes(update for update in updates if isinstance(update, CrashUpdate)),
        [update for update in updates if isinstance(update, ClearUpdate)],
        [update for update in updates if isinstance(update, StoredQuarantineUpdate)],
        [update for update in updates if isinstance(update, PartSuccessUpdate)],
    )


def _merge_crashes(updates: Iterable[CrashUpdate]) -> list[CrashUpdate]:
    """Return updates with those on the same crash merged."""
    merged: dict[str, CrashUpdate] = {}
    separate = []
    for one in updates:
        first = merged.setdefault(one.upstream, one)
        if abs(first.age - one.age) >= SAME_CRASH_WINDOW_S:
            separate.append(one)
        elif first is not one:
            merged[one.upstream] = msgspec.structs.replace(first, runs=[*first.runs, *one.runs])
    return [*merged.values(), *separate]

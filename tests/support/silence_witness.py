"""Checks what callers and upstreams see while sound upstreams fall silent."""

from __future__ import annotations

import re
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from tests.support.silence_fleet import GRACE_S
from tests.support.silence_upstreams import RecordingUpstream

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.support.silence_fleet import Call, SilenceFleet
    from tests.support.silence_upstreams import Arrival

TIME_LEFT_S = 0.1
"""Seconds before its deadline within which a request may be ended for lack of time."""

LATE_S = 0.5
"""Seconds behind its deadline after which a request must have ended."""

GONE_S = 0.5
"""Seconds behind the end of a request after which no upstream works for it."""

CROSSING_S = 0.02
"""Seconds before the end of a request in which a prompt may be read whose response and the close cross."""

DOUBLE_S = 0.4
"""Seconds for which two engines may work on one stream."""

MAX_ATTEMPTS = 2
"""Replicas that a request may run on, by its route."""

MORE_ATTEMPTS_ALLOWED = 3
"""Requests that may run on more replicas than that."""

BUDGET_WINDOW_S = 10.0
BUDGET_RATIO = 0.2
BUDGET_SLACK = 56
"""Retries allowed within a window, beside the share of the requests."""

LAST_SHARE_OF_GRACE = 5 / 6
"""Share of the time for a planned stop after which it may cut what upstreams still work on."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
_EVENT = re.compile(rb"id: (\d+)\ndata: [^/\n]+/(\w+)-(\d+)")


class Check(Enum):
    """What is checked."""

    CUT = "a stream is not cut while its engine is only silent and time is left"
    UNANSWERED = "a request without a stream does not fail while its replicas are only silent and time is left"
    LATE = "a request ends with its caller's time"
    EVENTS = "a caller gets each event once, in order, and the end after the last one"
    VERSIONS = "the events of a stream come from one version"
    ONCE = "a request that may not be repeated runs once at the most"
    REFUSED = "what is refused has not run"
    DOUBLE = "one engine at a time works on a stream"
    ATTEMPTS = "requests run on no more replicas than their routes allow"
    GONE = "nobody works for a caller whose request has ended"
    RELEASED = "memory is released once the callers are gone"
    BUDGET = "repeated sends stay within the budget"


@dataclass(frozen=True, slots=True)
class Breach:
    """A check that failed."""

    check: Check
    at: float
    request: str
    detail: str

    def __str__(self) -> str:
        """Return one line."""
        return f"{self.at:9.3f} {self.check.name} {self.request}: {self.detail}"


@dataclass
class SilenceWitness:
    """Looks at a fleet all the while, and at its record in the end."""

    fleet: SilenceFleet
    breaches: list[Breach] = field(default_factory=list)
    _double_since: dict[str, float] = field(default_factory=dict)
    """Since when two engines work on each stream."""
    _held_since: dict[str, float] = field(default_factory=dict)
    """Since when each KV cache is held."""
    _reported: set[tuple[Check, str]] = field(default_factory=set)

    def _note(self, check: Check, request: str, detail: str, at: float | None = None) -> None:
        if (check, request) not in self._reported:
            self._reported.add((check, request))
            self.breaches.append(Breach(check, self.fleet.now if at is None else at, request, detail))

    # --- all the while -----------------------------------------------------------------------------------------------

    def look(self) -> None:
        """Check what upstreams work on at this moment."""
        self._check_double()
        self._check_gone()

    def _check_double(self) -> None:
        now = self.fleet.now
        running: dict[str, list[str]] = {}
        for engine in self.fleet.list_engines():
            if engine.phase == "decode" and not engine.pause_left_s:
                for run in engine.runs:
                    running.setdefault(run.request, []).append(engine.instance)
        doubled = {request: engines for request, engines in running.items() if len(engines) > 1}
        self._double_since = {request: self._double_since.get(request, now) for request in doubled}
        for request, since in self._double_since.items():
            if now - since > DOUBLE_S:
                self._note(Check.DOUBLE, request, f"{doubled[request]} work on it")

    def _check_gone(self) -> None:
        now = self.fleet.now
        ended = {
            call.request: call
            for call in self.fleet.calls
            if call.ended_at is not None and now - 3.0 < call.ended_at < now - GONE_S and self._must_stop(call)
        }
        for upstream in self.fleet.platform.upstreams.values():
            if self.fleet.platform.record.was_paused(upstream.instance, now - GONE_S, now):
                continue
            for run in upstream.runs:
                if run.request in ended:
                    self._note(Check.GONE, run.request, f"{upstream.instance} still works on it")
        handles = self.fleet.platform.ledger.handles
        self._held_since = {handle: self._held_since.get(handle, now) for handle in handles}
        for handle, request in handles.items():
            found = ended.get(request)
            if found is None or self._held_since[handle] >= (found.ended_at or 0.0) - CROSSING_S:
                continue
            holder = handle.partition(":")[0].removeprefix("host-")
            if not self.fleet.platform.record.was_paused(holder, found.sent_at - GONE_S, now):
                self._note(Check.GONE, request, f"{handle} is still held for it")

    def _must_stop(self, call: Call) -> bool:
        """Return whether work for a request has to end with it."""
        return not call.path.startswith("/unsafe")

    # --- in the end --------------------------------------------------------------------------------------------------

    def finish(self) -> list[Breach]:
        """Check what became of all requests, and return what was seen broken in order of time."""
        for call in self.fleet.calls:
            self._check_end(call)
            self._check_answer(call)
            self._check_runs(call)
        self._check_attempts()
        self._check_released()
        for service in ("plain", "model"):
            self._check_budget(service)
        return sorted(self.breaches, key=lambda breach: breach.at)

    def _check_end(self, call: Call) -> None:
        """Check that a request was not ended early because upstreams were silent."""
        if call.ended_at is None:
            self._note(Check.LATE, call.request, "it has not ended")
            return
        if call.left:
            return
        late = call.ended_at - self.fleet.compute_latest_end(call)
        if late > LATE_S:
            self._note(Check.LATE, call.request, f"it ended {late:.2f} s behind its time", call.ended_at)
        left = self.fleet.get_time_left(call, call.ended_at)
        has_failed = call.caller.status in (0, 502, 504) or not call.caller.whole
        if has_failed and left > TIME_LEFT_S and not self._is_excused(call, call.ended_at):
            how = f"status {call.caller.status}" + ("" if call.caller.whole else ", cut")
            if call.streams:
                how += f" behind event {call.caller.events[-1] if call.caller.events else 0} of {call.tokens}"
            check = Check.CUT if call.streams else Check.UNANSWERED
            self._note(check, call.request, f"{how} at {call.vm}, {left:.2f} s left", call.ended_at)

    def _is_excused(self, call: Call, ended_at: float) -> bool:
        """Return whether an upstream that was more than silent, or a planned stop, may have ended a request."""
        stopped_at = self.fleet.stops.get(call.life)
        if stopped_at is not None and ended_at >= stopped_at + LAST_SHARE_OF_GRACE * GRACE_S:
            return True
        record = self.fleet.platform.record
        events = call.caller.events if call.caller.status == 200 else []
        arrivals = [one for one in record.arrivals.get(call.request, ()) if not one.is_prefill]
        if events:
            senders = record.senders.get(call.request, {}).get(events[-1], set())
            arrivals = [one for one in arrivals if one.upstream in senders]
        return any(record.was_harmed(one.upstream, one.at, ended_at) for one in arrivals)

    def _check_answer(self, call: Call) -> None:
        if call.caller.status != 200:
            return
        at = call.ended_at
        if not call.streams:
            if call.caller.whole and not call.caller.body.endswith(call.request.encode()):
                self._note(Check.EVENTS, call.request, f"answered with {call.caller.body[:60]!r}", at)
            return
        found = [(int(number), of.decode(), int(again)) for number, of, again in _EVENT.findall(call.caller.body)]
        numbers = [number for number, _, _ in found]
        if numbers != list(range(1, len(numbers) + 1)) or any(
            of != call.request or number != again for number, of, again in found
        ):
            self._note(Check.EVENTS, call.request, f"got events {found}", at)
        if call.caller.whole and len(numbers) != call.tokens:
            self._note(Check.EVENTS, call.request, f"ended behind {len(numbers)} of {call.tokens} events", at)
        record = self.fleet.platform.record
        # an engine whose pause ends may send events on a connection that was closed meanwhile
        sent = [{record.versions[one] for one in record.senders[call.request].get(number, ())} for number in numbers]
        if sent and not set.intersection(*sent):
            self._note(Check.VERSIONS, call.request, f"holds events of {sorted(set.union(*sent))}", at)

    def _check_runs(self, call: Call) -> None:
        runs = self.fleet.platform.ledger.runs[call.request]
        if runs > 1 and not call.may_repeat:
            self._note(Check.ONCE, call.request, f"{call.path} ran {runs} times", call.ended_at)
        if runs and call.caller.status in NOT_RUN_STATUSES:
            self._note(Check.REFUSED, call.request, f"{call.path} got {call.caller.status}", call.ended_at)

    def _check_attempts(self) -> None:
        record = self.fleet.platform.record
        beyond = []
        for call in self.fleet.calls:
            runners = set(record.runners.get(call.request, ()))
            ended_at = call.ended_at or self.fleet.now
            sound = [one for one in runners if not record.was_harmed(one, call.sent_at, ended_at)]
            if len(sound) > MAX_ATTEMPTS:
                beyond.append(f"{call.request} on {sorted(runners)}")
        if len(beyond) > MORE_ATTEMPTS_ALLOWED:
            self._note(Check.ATTEMPTS, "", "; ".join(beyond))

    def _check_released(self) -> None:
        for name, vm in self.fleet.platform.vms.items():
            if vm.core.exchanges:
                self._note(Check.RELEASED, name, f"has {len(vm.core.exchanges)} requests")
        for engine in self.fleet.list_engines():
            if engine.used_tokens or engine.reserved_tokens:
                detail = f"uses {engine.used_tokens} tokens, and keeps {engine.reserved_tokens} reserved"
                self._note(Check.RELEASED, engine.instance, detail)
        for name, upstream in self.fleet.platform.upstreams.items():
            if upstream.runs:
                self._note(Check.RELEASED, name, f"runs {sorted(run.request for run in upstream.runs)}")
        for handle, request in self.fleet.platform.ledger.handles.items():
            self._note(Check.RELEASED, request, f"{handle} is held for it")

    def _check_budget(self, service: str) -> None:
        calls = {call.request: call for call in self.fleet.calls if call.streams == (service == "model")}
        asked = [call.sent_at for call in calls.values()]
        window: deque[float] = deque()
        for at in sorted(extra for request in calls for extra in self._list_extra(request)):
            window.append(at)
            while window[0] <= at - BUDGET_WINDOW_S:
                window.popleft()
            requests = max(
                sum(end - BUDGET_WINDOW_S < sent_at <= end for sent_at in asked)
                for end in (at, at - BUDGET_WINDOW_S / 2, at - BUDGET_WINDOW_S)
            )
            if len(window) > BUDGET_RATIO * requests + BUDGET_SLACK:
                detail = f"{len(window)} repeated sends for {requests} requests"
                self._note(Check.BUDGET, service, detail, at)

    def _list_extra(self, request: str) -> Iterator[float]:
        """Return the times of the sends of a request beyond the first one, and the first prefill."""
        seen: Counter[bool] = Counter()
        arrivals: list[Arrival] = self.fleet.platform.record.arrivals.get(request, [])
        for one in arrivals:
            if seen[one.is_prefill]:
                yield one.at
            seen[one.is_prefill] += 1

    # --- traces ------------------------------------------------------------------------------------------------------

    def describe(self, request: str) -> list[str]:
        """Return what the VMs wrote about a request, and which upstreams it reached."""
        record = self.fleet.platform.record
        found = [(one.at, str(one)) for one in self.fleet.lines.get(request, [])]
        for one in record.arrivals.get(request, []):
            upstream = self.fleet.platform.upstreams.get(one.upstream)
            kind = "prefill" if one.is_prefill else "run"
            paused = " (paused)" if record.was_paused(one.upstream, one.at, one.at) else ""
            gone = "" if isinstance(upstream, RecordingUpstream) else " (gone since)"
            found.append((one.at, f"{one.at:9.3f} {one.upstream}{paused}{gone} got it as {kind}"))
        for upstream_name in {one.upstream for one in record.arrivals.get(request, [])}:
            for word, spans in (("paused", record.pauses), ("harmed", record.harms)):
                for span in spans.get(upstream_name, ()):
                    text = f"{span.begin:9.3f} {upstream_name} {word} until {span.end:.3f}"
                    found.append((span.begin, text))
        return [text for _, text in sorted(found, key=lambda one: one[0])]

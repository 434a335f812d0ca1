"""The router: all requests under way on this VM, and the parts that they share.

``Router.submit`` is where the caller's side hands a request over; everything about one request is in its exchange.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from beamhatch.decide.admission import Admission
from beamhatch.decide.comparison import Sample
from beamhatch.decide.outcome import Answered, NotRun, Outcome, Reason, Unknown, name_outcome
from beamhatch.ids import RequestId, RunId, UpstreamName
from beamhatch.observe.log import Part, get_log
from beamhatch.task.exchange import Exchange

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from beamhatch.clock import Clock
    from beamhatch.decide.call import Call
    from beamhatch.decide.comparison import PolicyComparison
    from beamhatch.decide.traffic import PolicyAssignment
    from beamhatch.edge.caller.api import CallerAnswer
    from beamhatch.ids import Boot, VmName
    from beamhatch.observe.metrics import Metrics
    from beamhatch.observe.trace import Tracer
    from beamhatch.settings.schema import Settings, Workspace
    from beamhatch.task.cancel import Canceller
    from beamhatch.task.pause import PauseGuard
    from beamhatch.task.pools import Pools
    from beamhatch.task.records import Records
    from beamhatch.task.runs import RunLedger

CHECK_PERIOD = 0.1


class Router:
    """Owns the requests of this VM."""

    def __init__(
        self,
        settings: Settings,
        vm: VmName,
        boot: Boot,
        clock: Clock,
        guard: PauseGuard,
        metrics: Metrics,
        tracer: Tracer,
        canceller: Canceller,
        runs: RunLedger,
    ) -> None:
        self.settings = settings
        self.vm = vm
        self.boot = boot
        self.clock = clock
        self.guard = guard
        self.metrics = metrics
        self.tracer = tracer
        self.canceller = canceller
        self.runs = runs
        self.pools: Pools
        self.records: Records
        self.find_serving: Callable[[Call], PolicyAssignment]
        self.find_workspace: Callable[[str], Workspace]
        self.comparison: PolicyComparison
        self.stop_hard: Callable[[], None] | None = None
        self.exchanges: dict[str, Exchange] = {}
        self.accepting = True
        self.letting_go = False
        """True while all requests are cut: a place that one gives back must not start the next."""
        self.admission = Admission()
        self._numbers = itertools.count(1)
        self._idle: list[defer.Deferred[None]] = []
        self._log = get_log(Part.ROUTER)
        guard.call_on_pause(self._let_go)

    def start(self) -> None:
        """Begin to watch the times of requests."""
        self.guard.check()
        now = self.clock.now()
        for exchange in list(self.exchanges.values()):
            exchange.check_times(now)
        self.clock.call_later(CHECK_PERIOD, self.start)

    def name_request(self) -> RequestId:
        """Return a new identity."""
        return RequestId(f"{self.vm}.{self.boot}.{next(self._numbers)}")

    def submit(self, call: Call, answer: CallerAnswer) -> None:
        """Take in a request; its answer goes back on its own."""
        refusal = self._refuse(call)
        if refusal is not None:
            outcome = _doubt_earlier_attempt(call, refusal)
            answer.fail(outcome)
            self._count_end(call, outcome)
            return
        exchange = Exchange(self, call, answer)
        self.exchanges[call.request] = exchange
        self.metrics.open_requests.set(len(self.exchanges))
        exchange.begin()

    def _refuse(self, call: Call) -> NotRun | None:
        if not self.accepting:
            return NotRun(Reason.STOPPING, "this entry VM is stopping", 0.1)
        if len(self.exchanges) >= self.settings.limits.open_requests:
            return NotRun(Reason.LIMIT_REACHED, "this entry VM has too many open requests", 1.0)
        if self.pools.find(call.target, call.service) is None:
            kind = "service" if call.service else "model"
            return NotRun(Reason.UNKNOWN_MODEL, f"there is no {kind} {call.target!r}")
        workspace = self.find_workspace(call.workspace)
        return self.admission.admit(call.workspace, workspace.concurrency, workspace.rate, self.clock.now())

    def forget(self, exchange: Exchange) -> None:
        """Drop a request that has ended."""
        self.exchanges.pop(exchange.call.request, None)
        self.admission.release(exchange.call.workspace)
        self.runs.end(exchange.call.request)
        self.metrics.open_requests.set(len(self.exchanges))
        if not self.exchanges:
            waiting, self._idle = self._idle, []
            for idle in waiting:
                idle.callback(None)

    def guard_runs(self, run: RunId, upstream: UpstreamName) -> None:
        """Tell peers which engine is about to hold memory for a run, so that they can free it if this VM dies."""
        self.runs.begin(run, upstream)

    def wait_idle(self) -> defer.Deferred[None]:
        """Return a deferred that fires when no request is under way."""
        idle: defer.Deferred[None] = defer.Deferred()
        if self.exchanges:
            self._idle.append(idle)
        else:
            idle.callback(None)
        return idle

    def cut_all(self, reason: Reason) -> list[str]:
        """Let go of all requests now; return them."""
        cut = list(self.exchanges)
        self.letting_go = True
        for exchange in list(self.exchanges.values()):
            exchange.cut(reason)
        self.letting_go = False
        return cut

    def _let_go(self, _: float) -> None:
        self.metrics.superseded.inc()
        self.cut_all(Reason.SUPERSEDED)

    # --- counting --------------------------------------------------------------------------------------------------

    def count(self, exchange: Exchange, outcome: Outcome, first_frame_at: float | None) -> None:
        """Count how a request ended."""
        call = exchange.call
        self._count_end(call, outcome)
        if call.service:
            return
        ran = exchange.request.has_run
        wasted = call.prompt_tokens if ran and not isinstance(outcome, Answered) else 0
        self.metrics.wasted.inc(wasted)
        self.metrics.frames.inc(exchange.frames)
        first_token = None if first_frame_at is None else first_frame_at - call.arrival_time
        pace = None
        if first_frame_at is not None and exchange.frames > 1:
            lasted = exchange.last_frame_at - first_frame_at
            pace = lasted / (exchange.frames - 1)
            self.metrics.pace.labels(exchange.policy).observe(pace)
            self.pools.note_answer(call, exchange.frames, lasted)
        good = isinstance(outcome, Answered) and first_token is not None and first_token <= call.first_token_target
        good = good and (pace is None or pace <= call.token_interval_target)
        if good:
            self.metrics.good.labels(exchange.policy).inc()
        prefilled = call.prompt_tokens if ran else 0
        self.comparison.record_served(exchange.policy, Sample(good, first_token, pace, prefilled, wasted))

    def _count_end(self, call: Call, outcome: Outcome) -> None:
        reason = Reason.ANSWERED if isinstance(outcome, Answered) else outcome.reason
        workspace = self.metrics.bound_label(call.workspace)
        self.metrics.requests.labels(workspace, name_outcome(outcome), reason.value).inc()

    def stop_on_broken_invariant(self, failure: Failure) -> Any:
        """Log an error that must not happen, and stop the process: going on could break a promise."""
        self._log.error("An invariant is broken; this process stops.", error=failure.getTraceback())
        if self.stop_hard is not None:
            self.stop_hard()


def _doubt_earlier_attempt(call: Call, refusal: NotRun) -> Outcome:
    """Return a refusal that came before the records were asked: an earlier attempt of the key may have run."""
    if call.key is None or call.attempt == 1 or refusal.reason is Reason.UNKNOWN_MODEL:
        return refusal
    return Unknown(refusal.reason, f"{refusal.detail}; an earlier attempt may have run", refusal.retry_after)

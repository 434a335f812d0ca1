"""The task that owns the pools: it reads load reports and cache events, and carries decisions to the requests.

Upstreams come from the configuration. The platform's VM list and the upstreams' own reports say which are leaving;
the first of these signs wins.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import defer

from beamhatch.decide.circuit import RetryBudget
from beamhatch.decide.fact import DecodeChosen, FirstChosen, PlacementFailed
from beamhatch.decide.fleet import Fleet
from beamhatch.decide.ledger import LoadSnapshot, UpstreamConfig, UpstreamState, VmLoad
from beamhatch.decide.outcome import Reason
from beamhatch.decide.pool import HandoffDecision, Pool, RefusalDecision, StartDecision
from beamhatch.ids import HallName, UpstreamName, VmName, WorkspaceName
from beamhatch.observe.log import Part, get_log

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.clock import Clock
    from beamhatch.decide.call import Call
    from beamhatch.decide.comparison import PolicyComparison
    from beamhatch.decide.policy.api import Policy, ResourceNeed
    from beamhatch.decide.pool import PlacementDecision
    from beamhatch.decide.traffic import TrafficSlices
    from beamhatch.edge.upstream.api import Engine, LoadReport, Service
    from beamhatch.edge.upstream.connect import Connector
    from beamhatch.settings.schema import Limits, Timing
    from beamhatch.settings.schema import Pool as PoolDocument
    from beamhatch.task.exchange import Exchange

EXPIRE_PERIOD = 0.1


class HostedPool:
    """One pool with the connections to its upstreams."""

    def __init__(self, document: PoolDocument, pool: Pool) -> None:
        self.document = document
        self.pool = pool
        self.budget = RetryBudget()
        self.boots: dict[UpstreamName, int] = {}
        self.cache_seen: dict[UpstreamName, int] = {}
        self.reading: set[UpstreamName] = set()


class Pools:
    """Owns all pools of this VM."""

    def __init__(
        self,
        clock: Clock,
        hall: HallName,
        limits: Limits,
        timing: Timing,
        connector: Connector,
        find_exchange: Callable[[str], Exchange | None],
        traffic: TrafficSlices,
        comparison: PolicyComparison,
    ) -> None:
        self._clock = clock
        self._hall = hall
        self._limits = limits
        self._timing = timing
        self._connector = connector
        self._find_exchange = find_exchange
        self._traffic = traffic
        self._comparison = comparison
        self._log = get_log(Part.POOL)
        self.hosted: dict[str, HostedPool] = {}
        """By model name, or ``/`` and the service's name."""
        self.weights: dict[WorkspaceName, float] = {}
        self._budgets: dict[WorkspaceName, RetryBudget] = {}
        self._engines: dict[UpstreamName, Engine] = {}
        self._services: dict[UpstreamName, Service] = {}
        self._leaving: set[str] = set()

    def count_waiting(self) -> int:
        """Return how many requests wait for a place."""
        return sum(len(hosted.pool.queue) for hosted in self.hosted.values())

    def start(self) -> None:
        """Begin to read reports and to give up what waits for too long."""
        self._read_all()
        self._expire()

    # --- configuration ---------------------------------------------------------------------------------------------

    def apply(self, documents: Sequence[PoolDocument], weights: dict[WorkspaceName, float]) -> None:
        """Take the pools of a configuration; work under way in one that is no longer there goes on."""
        self.weights = weights
        routes = {_name_route(document): document for document in documents}
        for route, document in routes.items():
            hosted = self.hosted.get(route)
            if hosted is None:
                fleet = Fleet(self._hall, self._timing.load_age_limit)
                pool = Pool(fleet, self._choose_policy, document.service is not None, self._limits.queued_requests)
                hosted = self.hosted[route] = HostedPool(document, pool)
            hosted.document = document
            self._set_upstreams(hosted)
        for route in [route for route in self.hosted if route not in routes]:
            self._retire(route)
        self._read_all(again=False)

    def _retire(self, route: str) -> None:
        hosted = self.hosted[route]
        hosted.pool.fleet.set_upstreams([])
        if not hosted.pool.placements:
            del self.hosted[route]

    def _set_upstreams(self, hosted: HostedPool) -> None:
        document = hosted.document
        facts = [
            UpstreamConfig(
                UpstreamName(item.name),
                item.address,
                HallName(item.hall),
                item.role,
                {**document.labels, **item.labels},
                item.capacity_tokens,
                item.prefill_rate,
                item.link_rate,
            )
            for item in document.upstreams
        ]
        hosted.pool.fleet.set_upstreams(facts)
        for item in facts:
            if item.role == "service":
                self._services[item.name] = self._connector.connect_service(item.address)
            else:
                self._engines[item.name] = self._connector.connect_engine(item.address)
            if item.address in self._leaving:
                hosted.pool.fleet.set_state(item.name, UpstreamState.LEAVING)

    def mark_leaving(self, addresses: set[str]) -> None:
        """Give no new work to upstreams that the platform's VM list calls leaving."""
        if addresses == self._leaving:
            return
        self._leaving = addresses
        for hosted in self.hosted.values():
            for ledger in hosted.pool.fleet.ledgers.values():
                if ledger.config.address in addresses and ledger.state is UpstreamState.SERVING:
                    self._log.info("An upstream is leaving, by the VM list.", upstream=ledger.config.name)
                    hosted.pool.fleet.set_state(ledger.config.name, UpstreamState.LEAVING)

    # --- looking up ------------------------------------------------------------------------------------------------

    def find(self, target: str, service: bool) -> HostedPool | None:
        """Return the pool of a model or a service."""
        return self.hosted.get(f"/{target}" if service else target)

    def find_engine(self, name: UpstreamName) -> Engine | None:
        """Return the connection to an engine."""
        return self._engines.get(name)

    def find_service(self, name: UpstreamName) -> Service | None:
        """Return the connection to one replica of a plain service."""
        return self._services.get(name)

    def _choose_policy(self, need: ResourceNeed) -> Policy:
        return self._traffic.get_policy(need.policy)

    def list_names(self) -> list[UpstreamName]:
        """Return the names of all upstreams."""
        return [name for hosted in self.hosted.values() for name in hosted.pool.fleet.ledgers]

    def list_engines(self) -> list[UpstreamName]:
        """Return the names of all engines."""
        return list(self._engines)

    def find_weight(self, workspace: WorkspaceName) -> float:
        """Return a workspace's share."""
        return self.weights.get(workspace, 1.0)

    # --- what requests ask -----------------------------------------------------------------------------------------

    def ask_start(self, call: Call, need: ResourceNeed, compared: Sequence[str] = ()) -> None:
        """Ask for the first upstream; the answer is fed to the request, at once or later."""
        hosted = self.find(call.target, call.service)
        if hosted is None:
            self._carry([RefusalDecision(call.request, Reason.NO_UPSTREAM, "the pool is gone", None)])
            return
        now = self._clock.now()
        self._compare(hosted.pool, need, compared, now)
        self._carry(hosted.pool.request_start(need, now))

    def _compare(self, pool: Pool, need: ResourceNeed, compared: Sequence[str], now: float) -> None:
        """Have compared policies decide on the same request and the same view, without effect."""
        if not compared:
            return
        serving = self._choose_policy(need).choose_first(need, pool.fleet, now)
        for name in compared:
            choice = self._traffic.get_policy(name).choose_first(need, pool.fleet, now)
            if choice is None or serving is None:
                self._comparison.record_decision(need.policy, name, None, 0.0)
                continue
            same = choice.first is serving.first and choice.decode is serving.decode
            self._comparison.record_decision(
                need.policy, name, same, serving.first_token_time - choice.first_token_time
            )

    def ask_landing(self, call: Call, exclude: frozenset[UpstreamName]) -> None:
        """Ask for a decode engine; the answer is fed to the request, at once or later."""
        hosted = self.find(call.target, call.service)
        if hosted is None:
            self._carry([RefusalDecision(call.request, Reason.NO_UPSTREAM, "the pool is gone", None)])
            return
        self._carry(hosted.pool.request_handoff(call.request, exclude, self._clock.now()))

    def free(self, call: Call) -> None:
        """Give back all that a request has."""
        hosted = self.find(call.target, call.service)
        if hosted is not None:
            self._carry(hosted.pool.release(call.request, self._clock.now()))

    def note_landed(self, call: Call) -> None:
        """Note that a decode engine has begun."""
        hosted = self.find(call.target, call.service)
        if hosted is not None:
            hosted.pool.record_transfer_end(call.request)

    def note_success(self, call: Call, upstream: UpstreamName) -> None:
        """Note that an upstream did its work."""
        hosted = self.find(call.target, call.service)
        if hosted is None:
            return
        hosted.budget.record_success()
        self._budgets.setdefault(call.workspace, RetryBudget()).record_success()
        ledger = hosted.pool.fleet.ledgers.get(upstream)
        if ledger is not None:
            ledger.breaker.record_success()

    def note_failure(self, call: Call, upstream: UpstreamName) -> None:
        """Note that an upstream failed a request."""
        hosted = self.find(call.target, call.service)
        ledger = hosted.pool.fleet.ledgers.get(upstream) if hosted else None
        if ledger is not None:
            ledger.breaker.record_failure(self._clock.now())

    def note_answer(self, call: Call, output_tokens: int, seconds: float) -> None:
        """Take in the length and time of one answer."""
        hosted = self.find(call.target, call.service)
        if hosted is not None:
            hosted.pool.fleet.workload.record_output(output_tokens, seconds)

    def spend_retry(self, call: Call) -> bool:
        """Take a retry out of the budgets of the pool and the workspace."""
        hosted = self.find(call.target, call.service)
        budget = self._budgets.setdefault(call.workspace, RetryBudget())
        return hosted is not None and budget.acquire() and hosted.budget.acquire()

    def _carry(self, decisions: list[PlacementDecision]) -> None:
        for decision in decisions:
            exchange = self._find_exchange(decision.request)
            if exchange is None:
                continue
            if isinstance(decision, StartDecision):
                exchange.feed(FirstChosen(decision.upstream))
            elif isinstance(decision, HandoffDecision):
                exchange.feed(DecodeChosen(decision.upstream))
            else:
                exchange.feed(PlacementFailed(decision.reason, decision.detail, decision.retry_after))

    # --- what other VMs have ---------------------------------------------------------------------------------------

    def take_changed_shares(self) -> dict[UpstreamName, VmLoad]:
        """Return this VM's shares that changed since the last call."""
        changed: dict[UpstreamName, VmLoad] = {}
        for hosted in self.hosted.values():
            changed.update(hosted.pool.fleet.pop_changed_loads())
        return changed

    def list_shares(self) -> dict[UpstreamName, VmLoad]:
        """Return all that this VM has anywhere."""
        ledgers = [ledger for hosted in self.hosted.values() for ledger in hosted.pool.fleet.ledgers.values()]
        return {ledger.config.name: ledger.own_load for ledger in ledgers if ledger.own_runs or ledger.reservations}

    def take_share(self, name: UpstreamName, vm: VmName, share: VmLoad | None) -> None:
        """Take in what another VM has at an upstream."""
        for hosted in self.hosted.values():
            hosted.pool.fleet.apply_vm_load(name, vm, share, self._clock.now())

    def serve_all(self) -> None:
        """Give places to those that wait, in all pools."""
        now = self._clock.now()
        for hosted in list(self.hosted.values()):
            if hosted.pool.queue or hosted.pool.pending_handoffs:
                self._carry(hosted.pool.dispatch_waiting(now))

    # --- reports ---------------------------------------------------------------------------------------------------

    def _read_all(self, again: bool = True) -> None:
        for hosted in self.hosted.values():
            for name in list(hosted.pool.fleet.ledgers):
                if name not in hosted.reading:
                    hosted.reading.add(name)
                    defer.ensureDeferred(self._read(hosted, name))
        if again:
            self._clock.call_later(self._timing.load_period, self._read_all)

    async def _read(self, hosted: HostedPool, name: UpstreamName) -> None:
        try:
            upstream = self._engines.get(name) or self._services.get(name)
            if upstream is None:
                return
            report = await upstream.read_load()
            if report is not None:
                self._take_report(hosted, name, report)
            engine = self._engines.get(name)
            ledger = hosted.pool.fleet.ledgers.get(name)
            if engine is not None and ledger is not None and ledger.config.role == "prefill":
                await self._read_cache(hosted, name, engine)
        finally:
            hosted.reading.discard(name)

    def _take_report(self, hosted: HostedPool, name: UpstreamName, report: LoadReport) -> None:
        now = self._clock.now()
        fleet = hosted.pool.fleet
        if hosted.boots.get(name, report.boot) != report.boot:
            self._log.info("An upstream was started anew.", upstream=name)
            fleet.drop_blocks(name)
            hosted.cache_seen.pop(name, None)
        hosted.boots[name] = report.boot
        before = fleet.ledgers[name].state if name in fleet.ledgers else None
        jobs = report.running + report.queued
        fleet.apply_report(
            name, LoadSnapshot(now - report.age, report.held_tokens, report.capacity_tokens, jobs, report.leaving)
        )
        if report.leaving and before is UpstreamState.SERVING:
            self._log.info("An upstream says that it is leaving.", upstream=name)
        self._carry(hosted.pool.dispatch_waiting(now))

    async def _read_cache(self, hosted: HostedPool, name: UpstreamName, engine: Engine) -> None:
        seen = hosted.cache_seen.get(name, 0)
        events = await engine.read_cache_events(seen)
        if not events:
            return
        if events[0].sequence != seen + 1 and seen:
            hosted.pool.fleet.drop_blocks(name)
        for event in events:
            hosted.pool.fleet.record_block(name, event.block, event.stored, self._clock.now())
        hosted.cache_seen[name] = events[-1].sequence

    def _expire(self) -> None:
        now = self._clock.now()
        for route in list(self.hosted):
            self._carry(self.hosted[route].pool.expire(now))
        self._clock.call_later(EXPIRE_PERIOD, self._expire)


def _name_route(document: PoolDocument) -> str:
    return document.model or f"/{document.service}"

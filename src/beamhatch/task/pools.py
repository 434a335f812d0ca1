"""The task that owns the pools: it reads load reports and cache events, and carries decisions to the requests.

Upstreams come from the configuration. The platform's VM list and the upstreams' own reports say which are leaving;
the first of these signs wins.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import defer

from beamhatch.decide.circuit import RetryBudget
from beamhatch.decide.fact import Landed, Placed, PlacementRefused
from beamhatch.decide.fleet import Fleet
from beamhatch.decide.ledger import Facts, Report, Share, Standing
from beamhatch.decide.outcome import Reason
from beamhatch.decide.pool import Landing, Pool, Started, Turned
from beamhatch.ids import HallName, UpstreamName, VmName, WorkspaceName
from beamhatch.observe.log import Part, get_log

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.clock import Clock
    from beamhatch.decide.call import Call
    from beamhatch.decide.comparison import Comparison
    from beamhatch.decide.policy.api import Need, Policy
    from beamhatch.decide.pool import Decision
    from beamhatch.decide.traffic import Traffic
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
        traffic: Traffic,
        comparison: Comparison,
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
        return sum(len(hosted.pool.waiting) for hosted in self.hosted.values())

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
        if not hosted.pool.placed:
            del self.hosted[route]

    def _set_upstreams(self, hosted: HostedPool) -> None:
        document = hosted.document
        facts = [
            Facts(
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
                hosted.pool.fleet.set_standing(item.name, Standing.LEAVING)

    def mark_leaving(self, addresses: set[str]) -> None:
        """Give no new work to upstreams that the platform's VM list calls leaving."""
        if addresses == self._leaving:
            return
        self._leaving = addresses
        for hosted in self.hosted.values():
            for ledger in hosted.pool.fleet.ledgers.values():
                if ledger.facts.address in addresses and ledger.standing is Standing.SERVING:
                    self._log.info("An upstream is leaving, by the VM list.", upstream=ledger.facts.name)
                    hosted.pool.fleet.set_standing(ledger.facts.name, Standing.LEAVING)

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

    def _choose_policy(self, need: Need) -> Policy:
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

    def ask_start(self, call: Call, need: Need, compared: Sequence[str] = ()) -> None:
        """Ask for the first upstream; the answer is fed to the request, at once or later."""
        hosted = self.find(call.target, call.service)
        if hosted is None:
            self._carry([Turned(call.request, Reason.NO_UPSTREAM, "the pool is gone", None)])
            return
        now = self._clock.now()
        self._compare(hosted.pool, need, compared, now)
        self._carry(hosted.pool.ask_start(need, now))

    def _compare(self, pool: Pool, need: Need, compared: Sequence[str], now: float) -> None:
        """Have compared policies decide on the same request and the same view, without effect."""
        if not compared:
            return
        serving = self._choose_policy(need).start(need, pool.fleet, now)
        for name in compared:
            choice = self._traffic.get_policy(name).start(need, pool.fleet, now)
            if choice is None or serving is None:
                self._comparison.note_decision(need.policy, name, None, 0.0)
                continue
            same = choice.first is serving.first and choice.decode is serving.decode
            self._comparison.note_decision(need.policy, name, same, serving.first_token_at - choice.first_token_at)

    def ask_landing(self, call: Call, exclude: frozenset[UpstreamName]) -> None:
        """Ask for a decode engine; the answer is fed to the request, at once or later."""
        hosted = self.find(call.target, call.service)
        if hosted is None:
            self._carry([Turned(call.request, Reason.NO_UPSTREAM, "the pool is gone", None)])
            return
        self._carry(hosted.pool.ask_landing(call.request, exclude, self._clock.now()))

    def free(self, call: Call) -> None:
        """Give back all that a request has."""
        hosted = self.find(call.target, call.service)
        if hosted is not None:
            self._carry(hosted.pool.free(call.request, self._clock.now()))

    def note_landed(self, call: Call) -> None:
        """Note that a decode engine has begun."""
        hosted = self.find(call.target, call.service)
        if hosted is not None:
            hosted.pool.note_landed(call.request)

    def note_success(self, call: Call, upstream: UpstreamName) -> None:
        """Note that an upstream did its work."""
        hosted = self.find(call.target, call.service)
        if hosted is None:
            return
        hosted.budget.note_success()
        self._budgets.setdefault(call.workspace, RetryBudget()).note_success()
        ledger = hosted.pool.fleet.ledgers.get(upstream)
        if ledger is not None:
            ledger.breaker.note_success()

    def note_failure(self, call: Call, upstream: UpstreamName) -> None:
        """Note that an upstream failed a request."""
        hosted = self.find(call.target, call.service)
        ledger = hosted.pool.fleet.ledgers.get(upstream) if hosted else None
        if ledger is not None:
            ledger.breaker.note_failure(self._clock.now())

    def note_answer(self, call: Call, output_tokens: int, seconds: float) -> None:
        """Take in the length and time of one answer."""
        hosted = self.find(call.target, call.service)
        if hosted is not None:
            hosted.pool.fleet.rates.note_answer(output_tokens, seconds)

    def spend_retry(self, call: Call) -> bool:
        """Take a retry out of the budgets of the pool and the workspace."""
        hosted = self.find(call.target, call.service)
        budget = self._budgets.setdefault(call.workspace, RetryBudget())
        return hosted is not None and budget.spend() and hosted.budget.spend()

    def _carry(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            exchange = self._find_exchange(decision.request)
            if exchange is None:
                continue
            if isinstance(decision, Started):
                exchange.feed(Placed(decision.upstream))
            elif isinstance(decision, Landing):
                exchange.feed(Landed(decision.upstream))
            else:
                exchange.feed(PlacementRefused(decision.reason, decision.detail, decision.retry_after))

    # --- what other VMs have ---------------------------------------------------------------------------------------

    def take_changed_shares(self) -> dict[UpstreamName, Share]:
        """Return this VM's shares that changed since the last call."""
        changed: dict[UpstreamName, Share] = {}
        for hosted in self.hosted.values():
            changed.update(hosted.pool.fleet.take_changed())
        return changed

    def list_shares(self) -> dict[UpstreamName, Share]:
        """Return all that this VM has anywhere."""
        ledgers = [ledger for hosted in self.hosted.values() for ledger in hosted.pool.fleet.ledgers.values()]
        return {ledger.facts.name: ledger.own_share for ledger in ledgers if ledger.own or ledger.promises}

    def take_share(self, name: UpstreamName, vm: VmName, share: Share | None) -> None:
        """Take in what another VM has at an upstream."""
        for hosted in self.hosted.values():
            hosted.pool.fleet.take_share(name, vm, share, self._clock.now())

    def serve_all(self) -> None:
        """Give places to those that wait, in all pools."""
        now = self._clock.now()
        for hosted in list(self.hosted.values()):
            if hosted.pool.waiting or hosted.pool.landings:
                self._carry(hosted.pool.serve(now))

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
            if engine is not None and ledger is not None and ledger.facts.role == "prefill":
                await self._read_cache(hosted, name, engine)
        finally:
            hosted.reading.discard(name)

    def _take_report(self, hosted: HostedPool, name: UpstreamName, report: LoadReport) -> None:
        now = self._clock.now()
        fleet = hosted.pool.fleet
        if hosted.boots.get(name, report.boot) != report.boot:
            self._log.info("An upstream was started anew.", upstream=name)
            fleet.forget_blocks(name)
            hosted.cache_seen.pop(name, None)
        hosted.boots[name] = report.boot
        before = fleet.ledgers[name].standing if name in fleet.ledgers else None
        jobs = report.running + report.queued
        fleet.take_report(
            name, Report(now - report.age, report.held_tokens, report.capacity_tokens, jobs, report.leaving)
        )
        if report.leaving and before is Standing.SERVING:
            self._log.info("An upstream says that it is leaving.", upstream=name)
        self._carry(hosted.pool.serve(now))

    async def _read_cache(self, hosted: HostedPool, name: UpstreamName, engine: Engine) -> None:
        seen = hosted.cache_seen.get(name, 0)
        events = await engine.read_cache_events(seen)
        if not events:
            return
        if events[0].sequence != seen + 1 and seen:
            hosted.pool.fleet.forget_blocks(name)
        for event in events:
            hosted.pool.fleet.note_block(name, event.block, event.stored, self._clock.now())
        hosted.cache_seen[name] = events[-1].sequence

    def _expire(self) -> None:
        now = self._clock.now()
        for route in list(self.hosted):
            self._carry(self.hosted[route].pool.expire(now))
        self._clock.call_later(EXPIRE_PERIOD, self._expire)


def _name_route(document: PoolDocument) -> str:
    return document.model or f"/{document.service}"

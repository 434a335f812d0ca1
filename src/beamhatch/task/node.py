"""One entry VM: all its tasks, put together from its settings."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from beamhatch.clock import sleep
from beamhatch.decide.comparison import PolicyComparison
from beamhatch.decide.configuration import Configuration, make_initial_head
from beamhatch.decide.outcome import Reason
from beamhatch.decide.traffic import TrafficSlices
from beamhatch.edge.caller.http import CallerRoot, CallerSite
from beamhatch.edge.caller.parse import WORKSPACE, BadRequest
from beamhatch.edge.http import HttpClient
from beamhatch.edge.operator.http import AdminRoot
from beamhatch.edge.store.http import EtcdKeyValue, HttpVmList
from beamhatch.edge.tls import make_context
from beamhatch.edge.upstream.connect import HttpConnector
from beamhatch.ids import Boot, HallName, VmName, WorkspaceName
from beamhatch.observe.log import Part, get_log
from beamhatch.observe.metrics import Metrics
from beamhatch.observe.trace import Tracer
from beamhatch.settings.schema import Workspace
from beamhatch.task.cancel import Canceller
from beamhatch.task.configuring import Configuring
from beamhatch.task.export import SpanExporter
from beamhatch.task.guards import Guards
from beamhatch.task.hall_records import HallRecords
from beamhatch.task.mesh import Mesh
from beamhatch.task.pause import PauseGuard
from beamhatch.task.pools import Pools
from beamhatch.task.record_holder import RecordHolder
from beamhatch.task.router import Router
from beamhatch.task.sharing import Sharing
from beamhatch.task.vms import VmWatch

if TYPE_CHECKING:
    from collections.abc import Mapping

    from beamhatch.clock import Clock
    from beamhatch.decide.call import Call
    from beamhatch.settings.schema import Peer, Settings, Tls

DEFAULT_WORKSPACE = "default"
LEAVE_PAUSE = 0.3
"""Seconds between the news that this VM leaves and its end."""


class Node:
    """One entry VM."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.vm = VmName(settings.vm)
        self.boot = Boot(int(clock.tell_wall() * 1000))
        self.metrics = Metrics()
        self.traffic = TrafficSlices()
        self.comparison = PolicyComparison()
        self.stopping = False
        self._workspaces: dict[str, Workspace] = {}
        self._workspaces_by_key: dict[str, Workspace] = {}
        self._log = get_log(Part.ROUTER)
        self._client = HttpClient(clock.reactor, settings.timing.connect_limit)
        self._make_tasks()

    def _make_tasks(self) -> None:
        settings, clock, timing = self.settings, self.clock, self.settings.timing
        hall = HallName(settings.hall)
        guard = PauseGuard(clock, timing.pause_limit)
        self.guard = guard
        self.tracer = Tracer(clock.tell_wall, settings.traces.kept, settings.traces.sampled)
        self.exporter = SpanExporter(self._client, settings.traces.otlp, settings.vm)
        self.tracer.export = self.exporter.export if settings.traces.otlp else None
        self.mesh = Mesh(clock, self.vm, self.boot, hall, list(settings.peer.seeds), timing, self.metrics)
        self.canceller = Canceller(clock, self._find_engine, timing.cancel_retry, self.metrics)
        self.guards = Guards(clock, self.mesh, self.canceller, lambda: self.pools.list_engines())
        self.holder = RecordHolder(clock, self.mesh, settings, self.metrics)
        self.records = HallRecords(clock, self.mesh, self.holder, settings)
        self.router = Router(
            settings, self.vm, self.boot, clock, guard, self.metrics, self.tracer, self.canceller, self.guards
        )
        self.pools = Pools(
            clock,
            hall,
            settings.limits,
            timing,
            HttpConnector(self._client),
            self.router.exchanges.get,
            self.traffic,
            self.comparison,
        )
        self.sharing = Sharing(clock, self.mesh, self.pools)
        self.router.pools = self.pools
        self.metrics.queued.set_function(self.pools.count_waiting)
        self.router.records = self.records
        self.router.find_serving = lambda call: self.traffic.get_assignment(call.labels, call.identity)
        self.router.find_workspace = lambda name: self._workspaces.get(name) or Workspace(name=name)
        self.router.comparison = self.comparison
        platform = settings.platform
        kv = EtcdKeyValue(self._client, platform.kv, timing.kv_limit, self.metrics) if platform.kv else None
        self.configuring = Configuring(clock, self.mesh, kv, timing.config_poll, self.metrics, self._put_in_force)
        self.configuring.count_open = lambda: len(self.router.exchanges)
        vm_list = HttpVmList(self._client, platform.vm_list, timing.kv_limit) if platform.vm_list else None
        self.vms = VmWatch(clock, self.mesh, vm_list, timing.vm_list_period, self.pools.mark_leaving)

    # --- life ------------------------------------------------------------------------------------------------------

    def start(self) -> None:
        """Listen and begin all tasks.

        :raises twisted.internet.error.CannotListenError: where a port is in use
        """
        settings, clock = self.settings, self.clock
        peer_port = self._listen_peers(settings.peer)
        root = CallerRoot(
            self.router, clock, self.find_workspace, self._list_models, self.explain_unready, self._find_repeatable
        )
        site = CallerSite(root, clock, settings.limits, settings.timing)
        caller, admin = settings.caller, settings.admin
        self._caller_listening = self._listen(site, caller.host, caller.port, caller.tls)
        self.caller_port = int(self._caller_listening.getHost().port)
        admin_site = AdminRoot(self).make_site()
        self.admin_port = int(self._listen(admin_site, admin.host, admin.port, admin.tls).getHost().port)
        head, bodies = make_initial_head(settings.configuration)
        self.configuring.start(head, bodies)
        context = make_context(settings.peer.tls) if settings.peer.tls else None
        address = settings.peer.advertised or f"{settings.peer.host}:{peer_port}"
        self.mesh.start(address, settings.peer.host, context)
        for task in (self.guard, self.router, self.pools, self.sharing, self.guards, self.holder, self.vms):
            task.start()

    def _listen_peers(self, peer: Peer) -> int:
        return int(self._listen(self.mesh.make_factory(), peer.host, peer.port, peer.tls).getHost().port)

    def _listen(self, factory: Any, host: str, port: int, tls: Tls | None) -> Any:
        reactor = self.clock.reactor
        if tls is None:
            return reactor.listenTCP(port, factory, backlog=1024, interface=host)
        context = make_context(tls)
        return reactor.listenSSL(port, factory, context, backlog=1024, interface=host)

    async def stop(self) -> None:
        """Stop as planned: become not ready, let everything under way end, tell the peers, and return."""
        timing = self.settings.timing
        log = get_log(Part.STOP)
        self.stopping = True
        log.info("This VM stops; it is not ready any more.", open=len(self.router.exchanges))
        await sleep(self.clock, timing.balancer_delay)
        await defer.maybeDeferred(self._caller_listening.stopListening)
        self.router.accepting = False
        idle = self.router.wait_idle()
        timer = self.clock.call_later(timing.stop_limit, self.cut_all)
        await idle
        if timer.active():
            timer.cancel()
        await self._wait_for_cancels()
        self.mesh.leave()
        await sleep(self.clock, LEAVE_PAUSE)
        log.info("This VM has stopped.")

    def cut_all(self) -> None:
        """Let go of what is under way, and say of what."""
        cut = self.router.cut_all(Reason.STOPPING)
        if cut:
            get_log(Part.STOP).warning("Requests are cut.", requests=cut)

    async def _wait_for_cancels(self) -> None:
        """Give open cancels a moment, so that no engine memory is left behind."""
        for _ in range(20):
            if not self.canceller.open:
                return
            await sleep(self.clock, 0.1)

    # --- configuration ---------------------------------------------------------------------------------------------

    def _put_in_force(self, configuration: Configuration) -> None:
        workspaces = configuration.list_workspaces()
        self._workspaces = {workspace.name: workspace for workspace in workspaces}
        self._workspaces_by_key = {key: workspace for workspace in workspaces for key in workspace.api_keys}
        self.traffic.apply(configuration.list_slices(), configuration.list_policies())
        weights = {WorkspaceName(workspace.name): workspace.weight for workspace in workspaces}
        self.pools.apply(configuration.list_pools(), weights)
        upstreams = [upstream for pool in configuration.list_pools() for upstream in pool.upstreams]
        self.records.halls = {HallName(upstream.hall) for upstream in upstreams}
        self.records.home_halls = {item.name: HallName(item.home_hall) for item in workspaces if item.home_hall}

    def explain_unready(self) -> str | None:
        """Return why this VM should get no new requests, or None."""
        if self.stopping:
            return "stopping"
        if not self.configuring.confirmed:
            return "no configuration: neither the platform nor a peer has told it"
        if not self.configuring.configuration.list_pools():
            return "the configuration has no pool"
        return None

    def find_workspace(self, headers: Mapping[str, str]) -> Workspace:
        """Return the workspace of a request, by its API key or its name.

        :raises BadRequest: where the key is missing or wrong
        """
        bearer = headers.get("authorization", "").removeprefix("Bearer ").strip()
        digest = hashlib.sha256(bearer.encode()).hexdigest() if bearer else ""
        by_key = self._workspaces_by_key.get(digest)
        name = headers.get(WORKSPACE) or (by_key.name if by_key else DEFAULT_WORKSPACE)
        workspace = self._workspaces.get(name)
        if workspace is None:
            if name != DEFAULT_WORKSPACE:
                raise BadRequest(f"there is no workspace {name[:64]!r}", status=404, parameter=WORKSPACE)
            return Workspace(name=DEFAULT_WORKSPACE)
        if workspace.api_keys and by_key is not workspace:
            raise BadRequest("the API key is missing or wrong", status=401, parameter="authorization")
        return workspace

    def _list_models(self) -> list[str]:
        return [pool.model for pool in self.configuring.configuration.list_pools() if pool.model]

    def _find_repeatable(self, call: Call) -> bool | None:
        """Return what the pool of a call says of repeating, or None where it leaves that to the workspace."""
        hosted = self.pools.find(call.target, call.service)
        return hosted.document.repeatable if hosted is not None else None

    def _find_engine(self, name: Any) -> Any:
        return self.pools.find_engine(name)

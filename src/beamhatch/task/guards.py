"""Guards: two VMs that know each run of a VM, and cancel its runs when it dies.

A run is told before it is sent to an engine. The message leaves with the reactor's next turn even if the process is
killed right after. Ends go in batches.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.decide.member import Health, MemberUpdate
from beamhatch.decide.rendezvous import rank
from beamhatch.edge.peer.message import Hello, RunsBegun, RunsEnded, shorten_name
from beamhatch.ids import Boot, RequestId, RunId, UpstreamName, VmName
from beamhatch.observe.log import Part, get_log
from beamhatch.task.runs import RunLedger

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock
    from beamhatch.task.cancel import Canceller
    from beamhatch.task.mesh import Mesh

GUARDS = 2
FLUSH_PERIOD = 0.2
MOST_GUARDED_RUNS = 20_000
"""Runs of one VM that a guard remembers."""
SMALL_HALL = 2
"""In a hall of so few VMs a survivor is never a majority, and cancels all the same."""


class Guards(RunLedger):
    """Tells this VM's runs to its guards, and guards the runs of others."""

    def __init__(
        self, clock: Clock, mesh: Mesh, canceller: Canceller, list_engines: Callable[[], list[UpstreamName]]
    ) -> None:
        self._list_engines = list_engines
        self._clock = clock
        self._mesh = mesh
        self._canceller = canceller
        self._runs: dict[RequestId, dict[RunId, UpstreamName]] = {}
        self._ended: list[RequestId] = []
        self._guards: list[VmName] = []
        self._told_boots: dict[VmName, Boot] = {}
        self.guarded: dict[tuple[VmName, Boot], dict[RunId, int]] = {}
        """Runs of other VMs with the short names of their engines, by VM and boot."""
        self._orphaned: list[tuple[VmName, Boot]] = []
        self._log = get_log(Part.PEER)
        mesh.handle(RunsBegun, self._take_begun)
        mesh.handle(RunsEnded, self._take_ended)
        mesh.call_on_change(self._take_change)

    def start(self) -> None:
        """Begin to tell ends, and to look after orphaned runs."""
        self._choose_guards()
        if self._ended:
            ended, self._ended = self._ended, []
            for vm in self._guards:
                self._mesh.cast(vm, RunsEnded([_read_number(request) for request in ended]))
        self._cancel_orphans()
        self._clock.call_later(FLUSH_PERIOD, self.start)

    # --- own runs --------------------------------------------------------------------------------------------------

    def begin(self, run: RunId, upstream: UpstreamName) -> None:
        """Tell the guards of a run before it is sent."""
        request = RequestId(run.rpartition("-")[0])
        self._runs.setdefault(request, {})[run] = upstream
        begun = RunsBegun(False, [_to_wire(run, upstream)])
        for vm in self._guards:
            self._mesh.cast(vm, begun)

    def end(self, request: RequestId) -> None:
        """Tell the guards, some time, that a request holds nothing any more."""
        if self._runs.pop(request, None) is not None:
            self._ended.append(request)

    def _choose_guards(self) -> None:
        members = self._mesh.members
        others = [vm for vm in members.list_alive() if vm != members.own_update.vm]
        guards = rank(members.own_update.vm, others)[:GUARDS]
        boots = {vm: note.boot for vm in guards if (note := members.get(vm)) is not None}
        whole = [_to_wire(run, upstream) for runs in self._runs.values() for run, upstream in runs.items()]
        for vm, boot in boots.items():
            if self._told_boots.get(vm) != boot and self._mesh.cast(vm, RunsBegun(True, whole)):
                self._told_boots[vm] = boot
        self._told_boots = {vm: boot for vm, boot in self._told_boots.items() if vm in boots}
        self._guards = guards

    # --- runs of others --------------------------------------------------------------------------------------------

    def _take_begun(self, hello: Hello, message: RunsBegun) -> None:
        owner = (VmName(hello.vm), Boot(hello.boot))
        if message.whole:
            self.guarded[owner] = {}
        runs = self.guarded.setdefault(owner, {})
        if len(runs) + len(message.runs) <= MOST_GUARDED_RUNS:
            for number, rest, upstream in message.runs:
                runs[RunId(f"{hello.vm}.{hello.boot}.{number}-{rest}")] = upstream

    def _take_ended(self, hello: Hello, message: RunsEnded) -> None:
        runs = self.guarded.get((VmName(hello.vm), Boot(hello.boot)), {})
        ended = set(message.requests)
        for run in [run for run in runs if _read_number(RequestId(run.rpartition("-")[0])) in ended]:
            del runs[run]

    def _take_change(self, note: MemberUpdate, before: MemberUpdate | None) -> None:
        if note.health is Health.DEAD:
            self._orphaned.append((note.vm, note.boot))
        elif before is not None and before.boot != note.boot:
            self._orphaned.append((before.vm, before.boot))
        if note.health is Health.LEFT:
            self.guarded.pop((note.vm, note.boot), None)
        self._cancel_orphans()

    def _cancel_orphans(self) -> None:
        """Cancel the runs of dead VMs, unless it may be this VM that was cut off."""
        members = self._mesh.members
        if not self._orphaned or not (members.is_majority() or len(members.list_registered()) <= SMALL_HALL):
            return
        orphaned, self._orphaned = self._orphaned, []
        for owner in orphaned:
            runs = self.guarded.pop(owner, {})
            if runs:
                self._log.info("Runs of a dead VM are cancelled.", vm=owner[0], runs=len(runs))
            names = {shorten_name(name): name for name in self._list_engines()}
            for run, short in runs.items():
                if short in names:
                    self._canceller.cancel(run, names[short])


def _to_wire(run: RunId, upstream: UpstreamName) -> tuple[int, str, int]:
    request, _, rest = run.rpartition("-")
    return (_read_number(RequestId(request)), rest, shorten_name(upstream))


def _read_number(request: RequestId) -> int:
    return int(request.rpartition(".")[2])

"""Carries the steps of a schedule out, from outside of the relays."""

from __future__ import annotations

import random
import signal
from dataclasses import replace
from typing import TYPE_CHECKING, TypeVar

from beamhatch.platform.standin.store import StoreFault
from beamhatch.platform.standin.upstream import UpstreamFault
from beamhatch.standin.link import Drop
from tests.soak import rollouts
from tests.soak.promise import GRACE, LEAVE_BOUND, REST_TIME, Promise
from tests.soak.routes import Layout
from tests.soak.schedule import PLANNED, FaultKind, Step
from tests.soak.upstreams import ModelEngine
from tests.soak.world import FAMILIES, HALLS, MODEL

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.platform.standin.store import StoreBackup
    from tests.soak.long_streams import Batch
    from tests.soak.upstreams import PlainReplica
    from tests.soak.vm import VmProcess
    from tests.soak.world import World

RESTART_DELAY = 0.5
"""Seconds behind its end after which a process is started again."""

LOADING_TIME = 0.25
"""Seconds in which an interpreter may start on a shared machine.

Until it runs the relay's first line a reload or stop signal ends it, as any process; 0.05 s were seen with all cores
busy. It serves nobody by then.
"""

STOP_SLACK = 2.0
"""Seconds beyond its time that a planned stop may take here, as the machine is shared."""

LINGER = 1.0
"""Seconds for which a leaving upstream serves on behind the time by which nothing new may come."""

LIMITS = (0.0, 0.5, 1.0, 2.6, 6.0)
"""Limits that are drawn, in requests a second."""

LIMIT_TIME = 6.0
"""Seconds for which each is named: the time until it holds, and most of a window."""

EMPTY_TIME = 6.0
"""Seconds for which a hall is emptied at the least: longer than the bound within which nothing new may come."""

BACKUP_AGE = 0.5
"""Seconds for which the store goes on behind a backup at the least: VMs read what it is going to lose."""

RESTORE_TIME = 1.0
"""Seconds for which the store is silent before it is restored."""

RESTORE_GAP = 12.0
"""Seconds between two restores at the least: the time in which VMs are held to no bound, and as much again."""

LOST_CHANGES = 400
"""Changes that a restore loses, beside the entries that upstreams write behind them."""

HEARTBEAT = 1.2
"""Seconds in which all upstreams have written their entries again."""

ENTRY_LIFE = 3.6
"""Seconds behind a restore in which the entry of an upstream that is gone lapses: three heartbeats."""

SLOW = 0.15
"""Seconds by which bytes come late on a slow link."""

DEADLY_ROUTES = ("/resumable/", "/stream/", "/safe/", "/unsafe/")
DEADLY_GAP = 0.3
"""Seconds between two tries of a request that ends what runs it."""

RESUMABLE_SHARE = 0.5
"""Share of the parts that crash engines whose requests may be resumed."""

DEADLY_TIME = 8.0
"""Seconds for which it is tried at the least: longer than three ends and the time in which all learn of them."""

DEADLY_RESTART = 1.5
"""Seconds behind the end of an upstream after which another one is there, cold."""

PAUSED = (("",), ("prefill",), ("decode",), ("decode",), ("prefill", "decode"), ("", "prefill", "decode"))
"""Phases of upstreams that pause together; those of plain services have none."""

PAUSED_SHARES = (0.3, 0.6, 1.0)
LONGEST_PAUSE = 5.0
"""Seconds, shorter than the time-out of any route."""

READ_ONLY_SLACK = 0.2
"""Seconds behind a kill of all relays for which the store takes no writes, so that none writes just before it."""

LONG_STREAMS = 16
"""Streams that begin before each kill of all relays."""

ROUTES_GAP = 7.0
"""Seconds between two changes of routes at the least: by then, no VM in touch goes by the routes before."""

ROUTES_TIME = 1.5
"""Seconds for which requests may run again."""

ROUTES_DELAY = (0.05, 0.5)
"""Seconds from the start of a pause of upstreams to the change, from and to."""

ROUTES_PAUSE = 2.0
"""Seconds for which upstreams pause around a change."""

UPSTREAM_FAULTS = [one for one in UpstreamFault if one is not UpstreamFault.NONE]


Thing = TypeVar("Thing")


def pick(things: Sequence[Thing], step: Step) -> Thing:
    """Return the one of some things that a step strikes."""
    return things[int(step.pick * len(things)) % len(things)]


class Faults:
    """Strikes, and mends what it struck."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._witness = world.witness
        self._clock = world.clock
        self.under_way = 0
        self._by_kind: dict[FaultKind, Callable[[Step], None]] = {
            FaultKind.KILL: self._kill,
            FaultKind.FREEZE: self._freeze,
            FaultKind.STOP: self._stop,
            FaultKind.RELOAD: self._reload,
            FaultKind.HERD: self._herd,
            FaultKind.STORE_SILENT: lambda step: self._harm_store(step, StoreFault.UNRESPONSIVE),
            FaultKind.STORE_BUSY: lambda step: self._harm_store(step, StoreFault.UNAVAILABLE),
            FaultKind.STORE_LOST: lambda step: self._harm_store(step, StoreFault.RESPONSE_LOST),
            FaultKind.STORE_FORGETS: self._forget,
            FaultKind.STORE_RESTORED: self._restore_store,
            FaultKind.LINK_SILENT: self._silence_link,
            FaultKind.LINK_SLOW: self._slow_links,
            FaultKind.LINK_BREAKS: self._break_links,
            FaultKind.CONNECTIONS_SILENT: self._silence_connections,
            FaultKind.UPSTREAMS_PAUSE: self._pause_upstreams,
            FaultKind.UPSTREAM_FAULT: self._harm_upstream,
            FaultKind.UPSTREAM_CRASH: self._crash_upstream,
            FaultKind.UPSTREAM_LEAVES: self._leave,
            FaultKind.UPSTREAM_SAYS_LEAVING: self._say_leaving,
            FaultKind.UPSTREAM_RESTS: self._rest,
            FaultKind.LATE_REJECTIONS: self._reject,
            FaultKind.UPSTREAM_LIMITS: self._limit,
            FaultKind.HALL_COLD: self._chill_hall,
            FaultKind.EVACUATE: self._evacuate,
            FaultKind.CONFIGURE: lambda step: self._world.configure(),
            FaultKind.ROUTES: self._change_routes,
            FaultKind.ROLLOUT: self._roll_out,
            FaultKind.DEADLY: self._send_deadly,
            FaultKind.DEADLY_PART: self._send_deadly_part,
        }
        self._deadly = 0
        self._next_restore = 0.0
        self._next_routes = 0.0
        self._next_rollout = 0.0
        self._software = 1
        world.on_crash = lambda name: self._crash(name, DEADLY_RESTART)

    def plan(self, steps: Sequence[Step]) -> None:
        """Have all steps carried out at their times."""
        for step in steps:
            self._clock.call_later(step.at, self._strike, step)

    def _strike(self, step: Step) -> None:
        if step.kind not in PLANNED:
            self._witness.unplanned.begin()
            self._later(step.seconds, self._witness.unplanned.end, None)
        self._by_kind[step.kind](step)

    def _later(self, seconds: float, function: Callable[..., None], *arguments: object) -> None:
        """Do something later; a run does not end before."""
        self.under_way += 1

        def act() -> None:
            self.under_way -= 1
            function(*([self._world.now()] if arguments == (None,) else arguments))

        self._clock.call_later(seconds, act)

    def _change_routes(self, step: Step) -> None:
        """Pause some upstreams, let requests that ran once run again shortly behind that, and forbid it again."""
        now = self._world.now()
        if now < self._next_routes:
            return
        self._next_routes = now + ROUTES_GAP
        drawn = random.Random(step.pick)
        self._pause_some(drawn.random())
        delay = drawn.uniform(*ROUTES_DELAY)
        for seconds, may_repeat in ((delay, True), (delay + ROUTES_TIME, False)):
            layouts = [one for one in Layout if one.may_repeat is may_repeat]
            self._later(seconds, self._world.change_routes, [drawn.choice(layouts) for _ in FAMILIES])

    def _pause_some(self, choice: float) -> None:
        """Pause each upstream that runs requests with a probability of a half."""
        drawn = random.Random(choice)
        for placed in self._world.placed.values():
            if placed.phase != "prefill" and drawn.random() < 0.5:
                placed.upstream.pause_for(ROUTES_PAUSE)
        self._later(ROUTES_PAUSE, lambda: None)

    # --- relays ------------------------------------------------------------------------------------------------------

    def _disturb(self, vm: VmProcess, seconds: float) -> None:
        calm = self._witness.vms[vm.name].calm
        calm.begin()
        self._later(seconds, calm.end, None)

    def start_vm(self, vm: VmProcess) -> None:
        """Start a relay, unless it runs."""
        if vm.runs:
            return
        vm.start()
        vm.started_at = self._world.now()
        facts = self._witness.vms[vm.name]
        facts.life = vm.life
        facts.seen.clear()
        self._disturb(vm, RESTART_DELAY)

    def _kill(self, step: Step) -> None:
        self._kill_vm(pick(self._world.vms, step), step.seconds / 3)

    def _kill_vm(self, vm: VmProcess, down: float) -> None:
        vm.kill()
        self._disturb(vm, RESTART_DELAY + down)
        self._later(RESTART_DELAY + down, self.start_vm, vm)

    def _roll_out(self, step: Step) -> None:
        """Start engines of another version, begin streams, kill all relays, and end some engines meanwhile."""
        now = self._world.now()
        if now < self._next_rollout:
            return
        self._next_rollout = now + rollouts.TIME
        self._software += 1
        rollout = rollouts.draw_rollout(step.pick)
        if rollout.going_on is not None:
            vms = list(self._world.vms)
            vms.pop(int(rollout.going_on * len(vms)))
            for vm in vms:
                self._stand_still(vm, rollout.killed_at)
        if rollout.is_read_only:
            self._harm_store(replace(step, seconds=rollout.killed_at + READ_ONLY_SLACK), StoreFault.READ_ONLY)
        older = [name for name, one in self._world.placed.items() if one.service == MODEL]
        for hall in HALLS:
            self._later(rollout.newer_at, self._world.add_engines, hall, f"v{self._software}")
        self._later(rollout.streams_at, self._begin_streams, rollout, older)
        self._later(rollouts.TIME, lambda: None)

    def _begin_streams(self, rollout: rollouts.Rollout, older: list[str]) -> None:
        batch = self._world.long_streams.begin(LONG_STREAMS)
        self._later(rollout.killed_at - rollout.streams_at, self._kill_all, rollout, older, batch)

    def _kill_all(self, rollout: rollouts.Rollout, older: list[str], batch: Batch) -> None:
        placed = self._world.placed
        newer = [name for name, one in placed.items() if one.service == MODEL and name not in older]
        ended = {rollouts.Ending.NEWER: newer, rollouts.Ending.OLDER: older, rollouts.Ending.NONE: []}[rollout.ending]
        stay = {one.upstream.version for name, one in placed.items() if name not in ended}
        if not rollout.is_read_only:  # otherwise the streams' records were not written
            batch.kept |= stay - {placed[name].upstream.version for name in ended if name in placed}
        for vm in self._world.vms:
            self._kill_vm(vm, rollout.down)
        for name in ended:
            self._later(rollout.down / 2, self._end_upstream, name)

    def _herd(self, step: Step) -> None:
        for vm in self._world.vms[: max(1, int(len(self._world.vms) * (0.5 + step.pick / 2)))]:
            self._kill_vm(vm, 0.1)

    def _freeze(self, step: Step) -> None:
        self._stand_still(pick(self._world.vms, step), step.seconds)

    def _stand_still(self, vm: VmProcess, seconds: float) -> None:
        if vm.frozen or not vm.runs:
            return
        vm.frozen = True
        vm.send(signal.SIGSTOP)
        self._disturb(vm, seconds)
        self._later(seconds, self._thaw, vm, vm.life)

    def _thaw(self, vm: VmProcess, life: int) -> None:
        if vm.life == life:
            vm.frozen = False
            self._witness.vms[vm.name].thawed_at = self._world.now()
            vm.send(signal.SIGCONT)

    def _stop(self, step: Step) -> None:
        vm = pick(self._world.vms, step)
        if vm.frozen or not vm.runs or vm.stopping_since is not None:
            return
        vm.stopping_since = self._world.now()
        vm.send(signal.SIGTERM)
        calm = self._witness.vms[vm.name].calm
        calm.begin()
        self._await_end(vm, vm.life)

    def _await_end(self, vm: VmProcess, life: int) -> None:
        self._later(0.1, self._look_at_end, vm, life)

    def _look_at_end(self, vm: VmProcess, life: int) -> None:
        now = self._world.now()
        calm = self._witness.vms[vm.name].calm
        if vm.life != life:
            calm.end(now)
        elif vm.runs:
            if vm.stopping_since is not None and not vm.frozen and now > vm.stopping_since + GRACE + STOP_SLACK:
                self._witness.break_promise(Promise.PLANNED_STOP, now, f"{vm.name} still runs")
                vm.kill()
            self._await_end(vm, life)
        else:
            stopped_at = now if vm.stopping_since is None else vm.stopping_since
            loading = vm.exit_code == -signal.SIGTERM and stopped_at - vm.started_at <= LOADING_TIME
            if vm.exit_code not in (0, -signal.SIGKILL) and not loading:
                self._witness.break_promise(Promise.PLANNED_STOP, now, f"{vm.name} ended with {vm.exit_code}")
            calm.end(now)
            self._later(RESTART_DELAY, self.start_vm, vm)

    def _reload(self, step: Step) -> None:
        for vm in self._world.vms:
            vm.touch()
            vm.send(signal.SIGHUP)
            self._later(RESTART_DELAY, self._start_again, vm, vm.life, self._world.now())

    def _start_again(self, vm: VmProcess, life: int, signalled_at: float) -> None:
        """Start a relay again, as a platform does, that the signal ended before the interpreter ran a line of it."""
        if vm.life != life or vm.exit_code != -signal.SIGHUP:
            return
        since = signalled_at - vm.started_at
        if since > LOADING_TIME:
            detail = f"{vm.name} was ended by a reload {since:.2f} s behind its start"
            self._witness.break_promise(Promise.RECOVERY, self._world.now(), detail)
        self.start_vm(vm)

    # --- store and links ---------------------------------------------------------------------------------------------

    def _harm_store(self, step: Step, fault: StoreFault) -> None:
        store = self._world.store
        if store.fault is not StoreFault.NONE:
            return
        store.fault = fault
        self._witness.store.begin()
        self._later(step.seconds, self._mend_store)

    def _mend_store(self) -> None:
        self._world.store.fault = StoreFault.NONE
        self._world.store.abort_connections()
        self._witness.store.end(self._world.now())

    def _forget(self, step: Step) -> None:
        self._witness.store.begin()
        self._world.store.discard_history()
        self._witness.store.end(self._world.now())

    def _restore_store(self, step: Step) -> None:
        """Have the store lose what was written for a moment, and all but the relays write theirs again behind it."""
        now = self._world.now()
        if self._world.store.fault is not StoreFault.NONE or now < self._next_restore:
            return
        self._next_restore = now + RESTORE_GAP
        self._witness.store.begin()
        backup = self._world.store.make_backup()
        for _ in range(LOST_CHANGES):
            self._world.store.put("status/x", b"")
        for name in list(self._world.placed):
            self._write_again(name)
        self._later(BACKUP_AGE + step.seconds / 3, self._silence_store, backup)

    def _silence_store(self, backup: StoreBackup) -> None:
        self._world.store.fault = StoreFault.UNRESPONSIVE
        self._later(RESTORE_TIME, self._bring_back, backup)

    def _bring_back(self, backup: StoreBackup) -> None:
        self._world.store.fault = StoreFault.NONE
        self._world.store.restore(backup)
        names = list(self._world.placed)
        for number, name in enumerate(names):
            self._later(HEARTBEAT * number / len(names), self._write_again, name)
        self._later(HEARTBEAT / 2, self._direct_again)
        self._later(HEARTBEAT, self._witness.store.end, None)
        self._later(ENTRY_LIFE, self._drop_entries, backup)

    def _write_again(self, name: str) -> None:
        if name in self._world.placed:
            leaves = self._witness.upstreams[name].leaves_at < float("inf")
            self._world.list_upstream(name, state="draining" if leaves else "ready")

    def _direct_again(self) -> None:
        """Have the operators write again what is in force: the configuration, and which halls are emptied."""
        self._world.write_configuration()
        for hall in HALLS:
            if hall in self._witness.emptied:
                self._world.store.put(f"op/evacuate/{hall}", {})
            else:
                self._world.store.remove(f"op/evacuate/{hall}")

    def _drop_entries(self, backup: StoreBackup) -> None:
        """Have the entries of the backup lapse that nobody writes again."""
        for key in backup.items:
            if key.startswith("servers/") and key.removeprefix("servers/") not in self._world.placed:
                self._world.store.remove(key)

    def _silence_link(self, step: Step) -> None:
        vm = pick(self._world.vms, step)
        link = self._world.store_links[vm.name]
        if link.drops:
            return
        link.drops = [Drop("*", "*", "forward"), Drop("*", "*", "back")]
        self._disturb(vm, step.seconds)
        self._later(step.seconds, self._mend_link, vm)

    def _mend_link(self, vm: VmProcess) -> None:
        link = self._world.store_links[vm.name]
        link.drops = []
        link.close_all()

    def _slow_links(self, step: Step) -> None:
        self._world.upstream_link.delay = SLOW
        for vm in self._world.vms:
            self._disturb(vm, step.seconds)
        self._later(step.seconds, self._quicken_links)

    def _quicken_links(self) -> None:
        self._world.upstream_link.delay = 0.0

    def _break_links(self, step: Step) -> None:
        for vm in self._world.vms:
            self._disturb(vm, 0.0)
        self._world.upstream_link.close_all()

    def _silence_connections(self, step: Step) -> None:
        for vm in self._world.vms:
            self._disturb(vm, 0.0)
            self._world.store_links[vm.name].silence_all()
        self._world.upstream_link.silence_all()

    # --- upstreams ---------------------------------------------------------------------------------------------------

    def _pause_upstreams(self, step: Step) -> None:
        phases = PAUSED[int(step.pick * len(PAUSED))]
        share = PAUSED_SHARES[int(step.seconds * 1000) % len(PAUSED_SHARES)]
        found = [one for one in self._world.placed.values() if one.phase in phases]
        first, count = int(step.pick * 1000), max(1, round(share * len(found)))
        seconds = min(step.seconds, LONGEST_PAUSE)
        for number in range(min(count, len(found))):
            found[(first + number) % len(found)].upstream.pause_for(seconds)
        self._later(seconds, lambda: None)

    def _harm_upstream(self, step: Step) -> None:
        upstream = pick(list(self._world.placed.values()), step).upstream
        upstream.fault = UPSTREAM_FAULTS[int(step.seconds * 1000) % len(UPSTREAM_FAULTS)]
        if upstream.fault is not UpstreamFault.SHED:
            self._witness.harms.begin(upstream.instance, self._world.now())
        self._later(step.seconds, self._mend_upstream, upstream)

    def _mend_upstream(self, upstream: PlainReplica | ModelEngine) -> None:
        upstream.fault, upstream.retry_after = UpstreamFault.NONE, ""
        self._witness.harms.end(upstream.instance, self._world.now())

    def _send_deadly(self, step: Step) -> None:
        """Have a caller send one request again and again, for longer than it may arrive anywhere."""
        self._deadly += 1
        route = DEADLY_ROUTES[int(step.pick * len(DEADLY_ROUTES))]
        target = f"{route}deadly-{self._deadly}"
        self._world.ledger.crash_inducing.add(target)
        sends = int((step.seconds + DEADLY_TIME) / DEADLY_GAP)
        for number in range(sends):
            self._later(number * DEADLY_GAP, self._world.ask_once, route, target)

    def _send_deadly_part(self, step: Step) -> None:
        """Have callers send requests with one part in common, for longer than they may arrive anywhere."""
        self._deadly += 1
        part = f"dead{self._deadly}"
        self._world.ledger.crash_inducing_parts[part] = None
        route = "/resumable/" if step.pick < RESUMABLE_SHARE else "/stream/"
        gap = 2.0 * DEADLY_GAP
        for number in range(int((step.seconds + DEADLY_TIME) / gap)):
            target = f"{route}{part}-{number}"
            self._witness.deadly_parts[target] = part
            self._later(number * gap, self._world.ask_once, route, target, part)

    def _crash_upstream(self, step: Step) -> None:
        name = pick(list(self._world.placed), step)
        self._crash(name, step.seconds / 2)

    def _crash(self, name: str, down: float) -> None:
        placed = self._world.remove_upstream(name)
        phase = placed.upstream.phase if isinstance(placed.upstream, ModelEngine) else ""
        self._later(down, self._return, placed.service, placed.hall, phase)

    def _return(self, service: str, hall: str, phase: str) -> None:
        self._world.add_upstream(service, hall, phase, cold=True)

    def _chill_hall(self, step: Step) -> None:
        hall = pick(sorted({one.hall for one in self._world.placed.values()}), step)
        for name in [name for name, one in self._world.placed.items() if one.hall == hall]:
            self._crash(name, step.seconds / 2)

    def _leave(self, step: Step) -> None:
        name = pick(list(self._world.placed), step)
        facts = self._witness.upstreams[name]
        if facts.leaves_at < float("inf"):
            return
        placed = self._world.placed[name]
        phase = placed.upstream.phase if isinstance(placed.upstream, ModelEngine) else ""
        self._world.add_upstream(placed.service, placed.hall, phase, cold=True)
        self._world.list_upstream(name, state="draining")
        facts.leaves_at = self._world.now()
        self._later(LEAVE_BOUND + LINGER, self._end_upstream, name)

    def _say_leaving(self, step: Step) -> None:
        """Have an upstream say in its answers that it leaves, for longer than anything new may come."""
        name = pick(list(self._world.placed), step)
        placed = self._world.placed[name]
        if placed.upstream.leaving:
            return
        phase = placed.upstream.phase if isinstance(placed.upstream, ModelEngine) else ""
        self._world.add_upstream(placed.service, placed.hall, phase, cold=True)
        placed.upstream.leaving = True
        self._later(LEAVE_BOUND + LINGER + step.seconds, self._end_upstream, name)

    def _rest(self, step: Step) -> None:
        """Have an upstream turn requests away and ask for rest, for longer than one rest."""
        upstream = pick(list(self._world.placed.values()), step).upstream
        if upstream.fault is UpstreamFault.NONE:
            upstream.fault, upstream.retry_after = UpstreamFault.SHED, str(REST_TIME)
            self._later(REST_TIME + step.seconds, self._mend_upstream, upstream)

    def _reject(self, step: Step) -> None:
        self._world.rejections.begin()
        self._later(step.seconds, self._world.rejections.end)

    def _limit(self, step: Step) -> None:
        """Have an upstream name a limit for longer than one window, then another one, and none at last."""
        name = pick(list(self._world.placed), step)
        if self._world.placed[name].upstream.limit:
            return
        first, second = (LIMITS[int(step.seconds * 1000 * factor) % len(LIMITS)] for factor in (1, 7))
        self._name_limit(name, first)
        self._later(LIMIT_TIME + step.seconds, self._name_limit, name, second)
        self._later(2 * LIMIT_TIME + step.seconds, self._name_limit, name, None)

    def _name_limit(self, name: str, rate: float | None) -> None:
        placed = self._world.placed.get(name)
        if placed is not None:
            placed.upstream.limit = "" if rate is None else str(rate)
            self._witness.limits.name(name, rate, self._world.now())

    def _end_upstream(self, name: str) -> None:
        if name in self._world.placed:
            self._world.remove_upstream(name)

    def _evacuate(self, step: Step) -> None:
        hall = pick(sorted({one.hall for one in self._world.placed.values()}), step)
        if hall in self._witness.emptied:
            return
        self._world.store.put(f"op/evacuate/{hall}", {})
        self._witness.emptied[hall] = self._world.now()
        self._later(step.seconds + EMPTY_TIME, self._take_back, hall)

    def _take_back(self, hall: str) -> None:
        """Take a hall back whose upstreams have just turned cold."""
        for name, placed in self._world.placed.items():
            if placed.hall == hall:
                leaves = self._witness.upstreams[name].leaves_at < float("inf")
                self._world.list_upstream(name, cold=True, state="draining" if leaves else "ready")
        del self._witness.emptied[hall]
        self._world.store.remove(f"op/evacuate/{hall}")

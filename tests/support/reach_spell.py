"""Spells in which VMs lose their links to upstreams while peers, upstreams and callers are disturbed as well."""

from __future__ import annotations

import random
import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.support.configuration_fleet import SEEDS
from tests.support.reach_fleet import Call, Loss, ReachFleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.daemon import Daemon

SPELL_S = 16.0
"""Seconds in which disruptions begin."""

CALM_S = 8.0
"""Seconds behind the last disruption, until which all connections and runs must have ended."""

LEAVING_SHARE = 0.1
"""Share of the callers that leave before their answer is complete."""

_EVENT = re.compile(rb"id: (\d+)\ndata: [^/\n]+/(\w+)-(\d+)")


@dataclass
class ReachSpell:
    """One spell, drawn from a seed."""

    seed: int
    size: int = 6
    lines: list[str] = field(default_factory=list)
    """What was brought about, and when."""

    def __post_init__(self) -> None:
        """Start a fleet."""
        self.rng = random.Random(self.seed)
        self.fleet = ReachFleet(self.size, self.seed, per_hall=2)
        self.network = self.fleet.platform.network
        self._began = self.fleet.now
        self._halls = {name: vm.settings.hall for name, vm in self.fleet.platform.vms.items()}
        self._down: set[str] = set()

    def play(self) -> list[str]:
        """Play the spell, and return the promises that were broken."""
        kinds: list[Callable[[], None]] = [
            self._lose,
            self._lose,
            self._lose,
            self._kill,
            self._stop,
            self._freeze,
            self._silence_peers,
            self._cut_peers,
            self._crash_upstream,
            self._drain_upstream,
            self._configure,
        ]
        end = self.fleet.now + SPELL_S
        self._lose()
        while self.fleet.now < end:
            self.rng.choice(kinds)()
            self._run(self.rng.choice([0.1, 0.4, 1.0, 2.5]))
        self._heal_all()
        self._run(CALM_S)
        self.fleet.finish()
        self.network.run(5.0)
        return self._list_broken()

    def _run(self, seconds: float) -> None:
        end = self.fleet.now + seconds
        while self.fleet.now < end - 1e-9:
            alive = [name for name in self.fleet.platform.vms if name not in self._down]
            if alive:
                call = self.fleet.send(self.rng.choice(alive))
                if self.rng.random() < LEAVING_SHARE:
                    self.network.callLater(self.rng.uniform(0.0, 0.4), _leave, call)
            self.network.run(0.03)

    # --- disruptions -------------------------------------------------------------------------------------------------

    def _note(self, text: str) -> None:
        self.lines.append(f"{self.fleet.now - self._began:7.3f} {text}")

    def _draw_vms(self) -> list[str]:
        vms = list(self._halls)
        return self.rng.sample(vms, self.rng.choice([1, 2, 3, len(vms) - 1, len(vms)]))

    def _lose(self) -> None:
        vms, how = self._draw_vms(), self.rng.choice(list(Loss))
        hosts = self.fleet.list_upstream_hosts(*self.rng.choice([(), (), (), ("plain",), ("decode",), ("prefill",)]))
        self._note(f"{how.value} links of {vms} to {len(hosts)} upstreams")
        self.fleet.lose(vms, how, hosts)
        self.network.callLater(self.rng.uniform(0.5, 6.0), self._heal, vms)

    def _heal(self, vms: list[str]) -> None:
        self._note(f"links of {vms} back")
        self.fleet.heal(vms)

    def _choose_alive(self) -> str | None:
        alive = [name for name in self._halls if name not in self._down]
        return self.rng.choice(alive) if len(alive) > 1 else None

    def _kill(self) -> None:
        vm = self._choose_alive()
        if vm is not None:
            power = self.rng.random() < 0.5
            self._note(f"{vm} {'loses power' if power else 'is killed'}")
            self._end_process(vm, resets=not power)

    def _end_process(self, vm: str, *, resets: bool = True) -> None:
        if vm in self._down:
            return
        self._down.add(vm)
        self.network.kill(vm, resets=resets)
        del self.fleet.platform.vms[vm]
        self.network.callLater(self.rng.uniform(0.2, 1.5), self._start_again, vm)

    def _start_again(self, vm: str) -> None:
        self._down.discard(vm)
        self.fleet.platform.add_vm(vm, SEEDS, self._halls[vm])

    def _stop(self) -> None:
        vm = self._choose_alive()
        if vm is not None:
            self._note(f"{vm} is told to stop")
            daemon = self.fleet.platform.vms[vm]
            daemon.stop()
            self.network.callLater(8.0, self._end_stopped, vm, daemon)

    def _end_stopped(self, vm: str, daemon: Daemon) -> None:
        if self.fleet.platform.vms.get(vm) is daemon:
            self._end_process(vm)

    def _freeze(self) -> None:
        vm = self._choose_alive()
        if vm is not None:
            self._note(f"{vm} stands still")
            self.network.freeze(vm)
            self.network.callLater(self.rng.uniform(0.2, 2.5), self.network.thaw, vm)

    def _silence_peers(self) -> None:
        self._note("connections between VMs go silent")
        self.network.silence_connections(lambda one: one.host in self._halls and one.peer_host in self._halls)

    def _cut_peers(self) -> None:
        first, second = self.rng.sample(list(self._halls), 2)
        self._note(f"{first} and {second} cut off from each other")
        self.network.cut_between(first, second)
        self.network.callLater(self.rng.uniform(0.3, 3.0), self._heal_peers, first, second)

    def _heal_peers(self, first: str, second: str) -> None:
        self.network.silence_connections(lambda one: {one.host, one.peer_host} == {first, second})
        self.network.heal_between(first, second)

    def _crash_upstream(self) -> None:
        name = self.rng.choice(list(self.fleet.platform.upstreams))
        upstream = self.fleet.platform.upstreams[name]
        if (upstream.address.host, upstream.address.port) in self.network.ports:
            self._note(f"{name} crashes")
            upstream.crash()

    def _drain_upstream(self) -> None:
        name = self.rng.choice(list(self.fleet.platform.upstreams))
        self._note(f"{name} leaves, and comes back")
        self.fleet.platform.drain(name)
        self.network.callLater(3.0, self.fleet.platform.list_again, name)

    def _configure(self) -> None:
        self._note("a configuration")
        self.fleet.platform.configure(int(10 * (self.fleet.now - 900)))

    def _heal_all(self) -> None:
        self._note("all links back")
        self.fleet.heal(self._halls)

    # --- promises ----------------------------------------------------------------------------------------------------

    def _list_broken(self) -> list[str]:
        fleet = self.fleet
        broken = [f"{request} ran twice" for request in fleet.list_run_twice()]
        broken += [
            f"{request} ran, and its caller was told that it did not" for request in fleet.list_falsely_refused()
        ]
        broken += [f"{call.request}: {fault}" for call in fleet.calls if (fault := find_answer_fault(call))]
        for name, vm in fleet.platform.vms.items():
            if vm.core.exchanges:
                broken.append(f"{name} still has {len(vm.core.exchanges)} requests")
            if vm.tunnels.server.tunnels:
                broken.append(f"{name} still carries {len(vm.tunnels.server.tunnels)} tunnels")
        runs = {name: len(one.runs) for name, one in fleet.platform.upstreams.items() if one.runs}
        broken += [f"{name} still runs {count} requests" for name, count in runs.items()]
        return broken


def _leave(call: Call) -> None:
    if call.caller.transport is not None:
        call.caller.leave()


def find_answer_fault(call: Call) -> str:
    """Return what is wrong with a successful answer; empty if it is the caller's own, whole and in order."""
    if call.caller.status != 200 or not call.caller.whole:
        return ""
    body = call.caller.body
    if call.path.startswith(("/safe", "/unsafe")):
        return "" if body.endswith(call.request.encode()) else f"answered with {body[:60]!r}"
    events = [(int(number), of.decode(), int(again)) for number, of, again in _EVENT.findall(body)]
    if [number for number, _, _ in events] != list(range(1, len(events) + 1)) or len(events) != 10:
        return f"events {[number for number, _, _ in events]}"
    if any(of != call.request or number != again for number, of, again in events):
        return "events of another request"
    return ""

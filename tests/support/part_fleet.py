"""A fleet that is sent sound requests, and others with a part in their prompts that crashes engines."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.requests.refusal import QUARANTINE_REASON
from tests.support.configuration_fleet import CONTACT_S, HALLS, SEEDS
from tests.support.platform import Platform

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.platform.standin.upstream import StandInEngine
    from tests.support.platform import Caller

MIN_CRASHES = 5
"""Crashes behind which sends with the part are counted."""

MAX_MORE_SENDS = 3
"""Sends with the part that may reach engines later than ``CONTACT_S`` behind these crashes."""

MIN_BEGUN_SHARE = 0.5
"""Least share of sound requests that begin, of the share that began before."""

STEP_S = 0.05
"""Interval between two sound requests."""

FIRST_PARTS = ("f0", "f1")
OTHER_PARTS = tuple(f"0{number}" for number in range(1, 7))
RESTART_S = 3.0
CRASH_DELAY_S = 0.05


@dataclass
class Sound:
    """A sound request."""

    at: float
    caller: Caller
    parts: tuple[str, ...]

    @property
    def begun(self) -> bool:
        """Return whether its stream has begun."""
        return self.caller.status == 200

    @property
    def held(self) -> bool:
        """Return whether it was refused as one in quarantine."""
        return QUARANTINE_REASON.encode() in self.caller.received


@dataclass
class Deadly:
    """How requests with a part that crashes engines are sent."""

    part: str = "dead"
    interval_s: float = 0.5
    count: int = 1
    """Requests at a time."""
    position: int = 1
    """Index of the part in the prompt."""
    others: int = 2
    """Number of other parts, in addition to the first and the last one."""
    first_parts: Sequence[str] = FIRST_PARTS
    path: str = "/resumable/"
    companions: Sequence[str] = ()
    """Parts that stand in each of these prompts and in no sound one."""
    headers: Callable[[int], dict[str, str]] = lambda number: {}
    vms: Sequence[str] = ()
    """VMs that they come at; any if empty."""


@dataclass
class PartFleet:
    """VMs and engines in three halls."""

    size: int = 3
    seed: int = 0
    prefill: int = 6
    decode: int = 12
    versions: Sequence[str] = ("v1",)
    workspaces: list[dict[str, object]] | None = None
    others: Sequence[str] = OTHER_PARTS
    sound_headers: dict[str, str] = field(default_factory=dict)
    platform: Platform = field(default_factory=lambda: Platform(names_hosts=True))
    sound: list[Sound] = field(default_factory=list)
    deadly: list[tuple[float, Caller]] = field(default_factory=list)
    crash_inducing: Sequence[str] = ("dead", "fatal")
    rare_share: float = 0.0
    """Share of sound requests with a part that no other request has."""

    def __post_init__(self) -> None:
        """Start everything and wait until all VMs are ready."""
        random.seed(self.seed)  # the relay draws from the module's generator
        self.rng = random.Random(self.seed)
        self.platform.ledger.crash_inducing_parts.update(dict.fromkeys(self.crash_inducing))
        self.platform.configure(1, workspaces=self.workspaces)
        for number in range(self.prefill):
            self._add_engine(f"prefill-{number}", "prefill", number)
        for number in range(self.decode):
            self._add_engine(f"decode-{number}", "decode", number)
        for number in range(self.size):
            self.platform.add_vm(f"vm{number}", SEEDS, HALLS[number % 3])
        network = self.platform.network
        network.run_until(lambda: all(vm.core.ready for vm in self.platform.vms.values()))
        network.run(5.0)

    def _add_engine(self, name: str, phase: str, number: int) -> None:
        version = self.versions[number % len(self.versions)]
        engine = self.platform.add_engine(name, phase, 10**7, HALLS[number % 3], version)
        engine.restart_time_s = RESTART_S
        engine.crash_delay_s = CRASH_DELAY_S
        engine.event_interval_s = 0.06

    @property
    def now(self) -> float:
        """Return the network's time in seconds."""
        return self.platform.network.rightNow

    def list_engines(self) -> list[StandInEngine]:
        """Return the decode engines."""
        return [one for name, one in self.platform.upstreams.items() if name.startswith("decode")]  # type: ignore[misc]

    def run(
        self, seconds: float, *deadly: Deadly, events: Sequence[tuple[float, Callable[[], object]]] = (), rate: int = 1
    ) -> None:
        """Send sound requests, and beside them deadly ones, for some seconds.

        :param events: what else happens, by seconds from now
        :param rate: sound requests a step
        """
        begun, step = self.now, 0
        due = {id(one): begun for one in deadly}
        left = sorted(events, key=lambda event: event[0])
        while self.now < begun + seconds:
            while left and self.now >= begun + left[0][0]:
                left.pop(0)[1]()
            for _ in range(rate):
                self.ask_sound()
            for one in deadly:
                if self.now >= due[id(one)]:
                    due[id(one)] += one.interval_s
                    for _ in range(one.count):
                        self.ask_deadly(one)
            step += 1
            self.platform.network.run(max(0.001, begun + step * STEP_S - self.now))

    def ask_sound(self) -> None:
        """Ask for a stream of 2 s."""
        parts = [self.rng.choice(FIRST_PARTS), *self.rng.sample(self.others, min(2, len(self.others)))]
        if self.rng.random() < self.rare_share:
            parts.insert(2, f"{self.rng.randrange(2**32):08x}")
        caller = self._call("/resumable/", parts, dict(self.sound_headers))
        self.sound.append(Sound(self.now, caller, tuple(parts)))

    def ask_deadly(self, deadly: Deadly) -> None:
        """Send a request with the part, at any VM, all else drawn anew."""
        others = [self.rng.choice(self.others) for _ in range(deadly.others)]
        parts = [self.rng.choice(deadly.first_parts), *others, *deadly.companions]
        if deadly.position == 0:
            parts[0] = deadly.part
        else:
            parts.insert(min(deadly.position, len(parts)), deadly.part)
        caller = self._call(deadly.path, parts, deadly.headers(len(self.deadly)), deadly.vms)
        self.deadly.append((self.now, caller))

    def _call(self, path: str, parts: list[str], headers: dict[str, str], vms: Sequence[str] = ()) -> Caller:
        request = f"{self.rng.randrange(2**63):016x}"
        prompt = ",".join([*(f"{part}:100" for part in parts), f"{request}:600"])
        vm = self.rng.choice(list(vms or self.platform.vms))
        terms = {"Token-Count": "1000,30", "Prompt-Prefix": prompt, **headers}
        return self.platform.call(f"{path}{request}", request, vm=vm, headers=terms)

    def cut_from_engines(self, vms: Sequence[str]) -> None:
        """Take the links of some VMs to decode engines: open connections are reset, new ones are refused."""
        network = self.platform.network
        hosts = {engine.address.host for engine in self.list_engines()}
        for vm in vms:
            for host in hosts:
                network.refuse_between(vm, host)
        network.reset_connections(lambda transport: transport.host in vms and transport.peer_host in hosts)

    def kill_vm(self, name: str) -> None:
        """Kill a VM, and start it again with no memory."""
        hall = self.platform.vms[name].settings.hall
        self.platform.network.kill(name)
        del self.platform.vms[name]
        self.platform.add_vm(name, SEEDS, hall)

    # --- what was seen ------------------------------------------------------------------------------------------------

    def find_fifth_crash(self, part: str = "dead") -> float:
        """Return when the part had crashed enough engines."""
        crashes = sorted(crash.at for crash in self.platform.ledger.crashes if crash.part == part)
        assert len(crashes) >= MIN_CRASHES
        return crashes[MIN_CRASHES - 1]

    def count_late_sends(self, part: str = "dead") -> int:
        """Return how many requests with the part reached engines later than all VMs could know of it."""
        crashes = sorted(crash.at for crash in self.platform.ledger.crashes if crash.part == part)
        if len(crashes) < MIN_CRASHES:
            return 0
        after = crashes[MIN_CRASHES - 1] + CONTACT_S
        return sum(at > after and sent == part for at, sent in self.platform.ledger.part_sends)

    def compute_begun_share(self, since: float, until: float = float("inf")) -> float:
        """Return the share of sound requests sent in a time that began."""
        found = [one for one in self.sound if since <= one.at < until]
        assert len(found) >= 20
        return sum(one.begun for one in found) / len(found)

    def count_held(self, since: float = 0.0) -> int:
        """Return how many sound requests were refused as ones in quarantine."""
        return sum(one.held for one in self.sound if one.at >= since)

    def count_crashes(self, part: str = "dead") -> int:
        """Return how many engines the part crashed."""
        return sum(crash.part == part for crash in self.platform.ledger.crashes)

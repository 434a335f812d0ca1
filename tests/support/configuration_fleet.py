"""A fleet that is told configurations while it is disturbed, and what of them is in force on which VM and when."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.support.platform import PLAIN, ROUTES, Platform, make_configuration, make_route

if TYPE_CHECKING:
    from collections.abc import Iterable

HALLS = ["hall-a", "hall-b", "hall-c"]
SEEDS = ["vm0:8002", "vm1:8002", "vm2:8002"]

APPLY_S = 2.0
"""Seconds after its acknowledgement within which a version is in force on VMs in touch, as the platform demands."""

CONTACT_S = 3.0
"""Seconds without a disruption after which a VM, or the store, is in touch."""

SAMPLE_S = 0.05
"""Seconds between two looks at what is in force."""


@dataclass(frozen=True, slots=True)
class Breach:
    """A moment at which a VM did not have in force what it had to."""

    fault: str
    vm: str
    at: float
    has: int
    owed: int

    def __str__(self) -> str:
        """Return one line for a failed test."""
        return f"{self.vm} at {self.at:.2f} s: {self.fault}, has {self.has}, owed {self.owed}"


@dataclass
class ConfigurationFleet:
    """VMs in three halls, the operators, and a record of what the operators were acknowledged."""

    size: int = 9
    platform: Platform = field(default_factory=lambda: Platform(names_hosts=True))
    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    """Time and version of each acknowledgement."""
    invalid: set[int] = field(default_factory=set)
    """Versions of documents that no VM may put in force."""
    breaches: list[Breach] = field(default_factory=list)
    started_at: float = 0.0
    _disturbed: dict[str, float] = field(default_factory=dict)
    """When each VM was last disturbed."""
    _store_disturbed: float = float("-inf")
    _ongoing: Counter[str] = field(default_factory=Counter)
    """How many disruptions of each VM, or of "store", go on."""
    _highest: dict[str, int] = field(default_factory=dict)
    """The highest version that was in force in the life of each VM's process."""
    _version: int = 0

    def __post_init__(self) -> None:
        """Start the VMs and have them meet."""
        platform = self.platform
        self.acknowledge()
        for number, hall in enumerate(HALLS):
            platform.add_plain(f"plain-{number}", hall)
        for number in range(self.size):
            platform.add_vm(f"vm{number}", SEEDS, HALLS[number % 3])
        platform.network.run_until(lambda: all(vm.core.ready for vm in platform.vms.values()))
        platform.network.run(12.0)
        self.started_at = self.now

    @property
    def now(self) -> float:
        """Return the network's time in seconds."""
        return self.platform.network.rightNow

    @property
    def newest(self) -> int:
        """Return the version that was acknowledged last."""
        return self.acknowledged[-1][1]

    def list_hall(self, hall: str) -> list[str]:
        """Return the VMs of a hall."""
        return [name for name, vm in self.platform.vms.items() if vm.settings.hall == hall]

    def list_watchers(self) -> list[str]:
        """Return the VMs that watch the store."""
        gossips = {name: vm._gossip for name, vm in self.platform.vms.items()}
        return [name for name, gossip in gossips.items() if gossip is not None and gossip.should_watch_store()]

    # --- operators ---------------------------------------------------------------------------------------------------

    def make_document(self, version: int) -> dict[str, object]:
        """Return a valid document, whose last route names its version."""
        return make_configuration(version, [*ROUTES, make_route(f"/v{version}/", "safe", PLAIN)])

    def acknowledge(self) -> int:
        """Have the store take a newer version, and return it."""
        self._version += 7
        self.platform.store.put("op/config", self.make_document(self._version))
        self.acknowledged.append((self.now, self._version))
        return self._version

    def write_again(self) -> None:
        """Have the operators write the newest version again, at a store that may have lost it."""
        self.platform.store.put("op/config", self.make_document(self.newest))

    def write_invalid(self, body: bytes | dict[str, object]) -> None:
        """Have the store hold a document that no VM may put in force, with a version above all others."""
        self._version += 7
        self.invalid.add(self._version)
        if isinstance(body, dict):
            body = {**body, "version": self._version}
        self.platform.store.put("op/config", body)

    # --- disruptions -------------------------------------------------------------------------------------------------

    def begin(self, *names: str) -> None:
        """Record that a disruption of some VMs, or of "store", begins."""
        self._ongoing.update(names)

    def end(self, *names: str) -> None:
        """Record that a disruption ends."""
        self.touch(*names)
        self._ongoing.subtract(names)

    def touch(self, *names: str) -> None:
        """Record a disruption that takes no time."""
        for name in names:
            if name == "store":
                self._store_disturbed = self.now
            else:
                self._disturbed[name] = self.now

    def touch_all(self) -> None:
        """Record a disruption of all VMs that takes no time."""
        self.touch(*self.platform.vms)

    def restart(self, vm: str, down_s: float = 0.5, *, power: bool = False) -> None:
        """Kill a VM's process, and start it again later."""
        hall = self.platform.vms[vm].settings.hall
        self.platform.network.kill(vm, resets=not power)
        del self.platform.vms[vm]
        self._highest.pop(vm, None)
        self.begin(vm)
        self.platform.network.callLater(down_s, self._start_again, vm, hall)

    def _start_again(self, vm: str, hall: str) -> None:
        self.platform.add_vm(vm, SEEDS, hall)
        self.end(vm)

    # --- checks ------------------------------------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Let time pass, and look at what is in force all the while."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.platform.network.run(min(SAMPLE_S, end - self.now))
            self._sample()

    def _sample(self) -> None:
        self.touch(*(+self._ongoing))
        owed = max((version for at, version in self.acknowledged if at <= self.now - APPLY_S), default=0)
        held = self._list_held()
        for name, vm in self.platform.vms.items():
            version = vm.core.version
            if version < self._highest.get(name, 0):
                self._record("older than before", name, version, self._highest[name])
            self._highest[name] = max(version, self._highest.get(name, 0))
            if version in self.invalid:
                self._record("invalid", name, version, owed)
            if version < owed and name in held:
                self._record("late", name, version, owed)

    def _list_held(self) -> list[str]:
        """Return the VMs that are held to the bound: all in touch, if one of them reaches the store."""
        if self.now - self._store_disturbed < CONTACT_S:
            return []
        calm = [name for name in self.platform.vms if self.now - self._disturbed.get(name, -1e9) >= CONTACT_S]
        knows = any(not self.platform.network.is_cut(name, "store") for name in calm)
        return calm if knows else []

    def _record(self, fault: str, vm: str, has: int, owed: int) -> None:
        known = {(one.fault, one.vm, one.owed) for one in self.breaches}
        if (fault, vm, owed) not in known:
            self.breaches.append(Breach(fault, vm, self.now - self.started_at, has, owed))

    def list_unserved(self, vms: Iterable[str]) -> list[str]:
        """Send a request on the route that was added last to some VMs, and return those that do not serve it."""
        path = f"/v{self.newest}/x"
        callers = {vm: self.platform.call(path, f"added-{self.newest}-{vm}", vm=vm) for vm in vms}
        self.platform.network.run(1.0)
        return [vm for vm, caller in callers.items() if caller.status != 200]

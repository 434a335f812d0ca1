"""A fleet some of whose VMs lose their own links to upstreams, while callers, the store and peers still reach them."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from tests.support.configuration_fleet import HALLS, SEEDS
from tests.support.platform import Caller, Platform, make_request

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.relay.mechanism import DisabledMechanisms
    from tests.support.network import Transport

CALLER_PATIENCE_S = 5.0
"""Seconds until a caller's deadline."""

CALL_INTERVAL_S = 0.05
"""Seconds between two moments at which callers send requests."""

PATHS = ("/safe/x", "/unsafe/x", "/stream/x", "/resumable/x")


class Loss(Enum):
    """How VMs lose their links to upstreams."""

    SILENT = "silent"
    """No packet passes."""
    RESET = "reset"
    """Open connections are reset, new ones are refused."""
    HANGING = "hanging"
    """Open connections hang, new ones are refused."""
    LIVING = "living"
    """Open connections live on, new ones are refused."""


@dataclass
class Call:
    """A request of a caller."""

    request: str
    vm: str
    path: str
    sent_at: float
    caller: Caller

    @property
    def is_served(self) -> bool:
        """Return whether it was answered with success."""
        return self.caller.status == 200 and self.caller.whole


@dataclass
class ReachFleet:
    """VMs and upstreams in three halls, and the requests that callers sent."""

    size: int = 6
    seed: int = 0
    per_hall: int = 3
    """Number of replicas, prefill engines and decode engines in each hall."""
    without: DisabledMechanisms = frozenset()
    platform: Platform = field(default_factory=lambda: Platform(names_hosts=True))
    calls: list[Call] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start the VMs and have them meet."""
        random.seed(self.seed)  # the relay draws from the module's generator
        self.rng = random.Random(self.seed)
        platform = self.platform
        platform.configure(1)
        for number in range(3 * self.per_hall):
            hall = HALLS[number % 3]
            platform.add_plain(f"plain-{number}", hall)
            platform.add_engine(f"prefill-{number}", "prefill", hall=hall)
            platform.add_engine(f"decode-{number}", "decode", hall=hall)
        for number in range(self.size):
            platform.add_vm(f"vm{number}", SEEDS, HALLS[number % 3], self.without)
        platform.network.run_until(lambda: all(vm.core.ready for vm in platform.vms.values()))
        platform.network.run(12.0)

    @property
    def now(self) -> float:
        """Return the network's time in seconds."""
        return self.platform.network.rightNow

    def list_hall(self, hall: str) -> list[str]:
        """Return the VMs of a hall."""
        return [name for name, vm in self.platform.vms.items() if vm.settings.hall == hall]

    def list_upstream_hosts(self, *kinds: str) -> list[str]:
        """Return the hosts of all upstreams, or of those whose names begin with one of some kinds."""
        return [f"host-{name}" for name in self.platform.upstreams if not kinds or name.startswith(kinds)]

    # --- disruptions -------------------------------------------------------------------------------------------------

    def lose(self, vms: Iterable[str], how: Loss, hosts: Iterable[str] | None = None) -> None:
        """Take the links of some VMs to upstreams.

        :param hosts: hosts of the upstreams; None for all
        """
        network = self.platform.network
        chosen = set(vms)
        lost = set(self.list_upstream_hosts() if hosts is None else hosts)

        def concerns(transport: Transport) -> bool:
            return transport.host in chosen and transport.peer_host in lost

        for vm in chosen:
            for host in lost:
                if how is Loss.SILENT:
                    network.cut_between(vm, host)
                else:
                    network.refuse_between(vm, host)
        if how is Loss.RESET:
            network.reset_connections(concerns)
        elif how is Loss.HANGING:
            network.silence_connections(concerns)

    def heal(self, vms: Iterable[str]) -> None:
        """Give some VMs all their links back; connections that went silent stay so."""
        network = self.platform.network
        for vm in vms:
            for host in self.list_upstream_hosts():
                if network.is_cut(vm, host):
                    network.silence_connections(
                        lambda one, vm=vm, host=host: one.host == vm and one.peer_host == host  # type: ignore[misc]
                    )
                network.heal_between(vm, host)
                network.accept_between(vm, host)

    # --- callers -----------------------------------------------------------------------------------------------------

    def send(self, vm: str, path: str | None = None) -> Call:
        """Send a request to a VM, on a connection of its own."""
        path = path or self.rng.choice(PATHS)
        request = f"r{len(self.calls)}"
        caller = self.platform.connect(vm)
        if caller.transport is not None:  # the VM accepted the connection
            caller.send(make_request(path, request, headers={"Deadline-Ms": f"{CALLER_PATIENCE_S * 1000:.0f}"}))
        call = Call(request, vm, path, self.now, caller)
        self.calls.append(call)
        return call

    def run(self, seconds: float, callers: int = 2) -> None:
        """Let time pass while callers send requests to VMs drawn at random."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            for _ in range(callers):
                self.send(self.rng.choice(list(self.platform.vms)))
            self.platform.network.run(max(0.0, CALL_INTERVAL_S - 0.01 * callers))

    def finish(self) -> None:
        """Wait until each request has an answer, or its caller's time is over."""
        self.platform.network.run(CALLER_PATIENCE_S + 1.0)

    # --- what became of the requests ---------------------------------------------------------------------------------

    def count(self, vms: Iterable[str], since: float, until: float = float("inf")) -> tuple[int, int]:
        """Return how many requests at some VMs were served, of those sent in a time."""
        chosen = set(vms)
        calls = [one for one in self.calls if one.vm in chosen and since <= one.sent_at < until]
        return sum(one.is_served for one in calls), len(calls)

    def list_run_twice(self) -> list[str]:
        """Return the requests that may run once only, and ran more often."""
        once = {one.request for one in self.calls if one.path.startswith(("/unsafe", "/stream"))}
        return [request for request, runs in self.platform.ledger.runs.items() if runs > 1 and request in once]

    def list_falsely_refused(self) -> list[str]:
        """Return the requests that may run once only, ran, and were answered with "has not run"."""
        runs = self.platform.ledger.runs
        refused = (one for one in self.calls if one.caller.status in (408, 421, 429, 503))
        return [one.request for one in refused if runs[one.request] and one.path.startswith(("/unsafe", "/stream"))]

    def count_statuses(self, vms: Iterable[str], since: float) -> Counter[int]:
        """Return the statuses of the requests at some VMs since a time."""
        chosen = set(vms)
        return Counter(one.caller.status for one in self.calls if one.vm in chosen and one.sent_at >= since)

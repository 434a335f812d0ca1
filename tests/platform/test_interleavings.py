"""Whole VMs under interleavings of what the store, the network, the operators and the callers may do.

What must hold at any moment: no belief goes back within one life of a VM, nothing that may not run twice does, and "has
not run" is never said of a request that ran. What must hold behind it all: every VM that lives knows what is in force.
"""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from beamhatch.platform.epochs import Epoch, make_position
from beamhatch.platform.standin.store import StoreFault
from beamhatch.platform.standin.upstream import UpstreamFault
from beamhatch.relay.model import ServiceName
from tests.support.platform import PLAIN, ROUTES, Caller, make_platform, make_route

VMS = 4
HALLS = ["hall-a", "hall-b"]
PROMISES = {408, 421, 429, 503}
CONVERGENCE = 15.0
"""Seconds within which all VMs agree once nothing is wrong any more."""


class Interleavings(RuleBasedStateMachine):
    """Four VMs in two halls."""

    vms = st.integers(1, VMS).map(lambda number: f"vm{number}")

    def __init__(self) -> None:
        super().__init__()
        self.platform = make_platform(plain=3, prefill=1, decode=2)
        for number in range(2, VMS + 1):
            self.platform.add_vm(f"vm{number}", ["vm1:8002"], HALLS[number % 2])
        self.platform.network.run_until(lambda: all(vm.core.ready for vm in self.platform.vms.values()))
        self.version = 1
        self.seen: dict[str, tuple[int, int]] = {}
        """The newest configuration and listing that each VM had."""
        self.asked: dict[str, Caller] = {}
        self.cut: set[str] = set()
        self.left: set[str] = set()
        self.number = 0

    # --- what happens ------------------------------------------------------------------------------------------------

    @rule(seconds=st.floats(0.01, 6.0))
    def wait(self, seconds: float) -> None:
        self.platform.network.run(seconds)

    @rule(count=st.integers(1, 4))
    def configure(self, count: int) -> None:
        for _ in range(count):
            self.version += 2
            extra = make_route(f"/v{self.version}/", "safe", PLAIN)
            self.platform.configure(self.version, [*ROUTES, extra])
            self.platform.network.run(0.02)

    @rule(fault=st.sampled_from(StoreFault))
    def trouble_the_store(self, fault: StoreFault) -> None:
        self.platform.store.fault = fault
        if fault is not StoreFault.NONE:
            self.platform.store.abort_connections()

    @rule()
    def forget_history(self) -> None:
        self.platform.store.discard_history()

    @rule()
    def end_the_lease(self) -> None:
        self.platform.store.remove("beamhatch/leader")

    @rule(vm=vms)
    def cut_off(self, vm: str) -> None:
        self.platform.network.cut(vm)
        self.cut.add(vm)

    @precondition(lambda self: self.cut)
    @rule()
    def heal(self) -> None:
        for vm in self.cut:
            self.platform.network.heal(vm)
        self.cut.clear()

    @precondition(lambda self: not self.left)
    @rule(number=st.integers(0, 2))
    def drain(self, number: int) -> None:
        self.platform.drain(f"plain-{number}")
        self.left.add(f"plain-{number}")

    @rule(
        number=st.integers(0, 2),
        fault=st.sampled_from([UpstreamFault.NONE, UpstreamFault.TRUNCATED, UpstreamFault.SHED]),
    )
    def trouble_an_upstream(self, number: int, fault: UpstreamFault) -> None:
        self.platform.upstreams[f"plain-{number}"].fault = fault

    @rule(vm=vms, kind=st.sampled_from(["/unsafe/x", "/stream/x"]))
    def ask(self, vm: str, kind: str) -> None:
        if vm not in self.cut:
            self.number += 1
            request = f"q{self.number}"
            body = b"x" if kind.startswith("/unsafe") else b""
            self.asked[request] = self.platform.call(kind, request, vm=vm, body=body)

    # --- what holds --------------------------------------------------------------------------------------------------

    @invariant()
    def no_belief_goes_back(self) -> None:
        for name, vm in self.platform.vms.items():
            version = 0 if vm.core.table is None else vm.core.table.version
            revision = vm.core.listing.newest_revision
            before = self.seen.get(name, (0, 0))
            assert version >= before[0]
            assert revision >= before[1]
            self.seen[name] = (version, revision)

    @invariant()
    def nothing_runs_twice_nor_runs_though_it_was_said_not_to(self) -> None:
        for request, caller in self.asked.items():
            runs = self.platform.ledger.runs[request]
            assert runs <= 1
            assert not (caller.status in PROMISES and runs)

    @invariant()
    def orders_come_from_one_vm_at_a_time(self) -> None:
        tokens = [order.token for order in self.platform.ledger.orders]
        assert tokens == sorted(tokens)

    def teardown(self) -> None:
        self.platform.store.fault = StoreFault.NONE
        for vm in self.cut:
            self.platform.network.heal(vm)
        self.platform.network.run_until(self.agree, CONVERGENCE)
        names = {f"plain-{number}" for number in range(3)} - self.left
        for daemon in self.platform.vms.values():
            usable = {one.id for one in daemon.core.list_usable(ServiceName(PLAIN))}
            assert usable == names

    def agree(self) -> bool:
        newest = make_position(Epoch(self.platform.store.epoch), self.platform.store.get_newest_revision("servers/"))
        return all(
            vm.core.table is not None
            and vm.core.table.version == self.version
            and vm.core.listing.newest_revision == newest
            for vm in self.platform.vms.values()
        )


TestInterleavings = Interleavings.TestCase
TestInterleavings.settings = settings(
    max_examples=20,
    stateful_step_count=20,
    deadline=None,
    phases=[Phase.generate],
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)

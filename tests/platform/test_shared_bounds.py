"""Bounds that hold over all VMs, while some of these are out of touch with each other."""

from __future__ import annotations

from beamhatch.platform.standin.upstream import UpstreamFault
from beamhatch.relay.model import ServiceName
from tests.support.platform import PLAIN, Platform

SLACK = 56
"""Repeated sends that all VMs together may make in one window, beside a share of the requests."""


def make_halves(vms: int = 12) -> Platform:
    """Return a platform whose VMs have been cut into two halves that have heard nothing of each other for 90 s."""
    platform = Platform(names_hosts=True)
    platform.configure(1)
    platform.add_plain("plain-0")
    platform.add_plain("plain-1")
    for number in range(vms):
        platform.add_vm(f"vm{number}", ["vm0:8002", "vm1:8002"], f"hall-{'ab'[number % 2]}")
    platform.network.run(14.0)
    for even in range(0, vms, 2):
        for odd in range(1, vms, 2):
            platform.network.cut_between(f"vm{even}", f"vm{odd}")
    platform.network.run(90.0)
    return platform


def test_repeated_sends_of_halves_that_forgot_each_other_stay_within_the_budget_of_all() -> None:
    """Each half takes itself for all VMs from 60 s on: with that, 108 were sent where 84 are borne."""
    platform = make_halves()
    for name in ("plain-0", "plain-1"):
        platform.upstreams[name].fault = UpstreamFault.SHED
    callers = 0
    for _ in range(12):
        for vm in platform.vms:
            platform.call("/safe/x", f"q{callers}", vm=vm)
            callers += 1
    platform.network.run(3.0)
    budgets = [vm.core.get_retry_budget(ServiceName(PLAIN)) for vm in platform.vms.values()]
    sent = sum(len(budget._retries) for budget in budgets)
    assert sent <= 0.2 * callers + SLACK
    assert sent >= 12

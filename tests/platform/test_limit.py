"""Upstreams name in their answers how many requests a second they take from all VMs together, and get what comes.

What users saw: two of three replicas of a plain service named a limit, 4.4 and 2 requests a second, and got 47 and 18
requests in 4 s, where 31 and 17 are borne. They ran what they got, so callers noticed nothing; a replica says so when
it is in need, and falls over next.

What points to it: all six VMs went on as before from the first answer on, the VM that got the busiest callers sent 18
in 0.9 s alone, and the rates before and behind the word are the same. The cause: the word was read by nobody, and what
bounds sends to an upstream elsewhere is kept either by a few VMs at half of what is borne, or by each VM alone.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from typing import TYPE_CHECKING

import pytest

from beamhatch.platform.standin.upstream import UpstreamFault
from tests.support.platform import Platform

if TYPE_CHECKING:
    from beamhatch.platform.standin.upstream import StandInUpstream
    from tests.support.platform import Caller

WINDOW = 4.0
"""Seconds over which the users count what an upstream gets."""

OVERAGE = 1.5
SLACK = 5.0
"""What is borne in them: so many times the limit, and so many requests on top."""

BURST = 4.0
"""Requests on top of the limit itself that may come in any window where nothing fails: what had not been used before,
and what VMs sent within a round trip of each other."""

FIRST_NEWS = 0.5
"""Seconds behind its first answer with the word from which on a VM is held to it."""

GAP = 0.02
"""Seconds between two callers: 50 a second, several times what the limited ones take."""


def make_fleet(vms: int = 6, halls: str = "abc", seed: int = 1) -> Platform:
    """Return a platform of some VMs that know each other, with three upstreams of each kind."""
    random.seed(seed)
    platform = Platform(names_hosts=True)
    platform.configure(1)
    for number in range(3):
        hall = f"hall-{halls[number % len(halls)]}"
        platform.add_plain(f"plain-{number}", hall)
        platform.add_engine(f"prefill-{number}", "prefill", hall=hall)
        platform.add_engine(f"decode-{number}", "decode", kv_tokens=400_000, hall=hall)
    for number in range(vms):
        platform.add_vm(f"vm{number}", ["vm0:8002", "vm1:8002"], f"hall-{halls[number % len(halls)]}")
    platform.network.run_until(lambda: all(vm.core.ready for vm in platform.vms.values()))
    platform.network.run(14.0)
    return platform


def call_for(
    platform: Platform, target: str, seconds: float, *, vms: list[str] | None = None, gap: float = GAP
) -> list[Caller]:
    """Have one caller after the other come for some seconds, each at a VM drawn anew; wait for the last answer."""
    names = vms or list(platform.vms)
    callers = []
    for number in range(round(seconds / gap)):
        vm = random.choice(names)
        callers.append(platform.call(target, f"r{number}-{platform.clock.now():.3f}", vm=vm))
        platform.network.run(max(0.0, gap - 0.01))
    platform.network.run(2.0)
    return callers


def count_busiest(times: list[float], since: float) -> int:
    """Return the most calls of any window behind some time."""
    later = sorted(at for at in times if at > since)
    return max((bisect_left(later, at + WINDOW) - index for index, at in enumerate(later)), default=0)


def find_borne(rate: float) -> float:
    """Return the calls of one window that are borne."""
    return OVERAGE * rate * WINDOW + SLACK


def find_limit(rate: float) -> float:
    """Return the calls of one window that the limit itself allows."""
    return rate * WINDOW + BURST


def list_behind(upstream: StandInUpstream, since: float) -> list[float]:
    """Return when each call came, those that may be on their way as the word is new left out."""
    return [at for at in upstream.called_at if at > since]


KINDS = [
    ("/safe/x", "plain-0"),
    ("/unsafe/x", "plain-0"),
    ("/stream/x", "prefill-0"),
    ("/resumable/x", "prefill-0"),
    ("/stream/x", "decode-0"),
    ("/resumable/x", "decode-0"),
]
"""Each kind of route, with an upstream that its requests are sent to."""


@pytest.mark.parametrize("rate", [0.2, 2.6, 4.5])
@pytest.mark.parametrize(("target", "name"), KINDS)
def test_one_that_names_a_limit_gets_no_more_from_all_together(target: str, name: str, rate: float) -> None:
    platform = make_fleet()
    call_for(platform, target, 1.0)
    upstream = platform.upstreams[name]
    upstream.limit = str(rate)
    named_at = platform.clock.now()
    callers = call_for(platform, target, 14.0)
    busiest = count_busiest(upstream.called_at, named_at + FIRST_NEWS + 1.0)
    assert busiest <= find_borne(rate)
    assert busiest <= find_limit(rate)
    assert sum(caller.status == 200 for caller in callers) >= 0.99 * len(callers)


@pytest.mark.parametrize(("target", "name"), KINDS)
def test_what_it_takes_is_used(target: str, name: str) -> None:
    platform = make_fleet()
    upstream = platform.upstreams[name]
    upstream.limit = "2.6"
    call_for(platform, target, 2.0)
    begun = platform.clock.now()
    call_for(platform, target, 12.0)
    got = [at for at in upstream.called_at if begun < at <= begun + 12.0]
    assert 0.8 * 2.6 * 12 <= len(got) <= 2.6 * 12 + BURST


@pytest.mark.parametrize("target", ["/safe/x", "/stream/x"])
def test_repeats_count_like_any_other_request(target: str) -> None:
    """The other replicas fail or turn away what they get, so that it is sent again to the one that names a limit."""
    platform = make_fleet()
    name = "plain-0" if target.startswith("/safe") else "prefill-0"
    upstream = platform.upstreams[name]
    call_for(platform, target, 1.0)
    for other, one in platform.upstreams.items():
        if other.startswith(name[:5]) and one is not upstream:
            one.fault = UpstreamFault.SHED
    upstream.limit = "2.6"
    named_at = platform.clock.now()
    call_for(platform, target, 12.0)
    assert count_busiest(upstream.called_at, named_at + FIRST_NEWS + 1.0) <= find_limit(2.6)


@pytest.mark.parametrize("target", ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"])
def test_all_of_a_service_limited_serves_what_it_takes_and_refuses_the_rest_at_once(target: str) -> None:
    platform = make_fleet()
    kind = "plain" if target.startswith(("/safe", "/unsafe")) else "decode"
    limited = [one for name, one in platform.upstreams.items() if name.startswith(kind)]
    for upstream in limited:
        upstream.limit = "2.6"
    call_for(platform, target, 3.0)
    begun = platform.clock.now()
    callers = call_for(platform, target, 12.0)
    for upstream in limited:
        assert count_busiest(upstream.called_at, begun) <= find_limit(2.6)
    served = sum(caller.status == 200 and caller.whole for caller in callers)
    assert served >= 0.8 * 3 * 2.6 * 12
    refused = [caller for caller in callers if caller.status != 200]
    assert {caller.status for caller in refused} == {503}
    assert all("retry-after" in caller.head.lower() for caller in refused)
    lines = [
        line
        for journal in platform.journals.values()
        for line in journal.lines
        if line["event"] == "given up" and line["status"] == 503
    ]
    assert sum(line["seconds"] <= 0.02 for line in lines) >= 0.97 * len(lines)

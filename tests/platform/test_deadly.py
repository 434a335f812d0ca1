"""One request ends every engine that runs it.

What users saw: every few seconds four or five engines ended at once, and a tenth or more of all streams with them. A
caller sent the same request again and again, at any VM; each engine that began it ended 0.1 s later, with all the
streams beside it. Each try had a new id, so each VM took it for a new request and gave it to the engines left.

What points to it: one request stood on the first two engines that ended, begun 0.137 and 0.134 s before either's end;
engines that had just started, with two streams aboard, ended like full ones; users saw one path under many ids.
"""

from __future__ import annotations

from collections import Counter

import pytest

from tests.support.platform import Caller, Platform

CONTACT_TIME = 3.0
"""Seconds behind the third end from which on sends count: until then VMs may not have heard of it."""

MOST_MORE = 3
"""Sends that may follow later."""

VMS = 3


def make_fleet(*, plain: int = 3, decode: int = 8) -> Platform:
    """Return a platform with three VMs in three halls."""
    platform = Platform()
    platform.configure(1)
    for number in range(plain):
        platform.add_plain(f"plain-{number}")
    for number in range(2):
        platform.add_engine(f"prefill-{number}", "prefill")
    for number in range(decode):
        platform.add_engine(f"decode-{number}", "decode")
    for number in range(VMS):
        platform.add_vm(f"vm{number}", ["vm0:8002"], f"hall-{'abc'[number]}")
    platform.network.run_until(lambda: all(vm.core.ready for vm in platform.vms.values()))
    platform.network.run(5.0)
    return platform


def send_again(platform: Platform, target: str, *, times: int, gap: float) -> list[Caller]:
    """Send one request again and again, at each VM in turn, and wait for the last answer."""
    platform.ledger.deadly.add(target)
    callers = []
    names = list(platform.vms)
    for number in range(times):
        vm = names[number % len(names)]
        callers.append(platform.call(target, f"again-{number}", vm=vm))
        platform.network.run(gap)
    platform.network.run(15.0)
    return callers


def count_late_sends(platform: Platform, target: str) -> int:
    """Return how many sends arrived later than all could know of the third end."""
    ends = sorted(crash.at for crash in platform.ledger.crashes)
    if len(ends) < 3:
        return 0
    return sum(at > ends[2] + CONTACT_TIME and sent == target for at, sent in platform.ledger.sends)


@pytest.mark.parametrize("gap", [0.3, 1.1, 4.0])
@pytest.mark.parametrize("target", ["/resumable/x", "/stream/x", "/safe/x", "/unsafe/x"])
def test_a_request_that_ends_what_runs_it_is_kept_from_the_rest(target: str, gap: float) -> None:
    platform = make_fleet()
    callers = send_again(platform, target, times=16, gap=gap)
    assert len(platform.ledger.crashes) >= 3
    assert count_late_sends(platform, target) <= MOST_MORE
    statuses = Counter(caller.status for caller in callers[-4:])
    assert statuses == {503: 4}
    assert all("retry-after" in caller.head.lower() for caller in callers[-4:])

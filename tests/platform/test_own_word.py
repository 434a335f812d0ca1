"""Upstreams say in their answers that they leave, or for how long they want nothing, and are sent requests as before.

What users saw: a replica of a plain service said in each answer that it was leaving, and got requests from the machines
that had passed these answers on, 2.1 s behind them and later; it ran them all. Another day a replica turned a machine
away and asked it for 3 s of rest, and got three or four requests from it in that time, each repeated elsewhere.

What points to it: on the first day the store was silent, so the replica's entry said that it stays, and all six
machines went on, the first to hear as well; late requests were sent by their callers as late. On the second, machines
came back 0.6 to 1.2 s behind each refusal: the pause that the relay takes behind any refusal, whatever is asked.
The cause: nobody read these words of an answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from beamhatch.platform.standin.store import StoreFault
from beamhatch.platform.standin.upstream import StandInEngine, UpstreamFault
from tests.support.platform import Platform, make_platform

if TYPE_CHECKING:
    from beamhatch.platform.standin.upstream import StandInUpstream
    from tests.support.platform import Caller

DRAIN_TIME = 2.0
"""Seconds behind an answer by which an upstream said that it leaves in which requests may still reach it."""

REST = 3.0
"""Seconds of rest that an upstream asks for."""

REST_SLACK = 0.5
"""Seconds behind the begin of a rest in which requests may still come that were on their way."""

MOST_IN_REST = 2
"""Requests that may come in the rest of it."""

GAP = 0.05
"""Seconds between two callers."""


def make_fleet() -> Platform:
    """Return a platform with one VM that is ready, three replicas of the plain service and six engines."""
    platform = make_platform(plain=3, prefill=3, decode=3)
    platform.network.run(5.0)
    return platform


def call_for(platform: Platform, target: str, seconds: float, *, vm: str = "vm1") -> list[Caller]:
    """Have one caller after the other come for some seconds, and wait for the last answer."""
    callers = []
    for number in range(round(seconds / GAP)):
        callers.append(platform.call(target, f"r{number}-{platform.clock.now():.2f}", vm=vm))
        platform.network.run(GAP)
    platform.network.run(2.0)
    return callers


def count_in_rest(upstream: StandInUpstream) -> int:
    """Return the most calls that came in any rest that was asked for."""
    return max(
        (sum(asked + REST_SLACK < at <= asked + REST for at in upstream.called_at) for asked in upstream.rest_asked_at),
        default=0,
    )


@pytest.mark.parametrize(
    ("target", "leaves"),
    [
        ("/safe/x", "plain-0"),
        ("/unsafe/x", "plain-0"),
        ("/stream/x", "prefill-0"),
        ("/resumable/x", "prefill-0"),
        ("/stream/x", "decode-0"),
        ("/resumable/x", "decode-0"),
    ],
)
def test_one_that_said_in_an_answer_that_it_leaves_gets_nothing_new(target: str, leaves: str) -> None:
    platform = make_fleet()
    platform.store.fault = StoreFault.SILENT
    upstream = platform.upstreams[leaves]
    call_for(platform, target, 1.0)
    upstream.leaving = True
    first = len(upstream.arrived)
    callers = call_for(platform, target, 6.0)
    assert len(upstream.arrived) > first
    heard_at = upstream.arrived[first] + 1.0  # its answer came within that
    assert [at for at in upstream.arrived if at > heard_at + DRAIN_TIME] == []
    assert all(caller.status == 200 for caller in callers)


@pytest.mark.parametrize(
    ("target", "rests"),
    [
        ("/safe/x", "plain-0"),
        ("/unsafe/x", "plain-0"),
        ("/stream/x", "prefill-0"),
        ("/resumable/x", "prefill-0"),
        ("/stream/x", "decode-0"),
        ("/resumable/x", "decode-0"),
        ("/resumable/x", "full"),
    ],
)
def test_one_that_asked_for_rest_gets_none_of_it_broken(target: str, rests: str) -> None:
    platform = make_fleet()
    upstream = platform.upstreams["decode-0" if rests == "full" else rests]
    for other in platform.upstreams.values():
        other.work = 0.05 if other is upstream else 0.25  # slower, so that it would be liked best
    call_for(platform, target, 1.0)
    upstream.rest = str(REST)
    if rests == "full":
        assert isinstance(upstream, StandInEngine)
        upstream.kv_tokens = 0  # it turns away who asks it to set memory aside
    else:
        upstream.fault = UpstreamFault.SHED
    callers = call_for(platform, target, 8.0)
    assert upstream.rest_asked_at
    assert count_in_rest(upstream) <= MOST_IN_REST
    assert all(caller.status == 200 for caller in callers)

"""Streams at stand-in engines that pause, fill up or end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.platform.standin.upstream import StandInEngine

if TYPE_CHECKING:
    from tests.support.platform import Caller, Platform

EVENTS = 60
"""Events of each long stream, 1.8 s at the stand-ins' pace."""


def list_engines(platform: Platform, phase: str) -> list[StandInEngine]:
    """Return the engines of a phase."""
    return [one for one in platform.upstreams.values() if isinstance(one, StandInEngine) and one.phase == phase]


def find_engine(platform: Platform, request: str) -> StandInEngine:
    """Return the decode engine that runs a request."""
    engines = list_engines(platform, "decode")
    return next(one for one in engines if any(run.request == request for run in one.runs))


def pause_engines(platform: Platform, phase: str, seconds: float) -> None:
    """Pause all engines of a phase."""
    for engine in list_engines(platform, phase):
        engine.pause_for(seconds)


def fill(engine: StandInEngine) -> None:
    """Use up the free memory of an engine for the rest of the test."""
    engine.used_tokens += engine.free_tokens


def check_whole(platform: Platform, *callers: Caller, events: int = EVENTS) -> None:
    """Check that each caller gets each event once, and the end."""
    for caller in callers:
        platform.finish(caller)
        assert caller.events == list(range(1, events + 1))
        assert caller.whole

"""Spells in which sound upstreams fall silent and go on, and mutants that the checks have to see."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from unittest.mock import Mock

import pytest

from beamhatch.relay.model import Upstream
from beamhatch.relay.requests.exchange import RelayExchange
from beamhatch.relay.requests.request import Refuse, RelayRequest
from beamhatch.relay.retries.budget import RetryBudget
from beamhatch.relay.upstreams.attempt import Attempt
from tests.support.silence_spell import SilenceSpell
from tests.support.silence_witness import Check

if TYPE_CHECKING:
    from collections.abc import Callable

SEEDS = (0, 1, 2, 50)
SILENCES = 2


def play(spell: SilenceSpell) -> None:
    breaches = spell.play()
    assert not breaches, "\n".join([*map(str, breaches), *spell.lines])


@pytest.mark.parametrize("seed", SEEDS)
def test_streams_are_cut_as_sound_upstreams_fall_silent_beside_other_disruptions(seed: int) -> None:
    play(SilenceSpell(seed))


@pytest.mark.parametrize("seed", range(SILENCES))
def test_streams_are_cut_as_sound_upstreams_fall_silent_and_configurations_change(seed: int) -> None:
    play(SilenceSpell(seed, only_silences=True))


@pytest.mark.parametrize("seed", [0, 7, 17, 53])
def test_streams_are_cut_or_run_at_two_engines_as_engines_of_different_speeds_fall_silent(seed: int) -> None:
    play(SilenceSpell(seed, varies_engines=True))


def _run_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RelayRequest, "may_run_again", property(lambda _: True))


def _run_more_often(monkeypatch: pytest.MonkeyPatch) -> None:
    _run_again(monkeypatch)
    monkeypatch.setattr("tests.support.silence_witness.MORE_ATTEMPTS_ALLOWED", 0)
    monkeypatch.setattr("tests.support.silence_witness.MAX_ATTEMPTS", 1)


def _refuse_what_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RelayExchange, "_fail", lambda self, step: self._refuse(Refuse(step.reason)))


def _keep_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RelayExchange, "_release_held", lambda *_, **__: None)


def _keep_working(monkeypatch: pytest.MonkeyPatch) -> None:
    def leave(self: Attempt) -> None:
        if not self._ended:
            self._end()
            if self._http is not None:
                self._http.sink = Mock(get_max_body_bytes=lambda: None)

    monkeypatch.setattr(Attempt, "cancel", leave)


def _ignore_deadlines(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RelayExchange, "_handle_timeout", lambda _: None)


def _wait_for_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    def give_up(self: Attempt) -> None:
        self._timer = None
        self.cancel()
        assert isinstance(self.exchange, RelayExchange)
        self.exchange.abort("no answer in time")

    monkeypatch.setattr(Attempt, "_handle_timeout", give_up)


def _repeat_events(monkeypatch: pytest.MonkeyPatch) -> None:
    record = RelayRequest.record_event

    def record_less(self: RelayRequest, last: int | None, *arguments: Any) -> None:
        record(self, max(0, (last or 0) - 1), *arguments)

    monkeypatch.setattr(RelayRequest, "record_event", record_less)


def _mix_versions(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Upstream, "may_serve", lambda *_: True)


def _ignore_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RetryBudget, "allows", lambda *_: True)
    monkeypatch.setattr("tests.support.silence_witness.BUDGET_SLACK", 0)


MUTANTS = [
    (0, _wait_for_nothing, {Check.CUT, Check.UNANSWERED}),
    (1, _ignore_deadlines, {Check.LATE}),
    (0, _repeat_events, {Check.EVENTS}),
    (0, _mix_versions, {Check.VERSIONS}),
    (0, _run_more_often, {Check.ONCE, Check.ATTEMPTS}),
    (5, _refuse_what_ran, {Check.REFUSED}),
    (3, _keep_working, {Check.DOUBLE, Check.GONE}),
    (0, _keep_memory, {Check.RELEASED}),
    (0, _ignore_budget, {Check.BUDGET}),
]
"""Seed of a spell that shows each mutant, and the checks that fail."""


@pytest.mark.parametrize(("seed", "mutate", "checks"), MUTANTS, ids=lambda one: getattr(one, "__name__", "")[1:])
def test_checks_see_a_mutant(
    seed: int, mutate: Callable[[pytest.MonkeyPatch], None], checks: set[Check], monkeypatch: pytest.MonkeyPatch
) -> None:
    mutate(monkeypatch)
    assert checks <= {breach.check for breach in SilenceSpell(seed).play()}

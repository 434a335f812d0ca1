"""What is set aside for an answer."""

from __future__ import annotations

import math
import random

import pytest

from beamhatch.relay.model import RequestFacts
from beamhatch.relay.requests.output_lengths import COVERED_SHARE, MIN_SAMPLES, OutputLengths


def ask(*, guess: int = 0, most: int = 1500) -> RequestFacts:
    return RequestFacts("q", None, None, 3000, most, (), guess)


def draw_answers(count: int, seed: int, *, off_by: float) -> list[tuple[RequestFacts, int]]:
    """Return answers with the guess that came before each, off by a factor that spreads in logarithms."""
    draw = random.Random(seed)
    answers = []
    for _ in range(count):
        tokens = int(min(1500, max(20, draw.lognormvariate(6.2, 0.7))))
        guess = max(1, int(tokens * math.exp(draw.gauss(0, off_by))))
        answers.append((ask(guess=guess), tokens))
    return answers


def learn(answers: list[tuple[RequestFacts, int]]) -> OutputLengths:
    lengths = OutputLengths()
    for facts, tokens in answers:
        lengths.record(facts, tokens)
    return lengths


@pytest.mark.parametrize("off_by", [0.1, 0.5, 1.5])
@pytest.mark.parametrize("seed", range(4))
def test_the_room_covers_its_share_of_answers_however_good_guesses_are(off_by: float, seed: int) -> None:
    lengths = learn(draw_answers(100, seed, off_by=off_by))
    later = draw_answers(300, seed + 100, off_by=off_by)
    covered = sum(tokens <= lengths.compute_reserve_tokens(facts) for facts, tokens in later) / len(later)
    assert COVERED_SHARE - 0.17 < covered < COVERED_SHARE + 0.17


def test_good_guesses_need_less_room() -> None:
    rooms = []
    for off_by in (0.1, 1.5):
        lengths = learn(draw_answers(100, 1, off_by=off_by))
        rooms.append(sum(lengths.compute_reserve_tokens(facts) for facts, _ in draw_answers(300, 2, off_by=off_by)))
    assert rooms[0] < rooms[1]


def test_never_more_room_than_the_answer_may_need() -> None:
    lengths = learn(draw_answers(100, 1, off_by=0.5))
    assert lengths.compute_reserve_tokens(ask(guess=90_000, most=1500)) == 1500
    assert lengths.compute_reserve_tokens(ask(guess=0, most=40)) == 40


def test_without_any_answer_the_most_tokens_tell() -> None:
    lengths = OutputLengths()
    assert lengths.compute_reserve_tokens(ask(most=1500)) == math.ceil(1.3 * 0.4 * 1500)
    assert lengths.compute_reserve_tokens(ask(most=0)) > 0
    for _ in range(MIN_SAMPLES):
        lengths.record(ask(), 100)
    assert lengths.compute_reserve_tokens(ask()) == pytest.approx(100, abs=2)


def test_empty_answers_do_no_harm() -> None:
    lengths = OutputLengths()
    for _ in range(20):
        lengths.record(ask(guess=1), 0)
    assert lengths.compute_reserve_tokens(ask(guess=500)) >= 0

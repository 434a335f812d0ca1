"""Make a policy from its configuration document."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.decide.policy.naive import Naive, TwoChoices
from beamhatch.decide.policy.reserving import Predicted, ReserveEnd, ReserveStart

if TYPE_CHECKING:
    from collections.abc import Mapping

    from beamhatch.decide.policy.api import Policy

ALGORITHMS: dict[str, type[Policy]] = {
    "naive": Naive,
    "two_choices": TwoChoices,
    "reserve_start": ReserveStart,
    "reserve_end": ReserveEnd,
    "predicted": Predicted,
}


def make_policy(algorithm: str, parameters: Mapping[str, float] | None = None) -> Policy:
    """Return a policy by the name of its algorithm."""
    return ALGORITHMS[algorithm](dict(parameters or {}))

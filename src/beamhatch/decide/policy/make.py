"""Create policies by the name of their algorithm."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.decide.policy.naive import LeastReportedLoadPolicy, TwoChoicesPolicy
from beamhatch.decide.policy.reserving import PredictedPolicy, ReserveEndPolicy, ReserveStartPolicy

if TYPE_CHECKING:
    from collections.abc import Mapping

    from beamhatch.decide.policy.api import Policy

ALGORITHMS: dict[str, type[Policy]] = {
    "naive": LeastReportedLoadPolicy,
    "two_choices": TwoChoicesPolicy,
    "reserve_start": ReserveStartPolicy,
    "reserve_end": ReserveEndPolicy,
    "predicted": PredictedPolicy,
}


def make_policy(algorithm: str, parameters: Mapping[str, float] | None = None) -> Policy:
    """Return a new policy for the name of an algorithm."""
    return ALGORITHMS[algorithm](dict(parameters or {}))

"""Compute the slice changes that promote or withdraw a policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from beamhatch.decide.traffic import DEFAULT_POLICY
from beamhatch.settings.schema import Slice

if TYPE_CHECKING:
    from collections.abc import Sequence

DEFAULT_SLICE = Slice(name="default", policy=DEFAULT_POLICY)
"""The slice that applies if none is configured."""

SliceChanges = tuple[list[Slice], list[str]]
"""Slices to write, and document names of slices to remove."""


class PromotionError(ValueError):
    """The policy cannot be promoted or withdrawn."""


def promote(slices: Sequence[Slice], policy: str, _: str | None = None) -> SliceChanges:
    """Make a policy serve the default slice, and compare the previous policy with it."""
    default = _find_default(slices)
    compared = [name for name in dict.fromkeys([default.policy, *default.compared]) if name != policy]
    put = [replace(default, policy=policy, compared=compared if slices else [])]
    remove = [f"slice/{item.name}" for item in slices if item is not default and item.policy == policy]
    return put, remove


def withdraw(slices: Sequence[Slice], policy: str, replacement: str | None = None) -> SliceChanges:
    """Remove a policy from all slices.

    :param replacement: the policy that takes over the default slice if the withdrawn policy serves it
    :raises PromotionError: if the policy serves the default slice and no other policy is named
    """
    default = _find_default(slices)
    put: list[Slice] = []
    remove: list[str] = []
    for item in slices:
        compared = [name for name in item.compared if name != policy]
        if item.policy != policy and compared != item.compared:
            put.append(replace(item, compared=compared))
        elif item.policy == policy and item is not default:
            remove.append(f"slice/{item.name}")
    if default.policy == policy:
        if replacement is None or replacement == policy:
            raise PromotionError(f"{policy!r} serves all traffic; name the policy that is to serve instead")
        put.append(
            replace(
                default,
                policy=replacement,
                compared=[name for name in default.compared if name not in (policy, replacement)],
            )
        )
    return put, remove


def _find_default(slices: Sequence[Slice]) -> Slice:
    for item in reversed(slices):
        if not item.selector.strip() and item.percent == 100:
            return item
    return DEFAULT_SLICE

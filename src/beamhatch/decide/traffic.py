"""Assign requests to policies by traffic slices, which select by labels and by a stable hash."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.decide.policy.make import make_policy
from beamhatch.settings.selector import Selector, parse_selector, select

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from beamhatch.decide.policy.api import Policy
    from beamhatch.settings.schema import Policy as PolicyDocument
    from beamhatch.settings.schema import Slice

DEFAULT_POLICY = "predicted"
"""The policy of requests that no slice selects."""

_BUCKET_COUNT = 10_000


@dataclass(frozen=True, slots=True)
class PolicyAssignment:
    """The serving policy and the compared policies of a request."""

    policy: str
    compared_policies: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class _SliceRule:
    selector: Selector
    salt: str
    bucket_count: int
    assignment: PolicyAssignment


@dataclass(slots=True)
class TrafficSlices:
    """The slices and policies of a configuration."""

    rules: list[_SliceRule] = field(default_factory=list)
    policies: dict[str, Policy] = field(default_factory=dict)

    def apply(self, slices: Sequence[Slice], documents: Sequence[PolicyDocument]) -> None:
        """Replace all slices and policies by those of a configuration."""
        self.rules = [
            _SliceRule(
                parse_selector(item.selector),
                item.name,
                round(item.percent * _BUCKET_COUNT / 100),
                PolicyAssignment(item.policy, tuple(item.compared)),
            )
            for item in slices
        ]
        self.policies = {item.name: make_policy(item.algorithm, item.parameters) for item in documents}
        self.policies.setdefault(DEFAULT_POLICY, make_policy(DEFAULT_POLICY))

    def get_assignment(self, labels: Mapping[str, str], identity: str) -> PolicyAssignment:
        """Return the policies for a request; the same labels and identity give the same policies."""
        for rule in self.rules:
            if select(rule.selector, labels) and compute_bucket(rule.salt, identity) < rule.bucket_count:
                return rule.assignment
        return PolicyAssignment(DEFAULT_POLICY)

    def get_policy(self, name: str) -> Policy:
        """Return a policy by name, or the default policy if it no longer exists."""
        return self.policies.get(name) or self.policies[DEFAULT_POLICY]


def compute_bucket(salt: str, identity: str) -> int:
    """Return the bucket, of 10,000, of an identity; a slice that grows keeps the buckets that it had."""
    digest = hashlib.blake2b(f"{salt}/{identity}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % _BUCKET_COUNT

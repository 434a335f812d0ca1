"""Admission of requests by their key and the quota of its workspace."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.model import RequestFacts, Route, RoutingTable
    from beamhatch.relay.workspaces.quota import QuotaAllocator
    from beamhatch.relay.workspaces.workspace import Workspace, WorkspaceName


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is admitted."""

    keyed: bool = False
    """Whether the configuration has workspaces, so that the relay rather than the upstream checks keys."""
    workspace: WorkspaceName | None = None
    """Workspace of the caller; None if the configuration has none, or on a public route without a known key."""
    cost: int = 0
    """Units acquired from the workspace's quota."""
    priority: int = 0
    """Priority of the workspace, or of the route if the workspace has none; 0 if no workspaces are configured."""


@dataclass(frozen=True, slots=True)
class UnknownKey:
    """The request has no key, or one that no workspace has."""


@dataclass(frozen=True, slots=True)
class Undecided:
    """The key is unknown to this VM, but its configuration may be outdated."""


@dataclass(frozen=True, slots=True)
class OverQuota:
    """The workspace has exhausted its quota."""

    workspace: WorkspaceName
    retry_after: float
    """Seconds after which the caller should retry."""


Decision = Admitted | UnknownKey | Undecided | OverQuota


def _is_never_outdated() -> bool:
    return False


@dataclass(slots=True)
class Admission:
    """Admission control of one VM."""

    allocator: QuotaAllocator | None = None
    """Allocator of this VM's part of the quotas; None if quotas are not enforced."""
    may_be_outdated: Callable[[], bool] = field(default=_is_never_outdated)
    """Returns whether a newer configuration than this VM's may exist."""

    def decide(self, facts: RequestFacts, route: Route, table: RoutingTable, now: float) -> Decision:
        """Decide whether to admit a request; if so, acquire its cost from the workspace's quota."""
        if not table.workspaces:
            return Admitted()
        workspace = table.get_workspace(facts.key)
        if workspace is None:
            return self._decide_without_workspace(facts, route)
        if self.allocator is None or workspace.quota is None:
            return Admitted(keyed=True, workspace=workspace.name, priority=_get_priority(workspace, route))
        cost = workspace.quota.compute_cost(facts.prompt_tokens + facts.output_tokens)
        wait = self.allocator.acquire(workspace, cost, now)
        if wait is not None:
            return OverQuota(workspace.name, wait)
        return Admitted(keyed=True, workspace=workspace.name, cost=cost, priority=_get_priority(workspace, route))

    def refund(self, admitted: Admitted, now: float) -> None:
        """Refund the units of a request that reached no upstream."""
        if self.allocator is not None and admitted.workspace is not None and admitted.cost:
            self.allocator.refund(admitted.workspace, admitted.cost, now)

    def _decide_without_workspace(self, facts: RequestFacts, route: Route) -> Decision:
        if route.public:
            return Admitted(keyed=True, priority=route.priority)
        if facts.key is not None and self.may_be_outdated():
            return Undecided()
        return UnknownKey()


def _get_priority(workspace: Workspace, route: Route) -> int:
    return route.priority if workspace.priority is None else workspace.priority

"""Decide whether a request is taken: whose key it bears, and whether its workspace's quota has room for it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.model import RequestFacts, Route, RoutingTable
    from beamhatch.relay.workspaces.quota import QuotaShare
    from beamhatch.relay.workspaces.workspace import Workspace, WorkspaceName


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is taken."""

    keyed: bool = False
    """True where the configuration has workspaces, so that keys are the relay's business and not the upstream's."""
    workspace: WorkspaceName | None = None
    """Whose request it is; None where the route asks for no key and none was given."""
    cost: int = 0
    """Units of the workspace's quota that were taken for it."""
    priority: int = 0
    """Its rank by its workspace, or else by its route; 0 for all where the configuration has no workspaces."""


@dataclass(frozen=True, slots=True)
class UnknownKey:
    """The request bears no key that a workspace has."""


@dataclass(frozen=True, slots=True)
class Undecided:
    """The key is unknown to this VM, whose configuration may be out of date: another one may know it."""


@dataclass(frozen=True, slots=True)
class OverQuota:
    """The workspace has no quota left."""

    workspace: WorkspaceName
    retry_after: float
    """Seconds after which there should be some."""


Decision = Admitted | UnknownKey | Undecided | OverQuota


def _is_never_behind() -> bool:
    return False


@dataclass(slots=True)
class Admission:
    """Admits requests to one VM."""

    share: QuotaShare | None = None
    """How this VM's part of the quotas is found; None where quotas are not kept."""
    may_be_behind: Callable[[], bool] = field(default=_is_never_behind)
    """Tells whether there may be a newer configuration than this VM's."""

    def decide(self, facts: RequestFacts, route: Route, table: RoutingTable, now: float) -> Decision:
        """Return whether a request is taken; one that is has its cost taken from the quota."""
        if not table.workspaces:
            return Admitted()
        workspace = table.get_workspace(facts.key)
        if workspace is None:
            return self._decide_unknown(facts, route)
        if self.share is None or workspace.quota is None:
            return Admitted(keyed=True, workspace=workspace.name, priority=_find_priority(workspace, route))
        cost = workspace.quota.measure(facts.prompt_tokens + facts.output_tokens)
        wait = self.share.take(workspace, cost, now)
        if wait is not None:
            return OverQuota(workspace.name, wait)
        return Admitted(keyed=True, workspace=workspace.name, cost=cost, priority=_find_priority(workspace, route))

    def give_back(self, admitted: Admitted, now: float) -> None:
        """Give back what was taken for a request that reached no upstream."""
        if self.share is not None and admitted.workspace is not None and admitted.cost:
            self.share.give_back(admitted.workspace, admitted.cost, now)

    def _decide_unknown(self, facts: RequestFacts, route: Route) -> Decision:
        if route.public:
            return Admitted(keyed=True, priority=route.priority)
        if facts.key is not None and self.may_be_behind():
            return Undecided()
        return UnknownKey()


def _find_priority(workspace: Workspace, route: Route) -> int:
    return route.priority if workspace.priority is None else workspace.priority

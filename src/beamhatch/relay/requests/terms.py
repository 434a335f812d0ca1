"""What an open request takes from configurations that are newer than the one by which it was admitted.

A request is admitted by one version, and several may be in force on the way to all VMs. It keeps the kind, service,
workspace and target latency of its route. Whether it may run again, at how many upstreams, and in which regions is
what all versions since its admission allow. Only its timeout follows its own route.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from beamhatch.relay.model import intersect_regions

if TYPE_CHECKING:
    from beamhatch.relay.model import Regions, Route, RoutingTable
    from beamhatch.relay.workspaces.workspace import WorkspaceName


@dataclass(frozen=True, slots=True)
class RequestTerms:
    """Terms of one open request that a newer configuration may change."""

    may_repeat: bool
    """Whether it may run more than once."""
    max_attempts: int
    """Maximum number of upstreams that may run it."""
    regions: Regions
    """Regions in which it may be served; None for any."""
    timeout: float
    """Seconds from its arrival."""
    matched: Route | None
    """The route that the configuration in force has for its path, for logs; None without one."""


def make_terms(route: Route, regions: Regions = None) -> RequestTerms:
    """Return the terms of a request that is admitted.

    :param regions: regions that its route and its workspace allow
    """
    return RequestTerms(route.idempotent, route.max_attempts, regions, route.timeout, route)


def restrict_terms(
    terms: RequestTerms, admitted: Route, table: RoutingTable, path: str, workspace: WorkspaceName | None
) -> RequestTerms:
    """Return the terms of an open request once a newer configuration is in force.

    :param admitted: the route by which the request was admitted
    :param path: path of the request, which may have another route by now, or none
    """
    matched = table.find_route(admitted.host, path)
    own = table.get_route(admitted.host, admitted.prefix)
    allowed = table.get_allowed_regions(matched or admitted, workspace, terms.regions)
    terms = replace(
        terms,
        regions=intersect_regions(terms.regions, allowed),
        timeout=terms.timeout if own is None else own.timeout,
        matched=matched,
    )
    if matched is None:
        return terms
    return replace(
        terms,
        may_repeat=terms.may_repeat and matched.idempotent,
        max_attempts=min(terms.max_attempts, matched.max_attempts),
    )


def list_changes(before: RequestTerms, after: RequestTerms) -> list[tuple[str, dict[str, object]]]:
    """Return the log events, with their fields, for what changed between two terms of a request."""
    changes: list[tuple[str, dict[str, object]]] = []
    if after.matched != before.matched:
        matched = after.matched
        name, kind = (None, None) if matched is None else (matched.name, matched.label)
        changes.append(("route changed", {"matched": name, "matched_kind": kind}))
    if after.timeout != before.timeout:
        changes.append(("timeout changed", {"timeout": after.timeout}))
    if after.regions != before.regions:
        changes.append(("regions changed", {"regions": None if after.regions is None else sorted(after.regions)}))
    if (after.may_repeat, after.max_attempts) != (before.may_repeat, before.max_attempts):
        changes.append(("repeats restricted", {"may_repeat": after.may_repeat, "max_attempts": after.max_attempts}))
    return changes

"""The terms of open requests under any series of configurations."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from beamhatch.relay.model import (
    CallerLimits,
    Regions,
    Route,
    RouteKind,
    RoutingTable,
    ServiceName,
    WeightedService,
    make_routing_table,
)
from beamhatch.relay.requests.terms import make_terms, restrict_terms
from beamhatch.relay.topology import RegionName
from beamhatch.relay.workspaces.workspace import Workspace, WorkspaceName

PATH = "/a/b/c"
PREFIXES = ("/", "/a/", "/a/b/", "/other/")
WORKSPACE = WorkspaceName("w")
REGIONS: list[Regions] = [
    None,
    frozenset({RegionName("east")}),
    frozenset({RegionName("west")}),
    frozenset({RegionName("east"), RegionName("west")}),
]


def make_route(prefix: str, kind: RouteKind, timeout: float, attempts: int, resumable: bool, regions: Regions) -> Route:
    services = (WeightedService(ServiceName("s"), 1.0),)
    return Route(prefix, "h", prefix, kind, services, timeout, 0.9, attempts, resumable, regions=regions)


def make_table(routes: list[Route], regions: Regions) -> RoutingTable:
    workspace = Workspace(WORKSPACE, regions=regions)
    return make_routing_table(1, routes, [], CallerLimits(), (workspace,))


routes = st.builds(
    make_route,
    st.sampled_from(PREFIXES),
    st.sampled_from(RouteKind),
    st.sampled_from([1.0, 2.0, 3.0]),
    st.integers(1, 3),
    st.booleans(),
    st.sampled_from(REGIONS),
)
tables = st.builds(
    make_table, st.lists(routes, max_size=4, unique_by=lambda route: route.prefix), st.sampled_from(REGIONS)
)


def allows(regions: Regions, region: str) -> bool:
    return regions is None or region in regions


@given(routes.filter(lambda route: PATH.startswith(route.prefix)), st.lists(tables, max_size=5))
def test_an_open_request_may_do_what_all_versions_since_its_admission_allow(
    admitted: Route, later: list[RoutingTable]
) -> None:
    terms = make_terms(admitted, admitted.regions)
    for table in later:
        terms = restrict_terms(terms, admitted, table, PATH, WORKSPACE)
    matched = [route for table in later if (route := table.find_route("h", PATH)) is not None]
    assert terms.may_repeat == all(route.idempotent for route in [admitted, *matched])
    assert terms.max_attempts == min(route.max_attempts for route in [admitted, *matched])
    for region in ("east", "west"):
        by_routes = all(allows(route.regions, region) for route in [admitted, *matched])
        by_workspace = all(allows(table.by_name[WORKSPACE].regions, region) for table in later)
        assert allows(terms.regions, region) == (by_routes and by_workspace)


@given(routes, st.lists(tables, min_size=1, max_size=5))
def test_an_open_request_has_the_newest_timeout_of_its_own_route(admitted: Route, later: list[RoutingTable]) -> None:
    terms = make_terms(admitted)
    for table in later:
        terms = restrict_terms(terms, admitted, table, PATH, None)
    own = [route for table in later for route in table.routes if route.prefix == admitted.prefix]
    assert terms.timeout == [admitted, *own][-1].timeout


@given(routes)
def test_a_route_that_moves_to_another_service_changes_nothing_for_an_open_request(admitted: Route) -> None:
    moved = replace(admitted, weighted_services=(WeightedService(ServiceName("other"), 1.0),), target_latency=0.1)
    terms = make_terms(admitted)
    assert restrict_terms(terms, admitted, make_table([moved], None), admitted.prefix, None) == replace(
        terms, regions=admitted.regions, matched=moved
    )

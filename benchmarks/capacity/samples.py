"""Generates servers, routes and tenants for the measurements; the same arguments give the same result."""

from __future__ import annotations

from collections.abc import Iterator

from hollybay.balancing import interface as api
from hollybay.resources.model import Kind, Resource
from hollybay.routing.resource_tables import encode_table
from hollybay.routing.schema import (
    HeaderTable,
    LimitsTable,
    PathTable,
    RateTable,
    RouteTable,
    TenantLimitsTable,
    TenantRateTable,
    TenantTable,
)
from hollybay.units import MS

from ..files import many_routes
from . import target

__all__ = [
    "CLASS",
    "route_resources",
    "route_table",
    "routes_file",
    "server",
    "server_list",
    "settings",
    "short_routes_file",
    "tenant_resources",
    "tenants",
]

CLASS = "view-schedule"
ZONES, KINDS, SERVERS_IN_A_CELL = 17, 4, 40


def settings(nodes: int = target.NODES, tenant_count: int = 0) -> api.Settings:
    """Settings of a node at the expected size: its index among all nodes, and the zones of all regions."""
    return api.Settings(
        (api.RequestClass(CLASS, api.Effect.SAFE, 3.0, 200 * MS, 500 * MS),),
        tenants=tenants(tenant_count),
        zones=ZONES,
        kinds=KINDS,
        node=nodes // 2,
        nodes=nodes,
        hedging_allowed=True,
        cold_share=0.3,
        warm_up=8_000 * MS,
    )


def tenants(count: int) -> tuple[api.Tenant, ...]:
    """`count` tenants with equal shares."""
    return tuple(api.Tenant(f"tenant-{n:06d}", 1.0 / count, 10.0) for n in range(count))


def server(number: int, up_since: int = 0) -> api.Server:
    """One server of the list. up_since: start time (ns); a new value means a new process."""
    return api.Server(
        id=f"s-{number:06d}",
        zone=number % ZONES,
        kind=number % KINDS,
        cell=number // SERVERS_IN_A_CELL,
        weight=1.0 + 0.5 * (number % 3),
        up_since=up_since,
    )


def server_list(count: int) -> api.ServerList:
    """A complete server list."""
    return api.ServerList(api.ListKind.FULL, tuple(server(n) for n in range(count)), version=1)


def route_table(number: int, burst: int = 100_000, moved: int = 0) -> RouteTable:
    """A route like those of routes_file, with `moved` in its path to make the path differ."""
    path = (
        PathTable(exact=f"/{CLASS}/halls/h{number}m{moved}"),
        PathTable(template=f"/{CLASS}/v{number}m{moved}/{{id}}/slots"),
        PathTable(prefix=f"/{CLASS}/p{number}m{moved}/q"),
    )[number % 3]
    headers = [HeaderTable(name="X-Plan", exact="gold")] if number % 10 == 0 else []
    limits = LimitsTable(in_flight=1000, rate=RateTable(per_second=100_000.0, burst=burst, by="tenant"))
    return RouteTable(name=f"r{number}", path=path, headers=headers, limits=limits)


def route_resources(count: int) -> Iterator[Resource]:
    """`count` routes as resources of the first revision."""
    return (Resource(Kind.ROUTE, f"r{n}", 1, encode_table(route_table(n))) for n in range(count))


def tenant_resources(count: int) -> Iterator[Resource]:
    """`count` tenants, each with a rate, as resources of the first revision."""
    for number in range(count):
        rate = TenantRateTable(per_second=10.0 + number % 7, burst=10)
        table = TenantTable(limits=TenantLimitsTable(rate=rate))
        yield Resource(Kind.TENANT, f"tenant-{number:06d}", 1, encode_table(table))


def routes_file(count: int) -> str:
    """An operator file of `count` routes, each with limits by tenant."""
    return many_routes(count, cls=CLASS)


def short_routes_file(count: int) -> str:
    """An operator file of `count` routes without limits of their own."""
    return many_routes(count, limits="", cls=CLASS)

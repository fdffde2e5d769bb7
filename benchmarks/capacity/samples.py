"""Servers, routes and tenants to measure with: as many as are asked for, the same each time."""

from __future__ import annotations

from lynxrouter import interface as api

from ..files import many_routes
from . import target

__all__ = ["CLASS", "routes_file", "server", "server_list", "settings", "short_routes_file", "tenants"]

MS = 1_000_000
CLASS = "view-schedule"
ZONES, KINDS, SERVERS_IN_A_CELL = 17, 4, 40


def settings(nodes: int = target.NODES, tenant_count: int = 0) -> api.Settings:
    """What a node is told at the expected size: its place among all nodes, and the zones of all regions."""
    return api.Settings(
        (api.RequestClass(CLASS, api.Effect.SAFE, 3.0, 200 * MS, 500 * MS),),
        tenants=tenants(tenant_count),
        zones=ZONES,
        kinds=KINDS,
        node=nodes // 2,
        nodes=nodes,
        copies_allowed=True,
        cold_share=0.3,
        warm_up=8_000 * MS,
    )


def tenants(count: int) -> tuple[api.Tenant, ...]:
    """So many tenants of equal shares."""
    return tuple(api.Tenant(f"tenant-{n:06d}", 1.0 / count, 10.0) for n in range(count))


def server(number: int, up_since: int = 0) -> api.Server:
    """One line of the list. up_since: ns; another time than before is another process."""
    return api.Server(
        id=f"s-{number:06d}",
        zone=number % ZONES,
        kind=number % KINDS,
        cell=number // SERVERS_IN_A_CELL,
        weight=1.0 + 0.5 * (number % 3),
        up_since=up_since,
    )


def server_list(count: int) -> api.ServerList:
    """A whole list."""
    return api.ServerList(api.ListKind.FULL, tuple(server(n) for n in range(count)), version=1)


def routes_file(count: int) -> str:
    """An operator file of so many routes, each with limits by tenant."""
    return many_routes(count, cls=CLASS)


def short_routes_file(count: int) -> str:
    """An operator file of so many routes without limits of their own."""
    return many_routes(count, limits="", cls=CLASS)

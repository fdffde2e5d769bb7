"""The one table of all measurements. A new one is a function of a size in a module, and a line here."""

from __future__ import annotations

from hollybay.hollow.meter import Limits

from . import (
    control,
    requests,
    resource_plans,
    resource_states,
    routes,
    servers,
    starts,
    streams,
    target,
    tenants,
)
from .measurement import Measurement

__all__ = ["MEASUREMENTS"]

CPU_MEMORY = {"cpu_s": "s", "memory_kb": "KB"}

CHANGE_COSTS = {"keeper_cpu_s": "s", "node_cpu_ms": "ms", "node_bytes": "B", "node_calls": "calls"}
STREAM = {
    "p50_s": "s", "p99_s": "s", "worst_s": "s", "unfinished": "changes",
    "keeper_core_percent": "% of a core", "node_core_percent": "% of a core", "node_bytes_a_second": "B/s",
}  # fmt: skip
CHANGE_TIMES = {"in_force_s": "s", "in_force_worst_s": "s"}
# Processor time bears waiting; how long something takes does not.
CPU_ONLY = Limits(waited_part=0.6, worst_late_s=1.0)
LATENCY = Limits(waited_part=0.25, worst_late_s=0.3)

_ALL = (
    Measurement(
        "servers-list", "whole list of servers into the module, 2,900 nodes told", "servers",
        CPU_MEMORY, (1_000, 3_000, 10_000, 30_000), (50, 100), servers.whole_list, target.SERVERS,
    ),
    Measurement(
        "servers-list-few-nodes", "the same with 100 nodes told", "servers",
        CPU_MEMORY, (1_000, 10_000, 30_000, 120_000), (50, 100), servers.whole_list_few_nodes, target.SERVERS,
    ),
    Measurement(
        "server-changed", "one changed server", "servers",
        {"cpu_ms": "ms"}, (1_000, 10_000, 30_000, 120_000), (50, 100), servers.changed_server, target.SERVERS,
    ),
    Measurement(
        "servers-review", "what the module looks over every half second", "servers",
        {"cpu_ms": "ms", "core_percent": "% of a core"}, (1_000, 10_000, 30_000, 120_000), (50, 100),
        servers.review, target.SERVERS,
    ),
    Measurement(
        "servers-list-read", "a whole list as discovery sends it, read", "servers",
        {"cpu_s": "s"}, (1_000, 10_000, 30_000, 120_000), (50, 100), servers.list_read, target.SERVERS,
    ),
    Measurement(
        "connections", "servers that a node is connected to, at 690 requests/s", "servers",
        {"connections": "connections", "request_cpu_us": "us"},
        (1_000, 3_000, 10_000, 30_000, 120_000), (10, 20),
        servers.connections, target.SERVERS,
    ),
    Measurement(
        "routes-compiled", "an operator file of routes with limits, compiled", "routes",
        CPU_MEMORY, (1_000, 3_000, 10_000, 30_000, 90_000, 110_000), (50, 100),
        routes.compiled, target.ROUTES,
    ),
    Measurement(
        "routes-compiled-short", "an operator file of routes without limits, compiled", "routes",
        CPU_MEMORY, (1_000, 10_000, 30_000, 110_000), (50, 100), routes.compiled_short, target.ROUTES,
    ),
    Measurement(
        "route-changed-by-file", "one changed route, the file read and compiled anew", "routes",
        {"cpu_s": "s"}, (1_000, 3_000, 10_000, 30_000, 90_000), (50, 100),
        routes.changed_route, target.ROUTES,
    ),
    Measurement(
        "tenants-named", "tenants in a node's configuration", "tenants",
        CPU_MEMORY, (3_000, 30_000, 300_000), (50, 100), tenants.named, target.TENANTS,
    ),
    Measurement(
        "tenant-buckets", "buckets of tenants at one route", "tenants",
        CPU_MEMORY, (3_000, 30_000, 300_000), (50, 100),
        tenants.buckets, target.TENANTS,
    ),
    Measurement(
        "start-from-file", "a process started, routes from a file", "routes",
        {"cpu_s": "s"}, (100, 1_000, 10_000, 110_000), (10, 20), starts.from_file, target.ROUTES,
    ),
    Measurement(
        "start-from-accord", "a process started, routes from its accord's folder", "routes",
        {"cpu_s": "s"}, (100, 1_000, 10_000, 110_000), (10, 20), starts.from_accord_folder, target.ROUTES,
    ),
    Measurement(
        "request-route", "the route of a request", "routes",
        {"cpu_us": "us"}, (1_000, 10_000, 110_000), (50, 100), requests.routed, target.ROUTES,
    ),
    Measurement(
        "request-server", "a request and its answer in the decision module", "servers",
        {"cpu_us": "us"}, (1_000, 10_000, 120_000), (50, 100), requests.looked_up, target.SERVERS,
    ),
    Measurement(
        "request-rejected", "a rejection, compared with all tenants", "tenants",
        {"cpu_us": "us"}, (3_000, 30_000, 300_000), (50, 100), requests.turned_away, target.TENANTS,
    ),
    Measurement(
        "resources-routes", "a state of routes as resources", "routes",
        CPU_MEMORY, (1_000, 10_000, 110_000), (50, 100), resource_states.routes_in_memory, target.ROUTES,
    ),
    Measurement(
        "resources-tenants", "a state of tenants as resources", "tenants",
        CPU_MEMORY, (3_000, 30_000, 300_000), (50, 100), resource_states.tenants_in_memory, target.TENANTS,
    ),
    Measurement(
        "resource-changed", "one changed route as a resource: assembled, encoded, followed", "routes",
        {"cpu_us": "us", "batch_bytes": "B"}, (1_000, 10_000, 110_000), (50, 100),
        resource_states.changed, target.ROUTES,
    ),
    Measurement(
        "resources-snapshot-read", "a snapshot of routes as resources, read", "routes",
        {"cpu_s": "s"}, (1_000, 10_000, 110_000), (50, 100), resource_states.snapshot_read, target.ROUTES,
    ),
    Measurement(
        "route-changed-by-resource", "one changed route, taken in by the plan", "routes",
        {"cpu_ms": "ms"}, (1_000, 10_000, 110_000), (50, 100), resource_plans.changed_route, target.ROUTES,
    ),
    Measurement(
        "route-changed-worst", "the same, the dearest of 200 changes", "routes",
        {"worst_cpu_ms": "ms"}, (1_000, 10_000, 110_000), (50, 100),
        resource_plans.changed_route_worst, target.ROUTES,
    ),
    Measurement(
        "routes-plan", "the plan of routes that are resources", "routes",
        CPU_MEMORY, (1_000, 10_000, 110_000), (50, 100), resource_plans.memory, target.ROUTES,
    ),
    Measurement(
        "start-from-snapshot", "a snapshot of routes read, and their plan made", "routes",
        {"cpu_s": "s"}, (1_000, 10_000, 110_000), (50, 100), resource_plans.start, target.ROUTES,
    ),
    Measurement(
        "renewals", "leases renewed, three keepers, hollow nodes", "nodes",
        {
            "keeper_core_percent": "% of a core", "calls_each_keeper_a_second": "/s",
            "keeper_ms_a_call": "ms", "node_core_percent": "% of a core", "node_bytes_a_second": "B/s",
            "node_connections_a_second": "/s",
        },
        (50, 100, 200, 400), (4, 6), control.renewals, target.NODES, limits=CPU_ONLY, processes=True,
    ),
    Measurement(
        "change-costs", "a change at the keepers, what it costs, hollow nodes", "nodes",
        CHANGE_COSTS, (50, 100, 200, 400), (4, 6), control.change_costs, target.NODES,
        limits=CPU_ONLY, processes=True,
    ),
    Measurement(
        "change-by-file", "a change beside routes in the file, ten nodes", "routes",
        {"keeper_cpu_s": "s", "node_cpu_ms": "ms", "node_bytes": "B"}, (100, 1_000, 10_000, 30_000), (10,),
        control.change_by_file, target.ROUTES, limits=CPU_ONLY, processes=True,
    ),
    Measurement(
        "operator-status", "one look of an operator at a keeper", "nodes",
        {"keeper_cpu_ms": "ms", "bytes": "B"}, (50, 100, 200, 400), (4,), control.status, target.NODES,
        limits=CPU_ONLY, processes=True,
    ),
    Measurement(
        "change-time", "changes one after another, until in force everywhere, hollow nodes", "nodes",
        CHANGE_TIMES, (50, 100, 200, 400), (4, 6), control.changes, target.NODES,
        limits=LATENCY, processes=True,
    ),
    Measurement(
        "change-silent-tenth", "the same with a tenth of the nodes silent", "nodes",
        CHANGE_TIMES, (50, 100, 200), (10, 20), control.changes_with_silent_nodes, target.NODES,
        limits=LATENCY, processes=True,
    ),
    Measurement(
        "stream", "changes at 0.9 a second for 30 s, hollow nodes", "nodes",
        STREAM, (40, 200), (6,), streams.stream, target.NODES, limits=LATENCY, processes=True,
    ),
    Measurement(
        "stream-silent-tenth", "the same with a tenth of the nodes silent", "nodes",
        STREAM, (40, 200), (10,), streams.stream_with_silent, target.NODES, limits=LATENCY, processes=True,
    ),
    Measurement(
        "burst", "20 changes within a second, hollow nodes", "nodes",
        STREAM, (40, 200), (6,), streams.burst, target.NODES, limits=LATENCY, processes=True,
    ),
)  # fmt: skip

MEASUREMENTS = {one.name: one for one in _ALL}

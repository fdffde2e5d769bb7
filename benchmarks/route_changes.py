"""Cost of one changed route at a node, and memory of routes and tenants, by their number.

Each size runs in a separate process. Time is CPU time of the process; memory is the growth of its PSS.
"""

from __future__ import annotations

import gc
import json
import random
import statistics
import subprocess
import sys
import time

from hollybay.balancing import interface as api
from hollybay.hollow.meter import memory_bytes
from hollybay.resources.model import Change, Key, Kind, Upsert
from hollybay.resources.state import EMPTY, ResourceState
from hollybay.routing.policy_update import update_policy
from hollybay.routing.resource_tables import decode_table, encode_table
from hollybay.routing.schema import (
    LimitsTable,
    RouteTable,
    TenantLimitsTable,
    TenantRateTable,
    TenantTable,
)
from hollybay.routing.state_compiler import compile_state
from hollybay.units import MS

from .capacity.samples import route_resources

SETTINGS = api.Settings(
    (api.RequestClass("view-schedule", api.Effect.SAFE, 3.0, 200 * MS, 500 * MS),), hedging_allowed=True
)
SIZES = ((1_000, 0), (10_000, 0), (110_000, 0), (0, 300_000), (110_000, 300_000))
CHANGES = 200


def routes(count: int) -> list[tuple[Key, bytes]]:
    """Routes like those of files.many_routes, as keys and bodies of resources."""
    return [(one.key, one.body) for one in route_resources(count)]


def tenants(count: int) -> list[tuple[Key, bytes]]:
    """Tenants, each with limits on rate and on requests in flight."""
    limits = TenantLimitsTable(in_flight=100, rate=TenantRateTable(per_second=50.0, burst=100))
    body = encode_table(TenantTable(limits=limits))
    return [(Key(Kind.TENANT, f"tenant-{n}"), bytes(bytearray(body))) for n in range(count)]


def pss_bytes() -> int:
    """PSS of this process after a garbage collection."""
    gc.collect()
    return memory_bytes()


def limit_change(state: ResourceState, number: int, name: str) -> Change:
    """A change of the in-flight limit of a route."""
    current = state.resources[Key(Kind.ROUTE, name)]
    old = decode_table(current.key, current.body, RouteTable)
    table = RouteTable(
        name=name,
        path=old.path,
        headers=old.headers,
        limits=LimitsTable(in_flight=1 + number, rate=old.limits.rate),
    )
    operation = Upsert(Kind.ROUTE, name, current.version, encode_table(table))
    return Change(b"%016d" % (number + 1), state.revision, "measured", "benchmark", (operation,))


def measure(route_count: int, tenant_count: int) -> dict[str, float]:
    """Measure one size; returns its figures."""
    before = pss_bytes()
    resources = routes(route_count) + tenants(tenant_count)
    operations = tuple(Upsert(key.kind, key.name, 0, body) for key, body in resources)
    state = EMPTY.with_batch([Change(b"%016d" % 0, 0, "all", "benchmark", operations)], 1)
    del resources, operations
    state_bytes = pss_bytes() - before
    started = time.process_time()
    policy = compile_state(state, SETTINGS)
    compile_s = time.process_time() - started
    total_bytes = pss_bytes() - before
    chance = random.Random(1)
    times_ms = []
    for number in range(CHANGES if route_count else 0):
        change = limit_change(state, number, f"r{chance.randrange(route_count)}")
        started_ns = time.process_time_ns()
        after = state.with_batch([change], state.revision + 1)
        policy = update_policy(policy, after, [change.operations[0].key], SETTINGS)
        times_ms.append((time.process_time_ns() - started_ns) / MS)
        state = after
    return {
        "routes": route_count,
        "tenants": tenant_count,
        "change_median_ms": round(statistics.median(times_ms), 3) if times_ms else 0.0,
        "change_worst_ms": round(max(times_ms), 3) if times_ms else 0.0,
        "plan_s": round(compile_s, 2),
        "state_mb": round(state_bytes / 1e6, 1),
        "state_and_plan_mb": round(total_bytes / 1e6, 1),
    }


def main() -> None:
    """Print a line of JSON for each size."""
    for route_count, tenant_count in SIZES:
        code = (
            "import json; from benchmarks.route_changes import measure; "
            f"print(json.dumps(measure({route_count}, {tenant_count})))"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        print(json.dumps(json.loads(done.stdout)))

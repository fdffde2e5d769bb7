"""The plan of routes that are resources: whole, one route changed, and a tenant's limits changed."""

from __future__ import annotations

import gc
import random
from dataclasses import replace

from hollybay.hollow.meter import metered
from hollybay.resources.model import Key, Kind, Resource
from hollybay.resources.state import ResourceState, restore_state
from hollybay.resources.wire import decode_snapshot, encode_snapshot
from hollybay.routing.policy_update import update_policy
from hollybay.routing.resource_tables import encode_table
from hollybay.routing.state_compiler import compile_state

from . import samples
from .measurement import Figures

__all__ = ["changed_route", "changed_route_worst", "memory", "start"]

CHANGES = 200
MOVED_EACH = 4  # one change in so many is of a path, the others are of limits
KIB = 1 << 10
MIB = 1 << 20


def changed_route(size: int) -> Figures:
    """One changed route taken in by the plan of so many: the mean of many changes."""
    return _changed(size).only("cpu_ms")


def changed_route_worst(size: int) -> Figures:
    """The same, the dearest of them: for so long a loop would stand still."""
    return _changed(size).only("worst_cpu_ms")


def memory(size: int) -> Figures:
    """The plan of so many routes with limits, made of their state; the state's own memory is not in it."""
    state = restore_state(1, samples.route_resources(size), ())
    with metered(memory=True) as spent:
        plan = compile_state(state, samples.settings())
    assert len(plan.routes_by_name) == size
    values = {"cpu_s": spent.cpu_s, "memory_kb": spent.memory / KIB}
    return Figures(values, spent, {"peak_mb": spent.peak / MIB})


def start(size: int) -> Figures:
    """A snapshot of so many routes read, checked and made a plan of."""
    data = encode_snapshot(restore_state(1, samples.route_resources(size), ()))
    gc.collect()
    with metered() as spent:
        compile_state(decode_snapshot(data), samples.settings())
    return Figures({"cpu_s": spent.cpu_s}, spent, {"snapshot_mib": len(data) / MIB})


def _changed(size: int) -> Figures:
    settings = samples.settings()
    state = restore_state(1, samples.route_resources(size), ())
    plan = compile_state(state, settings)
    gc.collect()
    gc.freeze()
    chance = random.Random(1)
    worst = 0.0
    with metered() as spent:
        for number in range(CHANGES):
            state, key = _with_another(state, chance.randrange(size), number)
            with metered() as one:
                plan = update_policy(plan, state, (key,), settings)
            worst = max(worst, one.cpu_s)
    assert len(plan.routes_by_name) == size
    return Figures({"cpu_ms": 1000 * spent.cpu_s / CHANGES, "worst_cpu_ms": 1000 * worst}, spent)


def _with_another(state: ResourceState, number: int, turn: int) -> tuple[ResourceState, Key]:
    """The state with another route in place of one; what a batch costs is measured in resource_states."""
    key = Key(Kind.ROUTE, f"r{number}")
    table = samples.route_table(number, burst=turn + 1, moved=turn if turn % MOVED_EACH == 0 else 0)
    changed = Resource(key.kind, key.name, state.revision + 1, encode_table(table))
    after = replace(state, revision=state.revision + 1, resources=state.resources.set(key, changed))
    return after, key

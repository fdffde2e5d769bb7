"""Cost of compiling routes that are resources: the whole policy, and one changed route."""

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
MOVE_INTERVAL = 4  # every fourth change is of a path, the others are of limits
KIB = 1 << 10
MIB = 1 << 20


def changed_route(size: int) -> Figures:
    """Mean time to apply one changed route to a compiled policy of `size` routes."""
    return _measure_changes(size).only("cpu_ms")


def changed_route_worst(size: int) -> Figures:
    """Longest time to apply one changed route: the event loop of a node is blocked for that long."""
    return _measure_changes(size).only("worst_cpu_ms")


def memory(size: int) -> Figures:
    """Compile a state of `size` routes with limits; memory is without that of the state."""
    state = restore_state(1, samples.route_resources(size), ())
    with metered(memory=True) as spent:
        plan = compile_state(state, samples.settings())
    assert len(plan.routes_by_name) == size
    values = {"cpu_s": spent.cpu_s, "memory_kb": spent.memory / KIB}
    return Figures(values, spent, {"peak_mb": spent.peak / MIB})


def start(size: int) -> Figures:
    """Decode, check and compile a snapshot of `size` routes."""
    data = encode_snapshot(restore_state(1, samples.route_resources(size), ()))
    gc.collect()
    with metered() as spent:
        compile_state(decode_snapshot(data), samples.settings())
    return Figures({"cpu_s": spent.cpu_s}, spent, {"snapshot_mib": len(data) / MIB})


def _measure_changes(size: int) -> Figures:
    settings = samples.settings()
    state = restore_state(1, samples.route_resources(size), ())
    plan = compile_state(state, settings)
    gc.collect()
    gc.freeze()
    chance = random.Random(1)
    worst = 0.0
    with metered() as spent:
        for number in range(CHANGES):
            state, key = _replace_route(state, chance.randrange(size), number)
            with metered() as one:
                plan = update_policy(plan, state, (key,), settings)
            worst = max(worst, one.cpu_s)
    assert len(plan.routes_by_name) == size
    return Figures({"cpu_ms": 1000 * spent.cpu_s / CHANGES, "worst_cpu_ms": 1000 * worst}, spent)


def _replace_route(state: ResourceState, number: int, turn: int) -> tuple[ResourceState, Key]:
    """Replace one route in the state. The cost of a batch is measured in resource_states."""
    key = Key(Kind.ROUTE, f"r{number}")
    table = samples.route_table(number, burst=turn + 1, moved=turn if turn % MOVE_INTERVAL == 0 else 0)
    changed = Resource(key.kind, key.name, state.revision + 1, encode_table(table))
    after = replace(state, revision=state.revision + 1, resources=state.resources.set(key, changed))
    return after, key

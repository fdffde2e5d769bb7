"""Cost of configuration as resources: the state in memory, one change, and reading a snapshot.

Routes have the limits of samples.routes_file; each tenant has a rate.
"""

from __future__ import annotations

import gc
from collections.abc import Iterator

from hollybay.hollow.meter import metered
from hollybay.resources.batch import apply_batch, assemble
from hollybay.resources.model import Change, Kind, Resource, Upsert
from hollybay.resources.state import ResourceState, restore_state
from hollybay.resources.wire import WireError, decode_snapshot, encode_batch, encode_snapshot
from hollybay.routing.resource_tables import encode_table

from . import samples
from .measurement import Figures, SizeRejected

__all__ = ["changed", "routes_in_memory", "snapshot_read", "tenants_in_memory"]

KIB = 1 << 10
MIB = 1 << 20
CHANGES = 200


def routes_in_memory(size: int) -> Figures:
    """Build a state of `size` routes."""
    return _in_memory(samples.route_resources(size))


def tenants_in_memory(size: int) -> Figures:
    """Build a state of `size` tenants."""
    return _in_memory(samples.tenant_resources(size))


def changed(size: int) -> Figures:
    """Change one of `size` routes: assemble a batch of one change, encode it and apply it."""
    state = restore_state(1, samples.route_resources(size), ())
    gc.collect()
    batch_bytes = 0
    with metered() as spent:
        for number in range(CHANGES):
            body = encode_table(samples.route_table(number % size, burst=number + 1))
            operation = Upsert(Kind.ROUTE, f"r{number % size}", _version(state, number % size), body)
            change = Change(number.to_bytes(16, "big"), state.revision, "capacity", "rig", (operation,))
            batch = assemble(state, (change,)).batch
            batch_bytes += len(encode_batch(batch))
            state = apply_batch(state, batch)
    return Figures({"cpu_us": 1e6 * spent.cpu_s / CHANGES, "batch_bytes": batch_bytes / CHANGES}, spent)


def snapshot_read(size: int) -> Figures:
    """Decode a snapshot of `size` routes, and check it against its digest."""
    state = restore_state(1, samples.route_resources(size), ())
    data = encode_snapshot(state)
    gc.collect()
    try:
        with metered() as spent:
            found = decode_snapshot(data, state.digest)
    except WireError as error:
        raise SizeRejected(str(error)) from None
    assert found.digest == state.digest
    return Figures({"cpu_s": spent.cpu_s}, spent, {"snapshot_mib": len(data) / MIB})


def _in_memory(resources: Iterator[Resource]) -> Figures:
    with metered(memory=True) as spent:
        state = restore_state(1, resources, ())
    assert state.revision == 1
    return Figures({"cpu_s": spent.cpu_s, "memory_kb": spent.memory / KIB}, spent)


def _version(state: ResourceState, number: int) -> int:
    current = state.get(Kind.ROUTE, f"r{number}")
    return current.version if current is not None else 0

"""Reduction of a failing plan to a minimal one: delta debugging over requests, faults, nodes and servers.

Any part of a plan is a plan. The function `fails` plays one and returns whether the same failure is found
again; nothing else is required of it. The method: Zeller and Hildebrandt, "Simplifying and Isolating
Failure-Inducing Input", 2002 (ddmin).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import msgspec

from .plan import Plan, events

__all__ = ["minimal", "shrink"]

T = TypeVar("T")


def minimal(items: Sequence[T], fails: Callable[[Sequence[T]], bool]) -> list[T]:
    """Return a part of items that fails, and doesn't if any one is removed; fails(items) must hold."""
    kept = list(items)
    parts = 2
    while kept:
        size = max(1, len(kept) // parts)
        for at in range(0, len(kept), size):
            rest = kept[:at] + kept[at + size :]
            if fails(rest):
                kept = rest
                parts = max(2, parts - 1)
                break
        else:
            if size == 1:
                break
            parts = min(len(kept), 2 * parts)
    return kept


# Simplifications of a plan, tried in this order; each is kept if the plan still fails.
_SIMPLIFICATIONS: tuple[dict[str, Any], ...] = (
    {"operator": ""},
    {"retries": 0.0},
    {"split": 0.0},
    {"jitter": 0.0},
    {"window": 65536},
    {"delay": 0.0005},
    {"sockets": 1024},
    {"weights": "live"},
    {"copies": False},
    {"cancel": True},
)


def shrink(plan: Plan, fails: Callable[[Plan], bool], max_runs: int = 2000) -> Plan:
    """Return the smallest plan found that fails, after at most `max_runs` runs; the given plan must fail."""
    runs = 0
    replace = msgspec.structs.replace

    def holds(smaller: Plan) -> bool:
        nonlocal runs
        runs += 1
        return runs <= max_runs and fails(smaller)

    before = -1
    while before != events(plan):
        before = events(plan)
        faults = minimal(plan.faults, lambda part: holds(replace(plan, faults=tuple(part))))
        plan = replace(plan, faults=tuple(faults))
        asks = minimal(plan.asks, lambda part: holds(replace(plan, asks=tuple(part))))
        plan = replace(plan, asks=tuple(asks))
        for changes in _SIMPLIFICATIONS:
            simplified = replace(plan, **changes)
            if simplified != plan and holds(simplified):
                plan = simplified
        plan = _fewer_servers(plan, holds)
        plan = _simplify_requests(plan, holds)
    return plan


def _fewer_servers(plan: Plan, holds: Callable[[Plan], bool]) -> Plan:
    """Remove servers, then nodes, from the end, because faults refer to them by number."""
    replace = msgspec.structs.replace
    while len(plan.servers) > 1:
        fewer = replace(plan, servers=plan.servers[:-1])
        if not holds(fewer):
            break
        plan = fewer
    while plan.nodes > 1:
        fewer = replace(plan, nodes=plan.nodes - 1)
        if not holds(fewer):
            break
        plan = fewer
    return plan


def _simplify_requests(plan: Plan, holds: Callable[[Plan], bool]) -> Plan:
    """Simplify each of the first 40 requests: no bodies, the first node, the manner "fresh"."""
    replace = msgspec.structs.replace
    for number in range(min(40, len(plan.asks))):
        for changes in ({"size": 0}, {"answer": 0}, {"node": 0}, {"manner": "fresh"}):
            ask = replace(plan.asks[number], **changes)
            if ask == plan.asks[number]:
                continue
            smaller = replace(plan, asks=(*plan.asks[:number], ask, *plan.asks[number + 1 :]))
            if holds(smaller):
                plan = smaller
    return plan

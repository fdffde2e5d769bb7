"""Cutting a failing plan down to what it takes: delta debugging over requests, faults, nodes and servers.

A plan is data, so a smaller plan is a plan. `fails` plays one and says whether what was found is found again;
nothing else is asked of it. Source of the method: Zeller and Hildebrandt, "Simplifying and Isolating
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
    """A part of items that still fails and from which no single one can be taken; fails(items) must hold."""
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


# What a plan is made plainer by, one after the other, where it still fails.
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
    """The least plan found that still fails. At most so many plays; the plan given must fail."""
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
    """Servers from the end, as faults name them by number."""
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
    """Each request without bodies and on the first node, and polite, where it still fails."""
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

"""What one request pays for the size of the state: its route, and its server."""

from __future__ import annotations

import gc

from hollybay.balancing import Balancer
from hollybay.balancing import interface as api
from hollybay.hollow.meter import metered
from hollybay.routing.policy_compiler import compile_file
from hollybay.units import MS, SECOND

from .. import matcher
from . import samples
from .measurement import Figures
from .servers import FEW_NODES

__all__ = ["looked_up", "routed", "turned_away"]

LOOKUPS = 5_000
ROUNDS = 5
REJECTIONS = 40


def routed(size: int) -> Figures:
    """The route and the limits of a request, in a plan of so many routes; requests spread over all routes."""
    plan = compile_file(samples.short_routes_file(size), samples.settings())
    asks = matcher.targets(size)[:LOOKUPS]
    gc.collect()
    apply = plan.resolve
    best = float("inf")
    with metered() as spent:
        for _ in range(ROUNDS):
            with metered() as one:
                for target, given in asks:
                    apply(b"GET", target, given)
            best = min(best, one.cpu_s)
    return Figures({"cpu_us": 1e6 * best / LOOKUPS}, spent)


def looked_up(size: int) -> Figures:
    """A request and its answer in the decision module, with so many servers."""
    balancer = Balancer(samples.settings(FEW_NODES), 1, SECOND)
    balancer.handle(2 * SECOND, samples.server_list(size))
    gc.collect()
    now = 3 * SECOND
    best = float("inf")
    with metered() as spent:
        for turn in range(ROUNDS):
            with metered() as one:
                for n in range(LOOKUPS):
                    now += MS
                    _played(balancer, now, turn * LOOKUPS + n)
            best = min(best, one.cpu_s)
    return Figures({"cpu_us": 1e6 * best / LOOKUPS}, spent)


def turned_away(size: int) -> Figures:
    """An answer that is a rejection, with so many tenants: the module compares it with what others get."""
    balancer = Balancer(samples.settings(tenant_count=size), 1, SECOND)
    balancer.handle(2 * SECOND, samples.server_list(100))
    now = 3 * SECOND
    with metered() as spent:
        for n in range(REJECTIONS):
            now += 10 * MS
            _played(balancer, now, n, tenant=7 % size, result=api.Result.REJECTED)
    return Figures({"cpu_us": 1e6 * spent.cpu_s / REJECTIONS}, spent)


def _played(
    balancer: Balancer, now: int, number: int, tenant: int = 0, result: api.Result = api.Result.OK
) -> None:
    """One request from its head to the outcome of its first attempt; what else it would do is left out."""
    for action in balancer.handle(now, api.Request(number, 0, 500 * MS, tenant)):
        if isinstance(action, api.Send):
            outcome = api.AttemptFinished(number, 0, action.server, result, 5 * MS, final=True)
            balancer.handle(now + 5 * MS, outcome)

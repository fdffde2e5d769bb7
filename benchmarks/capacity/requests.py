"""Cost of a request by the size of the state: finding its route, choosing its server, a rejection."""

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

__all__ = ["rejection", "route_lookup", "server_choice"]

LOOKUPS = 5_000
ROUNDS = 5
REJECTIONS = 40


def route_lookup(size: int) -> Figures:
    """Find the route and limits of requests in a policy with `size` routes, spread over all of them."""
    policy = compile_file(samples.short_routes_file(size), samples.settings())
    requests = matcher.targets(size)[:LOOKUPS]
    gc.collect()
    resolve = policy.resolve
    best = float("inf")
    with metered() as spent:
        for _ in range(ROUNDS):
            with metered() as one:
                for target, headers in requests:
                    resolve(b"GET", target, headers)
            best = min(best, one.cpu_s)
    return Figures({"cpu_us": 1e6 * best / LOOKUPS}, spent)


def server_choice(size: int) -> Figures:
    """Handle a request and its response in the decision module, with `size` servers."""
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
                    _handle_request(balancer, now, turn * LOOKUPS + n)
            best = min(best, one.cpu_s)
    return Figures({"cpu_us": 1e6 * best / LOOKUPS}, spent)


def rejection(size: int) -> Figures:
    """Handle a rejection with `size` tenants: the module compares it with the results of other tenants."""
    balancer = Balancer(samples.settings(tenant_count=size), 1, SECOND)
    balancer.handle(2 * SECOND, samples.server_list(100))
    now = 3 * SECOND
    with metered() as spent:
        for n in range(REJECTIONS):
            now += 10 * MS
            _handle_request(balancer, now, n, tenant=7 % size, result=api.Result.REJECTED)
    return Figures({"cpu_us": 1e6 * spent.cpu_s / REJECTIONS}, spent)


def _handle_request(
    balancer: Balancer, now: int, number: int, tenant: int = 0, result: api.Result = api.Result.OK
) -> None:
    """Pass a request and the outcome of its first attempt to the balancer; other actions are ignored."""
    for action in balancer.handle(now, api.Request(number, 0, 500 * MS, tenant)):
        if isinstance(action, api.Send):
            outcome = api.AttemptFinished(number, 0, action.server, result, 5 * MS, final=True)
            balancer.handle(now + 5 * MS, outcome)

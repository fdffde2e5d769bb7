"""Two baselines for the same arrivals at the same servers: a lower bound, and random choice.

`single_dispatcher` has full knowledge: it takes a uniformly random idle server of the fastest speed that has
one, else the server that would finish the request first. `random_by_capacity` draws a server in proportion
to capacity and considers no state. Both are computed, without processes; a cluster lies
between them. Pure; ns.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .evenness import ServerLifetime, Visit

__all__ = ["Arrival", "ModelResult", "random_by_capacity", "single_dispatcher"]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request of the clients: start time and work (ns at speed 1)."""

    rid: str
    at: int
    work: int


@dataclass(frozen=True, slots=True)
class ModelResult:
    """The result of a model: the visits, and by request the time (ns) until its response."""

    visits: tuple[Visit, ...]
    took: dict[str, int]


class _Server:
    """Serves requests first come, first served; each takes the core that is free first."""

    def __init__(self, lifetime: ServerLifetime) -> None:
        self.lifetime = lifetime
        self.speed = lifetime.capacity / lifetime.cores
        self.free = [0] * lifetime.cores

    def idle(self, at: int) -> bool:
        return max(self.free) <= at

    def ready(self, at: int) -> int:
        return max(at, min(self.free))

    def take(self, arrival: Arrival) -> Visit:
        core = self.free.index(min(self.free))
        began = max(arrival.at, self.free[core])
        self.free[core] = began + int(arrival.work / self.speed)
        return Visit(
            arrival.rid, self.lifetime.name, "model", arrival.at, began, self.free[core], arrival.work
        )


def _play(
    arrivals: Iterable[Arrival], lifetimes: Sequence[ServerLifetime], central: bool, seed: int
) -> ModelResult:
    rng = random.Random(seed)
    servers = [_Server(lifetime) for lifetime in lifetimes]
    visits = []
    took = {}
    for arrival in sorted(arrivals, key=lambda a: a.at):
        healthy = [s for s in servers if s.lifetime.is_healthy_at(arrival.at)]
        if not healthy:
            continue
        if central:
            idle = [s for s in healthy if s.idle(arrival.at)]
            if idle:
                fastest = max(s.speed for s in idle)
                server = rng.choice([s for s in idle if s.speed == fastest])
            else:
                server = min(healthy, key=lambda s: s.ready(arrival.at) + arrival.work / s.speed)
        else:
            server = rng.choices(healthy, [s.lifetime.capacity for s in healthy])[0]
        visit = server.take(arrival)
        visits.append(visit)
        took[arrival.rid] = visit.left - arrival.at
    return ModelResult(tuple(visits), took)


def single_dispatcher(
    arrivals: Iterable[Arrival], lifetimes: Sequence[ServerLifetime], seed: int = 1
) -> ModelResult:
    """All requests at one dispatcher that knows the current state of every server."""
    return _play(arrivals, lifetimes, True, seed)


def random_by_capacity(
    arrivals: Iterable[Arrival], lifetimes: Sequence[ServerLifetime], seed: int = 1
) -> ModelResult:
    """Each request at a random server, drawn in proportion to capacity."""
    return _play(arrivals, lifetimes, False, seed)

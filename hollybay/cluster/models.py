"""The same arrivals at the same servers, under two other policies: the floor, and plain chance.

`one` is one dispatcher that sees everything at once: a uniformly random idle server of the fastest speed
having one, else the server with the least work in hand for its speed. `drawn` draws by capacity and looks at
nothing. Both are computed, with no processes: what a tier can reach lies between them. Pure; ns.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .evenness import ServerLifetime, Visit

__all__ = ["Arrival", "ModelResult", "random_by_capacity", "single_dispatcher"]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as the clients made it: when, and its work (ns at speed 1)."""

    rid: str
    at: int
    work: int


@dataclass(frozen=True, slots=True)
class ModelResult:
    """What became of them: the visits, and by request the time (ns) until its answer."""

    visits: tuple[Visit, ...]
    took: dict[str, int]


class _Server:
    """First come, first served, on each core; a request takes the core that is free first."""

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
    """All requests at one dispatcher that sees every server's present state."""
    return _play(arrivals, lifetimes, True, seed)


def random_by_capacity(
    arrivals: Iterable[Arrival], lifetimes: Sequence[ServerLifetime], seed: int = 1
) -> ModelResult:
    """Each request at a server drawn in proportion to capacity."""
    return _play(arrivals, lifetimes, False, seed)

"""The same arrivals at the same servers, under two other policies: the floor, and plain chance.

`one` is one dispatcher that sees everything at once: a uniformly random idle server of the fastest speed
having one, else the server with the least work in hand for its speed. `drawn` draws by capacity and looks at
nothing. Both are computed, with no processes: what a tier can reach lies between them. Pure; ns.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .evenness import Life, Visit

__all__ = ["Arrival", "Played", "drawn", "one"]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as the clients made it: when, and its work (ns at speed 1)."""

    rid: str
    at: int
    work: int


@dataclass(frozen=True, slots=True)
class Played:
    """What became of them: the visits, and by request the time (ns) until its answer."""

    visits: tuple[Visit, ...]
    took: dict[str, int]


class _Server:
    """First come, first served, on each core; a request takes the core that is free first."""

    def __init__(self, life: Life) -> None:
        self.life = life
        self.speed = life.capacity / life.cores
        self.free = [0] * life.cores

    def idle(self, at: int) -> bool:
        return max(self.free) <= at

    def ready(self, at: int) -> int:
        return max(at, min(self.free))

    def take(self, arrival: Arrival) -> Visit:
        core = self.free.index(min(self.free))
        began = max(arrival.at, self.free[core])
        self.free[core] = began + int(arrival.work / self.speed)
        return Visit(arrival.rid, self.life.name, "model", arrival.at, began, self.free[core], arrival.work)


def _play(arrivals: Iterable[Arrival], lives: Sequence[Life], central: bool, seed: int) -> Played:
    chance = random.Random(seed)
    servers = [_Server(life) for life in lives]
    visits = []
    took = {}
    for arrival in sorted(arrivals, key=lambda a: a.at):
        fit = [s for s in servers if s.life.fit_at(arrival.at)]
        if not fit:
            continue
        if central:
            idle = [s for s in fit if s.idle(arrival.at)]
            if idle:
                fastest = max(s.speed for s in idle)
                server = chance.choice([s for s in idle if s.speed == fastest])
            else:
                server = min(fit, key=lambda s: s.ready(arrival.at) + arrival.work / s.speed)
        else:
            server = chance.choices(fit, [s.life.capacity for s in fit])[0]
        visit = server.take(arrival)
        visits.append(visit)
        took[arrival.rid] = visit.left - arrival.at
    return Played(tuple(visits), took)


def one(arrivals: Iterable[Arrival], lives: Sequence[Life], seed: int = 1) -> Played:
    """All requests at one dispatcher that sees every server's present state."""
    return _play(arrivals, lives, True, seed)


def drawn(arrivals: Iterable[Arrival], lives: Sequence[Life], seed: int = 1) -> Played:
    """Each request at a server drawn in proportion to capacity."""
    return _play(arrivals, lives, False, seed)

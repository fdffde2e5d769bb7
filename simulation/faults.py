"""A script of faults from a seed, pure: which kinds are on, what they strike, when, and for how long.

Swarm choice: each seed switches a random part of the kinds on, so that some runs have much of few kinds. Runs
in which everything always happens hide what needs the absence of a fault.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["KINDS", "Fault", "script"]

# crash: the process dies and comes back cold, the list tells of it late. drain: listed as draining, then
# serving again. cut: node and server do not hear each other, and what stood between them is reset at the end.
# errors: the server answers 500 to most. slow: it takes ten times as long. late: discovery is silent.
KINDS = ("crash", "drain", "cut", "errors", "slow", "late")


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: when (s from the run's start), its kind, the server struck, and how long (s) it lasts."""

    at: float
    kind: str
    server: int
    lasts: float


def script(seed: int, servers: int, seconds: float, allowed: Sequence[str] = KINDS) -> tuple[Fault, ...]:
    """The faults of a run, in order of time; ValueError for a kind that is none."""
    unknown = [kind for kind in allowed if kind not in KINDS]
    if unknown or not allowed:
        raise ValueError(f"no such fault: {', '.join(unknown) or 'none given'}; there are {', '.join(KINDS)}")
    chance = random.Random(f"faults {seed}")
    on = [kind for kind in allowed if chance.random() < 0.5] or [chance.choice(list(allowed))]
    faults = [
        Fault(chance.uniform(0.0, seconds), kind, chance.randrange(servers), chance.uniform(0.1, 3.0))
        for kind in on
        for _ in range(chance.randint(1, 3))
    ]
    return tuple(sorted(faults, key=lambda fault: fault.at))

"""Model check of group commit: random walks over the possible orders of events.

A walk makes random moves of the model (`batch_model_moves`) and then continues without faults until the end:
every offered change must then have a final outcome, and all states must be equal (`batch_model_invariants`).

    python -m hollybay.consensus.batch_model_check --walks 2000
"""

from __future__ import annotations

import argparse
import sys
from dataclasses import dataclass, field

from hollybay.resources.batch import BatchMismatchError

from .batch_model import Bounds, Components, Move
from .batch_model_invariants import InvariantError, check_state
from .batch_model_moves import World

__all__ = ["WEIGHTS", "Walk", "walk"]

DESCRIPTION = (
    "Model check of group commit: voters with their queues, proposers and nodes, in any order of events."
)

# Relative frequency of each kind of move in a walk.
WEIGHTS = {
    "think": 2.0,
    "offer": 3.0,
    "offer-unheard": 1.0,
    "ask": 3.0,
    "take": 3.0,
    "propose": 3.0,
    "propose-and-die": 0.3,
    "settle": 3.0,
    "learn": 4.0,
    "jump": 0.6,
    "crash": 0.3,
    "return": 1.0,
    "send": 1.5,
    "mix": 0.7,
    "receive": 2.5,
    "store": 0.5,
    "restart": 0.4,
}


@dataclass
class Walk:
    """The result of a walk.

    Parameters
    ----------
    steps
        The names of all moves.
    violation
        The invariant that did not hold after them; empty if all did.
    answered, revisions
        Number of changes with a final outcome, and of decided batches.
    """

    steps: list[str] = field(default_factory=list)
    violation: str = ""
    answered: int = 0
    revisions: int = 0


def walk(seed: int, bounds: Bounds | None = None, components: Components | None = None) -> Walk:
    """Take one random walk: draws the kind of each move, then a move of this kind; ends without faults."""
    bounds = bounds or Bounds()
    world = World(seed, bounds, components or Components())
    result = Walk()
    try:
        for _ in range(bounds.steps):
            result.steps.append(step(world))
            check_state(world)
        result.steps.append("faults end")
        world.finish()
    except (InvariantError, BatchMismatchError) as error:
        result.violation = str(error)
    result.answered = sum(proposer.is_answered for proposer in world.proposers)
    result.revisions = len(world.states) - 1
    return result


def step(world: World) -> str:
    """Make one move; returns its name."""
    world.now += 1
    kinds: dict[str, list[Move]] = {}
    for name, move in world.moves():
        kinds.setdefault(name.partition(" ")[0], []).append((name, move))
    (kind,) = world.random.choices(list(kinds), [WEIGHTS[kind] for kind in kinds])
    name, move = world.random.choice(kinds[kind])
    move()
    return name


def main() -> int:
    """Walk many seeds and print the result; returns 1 if an invariant did not hold."""
    parser = argparse.ArgumentParser(description=DESCRIPTION)
    parser.add_argument("--walks", type=int, default=2000)
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    arguments = parser.parse_args()
    answered = revisions = 0
    for seed in range(arguments.first, arguments.first + arguments.walks):
        result = walk(seed)
        answered += result.answered
        revisions += result.revisions
        if result.violation:
            print(f"seed {seed}: {result.violation}; steps:")
            for line in result.steps:
                print(f"  {line}")
            return 1
    print(f"{arguments.walks} walks: {answered} changes answered, {revisions} batches decided")
    return 0


if __name__ == "__main__":
    sys.exit(main())

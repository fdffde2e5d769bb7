"""Plays seeds of the soak: python -m hollybay.testbed.soak FIRST..LAST [--jobs N].

It ends with 1 if one of them broke a rule.
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from argparse import ArgumentParser
from collections.abc import Iterable
from pathlib import Path

from .plan import draw
from .run import SoakResult, play

__all__ = ["main", "play_seeds"]


async def play_seeds(seeds: Iterable[int], jobs: int) -> list[SoakResult]:
    """Play the runs of seeds, so many at a time; each is printed at its end."""
    free = asyncio.Semaphore(jobs)

    async def play_one(seed: int) -> SoakResult:
        async with free:
            with tempfile.TemporaryDirectory() as folder:
                result = await play(draw(seed), Path(folder))
        print(result, flush=True)
        return result

    return await asyncio.gather(*map(play_one, seeds))


def main(arguments: list[str]) -> int:
    """Play the seeds that are named."""
    parser = ArgumentParser(prog="python -m hollybay.testbed.soak")
    parser.add_argument("seeds", help="one seed, or FIRST..LAST")
    parser.add_argument("--jobs", type=int, default=4, help="runs at a time")
    options = parser.parse_args(arguments)
    first, _, last = options.seeds.partition("..")
    seeds = range(int(first), int(last or first) + 1)
    results = asyncio.run(play_seeds(seeds, options.jobs))
    broken = [result.plan.seed for result in results if result.violations]
    load = ", ".join(f"{value:.1f}" for value in os.getloadavg())
    print(f"{len(results)} seeds, {len(broken)} broke a rule: {broken}; load of the machine {load}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

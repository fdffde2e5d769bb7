"""Runs the soak test for a range of seeds: python -m hollybay.testbed.soak FIRST..LAST [--jobs N].

Exits with status 1 if a run violated a rule.
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
    """Run the plans of these seeds, at most `jobs` at a time, and print each result."""
    slots = asyncio.Semaphore(jobs)

    async def play_one(seed: int) -> SoakResult:
        async with slots:
            with tempfile.TemporaryDirectory() as folder:
                result = await play(draw(seed), Path(folder))
        print(result, flush=True)
        return result

    return await asyncio.gather(*map(play_one, seeds))


def main(arguments: list[str]) -> int:
    """Run the seeds given on the command line."""
    parser = ArgumentParser(prog="python -m hollybay.testbed.soak")
    parser.add_argument("seeds", help="one seed, or FIRST..LAST")
    parser.add_argument("--jobs", type=int, default=4, help="runs at a time")
    options = parser.parse_args(arguments)
    first, _, last = options.seeds.partition("..")
    seeds = range(int(first), int(last or first) + 1)
    results = asyncio.run(play_seeds(seeds, options.jobs))
    failed = [result.plan.seed for result in results if result.violations]
    load = ", ".join(f"{value:.1f}" for value in os.getloadavg())
    print(f"{len(results)} seeds, {len(failed)} violated a rule: {failed}; load average {load}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

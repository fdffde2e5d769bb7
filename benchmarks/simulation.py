"""How fast the simulation plays: steps a minute on one core and on all, and node-seconds a real second."""

from __future__ import annotations

import os
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from hollybay.simulation.world import play_seed

SEEDS = 100


def _played(seed: int) -> tuple[int, float, int]:
    plan, outcome = play_seed(seed)
    return outcome.steps, outcome.seconds * plan.nodes, len(outcome.violations)


def main() -> None:
    """Print the figures."""
    for jobs in (1, os.cpu_count() or 1):
        with ProcessPoolExecutor(jobs, get_context("spawn")) as pool:
            list(pool.map(_played, range(jobs)))  # each process has imported everything
            begun = time.perf_counter()
            results = list(pool.map(_played, range(SEEDS)))
            took = time.perf_counter() - begun
        steps = sum(result[0] for result in results)
        virtual = sum(result[1] for result in results)
        broken = sum(result[2] > 0 for result in results)
        print(
            f"{SEEDS} seeds on {jobs} cores: {steps} steps in {took:.1f} s, {60 * steps / took:,.0f} steps a "
            f"minute, {virtual / took:.0f} node-seconds a second, {broken} seeds with something wrong"
        )

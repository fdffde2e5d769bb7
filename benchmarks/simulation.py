"""Speed of the simulation on one core and on all: steps per minute, and node-seconds per real second."""

from __future__ import annotations

import os
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from hollybay.simulation.world import play_seed

SEEDS = 100


def _run_seed(seed: int) -> tuple[int, float, int]:
    plan, outcome = play_seed(seed)
    return outcome.steps, outcome.seconds * plan.nodes, len(outcome.violations)


def main() -> None:
    """Print the figures."""
    for jobs in (1, os.cpu_count() or 1):
        with ProcessPoolExecutor(jobs, get_context("spawn")) as pool:
            list(pool.map(_run_seed, range(jobs)))  # warm-up: imports in each process
            started = time.perf_counter()
            results = list(pool.map(_run_seed, range(SEEDS)))
            duration = time.perf_counter() - started
        steps = sum(result[0] for result in results)
        virtual = sum(result[1] for result in results)
        broken = sum(result[2] > 0 for result in results)
        print(
            f"{SEEDS} seeds on {jobs} cores: {steps} steps in {duration:.1f} s, "
            f"{60 * steps / duration:,.0f} steps a minute, {virtual / duration:.0f} node-seconds a second, "
            f"{broken} seeds with violations"
        )

"""How fast the simulation plays: steps a minute on one core, and seconds simulated a real second."""

from __future__ import annotations

import time

from simulation.scene import played

SEEDS = 20


def main() -> None:
    """Print the figures."""
    steps = virtual = 0.0
    broken = 0
    begun = time.perf_counter()
    for seed in range(SEEDS):
        scene, loop = played(seed, trouble=True)
        steps += loop.steps
        virtual += loop.now - 1000.0
        broken += not scene.ledger.check()
    took = time.perf_counter() - begun
    rate = 60 * steps / took
    print(f"{SEEDS} seeds, {steps:.0f} steps in {took:.1f} s: {rate:,.0f} steps a minute on one core")
    print(f"{virtual / took:.0f} seconds simulated a real second, {broken} seeds with a broken rule")

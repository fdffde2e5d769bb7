"""Defects in the shutdown of a node, and the seeds of the soak test that find them.

`python -m hollybay.mutation.soak_defects` runs ten seeds of the soak test on a copy of the code with each
defect, and prints which of them violate a rule.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from .planted import LISTENER, Defect
from .tree import mutated_copy, run_in

__all__ = ["SOAK_DEFECTS", "DefectRun", "run_with_defect", "seeds_that_find"]

SHUTDOWN = "hollybay/proxy/shutdown.py"
SEEDS = range(10)
SEED_TIMEOUT_S = 60.0
BROKEN = "  BROKEN "  # start of each line of the soak test's output that reports a violation

SOAK_DEFECTS = (
    Defect(
        "no-last-answers",
        SHUTDOWN,
        "    dispatcher.end_all_requests()\n",
        "",
    ),
    Defect(
        "listens-no-longer",
        SHUTDOWN,
        "    await asyncio.sleep(accept_period_s)\n",
        "    await asyncio.sleep(0.0 * accept_period_s)\n",
    ),
    Defect(
        "ends-too-late",
        SHUTDOWN,
        "KILL_MARGIN_S = 0.3",
        "KILL_MARGIN_S = -3.0",
    ),
    Defect(
        "connections-cut",
        SHUTDOWN,
        "        clients.close_idle()\n",
        "        for conn in list(clients.connections):\n            conn.abort()\n",
    ),
    Defect(
        "room-by-force",
        LISTENER,
        "        for conn in self.overdue(self.idle, now - self.phase_timeouts.idle):\n",
        "        for conn in list(self.connections):\n            conn.abort()\n",
    ),
)


class DefectRun(NamedTuple):
    """A run of the soak test on a copy of the code with a defect.

    Attributes
    ----------
    seed
        The seed that was played.
    status
        The exit status, None if the run timed out.
    output
        What it printed.
    """

    seed: int
    status: int | None
    output: str

    @property
    def found(self) -> bool:
        """Whether a rule was violated; a run that crashed or failed to start has found nothing."""
        return BROKEN in self.output


def _run(tree: Path, seed: int) -> DefectRun:
    status, output = run_in(tree, ["-m", "hollybay.testbed.soak", str(seed)], SEED_TIMEOUT_S)
    return DefectRun(seed, status, output)


def run_with_defect(defect: Defect, seed: int) -> DefectRun:
    """Run a seed of the soak test on a copy of the code with a defect."""
    with mutated_copy(defect.path, defect.old, defect.new) as tree:
        return _run(tree, seed)


def seeds_that_find(defect: Defect, seeds: Sequence[int]) -> list[int]:
    """Return the seeds of the soak test that violate a rule on a copy of the code with a defect."""
    with mutated_copy(defect.path, defect.old, defect.new) as tree:
        return [seed for seed in seeds if _run(tree, seed).found]


def main() -> int:
    """Run all defects; returns 1 if one is found by no seed."""
    missed = 0
    for defect in SOAK_DEFECTS:
        found = seeds_that_find(defect, SEEDS)
        missed += not found
        print(f"{defect.name}: seeds {found or 'NONE'} of {SEEDS.start}..{SEEDS.stop - 1}", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())

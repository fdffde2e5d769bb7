"""Shutdown of real nodes while clients use every open connection: some seeds of the soak test."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from hollybay.mutation.soak_defects import SOAK_DEFECTS, DefectRun, run_with_defect
from hollybay.testbed.soak.__main__ import play_seeds
from hollybay.testbed.soak.plan import Condition, draw

# Together these have every condition, and deadlines below and above those that a node's shutdown allows for.
SEEDS = (0, 2, 3, 8, 10, 17, 19, 24, 26, 31)
JOBS = 4
# For each defect a seed that finds it, from python -m hollybay.mutation.soak_defects
FOUND_BY = {
    "no-last-answers": 4,
    "listens-no-longer": 4,
    "ends-too-late": 4,
    "connections-cut": 4,
    "room-by-force": 4,
}


def test_seeds_cover_every_condition() -> None:
    plans = [draw(seed) for seed in SEEDS]
    assert {condition for plan in plans for condition in plan.conditions} == set(Condition)
    assert {max(plan.deadlines_ms) > 3000 for plan in plans} == {True, False}
    assert str(draw(SEEDS[0])) == str(draw(SEEDS[0]))


# Guards against: requests without a response during a node's shutdown, and nodes that have to be killed.
def test_no_rule_is_violated_during_shutdown() -> None:
    for result in asyncio.run(play_seeds(SEEDS, JOBS)):
        assert not result.violations, str(result)


@pytest.fixture(scope="module")
def runs() -> Iterator[dict[str, DefectRun]]:
    with ThreadPoolExecutor(JOBS) as pool:
        runs = pool.map(lambda defect: run_with_defect(defect, FOUND_BY[defect.name]), SOAK_DEFECTS)
        yield {defect.name: run for defect, run in zip(SOAK_DEFECTS, runs, strict=True)}


@pytest.mark.parametrize("name", sorted(FOUND_BY))
def test_shutdown_defect_is_found(name: str, runs: dict[str, DefectRun]) -> None:
    assert runs[name].found, f"exit status {runs[name].status}: {runs[name].output}"

"""The model check of group commit: the production components pass it, and it finds each planted defect."""

from __future__ import annotations

from collections import Counter

import pytest

from hollybay.consensus.batch_model import Bounds, Components
from hollybay.consensus.batch_model_check import WEIGHTS, walk
from hollybay.consensus.planted_batch_defects import DEFECTS

WALKS = 250
# For each planted defect: the seed of a walk that finds it, and a part of the violation's text.
SEEDS = {
    "one bad change drops its batch": (10, "rejected because of another one"),
    "a batch is never divided": (90, "never answered"),
    "refused for a batch that is not decided": (0, "although it applies to the decided state"),
    "a lost batch is not offered again": (0, "forgot change"),
    "a proposer is told of another's outcome": (2, "wrongly reported as part of revision"),
    "in force before the decision": (0, "reported as in force but was not decided"),
    "refused for its long wait": (99, "reported as rejected but is in force"),
    "a change is decided twice": (2, "decided twice"),
    "a delta over a gap": (0, "has a state that was not decided"),
    "a snapshot older than the state": (0, "went back"),
    "a snapshot older than the delta's base": (2, "has a state that was not decided"),
    "half of a delivery": (119, "applied a part of a delivery"),
    "one refusal taken for all": (4, "reported as rejected but is in force"),
    "a keeper that forgot taken for a no": (14, "reported as rejected but is in force"),
    "an old refusal counted after a new offer": (4580, "reported as rejected but is in force"),
}


def test_production_components_pass_and_walks_make_moves_of_all_kinds() -> None:
    kinds: Counter[str] = Counter()
    answered = revisions = 0
    for seed in range(WALKS):
        found = walk(seed)
        assert not found.violation, (seed, found.violation, found.steps)
        kinds.update(step.partition(" ")[0] for step in found.steps)
        answered += found.answered
        revisions += found.revisions
    assert set(WEIGHTS) <= set(kinds)
    assert answered > 5 * WALKS and revisions > 2 * WALKS


@pytest.mark.parametrize(
    "bounds",
    [
        Bounds(voters=2),
        Bounds(unserviceable_fraction=0.0),
        Bounds(unserviceable_fraction=1.0),
        Bounds(changes=24, steps=300, crashes=0),
    ],
    ids=["two keepers", "none bad", "all bad", "many changes"],
)
def test_production_components_pass_under_other_bounds(bounds: Bounds) -> None:
    for seed in range(40):
        found = walk(seed, bounds)
        assert not found.violation, (seed, found.violation, found.steps)


def test_a_seed_determines_the_walk() -> None:
    assert walk(7) == walk(7)


def test_each_planted_defect_has_a_seed() -> None:
    assert set(SEEDS) == set(DEFECTS)


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name: str) -> None:
    seed, text = SEEDS[name]
    found = walk(seed, components=DEFECTS[name])
    assert text in found.violation
    assert not walk(seed, components=Components()).violation  # without the defect the same walk passes

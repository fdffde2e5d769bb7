"""Each planted defect is found by the seed and the oracle that planted.json records for it."""

from __future__ import annotations

import json
import os
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
import pytest

from hollybay.mutation.planted import DEFECTS, FOUND, Defect
from hollybay.mutation.tree import ROOT, SourceTextError, killed_by_plan, killed_by_seeds
from hollybay.simulation.plan import Plan, events
from hollybay.simulation.world import play

RECORDED: dict[str, dict[str, Any]] = json.loads(FOUND.read_text())


def test_the_text_of_every_defect_is_in_the_code_once_and_recorded_defects_exist() -> None:
    for defect in DEFECTS:
        assert (ROOT / defect.path).read_text().count(defect.old) == 1, defect.name
    names = [defect.name for defect in DEFECTS]
    assert len(set(names)) == len(names) >= 40 and set(RECORDED) <= set(names)
    with pytest.raises(SourceTextError):
        killed_by_seeds("hollybay/proxy/request_dispatcher.py", "no such text", "", [0])


def test_each_recorded_defect_is_found_by_its_seed_and_oracle() -> None:
    def one(defect: Defect) -> str | None:
        recorded = RECORDED[defect.name]
        found = killed_by_seeds(defect.path, defect.old, defect.new, [recorded["seed"]])
        if found is None or found[1] != recorded["rule"]:
            return f"{defect.name}: found {found}, expected {recorded['rule']} by seed {recorded['seed']}"
        return None

    chosen = [defect for defect in DEFECTS if defect.name in RECORDED]
    with ThreadPoolExecutor(min(4, os.cpu_count() or 1)) as pool:
        missed = [message for message in pool.map(one, chosen) if message is not None]
    assert not missed, "\n".join(missed)
    assert sum(recorded["seed"] < 20 for recorded in RECORDED.values()) > len(RECORDED) / 2


@pytest.mark.parametrize(
    "path", sorted((ROOT / "tests" / "seeds").glob("*.json")), ids=lambda path: path.stem
)
def test_a_shrunk_plan_finds_its_defect_and_no_violation_in_unchanged_code(path: Path) -> None:
    plan: Plan = msgspec.json.decode(path.read_bytes(), type=Plan)
    assert events(plan) < 20
    assert play(plan).violations == ()
    (defect,) = [defect for defect in DEFECTS if defect.name == path.stem]
    assert RECORDED[path.stem]["rule"] in killed_by_plan(defect.path, defect.old, defect.new, path)

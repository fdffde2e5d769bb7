"""`move_constants` changes constants of hollybay.balancing, and the recorded streams detect that."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from .move_constants import Constant, constants, moved

ROOT = Path(__file__).resolve().parent.parent


def test_numbers_are_increased_by_a_tenth_and_integers_by_at_least_one() -> None:
    assert moved(2) == 3 and moved(100) == 110 and isinstance(moved(100), int)
    assert moved(0.5) == pytest.approx(0.55)


def test_the_constants_are_those_of_the_modules_that_decide() -> None:
    found = constants()
    assert len(found) == len(set(found)) > 100
    assert Constant("further_attempts", "MIN_WAITS_LEFT") in found
    assert Constant("server_selection", "MAX_PICKS") in found
    assert not any(constant.module.startswith("bench_") for constant in found)


def test_a_changed_constant_is_detected_by_a_stream() -> None:
    command = [sys.executable, "-m", "tests.move_constants", "MIN_WAITS_LEFT", "OVERDUE_INTERVALS"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    assert done.stdout.splitlines()[-1].strip() == "unseen: 0 of 2:"

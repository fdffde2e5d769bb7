"""Time without a core of processes that run, and of some that have ended."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from hollybay.testbed.cpu_wait import cpu_wait_ns


@pytest.fixture
def ended_process() -> int:
    process = subprocess.Popen([sys.executable, "-c", ""])
    process.wait()
    return process.pid


def test_a_running_process_has_waited_for_a_core_for_some_time_or_none() -> None:
    assert cpu_wait_ns() >= 0


# Guards against: a soak run that crashes because a node ends while its waiting time is read.
def test_a_process_that_ends_after_its_folder_was_looked_up_has_waited_no_time(
    ended_process: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Path, "is_dir", lambda path: True)
    assert cpu_wait_ns(ended_process) == 0

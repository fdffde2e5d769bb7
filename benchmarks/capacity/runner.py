"""Runs each size of each measurement in a separate process, one at a time, with memory and time limits."""

from __future__ import annotations

import resource
import subprocess
import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import cast

import msgspec

from .measurement import Measured, Measurement, NotCarried, Outcome, Rejected, RunFailed, SizeRejected, judge
from .registry import MEASUREMENTS

__all__ = ["MAX_MEMORY_BYTES", "decode", "encode", "run_all", "run_here", "run_one"]

# Limit for each measuring process and each process that it starts, as the machine is shared.
MAX_MEMORY_BYTES = 12 << 30
ROOT = Path(__file__).resolve().parents[2]
_KINDS: dict[str, type[Outcome]] = {"measured": Measured, "not carried": NotCarried, "refused": Rejected}
_NAMES = {kind: name for name, kind in _KINDS.items()}


def run_here(name: str, size: int) -> Outcome:
    """Measure one size in this process."""
    measurement = MEASUREMENTS[name]
    try:
        return judge(measurement, size, measurement.run(size))
    except SizeRejected as error:
        return Rejected(name, size, str(error))
    except RunFailed as error:
        return NotCarried(name, size, str(error))
    except MemoryError:
        return NotCarried(name, size, f"used more than {MAX_MEMORY_BYTES >> 30} GiB of memory")


def limit_memory() -> None:
    """Limit the memory of this process and of each process that it starts."""
    resource.setrlimit(resource.RLIMIT_DATA, (MAX_MEMORY_BYTES, MAX_MEMORY_BYTES))


def run_one(measurement: Measurement, size: int) -> Outcome:
    """Measure one size in a separate process."""
    command = [sys.executable, "-m", "benchmarks.capacity", "--one", measurement.name, str(size)]
    try:
        done = subprocess.run(
            command, capture_output=True, text=True, cwd=ROOT, timeout=measurement.time_limit_s, check=False
        )
    except subprocess.TimeoutExpired:
        return NotCarried(measurement.name, size, f"not finished within {measurement.time_limit_s:.0f} s")
    if done.returncode:
        last = (done.stderr.strip() or "no error output").splitlines()[-1]
        return NotCarried(measurement.name, size, f"ended with {done.returncode}: {last[:200]}")
    return decode(done.stdout.splitlines()[-1])


def run_all(
    measurements: Iterable[tuple[Measurement, Iterable[int]]], on_outcome: Callable[[Outcome], None]
) -> list[Outcome]:
    """Measure these sizes, one process at a time; on_outcome is called with each outcome."""
    found: list[Outcome] = []
    for measurement, sizes in measurements:
        for size in sizes:
            outcome = run_one(measurement, size)
            on_outcome(outcome)
            found.append(outcome)
    return found


def encode(outcome: Outcome) -> str:
    """Encode an outcome as a line of JSON."""
    return msgspec.json.encode({"kind": _NAMES[type(outcome)], "outcome": outcome}).decode()


def decode(line: str) -> Outcome:
    """Decode an outcome. msgspec.DecodeError or KeyError: the line is not an outcome."""
    found = msgspec.json.decode(line)
    kind: type[Outcome] = _KINDS[found["kind"]]
    return cast(Outcome, msgspec.convert(found["outcome"], kind))

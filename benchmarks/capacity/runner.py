"""Each size of each measurement in a process of its own, one after another, within bounds."""

from __future__ import annotations

import resource
import subprocess
import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import cast

import msgspec

from .measurement import Measured, Measurement, NotCarried, Outcome, RefusedSize, Rejected, RunFailed, judge
from .registry import MEASUREMENTS

__all__ = ["MOST_MEMORY_BYTES", "decode", "encode", "run_all", "run_here", "run_one"]

# Of one measuring process with all that it starts; the machine is shared.
MOST_MEMORY_BYTES = 12 << 30
ROOT = Path(__file__).resolve().parents[2]
_KINDS: dict[str, type[Outcome]] = {"measured": Measured, "not carried": NotCarried, "refused": Rejected}
_NAMES = {kind: name for name, kind in _KINDS.items()}


def run_here(name: str, size: int) -> Outcome:
    """Measure one size in this process."""
    measurement = MEASUREMENTS[name]
    try:
        return judge(measurement, size, measurement.run(size))
    except RefusedSize as error:
        return Rejected(name, size, str(error))
    except RunFailed as error:
        return NotCarried(name, size, str(error))
    except MemoryError:
        return NotCarried(name, size, f"takes more than {MOST_MEMORY_BYTES >> 30} GiB")


def limit_memory() -> None:
    """Bound this process, and each that it starts."""
    resource.setrlimit(resource.RLIMIT_DATA, (MOST_MEMORY_BYTES, MOST_MEMORY_BYTES))


def run_one(measurement: Measurement, size: int) -> Outcome:
    """Measure one size in a process of its own."""
    command = [sys.executable, "-m", "benchmarks.capacity", "--one", measurement.name, str(size)]
    try:
        done = subprocess.run(
            command, capture_output=True, text=True, cwd=ROOT, timeout=measurement.time_limit_s, check=False
        )
    except subprocess.TimeoutExpired:
        return NotCarried(measurement.name, size, f"not done within {measurement.time_limit_s:.0f} s")
    if done.returncode:
        last = (done.stderr.strip() or "no reason given").splitlines()[-1]
        return NotCarried(measurement.name, size, f"ended with {done.returncode}: {last[:200]}")
    return decode(done.stdout.splitlines()[-1])


def run_all(
    measurements: Iterable[tuple[Measurement, Iterable[int]]], tell: Callable[[Outcome], None]
) -> list[Outcome]:
    """Measure these sizes, one process at a time; tell: called with each outcome."""
    found: list[Outcome] = []
    for measurement, sizes in measurements:
        for size in sizes:
            outcome = run_one(measurement, size)
            tell(outcome)
            found.append(outcome)
    return found


def encode(outcome: Outcome) -> str:
    """One outcome as a line of JSON."""
    return msgspec.json.encode({"kind": _NAMES[type(outcome)], "outcome": outcome}).decode()


def decode(line: str) -> Outcome:
    """An outcome from its line; msgspec.DecodeError or KeyError: it is none."""
    found = msgspec.json.decode(line)
    kind: type[Outcome] = _KINDS[found["kind"]]
    return cast(Outcome, msgspec.convert(found["outcome"], kind))

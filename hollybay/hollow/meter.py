"""What the measuring process itself spends and how late it was.

Processor time is the process's own, so that other work on the machine moves it little. A run that was kept
from its cores for too long, or whose event loop was too late, has no figure.
"""

from __future__ import annotations

import asyncio
import gc
import resource
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from hollybay.units import SECOND

__all__ = ["LatenessProbe", "Limits", "Meter", "ResourceUsage", "late_reason", "memory_bytes", "metered"]

PROBE_EVERY_S = 0.01


@dataclass(frozen=True, slots=True)
class Limits:
    """Beyond these a run has no figure.

    waited_part: of the time from begin to end, what the process waited for a core, where that is more than
    waited_s altogether; worst_late_s: how late a timer of the event loop was at the worst.
    """

    waited_part: float = 0.6
    waited_s: float = 0.1
    worst_late_s: float = 0.5


@dataclass(slots=True)
class ResourceUsage:
    """What a stretch of work took; filled in at its end.

    cpu_s: processor time of the process, with all of its threads; waited_s: time that its main thread was
    ready to run and had no core; preempted: involuntary switches; memory: growth of the proportional set
    size, peak: the largest resident set before it over that of the begin (bytes); late_s: worst lateness of
    a timer.
    """

    cpu_s: float = 0.0
    wall_s: float = 0.0
    waited_s: float = 0.0
    preempted: int = 0
    memory: int = 0
    peak: int = 0
    late_s: float = 0.0

    @property
    def waited_part(self) -> float:
        """The part of the time that the process was kept from a core."""
        return self.waited_s / self.wall_s if self.wall_s > 0 else 0.0


def late_reason(spent: ResourceUsage, limits: Limits) -> str:
    """Why a run has no figure; empty if it has one."""
    if spent.waited_part > limits.waited_part and spent.waited_s > limits.waited_s:
        return f"kept from its core for {100 * spent.waited_part:.0f} % of {spent.wall_s:.2f} s"
    if spent.late_s > limits.worst_late_s:
        return f"a timer of the rig was {1000 * spent.late_s:.0f} ms late"
    return ""


class Meter:
    """What this process spends from the last reset on. memory: also by how much it grows."""

    def __init__(self, memory: bool = False) -> None:
        self._memory = memory
        self._size = self._resident = 0
        self.reset()

    def reset(self) -> None:
        """Count from now on."""
        if self._memory:
            gc.collect()
            self._size = memory_bytes()
            self._resident = _peak_resident()
        self._switches = _preempted()
        self._waited = _run_queue_wait_ns()
        self._wall = time.perf_counter()
        self._cpu = time.process_time()

    def read(self, spent: ResourceUsage) -> ResourceUsage:
        """Fill in what was spent so far."""
        spent.cpu_s = time.process_time() - self._cpu
        spent.wall_s = time.perf_counter() - self._wall
        spent.waited_s = (_run_queue_wait_ns() - self._waited) / SECOND
        spent.preempted = _preempted() - self._switches
        if self._memory:
            spent.peak = _peak_resident() - self._resident
            gc.collect()
            spent.memory = memory_bytes() - self._size
        return spent


@contextmanager
def metered(memory: bool = False) -> Iterator[ResourceUsage]:
    """Measure what the block takes. memory: also by how much the process grows, with rubbish collected."""
    spent = ResourceUsage()
    meter = Meter(memory)
    yield spent
    meter.read(spent)


def memory_bytes(pid: int | str = "self") -> int:
    """The proportional set size of a process (bytes)."""
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Pss:"):
            return int(line.split()[1]) << 10
    raise OSError(f"/proc/{pid}/smaps_rollup: no Pss")


def _peak_resident() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss << 10


def _preempted() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_nivcsw


def _run_queue_wait_ns() -> int:
    """How long the main thread has been ready to run without a core (ns)."""
    return int(Path("/proc/self/schedstat").read_text().split()[1])


class LatenessProbe:
    """A timer in the measured event loop; lateness is how long after its time it was called (s)."""

    def __init__(self, every: float = PROBE_EVERY_S) -> None:
        self.every = every
        self.lateness: list[float] = []
        self._loop = asyncio.get_running_loop()
        self._due = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to look, and forget what was seen before."""
        self.stop()
        self.lateness.clear()
        self._arm()

    def stop(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    @property
    def worst(self) -> float:
        """The worst lateness so far (s), with a timer that is overdue now."""
        overdue = max(0.0, self._loop.time() - self._due) if self._timer is not None else 0.0
        return max([overdue, *self.lateness])

    def _arm(self) -> None:
        self._due = self._loop.time() + self.every
        self._timer = self._loop.call_at(self._due, self._fired)

    def _fired(self) -> None:
        self.lateness.append(max(0.0, self._loop.time() - self._due))
        self._arm()

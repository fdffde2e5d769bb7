"""Resource usage and lateness of the measuring process.

CPU time is that of this process alone, so other work on the machine affects it little. A run that waited too
long for a core, or whose event loop was too late, has no valid result.
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
    """Limits beyond which a run has no valid result.

    waited_part: fraction of its duration that the process waited for a core, if that is longer than waited_s
    in total; worst_late_s: maximum lateness of an event loop timer.
    """

    waited_part: float = 0.6
    waited_s: float = 0.1
    worst_late_s: float = 0.5


@dataclass(slots=True)
class ResourceUsage:
    """Resource usage of a measured interval; filled in at its end.

    cpu_s: CPU time of the process, of all threads; waited_s: time that its main thread was runnable without a
    core; preempted: involuntary context switches; memory: growth of the proportional set size (bytes); peak:
    growth of the peak resident set, read before garbage is collected (bytes); late_s: maximum lateness of a
    timer.
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
        """The fraction of the time that the process waited for a core."""
        return self.waited_s / self.wall_s if self.wall_s > 0 else 0.0


def late_reason(spent: ResourceUsage, limits: Limits) -> str:
    """Why a run has no valid result; empty if it has one."""
    if spent.waited_part > limits.waited_part and spent.waited_s > limits.waited_s:
        return f"waited for a core for {100 * spent.waited_part:.0f} % of {spent.wall_s:.2f} s"
    if spent.late_s > limits.worst_late_s:
        return f"an event loop timer was {1000 * spent.late_s:.0f} ms late"
    return ""


class Meter:
    """Resource usage of this process since the last reset; `memory`: also its memory growth."""

    def __init__(self, memory: bool = False) -> None:
        self._memory = memory
        self._size = self._resident = 0
        self.reset()

    def reset(self) -> None:
        """Start to measure from now."""
        if self._memory:
            gc.collect()
            self._size = memory_bytes()
            self._resident = _peak_resident()
        self._switches = _preempted()
        self._waited = _run_queue_wait_ns()
        self._wall = time.perf_counter()
        self._cpu = time.process_time()

    def read(self, spent: ResourceUsage) -> ResourceUsage:
        """Fill in the usage so far."""
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
    """Measure the resource usage of the block; `memory`: also the memory growth, after garbage collection."""
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
    """Time that the main thread has been runnable without a core (ns)."""
    return int(Path("/proc/self/schedstat").read_text().split()[1])


class LatenessProbe:
    """A periodic timer in the measured event loop that records its lateness (s)."""

    def __init__(self, every: float = PROBE_EVERY_S) -> None:
        self.every = every
        self.lateness: list[float] = []
        self._loop = asyncio.get_running_loop()
        self._due = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer, and clear the recorded lateness."""
        self.stop()
        self.lateness.clear()
        self._schedule()

    def stop(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    @property
    def worst(self) -> float:
        """The maximum lateness so far (s), including a timer that is overdue now."""
        overdue = max(0.0, self._loop.time() - self._due) if self._timer is not None else 0.0
        return max([overdue, *self.lateness])

    def _schedule(self) -> None:
        self._due = self._loop.time() + self.every
        self._timer = self._loop.call_at(self._due, self._fired)

    def _fired(self) -> None:
        self.lateness.append(max(0.0, self._loop.time() - self._due))
        self._schedule()

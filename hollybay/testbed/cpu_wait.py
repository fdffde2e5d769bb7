"""Time that a process waited for a core, which a busy machine adds to each time measured on it."""

from __future__ import annotations

import os
from pathlib import Path

__all__ = ["cpu_wait_ns"]


def cpu_wait_ns(process: int | None = None) -> int:
    """Time that the threads of a process were runnable without a core, summed up since its start.

    An event loop blocked by its own callbacks, or a thread that waits for another one, adds nothing.
    0 if the kernel does not report it, or if the process has ended.

    Parameters
    ----------
    process
        The process id; None for this process.
    """
    tasks = Path(f"/proc/{process or 'self'}/task")
    try:
        threads = os.listdir(tasks)
    except OSError:  # the process has ended
        return 0
    return sum(_thread_wait_ns(tasks / thread) for thread in threads)


def _thread_wait_ns(task: Path) -> int:
    """Time that a thread was runnable without a core; 0 if it has ended."""
    try:
        return int((task / "schedstat").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0

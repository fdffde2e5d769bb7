"""Time that a process waited for a core, which a busy machine adds to each time measured on it."""

from __future__ import annotations

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
    total = 0
    for path in Path(f"/proc/{process or 'self'}/task").glob("*/schedstat"):
        try:
            total += int(path.read_text().split()[1])
        except (OSError, IndexError, ValueError):  # the thread has ended
            continue
    return total

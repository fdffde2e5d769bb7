"""How long a process waited for a core: what a busy machine adds to every time that is measured on it."""

from __future__ import annotations

from pathlib import Path

__all__ = ["cpu_wait_ns"]


def cpu_wait_ns(process: int | None = None) -> int:
    """Sum over the threads of a process of the time that they were ready to run and had no core.

    Counted since the process's start. A loop that is held up by what runs on it, or a thread that waits for
    another, adds nothing. 0 where the kernel does not tell, or where the process has ended.

    Parameters
    ----------
    process
        Its number; None: this one.
    """
    total = 0
    for path in Path(f"/proc/{process or 'self'}/task").glob("*/schedstat"):
        try:
            total += int(path.read_text().split()[1])
        except (OSError, IndexError, ValueError):  # the thread has ended meanwhile
            continue
    return total

"""Where runs of many processes keep their folders."""

from __future__ import annotations

import os
import shutil

__all__ = ["in_memory"]

MEMORY_FOLDER = "/dev/shm"  # a file system in memory
MIN_FREE_BYTES = 1 << 30  # what must be free there for a run's folder


def in_memory() -> str | None:
    """Find a folder in memory with room for a run.

    All processes of a run, and of those beside it, share one disk that machines of their own would not, and
    its flushes take seconds at times.

    Returns
    -------
    str or None
        None where there is no such folder: the run then goes where temporary files usually do.
    """
    try:
        free_bytes = shutil.disk_usage(MEMORY_FOLDER).free
    except OSError:
        return None
    is_writable = os.access(MEMORY_FOLDER, os.W_OK | os.X_OK)
    return MEMORY_FOLDER if free_bytes >= MIN_FREE_BYTES and is_writable else None

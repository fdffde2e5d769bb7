"""Where runs of many processes keep their folders."""

from __future__ import annotations

import os
import shutil

__all__ = ["in_memory"]

# A file system in memory, and how much must be free there for a run's folder (bytes).
MEMORY, LEAST = "/dev/shm", 1 << 30


def in_memory() -> str | None:
    """A folder in memory with room for a run, None where there is none: then the usual place.

    All processes of a run, and of those beside it, share one disk that machines of their own would not, and
    its flushes take seconds at times.
    """
    try:
        room = shutil.disk_usage(MEMORY).free
    except OSError:
        return None
    return MEMORY if room >= LEAST and os.access(MEMORY, os.W_OK | os.X_OK) else None

"""Folder for the files of runs with many processes."""

from __future__ import annotations

import os
import shutil

__all__ = ["in_memory"]

MEMORY_FOLDER = "/dev/shm"  # a file system in memory
MIN_FREE_BYTES = 1 << 30  # required for the files of a run


def in_memory() -> str | None:
    """Find a folder in memory with enough free space for a run.

    The processes of all runs on this machine share one disk, unlike nodes on separate machines, and its
    flushes can take seconds.

    Returns
    -------
    str or None
        None if there is no such folder: the run then uses the default folder for temporary files.
    """
    try:
        free_bytes = shutil.disk_usage(MEMORY_FOLDER).free
    except OSError:
        return None
    is_writable = os.access(MEMORY_FOLDER, os.W_OK | os.X_OK)
    return MEMORY_FOLDER if free_bytes >= MIN_FREE_BYTES and is_writable else None

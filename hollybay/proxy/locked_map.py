"""Memory-mapped file of a process that others of the node read, with a lock that tells if it lives."""

from __future__ import annotations

import contextlib
import fcntl
import mmap
import os
from pathlib import Path

__all__ = ["LockedMap", "OtherMap"]

FILE_MODE = 0o600


class LockedMap:
    """File of this process, which is locked until the process ends.

    Parameters
    ----------
    path
        Path of the file; other processes know it by its name.
    size
        Size (bytes) of the file, which is all zero at first.

    Raises
    ------
    OSError
        The file cannot be created.
    """

    def __init__(self, path: Path, size: int) -> None:
        self.path = path
        new_path = path.with_suffix(".new")
        self.file = os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(self.file, fcntl.LOCK_EX)
            os.ftruncate(self.file, size)
            self.memory = mmap.mmap(self.file, size)
            # Renamed last, as a file without a lock is taken for that of a dead process.
            new_path.rename(path)
        except OSError:
            os.close(self.file)
            new_path.unlink(missing_ok=True)
            raise

    def close(self) -> None:
        """Remove the file, and release its lock, which the memory map would hold on."""
        self.path.unlink(missing_ok=True)
        with contextlib.suppress(OSError):
            fcntl.flock(self.file, fcntl.LOCK_UN)
        os.close(self.file)


class OtherMap:
    """File of another process, mapped for reading.

    Parameters
    ----------
    path
        Path of the file.

    Raises
    ------
    OSError
        The file cannot be read.
    """

    def __init__(self, path: Path) -> None:
        self.file = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            self.memory = mmap.mmap(self.file, 0, prot=mmap.PROT_READ)
        except OSError:
            os.close(self.file)
            raise

    def is_alive(self) -> bool:
        """Whether the process of the file lives, by its lock; also if the kernel cannot tell."""
        try:
            fcntl.flock(self.file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        return False

    def close(self) -> None:
        """Close the file. Its memory stays until nothing refers to it any more."""
        os.close(self.file)

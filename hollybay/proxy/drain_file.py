"""File with the administrative drains of a node, shared by its processes.

During a hand-over, the old and the new process of a node share one folder. Imported only with the admin
service.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

from hollybay.admin.administrative_drains import decode_drains, encode_drains
from hollybay.balancing.interface import ServerId

from . import system

__all__ = ["DrainFile"]

FILE_MODE = 0o600


class DrainFile:
    """The drain file of a node; without a folder, it is neither written nor read.

    Parameters
    ----------
    folder
        Folder that the processes of the node share; None if there is none.
    name
        Name of the node's files, which distinguishes them from those of other nodes.
    """

    def __init__(self, folder: Path | None, name: str) -> None:
        self.folder = folder
        self.path = folder / f"{name}.out" if folder is not None else None
        self._lock_path = folder / f"{name}.lock" if folder is not None else None
        self._known_version = (0, 0)  # modification time (ns) and inode at the last write or read

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Lock the file against the other processes of the node; to be held only for microseconds."""
        if self._lock_path is None:
            yield
            return
        lock = os.open(self._lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)
            yield
        finally:
            os.close(lock)

    def write(self, drained: Iterable[ServerId]) -> None:
        """Replace the file atomically.

        Raises
        ------
        OSError
            The file cannot be written; the old one stays.
        """
        if self.path is None:
            return
        new_path = self.path.with_suffix(".out.new")
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        with open(os.open(new_path, flags, FILE_MODE), "wb") as file:
            file.write(encode_drains(drained))
            file.flush()
            os.fsync(file.fileno())
        new_path.rename(self.path)
        self._update_known_version()

    def read_if_changed(self) -> frozenset[str] | None:
        """Read the file if it has changed since the last read or write; None if it has not.

        Raises
        ------
        OSError
            The file cannot be read.
        DrainFileError
            The content is invalid.
        """
        if self.path is None or not self._update_known_version():
            return None
        return decode_drains(system.read_bytes(self.path))

    def _update_known_version(self) -> bool:
        """Record the version of the file, and return whether it has changed."""
        if self.path is None:
            return False
        try:
            status = self.path.stat()
        except OSError:
            return False
        previous = self._known_version
        self._known_version = (status.st_mtime_ns, status.st_ino)
        return self._known_version != previous

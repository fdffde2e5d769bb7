"""File that keeps the administrative drains of a node across its processes.

All processes of a node share one folder while a new one takes over from an old one. Imported only with the
admin service.
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
    """The drain file of a node; without a folder it is never written, and never changes.

    Parameters
    ----------
    folder
        Folder that the processes of the node share; None if there is none.
    name
        Name of the node, by which its files are told apart from those of other nodes.
    """

    def __init__(self, folder: Path | None, name: str) -> None:
        self.folder = folder
        self.path = folder / f"{name}.out" if folder is not None else None
        self._lock_path = folder / f"{name}.lock" if folder is not None else None
        self._known_version = (0, 0)  # modification time (ns) and inode, as last written or read

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Exclude the other processes of the node; to be held for microseconds only."""
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
        self._note_version()

    def read_if_changed(self) -> frozenset[str] | None:
        """Read the file if it changed since it was last read or written; None if it did not.

        Raises
        ------
        OSError
            The file cannot be read.
        DrainFileError
            The content is invalid.
        """
        if self.path is None or not self._note_version():
            return None
        return decode_drains(system.read_bytes(self.path))

    def _note_version(self) -> bool:
        """Remember the version of the file; whether it is another one than before."""
        if self.path is None:
            return False
        try:
            status = self.path.stat()
        except OSError:
            return False
        previous = self._known_version
        self._known_version = (status.st_mtime_ns, status.st_ino)
        return self._known_version != previous

"""Open ids of the processes of one node, which each other process can look up during a hand-over.

Each process keeps a table of its open ids in a file of the folder that the processes share. The table is a
memory map, so that neither claiming nor looking up an id needs a system call.
"""

from __future__ import annotations

import fcntl
import logging
import mmap
import os
from collections.abc import Iterable
from hashlib import blake2b
from pathlib import Path
from typing import NamedTuple

__all__ = ["SharedRequestIds"]

log = logging.getLogger("hollybay.proxy")

FILE_MODE = 0o600
DIGEST_BYTES = 8
EMPTY = bytes(DIGEST_BYTES)


class _OtherTable(NamedTuple):
    """Table of another process."""

    file: int  # descriptor, locked by its process for as long as that lives
    digests: mmap.mmap

    def is_alive(self) -> bool:
        """Whether the process of the table lives, by its lock; also if the kernel cannot tell."""
        try:
            fcntl.flock(self.file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        return False

    def close(self) -> None:
        self.digests.close()
        os.close(self.file)


def _new_table(file: int, capacity: int) -> mmap.mmap:
    """Lock a file, and return an empty table in it."""
    fcntl.flock(file, fcntl.LOCK_EX)
    os.ftruncate(file, capacity * DIGEST_BYTES)
    return mmap.mmap(file, capacity * DIGEST_BYTES)


class SharedRequestIds:
    """Table of the open ids of this process, and the tables of the other processes of the node.

    Parameters
    ----------
    path
        File of this process's table; other processes know it by its name.
    capacity
        Number of ids that the table holds; further ones are not shared.

    Raises
    ------
    OSError
        The file cannot be created.
    """

    def __init__(self, path: Path, capacity: int) -> None:
        self._path = path
        new_path = path.with_suffix(".new")
        self._file = os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, FILE_MODE)
        try:
            self._digests = _new_table(self._file, capacity)
            # Renamed last, as a file without a lock is taken for that of a dead process.
            new_path.rename(path)
        except OSError:
            os.close(self._file)
            new_path.unlink(missing_ok=True)
            raise
        self._free_slots = list(range(0, capacity * DIGEST_BYTES, DIGEST_BYTES))
        self._slots: dict[int, int] = {}
        self._others: dict[Path, _OtherTable] = {}

    def claim(self, number: int, request_id: bytes) -> bool:
        """Enter an id under its number; return False if it is open at another process.

        The id is entered before the others are looked up: of two processes that claim it at the same time, at
        least one sees the other.
        """
        digest = blake2b(request_id, digest_size=DIGEST_BYTES).digest()
        if self._free_slots:
            slot = self._slots[number] = self._free_slots.pop()
            self._digests[slot : slot + DIGEST_BYTES] = digest
        if self._others and self._is_open_elsewhere(digest):
            self.release(number)
            return False
        return True

    def release(self, number: int) -> None:
        """Remove the id with a number, if the table holds it."""
        slot = self._slots.pop(number, None)
        if slot is not None:
            self._digests[slot : slot + DIGEST_BYTES] = EMPTY
            self._free_slots.append(slot)

    def open_others(self, paths: Iterable[Path]) -> None:
        """Look up ids in the tables of these files, too; those of dead processes are removed."""
        for path in paths:
            if path != self._path and path not in self._others:
                try:
                    self._open_other(path)
                except OSError as error:  # removed meanwhile
                    log.info("hand-over: cannot read open ids of another process: %s", error)

    def _open_other(self, path: Path) -> None:
        file = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            digests = mmap.mmap(file, 0, prot=mmap.PROT_READ)
        except OSError:
            os.close(file)
            raise
        other = _OtherTable(file, digests)
        if other.is_alive():
            self._others[path] = other
        else:
            other.close()
            path.unlink(missing_ok=True)

    def close(self) -> None:
        """Remove the file, and close all tables."""
        self._path.unlink(missing_ok=True)
        self._digests.close()
        os.close(self._file)
        for other in self._others.values():
            other.close()
        self._others = {}

    def _is_open_elsewhere(self, digest: bytes) -> bool:
        for path, other in list(self._others.items()):
            if other.digests.find(digest) < 0:
                continue
            if other.is_alive():
                return True
            other.close()
            del self._others[path]
        return False

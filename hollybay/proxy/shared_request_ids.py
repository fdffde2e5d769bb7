"""Open ids of the processes of one node, which each other process can look up during a hand-over.

Each process keeps a table of its open ids in a file of the folder that the processes share. The table is a
memory map, so that neither claiming nor looking up an id needs a system call.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from pathlib import Path

from .ended_ids import DIGEST_BYTES
from .locked_map import LockedMap, OtherMap

__all__ = ["SharedRequestIds"]

log = logging.getLogger("hollybay.proxy")

EMPTY = bytes(DIGEST_BYTES)


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
        self._map = LockedMap(path, capacity * DIGEST_BYTES)
        self._free_slots = list(range(0, capacity * DIGEST_BYTES, DIGEST_BYTES))
        self._slots: dict[int, int] = {}
        self._others: dict[Path, OtherMap] = {}

    def claim(self, number: int) -> bool:
        """Enter an id by its number; return False if it is open at another process.

        The id is entered before the others are looked up: of two processes that claim it at the same time, at
        least one sees the other.
        """
        digest = number.to_bytes(DIGEST_BYTES, "little")
        if self._free_slots:
            slot = self._slots[number] = self._free_slots.pop()
            self._map.memory[slot : slot + DIGEST_BYTES] = digest
        if self._others and self._is_open_elsewhere(digest):
            self.release(number)
            return False
        return True

    def release(self, number: int) -> None:
        """Remove the id with a number, if the table holds it."""
        slot = self._slots.pop(number, None)
        if slot is not None:
            self._map.memory[slot : slot + DIGEST_BYTES] = EMPTY
            self._free_slots.append(slot)

    def open_others(self, paths: Iterable[Path]) -> None:
        """Look up ids in the tables of these files, too; those of dead processes are removed."""
        for path in paths:
            if path != self._map.path and path not in self._others:
                try:
                    self._open_other(path)
                except OSError as error:  # removed meanwhile
                    log.info("hand-over: cannot read open ids of another process: %s", error)

    def _open_other(self, path: Path) -> None:
        other = OtherMap(path)
        if other.is_alive():
            self._others[path] = other
        else:
            other.close()
            path.unlink(missing_ok=True)

    def close(self) -> None:
        """Remove the file, and close all tables."""
        self._map.close()
        for other in self._others.values():
            other.close()
        self._others = {}

    def _is_open_elsewhere(self, digest: bytes) -> bool:
        for path, other in list(self._others.items()):
            if other.memory.find(digest) < 0:
                continue
            if other.is_alive():
                return True
            other.close()
            del self._others[path]
        return False

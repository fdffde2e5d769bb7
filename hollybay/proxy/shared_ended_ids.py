"""Ids that ended recently at the processes of one node, which each other process looks up in a hand-over.

A client that has left may come again with the same id, and reach the other process: without these tables that
process would run the request a second time. The ids of a process are remembered for a while after its end.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from pathlib import Path

from .ended_ids import RETENTION_S, EndedIds
from .locked_map import LockedMap, OtherMap

__all__ = ["SharedEndedIds"]

log = logging.getLogger("hollybay.proxy")


class _OtherIds:
    """Ended ids of another process.

    Attributes
    ----------
    map
        Its file.
    ids
        The ids.
    died_at
        Monotonic time (s) at which its process was first seen to have ended; None before.
    """

    def __init__(self, other_map: OtherMap) -> None:
        self.map = other_map
        self.ids = EndedIds(memoryview(other_map.memory))
        self.died_at: float | None = None


class SharedEndedIds:
    """Table of the ended ids of this process, and the tables of the other processes of the node.

    Parameters
    ----------
    path
        File of this process's table.
    size
        Size (bytes) of the table.

    Attributes
    ----------
    memory
        Memory of this process's table.

    Raises
    ------
    OSError
        The file cannot be created.
    """

    def __init__(self, path: Path, size: int) -> None:
        self._map = LockedMap(path, size)
        self.memory = memoryview(self._map.memory)
        self._others: dict[Path, _OtherIds] = {}

    def __contains__(self, number: int) -> bool:
        return any(number in other.ids for other in self._others.values())

    def open_others(self, paths: Iterable[Path]) -> None:
        """Look up ids in the tables of these files, too; those of dead processes are removed."""
        for path in paths:
            if path == self._map.path or path in self._others:
                continue
            try:
                other = _OtherIds(OtherMap(path))
            except (OSError, ValueError) as error:  # removed meanwhile
                log.info("hand-over: cannot read ended ids of another process: %s", error)
                continue
            if other.map.is_alive():
                self._others[path] = other
            else:
                other.map.close()
                path.unlink(missing_ok=True)

    def forget_dead(self, now: float) -> None:
        """Forget the ids of processes that ended long ago, at a monotonic time (s)."""
        for path, other in list(self._others.items()):
            if other.died_at is None:
                other.died_at = None if other.map.is_alive() else now
            elif now - other.died_at >= 2 * RETENTION_S:
                other.map.close()
                del self._others[path]

    def close(self) -> None:
        """Remove the file, and forget the others."""
        self._map.close()
        for other in self._others.values():
            other.map.close()
        self._others = {}
